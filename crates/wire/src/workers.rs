//! What workers report and are told (protocol, "Workers -> controller nodes" and "Controller nodes
//! -> workers").

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    pub hearth: String,
    pub addr: String,
    pub berth: String,
    pub yard: String,
    #[serde(default)]
    pub loaners: bool,
    pub shift: u64,
    pub tally: u64,
    #[serde(default)]
    pub warrant: u64,
    #[serde(default)]
    pub recall_s: Option<f64>,
    #[serde(default)]
    pub parcels: Vec<Parcel>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Parcel {
    pub parcel: String,
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
        parcel: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Halt {
        parcel: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "windDownS")]
        wind_down: f64,
    },
    Forget {
        parcel: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

impl Order {
    /// The task that it is about, as `JOB/TASK`.
    pub fn parcel(&self) -> &str {
        match self {
            Order::Run { parcel, .. }
            | Order::Halt { parcel, .. }
            | Order::Forget { parcel, .. } => parcel,
        }
    }
}

#[derive(Debug, Serialize)]
pub struct Orders {
    pub warrant: u64,
    pub orders: Vec<Order>,
}
