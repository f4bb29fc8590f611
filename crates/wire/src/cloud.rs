//! What the cloud offers and lists (protocol, "Controller nodes -> cloud").

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireMachineType {
    pub label: String,
    pub cpus: f64,
    #[serde(default)]
    #[serde(rename = "cards")]
    pub gpus: f64,
    pub mem_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(default)]
    #[serde(rename = "fetchGbPerS")]
    pub image_pull_gb_per_s: f64,
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    #[serde(default)]
    #[serde(rename = "spotPrice")]
    pub spot_hourly_price: f64,
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Host {
    pub uid: String,
    #[serde(rename = "berth")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub status: String,
    #[serde(default)]
    #[serde(rename = "heldS")]
    pub rented_s: f64,
}
