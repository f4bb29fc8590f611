//! What workers report and are told (protocol, "Workers -> controller nodes" and "Controller nodes
//! -> workers").

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    #[serde(rename = "hearth")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "berth")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(default)]
    #[serde(rename = "warrant")]
    pub term: u64,
    #[serde(default)]
    #[serde(rename = "recallS")]
    pub reclaim_in_s: Option<f64>,
    #[serde(default)]
    #[serde(rename = "parcels")]
    pub tasks: Vec<TaskReport>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskReport {
    #[serde(rename = "parcel")]
    pub task_id: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: String,
    #[serde(default)]
    pub cause: Option<String>,
    #[serde(default)]
    pub kept: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    Run {
        #[serde(rename = "parcel")]
        task_id: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Halt {
        #[serde(rename = "parcel")]
        task_id: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    Forget {
        #[serde(rename = "parcel")]
        task_id: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Order {
    /// The task that it is about, as `JOB/TASK`.
    pub fn task_id(&self) -> &str {
        match self {
            Order::Run { task_id: parcel, .. }
            | Order::Halt { task_id: parcel, .. }
            | Order::Forget { task_id: parcel, .. } => parcel,
        }
    }
}

#[derive(Debug, Serialize)]
pub struct Orders {
    #[serde(rename = "warrant")]
    pub term: u64,
    pub orders: Vec<Order>,
}
