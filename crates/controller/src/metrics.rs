//! Figures for those who watch the service, in the OpenMetrics text format, on `cluster_listen`.
//! They are gathered when asked for, so that nobody pays for them in between.

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
type Figure = Family<Labels, Gauge<f64, AtomicU64>>;

fn gather(node: &Node) -> Registry {
    let mut registry = Registry::with_prefix("copperhaven");
    let mut figure = |name: &str, help: &str| {
        let f = Figure::default();
        registry.register(name, help, f.clone());
        f
    };
    let term = figure("term", "Highest term seen");
    let leader = figure("leader", "1 if this controller leads");
    let jobs = figure("jobs", "Jobs in memory, by state");
    let machines = figure("machines", "Machines, by type, zone and state");
    let waiting = figure("queue_tasks", "Waiting tasks routed to each pool");
    let index = figure("queue_index", "Chance that one more one-slot task misses the default span");
    let boots = figure("boots", "Machines that boot, and of them those overdue");
    let failing = figure("jobs_failing", "Jobs whose tasks fail wherever they start");
    let usage = figure("team_cpus", "CPUs that tasks of each team may be using");
    let service =
        figure("service_jobs", "Jobs of each team and class since the ledger was begun, by fate");
    let share = figure(
        "service_share",
        "Jobs done of late against those that should have been, by class and by team",
    );
    let lost = figure("service_lost", "Part of a class's CPU seconds lost to others of late");
    let slow =
        figure("service_slowdown", "Time that done jobs took, in units of their class's aim");
    let phase = figure("recovery_phase", "1 for the phase that the leader's takeover is in");
    let unheard = figure("recovery_unheard", "Machines on record that this term has not heard");
    let squared = figure("recovery_tasks", "Tasks by what records and first reports made of them");
    let directly = figure("direct_orders", "Orders straight to workers, by kind and fate");
    let dirty = figure("records_dirty", "Records not yet at the state service");
    let writes = figure("store_writes", "Puts and deletes sent in this term");
    let latency = figure("commit_seconds", "Time that transactions of this term took");
    let refused = figure("refused_requests", "Requests of users refused for being too many");
    for (why, n) in crate::node::REFUSAL_REASONS.iter().zip(&node.refusal_counts) {
        let n = n.load(std::sync::atomic::Ordering::Relaxed) as f64;
        refused.get_or_create(&vec![("many", (*why).into())]).set(n);
    }
    let reach =
        figure("reaches", "1 if this controller reaches the state service, a peer, a leader");
    let silent = figure("workers_silent_seconds", "Time since the leader last heard any worker");
    let state_service = node.state.lock().expect("lock").state_service_down_since_ms.is_none();
    let peer = node.cluster.has_reachable_peer(node.now());
    for (what, yes) in [("state", state_service), ("peer", peer), ("leader", node.is_ready())] {
        reach.get_or_create(&vec![("what", what.into())]).set(f64::from(u8::from(yes)));
    }
    let release = figure("release", "Release that each controller was last heard to run, 0: never");
    let own = (node.settings.member.as_str(), crate::cluster::frames::RELEASE);
    for (member, r) in node.cluster.releases().chain([own]) {
        release.get_or_create(&vec![("member", member.into())]).set(f64::from(r));
    }
    let upgraded = figure("upgrade_finished", "1 if all controllers run this one's release");
    let held = figure("records_held_back", "Records too long to be written until they shrink");
    let unreadable =
        figure("records_unreadable", "Records that can't be read or used, left as they are");
    let asked = node.state.lock().expect("lock").unreadable_keys.len();
    let swept =
        figure("swept", "Jobs and tasks that were in no place and were put back, in this term");
    let writes_refused =
        figure("refused_writes", "Transactions of this term that the state service refused");
    let (seen, leads) = node.leadership_status();
    let none: Labels = vec![];
    upgraded.get_or_create(&none).set(f64::from(u8::from(node.cluster.is_upgraded())));
    term.get_or_create(&none).set(seen as f64);
    leader.get_or_create(&none).set(f64::from(u8::from(leads)));
    let (sent, left) = node.direct_orders.sent_and_dropped();
    for (fate, counts) in [("sent", sent), ("left out", left)] {
        for (kind, n) in ["halt", "nudge", "term"].into_iter().zip(counts) {
            let labels = vec![("kind", kind.into()), ("fate", fate.into())];
            directly.get_or_create(&labels).set(n as f64);
        }
    }
    let now = node.now();
    node.with_leader_state(seen, |c, _| {
        for (i, name) in Phase::NAMES.iter().enumerate() {
            let here = f64::from(u8::from(c.recovery.phase() as usize == i));
            phase.get_or_create(&vec![("phase", (*name).into())]).set(here);
        }
        for (what, n) in [("jobs", c.sweep_counts.jobs), ("tasks", c.sweep_counts.tasks)] {
            swept.get_or_create(&vec![("what", what.into())]).set(n as f64);
        }
        unheard.get_or_create(&none).set(c.recovery.unreported_count() as f64);
        for (row, n) in c.reconciliation.iter() {
            squared.get_or_create(&vec![("met", row.name().into())]).set(n as f64);
        }
        for (state, n) in [
            (
                "awaiting",
                c.jobs
                    .values()
                    .filter(|j| j.is_open() && !j.pending_dependencies.is_empty())
                    .count(),
            ),
            (
                "waiting",
                c.jobs
                    .values()
                    .filter(|j| j.is_open() && j.running == 0 && j.pending_dependencies.is_empty())
                    .count(),
            ),
            ("running", c.jobs.values().filter(|j| j.is_open() && j.running > 0).count()),
            ("ending", c.jobs.values().filter(|j| !j.is_open()).count()),
        ] {
            jobs.get_or_create(&vec![("state", state.into())]).set(n as f64);
        }
        let silence = c.report_timeout_ms();
        for m in c.machines.values() {
            let state = match () {
                () if m.faulty => "quarantined",
                () if m.response_tracker.is_unresponsive() => "deaf",
                () if m.leaving => "leaving",
                () if m.reclaim_at.is_some() => "taken back",
                () if m.is_usable(now, silence) => "usable",
                () => "silent",
            };
            let labels = vec![
                ("type", c.names.types.name(m.machine_type.index()).to_string()),
                ("zone", c.names.zones.name(m.zone.index()).to_string()),
                ("state", state.into()),
            ];
            machines.get_or_create(&labels).inc();
        }
        let heard = c.machines.values().map(|m| m.last_report_at).max().unwrap_or(now);
        silent.get_or_create(&none).set(now.saturating_sub(heard) as f64 / 1000.0);
        let overdue = c.overdue_boots(now).0.len();
        for (state, n) in [("all", c.fleet.booting.len()), ("overdue", overdue)] {
            boots.get_or_create(&vec![("state", state.into())]).set(n as f64);
        }
        let fail = c.jobs.values().filter(|j| j.is_open() && j.is_failing()).count();
        failing.get_or_create(&none).set(fail as f64);
        let span = c.settings.tuning.default_span_s;
        for (z, zone) in (0..c.names.zones.len()).map(|z| (z, c.names.zones.name(z))) {
            for (k, flavor) in c.machine_types.iter().enumerate() {
                let pool = z * c.machine_types.len() + k;
                let labels = vec![("zone", zone.to_string()), ("type", flavor.label.clone())];
                let routed = |j: &Job| j.routed_by_pool.get(pool).copied().unwrap_or(0);
                let x: u32 = c.jobs.values().map(routed).sum();
                let here = |m: &&Machine| {
                    m.zone.index() == z
                        && m.machine_type == TypeId::from(k)
                        && m.is_usable(now, silence)
                };
                let m = c.machines.values().filter(here).count() as f64 * flavor.cpus;
                waiting.get_or_create(&labels).set(f64::from(x));
                let value = ln_meet_probability(m, f64::from(x), 1.0 / 60.0, 1.0 / span);
                index.get_or_create(&labels).set(miss_probability(value));
            }
        }
        for (t, team) in c.settings.deployment.teams.iter().enumerate() {
            usage
                .get_or_create(&vec![("team", team.name.clone())])
                .set(c.team_usage.usage(TeamId::from(t)).cpus);
        }
        let class = |i: u32| ("class", c.names.classes.name(i as usize).to_string());
        let team = |i: u32| ("team", c.names.teams.name(i as usize).to_string());
        for ((t, k), r) in c.fairness_ledger.team_classes() {
            for (fate, n) in [
                ("taken", r.accepted),
                ("done", r.done),
                ("cancelled", r.cancelled),
                ("refused", r.refused.iter().sum()),
                ("open", r.open.into()),
                ("late", r.late.into()),
            ] {
                let labels = vec![team(t.0), class(k.0), ("fate", fate.into())];
                service.get_or_create(&labels).set(n as f64);
            }
        }
        for (t, r) in c.fairness_ledger.teams() {
            share.get_or_create(&vec![team(t.0)]).set(r.served_share(now));
        }
        for (k, r) in c.fairness_ledger.classes() {
            share.get_or_create(&vec![class(k.0)]).set(r.served_share(now));
            lost.get_or_create(&vec![class(k.0)]).set(r.lost_share(now));
            for (name, q) in [("0.5", 0.5), ("0.9", 0.9)] {
                if let Some(s) = c.fairness_ledger.slowdown(k, q) {
                    slow.get_or_create(&vec![class(k.0), ("quantile", name.into())]).set(s);
                }
            }
        }
        dirty.get_or_create(&none).set(c.write_queue.dirty_count() as f64);
        writes.get_or_create(&none).set(c.write_queue.commit_stats.writes as f64);
        unreadable.get_or_create(&none).set((asked + c.unreadable.len()) as f64);
        held.get_or_create(&none).set(c.write_queue.held_back_count() as f64);
        for (why, n) in [
            ("too large", c.write_queue.commit_stats.refused_too_large),
            ("too many changes", c.write_queue.commit_stats.refused_too_many),
        ] {
            writes_refused.get_or_create(&vec![("why", why.into())]).set(n as f64);
        }
        for (name, q) in [("0.5", 0.5), ("0.99", 0.99), ("1", 1.0)] {
            let s = c.write_queue.commit_stats.latency_us.value_at_quantile(q) as f64 / 1e6;
            latency.get_or_create(&vec![("quantile", name.into())]).set(s);
        }
    });
    registry
}

async fn answer(
    node: Arc<Node>,
    r: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut text = String::new();
    let found = r.uri().path() == "/metrics" && encode(&mut text, &gather(&node)).is_ok();
    let mut response = Response::new(Full::new(Bytes::from(text)));
    if !found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}

pub async fn serve<S>(node: &Arc<Node>, io: S) -> hyper::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let node = node.clone();
    let service = service_fn(move |r| answer(node.clone(), r));
    http1::Builder::new().keep_alive(false).serve_connection(TokioIo::new(io), service).await
}
