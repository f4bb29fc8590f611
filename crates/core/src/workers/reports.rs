//! Reports: what they prove and what follows.

use crate::records::{AssignmentRecord, to_ranges};
use crate::state::fairness_accounting;
use crate::state::job::WaitReason;
use crate::state::leader_state::LeaderState;
use crate::state::machine::{Assignment, EndedTask, ObservedState, RESERVATION_MS};
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::JobKind;
use copperhaven_wire::workers::{Report, TaskReport};
use std::collections::{BTreeMap, BTreeSet};

/// What a report came to.
#[derive(Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// Answer it with the orders of this machine, once they are safe.
    Answer(MachineId),
    /// Older than what is known: no answer helps.
    Stale,
    /// The worker has seen a newer term: this leader's is over.
    NewerTerm(u64),
    Malformed(&'static str),
}

pub(super) fn parse_task_id(parcel: &str) -> Option<(&str, u32)> {
    let (uid, task) = parcel.rsplit_once('/')?;
    Some((uid, task.parse().ok()?))
}

impl LeaderState {
    /// Takes a report in. Pure bookkeeping; the orders follow with `orders`.
    pub fn on_report(&mut self, r: &Report, now: u64) -> ReportOutcome {
        if r.term > self.term {
            return ReportOutcome::NewerTerm(r.term);
        }
        self.advance_fairness(now);
        if self.fleet.is_gone(&r.machine) {
            // A report held back by the network, from a machine that the cloud has since confirmed
            // as gone: what it lists is nowhere any more.
            return ReportOutcome::Stale;
        }
        let mid = match self.machines.id_of(r.machine.as_str()) {
            Some(mid) => mid,
            None => {
                if r.machine.is_empty() || r.machine.len() > 100 || r.machine.contains([' ', '/']) {
                    return ReportOutcome::Malformed("name of the machine");
                }
                let (Some(kind), Some(zone)) =
                    (self.names.types.get(&r.machine_type), self.names.zones.get(&r.zone))
                else {
                    return ReportOutcome::Malformed("unknown machine type or zone");
                };
                if kind.index() >= self.machine_types.len() {
                    return ReportOutcome::Malformed("unknown machine type");
                }
                self.add_machine(&r.machine, &r.addr, kind, zone, r.spot, now)
            }
        };
        let rented = self.fleet.finish_boot(&r.machine, now);
        let Some(m) = self.machines.get_mut(&mid) else { return ReportOutcome::Stale };
        m.paid_since = rented.unwrap_or(m.paid_since);
        if (r.session, r.sequence) <= m.last_report {
            return ReportOutcome::Stale;
        }
        self.update_responsiveness(mid, r, now);
        let Some(m) = self.machines.get_mut(&mid) else { return ReportOutcome::Stale };
        if m.last_report_at == 0 {
            m.idle_since = now;
            self.placement_pending = true;
        }
        m.last_report = (r.session, r.sequence);
        m.addr.clone_from(&r.addr);
        m.last_report_at = now;
        let of_term = r.term == self.term;
        let first = of_term && !m.fenced;
        if first {
            m.fenced = true;
            self.placement_pending = true;
        }
        m.reclaim_at = r.reclaim_in_s.map(|s| now + (s.clamp(0.0, 86_400.0) * 1000.0) as u64);
        if first {
            self.reconcile_first_report(mid, r, now);
        }
        let hidden =
            self.unreadable.has_machine(&r.machine) || self.unreadable.has_unreadable_pack();
        let Some(m) = self.machines.get_mut(&mid) else { return ReportOutcome::Stale };
        m.ended_tasks.clear();
        m.orphan_tasks.clear();
        let mut listed: BTreeSet<(JobId, u32)> = BTreeSet::new();
        let mut foreign: BTreeMap<(&str, u64), BTreeSet<u32>> = BTreeMap::new();
        for p in &r.tasks {
            let Some((uid, task)) = parse_task_id(&p.task_id) else { continue };
            let known = self.jobs.id_of(uid);
            if p.status == "ended" {
                let done = p.cause.as_deref() == Some("done");
                let ended = EndedTask {
                    id: known,
                    task,
                    task_id: p.task_id.clone(),
                    attempt: p.attempt,
                    done,
                };
                if let Some(id) = known {
                    let entry = self.machines[&mid].assignments.get(&(id, task));
                    if entry.is_some_and(|e| e.attempt == p.attempt) {
                        self.on_ended(mid, id, task, p, now);
                    } else if done {
                        self.mark_task_done(id, task);
                    }
                }
                if let Some(m) = self.machines.get_mut(&mid) {
                    m.ended_tasks.push(ended);
                }
                continue;
            }
            let seen = match p.status.as_str() {
                "pulling" => ObservedState::Pulling,
                "waiting" => ObservedState::Waiting,
                "saving" => ObservedState::Checkpointing,
                _ => ObservedState::Running,
            };
            // What an older term's report lists without a record is as old as that report, and no
            // proof that the task is still there; it is halted, but holds nothing up.
            let known = known
                .filter(|id| of_term || self.machines[&mid].assignments.contains_key(&(*id, task)));
            match known {
                Some(id) => {
                    listed.insert((id, task));
                    if hidden {
                        self.adopt(mid, id, task, p.attempt, now);
                    }
                    self.on_seen(mid, id, task, p.attempt, seen, now);
                }
                // What its record would say is not known: what may go on is not halted before it has
                // shown this term.
                None if hidden && !of_term && self.is_open(uid) => {}
                None => {
                    if self.unreadable.job_reason(uid).is_some() {
                        foreign.entry((uid, p.attempt)).or_default().insert(task);
                    }
                    if let Some(m) = self.machines.get_mut(&mid) {
                        m.orphan_tasks.push((p.task_id.clone(), p.attempt));
                    }
                }
            }
        }
        if of_term {
            let at = (r.session, r.sequence);
            // What its answers did not bring there waits no longer for the next one.
            let deaf = self.machines[&mid].response_tracker.is_unresponsive();
            let absent: Vec<(JobId, u32)> = self.machines[&mid]
                .assignments
                .iter()
                .filter(|(k, e)| {
                    let spoken = e.unconfirmed || e.observed != ObservedState::NotReported;
                    let other_session = e.run_sent_with.is_some_and(|m| m.0 != r.session);
                    !listed.contains(k)
                        && (spoken || other_session || deaf || e.stop_requested.is_some())
                })
                .filter(|(_, e)| e.run_sent_with.is_none_or(|m| m < at))
                .map(|(k, _)| *k)
                .collect();
            for (id, task) in absent {
                self.detach(mid, id, task);
                self.handle_lost_task(id);
            }
            self.show_hidden(mid, foreign);
        }
        let notice = self.machines.get(&mid).is_some_and(|m| m.reclaim_at.is_some());
        if notice {
            self.drain(mid, now);
        }
        if let Some(m) = self.machines.get_mut(&mid)
            && !m.assignments.is_empty()
        {
            m.idle_since = now;
        }
        ReportOutcome::Answer(mid)
    }

    fn on_seen(
        &mut self,
        mid: MachineId,
        id: JobId,
        task: u32,
        attempt: u64,
        seen: ObservedState,
        now: u64,
    ) {
        let open = self.jobs.get(&id).is_some_and(|j| j.is_open());
        let Some(m) = self.machines.get_mut(&mid) else { return };
        let Some(e) = m.assignments.get_mut(&(id, task)) else {
            // Listed though nobody recorded it: it counts, and it goes.
            let mut e = Assignment::new(attempt, 0, now);
            e.stop_requested = Some((now, 0.0));
            e.observed =
                if seen == ObservedState::Running { ObservedState::Checkpointing } else { seen };
            let name = m.name.clone();
            tracing::warn!("{name} runs {} without a record", self.task_id(id, task));
            self.attach(mid, id, task, e);
            return;
        };
        e.attempt = e.attempt.max(attempt);
        let taken_over = std::mem::take(&mut e.unconfirmed);
        let was = e.observed;
        e.observed = seen;
        if !open && e.stop_requested.is_none() {
            e.stop_requested = Some((now, 0.0));
            if let Some(job) = self.jobs.get(&id) {
                self.team_usage.add_stopping(&job.spec);
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            if seen == ObservedState::Running && was != ObservedState::Running {
                job.running += 1;
                job.gang_started = true;
                job.wait_reason = WaitReason::Nothing;
                self.fairness_ledger
                    .tasks_started(fairness_accounting::fairness_pair(&job.spec), 1);
                // When a task started is not known if an earlier leader had it started. One whose
                // image is there starts right away: the report before did not list it yet.
                e.running_since = if taken_over { 0 } else { now };
            } else if seen != ObservedState::Running && was == ObservedState::Running {
                job.running = job.running.saturating_sub(1);
            }
            if job.gang_attempt < attempt {
                job.gang_attempt = attempt;
            }
        }
    }

    fn is_open(&self, uid: &str) -> bool {
        self.job(uid).is_some_and(|(_, job)| job.is_open())
    }

    /// A task that a machine lists whose record can't be used: it was started by an earlier leader
    /// and goes on, if nothing speaks against it.
    fn adopt(&mut self, mid: MachineId, id: JobId, task: u32, attempt: u64, now: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        let free =
            job.is_open() && job.pending_dependencies.is_empty() && job.waiting.contains(task);
        let mates = job.spec.kind != JobKind::Gang
            || job.placement_counts.is_empty()
            || job.gang_attempt == attempt;
        if !free || !mates {
            return;
        }
        let ver = self.mark_dirty(RecordKey::Machine(mid));
        let mut e = Assignment::new(attempt, ver, now);
        e.unconfirmed = true;
        self.attach(mid, id, task, e);
    }

    /// A report of this term tells all that is on a machine, tasks of jobs that are set aside
    /// among it. Its record is written anew if that differs.
    fn show_hidden(&mut self, mid: MachineId, foreign: BTreeMap<(&str, u64), BTreeSet<u32>>) {
        let Some(m) = self.machines.get_mut(&mid) else { return };
        let foreign: Vec<AssignmentRecord> = foreign
            .into_iter()
            .map(|((j, t), tasks)| AssignmentRecord {
                job: j.into(),
                attempt: t,
                task_ranges: to_ranges(tasks),
            })
            .collect();
        let name = m.name.clone();
        if m.unreadable_job_tasks != foreign {
            m.unreadable_job_tasks = foreign;
            self.mark_dirty(RecordKey::Machine(mid));
            self.placement_pending = true;
        }
        if self.unreadable.has_machine(&name) {
            self.mark_dirty(RecordKey::Machine(mid));
            self.resolve_unreadable_machine_record(&name, "it has reported");
        }
    }

    /// A task exited: its place is free, and the reason tells what comes next.
    fn on_ended(&mut self, mid: MachineId, id: JobId, task: u32, p: &TaskReport, now: u64) {
        let Some(entry) = self.detach(mid, id, task) else { return };
        let Some(spec) = self.jobs.get(&id).map(|j| j.spec.clone()) else { return };
        match p.cause.as_deref() {
            Some("done") => {
                let pool = self.machines.get(&mid).map(|m| (m.zone, m.machine_type));
                if let (Some((zone, kind)), true) = (pool, entry.running_since > 0) {
                    let s = now.saturating_sub(entry.running_since) as f64 / 1000.0;
                    let pool = self.pool_index(zone, kind);
                    self.run_times.record_run(pool, spec.class, s);
                    self.fairness_ledger
                        .task_completed(fairness_accounting::fairness_pair(&spec), s * spec.cpus);
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.run_stats.0 += 1;
                        job.run_stats.1 += s;
                        job.run_stats.2 = job.run_stats.2.max(s);
                    }
                }
                if let Some(m) = self.machines.get_mut(&mid) {
                    m.machine_failures = 0;
                    m.suspect_failures.clear();
                }
                if spec.kind == JobKind::Gang {
                    // If one task of a gang is done, all are.
                    for t in 0..spec.tasks {
                        self.mark_task_done(id, t);
                    }
                } else if spec.kind == JobKind::Array {
                    self.mark_task_done(id, task);
                }
            }
            Some("error" | "no_such") => {
                // Failed before it was ever seen to run: within the time between two reports.
                let began = if entry.running_since > 0 { entry.running_since } else { now };
                self.handle_task_failure(mid, id, now.saturating_sub(began), now);
            }
            Some("full" | "busy") => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.retry_at = job.retry_at.max(now + 1000);
                }
            }
            _ => {}
        }
        if p.cause.as_deref() != Some("done") {
            self.handle_lost_task(id);
            if spec.kind != JobKind::Gang {
                return;
            }
            if p.cause.as_deref() == Some("alone") && self.mates_fetch(id, now) {
                // Its image is there, its place is kept, and a replacement may join the attempt
                // until the last of its mates has fetched. Stopping them all would give up their
                // fetches: where an image takes longer than a gang may wait, for ever.
                if let Some(m) = self.machines.get_mut(&mid) {
                    m.reserved = Some((id, now + RESERVATION_MS));
                }
                return;
            }
            // Any other task that exits by itself (refused, failed) ends the attempt for all: its
            // mates would only wait out their time.
            self.stop_all_tasks(id, now, 0.0);
        }
    }

    /// Is a gang that has not started still fetching its image somewhere, and not for far too
    /// long?
    fn mates_fetch(&self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.gang_started && j.is_open()) else {
            return false;
        };
        let mut fetching = false;
        for m in self.machines.values() {
            let fetch =
                job.spec.image_gb / self.machine_types[m.machine_type.index()].fetch_gb_per_s;
            let most = 60_000 + (fetch.min(3600.0) * 4000.0) as u64;
            for (_, e) in m.assignments.range((id, 0)..=(id, u32::MAX)) {
                if e.stop_requested.is_some() || e.unconfirmed {
                    return false;
                }
                let on_way =
                    matches!(e.observed, ObservedState::NotReported | ObservedState::Pulling);
                fetching |= on_way && now < e.assigned_at + most;
            }
        }
        fetching
    }
}
