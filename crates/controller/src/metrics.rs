//! Metrics in the OpenMetrics text format, served on `cluster_listen`. They are collected on request,
//! so that they cost nothing between requests.

use crate::node::Node;
use copperhaven_core::admission::index::{ln_meet_probability, miss_probability};
use copperhaven_core::state::job::Job;
use copperhaven_core::state::machine::Machine;
use copperhaven_core::state::names::{TeamId, TypeId};
use copperhaven_recovery::phase::Phase;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use tokio::io::{AsyncRead, AsyncWrite};

type Labels = Vec<(&'static str, String)>;
type GaugeFamily = Family<Labels, Gauge<f64, AtomicU64>>;

/// Collects the metrics of this controller and of its leader state, if it has one.
fn collect(node: &Node) -> Registry {
    let mut registry = Registry::with_prefix("copperhaven");
    let mut gauge = |name: &str, help: &str| {
        let family = GaugeFamily::default();
        registry.register(name, help, family.clone());
        family
    };
    let term = gauge("term", "Highest term seen");
    let is_leader = gauge("leader", "1 if this controller leads");
    let jobs = gauge("jobs", "Jobs in memory, by state");
    let machines = gauge("machines", "Machines, by type, zone and state");
    let waiting = gauge("queue_tasks", "Waiting tasks routed to each pool");
    let miss_index =
        gauge("queue_index", "Chance that one more one-slot task misses the default span");
    let boots = gauge("boots", "Machines that boot, and of them those overdue");
    let failing = gauge("jobs_failing", "Jobs whose tasks fail wherever they start");
    let team_cpus = gauge("team_cpus", "CPUs that tasks of each team may be using");
    let service_jobs =
        gauge("service_jobs", "Jobs of each team and class since the ledger was begun, by fate");
    let service_share = gauge(
        "service_share",
        "Jobs done of late against those that should have been, by class and by team",
    );
    let service_lost =
        gauge("service_lost", "Part of a class's CPU seconds lost to others of late");
    let slowdown =
        gauge("service_slowdown", "Time that done jobs took, in units of their class's aim");
    let phase = gauge("recovery_phase", "1 for the phase that the leader's takeover is in");
    let unreported = gauge("recovery_unheard", "Machines on record that this term has not heard");
    let reconciled =
        gauge("recovery_tasks", "Tasks by what records and first reports made of them");
    let direct_orders = gauge("direct_orders", "Orders straight to workers, by kind and fate");
    let dirty = gauge("records_dirty", "Records not yet at the state service");
    let writes = gauge("store_writes", "Puts and deletes sent in this term");
    let latency = gauge("commit_seconds", "Time that transactions of this term took");
    let refused_requests =
        gauge("refused_requests", "Requests of users refused for being too many");
    for (reason, n) in crate::node::REFUSAL_REASONS.iter().zip(&node.refusal_counts) {
        let n = n.load(std::sync::atomic::Ordering::Relaxed) as f64;
        refused_requests.get_or_create(&vec![("many", (*reason).into())]).set(n);
    }
    let reaches =
        gauge("reaches", "1 if this controller reaches the state service, a peer, a leader");
    let silent = gauge("workers_silent_seconds", "Time since the leader last heard any worker");
    let state_service_up = node.state.lock().expect("lock").state_service_down_since_ms.is_none();
    let peer_reachable = node.cluster.has_reachable_peer(node.now());
    for (what, reached) in
        [("state", state_service_up), ("peer", peer_reachable), ("leader", node.is_ready())]
    {
        reaches.get_or_create(&vec![("what", what.into())]).set(f64::from(u8::from(reached)));
    }
    let release = gauge("release", "Release that each controller was last heard to run, 0: never");
    let own = (node.settings.member.as_str(), crate::cluster::frames::RELEASE);
    for (member, number) in node.cluster.releases().chain([own]) {
        release.get_or_create(&vec![("member", member.into())]).set(f64::from(number));
    }
    let upgraded = gauge("upgrade_finished", "1 if all controllers run this one's release");
    let held_back = gauge("records_held_back", "Records too long to be written until they shrink");
    let unreadable =
        gauge("records_unreadable", "Records that can't be read or used, left as they are");
    let unreadable_keys = node.state.lock().expect("lock").unreadable_keys.len();
    let swept =
        gauge("swept", "Jobs and tasks that were in no place and were put back, in this term");
    let refused_writes =
        gauge("refused_writes", "Transactions of this term that the state service refused");
    let (highest_term, leads) = node.leadership_status();
    let no_labels: Labels = vec![];
    upgraded.get_or_create(&no_labels).set(f64::from(u8::from(node.cluster.is_upgraded())));
    term.get_or_create(&no_labels).set(highest_term as f64);
    is_leader.get_or_create(&no_labels).set(f64::from(u8::from(leads)));
    let (sent, dropped) = node.direct_orders.sent_and_dropped();
    for (fate, counts) in [("sent", sent), ("left out", dropped)] {
        for (kind, n) in ["halt", "nudge", "term"].into_iter().zip(counts) {
            let labels = vec![("kind", kind.into()), ("fate", fate.into())];
            direct_orders.get_or_create(&labels).set(n as f64);
        }
    }
    let now = node.now();
    node.with_leader_state(highest_term, |leader, _| {
        for (i, name) in Phase::NAMES.iter().enumerate() {
            let current = f64::from(u8::from(leader.recovery.phase() as usize == i));
            phase.get_or_create(&vec![("phase", (*name).into())]).set(current);
        }
        for (what, n) in [("jobs", leader.sweep_counts.jobs), ("tasks", leader.sweep_counts.tasks)]
        {
            swept.get_or_create(&vec![("what", what.into())]).set(n as f64);
        }
        unreported.get_or_create(&no_labels).set(leader.recovery.unreported_count() as f64);
        for (outcome, n) in leader.reconciliation.iter() {
            reconciled.get_or_create(&vec![("met", outcome.name().into())]).set(n as f64);
        }
        for (state, n) in [
            (
                "awaiting",
                leader
                    .jobs
                    .values()
                    .filter(|j| j.is_open() && !j.pending_dependencies.is_empty())
                    .count(),
            ),
            (
                "waiting",
                leader
                    .jobs
                    .values()
                    .filter(|j| j.is_open() && j.running == 0 && j.pending_dependencies.is_empty())
                    .count(),
            ),
            ("running", leader.jobs.values().filter(|j| j.is_open() && j.running > 0).count()),
            ("ending", leader.jobs.values().filter(|j| !j.is_open()).count()),
        ] {
            jobs.get_or_create(&vec![("state", state.into())]).set(n as f64);
        }
        let report_timeout_ms = leader.report_timeout_ms();
        for m in leader.machines.values() {
            let state = match () {
                () if m.faulty => "quarantined",
                () if m.response_tracker.is_unresponsive() => "deaf",
                () if m.leaving => "leaving",
                () if m.reclaim_at.is_some() => "taken back",
                () if m.is_usable(now, report_timeout_ms) => "usable",
                () => "silent",
            };
            let labels = vec![
                ("type", leader.names.types.name(m.machine_type.index()).to_string()),
                ("zone", leader.names.zones.name(m.zone.index()).to_string()),
                ("state", state.into()),
            ];
            machines.get_or_create(&labels).inc();
        }
        let last_report_at =
            leader.machines.values().map(|m| m.last_report_at).max().unwrap_or(now);
        silent.get_or_create(&no_labels).set(now.saturating_sub(last_report_at) as f64 / 1000.0);
        let overdue = leader.overdue_boots(now).0.len();
        for (state, n) in [("all", leader.fleet.booting.len()), ("overdue", overdue)] {
            boots.get_or_create(&vec![("state", state.into())]).set(n as f64);
        }
        let failing_count = leader.jobs.values().filter(|j| j.is_open() && j.is_failing()).count();
        failing.get_or_create(&no_labels).set(failing_count as f64);
        let default_span_s = leader.settings.tuning.default_span_s;
        for (z, zone) in (0..leader.names.zones.len()).map(|z| (z, leader.names.zones.name(z))) {
            for (k, machine_type) in leader.machine_types.iter().enumerate() {
                let pool = z * leader.machine_types.len() + k;
                let labels = vec![("zone", zone.to_string()), ("type", machine_type.label.clone())];
                let routed = |j: &Job| j.routed_by_pool.get(pool).copied().unwrap_or(0);
                let waiting_tasks: u32 = leader.jobs.values().map(routed).sum();
                let in_pool = |m: &&Machine| {
                    m.zone.index() == z
                        && m.machine_type == TypeId::from(k)
                        && m.is_usable(now, report_timeout_ms)
                };
                let cpus =
                    leader.machines.values().filter(in_pool).count() as f64 * machine_type.cpus;
                waiting.get_or_create(&labels).set(f64::from(waiting_tasks));
                let ln_probability = ln_meet_probability(
                    cpus,
                    f64::from(waiting_tasks),
                    1.0 / 60.0,
                    1.0 / default_span_s,
                );
                miss_index.get_or_create(&labels).set(miss_probability(ln_probability));
            }
        }
        for (t, team) in leader.settings.deployment.teams.iter().enumerate() {
            team_cpus
                .get_or_create(&vec![("team", team.name.clone())])
                .set(leader.team_usage.usage(TeamId::from(t)).cpus);
        }
        let class = |i: u32| ("class", leader.names.classes.name(i as usize).to_string());
        let team = |i: u32| ("team", leader.names.teams.name(i as usize).to_string());
        for ((t, k), r) in leader.fairness_ledger.team_classes() {
            for (fate, n) in [
                ("taken", r.accepted),
                ("done", r.done),
                ("cancelled", r.cancelled),
                ("refused", r.refused.iter().sum()),
                ("open", r.open.into()),
                ("late", r.late.into()),
            ] {
                let labels = vec![team(t.0), class(k.0), ("fate", fate.into())];
                service_jobs.get_or_create(&labels).set(n as f64);
            }
        }
        for (t, r) in leader.fairness_ledger.teams() {
            service_share.get_or_create(&vec![team(t.0)]).set(r.served_share(now));
        }
        for (k, r) in leader.fairness_ledger.classes() {
            service_share.get_or_create(&vec![class(k.0)]).set(r.served_share(now));
            service_lost.get_or_create(&vec![class(k.0)]).set(r.lost_share(now));
            for (name, q) in [("0.5", 0.5), ("0.9", 0.9)] {
                if let Some(s) = leader.fairness_ledger.slowdown(k, q) {
                    slowdown.get_or_create(&vec![class(k.0), ("quantile", name.into())]).set(s);
                }
            }
        }
        dirty.get_or_create(&no_labels).set(leader.write_queue.dirty_count() as f64);
        writes.get_or_create(&no_labels).set(leader.write_queue.commit_stats.writes as f64);
        unreadable
            .get_or_create(&no_labels)
            .set((unreadable_keys + leader.unreadable.len()) as f64);
        held_back.get_or_create(&no_labels).set(leader.write_queue.held_back_count() as f64);
        for (reason, n) in [
            ("too large", leader.write_queue.commit_stats.refused_too_large),
            ("too many changes", leader.write_queue.commit_stats.refused_too_many),
        ] {
            refused_writes.get_or_create(&vec![("why", reason.into())]).set(n as f64);
        }
        for (name, q) in [("0.5", 0.5), ("0.99", 0.99), ("1", 1.0)] {
            let s = leader.write_queue.commit_stats.latency_us.value_at_quantile(q) as f64 / 1e6;
            latency.get_or_create(&vec![("quantile", name.into())]).set(s);
        }
    });
    registry
}

async fn respond(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut text = String::new();
    let found = request.uri().path() == "/metrics" && encode(&mut text, &collect(&node)).is_ok();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    if !found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}

/// Serves the metrics to one HTTP request on an open connection.
pub async fn serve<S>(node: &Arc<Node>, io: S) -> hyper::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let node = node.clone();
    let service = service_fn(move |request| respond(node.clone(), request));
    http1::Builder::new().keep_alive(false).serve_connection(TokioIo::new(io), service).await
}
