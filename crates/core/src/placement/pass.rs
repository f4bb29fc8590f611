//! Placement passes: each assigns every waiting task that can be placed to a machine.

use crate::placement::preempt::RankByJob;
use crate::placement::ranking::RankedJob;
use crate::state::job::{JobSpec, WaitReason};
use crate::state::leader_state::LeaderState;
use crate::state::leader_state::MIN_PASS_INTERVAL_MS;
use crate::state::write_queue::RecordKey;
use copperhaven_wire::jobs::JobKind;
use std::sync::Arc;

/// Passes are never further apart than this.
const MAX_PASS_INTERVAL_MS: u64 = 1000;

/// A leader whose timers fire no later than this is not overloaded.
const TOLERATED_TIMER_LAG_MS: u64 = 100;

/// Delay until a job that found no victims searches for them again.
const VICTIM_SEARCH_RETRY_MS: u64 = 1000;

/// Delay until a job whose victims are being stopped searches for more: no task leaves its machine sooner.
/// Without it, with 1.5 times as many machines, nine of ten searches under overload found the same victims
/// again in each pass.
const VICTIM_SEARCH_REPEAT_MS: u64 = 250;

/// Searches that failed in the current pass, for capacity and for victims. Within a pass capacity
/// only shrinks, so a job that needs at least as much as a failed one is not searched for.
#[derive(Default)]
pub(crate) struct FailedSearches {
    /// Demands, and the maximum number of tasks that fit of each.
    pub(super) max_tasks_by_demand: Vec<(Arc<JobSpec>, u32)>,
    /// Demands for which no victims were found, with the job's rank and its number of waiting tasks.
    pub(super) demands_without_victims: Vec<(RankedJob, Arc<JobSpec>, u32)>,
}

impl FailedSearches {
    /// Returns whether `b` needs at least as much as `a` and may use no machine that `a` may not use.
    pub(super) fn covers(a: &JobSpec, b: &JobSpec) -> bool {
        a.cpus <= b.cpus
            && a.gpus <= b.gpus
            && a.mem_gb <= b.mem_gb
            && (a.spot || !b.spot)
            && (a.zone.is_none() || a.zone == b.zone)
            && b.machine_types.iter().all(|t| a.machine_types.contains(t))
    }

    /// Returns whether a failed search shows that no task of `spec` fits.
    pub(crate) fn is_unplaceable(&self, spec: &JobSpec) -> bool {
        self.fits_fewer_than(spec, 1)
    }

    /// Returns whether a failed search shows that fewer than `need` tasks of `spec` fit.
    pub(super) fn fits_fewer_than(&self, spec: &JobSpec, need: u32) -> bool {
        self.max_tasks_by_demand
            .iter()
            .any(|(a, max_tasks)| *max_tasks < need && Self::covers(a, spec))
    }

    /// Records that at most `max_tasks` tasks of `spec` fit.
    pub(crate) fn record_max_tasks(&mut self, spec: &Arc<JobSpec>, max_tasks: u32) {
        match self
            .max_tasks_by_demand
            .iter_mut()
            .find(|(a, _)| Self::covers(a, spec) && Self::covers(spec, a))
        {
            Some((_, known)) => *known = max_tasks.min(*known),
            None => self.max_tasks_by_demand.push((spec.clone(), max_tasks)),
        }
    }

    /// Returns whether a failed search shows that no victims exist for `need` tasks of `spec`.
    pub(crate) fn has_no_victims(&self, r: RankedJob, spec: &JobSpec, need: u32) -> bool {
        self.demands_without_victims.iter().any(|(other, a, failed_need)| {
            let gang = |s: &JobSpec| s.kind == JobKind::Gang;
            Self::covers(a, spec)
                && a.priority <= spec.priority
                // Any victim serves an array; a gang failed because its tasks did not all fit.
                && (!gang(a) || (gang(spec) && *failed_need <= need))
                && other.team_underserved >= r.team_underserved
                && other.class_deficit <= r.class_deficit
                && (!r.guaranteed || (other.guaranteed && a.team == spec.team))
        })
    }
}

impl LeaderState {
    /// Returns the milliseconds until the next pass is due, or `None` if nothing has changed since the last.
    pub fn ms_until_next_pass(&self, now: u64) -> Option<u64> {
        let lag_interval = self.timer_lag_ms.saturating_sub(TOLERATED_TIMER_LAG_MS) * 4;
        let interval = self.pass_interval_ms.max(lag_interval.min(MAX_PASS_INTERVAL_MS));
        self.placement_pending.then(|| (self.last_pass_at + interval).saturating_sub(now))
    }

    /// Sets the interval between passes to four times the duration of the last one, in milliseconds, so
    /// that passes take at most a quarter of the time while many jobs wait or processor time is scarce. A
    /// factor of eight was worse for controllers with six percent of a core.
    pub fn record_pass_duration(&mut self, ms: u64) {
        self.pass_interval_ms = (ms * 4).clamp(MIN_PASS_INTERVAL_MS, MAX_PASS_INTERVAL_MS);
    }

    /// Runs one pass: assigns every waiting task that can be placed to a machine.
    pub fn run_placement_pass(&mut self, now: u64) {
        self.pass(now, true);
    }

    /// Runs a pass without the bounds that cut short searches for gang capacity and for victims; for tests.
    #[cfg(any(test, feature = "testing"))]
    pub fn run_placement_pass_without_pruning(&mut self, now: u64) {
        self.pass(now, false);
    }

    fn pass(&mut self, now: u64, pruning: bool) {
        self.placement_pending = false;
        self.last_pass_at = now;
        self.stoppable.clear();
        let unknown = self.unknown_usage();
        self.team_usage.reset_reservations(unknown);
        self.advance_fairness(now);
        self.deficits = self.compute_deficits();
        let ranked = self.ranked_jobs(&self.deficits, now);
        for r in &ranked {
            if let Some(job) = self.jobs.get_mut(&r.id) {
                job.guaranteed = r.guaranteed;
            }
        }
        let mut capacities = self.free_capacity(now);
        let ranks: RankByJob = ranked.iter().map(|r| (r.id, *r)).collect();
        let reserved_machines = self.reserved_machines(now);
        let mut failed_searches = FailedSearches::default();
        for r in &ranked {
            let Some(job) = self.jobs.get(&r.id) else { continue };
            if job.waiting.is_empty() {
                continue;
            }
            let start_allowed_ver = job.accept_ver.max(job.start_ver);
            if !self.is_saved(&RecordKey::Job(r.id), start_allowed_ver) {
                continue;
            }
            if now < job.retry_at {
                continue;
            }
            if self.may_be_on_unreadable_machine(job) {
                if let Some(job) = self.jobs.get_mut(&r.id) {
                    job.wait_reason = WaitReason::UnreportedMachine;
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
            let unconstrained = !job.may_avoid_machines(now)
                && !spec.one_zone
                && !spec.spread
                // Only earlier passes can have reserved machines for it at this point.
                && !reserved_machines.contains_key(&r.id);
            let known_unplaceable = unconstrained && failed_searches.is_unplaceable(&spec);
            let gang = spec.kind == JobKind::Gang;
            let wait_reason = match spec.kind {
                _ if known_unplaceable && self.team_headroom(&spec) == 0 => WaitReason::TeamLimit,
                JobKind::Gang => {
                    let known_unplaceable_gang = known_unplaceable
                        || (unconstrained && failed_searches.fits_fewer_than(&spec, need));
                    self.place_gang(r.id, &spec, &mut capacities, now, known_unplaceable_gang)
                }
                _ if known_unplaceable => WaitReason::NoCapacity,
                _ => self.place_independent_tasks(r.id, &spec, &mut capacities, now),
            };
            if reserved_machines.contains_key(&r.id)
                && !capacities.iter().any(|s| s.reserved == Some(r.id))
            {
                // Its reservations were released, so more capacity may be free than failed searches found.
                failed_searches.max_tasks_by_demand.clear();
            }
            if wait_reason == WaitReason::NoCapacity
                && unconstrained
                && !known_unplaceable
                && !failed_searches.fits_fewer_than(&spec, need)
            {
                // A gang fails if its tasks don't all fit, any other job if not one task fits.
                let max_tasks = capacities.iter().map(|s| s.unreserved_fitting_tasks(&spec)).sum();
                if (gang && pruning) || max_tasks == 0 {
                    failed_searches.record_max_tasks(&spec, max_tasks);
                }
            }
            let Some(job) = self.jobs.get_mut(&r.id) else { continue };
            let previous_reason = std::mem::replace(&mut job.wait_reason, wait_reason);
            if wait_reason == WaitReason::TeamLimit {
                // Searching all running tasks is expensive, as below.
                let too_soon = now < job.next_preemption_at;
                let still_stopping = too_soon && previous_reason == WaitReason::Stopping && !gang;
                if still_stopping {
                    job.wait_reason = WaitReason::Stopping;
                }
                let skip_search = too_soon || !self.has_lower_priority_work(&spec);
                if still_stopping {
                    // Its part of the limit stays reserved until its victims have left.
                    self.reserve_team_limit(r.id, &spec);
                } else if !gang
                    && !skip_search
                    && self.has_usable_capacity(r.id, &spec, &capacities, now)
                {
                    let found = self.preempt_for_team_limit(r.id, &spec, now);
                    if let Some(job) = self.jobs.get_mut(&r.id) {
                        job.next_preemption_at = now
                            + if found { VICTIM_SEARCH_REPEAT_MS } else { VICTIM_SEARCH_RETRY_MS };
                        if found {
                            job.wait_reason = WaitReason::Stopping;
                        }
                    }
                }
                continue;
            }
            if wait_reason == WaitReason::NoCapacity {
                if job.waiting_for_capacity_since == 0 {
                    job.waiting_for_capacity_since = now;
                }
                // Searching all running tasks for victims is expensive: a failed search is not
                // repeated within a second, nor in this pass for jobs that could preempt no more.
                let has_reservation = reserved_machines.contains_key(&r.id)
                    && capacities.iter().any(|s| s.reserved == Some(r.id));
                let no_victims =
                    || unconstrained && failed_searches.has_no_victims(*r, &spec, need);
                let skip_search = now < job.next_preemption_at || no_victims();
                let found = if skip_search {
                    has_reservation
                        || (now < job.next_preemption_at && previous_reason == WaitReason::Stopping)
                } else {
                    let found = self.preempt_for_capacity(
                        *r,
                        &spec,
                        &mut capacities,
                        (&ranks, &reserved_machines, pruning),
                        now,
                    );
                    if let Some(job) = self.jobs.get_mut(&r.id) {
                        job.next_preemption_at = now
                            + if found { VICTIM_SEARCH_REPEAT_MS } else { VICTIM_SEARCH_RETRY_MS };
                    }
                    let unguaranteed_only =
                        spec.kind == JobKind::Array && !self.can_array_preempt(*r, now);
                    if !found && unconstrained && !unguaranteed_only {
                        failed_searches.demands_without_victims.push((*r, spec.clone(), need));
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
                } else if self.has_avoided_capacity(r.id, &spec, &capacities, now)
                    && let Some(job) = self.jobs.get_mut(&r.id)
                {
                    job.wait_reason = WaitReason::FailedOnMachines;
                }
            } else if let Some(job) = self.jobs.get_mut(&r.id) {
                job.waiting_for_capacity_since = 0;
            }
        }
    }
}
