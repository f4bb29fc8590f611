//! What may be held. As with a team's CPUs, every task that *may* be on a machine counts: the caller adds a
//! task before anything of it is sent and takes it off with proof of absence alone, and so a new leader that
//! adds what is on record counts the same (safety: the superset, proof of absence).

use crate::declare::{Declaration, Scope};
use crate::need::Need;
use crate::{Holder, LicenceId};
use std::collections::BTreeMap;

/// What counts once however many tasks are behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Unit {
    Job(u32),
    JobIn(u32, u32),
    Machine(u32),
}

/// The tasks behind a unit, by team and number of shares.
type Behind = BTreeMap<(u32, u32), u32>;

#[derive(Debug, Default, Clone)]
struct Held {
    all: u32,
    by_team: BTreeMap<u32, u32>,
    by_zone: BTreeMap<u32, u32>,
    units: BTreeMap<Unit, Behind>,
}

/// What may be held of every licence.
#[derive(Debug, Clone)]
pub struct Count {
    scopes: Vec<Scope>,
    held: Vec<Held>,
}

fn change(map: &mut BTreeMap<u32, u32>, key: u32, from: u32, to: u32) {
    let n = map.entry(key).or_insert(0);
    *n = (*n + to).saturating_sub(from);
    if *n == 0 {
        map.remove(&key);
    }
}

/// The most shares that any of these tasks asks for; of one team, or of all.
fn most(behind: &Behind, team: Option<u32>) -> u32 {
    let of = behind.keys().filter(|(t, _)| team.is_none_or(|team| team == *t));
    of.map(|(_, n)| *n).max().unwrap_or(0)
}

impl Held {
    /// One more task behind a unit, or one less.
    fn unit(&mut self, unit: Unit, at: Holder, n: u32, more: bool) {
        let behind = self.units.entry(unit).or_default();
        let before = (most(behind, None), most(behind, Some(at.team)));
        let tasks = behind.entry((at.team, n)).or_insert(0);
        *tasks = if more { *tasks + 1 } else { tasks.saturating_sub(1) };
        if *tasks == 0 {
            behind.remove(&(at.team, n));
        }
        let after = (most(behind, None), most(behind, Some(at.team)));
        if behind.is_empty() {
            self.units.remove(&unit);
        }
        self.all = (self.all + after.0).saturating_sub(before.0);
        change(&mut self.by_team, at.team, before.1, after.1);
        if matches!(unit, Unit::JobIn(..)) {
            change(&mut self.by_zone, at.zone, before.0, after.0);
        }
    }

    fn plain(&mut self, at: Holder, n: u32, more: bool) {
        let (from, to) = if more { (0, n) } else { (n, 0) };
        self.all = (self.all + to).saturating_sub(from);
        change(&mut self.by_team, at.team, from, to);
        change(&mut self.by_zone, at.zone, from, to);
    }
}

impl Count {
    pub fn new(all: &[Declaration]) -> Count {
        Count {
            scopes: all.iter().map(|d| d.per).collect(),
            held: vec![Held::default(); all.len()],
        }
    }

    /// A task of this job may be on that machine from here on.
    pub fn add(&mut self, job: u32, need: &Need, at: Holder) {
        self.change(job, need, at, true);
    }

    /// It is proven to be there no more.
    pub fn sub(&mut self, job: u32, need: &Need, at: Holder) {
        self.change(job, need, at, false);
    }

    fn change(&mut self, job: u32, need: &Need, at: Holder, more: bool) {
        for (id, n) in &need.per_task {
            let held = &mut self.held[id.ix()];
            match self.scopes[id.ix()] {
                Scope::Machine => held.unit(Unit::Machine(at.machine), at, *n, more),
                Scope::Installation | Scope::Zone => held.plain(at, *n, more),
            }
        }
        for (id, n) in &need.per_job {
            let unit = self.job_unit(*id, job, at);
            self.held[id.ix()].unit(unit, at, *n, more);
        }
    }

    fn job_unit(&self, id: LicenceId, job: u32, at: Holder) -> Unit {
        match self.scopes[id.ix()] {
            Scope::Installation => Unit::Job(job),
            Scope::Zone => Unit::JobIn(job, at.zone),
            Scope::Machine => Unit::Machine(at.machine),
        }
    }

    /// Shares that may be held: of all, or in the zone for which there are `count` each.
    pub fn held(&self, id: LicenceId, zone: u32) -> u32 {
        let held = &self.held[id.ix()];
        match self.scopes[id.ix()] {
            Scope::Zone => held.by_zone.get(&zone).copied().unwrap_or(0),
            Scope::Installation | Scope::Machine => held.all,
        }
    }

    /// Of these, what one team may hold, everywhere.
    pub fn by_team(&self, id: LicenceId, team: u32) -> u32 {
        self.held[id.ix()].by_team.get(&team).copied().unwrap_or(0)
    }

    /// Shares that another task there would share with tasks that are there already.
    pub fn shared(&self, id: LicenceId, per_job: bool, job: u32, at: Holder) -> u32 {
        let unit = match (per_job, self.scopes[id.ix()]) {
            (false, Scope::Installation | Scope::Zone) => return 0,
            (false, Scope::Machine) => Unit::Machine(at.machine),
            (true, _) => self.job_unit(id, job, at),
        };
        self.held[id.ix()].units.get(&unit).map_or(0, |behind| most(behind, None))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::declare::tests::read;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};
    use std::collections::BTreeSet;

    #[test]
    fn the_same_as_counting_all_anew_whatever_comes_and_goes() {
        let all = read(
            "[{ name: a, count: 9 }, { name: b, count: 9, per: zone }, { name: c, count: 9, per: machine }]",
        )
        .expect("sound");
        for seed in 0..40 {
            let rng = &mut StdRng::seed_from_u64(seed);
            let mut needs = vec![];
            for _ in 0..6 {
                let mut need = Need::default();
                for id in 0..3 {
                    let n = rng.random_range(1..4);
                    match rng.random_range(0..3) {
                        0 => need.per_task.push((LicenceId(id), n)),
                        1 => need.per_job.push((LicenceId(id), n)),
                        _ => {}
                    }
                }
                needs.push(need);
            }
            let mut count = Count::new(&all);
            let mut there: Vec<(u32, Holder)> = vec![];
            for _ in 0..300 {
                if rng.random_bool(0.55) || there.is_empty() {
                    let job = rng.random_range(0..6u32);
                    let machine = rng.random_range(0..6u32);
                    let at = Holder { team: job % 2, zone: machine % 3, machine };
                    count.add(job, &needs[job as usize], at);
                    there.push((job, at));
                } else {
                    let (job, at) = there.swap_remove(rng.random_range(0..there.len()));
                    count.sub(job, &needs[job as usize], at);
                }
                check(&count, &needs, &there);
            }
            for (job, at) in there.drain(..) {
                count.sub(job, &needs[job as usize], at);
            }
            check(&count, &needs, &[]);
            assert!(count.held.iter().all(|h| h.units.is_empty() && h.by_team.is_empty()));
        }
    }

    /// Counts by listing, without what the code keeps up.
    fn check(count: &Count, needs: &[Need], there: &[(u32, Holder)]) {
        let list = |id: u32, per_job: bool, job: u32| {
            let need = &needs[job as usize];
            let list = if per_job { &need.per_job } else { &need.per_task };
            list.iter().find(|(l, _)| l.0 == id).map_or(0, |(_, n)| *n)
        };
        let either = |id, job| list(id, false, job) + list(id, true, job);
        // a: each task, each job once.
        let a: u32 = there.iter().map(|(job, _)| list(0, false, *job)).sum::<u32>()
            + there
                .iter()
                .map(|(job, _)| *job)
                .collect::<BTreeSet<u32>>()
                .into_iter()
                .map(|job| list(0, true, job))
                .sum::<u32>();
        assert_eq!(count.held(LicenceId(0), 0), a);
        for zone in 0..3 {
            let here = there.iter().filter(|(_, at)| at.zone == zone);
            let jobs: BTreeSet<u32> = here.clone().map(|(job, _)| *job).collect();
            let b = here.map(|(job, _)| list(1, false, *job)).sum::<u32>()
                + jobs.into_iter().map(|job| list(1, true, job)).sum::<u32>();
            assert_eq!(count.held(LicenceId(1), zone), b, "zone {zone}");
        }
        // c: a machine holds the most that any task on it asks for.
        let machine = |m: u32, team: Option<u32>| {
            let here = there.iter().filter(|(_, at)| at.machine == m);
            let of = here.filter(|(_, at)| team.is_none_or(|t| t == at.team));
            of.map(|(job, _)| either(2, *job)).max().unwrap_or(0)
        };
        assert_eq!(count.held(LicenceId(2), 0), (0..6).map(|m| machine(m, None)).sum::<u32>());
        for team in 0..2 {
            let c = (0..6).map(|m| machine(m, Some(team))).sum::<u32>();
            assert_eq!(count.by_team(LicenceId(2), team), c, "team {team}");
        }
    }
}
