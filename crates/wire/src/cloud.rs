//! Machine types and machine lists of the cloud (protocol, "Controller nodes -> cloud").

use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct WireMachineType {
    /// Name of the machine type.
    pub label: String,
    /// CPUs of one machine.
    pub cpus: f64,
    /// GPUs of one machine.
    #[serde(default)]
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory of one machine, in GB.
    pub mem_gb: f64,
    /// Size of the machine's image cache, in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which a machine pulls images, in GB per second.
    #[serde(default)]
    #[serde(rename = "fetchGbPerS")]
    pub image_pull_gb_per_s: f64,
    /// Price of an ordinary machine per hour.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// Price of a spot machine per hour.
    #[serde(default)]
    #[serde(rename = "spotPrice")]
    pub spot_hourly_price: f64,
    /// Expected time to boot, in seconds.
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    /// Zones in which the cloud offers the type.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// A machine in a list of the cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Host {
    /// Machine id.
    pub uid: String,
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
    /// State according to the cloud; `failed` for a machine to be returned.
    pub status: String,
    /// Time since the machine was rented, in seconds.
    #[serde(default)]
    #[serde(rename = "heldS")]
    pub rented_s: f64,
}
