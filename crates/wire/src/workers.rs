//! Reports of workers and the orders sent to them (protocol, "Workers -> controller nodes" and
//! "Controller nodes -> workers").

use serde::{Deserialize, Serialize};

/// Periodic report of a worker: the machine and all of its tasks.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    /// Machine id.
    #[serde(rename = "hearth")]
    pub machine: String,
    /// Address at which the worker accepts direct orders.
    pub addr: String,
    /// Label of the machine type.
    #[serde(rename = "berth")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether this is a spot machine.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Worker session. Reports of a machine are ordered by (session, sequence).
    #[serde(rename = "shift")]
    pub session: u64,
    /// Sequence number of the report within the session.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest term that the worker has seen; 0 if none.
    #[serde(default)]
    #[serde(rename = "warrant")]
    pub term: u64,
    /// Seconds until the cloud reclaims the machine, once it has announced that.
    #[serde(default)]
    #[serde(rename = "recallS")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine; ended ones until an order to forget them arrives.
    #[serde(default)]
    #[serde(rename = "parcels")]
    pub tasks: Vec<TaskReport>,
}

/// State of one task in a [`Report`].
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskReport {
    /// Task id, `JOB/INDEX`.
    #[serde(rename = "parcel")]
    pub task_id: String,
    /// Attempt that the worker was ordered to run.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// One of `pulling`, `waiting`, `running`, `saving` and `ended`.
    pub status: String,
    /// Why an ended task ended, for example `done`, `error` or `full`.
    #[serde(default)]
    pub cause: Option<String>,
    /// Whether the progress of a stopped task was saved. The controllers do not use it.
    #[serde(default)]
    pub kept: bool,
}

/// An order to a worker about one attempt of a task.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Run the task.
    Run {
        /// Task id, `JOB/INDEX`.
        #[serde(rename = "parcel")]
        task_id: String,
        /// Attempt to run.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop the task.
    Halt {
        /// Task id, `JOB/INDEX`.
        #[serde(rename = "parcel")]
        task_id: String,
        /// Attempt to stop.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period before the task is killed, in seconds.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Stop reporting an ended task.
    Forget {
        /// Task id, `JOB/INDEX`.
        #[serde(rename = "parcel")]
        task_id: String,
        /// Attempt that ended.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Order {
    /// Returns the id of the task that the order is about, `JOB/INDEX`.
    pub fn task_id(&self) -> &str {
        match self {
            Order::Run { task_id, .. }
            | Order::Halt { task_id, .. }
            | Order::Forget { task_id, .. } => task_id,
        }
    }
}

/// Orders of the leader for one worker.
#[derive(Debug, Serialize)]
pub struct Orders {
    /// Term of the leader.
    #[serde(rename = "warrant")]
    pub term: u64,
    /// The orders; may be empty.
    pub orders: Vec<Order>,
}
