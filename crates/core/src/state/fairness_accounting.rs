//! Feeds the fairness ledger with events of jobs, and records and restores it.

use crate::records::{FairnessRecord, MAX_FAIRNESS_PARTS, Record};
use crate::state::job::{Job, JobSpec, secs_to_ms};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_fairness::capacity::TaskCapacity;
use copperhaven_fairness::ledger::{FairnessCounters, FairnessLedger};
use copperhaven_fairness::snapshot::FairnessSnapshot;
use copperhaven_fairness::{self as fairness, Class, Team, TeamClass};

/// Interval at which a job whose tasks fail on every machine is checked again. Until it stops failing it does not count
/// as late, since the delay is not one of scheduling.
const FAILING_JOB_RECHECK_MS: u64 = 30_000;

/// The leader's memory that a job takes beside its tasks, in units of one task.
const JOB_OVERHEAD_TASKS: u64 = 40;

/// Returns the job id that the fairness ledger uses.
pub fn fairness_job(id: JobId) -> fairness::Job {
    fairness::Job(u64::from(id.0))
}

/// Returns the team and class under which a job is counted in the fairness ledger.
pub fn fairness_team_class(spec: &JobSpec) -> TeamClass {
    (Team(spec.team.0), Class(spec.class.0))
}

/// Returns the snapshots of the fairness ledger that are recorded, in parts of at most `max_bytes`, the limit of a
/// stored value. If `MAX_FAIRNESS_PARTS` parts don't hold all of them, the pairs of team and class with the least
/// service in recent time are left out.
pub fn record_parts(
    ledger: &FairnessLedger,
    names: &Names,
    max_bytes: usize,
) -> Vec<Vec<FairnessSnapshot>> {
    let name = |(team, class): TeamClass| {
        (names.teams.name(team.0 as usize).into(), names.classes.name(class.0 as usize).into())
    };
    let size = |row: &FairnessSnapshot| {
        let record = Record::Service(FairnessRecord { rows: vec![row.clone()] });
        record.encoded_len() + 2
    };
    let mut parts: Vec<Vec<FairnessSnapshot>> = vec![];
    let mut bytes_left = 0;
    for row in ledger.snapshot(name) {
        let bytes = size(&row);
        if bytes > bytes_left || parts.is_empty() {
            if parts.len() == MAX_FAIRNESS_PARTS as usize || bytes > max_bytes {
                break;
            }
            parts.push(vec![]);
            bytes_left = max_bytes;
        }
        bytes_left -= bytes;
        parts.last_mut().expect("just pushed").push(row);
    }
    parts
}

impl LeaderState {
    /// Returns whether the limit on open tasks admits another job of this team with so many tasks. Open jobs count with
    /// their tasks and `JOB_OVERHEAD_TASKS` each.
    pub fn has_memory_for(&self, team: TeamId, tasks: u32) -> bool {
        let size_in_tasks = |j: &Job| u64::from(j.spec.tasks) + JOB_OVERHEAD_TASKS;
        let (mut all, mut own) = (0, 0);
        for job in self.jobs.values() {
            all += size_in_tasks(job);
            own += if job.spec.team == team { size_in_tasks(job) } else { 0 };
        }
        let max_tasks = self.settings.max_open_tasks() as u64;
        TaskCapacity { max_tasks, teams: self.team_usage.len() as u64 }.can_admit(
            all,
            own,
            u64::from(tasks),
        )
    }

    /// Marks the fairness ledger dirty, so that it is recorded for a later leader.
    pub fn record_fairness(&mut self) {
        let parts =
            record_parts(&self.fairness_ledger, &self.names, self.write_queue.value_limit).len();
        for part in 0..parts as u32 {
            self.mark_dirty(RecordKey::FairnessPart(part));
        }
    }

    /// Restores the fairness ledger from the records of earlier leaders, given as path, record and revision. What can't
    /// be used is left out, since no rule depends on it.
    pub(crate) fn restore_fairness(&mut self, read: Vec<(String, FairnessRecord, u64)>, now: u64) {
        for (path, record, revision) in read {
            self.write_queue.set_path_revision(path, Some(revision));
            for row in record.rows {
                // A team that is no longer in the settings has no jobs.
                let Some(team) = self.names.teams.get(&row.team) else { continue };
                let class = self.names.classes.intern(&row.class);
                self.fairness_ledger.restore((Team(team.0), Class(class.0)), &row, now);
            }
        }
    }

    /// Returns a log line on recent service: each active class, and the team that was served least.
    pub fn fairness_summary(&self, now: u64) -> String {
        let describe = |name: &str, r: &FairnessCounters| {
            let (share, lost) = (r.served_share(now), 100.0 * r.lost_share(now));
            format!(
                "{name} {share:.2} ({} done, {} open, {} of them late, {lost:.1}% lost to preemption)",
                r.done, r.open, r.late
            )
        };
        let is_active = |r: &FairnessCounters| r.accepted > 0 || r.open > 0;
        let mut out: Vec<String> = vec![];
        for (class, row) in self.fairness_ledger.classes().filter(|(_, r)| is_active(r)) {
            let of_class = |j: &&Job| j.spec.class.0 == class.0;
            let cpus = |tasks: fn(&Job) -> u32| -> f64 {
                self.jobs.values().filter(of_class).map(|j| j.spec.cpus * f64::from(tasks(j))).sum()
            };
            let (placed, running, waiting) = (
                cpus(|j| j.placement_counts.values().sum()),
                cpus(|j| j.running),
                cpus(|j| j.waiting.len()),
            );
            let text = describe(self.names.classes.name(class.0 as usize), row);
            out.push(format!(
                "{text}: {placed:.0} CPUs placed, {running:.0} running, {waiting:.0} waiting"
            ));
        }
        let teams = self.fairness_ledger.teams().filter(|(_, r)| is_active(r));
        let least = teams.min_by(|a, b| a.1.served_share(now).total_cmp(&b.1.served_share(now)));
        if let Some((team, row)) = least {
            let name = self.names.teams.name(team.0 as usize);
            out.push(format!("least served team {}", describe(name, row)));
        }
        out.join(", ")
    }

    /// Returns the time within which a job should be done, in milliseconds: the longest time in the objectives of its
    /// class, or its own deadline if that is longer; `default_span_s` if there is neither.
    fn target_ms(&self, spec: &JobSpec) -> u64 {
        let class = self.settings.class_span_s(self.names.classes.name(spec.class.index()));
        let target_s = class.into_iter().chain(spec.deadline_s).reduce(f64::max);
        secs_to_ms(target_s.unwrap_or(self.settings.tuning.default_span_s)).unsigned_abs()
    }

    /// Adds an open job to the fairness ledger; its time counts from when it became eligible.
    pub(crate) fn open_fairness(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let target_ms = self.target_ms(&job.spec);
        self.fairness_ledger.job_opened(
            fairness_job(id),
            fairness_team_class(&job.spec),
            job.eligible_mono_ms,
            target_ms,
        );
    }

    /// Advances the fairness ledger to `now`: open jobs become late, except for those that fail on every machine.
    pub(crate) fn advance_fairness(&mut self, now: u64) {
        let LeaderState { fairness_ledger, jobs, .. } = self;
        let failing = |job: fairness::Job| {
            let id = JobId(job.0 as u32);
            jobs.get(&id).is_some_and(|j| j.is_failing())
        };
        fairness_ledger.advance_time(now, FAILING_JOB_RECHECK_MS, failing);
    }
}
