//! The platform's settings file (TOML, unknown fields ignored) and the operators' own (YAML,
//! optional, unknown keys refused). Every limit and deadline of the scheduler derives from these.

use copperhaven_rollout::{ABILITIES, AbilityOverrides};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;

/// Reason for which the settings were refused; the text names the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The named file can't be read.
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    /// The named settings file is not valid TOML or lacks a field.
    #[error("{0}: {1}")]
    Toml(String, toml::de::Error),
    /// The named operators' file is not valid YAML or has an unknown key.
    #[error("{0}: {1}")]
    Yaml(String, serde_norway::Error),
    /// The named setting has a value that is not allowed.
    #[error("setting `{0}`: {1}")]
    Invalid(&'static str, String),
}

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub member: String,
    /// Zone in which this controller runs.
    pub zone: String,
    /// Address on which it serves the HTTP API.
    #[serde(rename = "front")]
    pub api_listen: String,
    /// Address on which it accepts the connections of other controllers.
    pub cluster_listen: String,
    /// The controllers of the cluster; this one may be left out.
    #[serde(default)]
    pub members: Vec<Member>,
    /// Addresses of the services that the controller uses.
    pub endpoints: Endpoints,
    /// The platform's description of the cluster.
    pub deployment: Deployment,
    /// The operators' own settings, from their file.
    #[serde(skip)]
    pub tuning: Tuning,
}

/// A controller of the cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Name of the controller.
    #[serde(rename = "member")]
    pub name: String,
    /// Zone in which it runs.
    #[serde(default)]
    pub zone: String,
    /// Address on which it accepts the connections of other controllers.
    pub endpoint: String,
}

/// Addresses of the services that a controller uses.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud, which rents machines out.
    pub cloud: String,
    /// The state service, which stores the records.
    pub state: String,
}

/// The platform's description of the cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Names of the zones, at least one.
    pub zones: Vec<String>,
    /// Clock offset that the platform states, in milliseconds; not used by the scheduler.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// The teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resources of a controller.
    pub limits: Limits,
}

/// A team with its guarantee and its limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// CPUs guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of CPUs in use; infinite if 0 or absent.
    #[serde(default = "unlimited", deserialize_with = "limit")]
    pub cpus_max: f64,
    /// GPUs guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs in use; infinite if 0 or absent.
    #[serde(default = "unlimited", deserialize_with = "limit")]
    pub gpus_max: f64,
}

impl Team {
    /// Returns whether the team has no guarantee and only gets the capacity that others leave.
    pub fn lacks_guarantee(&self) -> bool {
        self.cpus <= 0.0 && self.gpus <= 0.0
    }
}

fn unlimited() -> f64 {
    f64::INFINITY
}

/// Reads a limit, where 0 means no limit, as a guarantee of 0 means no guarantee.
fn limit<'de, D: serde::Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    let max = f64::deserialize(d)?;
    Ok(if max == 0.0 { f64::INFINITY } else { max })
}

/// A service objective of the platform.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is bounded: for `wait` and `guarantee` the time until work starts, for `finished` the time
    /// until a job is done.
    pub kind: String,
    /// Class of the jobs that it applies to, if it applies to one.
    #[serde(default, rename = "class")]
    pub class: Option<String>,
    /// The bound, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Timing of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between two reports of a worker.
    pub report_s: f64,
    /// How long a worker keeps its tasks after the last answer from a leader.
    pub lease_s: f64,
    /// How long a gang member waits for the others to start before it fails.
    pub gang_wait_s: f64,
    /// How long the members of a gang survive the end of one of them.
    pub gang_peer_s: f64,
    /// Time after a confirmed cancellation within which all tasks of the job must have ended.
    pub cancel_s: f64,
}

/// Limits of the state service. `next` announces the limits that it will apply from some moment on,
/// without notice: the controllers keep to the smaller of both from the start.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes written per second.
    pub write_rps: f64,
    /// Longest value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Limits announced for later.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Announced limits of the state service; a limit that is left out doesn't change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes written per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Longest value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the requests per second to keep to.
    pub fn rps(&self) -> f64 {
        self.next.as_ref().and_then(|n| n.rps).map_or(self.rps, |n| n.min(self.rps))
    }

    /// Returns the changes written per second to keep to.
    pub fn write_rps(&self) -> f64 {
        let next = self.next.as_ref().and_then(|n| n.write_rps);
        next.map_or(self.write_rps, |n| n.min(self.write_rps))
    }

    /// Returns the maximum number of changes in a transaction.
    pub fn txn_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|n| n.txn_ops);
        next.map_or(self.txn_ops, |n| n.min(self.txn_ops))
    }

    /// Returns the longest value, in bytes.
    pub fn max_value_bytes(&self) -> usize {
        let next = self.next.as_ref().and_then(|n| n.value_kb);
        (next.map_or(self.value_kb, |n| n.min(self.value_kb)) * 1024.0) as usize
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How far the cloud's list of machines may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// Resources of a controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Processor time that the controller may use, in cores.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Memory that the controller may use, in megabytes.
    #[serde(default = "default_mem_mb")]
    pub mem_mb: f64,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

fn default_cpu_share() -> f64 {
    1.0
}
fn default_mem_mb() -> f64 {
    1024.0
}

/// The operators' own settings, with their documented defaults.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// R of the admission rule: a job with a deadline is admitted while its lowest index is below R.
    pub rejection_cost: f64,
    /// Number of finished tasks over which the mean run time of a pool and class is taken.
    pub rate_window: f64,
    /// Deadline span of jobs without a deadline whose class has no objective, in seconds.
    pub default_span_s: f64,
    /// Duration of the leader's lease in the state service, in milliseconds; 500 to 60,000.
    pub leader_lease_ms: u64,
    /// An idle machine is kept for this many boot times of its type.
    pub idle_boots: f64,
    /// Where every machine type boots too slowly for the objectives, the fleet is kept at this
    /// many times the sum of the teams' guarantees.
    pub standing: f64,
    /// Maximum number of tasks of one array that are routed before other work.
    pub route_chunk: u32,
    /// Abilities (changes of the stored form) to switch on although an older release wrote to this
    /// installation, by name (docs/rollout.md).
    pub abilities_on: BTreeSet<String>,
    /// Abilities to take back or never to switch on, by name.
    pub abilities_off: BTreeSet<String>,
    /// Members that are gone for good: no ability waits for them.
    pub members_left_out: BTreeSet<String>,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            rejection_cost: 1.0,
            rate_window: 200.0,
            default_span_s: 600.0,
            leader_lease_ms: 2500,
            idle_boots: 1.0,
            standing: 1.25,
            route_chunk: 1000,
            abilities_on: BTreeSet::new(),
            abilities_off: BTreeSet::new(),
            members_left_out: BTreeSet::new(),
        }
    }
}

/// Upper bound, with a margin, of the ratio at which two clocks drift apart.
const MAX_CLOCK_DRIFT_RATIO: f64 = 1.002;

/// Time between the end of the last task that a cut-off leader may have renewed and the end of
/// `cancel_s`: covers late timers, late lease checks by workers, and the offset of users'
/// clocks.
const RENEWAL_GRACE_MARGIN_S: f64 = 1.0;

/// Minimum of the value limit: a value must hold a job's record or a quarter of the finished ranges
/// of a chunk.
pub const MIN_VALUE_BYTES: usize = 1536;

/// Reads and checks the settings file and, if given, the operators' file.
pub fn load(path: &Path, tuning: Option<&Path>) -> Result<Settings, SettingsError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
    let mut settings: Settings = toml::from_str(&text).map_err(|e| SettingsError::Toml(name, e))?;
    if let Some(path) = tuning {
        let name = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
        settings.tuning = parse_tuning(&text).map_err(|e| SettingsError::Yaml(name, e))?;
    }
    settings.check()?;
    Ok(settings)
}

fn parse_tuning(text: &str) -> Result<Tuning, serde_norway::Error> {
    if text.trim().is_empty() {
        return Ok(Tuning::default());
    }
    serde_norway::from_str(text)
}

impl Settings {
    /// Returns whether an objective wants work to start sooner than workers report on their own; then
    /// the leader requests reports (`workers::report_requests`).
    pub fn needs_early_reports(&self) -> bool {
        let d = &self.deployment;
        let starts =
            d.objectives.iter().filter(|o| matches!(o.kind.as_str(), "wait" | "guarantee"));
        starts.filter_map(|o| o.within_s).any(|s| s < d.workers.report_s)
    }
}

impl Settings {
    /// Checks the values of all settings; the error names the first one that is not allowed.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        let positive = |name: &'static str, v: f64| {
            if v.is_finite() && v > 0.0 {
                Ok(())
            } else {
                Err(SettingsError::Invalid(name, format!("must be above 0, is {v}")))
            }
        };
        let address = |name: &'static str, v: &str| {
            v.parse::<std::net::SocketAddr>()
                .map(|_| ())
                .map_err(|e| SettingsError::Invalid(name, format!("`{v}`: {e}")))
        };
        let d = &self.deployment;
        if self.member.is_empty() {
            return Err(SettingsError::Invalid("member", "must not be empty".into()));
        }
        address("front", &self.api_listen)?;
        address("cluster_listen", &self.cluster_listen)?;
        address("endpoints.cloud", &self.endpoints.cloud)?;
        address("endpoints.state", &self.endpoints.state)?;
        for m in &self.members {
            address("members.endpoint", &m.endpoint)?;
        }
        positive("deployment.workers.report_s", d.workers.report_s)?;
        positive("deployment.workers.lease_s", d.workers.lease_s)?;
        positive("deployment.workers.gang_wait_s", d.workers.gang_wait_s)?;
        positive("deployment.workers.gang_peer_s", d.workers.gang_peer_s)?;
        positive("deployment.workers.cancel_s", d.workers.cancel_s)?;
        // A worker that is cut off right after an answer keeps its tasks until its lease ends; no
        // controller can stop them sooner.
        if d.workers.cancel_s <= d.workers.lease_s * MAX_CLOCK_DRIFT_RATIO {
            let reason = format!(
                "must be above lease_s with {} for drifting clocks, or tasks of a cancelled job outlive it on a machine that is cut off: raise it or lower lease_s ({}); is {}",
                MAX_CLOCK_DRIFT_RATIO, d.workers.lease_s, d.workers.cancel_s
            );
            return Err(SettingsError::Invalid("deployment.workers.cancel_s", reason));
        }
        positive("deployment.state.rps", d.state.rps)?;
        positive("deployment.state.write_rps", d.state.write_rps)?;
        let next = d.state.next.clone().unwrap_or_default();
        positive("deployment.state.next.rps", next.rps.unwrap_or(1.0))?;
        positive("deployment.state.next.write_rps", next.write_rps.unwrap_or(1.0))?;
        let next_kb = next.value_kb.unwrap_or(d.state.value_kb);
        for (name, kb) in [
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.state.next.value_kb", next_kb),
        ] {
            positive(name, kb)?;
            if kb * 1024.0 < MIN_VALUE_BYTES as f64 {
                let reason =
                    format!("must be at least {}, is {kb}", MIN_VALUE_BYTES as f64 / 1024.0);
                return Err(SettingsError::Invalid(name, reason));
            }
        }
        positive("deployment.cloud.rps", d.cloud.rps)?;
        positive("deployment.limits.max_connections", d.limits.max_connections as f64)?;
        for (name, ops) in [
            ("deployment.state.txn_ops", d.state.txn_ops),
            ("deployment.state.next.txn_ops", next.txn_ops.unwrap_or(d.state.txn_ops)),
        ] {
            if ops < 4 {
                let reason = format!("must be at least 4, is {ops}");
                return Err(SettingsError::Invalid(name, reason));
            }
        }
        if d.zones.is_empty() {
            return Err(SettingsError::Invalid("deployment.zones", "must not be empty".into()));
        }
        for t in &d.teams {
            for v in [t.cpus, t.cpus_max, t.gpus, t.gpus_max] {
                let limit = v == f64::INFINITY && v != t.cpus && v != t.gpus;
                if !(limit || (v.is_finite() && v >= 0.0)) {
                    let reason = format!("`{}`: must be 0 or more, is {v}", t.name);
                    return Err(SettingsError::Invalid("deployment.teams", reason));
                }
            }
        }
        let t = &self.tuning;
        positive("rejection_cost", t.rejection_cost)?;
        positive("rate_window", t.rate_window)?;
        positive("default_span_s", t.default_span_s)?;
        positive("idle_boots", t.idle_boots)?;
        positive("standing", t.standing)?;
        positive("route_chunk", f64::from(t.route_chunk))?;
        if !(500..=60_000).contains(&t.leader_lease_ms) {
            return Err(SettingsError::Invalid("leader_lease_ms", "must be 500 to 60000".into()));
        }
        for (name, abilities) in
            [("abilities_on", &t.abilities_on), ("abilities_off", &t.abilities_off)]
        {
            if let Some(a) = abilities.iter().find(|a| !ABILITIES.contains(&a.as_str())) {
                let reason = format!("`{a}` is none of {}", ABILITIES.join(", "));
                return Err(SettingsError::Invalid(name, reason));
            }
        }
        if let Some(a) = t.abilities_on.intersection(&t.abilities_off).next() {
            let reason = format!("`{a}` is in abilities_on as well: leave it out of one of them");
            return Err(SettingsError::Invalid("abilities_off", reason));
        }
        // The leader renews its lease four times within its duration, and must be able to renew
        // workers' leases in between.
        if self.renewal_grace_ms() < t.leader_lease_ms / 2 {
            let reason = format!(
                "leaves workers to be renewed for {} ms after a renewal of the leader: raise it, lower lease_s or raise leader_lease_ms",
                self.renewal_grace_ms()
            );
            return Err(SettingsError::Invalid("deployment.workers.cancel_s", reason));
        }
        let names: BTreeSet<&str> = self.member_names().collect();
        if let Some(m) = t.members_left_out.iter().find(|m| !names.contains(m.as_str())) {
            let reason = format!("`{m}` is no member: it holds nothing up");
            return Err(SettingsError::Invalid("members_left_out", reason));
        }
        Ok(())
    }

    /// Returns the names of all members, this one included.
    pub fn member_names(&self) -> impl Iterator<Item = &str> {
        let others = self.members.iter().map(|m| m.name.as_str());
        others.filter(|m| *m != self.member).chain([self.member.as_str()])
    }

    /// Returns the operators' settings for abilities.
    pub fn ability_overrides(&self) -> AbilityOverrides {
        let t = &self.tuning;
        AbilityOverrides {
            enabled: t.abilities_on.clone(),
            disabled: t.abilities_off.clone(),
            excluded_members: t.members_left_out.clone(),
        }
    }

    /// Returns how long a leader may renew the workers' leases after its own last renewal, in
    /// milliseconds. Until then tasks survive an outage of the state service, and they still end
    /// within `cancel_s` of any cancellation that a successor could have confirmed, which it can't
    /// before this leader's lease has ended. `docs/safety.md`, "The gap", has the worst schedule and
    /// the reason for each term. Where `cancel_s` leaves too little time the result is shorter than
    /// the leader's lease, down to 0.
    pub fn renewal_grace_ms(&self) -> u64 {
        let w = &self.deployment.workers;
        let s = w.cancel_s - w.lease_s * MAX_CLOCK_DRIFT_RATIO - RENEWAL_GRACE_MARGIN_S;
        (self.tuning.leader_lease_ms as f64 + s * 1000.0).max(0.0) as u64
    }

    /// Returns a warning about settings that are allowed but costly, for the operators.
    pub fn warnings(&self) -> Option<String> {
        let (grace_ms, lease_ms) = (self.renewal_grace_ms(), self.tuning.leader_lease_ms);
        (grace_ms <= lease_ms).then(|| {
            let w = &self.deployment.workers;
            format!(
                "deployment.workers.cancel_s ({}) leaves no time beside lease_s ({}): workers are renewed for {grace_ms} ms after the leader's last renewal, and their tasks end in any outage of the state service that is longer than a worker's lease; raise cancel_s or lower lease_s",
                w.cancel_s, w.lease_s
            )
        })
    }

    /// Returns how many tasks of open jobs fit into the leader's memory; submissions beyond that are
    /// refused until jobs have finished.
    pub fn max_open_tasks(&self) -> usize {
        // A single job of the largest size always fits.
        ((self.deployment.limits.mem_mb * 8000.0) as usize).max(200_000)
    }

    /// Returns the longest time, in milliseconds, that a worker's lease may last by another machine's
    /// clock.
    pub fn max_worker_lease_ms(&self) -> u64 {
        (self.deployment.workers.lease_s * 1002.0) as u64 + 100
    }

    /// Returns the deadline span of a class in seconds: the longest bound of its objectives, if any
    /// has one.
    pub fn class_span_s(&self, class: &str) -> Option<f64> {
        self.deployment
            .objectives
            .iter()
            .filter(|o| o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
            .filter(|s| s.is_finite() && *s > 0.0)
            .fold(None, |a: Option<f64>, s| Some(a.map_or(s, |a| a.max(s))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::for_tests::{SAMPLE_SETTINGS, sample_settings};

    #[test]
    fn invalid_settings_are_refused_with_the_field_named() {
        let cases = [
            ("front = \"127.0.0.1:8080\"", "front = \"nowhere\"", "front"),
            ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
            ("lease_s = 10.0", "lease_s = nan", "lease_s"),
            ("lease_s = 10.0", "", "lease_s"),
            ("txn_ops = 16", "txn_ops = 1", "txn_ops"),
            ("zones = [\"north\", \"south\"]", "zones = []", "zones"),
            ("cpus = 16.0", "cpus = -2.0", "teams"),
            ("cpus = 16.0", "cpus = inf", "teams"),
            ("cpus_max = 64.0", "cpus_max = -1.0", "teams"),
            ("cpus_max = 64.0", "cpus_max = nan", "teams"),
            ("write_rps = 60.0", "write_rps = 0.0", "write_rps"),
            ("txn_ops = 16", "txn_ops = 16\nnext = { txn_ops = 3 }", "next.txn_ops"),
            ("txn_ops = 16", "txn_ops = 16\nnext = { value_kb = 1.0 }", "next.value_kb"),
            ("txn_ops = 16", "txn_ops = 16\nnext = { value_kb = nan }", "next.value_kb"),
            ("txn_ops = 16", "txn_ops = 16\nnext = { write_rps = -1.0 }", "next.write_rps"),
            ("txn_ops = 16", "txn_ops = 16\nnext = { rps = inf }", "next.rps"),
            ("value_kb = 8.0", "value_kb = 0.5", "value_kb"),
        ];
        for (from, to, field) in cases {
            let text = SAMPLE_SETTINGS.replace(from, to);
            let error = match toml::from_str::<Settings>(&text) {
                Ok(s) => s.check().expect_err(to).to_string(),
                Err(e) => e.to_string(),
            };
            assert!(error.contains(field), "{to}: {error}");
        }
        assert!(sample_settings().check().is_ok());
    }

    #[test]
    fn writes_keep_to_the_smaller_limits_from_the_start() {
        // The state service lowers its limits without notice some time after an upgrade.
        for (next, expected) in [
            ("", (250.0, 60.0, 8192, 16)),
            ("next = {}", (250.0, 60.0, 8192, 16)),
            ("next = { write_rps = 42.0, value_kb = 2.0, txn_ops = 5 }", (250.0, 42.0, 2048, 5)),
            // A limit that will be raised is not used before.
            ("next = { rps = 500.0, value_kb = 16.0, txn_ops = 64 }", (250.0, 60.0, 8192, 16)),
            ("next = { rps = 100.0, some_day = 3 }", (100.0, 60.0, 8192, 16)),
        ] {
            let text = SAMPLE_SETTINGS.replace("txn_ops = 16", &format!("txn_ops = 16\n{next}"));
            let s: Settings = toml::from_str(&text).expect(next);
            assert!(s.check().is_ok(), "{next}");
            let l = &s.deployment.state;
            assert_eq!(
                (l.rps(), l.write_rps(), l.max_value_bytes(), l.txn_ops()),
                expected,
                "{next}"
            );
        }
    }

    #[test]
    fn a_limit_of_0_means_no_limit() {
        // A team without a guarantee may have only a name in the settings. Read as a limit of 0, that
        // refused each of its submissions as more than its limit (found on recorded days).
        for (from, to, max_cpus, guest) in [
            ("cpus = 16.0, cpus_max = 64.0", "cpus = 16.0, cpus_max = 64.0", 64.0, false),
            ("cpus = 16.0, cpus_max = 64.0", "cpus = 0.0, cpus_max = 0.0", f64::INFINITY, true),
            (", cpus = 16.0, cpus_max = 64.0", "", f64::INFINITY, true),
            ("cpus = 16.0, cpus_max = 64.0", "cpus_max = 12.0", 12.0, true),
        ] {
            let s: Settings = toml::from_str(&SAMPLE_SETTINGS.replace(from, to)).expect(to);
            assert!(s.check().is_ok(), "{to}");
            let team = &s.deployment.teams[0];
            assert_eq!((team.cpus_max, team.lacks_guarantee()), (max_cpus, guest), "{to}");
        }
    }

    #[test]
    fn unknown_keys_in_the_operators_file_are_refused() {
        assert_eq!(parse_tuning("rejection_cost: 0.5").unwrap().rejection_cost, 0.5);
        assert!(parse_tuning("rejection_cots: 0.5").unwrap_err().to_string().contains("cots"));
        assert_eq!(parse_tuning("").unwrap().route_chunk, 1000);
    }

    /// Returns the sample settings with other worker times and another leader lease.
    fn settings_with_times(lease_s: f64, cancel_s: f64, leader_lease_ms: u64) -> Settings {
        let mut s = sample_settings();
        (s.deployment.workers.lease_s, s.deployment.workers.cancel_s) = (lease_s, cancel_s);
        s.tuning.leader_lease_ms = leader_lease_ms;
        s
    }

    #[test]
    fn renewal_grace_ends_before_a_cancellation_is_due() {
        // Guards against tasks that outlive `cancel_s` (`ran_cancelled`): an isolated leader's last
        // renewal plus a whole worker lease must end within cancel_s of the end of the leader's own
        // lease, before which no successor can confirm a cancellation. Checked for the times of
        // known deployments and for generated ones in any proportion, down to refused settings.
        let known = [(10.0, 35.0), (30.0, 60.0), (22.0, 47.0), (36.0, 56.0), (16.0, 35.0)];
        let tight = (0..30).map(|n| (30.0, 30.0 + f64::from(n) / 15.0));
        let generated = (1..400).map(|n| (f64::from(n % 40) + 0.5, f64::from(n * 37 % 900) / 10.0));
        let (mut accepted, mut warned) = (0, 0);
        for (lease_s, cancel_s) in known.into_iter().chain(tight).chain(generated) {
            for leader_lease_ms in [500, 2_500, 60_000] {
                let s = settings_with_times(lease_s, cancel_s, leader_lease_ms);
                if s.check().is_err() {
                    assert!(cancel_s < lease_s * 1.002 + 1.0, "{lease_s} {cancel_s} is refused");
                    continue;
                }
                accepted += 1;
                let due = leader_lease_ms as f64 + cancel_s * 1000.0;
                // Both clocks are off by the worst, for the worker's lease and for the grace period.
                let end = (s.renewal_grace_ms() as f64 + lease_s * 1000.0) * 1.001;
                assert!(end < due, "{lease_s} {cancel_s} {leader_lease_ms}: {end} {due}");
                warned += usize::from(s.warnings().is_some());
            }
        }
        assert!(
            accepted > 500 && warned > 20,
            "{accepted} settings accepted, {warned} with hardly any renewal grace"
        );
    }

    #[test]
    fn unsafe_worker_times_are_refused_and_tight_ones_are_warned_about() {
        for (lease_s, cancel_s, grace_ms) in [
            (30.0, 20.0, None),
            (30.0, 30.0, None),
            // There is a safe renewal grace, but it is shorter than the leader's own lease.
            (30.0, 30.5, Some(1_940)),
            (30.0, 31.0, Some(2_440)),
            (30.0, 60.0, Some(31_440)),
        ] {
            let s = settings_with_times(lease_s, cancel_s, 2_500);
            match grace_ms {
                None => {
                    let error = s.check().expect_err("refused").to_string();
                    assert!(error.contains("cancel_s") && error.contains("raise"), "{error}");
                }
                Some(ms) => {
                    assert!(s.check().is_ok(), "{cancel_s}");
                    assert_eq!(s.renewal_grace_ms(), ms, "{cancel_s}");
                    assert_eq!(s.warnings().is_some(), ms <= 2_500, "{cancel_s}");
                }
            }
        }
    }
}
