//! What the cloud offers and lists (protocol, "Controller nodes -> cloud").

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireFlavor {
    pub label: String,
    pub cpus: f64,
    #[serde(default)]
    pub cards: f64,
    pub mem_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    pub hourly: f64,
    #[serde(default)]
    pub spot_price: f64,
    pub startup_s: f64,
    pub yards: Vec<String>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Host {
    pub uid: String,
    pub berth: String,
    pub yard: String,
    #[serde(default)]
    pub loaners: bool,
    pub status: String,
    #[serde(default)]
    pub held_s: f64,
}
