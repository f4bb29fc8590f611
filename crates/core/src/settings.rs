//! The platform's settings file (TOML, unknown fields ignored) and the operators' own (YAML,
//! optional, unknown keys refused). Everything the scheduler decides derives from these.

use copperhaven_rollout::{ABILITIES, AbilityOverrides};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;

/// Why the settings were refused; the text names the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Toml(String, toml::de::Error),
    #[error("{0}: {1}")]
    Yaml(String, serde_norway::Error),
    #[error("setting `{0}`: {1}")]
    Invalid(&'static str, String),
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub member: String,
    pub zone: String,
    #[serde(rename = "front")]
    pub api_listen: String,
    pub cluster_listen: String,
    #[serde(default)]
    pub members: Vec<Member>,
    pub endpoints: Endpoints,
    pub deployment: Deployment,
    #[serde(skip)]
    pub tuning: Tuning,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    #[serde(rename = "member")]
    pub name: String,
    #[serde(default)]
    pub zone: String,
    pub endpoint: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: String,
    pub state: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    pub zones: Vec<String>,
    #[serde(default)]
    pub clock_off_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub limits: Limits,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default = "unlimited", deserialize_with = "limit")]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default = "unlimited", deserialize_with = "limit")]
    pub gpus_max: f64,
}

impl Team {
    /// Nothing is guaranteed to it: it takes what is left.
    pub fn is_guest(&self) -> bool {
        self.cpus <= 0.0 && self.gpus <= 0.0
    }
}

fn unlimited() -> f64 {
    f64::INFINITY
}

/// A limit of 0 means none, as a guarantee of 0 does.
fn limit<'de, D: serde::Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    let most = f64::deserialize(d)?;
    Ok(if most == 0.0 { f64::INFINITY } else { most })
}

#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default, rename = "class")]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// Limits of the state service. `next` announces those that it will have from some moment on,
/// without notice: what is written keeps to the smaller of both from the start.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// What changes; what is left out stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    pub fn rps(&self) -> f64 {
        self.next.as_ref().and_then(|n| n.rps).map_or(self.rps, |n| n.min(self.rps))
    }

    pub fn write_rps(&self) -> f64 {
        let next = self.next.as_ref().and_then(|n| n.write_rps);
        next.map_or(self.write_rps, |n| n.min(self.write_rps))
    }

    pub fn txn_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|n| n.txn_ops);
        next.map_or(self.txn_ops, |n| n.min(self.txn_ops))
    }

    /// The longest value, in bytes.
    pub fn max_value_bytes(&self) -> usize {
        let next = self.next.as_ref().and_then(|n| n.value_kb);
        (next.map_or(self.value_kb, |n| n.min(self.value_kb)) * 1024.0) as usize
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    #[serde(default = "one")]
    pub cpu_share: f64,
    #[serde(default = "much")]
    pub mem_mb: f64,
    pub max_connections: usize,
}

fn one() -> f64 {
    1.0
}
fn much() -> f64 {
    1024.0
}

/// The operators' own settings, with their documented defaults.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// R of the admission rule: a deadline job is admitted while its lowest index is below it.
    pub rejection_cost: f64,
    /// How many finished tasks the mean run time of a pool and class looks back on.
    pub rate_window: f64,
    /// Deadline span assumed for jobs that have none and whose class has no objective, seconds.
    pub default_span_s: f64,
    /// The leader's lease at the state service, milliseconds.
    pub leader_lease_ms: u64,
    /// An idle machine is kept for this many boot times of its type.
    pub idle_boots: f64,
    /// Where every machine type boots too slowly for the objectives, the fleet is kept at this
    /// many times the sum of the teams' guarantees.
    pub standing: f64,
    /// Tasks of one array routed before other work gets its turn.
    pub route_chunk: u32,
    /// Changes of the stored state to be switched on although an older release wrote here before, or to be taken
    /// back, by name; and members that are gone for good and hold nothing up (docs/rollout.md).
    pub abilities_on: BTreeSet<String>,
    pub abilities_off: BTreeSet<String>,
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

/// How far two clocks may drift apart, with room.
const DRIFT: f64 = 1.002;

/// What is left between the end of the last held task and the end of `cancel_s`: lateness of timers, of the worker's look at
/// its lease, and of users' clocks.
const HOLDING_MARGIN_S: f64 = 1.0;

/// A value has to hold a job's record or a quarter of the finished ranges of a chunk.
pub const MIN_VALUE_BYTES: usize = 1536;

/// Reads and checks both files.
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
    /// May starts wait no longer than workers take to report? Then they are asked to (`workers::nudges`).
    pub fn needs_early_reports(&self) -> bool {
        let d = &self.deployment;
        let starts =
            d.objectives.iter().filter(|o| matches!(o.kind.as_str(), "wait" | "guarantee"));
        starts.filter_map(|o| o.within_s).any(|s| s < d.workers.report_s)
    }
}

impl Settings {
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
        // A worker that is cut off right after it was answered keeps its tasks for its lease, whatever anybody does.
        if d.workers.cancel_s <= d.workers.lease_s * DRIFT {
            let why = format!(
                "must be above lease_s with {} for drifting clocks, or tasks of a cancelled job outlive it on a machine that is cut off: raise it or lower lease_s ({}); is {}",
                DRIFT, d.workers.lease_s, d.workers.cancel_s
            );
            return Err(SettingsError::Invalid("deployment.workers.cancel_s", why));
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
                let why = format!("must be at least {}, is {kb}", MIN_VALUE_BYTES as f64 / 1024.0);
                return Err(SettingsError::Invalid(name, why));
            }
        }
        positive("deployment.cloud.rps", d.cloud.rps)?;
        positive("deployment.limits.max_connections", d.limits.max_connections as f64)?;
        for (name, ops) in [
            ("deployment.state.txn_ops", d.state.txn_ops),
            ("deployment.state.next.txn_ops", next.txn_ops.unwrap_or(d.state.txn_ops)),
        ] {
            if ops < 4 {
                let why = format!("must be at least 4, is {ops}");
                return Err(SettingsError::Invalid(name, why));
            }
        }
        if d.zones.is_empty() {
            return Err(SettingsError::Invalid("deployment.zones", "must not be empty".into()));
        }
        for t in &d.teams {
            for v in [t.cpus, t.cpus_max, t.gpus, t.gpus_max] {
                let limit = v == f64::INFINITY && v != t.cpus && v != t.gpus;
                if !(limit || (v.is_finite() && v >= 0.0)) {
                    let why = format!("`{}`: must be 0 or more, is {v}", t.name);
                    return Err(SettingsError::Invalid("deployment.teams", why));
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
                let why = format!("`{a}` is none of {}", ABILITIES.join(", "));
                return Err(SettingsError::Invalid(name, why));
            }
        }
        if let Some(a) = t.abilities_on.intersection(&t.abilities_off).next() {
            let why = format!("`{a}` is in abilities_on as well: leave it out of one of them");
            return Err(SettingsError::Invalid("abilities_off", why));
        }
        // It renews itself four times within its lease, and must be able to serve workers in between.
        if self.renewal_grace_ms() < t.leader_lease_ms / 2 {
            let why = format!(
                "leaves workers to be renewed for {} ms after a renewal of the leader: raise it, lower lease_s or raise leader_lease_ms",
                self.renewal_grace_ms()
            );
            return Err(SettingsError::Invalid("deployment.workers.cancel_s", why));
        }
        let names: BTreeSet<&str> = self.member_names().collect();
        if let Some(m) = t.members_left_out.iter().find(|m| !names.contains(m.as_str())) {
            let why = format!("`{m}` is no member: it holds nothing up");
            return Err(SettingsError::Invalid("members_left_out", why));
        }
        Ok(())
    }

    /// All members, this one among them.
    pub fn member_names(&self) -> impl Iterator<Item = &str> {
        let others = self.members.iter().map(|m| m.name.as_str());
        others.filter(|m| *m != self.member).chain([self.member.as_str()])
    }

    /// What operators want of abilities.
    pub fn ability_overrides(&self) -> AbilityOverrides {
        let t = &self.tuning;
        AbilityOverrides {
            enabled: t.abilities_on.clone(),
            disabled: t.abilities_off.clone(),
            excluded_members: t.members_left_out.clone(),
        }
    }

    /// How long a leader may go on renewing the workers' leases, counted from its own last renewal: until then tasks
    /// survive an outage of the state service, and yet they end within `cancel_s` of any cancellation that a successor
    /// could have confirmed (not before this leader's lease has ended). The worst schedule, and what each term is for:
    /// `docs/safety.md`, "The gap". Where `cancel_s` leaves no room it is shorter than the lease itself, down to 0.
    pub fn renewal_grace_ms(&self) -> u64 {
        let w = &self.deployment.workers;
        let s = w.cancel_s - w.lease_s * DRIFT - HOLDING_MARGIN_S;
        (self.tuning.leader_lease_ms as f64 + s * 1000.0).max(0.0) as u64
    }

    /// What operators should know of these settings, said once at the start.
    pub fn warnings(&self) -> Option<String> {
        let (holding, lease) = (self.renewal_grace_ms(), self.tuning.leader_lease_ms);
        (holding <= lease).then(|| {
            let w = &self.deployment.workers;
            format!(
                "deployment.workers.cancel_s ({}) leaves no time beside lease_s ({}): workers are renewed for {holding} ms after the leader's last renewal, and their tasks end in any outage of the state service that is longer than a worker's lease; raise cancel_s or lower lease_s",
                w.cancel_s, w.lease_s
            )
        })
    }

    /// Tasks of open jobs that the leader's memory has room for; more are refused for a while.
    pub fn max_open_tasks(&self) -> usize {
        // One job of the largest size always fits.
        ((self.deployment.limits.mem_mb * 8000.0) as usize).max(200_000)
    }

    /// A worker's lease, as long as it may last by another machine's clock.
    pub fn max_worker_lease_ms(&self) -> u64 {
        (self.deployment.workers.lease_s * 1002.0) as u64 + 100
    }

    /// Deadline span by class: the longest span that the class's objectives speak of.
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
    fn refuses_what_makes_no_sense_and_names_the_field() {
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
            // What is raised later is not used before.
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
    fn a_limit_of_0_is_none() {
        // Found on recorded days: a guest team's settings hold nothing but its name, and each of
        // its submissions was refused as more than its limit.
        for (from, to, most, guest) in [
            ("cpus = 16.0, cpus_max = 64.0", "cpus = 16.0, cpus_max = 64.0", 64.0, false),
            ("cpus = 16.0, cpus_max = 64.0", "cpus = 0.0, cpus_max = 0.0", f64::INFINITY, true),
            (", cpus = 16.0, cpus_max = 64.0", "", f64::INFINITY, true),
            ("cpus = 16.0, cpus_max = 64.0", "cpus_max = 12.0", 12.0, true),
        ] {
            let s: Settings = toml::from_str(&SAMPLE_SETTINGS.replace(from, to)).expect(to);
            assert!(s.check().is_ok(), "{to}");
            let red = &s.deployment.teams[0];
            assert_eq!((red.cpus_max, red.is_guest()), (most, guest), "{to}");
        }
    }

    #[test]
    fn operators_file_refuses_unknown_keys() {
        assert_eq!(parse_tuning("rejection_cost: 0.5").unwrap().rejection_cost, 0.5);
        assert!(parse_tuning("rejection_cots: 0.5").unwrap_err().to_string().contains("cots"));
        assert_eq!(parse_tuning("").unwrap().route_chunk, 1000);
    }

    /// Settings with these workers' times and this lease of the leader.
    fn times(lease_s: f64, cancel_s: f64, leader_lease_ms: u64) -> Settings {
        let mut s = sample_settings();
        (s.deployment.workers.lease_s, s.deployment.workers.cancel_s) = (lease_s, cancel_s);
        s.tuning.leader_lease_ms = leader_lease_ms;
        s
    }

    #[test]
    fn holding_ends_before_a_cancel_is_due() {
        // Guards `ran_cancelled`: an isolated leader's last renewal plus a whole worker lease must lie within cancel_s of
        // the moment its own lease ran out, before which no successor can confirm anything. The deployments there are,
        // and generated ones: in whatever proportion the times stand, down to settings that are refused.
        let known = [(10.0, 35.0), (30.0, 60.0), (22.0, 47.0), (36.0, 56.0), (16.0, 35.0)];
        let tight = (0..30).map(|n| (30.0, 30.0 + f64::from(n) / 15.0));
        let made = (1..400).map(|n| (f64::from(n % 40) + 0.5, f64::from(n * 37 % 900) / 10.0));
        let (mut served, mut short) = (0, 0);
        for (lease_s, cancel_s) in known.into_iter().chain(tight).chain(made) {
            for leader_lease_ms in [500, 2_500, 60_000] {
                let s = times(lease_s, cancel_s, leader_lease_ms);
                if s.check().is_err() {
                    assert!(cancel_s < lease_s * 1.002 + 1.0, "{lease_s} {cancel_s} is refused");
                    continue;
                }
                served += 1;
                let due = leader_lease_ms as f64 + cancel_s * 1000.0;
                // Both clocks are off by the worst, for the worker's lease and for the holding.
                let end = (s.renewal_grace_ms() as f64 + lease_s * 1000.0) * 1.001;
                assert!(end < due, "{lease_s} {cancel_s} {leader_lease_ms}: {end} {due}");
                short += usize::from(s.warnings().is_some());
            }
        }
        assert!(served > 500 && short > 20, "{served} served, {short} with hardly any holding");
    }

    #[test]
    fn times_for_which_nothing_is_safe_are_refused_and_short_ones_are_told() {
        for (lease_s, cancel_s, holding) in [
            (30.0, 20.0, None),
            (30.0, 30.0, None),
            // There is a safe holding time, shorter than the leader's own lease; and hardly any.
            (30.0, 30.5, Some(1_940)),
            (30.0, 31.0, Some(2_440)),
            (30.0, 60.0, Some(31_440)),
        ] {
            let s = times(lease_s, cancel_s, 2_500);
            match holding {
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
