//! The leader's in-memory state: jobs, machines, the assignments of tasks to machines, and the records
//! that have yet to be written to the state service. The other modules of this crate operate on it;
//! nothing here blocks.

use crate::records::Condition;
use crate::settings::Settings;
use crate::state::dependencies::Dependencies;
use crate::state::fairness_accounting;
use crate::state::final_record_cache::FinalRecordCache;
use crate::state::fleet::{Fleet, MachineType};
use crate::state::job::{DONE_CHUNK_PARTS, DONE_CHUNK_TASKS, Job, JobSpec, secs_to_ms};
use crate::state::job_sizes::JobSizes;
use crate::state::machine::{Assignment, DirectRequest, Machine, ObservedState};
use crate::state::names::*;
use crate::state::packs::Packs;
use crate::state::run_times::RunTimes;
use crate::state::table::Table;
use crate::state::team_usage::{StoppableGroup, TeamUsage, Usage};
use crate::state::unreadable::UnreadableRecords;
use crate::state::write_queue::{RecordKey, WriteQueue};
use copperhaven_fairness::deficit::Deficits;
use copperhaven_fairness::ledger::FairnessLedger;
use copperhaven_recovery::phase::Recovery;
use copperhaven_recovery::reconcile::OutcomeCounts;
use copperhaven_wire::jobs::{JobBody, JobKind, Priority};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Minimum time between two placement passes.
pub const MIN_PASS_INTERVAL_MS: u64 = 50;

/// How many jobs and tasks sweeps have requeued (`sweep`).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SweepCounts {
    /// Jobs that were in no queue.
    pub jobs: usize,
    /// Tasks that were neither waiting nor done nor on a machine.
    pub tasks: usize,
}

/// State of one leader during its term. Times are milliseconds of its monotonic clock unless stated
/// otherwise.
pub struct LeaderState {
    /// Deployment and tuning settings of this controller.
    pub settings: Arc<Settings>,
    /// Term of this leader.
    pub term: u64,
    /// When this leader took over.
    pub took_over_at: u64,
    /// Indices of the names of zones, teams, classes, machine types and images.
    pub names: Names,
    /// Machine types that the cloud offers, by `TypeId`.
    pub machine_types: Vec<MachineType>,
    /// Jobs in memory: the open ones, and finished ones until they are evicted.
    pub jobs: Table<JobId, Job>,
    /// Open jobs without pending dependencies, in the order in which they became eligible (Unix time in
    /// milliseconds).
    pub queue: BTreeSet<(u64, JobId)>,
    /// Machines that a task may be on or that have reported in this term.
    pub machines: Table<MachineId, Machine>,
    /// Resources that the tasks of each team may be using.
    pub team_usage: TeamUsage,
    /// Outcomes of the jobs that finished most recently.
    pub final_records: FinalRecordCache,
    /// Records that have yet to be written, and the revisions of those at the state service.
    pub write_queue: WriteQueue,
    /// Dependencies between jobs, and outcomes that have yet to be propagated.
    pub dependencies: Dependencies,
    /// Records that the takeover could not read or use.
    pub unreadable: UnreadableRecords,
    /// Which machines share a stored value.
    pub packs: Packs,
    /// Observed run times of tasks, by class and pool.
    pub run_times: RunTimes,
    /// Rentals, boots and returns of cloud machines.
    pub fleet: Fleet,
    /// Fairness counters of each team and class.
    pub fairness_ledger: FairnessLedger,
    /// Sizes of the recent jobs of each class.
    pub job_sizes: JobSizes,
    /// Teams and classes that were underserved as of the last placement pass.
    pub deficits: Deficits,
    /// Orders to be sent straight to workers instead of in a response to a report.
    pub direct_requests: Vec<DirectRequest>,
    /// Tasks that could be stopped for the limit of a team, by team; gathered at most once in a
    /// placement pass, on first use.
    pub(crate) stoppable: Vec<Option<Vec<StoppableGroup>>>,
    /// Progress of this leader's takeover.
    pub recovery: Recovery,
    /// Outcomes of reconciling the workers' reports with the records.
    pub reconciliation: OutcomeCounts,
    next_id: usize,
    attempt_counter: u64,
    /// Whether workers are asked to report early when starts wait for their reports.
    pub request_early_reports: bool,
    /// What sweeps have requeued in this term (`sweep`).
    pub sweep_counts: SweepCounts,
    /// Whether something has changed that may let a task be placed.
    pub placement_pending: bool,
    /// When the last placement pass was.
    pub last_pass_at: u64,
    /// Time between placement passes.
    pub pass_interval_ms: u64,
    /// How late the leader's timers fire, in milliseconds, because it is short of processor time.
    /// Placement is the work that it can defer then: lease renewals, reports, cancellations and
    /// submissions are handled as they arrive.
    pub timer_lag_ms: u64,
}

impl LeaderState {
    /// Creates the state of a leader that takes over at `now`. `leader_condition` is the key and revision
    /// of the leader record that every transaction is conditional on.
    pub fn new(
        settings: Arc<Settings>,
        term: u64,
        leader_condition: Condition,
        now: u64,
        mut names: Names,
        machine_types: Vec<MachineType>,
    ) -> LeaderState {
        for machine_type in &machine_types {
            names.types.intern(&machine_type.label);
        }
        let pools = names.zones.len() * machine_types.len();
        let report_ms = (settings.deployment.workers.report_s * 1000.0) as u64;
        LeaderState {
            recovery: Recovery::begin(now, report_ms),
            reconciliation: OutcomeCounts::default(),
            team_usage: TeamUsage::new(settings.deployment.teams.len()),
            write_queue: WriteQueue::new(
                leader_condition,
                settings.deployment.state.max_value_bytes(),
            ),
            run_times: RunTimes::new(pools, settings.tuning.rate_window),
            fleet: Fleet::new(term),
            fairness_ledger: FairnessLedger::default(),
            job_sizes: JobSizes::default(),
            deficits: Deficits::default(),
            dependencies: Dependencies::default(),
            unreadable: UnreadableRecords::default(),
            packs: Packs::default(),
            final_records: FinalRecordCache::default(),
            sweep_counts: Default::default(),
            request_early_reports: settings.needs_early_reports(),
            settings,
            term,
            took_over_at: now,
            names,
            machine_types,
            jobs: Table::default(),
            queue: BTreeSet::new(),
            machines: Table::default(),
            direct_requests: Vec::new(),
            stoppable: Vec::new(),
            next_id: 0,
            attempt_counter: 0,
            placement_pending: true,
            last_pass_at: 0,
            pass_interval_ms: MIN_PASS_INTERVAL_MS,
            timer_lag_ms: 0,
        }
    }

    /// Returns the number of pools: one for each zone and machine type.
    pub fn pool_count(&self) -> usize {
        self.names.zones.len() * self.machine_types.len()
    }

    /// Returns the index of a pool, less than `pool_count`.
    pub fn pool_index(&self, zone: ZoneId, machine_type: TypeId) -> usize {
        zone.index() * self.machine_types.len() + machine_type.index()
    }

    /// Returns an index that no job or machine has had in this term.
    pub fn new_id(&mut self) -> usize {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Returns a new attempt number: the term above a 24-bit counter, so that no number is ever reused.
    pub fn new_attempt(&mut self) -> u64 {
        self.attempt_counter += 1;
        (self.term << 24) + self.attempt_counter
    }

    /// Marks a record as dirty and returns its new version, which is saved once `is_saved` returns true.
    pub fn mark_dirty(&mut self, key: RecordKey) -> u64 {
        self.write_queue.mark_dirty(key)
    }

    /// Returns whether this version of a record, or a later one, is at the state service.
    pub fn is_saved(&self, key: &RecordKey, ver: u64) -> bool {
        self.write_queue.is_saved(key, ver)
    }

    /// Returns how long after its last report a machine counts as silent: three report intervals and a
    /// second.
    pub fn report_timeout_ms(&self) -> u64 {
        (self.settings.deployment.workers.report_s * 3000.0) as u64 + 1000
    }

    /// Returns whether every lease is over on machines that have not reported in this term, so that
    /// nothing can be running on them any more.
    pub fn are_unreported_leases_over(&self, now: u64) -> bool {
        now > self.old_leases_end()
    }

    /// When the last lease ends that an earlier leader may have granted: until the end of its renewal
    /// grace it may have renewed workers that have not acknowledged this term.
    fn old_leases_end(&self) -> u64 {
        self.took_over_at + self.settings.renewal_grace_ms() + self.settings.max_worker_lease_ms()
    }

    /// Returns an upper bound on the usage of tasks without a readable record. Their teams are not
    /// known, so it counts against the limit of every team (rule `quota`).
    pub fn unknown_usage(&self) -> Usage {
        let mut unknown = Usage::default();
        if self.unreadable.is_empty() {
            return unknown;
        }
        for m in self.machines.values().filter(|m| !m.unreadable_job_tasks.is_empty()) {
            unknown.cpus += (m.cpus - m.used_cpus).max(0.0);
            unknown.gpus += (m.gpus - m.used_gpus).max(0.0);
        }
        let largest = |amount: fn(&MachineType) -> f64| {
            self.machine_types.iter().map(amount).fold(0.0, f64::max)
        };
        let unreadable_machines = self.unreadable.machines().count() as f64;
        unknown.cpus += unreadable_machines * largest(|t| t.cpus);
        unknown.gpus += unreadable_machines * largest(|t| t.gpus);
        unknown
    }

    /// Returns whether a waiting task of this job may be on a machine whose record can't be used. That is
    /// only possible for jobs of an earlier leader, whose `accept_ver` is 0.
    pub fn may_be_on_unreadable_machine(&self, job: &Job) -> bool {
        job.accept_ver == 0 && self.unreadable.may_hold_job(&job.spec.uid)
    }

    /// Returns whether the lease of a machine's worker is over, so that nothing can be running on it any
    /// more.
    pub fn is_lease_over(&self, machine: &Machine, now: u64) -> bool {
        let own_end = machine.last_answered_at.max(machine.last_report_at)
            + self.settings.max_worker_lease_ms();
        let old_end = if machine.fenced { 0 } else { self.old_leases_end() };
        now > own_end.max(old_end)
    }

    /// Returns the job with this id, if it is in memory.
    pub fn job(&self, uid: &str) -> Option<(JobId, &Job)> {
        let id = self.jobs.id_of(uid)?;
        Some((id, self.jobs.get(&id)?))
    }

    /// Adds a job to memory and to the queue. It was accepted at `accepted_at_ms` (Unix time), which is
    /// `accepted_mono_ms` on the leader's monotonic clock. Finished tasks and a cancellation are filled
    /// in from its records after a takeover.
    pub fn insert_job(
        &mut self,
        spec: JobSpec,
        body: JobBody,
        accepted_at_ms: u64,
        accepted_mono_ms: i64,
    ) -> JobId {
        let id = JobId::from(self.new_id());
        let mut job = Job::new(
            Arc::new(spec),
            Arc::new(body),
            accepted_at_ms,
            self.names.zones.len(),
            self.pool_count(),
        );
        (job.accepted_mono_ms, job.eligible_mono_ms) = (accepted_mono_ms, accepted_mono_ms);
        job.effective_deadline = job.spec.deadline_s.map(|s| accepted_mono_ms + secs_to_ms(s));
        let run_s = self.run_times.expected_run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
        job.eta = accepted_mono_ms + secs_to_ms(run_s);
        self.job_sizes.add_job(job.spec.class, job.spec.tasks);
        self.queue.insert((accepted_at_ms, id));
        self.jobs.insert(id, job);
        self.open_fairness(id);
        id
    }

    /// Returns whether the record that accepts this job is saved.
    pub fn is_accepted(&self, id: JobId, job: &Job) -> bool {
        self.is_saved(&RecordKey::Job(id), job.accept_ver)
    }

    /// Returns whether it is recorded that a task is done, by the job's finished ranges or by its final
    /// record. True for jobs that are no longer in memory.
    pub fn is_done_saved(&self, id: JobId, task: u32) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        job.done.contains(task)
            && (job.unsaved.get(&task).is_none_or(|v| {
                self.is_saved(&RecordKey::DoneChunk(id, task / DONE_CHUNK_TASKS), *v)
            }) || job.final_ver.is_some_and(|v| self.is_saved(&RecordKey::Job(id), v)))
    }

    /// Changes a job's priority and counts the usage of its tasks under the new one.
    pub fn set_priority(&mut self, id: JobId, priority: Priority) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.spec.priority == priority {
            return;
        }
        let placed = f64::from(job.placement_counts.values().sum::<u32>());
        self.team_usage.set_priority(Arc::make_mut(&mut job.spec), placed, priority);
    }

    /// Returns the expected run time of a task of this job, whatever the pool.
    pub(crate) fn expected_run_ms(&self, id: JobId) -> i64 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let spec = &job.spec;
        secs_to_ms(self.run_times.expected_run_s(usize::MAX, spec.class, spec.estimate_s))
    }

    /// Returns whether a deadline presses this job within a pipeline: one that a dependent job passes on
    /// to it, or its own after it had to wait for dependencies.
    pub fn has_pipeline_deadline(&self, job: &Job) -> bool {
        job.effective_deadline.is_some()
            && (job.spec.deadline_s.is_none() || job.eligible_mono_ms != job.accepted_mono_ms)
    }

    /// Finalizes a job once nothing of it is open: all tasks are done, or it is cancelled and no task may
    /// be on a machine any more. Until then its open record accounts for those tasks after a takeover.
    pub fn finalize_if_over(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.final_ver.is_some() {
            return;
        }
        let finished = job.is_all_done() || (job.is_cancelled() && job.placement_counts.is_empty());
        if !finished {
            return;
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let class = self.names.classes.name(job.spec.class.index());
            let s_after_acceptance = |t: u64| (t as i64 - job.accepted_mono_ms) / 1000;
            let deadline_s = job.spec.deadline_s.unwrap_or(0.0);
            tracing::debug!(
                "job finished: {}, class {class}, {} tasks, deadline {deadline_s:.0} s, estimate {:.0} s, last task placed after {} s, {} preempted, {} failures",
                job.spec.uid,
                job.spec.tasks,
                job.spec.estimate_s,
                s_after_acceptance(job.placed_at),
                job.preempted,
                job.failures,
            );
        }
        let done = !job.is_cancelled();
        let eligible_at_ms = job.eligible_at_ms;
        let chunks = job.spec.tasks.div_ceil(DONE_CHUNK_TASKS);
        let ver = self.mark_dirty(RecordKey::Job(id));
        for chunk in 0..chunks {
            self.write_queue.clear_dirty(&RecordKey::DoneChunk(id, chunk));
        }
        self.queue.remove(&(eligible_at_ms, id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.final_ver = Some(ver);
            if done {
                self.fairness_ledger.job_done(fairness_accounting::fairness_job(id));
            }
            job.routed_by_pool.iter_mut().for_each(|r| *r = 0);
        }
        self.placement_pending = true;
    }

    /// Evicts a job from memory once its final record is saved and none of its tasks may be on a
    /// machine, and deletes its other records. Its outcome stays in `final_records`.
    pub fn evict_if_final(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let final_saved = job.final_ver.is_some_and(|v| self.is_saved(&RecordKey::Job(id), v));
        if !final_saved || !job.placement_counts.is_empty() {
            return;
        }
        let uid = job.spec.uid.clone();
        let (tasks, parts) = (job.spec.tasks, job.dependency_parts);
        for chunk in 0..tasks.div_ceil(DONE_CHUNK_TASKS) {
            let chunk_path = format!("d/{uid}/{chunk}");
            let part_paths = (0..DONE_CHUNK_PARTS).map(|part| format!("{chunk_path}/{part}"));
            for path in part_paths.chain([chunk_path.clone()]) {
                self.write_queue.delete_path(path);
            }
            self.write_queue.clear_saved(&RecordKey::DoneChunk(id, chunk));
        }
        self.dependencies.forget(&uid);
        for part in 0..parts {
            self.write_queue.delete_path(format!("a/{uid}/{part}"));
            self.write_queue.clear_saved(&RecordKey::DependencyPart(id, part));
        }
        self.jobs.remove(&id);
        self.write_queue.clear_saved(&RecordKey::Job(id));
        self.write_queue.set_path_revision(format!("f/{uid}"), None);
    }
}

/// Assignments of tasks to machines.
impl LeaderState {
    /// Adds a machine without tasks and without a report in this term.
    pub fn add_machine(
        &mut self,
        name: &str,
        addr: &str,
        machine_type: TypeId,
        zone: ZoneId,
        spot: bool,
        now: u64,
    ) -> MachineId {
        let machine_id = MachineId::from(self.new_id());
        let resources = &self.machine_types[machine_type.index()];
        let machine = Machine {
            name: name.into(),
            addr: addr.into(),
            machine_type,
            zone,
            spot,
            cpus: resources.cpus,
            gpus: resources.gpus,
            mem_gb: resources.mem_gb,
            used_cpus: 0.0,
            used_gpus: 0.0,
            used_mem_gb: 0.0,
            assignments: BTreeMap::new(),
            last_report: (0, 0),
            last_ordered_report: (0, 0),
            last_requested_report: (0, 0),
            response_tracker: Default::default(),
            fenced: false,
            last_answered_at: 0,
            last_report_at: 0,
            reclaim_at: None,
            images: Vec::new(),
            cache_gb: resources.cache_gb,
            ended_tasks: Vec::new(),
            unreadable_job_tasks: Vec::new(),
            orphan_tasks: Vec::new(),
            machine_failures: 0,
            suspect_failures: BTreeMap::new(),
            faulty: false,
            slow: false,
            leaving: false,
            idle_since: now,
            paid_since: 0,
            reserved: None,
        };
        self.machines.insert(machine_id, machine);
        machine_id
    }

    /// Returns the id `JOB/INDEX` of a task; empty if the job is not in memory.
    pub fn task_id(&self, id: JobId, task: u32) -> String {
        self.jobs.get(&id).map(|j| format!("{}/{task}", j.spec.uid)).unwrap_or_default()
    }

    /// Assigns a task to a machine. No order is sent before the machine's record is saved.
    pub fn assign(&mut self, machine_id: MachineId, id: JobId, task: u32, attempt: u64, now: u64) {
        let ver = self.mark_dirty(RecordKey::Machine(machine_id));
        self.attach(machine_id, id, task, Assignment::new(attempt, ver, now));
        self.add_to_stoppable(machine_id, id, task, attempt);
        if let Some(job) = self.jobs.get_mut(&id)
            && let Some(m) = self.machines.get(&machine_id)
        {
            job.placed_at = now;
            let pool = m.zone.index() * self.machine_types.len() + m.machine_type.index();
            let routed_pool = match job.routed_by_pool.get(pool) {
                Some(n) if *n > 0 => Some(pool),
                _ => job.routed_by_pool.iter().position(|n| *n > 0),
            };
            if let Some(routed_pool) = routed_pool {
                job.routed_by_pool[routed_pool] -= 1;
            }
        }
    }

    /// Adds a task that was just placed to the stoppable tasks of its team, if those were gathered
    /// earlier in this pass. Stopping it loses no work.
    fn add_to_stoppable(&mut self, machine_id: MachineId, id: JobId, task: u32, attempt: u64) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.spec.kind != JobKind::Gang) else { return };
        if let Some(Some(groups)) = self.stoppable.get_mut(job.spec.team.index()) {
            let placed_task = (machine_id, id, task, attempt);
            let group = (fairness_accounting::fairness_team_class(&job.spec), job.guaranteed);
            StoppableGroup::add(groups, group, &job.spec, placed_task, 0.0);
        }
    }

    /// Adds an assignment, or replaces the one of the same task, and counts its usage.
    pub fn attach(&mut self, machine_id: MachineId, id: JobId, task: u32, assignment: Assignment) {
        let (Some(m), Some(job)) = (self.machines.get_mut(&machine_id), self.jobs.get_mut(&id))
        else {
            return;
        };
        let stopping = assignment.stop_requested.is_some();
        let previous = m.assignments.insert((id, task), assignment);
        match (previous.as_ref().is_some_and(|e| e.stop_requested.is_some()), stopping) {
            (false, true) => self.team_usage.add_stopping(&job.spec),
            (true, false) => self.team_usage.sub_stopping(&job.spec),
            _ => {}
        }
        if previous.is_some() {
            return;
        }
        m.add_task(&job.spec);
        *job.placement_counts.entry(task).or_insert(0) += 1;
        job.placements_by_zone[m.zone.index()] += 1;
        job.waiting.remove(task);
        self.team_usage.add(&job.spec);
    }

    /// Removes the assignment of a task that is proven not to be on the machine. The task waits again if
    /// it may be on no other machine and is still to be done.
    pub fn detach(&mut self, machine_id: MachineId, id: JobId, task: u32) -> Option<Assignment> {
        let m = self.machines.get_mut(&machine_id)?;
        let assignment = m.assignments.remove(&(id, task))?;
        let (zone, empty) = (m.zone, m.assignments.is_empty());
        let job = self.jobs.get_mut(&id)?;
        m.remove_task(&job.spec, empty);
        job.placements_by_zone[zone.index()] =
            job.placements_by_zone[zone.index()].saturating_sub(1);
        if assignment.observed == ObservedState::Running {
            job.running = job.running.saturating_sub(1);
        }
        let remaining = match job.placement_counts.get_mut(&task) {
            Some(n) if *n > 1 => {
                *n -= 1;
                *n
            }
            _ => {
                job.placement_counts.remove(&task);
                0
            }
        };
        if remaining == 0 && job.is_open() && !job.done.contains(task) {
            job.waiting.insert(task);
            let pool = zone.index() * self.machine_types.len()
                + self.machines[&machine_id].machine_type.index();
            if let Some(routed) = job.routed_by_pool.get_mut(pool) {
                *routed += 1;
            }
        }
        let spec = job.spec.clone();
        self.team_usage.sub(&spec);
        if assignment.stop_requested.is_some() {
            self.team_usage.sub_stopping(&spec);
        }
        self.placement_pending = true;
        self.finalize_if_over(id);
        self.evict_if_final(id);
        Some(assignment)
    }

    /// Marks a job's record as saved, for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn mark_job_saved_for_test(&mut self, id: JobId) {
        self.write_queue.clear_dirty(&RecordKey::Job(id));
        self.write_queue.mark_saved(RecordKey::Job(id));
    }

    /// Asserts that usage, assignments, queue and fairness counters agree, for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn check_invariants(&self) {
        for (t, team) in self.settings.deployment.teams.iter().enumerate() {
            let used: f64 = self
                .machines
                .values()
                .flat_map(|m| m.assignments.keys())
                .filter_map(|(id, _)| self.jobs.get(id))
                .filter(|j| j.spec.team.index() == t)
                .map(|j| j.spec.cpus)
                .sum();
            assert!(
                (used - self.team_usage.usage(TeamId::from(t)).cpus).abs() < 1e-6,
                "usage of {}",
                team.name
            );
            let stopping_cpus = |((id, _), e): (&(JobId, u32), &Assignment)| {
                let job = self.jobs.get(id).filter(|j| j.spec.team.index() == t)?;
                e.stop_requested.map(|_| job.spec.cpus)
            };
            let stopping: f64 = self
                .machines
                .values()
                .flat_map(|m| m.assignments.iter())
                .filter_map(stopping_cpus)
                .sum();
            assert!(
                (stopping - self.team_usage.stopping(TeamId::from(t)).cpus).abs() < 1e-6,
                "usage of tasks of {} that are being stopped",
                team.name
            );
            let by_priority: f64 = (0..4)
                .map(|p| self.team_usage.usage_by_priority(TeamId::from(t)).total_at(p).cpus)
                .sum();
            assert!((used - by_priority).abs() < 1e-6, "usage by priority of {}", team.name);
            assert!(used <= team.cpus_max + 1e-6, "limit of {}", team.name);
        }
        let mut open: BTreeMap<_, u32> = BTreeMap::new();
        for (_, id) in &self.queue {
            *open
                .entry(fairness_accounting::fairness_team_class(&self.jobs[id].spec))
                .or_default() += 1;
        }
        for (pair, (n, late)) in self.fairness_ledger.recount() {
            assert_eq!(open.remove(&pair), Some(n), "open jobs of {pair:?}");
            let counters = self.fairness_ledger.team_class(pair).expect("counted");
            assert_eq!((counters.open, counters.late), (n, late), "fairness counters of {pair:?}");
        }
        assert!(open.is_empty(), "open jobs missing in the fairness ledger: {open:?}");
        for job in self.jobs.values() {
            let placed: u32 = job.placement_counts.values().sum();
            assert_eq!(placed, job.placements_by_zone.iter().sum::<u32>());
            let blocked = job.is_open() && !job.pending_dependencies.is_empty();
            assert!(
                !blocked
                    || (job.placement_counts.is_empty()
                        && job.routed_by_pool.iter().all(|r| *r == 0))
            );
            for task in job.waiting.iter() {
                assert!(!job.done.contains(task) && !job.placement_counts.contains_key(&task));
            }
        }
    }
}
