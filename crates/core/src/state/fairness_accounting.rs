//! What the ledger of service is told of jobs and tasks.

use crate::records::{FairnessRecord, MAX_FAIRNESS_PARTS, Record};
use crate::state::job::{Job, JobSpec, secs_to_ms};
use crate::state::leader_state::LeaderState;
use crate::state::names::*;
use crate::state::write_queue::RecordKey;
use copperhaven_fairness::capacity::TaskCapacity;
use copperhaven_fairness::ledger::{FairnessCounters, FairnessLedger};
use copperhaven_fairness::snapshot::FairnessSnapshot;
use copperhaven_fairness::{self as fairness, Class, Team, TeamClass};

/// A job that fails wherever it starts is nobody's neglect; it is looked at again after this long.
const EXCUSED_MS: u64 = 30_000;

/// What a job takes of the leader's memory, in tasks.
const JOB_AS_TASKS: u64 = 40;

pub fn fairness_job(id: JobId) -> fairness::Job {
    fairness::Job(u64::from(id.0))
}

pub fn fairness_pair(spec: &JobSpec) -> TeamClass {
    (Team(spec.team.0), Class(spec.class.0))
}

/// What of the ledger of service is recorded, in parts that fit into a value. What doesn't fit into all of
/// them is lost: pairs of team and class that were served least of late.
pub fn record_parts(
    service: &FairnessLedger,
    names: &Names,
    most: usize,
) -> Vec<Vec<FairnessSnapshot>> {
    let name = |(team, class): TeamClass| {
        (names.teams.name(team.0 as usize).into(), names.classes.name(class.0 as usize).into())
    };
    let size = |row: &FairnessSnapshot| {
        let one = Record::Service(FairnessRecord { rows: vec![row.clone()] });
        one.encoded_len() + 2
    };
    let mut parts: Vec<Vec<FairnessSnapshot>> = vec![];
    let mut left = 0;
    for row in service.snapshot(name) {
        let bytes = size(&row);
        if bytes > left || parts.is_empty() {
            if parts.len() == MAX_FAIRNESS_PARTS as usize || bytes > most {
                break;
            }
            parts.push(vec![]);
            left = most;
        }
        left -= bytes;
        parts.last_mut().expect("just pushed").push(row);
    }
    parts
}

impl LeaderState {
    /// Does memory have room for a job of this team and so many tasks? A job counts as some tasks.
    pub fn has_memory_for(&self, team: TeamId, tasks: u32) -> bool {
        let of = |j: &Job| u64::from(j.spec.tasks) + JOB_AS_TASKS;
        let (mut all, mut own) = (0, 0);
        for job in self.jobs.values() {
            all += of(job);
            own += if job.spec.team == team { of(job) } else { 0 };
        }
        let most = self.settings.max_open_tasks() as u64;
        TaskCapacity { max_tasks: most, teams: self.team_usage.len() as u64 }.can_admit(
            all,
            own,
            u64::from(tasks),
        )
    }

    /// Has the ledger of service recorded, for a successor.
    pub fn record_fairness(&mut self) {
        let parts =
            record_parts(&self.fairness_ledger, &self.names, self.write_queue.value_limit).len();
        for part in 0..parts as u32 {
            self.mark_dirty(RecordKey::FairnessPart(part));
        }
    }

    /// Goes on from what earlier leaders recorded. What can't be used of it is left out: no rule rests
    /// on it.
    pub(crate) fn restore_fairness(&mut self, read: Vec<(String, FairnessRecord, u64)>, now: u64) {
        for (path, record, stamp) in read {
            self.write_queue.set_path_revision(path, Some(stamp));
            for row in record.rows {
                // A team that the settings don't know any more has no jobs.
                let Some(team) = self.names.teams.get(&row.team) else { continue };
                let class = self.names.classes.intern(&row.class);
                self.fairness_ledger.restore((Team(team.0), Class(class.0)), &row, now);
            }
        }
    }

    /// What was served of late, in a line for the log: by class, and the team that was served least.
    pub fn fairness_summary(&self, now: u64) -> String {
        let tell = |name: &str, r: &FairnessCounters| {
            let (share, lost) = (r.served_share(now), 100.0 * r.lost_share(now));
            format!(
                "{name} {share:.2} ({} done, {} open, {} of them late, {lost:.1}% lost)",
                r.done, r.open, r.late
            )
        };
        let busy = |r: &FairnessCounters| r.accepted > 0 || r.open > 0;
        let mut out: Vec<String> = vec![];
        for (class, row) in self.fairness_ledger.classes().filter(|(_, r)| busy(r)) {
            let own = |j: &&Job| j.spec.class.0 == class.0;
            let cpus = |n: fn(&Job) -> u32| -> f64 {
                self.jobs.values().filter(own).map(|j| j.spec.cpus * f64::from(n(j))).sum()
            };
            let (on, runs, waits) = (
                cpus(|j| j.placement_counts.values().sum()),
                cpus(|j| j.running),
                cpus(|j| j.waiting.len()),
            );
            let text = tell(self.names.classes.name(class.0 as usize), row);
            out.push(format!("{text}: {on:.0} CPUs, {runs:.0} run, {waits:.0} wait"));
        }
        let teams = self.fairness_ledger.teams().filter(|(_, r)| busy(r));
        let least = teams.min_by(|a, b| a.1.served_share(now).total_cmp(&b.1.served_share(now)));
        if let Some((team, row)) = least {
            let name = self.names.teams.name(team.0 as usize);
            out.push(format!("least of teams {}", tell(name, row)));
        }
        out.join(", ")
    }

    /// Within this a job should be done: the longest that its class's objectives speak of, or its
    /// own deadline if that is longer.
    fn aim_ms(&self, spec: &JobSpec) -> u64 {
        let class = self.settings.class_span_s(self.names.classes.name(spec.class.index()));
        let aim = class.into_iter().chain(spec.deadline_s).reduce(f64::max);
        secs_to_ms(aim.unwrap_or(self.settings.tuning.default_span_s)).unsigned_abs()
    }

    /// The job's time counts from here on.
    pub(crate) fn open_fairness(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let aim = self.aim_ms(&job.spec);
        self.fairness_ledger.job_opened(
            fairness_job(id),
            fairness_pair(&job.spec),
            job.eligible_mono_ms,
            aim,
        );
    }

    /// Time passes: open jobs become late, but for those that fail wherever they start.
    pub(crate) fn advance_fairness(&mut self, now: u64) {
        let LeaderState { fairness_ledger: service, jobs, .. } = self;
        let failing = |job: fairness::Job| {
            let id = JobId(job.0 as u32);
            jobs.get(&id).is_some_and(|j| j.is_failing())
        };
        service.advance_time(now, EXCUSED_MS, failing);
    }
}
