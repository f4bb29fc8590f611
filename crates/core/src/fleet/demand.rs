//! What to rent for the work that waits.

use crate::placement::capacity::FreeCapacity;
use crate::placement::pass::FailedSearches;
use crate::placement::ranking::RankedJob;
use crate::state::fleet::{OVERDUE_COST_FACTOR, RentalKind};
use crate::state::job::{EPS, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::machine::ObservedState;
use crate::state::names::*;
use crate::state::team_usage::{Usage, UsageByPriority};
use copperhaven_fairness::deficit::DeficitLevel;
use copperhaven_wire::jobs::JobKind;
use std::collections::{BTreeMap, BTreeSet, HashSet};

impl LeaderState {
    /// How many tasks of the job should run at once to be in time: all of them where a deadline
    /// or guarantee presses, fewer where the class's objective leaves time for more than one
    /// round.
    fn wanted(&self, spec: &JobSpec, waiting: u32, guaranteed: bool) -> u32 {
        if spec.kind != JobKind::Array || guaranteed || spec.deadline_s.is_some() {
            return waiting;
        }
        let class = self.names.classes.name(spec.class.index());
        let span = self
            .settings
            .deployment
            .objectives
            .iter()
            .filter(|o| o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
            .fold(self.settings.tuning.default_span_s, f64::min);
        let run = self.run_times.expected_run_s(usize::MAX, spec.class, spec.estimate_s);
        let rounds = (span * 0.5 / run).floor().clamp(1.0, 8.0);
        (f64::from(waiting) / rounds).ceil() as u32
    }

    /// Guests take what is left: as long as their work may still be in time no dear machine is
    /// rented for it, if a cheap one will do.
    fn spares(&self, spec: &JobSpec, born: i64, now: u64) -> bool {
        let waited = (now as i64 - born) as f64 / 1000.0;
        let guest = self.settings.deployment.teams[spec.team.index()].is_guest();
        guest && spec.spot && waited * self.deadline_rate(spec) < 1.0
    }

    /// What to rent now: the work that waits is laid onto free and booting machines in the order
    /// in which it is served; what finds no place is given the cheapest machines that fit it.
    pub fn rental_demand(&self, now: u64) -> Vec<(RentalKind, u32)> {
        self.rental_demand_and_retained(now).0
    }

    /// The same, and the machines on which jobs that are soon ready were laid.
    pub(crate) fn rental_demand_and_retained(
        &self,
        now: u64,
    ) -> (Vec<(RentalKind, u32)>, HashSet<MachineId>) {
        let mut kept = HashSet::new();
        // After a takeover places that are there all the same count, though they were not heard of yet.
        let mut slots: Vec<FreeCapacity> =
            self.free_capacity(now).into_iter().chain(self.unconfirmed_capacity(now)).collect();
        for s in &mut slots {
            // A machine held for a job gets free for it once the tasks there have stopped.
            if s.reserved.is_some() {
                let f = &self.machine_types[s.kind.index()];
                (s.cpus, s.gpus, s.mem_gb) = (f.cpus, f.gpus, f.mem_gb);
            }
        }
        let fresh = |(kind, zone, spot): RentalKind, mid: u32| {
            let f = &self.machine_types[kind.index()];
            FreeCapacity {
                machine_id: MachineId(mid),
                kind,
                zone,
                spot,
                cpus: f.cpus,
                gpus: f.gpus,
                mem_gb: f.mem_gb,
                images: Default::default(),
                record_free_bytes: usize::MAX,
                reserved: None,
            }
        };
        // A place that a running task is about to leave comes sooner than a machine that boots.
        let boot = self.machine_types.iter().map(|f| f.boot_s).fold(f64::MAX, f64::min);
        for s in &mut slots {
            let Some(m) = self.machines.get(&s.machine_id).filter(|_| s.reserved.is_none()) else {
                continue;
            };
            for ((id, _), e) in &m.assignments {
                let Some(job) = self.jobs.get(id) else { continue };
                let run =
                    self.run_times.expected_run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
                let ran = now.saturating_sub(e.running_since) as f64 / 1000.0;
                let running =
                    e.observed == ObservedState::Running && job.spec.kind != JobKind::Service;
                if e.stop_requested.is_some() || (running && run - ran < boot) {
                    s.release(&job.spec);
                }
            }
        }
        let dark = self.silent_zones();
        let (_, late) = self.overdue_boots(now);
        for b in self.viable_boots(now).into_iter().filter(|b| !dark[b.zone.index()]) {
            slots.push(fresh((b.machine_type, b.zone, b.spot), u32::MAX));
        }
        for r in self.fleet.rentals.values().filter(|r| !r.resolved) {
            for _ in 0..r.number {
                slots.push(fresh(r.kind, u32::MAX));
            }
        }
        let mut out: BTreeMap<RentalKind, u32> = BTreeMap::new();
        // Demands for which no place was left: whoever needs as much need not look.
        let mut full = FailedSearches::default();
        let tight = |cpus: f64| (cpus * 1000.0) as i64;
        let mut kept_for: BTreeMap<JobId, Vec<usize>> = BTreeMap::new();
        let mut by_room: BTreeSet<(i64, usize)> = BTreeSet::new();
        for (i, s) in slots.iter().enumerate() {
            match s.reserved {
                Some(id) => kept_for.entry(id).or_default().push(i),
                None => {
                    by_room.insert((tight(s.cpus), i));
                }
            }
        }
        for of in kept_for.values_mut() {
            of.sort_by_key(|i| tight(slots[*i].cpus));
        }
        // By priority: a team's lower work makes way for its higher.
        let split = |s: &UsageByPriority| -> [Usage; 4] { std::array::from_fn(|p| s.total_at(p)) };
        let mut used: Vec<[Usage; 4]> = self.team_usage.usages_by_priority().map(split).collect();
        let needs = self.compute_deficits();
        // Then those that are ready by the time a machine rented now is up.
        let soon: Vec<RankedJob> = self
            .jobs_ready_within(boot * 0.5, now)
            .into_iter()
            .filter_map(|id| {
                let team = self.jobs.get(&id)?.spec.team;
                let (team_need, class_need) = (false, DeficitLevel::NONE);
                Some(RankedJob {
                    id,
                    guaranteed: false,
                    team,
                    team_underserved: team_need,
                    class_deficit: class_need,
                })
            })
            .collect();
        for r in self.ranked_jobs(&needs, now).into_iter().chain(soon) {
            let Some(job) = self.jobs.get(&r.id) else { continue };
            let spec = &job.spec;
            let early = !job.pending_dependencies.is_empty();
            // What may be on a machine already needs no other.
            if job.waiting.is_empty()
                || now < job.retry_at
                || self.may_be_on_unreadable_machine(job)
            {
                continue;
            }
            let team = &self.settings.deployment.teams[spec.team.index()];
            let room = |max: f64, used: f64, need: f64| {
                if need <= 0.0 { 1e6 } else { ((max - used + EPS) / need).floor().max(0.0) }
            };
            // By need work of any precedence may go before: then nothing makes way for certain, and a
            // machine would only wait until the team's limit lets it be used.
            let last = if needs.has_any() { 3 } else { spec.priority as usize };
            let above = &mut used[spec.team.index()][..=last];
            let cpus = above.iter().map(|u| u.cpus).sum();
            let cards = above.iter().map(|u| u.gpus).sum();
            let quota =
                room(team.cpus_max, cpus, spec.cpus).min(room(team.gpus_max, cards, spec.gpus))
                    as u32;
            let failing = job.is_failing() && spec.kind != JobKind::Gang;
            if failing && !job.placement_counts.is_empty() {
                continue;
            }
            let waiting = if failing { 1 } else { job.waiting.len() };
            let mut n = self.wanted(spec, waiting, r.guaranteed).min(quota);
            if spec.kind == JobKind::Gang && n < waiting {
                continue;
            }
            let u = &mut above[spec.priority as usize];
            u.cpus += spec.cpus * f64::from(n);
            u.gpus += spec.gpus * f64::from(n);
            // The fullest that fits, so that whole machines stay free; what is kept for the job before all.
            let own = kept_for.get(&r.id).into_iter().flatten().copied();
            let mut found: Vec<(usize, u32)> = vec![];
            let mut left = n;
            let from = (tight(spec.cpus - EPS), 0);
            let open = (!full.is_unplaceable(spec)).then(|| by_room.range(from..));
            let open = open.into_iter().flatten().map(|(_, i)| *i);
            for i in own.chain(open) {
                let k = if slots[i].is_eligible_for(spec) {
                    slots[i].fitting_tasks(spec).min(left)
                } else {
                    0
                };
                if k > 0 {
                    found.push((i, k));
                    left -= k;
                }
                if left == 0 {
                    break;
                }
            }
            if found.is_empty() && n > 0 {
                full.record_max_tasks(spec, 0);
            }
            for (i, k) in found {
                let before = (tight(slots[i].cpus), i);
                slots[i].allocate(spec, k);
                if by_room.remove(&before) {
                    by_room.insert((tight(slots[i].cpus), i));
                }
                if early {
                    kept.insert(slots[i].machine_id);
                }
            }
            n = left;
            if n == 0 {
                continue;
            }
            let mut best: Option<(f64, usize, RentalKind, u32, u32)> = None;
            for kind in &spec.machine_types {
                let f = &self.machine_types[kind.index()];
                for zone in &f.zones {
                    if spec.zone.is_some_and(|z| z != *zone) || dark[zone.index()] {
                        continue;
                    }
                    for spot in [true, false] {
                        let what = (*kind, *zone, spot);
                        if (spot && !spec.spot) || self.fleet.is_backing_off(&what, now) {
                            continue;
                        }
                        if !spot && self.spares(spec, job.eligible_mono_ms, now) {
                            continue;
                        }
                        let each = fresh(what, 0).fitting_tasks(spec).max(1);
                        let machines = n.div_ceil(each);
                        let late =
                            if late.contains(&(*kind, *zone)) { OVERDUE_COST_FACTOR } else { 1.0 };
                        let price = f64::from(machines) * f.price(spot).max(1e-6) * late;
                        let busy = out.get(&what).copied().unwrap_or(0) as usize;
                        if best.is_none_or(|(p, b, ..)| (price, busy) < (p, b)) {
                            best = Some((price, busy, what, machines, each));
                        }
                    }
                }
            }
            if let Some((_, _, what, machines, each)) = best {
                let machines = machines.min(50);
                *out.entry(what).or_insert(0) += machines;
                for _ in 0..machines {
                    let mut s = fresh(what, u32::MAX);
                    let k = each.min(n);
                    s.allocate(spec, k);
                    n -= k;
                    by_room.insert((tight(s.cpus), slots.len()));
                    slots.push(s);
                }
                // The last one may have places left, and so had those before it.
                full = FailedSearches::default();
            }
        }
        (out.into_iter().collect(), kept)
    }
}
