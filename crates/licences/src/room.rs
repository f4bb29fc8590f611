//! How many more tasks may start. What is kept for other teams' guarantees is not given away, what a team may
//! hold at most is not exceeded, and a task takes all its shares at once or none: so no two jobs ever wait for
//! each other's half.

use crate::count::Count;
use crate::declare::{Declaration, Scope};
use crate::need::Need;
use crate::{Holder, LicenceId};

/// More than any job has tasks: no licence stands in the way.
pub const ANY: u32 = u32::MAX;

/// The licences as they are in one placement pass.
#[derive(Debug)]
pub struct Room {
    scopes: Vec<Scope>,
    /// How many there are now for this installation; in each zone where they count by zone. None: not known,
    /// nothing starts.
    total: Vec<Option<u32>>,
    /// By licence and team: guaranteed, and the most it may hold.
    parts: Vec<Vec<(u32, u32)>>,
    /// By licence: shares kept in this pass for a job that was served earlier and waits for them.
    kept: Vec<u32>,
}

impl Room {
    /// `others` is what others hold by the word of each licence's server (none: it has no server or is not known,
    /// `Others`), `teams` the names of the caller's teams in its order.
    pub fn new(all: &[Declaration], others: &[Option<u32>], teams: &[&str], wall_ms: u64) -> Room {
        let total = |(d, others): (&Declaration, &Option<u32>)| {
            others.map(|others| d.total(wall_ms).saturating_sub(others))
        };
        let part = |d: &Declaration, team: &str| {
            let part = d.part(team);
            (part.guaranteed, part.most.unwrap_or(u32::MAX))
        };
        Room {
            scopes: all.iter().map(|d| d.per).collect(),
            total: all.iter().zip(others).map(total).collect(),
            parts: all.iter().map(|d| teams.iter().map(|t| part(d, t)).collect()).collect(),
            kept: vec![0; all.len()],
        }
    }

    /// Shares that one more of this team's tasks could take in that zone.
    fn free(&self, count: &Count, id: LicenceId, at: Holder) -> u32 {
        let Some(total) = self.total[id.ix()] else { return 0 };
        let parts = &self.parts[id.ix()];
        let own = count.by_team(id, at.team);
        let promised: u32 = match self.scopes[id.ix()] {
            Scope::Zone => 0,
            Scope::Installation | Scope::Machine => (0u32..)
                .zip(parts)
                .filter(|(team, _)| *team != at.team)
                .map(|(team, (guaranteed, _))| guaranteed.saturating_sub(count.by_team(id, team)))
                .sum(),
        };
        let most = parts.get(at.team as usize).map_or(u32::MAX, |(_, most)| *most);
        let left = total.saturating_sub(count.held(id, at.zone));
        left.saturating_sub(promised)
            .saturating_sub(self.kept[id.ix()])
            .min(most.saturating_sub(own))
    }

    /// How many more tasks of this job may start on that machine, and the licence that allows no more.
    pub fn tasks(
        &self,
        count: &Count,
        job: u32,
        need: &Need,
        at: Holder,
    ) -> (u32, Option<LicenceId>) {
        let mut least = (ANY, None);
        let lists = [(false, &need.per_task), (true, &need.per_job)];
        for (per_job, list) in lists {
            for (id, n) in list {
                let free = self.free(count, *id, at);
                let lacks = n.saturating_sub(count.shared(*id, per_job, job, at));
                let once = per_job || self.scopes[id.ix()] == Scope::Machine;
                let tasks = match (once, lacks) {
                    (true, lacks) if lacks > free => 0,
                    (true, _) => ANY,
                    (false, _) => free / (*n).max(1),
                };
                if tasks < least.0 {
                    least = (tasks, Some(*id));
                }
            }
        }
        least
    }

    /// Keeps what is free of these licences for a job that waits for more, as far as it needs it: those served
    /// after it take none of it in this pass.
    pub fn keep(&mut self, need: &Need, tasks: u32) {
        let lists = [(&need.per_task, tasks), (&need.per_job, 1)];
        for (list, times) in lists {
            for (id, n) in list {
                let kept = &mut self.kept[id.ix()];
                *kept = kept.saturating_add(n.saturating_mul(times));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::declare::tests::read;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};

    const TEAMS: [&str; 2] = ["red", "blue"];

    fn at(team: u32, machine: u32) -> Holder {
        Holder { team, zone: machine % 2, machine }
    }

    #[test]
    fn guarantees_limits_servers_and_what_is_kept() {
        let all = read(
            "[{ name: link, count: 6, teams: { red: { guaranteed: 2 }, blue: { most: 3 } } }, { name: seat, count: 2, per: machine }, { name: gate, count: 1, per: zone }]",
        )
        .expect("sound");
        let link = |n| Need { per_task: vec![(LicenceId(0), n)], ..Need::default() };
        let job_link = Need { per_job: vec![(LicenceId(0), 2)], ..Need::default() };
        let seat = Need { per_task: vec![(LicenceId(1), 1)], ..Need::default() };
        let gate = Need { per_task: vec![(LicenceId(2), 1)], ..Need::default() };
        let count = Count::new(&all);
        let room = |others| Room::new(&all, &[others, Some(0), Some(0)], &TEAMS, 0);
        // (others by the server's word, need, team, tasks)
        let cases = [
            (Some(0), link(1), 0, 6),
            (Some(0), link(4), 0, 1),
            (Some(0), link(1), 1, 3),
            (Some(2), link(1), 1, 2),
            (Some(9), link(1), 0, 0),
            (None, link(1), 0, 0),
            (None, seat.clone(), 0, ANY),
            (Some(3), job_link.clone(), 1, 0),
            (Some(2), job_link.clone(), 1, ANY),
            (Some(0), Need::default(), 0, ANY),
        ];
        for (others, need, team, tasks) in cases {
            let got = room(others).tasks(&count, 7, &need, at(team, 0));
            assert_eq!(got.0, tasks, "{others:?} {need:?}");
            assert_eq!(got.1.is_some(), tasks != ANY, "{need:?}");
        }
        // A job that holds its shares already needs no more; another does.
        let mut count = Count::new(&all);
        count.add(7, &job_link, at(1, 0));
        let full = room(Some(3));
        assert_eq!(full.tasks(&count, 7, &job_link, at(1, 3)).0, ANY);
        assert_eq!(full.tasks(&count, 8, &job_link, at(1, 3)), (0, Some(LicenceId(0))));
        // Two machines may have a seat; on those, any number of tasks.
        let mut count = Count::new(&all);
        count.add(1, &seat, at(0, 4));
        count.add(1, &seat, at(0, 5));
        assert_eq!(room(Some(0)).tasks(&count, 2, &seat, at(1, 4)).0, ANY);
        assert_eq!(room(Some(0)).tasks(&count, 2, &seat, at(1, 6)).0, 0);
        // One gate a zone.
        count.add(1, &gate, at(0, 4));
        assert_eq!(room(Some(0)).tasks(&count, 1, &gate, at(0, 2)).0, 0);
        assert_eq!(room(Some(0)).tasks(&count, 1, &gate, at(0, 3)).0, 1);
        // What a large job waits for is not taken by small ones served after it.
        let mut kept = room(Some(0));
        kept.keep(&link(1), 5);
        assert_eq!(kept.tasks(&Count::new(&all), 9, &link(1), at(0, 0)).0, 1);
    }

    #[test]
    fn nobody_exceeds_what_there_is_and_every_guarantee_can_be_reached() {
        let all = read(
            "[{ name: a, count: 7, teams: { red: { guaranteed: 3 }, blue: { guaranteed: 2, most: 5 } } }, { name: b, count: 4 }]",
        )
        .expect("sound");
        for seed in 0..60 {
            let rng = &mut StdRng::seed_from_u64(seed);
            let mut count = Count::new(&all);
            let room = Room::new(&all, &[Some(0), Some(0)], &TEAMS, 0);
            let mut there = vec![];
            for step in 0..200u32 {
                if rng.random_bool(0.6) {
                    let pair = rng.random_bool(0.3);
                    let n = rng.random_range(1..3);
                    let mut need = Need { per_task: vec![(LicenceId(0), n)], ..Need::default() };
                    if pair {
                        need.per_task.push((LicenceId(1), 1));
                    }
                    let at = at(rng.random_range(0..2), rng.random_range(0..9));
                    if room.tasks(&count, step, &need, at).0 > 0 {
                        count.add(step, &need, at);
                        there.push((step, need, at));
                    }
                } else if !there.is_empty() {
                    let (job, need, at) = there.swap_remove(rng.random_range(0..there.len()));
                    count.sub(job, &need, at);
                }
                let held = |id, team| count.by_team(LicenceId(id), team);
                assert!(held(0, 0) + held(0, 1) <= 7 && held(1, 0) + held(1, 1) <= 4);
                assert!(held(0, 1) <= 5);
                // Whoever is below its guarantee gets one more at once.
                let one = Need { per_task: vec![(LicenceId(0), 1)], ..Need::default() };
                for (team, guaranteed) in [(0, 3), (1, 2)] {
                    let free = room.tasks(&count, 999, &one, at(team, 0)).0;
                    assert!(held(0, team) >= guaranteed || free > 0, "seed {seed}");
                }
            }
        }
    }
}
