//! Processing of worker reports: what a report proves about the tasks on its machine, and the
//! state changes that follow.

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

/// The outcome of processing a report.
#[derive(Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// To be answered with the orders for this machine, once their records are saved.
    Answer(MachineId),
    /// Older than the last processed report, or from a machine that is gone. It needs no orders.
    Stale,
    /// The worker has acknowledged this newer term, so this leader's term is over.
    NewerTerm(u64),
    /// Invalid, with the reason for the response.
    Malformed(&'static str),
}

/// Splits a task id (`JOB/INDEX`) into job id and task index.
pub(super) fn parse_task_id(task_id: &str) -> Option<(&str, u32)> {
    let (uid, task) = task_id.rsplit_once('/')?;
    Some((uid, task.parse().ok()?))
}

impl LeaderState {
    /// Updates the leader state from a report. Sends nothing: `issue_orders` creates the response.
    pub fn on_report(&mut self, report: &Report, now: u64) -> ReportOutcome {
        if report.term > self.term {
            return ReportOutcome::NewerTerm(report.term);
        }
        self.advance_fairness(now);
        if self.fleet.is_gone(&report.machine) {
            // The network delayed this report, and the cloud has since confirmed that the machine
            // is gone, with all tasks that the report lists.
            return ReportOutcome::Stale;
        }
        let machine_id = match self.machines.id_of(report.machine.as_str()) {
            Some(machine_id) => machine_id,
            None => {
                if report.machine.is_empty()
                    || report.machine.len() > 100
                    || report.machine.contains([' ', '/'])
                {
                    return ReportOutcome::Malformed("name of the machine");
                }
                let (Some(machine_type), Some(zone)) = (
                    self.names.types.get(&report.machine_type),
                    self.names.zones.get(&report.zone),
                ) else {
                    return ReportOutcome::Malformed("unknown machine type or zone");
                };
                if machine_type.index() >= self.machine_types.len() {
                    return ReportOutcome::Malformed("unknown machine type");
                }
                self.add_machine(
                    &report.machine,
                    &report.addr,
                    machine_type,
                    zone,
                    report.spot,
                    now,
                )
            }
        };
        let paid_since = self.fleet.finish_boot(&report.machine, now);
        let Some(machine) = self.machines.get_mut(&machine_id) else { return ReportOutcome::Stale };
        machine.paid_since = paid_since.unwrap_or(machine.paid_since);
        if (report.session, report.sequence) <= machine.last_report {
            return ReportOutcome::Stale;
        }
        self.update_responsiveness(machine_id, report, now);
        let Some(machine) = self.machines.get_mut(&machine_id) else { return ReportOutcome::Stale };
        if machine.last_report_at == 0 {
            machine.idle_since = now;
            self.placement_pending = true;
        }
        machine.last_report = (report.session, report.sequence);
        machine.addr.clone_from(&report.addr);
        machine.last_report_at = now;
        let is_current_term = report.term == self.term;
        let is_first_of_term = is_current_term && !machine.fenced;
        if is_first_of_term {
            machine.fenced = true;
            self.placement_pending = true;
        }
        machine.reclaim_at =
            report.reclaim_in_s.map(|s| now + (s.clamp(0.0, 86_400.0) * 1000.0) as u64);
        if is_first_of_term {
            self.reconcile_first_report(machine_id, report, now);
        }
        let may_have_unrecorded_tasks =
            self.unreadable.has_machine(&report.machine) || self.unreadable.has_unreadable_pack();
        let Some(machine) = self.machines.get_mut(&machine_id) else { return ReportOutcome::Stale };
        machine.ended_tasks.clear();
        machine.orphan_tasks.clear();
        let mut listed: BTreeSet<(JobId, u32)> = BTreeSet::new();
        let mut of_unreadable_jobs: BTreeMap<(&str, u64), BTreeSet<u32>> = BTreeMap::new();
        for reported in &report.tasks {
            let Some((uid, task)) = parse_task_id(&reported.task_id) else { continue };
            let job_id = self.jobs.id_of(uid);
            if reported.status == "ended" {
                let done = reported.cause.as_deref() == Some("done");
                let ended_task = EndedTask {
                    id: job_id,
                    task,
                    task_id: reported.task_id.clone(),
                    attempt: reported.attempt,
                    done,
                };
                if let Some(id) = job_id {
                    let recorded = self.machines[&machine_id].assignments.get(&(id, task));
                    if recorded.is_some_and(|assignment| assignment.attempt == reported.attempt) {
                        self.on_task_exited(machine_id, id, task, reported, now);
                    } else if done {
                        self.mark_task_done(id, task);
                    }
                }
                if let Some(machine) = self.machines.get_mut(&machine_id) {
                    machine.ended_tasks.push(ended_task);
                }
                continue;
            }
            let observed = match reported.status.as_str() {
                "pulling" => ObservedState::Pulling,
                "waiting" => ObservedState::Waiting,
                "saving" => ObservedState::Checkpointing,
                _ => ObservedState::Running,
            };
            // A task listed by a report of an older term, but on no record, may have left the
            // machine since that report. It is halted, but does not count as assigned.
            let job_id = job_id.filter(|id| {
                is_current_term || self.machines[&machine_id].assignments.contains_key(&(*id, task))
            });
            match job_id {
                Some(id) => {
                    listed.insert((id, task));
                    if may_have_unrecorded_tasks {
                        self.reregister_task(machine_id, id, task, reported.attempt, now);
                    }
                    self.on_task_listed(machine_id, id, task, reported.attempt, observed, now);
                }
                // The record that may list the task is unreadable: a task of an open job is not
                // halted before the worker has acknowledged this term.
                None if may_have_unrecorded_tasks && !is_current_term && self.is_job_open(uid) => {}
                None => {
                    if self.unreadable.job_reason(uid).is_some() {
                        of_unreadable_jobs.entry((uid, reported.attempt)).or_default().insert(task);
                    }
                    if let Some(machine) = self.machines.get_mut(&machine_id) {
                        machine.orphan_tasks.push((reported.task_id.clone(), reported.attempt));
                    }
                }
            }
        }
        if is_current_term {
            let report_key = (report.session, report.sequence);
            // Tasks that the responses to an unresponsive worker did not start are not kept for the
            // next response: those that this report does not list are removed.
            let is_unresponsive = self.machines[&machine_id].response_tracker.is_unresponsive();
            let absent: Vec<(JobId, u32)> = self.machines[&machine_id]
                .assignments
                .iter()
                .filter(|(task_key, assignment)| {
                    let was_reported =
                        assignment.unconfirmed || assignment.observed != ObservedState::NotReported;
                    let other_session =
                        assignment.run_sent_with.is_some_and(|sent| sent.0 != report.session);
                    !listed.contains(task_key)
                        && (was_reported
                            || other_session
                            || is_unresponsive
                            || assignment.stop_requested.is_some())
                })
                .filter(|(_, assignment)| {
                    assignment.run_sent_with.is_none_or(|sent| sent < report_key)
                })
                .map(|(task_key, _)| *task_key)
                .collect();
            for (id, task) in absent {
                self.detach(machine_id, id, task);
                self.handle_lost_task(id);
            }
            self.update_unreadable_job_tasks(machine_id, of_unreadable_jobs);
        }
        let has_reclaim_notice =
            self.machines.get(&machine_id).is_some_and(|machine| machine.reclaim_at.is_some());
        if has_reclaim_notice {
            self.drain(machine_id, now);
        }
        if let Some(machine) = self.machines.get_mut(&machine_id)
            && !machine.assignments.is_empty()
        {
            machine.idle_since = now;
        }
        ReportOutcome::Answer(machine_id)
    }

    fn on_task_listed(
        &mut self,
        machine_id: MachineId,
        id: JobId,
        task: u32,
        attempt: u64,
        observed: ObservedState,
        now: u64,
    ) {
        let is_open = self.jobs.get(&id).is_some_and(|job| job.is_open());
        let Some(machine) = self.machines.get_mut(&machine_id) else { return };
        let Some(assignment) = machine.assignments.get_mut(&(id, task)) else {
            // The task is on no record: it uses resources until it is stopped.
            let mut assignment = Assignment::new(attempt, 0, now);
            assignment.stop_requested = Some((now, 0.0));
            assignment.observed = if observed == ObservedState::Running {
                ObservedState::Checkpointing
            } else {
                observed
            };
            let name = machine.name.clone();
            tracing::warn!("{name} runs {}, which is on no record", self.task_id(id, task));
            self.attach(machine_id, id, task, assignment);
            return;
        };
        assignment.attempt = assignment.attempt.max(attempt);
        let was_unconfirmed = std::mem::take(&mut assignment.unconfirmed);
        let previous = assignment.observed;
        assignment.observed = observed;
        if !is_open && assignment.stop_requested.is_none() {
            assignment.stop_requested = Some((now, 0.0));
            if let Some(job) = self.jobs.get(&id) {
                self.team_usage.add_stopping(&job.spec);
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            if observed == ObservedState::Running && previous != ObservedState::Running {
                job.running += 1;
                job.gang_started = true;
                job.wait_reason = WaitReason::Nothing;
                self.fairness_ledger
                    .tasks_started(fairness_accounting::fairness_team_class(&job.spec), 1);
                // The start time is unknown (0) for a task that an earlier leader started. A task
                // whose image is on the machine starts at once: the last report did not list it.
                assignment.running_since = if was_unconfirmed { 0 } else { now };
            } else if observed != ObservedState::Running && previous == ObservedState::Running {
                job.running = job.running.saturating_sub(1);
            }
            if job.gang_attempt < attempt {
                job.gang_attempt = attempt;
            }
        }
    }

    /// Returns whether the job is known and open.
    fn is_job_open(&self, uid: &str) -> bool {
        self.job(uid).is_some_and(|(_, job)| job.is_open())
    }

    /// Registers a task that an earlier leader started on a machine whose record is unreadable,
    /// if its job is open and unblocked, still waits for it, and has no gang of another attempt.
    fn reregister_task(
        &mut self,
        machine_id: MachineId,
        id: JobId,
        task: u32,
        attempt: u64,
        now: u64,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let is_waiting =
            job.is_open() && job.pending_dependencies.is_empty() && job.waiting.contains(task);
        let can_join_gang = job.spec.kind != JobKind::Gang
            || job.placement_counts.is_empty()
            || job.gang_attempt == attempt;
        if !is_waiting || !can_join_gang {
            return;
        }
        let ver = self.mark_dirty(RecordKey::Machine(machine_id));
        let mut assignment = Assignment::new(attempt, ver, now);
        assignment.unconfirmed = true;
        self.attach(machine_id, id, task, assignment);
    }

    /// Stores the tasks of unreadable jobs that a report lists. A report of this term lists all
    /// tasks on its machine, so the machine's record is written again if they differ.
    fn update_unreadable_job_tasks(
        &mut self,
        machine_id: MachineId,
        unreadable_job_tasks: BTreeMap<(&str, u64), BTreeSet<u32>>,
    ) {
        let Some(machine) = self.machines.get_mut(&machine_id) else { return };
        let unreadable_job_tasks: Vec<AssignmentRecord> = unreadable_job_tasks
            .into_iter()
            .map(|((job, attempt), tasks)| AssignmentRecord {
                job: job.into(),
                attempt,
                task_ranges: to_ranges(tasks),
            })
            .collect();
        let name = machine.name.clone();
        if machine.unreadable_job_tasks != unreadable_job_tasks {
            machine.unreadable_job_tasks = unreadable_job_tasks;
            self.mark_dirty(RecordKey::Machine(machine_id));
            self.placement_pending = true;
        }
        if self.unreadable.has_machine(&name) {
            self.mark_dirty(RecordKey::Machine(machine_id));
            self.resolve_unreadable_machine_record(&name, "it has reported");
        }
    }

    /// Frees the resources of a task that has exited, and handles its exit cause.
    fn on_task_exited(
        &mut self,
        machine_id: MachineId,
        id: JobId,
        task: u32,
        reported: &TaskReport,
        now: u64,
    ) {
        let Some(assignment) = self.detach(machine_id, id, task) else { return };
        let Some(spec) = self.jobs.get(&id).map(|job| job.spec.clone()) else { return };
        match reported.cause.as_deref() {
            Some("done") => {
                let pool = self
                    .machines
                    .get(&machine_id)
                    .map(|machine| (machine.zone, machine.machine_type));
                if let (Some((zone, machine_type)), true) = (pool, assignment.running_since > 0) {
                    let run_s = now.saturating_sub(assignment.running_since) as f64 / 1000.0;
                    let pool = self.pool_index(zone, machine_type);
                    self.run_times.record_run(pool, spec.class, run_s);
                    self.fairness_ledger.task_completed(
                        fairness_accounting::fairness_team_class(&spec),
                        run_s * spec.cpus,
                    );
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.run_stats.0 += 1;
                        job.run_stats.1 += run_s;
                        job.run_stats.2 = job.run_stats.2.max(run_s);
                    }
                }
                if let Some(machine) = self.machines.get_mut(&machine_id) {
                    machine.machine_failures = 0;
                    machine.suspect_failures.clear();
                }
                if spec.kind == JobKind::Gang {
                    // If one task of a gang is done, the whole gang is.
                    for member in 0..spec.tasks {
                        self.mark_task_done(id, member);
                    }
                } else if spec.kind == JobKind::Array {
                    self.mark_task_done(id, task);
                }
            }
            Some("error" | "no_such") => {
                // A task never reported as running failed between two reports.
                let started_at =
                    if assignment.running_since > 0 { assignment.running_since } else { now };
                self.handle_task_failure(machine_id, id, now.saturating_sub(started_at), now);
            }
            Some("full" | "busy") => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.retry_at = job.retry_at.max(now + 1000);
                }
            }
            _ => {}
        }
        if reported.cause.as_deref() != Some("done") {
            self.handle_lost_task(id);
            if spec.kind != JobKind::Gang {
                return;
            }
            if reported.cause.as_deref() == Some("alone") && self.is_gang_pulling_image(id, now) {
                // The machine has the image and is reserved, so a replacement can join the attempt
                // until the last gang member has pulled its image. Stopping all members would abort
                // their pulls, and where a pull takes longer than a gang may wait, the gang would
                // never start.
                if let Some(machine) = self.machines.get_mut(&machine_id) {
                    machine.reserved = Some((id, now + RESERVATION_MS));
                }
                return;
            }
            // Any other exit (refused, failed) ends the attempt of the whole gang: the remaining
            // members would only wait until they time out.
            self.stop_all_tasks(id, now, 0.0);
        }
    }

    /// Returns whether a member of a gang that has not started still has to pull its image, within
    /// one minute plus four times the expected pull time. False if a member is being stopped or is
    /// unconfirmed.
    fn is_gang_pulling_image(&self, id: JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.gang_started && job.is_open()) else {
            return false;
        };
        let mut is_pulling = false;
        for machine in self.machines.values() {
            let pull_s = job.spec.image_gb
                / self.machine_types[machine.machine_type.index()].image_pull_gb_per_s;
            let max_pull_ms = 60_000 + (pull_s.min(3600.0) * 4000.0) as u64;
            for (_, assignment) in machine.assignments.range((id, 0)..=(id, u32::MAX)) {
                if assignment.stop_requested.is_some() || assignment.unconfirmed {
                    return false;
                }
                let needs_image = matches!(
                    assignment.observed,
                    ObservedState::NotReported | ObservedState::Pulling
                );
                is_pulling |= needs_image && now < assignment.assigned_at + max_pull_ms;
            }
        }
        is_pulling
    }
}
