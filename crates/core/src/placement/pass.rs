//! Placement passes: every waiting task that can be placed is put on a machine's list.

use crate::placement::preempt::RankByJob;
use crate::placement::ranking::RankedJob;
use crate::state::job::{JobSpec, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::leader_state::MIN_PASS_INTERVAL_MS;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::JobKind;
use std::sync::Arc;

const MOST_PASS_MS: u64 = 1000;

/// A leader whose timers fire no later than this keeps up.
const LATE_MS: u64 = 100;

/// A job that found nobody to stop looks again after this long.
const LOOK_MS: u64 = 1000;

/// One that waits for tasks that are being stopped looks for more after this long: none of them leaves its
/// machine sooner. Found at half as many machines again: nine of ten searches of a flood found the same tasks
/// once more, in each pass.
const AGAIN_MS: u64 = 250;

/// What one pass has found out: with these demands there is no place, and nobody to stop. Places
/// only get fewer within a pass, so whoever needs at least as much need not look.
#[derive(Default)]
pub(crate) struct FailedSearches {
    /// Demands, and for how many tasks of them there is room at most.
    pub(super) max_tasks_by_demand: Vec<(Arc<JobSpec>, u32)>,
    pub(super) demands_without_victims: Vec<(RankedJob, Arc<JobSpec>, u32)>,
}

impl FailedSearches {
    /// Does `b` need at least what `a` needs, of machines that `a` may use as well?
    pub(super) fn covers(a: &JobSpec, b: &JobSpec) -> bool {
        a.cpus <= b.cpus
            && a.gpus <= b.gpus
            && a.mem_gb <= b.mem_gb
            && (a.spot || !b.spot)
            && (a.zone.is_none() || a.zone == b.zone)
            && b.machine_types.iter().all(|t| a.machine_types.contains(t))
    }

    pub(crate) fn is_unplaceable(&self, spec: &JobSpec) -> bool {
        self.lacks_room(spec, 1)
    }

    /// Is there room for less than `need` tasks of this shape?
    pub(super) fn lacks_room(&self, spec: &JobSpec, need: u32) -> bool {
        self.max_tasks_by_demand.iter().any(|(a, most)| *most < need && Self::covers(a, spec))
    }

    /// There is room for so many tasks of this shape.
    pub(crate) fn record_max_tasks(&mut self, spec: &Arc<JobSpec>, most: u32) {
        match self
            .max_tasks_by_demand
            .iter_mut()
            .find(|(a, _)| Self::covers(a, spec) && Self::covers(spec, a))
        {
            Some((_, known)) => *known = most.min(*known),
            None => self.max_tasks_by_demand.push((spec.clone(), most)),
        }
    }

    pub(crate) fn has_no_victims(&self, r: RankedJob, spec: &JobSpec, need: u32) -> bool {
        self.demands_without_victims.iter().any(|(other, a, least)| {
            let gang = |s: &JobSpec| s.kind == JobKind::Gang;
            Self::covers(a, spec)
                && a.priority <= spec.priority
                // An array takes what it gets; a gang found too little for all of it.
                && (!gang(a) || (gang(spec) && *least <= need))
                && other.team_underserved >= r.team_underserved
                && other.class_deficit <= r.class_deficit
                && (!r.guaranteed || (other.guaranteed && a.team == spec.team))
        })
    }
}

impl LeaderState {
    /// How long until the next pass is due, if there is anything to place.
    pub fn ms_until_next_pass(&self, now: u64) -> Option<u64> {
        let late = self.timer_lag.saturating_sub(LATE_MS) * 4;
        let gap = self.pass_interval_ms.max(late.min(MOST_PASS_MS));
        self.placement_pending.then(|| (self.last_pass_at + gap).saturating_sub(now))
    }

    /// A pass took so long: with much that waits, or little processor, passes are further apart, so
    /// that they never take more than a fifth of the time. Eight times as far apart as they took cost where a
    /// controller has six percent of a core.
    pub fn record_pass_duration(&mut self, ms: u64) {
        self.pass_interval_ms = (ms * 4).clamp(MIN_PASS_INTERVAL_MS, MOST_PASS_MS);
    }

    /// One pass: every waiting task that can be placed is put on a machine's list.
    pub fn run_placement_pass(&mut self, now: u64) {
        self.pass(now, true);
    }

    /// The same without bounds on room for gangs and on what could be stopped; for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn run_placement_pass_without_pruning(&mut self, now: u64) {
        self.pass(now, false);
    }

    fn pass(&mut self, now: u64, bounds: bool) {
        self.placement_pending = false;
        self.last_pass_at = now;
        self.stoppable.clear();
        let unknown = self.unknown_usage();
        self.team_usage.release_held(unknown);
        self.advance_fairness(now);
        self.deficits = self.compute_deficits();
        let ranked = self.ranked_jobs(&self.deficits, now);
        for r in &ranked {
            if let Some(job) = self.jobs.get_mut(&r.id) {
                job.guaranteed = r.guaranteed;
            }
        }
        let mut slots = self.free_capacity(now);
        let order: RankByJob = ranked.iter().map(|r| (r.id, *r)).collect();
        let held = self.reserved_machines(now);
        let mut full = FailedSearches::default();
        for r in &ranked {
            let Some(job) = self.jobs.get(&r.id) else { continue };
            if job.waiting.is_empty() {
                continue;
            }
            let safe = job.accept_ver.max(job.start_ver);
            if !self.is_saved(&RecordKey::Job(r.id), safe) {
                continue;
            }
            if now < job.retry_at {
                continue;
            }
            if self.may_be_on_unreadable_machine(job) {
                if let Some(job) = self.jobs.get_mut(&r.id) {
                    job.wait_reason = WaitReason::UnheardMachine;
                }
                continue;
            }
            if job.is_failing()
                && job.spec.kind != JobKind::Gang
                && !job.placement_counts.is_empty()
            {
                continue;
            }
            let spec = job.spec.clone();
            let need = job.waiting.len();
            let plain = job.failed_on.is_empty()
                && !spec.one_zone
                && !spec.spread
                // Before its turn nobody keeps a machine for it but earlier passes.
                && !held.contains_key(&r.id);
            let skip = plain && full.is_unplaceable(&spec);
            let gang = spec.kind == JobKind::Gang;
            let wait = match spec.kind {
                _ if skip && self.team_headroom(&spec) == 0 => WaitReason::TeamLimit,
                JobKind::Gang => {
                    let short = skip || (plain && full.lacks_room(&spec, need));
                    self.place_gang(r.id, &spec, &mut slots, now, short)
                }
                _ if skip => WaitReason::NoRoom,
                _ => self.place_independent_tasks(r.id, &spec, &mut slots, now),
            };
            if held.contains_key(&r.id) && !slots.iter().any(|s| s.reserved == Some(r.id)) {
                // What was kept for it is there for others now: there may be more room than was found.
                full.max_tasks_by_demand.clear();
            }
            if wait == WaitReason::NoRoom && plain && !skip && !full.lacks_room(&spec, need) {
                // A gang found too little for all of it, a single task none at all.
                let most = slots.iter().map(|s| s.unreserved_fitting_tasks(&spec)).sum();
                if (gang && bounds) || most == 0 {
                    full.record_max_tasks(&spec, most);
                }
            }
            let Some(job) = self.jobs.get_mut(&r.id) else { continue };
            let was = std::mem::replace(&mut job.wait_reason, wait);
            if wait == WaitReason::TeamLimit {
                // As below: looking through all that runs is dear.
                let soon = now < job.next_preemption_at;
                let waits_on = soon && was == WaitReason::Stopping && !gang;
                if waits_on {
                    job.wait_reason = WaitReason::Stopping;
                }
                let futile = soon || !self.has_lower_priority_work(&spec);
                if waits_on {
                    // For what is being stopped; its share of the limit is kept for it meanwhile.
                    self.reserve_team_limit(r.id, &spec);
                } else if !gang && !futile && slots.iter().any(|s| s.has_unreserved_room(&spec)) {
                    let found = self.preempt_for_team_limit(r.id, &spec, now);
                    if let Some(job) = self.jobs.get_mut(&r.id) {
                        job.next_preemption_at = now + if found { AGAIN_MS } else { LOOK_MS };
                        if found {
                            job.wait_reason = WaitReason::Stopping;
                        }
                    }
                }
                continue;
            }
            if wait == WaitReason::NoRoom {
                if job.waiting_for_room_since == 0 {
                    job.waiting_for_room_since = now;
                }
                // Looking through all that runs is dear: a search that came to nothing is not
                // repeated within a second, nor in this pass for those who could stop no more.
                let kept =
                    held.contains_key(&r.id) && slots.iter().any(|s| s.reserved == Some(r.id));
                let none = || plain && full.has_no_victims(*r, &spec, need);
                let futile = now < job.next_preemption_at || none();
                let found = if futile {
                    kept || (now < job.next_preemption_at && was == WaitReason::Stopping)
                } else {
                    let found = self.preempt_for_capacity(
                        *r,
                        &spec,
                        &mut slots,
                        (&order, &held, bounds),
                        now,
                    );
                    if let Some(job) = self.jobs.get_mut(&r.id) {
                        job.next_preemption_at = now + if found { AGAIN_MS } else { LOOK_MS };
                    }
                    let patient = spec.kind == JobKind::Array && !self.can_array_preempt(*r, now);
                    if !found && plain && !patient {
                        full.demands_without_victims.push((*r, spec.clone(), need));
                    }
                    found
                };
                if found {
                    if spec.kind != JobKind::Array {
                        self.reserve_team_limit(r.id, &spec);
                    }
                    if let Some(job) = self.jobs.get_mut(&r.id) {
                        job.wait_reason = WaitReason::Stopping;
                    }
                }
            } else if let Some(job) = self.jobs.get_mut(&r.id) {
                job.waiting_for_room_since = 0;
            }
        }
    }
}
