//! All that the leader knows while it leads: jobs, machines, which task may be where, and which
//! records have yet to reach the state service. The slices act on it; nothing here waits.

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

/// Passes are at least this far apart.
pub const MIN_PASS_INTERVAL_MS: u64 = 50;

/// What sweeps put back: jobs that were in no queue, and tasks that waited nowhere (`sweep`).
#[derive(Debug, Default, PartialEq, Eq)]
pub struct SweepCounts {
    pub jobs: usize,
    pub tasks: usize,
}

pub struct LeaderState {
    pub settings: Arc<Settings>,
    pub term: u64,
    /// When this leader took over, by its steady clock in milliseconds.
    pub took_over_at: u64,
    pub names: Names,
    pub machine_types: Vec<MachineType>,
    pub jobs: Table<JobId, Job>,
    /// Open jobs that wait for no others, in order of arrival.
    pub queue: BTreeSet<(u64, JobId)>,
    pub machines: Table<MachineId, Machine>,
    pub team_usage: TeamUsage,
    pub final_records: FinalRecordCache,
    pub write_queue: WriteQueue,
    pub dependencies: Dependencies,
    pub unreadable: UnreadableRecords,
    pub packs: Packs,
    pub run_times: RunTimes,
    pub fleet: Fleet,
    /// What was served to whom.
    pub fairness_ledger: FairnessLedger,
    /// How large the jobs of each class are.
    pub job_sizes: JobSizes,
    /// Who was served too little, as of the last placement pass.
    pub deficits: Deficits,
    pub direct_requests: Vec<DirectRequest>,
    /// In one placement pass: what could be stopped for the limits of teams, by team, once somebody asked.
    pub(crate) stoppable: Vec<Option<Vec<StoppableGroup>>>,
    /// How far this leader's takeover is, and what it met when reports were held against records.
    pub recovery: Recovery,
    pub reconciliation: OutcomeCounts,
    next_id: usize,
    next_try: u64,
    /// Workers are asked to report when starts wait for it.
    pub request_early_reports: bool,
    /// What sweeps have put back in this term (`sweep`).
    pub sweep_counts: SweepCounts,
    /// Something changed that may let a task be placed.
    pub placement_pending: bool,
    /// When the last placement pass was.
    pub last_pass_at: u64,
    /// How far apart passes are, in milliseconds.
    pub pass_interval_ms: u64,
    /// How late the leader's timers fire: it has more to do than processor time for it. Places are what it
    /// can put off: renewals, reports, cancellations and submissions go on as they come.
    pub timer_lag: u64,
}

impl LeaderState {
    pub fn new(
        settings: Arc<Settings>,
        term: u64,
        leader: Condition,
        now: u64,
        mut names: Names,
        flavors: Vec<MachineType>,
    ) -> LeaderState {
        for f in &flavors {
            names.types.intern(&f.label);
        }
        let pools = names.zones.len() * flavors.len();
        let report_ms = (settings.deployment.workers.report_s * 1000.0) as u64;
        LeaderState {
            recovery: Recovery::begin(now, report_ms),
            reconciliation: OutcomeCounts::default(),
            team_usage: TeamUsage::new(settings.deployment.teams.len()),
            write_queue: WriteQueue::new(leader, settings.deployment.state.max_value_bytes()),
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
            machine_types: flavors,
            jobs: Table::default(),
            queue: BTreeSet::new(),
            machines: Table::default(),
            direct_requests: Vec::new(),
            stoppable: Vec::new(),
            next_id: 0,
            next_try: 0,
            placement_pending: true,
            last_pass_at: 0,
            pass_interval_ms: MIN_PASS_INTERVAL_MS,
            timer_lag: 0,
        }
    }

    pub fn pool_count(&self) -> usize {
        self.names.zones.len() * self.machine_types.len()
    }

    pub fn pool_index(&self, zone: ZoneId, kind: TypeId) -> usize {
        zone.index() * self.machine_types.len() + kind.index()
    }

    pub fn new_id(&mut self) -> usize {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Attempt numbers hold the term above a counter, so that none is ever used again.
    pub fn new_attempt(&mut self) -> u64 {
        self.next_try += 1;
        (self.term << 24) + self.next_try
    }

    /// Marks a key as having something to record; the returned version is safe once `is_saved`.
    pub fn mark_dirty(&mut self, key: RecordKey) -> u64 {
        self.write_queue.mark_dirty(key)
    }

    pub fn is_saved(&self, key: &RecordKey, ver: u64) -> bool {
        self.write_queue.is_saved(key, ver)
    }

    pub fn report_timeout_ms(&self) -> u64 {
        (self.settings.deployment.workers.report_s * 3000.0) as u64 + 1000
    }

    /// When nothing can be running any more on a machine that has not been heard in this term.
    pub fn are_unheard_leases_over(&self, now: u64) -> bool {
        now > self.old_leases_end()
    }

    /// Until then an earlier leader may have gone on renewing workers that have not shown this term.
    fn old_leases_end(&self) -> u64 {
        self.took_over_at + self.settings.renewal_grace_ms() + self.settings.max_worker_lease_ms()
    }

    /// What tasks that no readable record tells of may be using at most. Whose they are is not
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
        let largest =
            |f: fn(&MachineType) -> f64| self.machine_types.iter().map(f).fold(0.0, f64::max);
        let hidden = self.unreadable.machines().count() as f64;
        unknown.cpus += hidden * largest(|f| f.cpus);
        unknown.gpus += hidden * largest(|f| f.gpus);
        unknown
    }

    /// May a waiting task of this job be on a machine whose record can't be used?
    pub fn may_be_on_unreadable_machine(&self, job: &Job) -> bool {
        job.accept_ver == 0 && self.unreadable.may_hold_job(&job.spec.uid)
    }

    /// When nothing can be running on a machine any more, for want of a renewed lease.
    pub fn is_lease_over(&self, m: &Machine, now: u64) -> bool {
        let own = m.last_answered_at.max(m.last_report_at) + self.settings.max_worker_lease_ms();
        let old = if m.fenced { 0 } else { self.old_leases_end() };
        now > own.max(old)
    }

    pub fn job(&self, uid: &str) -> Option<(JobId, &Job)> {
        let id = self.jobs.id_of(uid)?;
        Some((id, self.jobs.get(&id)?))
    }

    /// Takes a job in; `done` and `cancelled` come from its records after a takeover.
    pub fn insert_job(&mut self, spec: JobSpec, body: JobBody, at: u64, born: i64) -> JobId {
        let id = JobId::from(self.new_id());
        let mut job =
            Job::new(Arc::new(spec), Arc::new(body), at, self.names.zones.len(), self.pool_count());
        (job.accepted_mono_ms, job.eligible_mono_ms) = (born, born);
        job.effective_deadline = job.spec.deadline_s.map(|s| born + secs_to_ms(s));
        let run = self.run_times.expected_run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
        job.eta = born + secs_to_ms(run);
        self.job_sizes.add_job(job.spec.class, job.spec.tasks);
        self.queue.insert((at, id));
        self.jobs.insert(id, job);
        self.open_fairness(id);
        id
    }

    pub fn is_accepted(&self, id: JobId, job: &Job) -> bool {
        self.is_saved(&RecordKey::Job(id), job.accept_ver)
    }

    pub fn is_done_saved(&self, id: JobId, task: u32) -> bool {
        let Some(job) = self.jobs.get(&id) else { return true };
        job.done.contains(task)
            && (job.unsaved.get(&task).is_none_or(|v| {
                self.is_saved(&RecordKey::DoneChunk(id, task / DONE_CHUNK_TASKS), *v)
            }) || job.final_ver.is_some_and(|v| self.is_saved(&RecordKey::Job(id), v)))
    }

    /// Changes a job's priority; what its tasks use is counted under the new one.
    pub fn set_priority(&mut self, id: JobId, precedence: Priority) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.spec.priority == precedence {
            return;
        }
        let on = f64::from(job.placement_counts.values().sum::<u32>());
        self.team_usage.set_priority(Arc::make_mut(&mut job.spec), on, precedence);
    }

    pub(crate) fn expected_run_ms(&self, id: JobId) -> i64 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let spec = &job.spec;
        secs_to_ms(self.run_times.expected_run_s(usize::MAX, spec.class, spec.estimate_s))
    }

    /// Does a deadline further on press this job, which waited for others or is waited for?
    pub fn is_pressed(&self, job: &Job) -> bool {
        job.effective_deadline.is_some()
            && (job.spec.deadline_s.is_none() || job.eligible_mono_ms != job.accepted_mono_ms)
    }

    /// Makes a job final once nothing of it is open: all done, or cancelled with no task left
    /// that may be on a machine (until then its record is what counts them after a takeover).
    pub fn finalize_if_over(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.final_ver.is_some() {
            return;
        }
        let over = job.is_all_done() || (job.is_cancelled() && job.placement_counts.is_empty());
        if !over {
            return;
        }
        if tracing::enabled!(tracing::Level::DEBUG) {
            let class = self.names.classes.name(job.spec.class.index());
            let since = |t: u64| (t as i64 - job.accepted_mono_ms) / 1000;
            let due = job.spec.deadline_s.unwrap_or(0.0);
            tracing::debug!(
                "over: {} {class} {} tasks, due in {due:.0} s, estimate {:.0} s, last placed after {} s, {} preempted, {} failures",
                job.spec.uid,
                job.spec.tasks,
                job.spec.estimate_s,
                since(job.placed_at),
                job.preempted,
                job.failures,
            );
        }
        let done = !job.is_cancelled();
        let at = job.eligible_at_ms;
        let chunks = job.spec.tasks.div_ceil(DONE_CHUNK_TASKS);
        let ver = self.mark_dirty(RecordKey::Job(id));
        for chunk in 0..chunks {
            self.write_queue.clear_dirty(&RecordKey::DoneChunk(id, chunk));
        }
        self.queue.remove(&(at, id));
        if let Some(job) = self.jobs.get_mut(&id) {
            job.final_ver = Some(ver);
            if done {
                self.fairness_ledger.job_done(fairness_accounting::fairness_job(id));
            }
            job.routed_by_pool.iter_mut().for_each(|r| *r = 0);
        }
        self.placement_pending = true;
    }

    /// Forgets final jobs of which no task may be anywhere; what is over is in `finals`.
    pub fn evict_if_final(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let over = job.final_ver.is_some_and(|v| self.is_saved(&RecordKey::Job(id), v));
        if !over || !job.placement_counts.is_empty() {
            return;
        }
        let uid = job.spec.uid.clone();
        let (tasks, parts) = (job.spec.tasks, job.dependency_parts);
        for chunk in 0..tasks.div_ceil(DONE_CHUNK_TASKS) {
            let whole = format!("d/{uid}/{chunk}");
            let split = (0..DONE_CHUNK_PARTS).map(|part| format!("{whole}/{part}"));
            for key in split.chain([whole.clone()]) {
                self.write_queue.delete_path(key);
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

/// Which task may be where.
impl LeaderState {
    pub fn add_machine(
        &mut self,
        name: &str,
        addr: &str,
        kind: TypeId,
        zone: ZoneId,
        spot: bool,
        now: u64,
    ) -> MachineId {
        let mid = MachineId::from(self.new_id());
        let f = &self.machine_types[kind.index()];
        let machine = Machine {
            name: name.into(),
            addr: addr.into(),
            machine_type: kind,
            zone,
            spot,
            cpus: f.cpus,
            gpus: f.gpus,
            mem_gb: f.mem_gb,
            used_cpus: 0.0,
            used_gpus: 0.0,
            used_mem: 0.0,
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
            cache_gb: f.cache_gb,
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
        self.machines.insert(mid, machine);
        mid
    }

    pub fn task_id(&self, id: JobId, task: u32) -> String {
        self.jobs.get(&id).map(|j| format!("{}/{task}", j.spec.uid)).unwrap_or_default()
    }

    /// Puts a task on a machine's list. Nothing is sent before the list is recorded.
    pub fn assign(&mut self, mid: MachineId, id: JobId, task: u32, attempt: u64, now: u64) {
        let ver = self.mark_dirty(RecordKey::Machine(mid));
        self.attach(mid, id, task, Assignment::new(attempt, ver, now));
        self.stoppable_too(mid, id, task, attempt);
        if let Some(job) = self.jobs.get_mut(&id)
            && let Some(m) = self.machines.get(&mid)
        {
            job.placed_at = now;
            let pool = m.zone.index() * self.machine_types.len() + m.machine_type.index();
            let r = match job.routed_by_pool.get(pool) {
                Some(r) if *r > 0 => Some(pool),
                _ => job.routed_by_pool.iter().position(|r| *r > 0),
            };
            if let Some(r) = r {
                job.routed_by_pool[r] -= 1;
            }
        }
    }

    /// What is placed in a pass after somebody asked what could be stopped can be stopped as well, and loses nothing.
    fn stoppable_too(&mut self, mid: MachineId, id: JobId, task: u32, attempt: u64) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.spec.kind != JobKind::Gang) else { return };
        if let Some(Some(groups)) = self.stoppable.get_mut(job.spec.team.index()) {
            let at = (mid, id, task, attempt);
            let group = (fairness_accounting::fairness_pair(&job.spec), job.guaranteed);
            StoppableGroup::add(groups, group, &job.spec, at, 0.0);
        }
    }

    pub fn attach(&mut self, mid: MachineId, id: JobId, task: u32, entry: Assignment) {
        let (Some(m), Some(job)) = (self.machines.get_mut(&mid), self.jobs.get_mut(&id)) else {
            return;
        };
        let stops = entry.stop_requested.is_some();
        let before = m.assignments.insert((id, task), entry);
        match (before.as_ref().is_some_and(|e| e.stop_requested.is_some()), stops) {
            (false, true) => self.team_usage.add_stopping(&job.spec),
            (true, false) => self.team_usage.sub_stopping(&job.spec),
            _ => {}
        }
        if before.is_some() {
            return;
        }
        m.add_task(&job.spec);
        *job.placement_counts.entry(task).or_insert(0) += 1;
        job.placements_by_zone[m.zone.index()] += 1;
        job.waiting.remove(task);
        self.team_usage.add(&job.spec);
    }

    /// Takes a task off a machine's list: it is proven not to be there.
    pub fn detach(&mut self, mid: MachineId, id: JobId, task: u32) -> Option<Assignment> {
        let m = self.machines.get_mut(&mid)?;
        let entry = m.assignments.remove(&(id, task))?;
        let (zone, empty) = (m.zone, m.assignments.is_empty());
        let job = self.jobs.get_mut(&id)?;
        m.remove_task(&job.spec, empty);
        job.placements_by_zone[zone.index()] =
            job.placements_by_zone[zone.index()].saturating_sub(1);
        if entry.observed == ObservedState::Running {
            job.running = job.running.saturating_sub(1);
        }
        let left = match job.placement_counts.get_mut(&task) {
            Some(n) if *n > 1 => {
                *n -= 1;
                *n
            }
            _ => {
                job.placement_counts.remove(&task);
                0
            }
        };
        if left == 0 && job.is_open() && !job.done.contains(task) {
            job.waiting.insert(task);
            let pool =
                zone.index() * self.machine_types.len() + self.machines[&mid].machine_type.index();
            if let Some(r) = job.routed_by_pool.get_mut(pool) {
                *r += 1;
            }
        }
        let spec = job.spec.clone();
        self.team_usage.sub(&spec);
        if entry.stop_requested.is_some() {
            self.team_usage.sub_stopping(&spec);
        }
        self.placement_pending = true;
        self.finalize_if_over(id);
        self.evict_if_final(id);
        Some(entry)
    }

    /// Takes a job for recorded as it is; for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn mark_job_saved_for_test(&mut self, id: JobId) {
        self.write_queue.clear_dirty(&RecordKey::Job(id));
        self.write_queue.mark_saved(RecordKey::Job(id));
    }

    /// Every list that must agree does; for tests.
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
            let told = |((id, _), e): (&(JobId, u32), &Assignment)| {
                let job = self.jobs.get(id).filter(|j| j.spec.team.index() == t)?;
                e.stop_requested.map(|_| job.spec.cpus)
            };
            let stopping: f64 =
                self.machines.values().flat_map(|m| m.assignments.iter()).filter_map(told).sum();
            assert!(
                (stopping - self.team_usage.stopping(TeamId::from(t)).cpus).abs() < 1e-6,
                "being stopped of {}",
                team.name
            );
            let parts: f64 = (0..4)
                .map(|p| self.team_usage.usage_by_priority(TeamId::from(t)).total_at(p).cpus)
                .sum();
            assert!((used - parts).abs() < 1e-6, "parts of {}", team.name);
            assert!(used <= team.cpus_max + 1e-6, "limit of {}", team.name);
        }
        let mut open: BTreeMap<_, u32> = BTreeMap::new();
        for (_, id) in &self.queue {
            *open.entry(fairness_accounting::fairness_pair(&self.jobs[id].spec)).or_default() += 1;
        }
        for (pair, (n, late)) in self.fairness_ledger.recount() {
            assert_eq!(open.remove(&pair), Some(n), "open jobs of {pair:?}");
            let row = self.fairness_ledger.team_class(pair).expect("counted");
            assert_eq!((row.open, row.late), (n, late), "the ledger of service, {pair:?}");
        }
        assert!(open.is_empty(), "jobs that the ledger of service lacks: {open:?}");
        for job in self.jobs.values() {
            let on: u32 = job.placement_counts.values().sum();
            assert_eq!(on, job.placements_by_zone.iter().sum::<u32>());
            let waits = job.is_open() && !job.pending_dependencies.is_empty();
            assert!(
                !waits
                    || (job.placement_counts.is_empty()
                        && job.routed_by_pool.iter().all(|r| *r == 0))
            );
            for task in job.waiting.iter() {
                assert!(!job.done.contains(task) && !job.placement_counts.contains_key(&task));
            }
        }
    }
}
