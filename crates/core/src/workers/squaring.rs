//! The first report of this term from a machine, held against what is on record of it: counted by what was met
//! (`copperhaven_recovery::square`). What follows is done where reports are taken in.

use crate::state::cell::Cell;
use crate::state::names::*;
use crate::workers::reports::split;
use copperhaven_recovery::Machine;
use copperhaven_recovery::square::{Pair, Reported, Row, State, square};
use copperhaven_wire::workers::Report;
use std::collections::BTreeMap;

impl Cell {
    pub(super) fn square(&mut self, mid: MachineId, r: &Report, now: u64) {
        self.recovery.settled(Machine(mid.0), now);
        let Some(m) = self.machines.get(&mid) else { return };
        let mut tasks: BTreeMap<(Option<JobId>, &str, u32), Pair> = BTreeMap::new();
        // Nothing was put there before its first report under this term: all of it is from records, also what an earlier
        // report, by a worker that had not seen the term, has spoken for already. (Found on a deployment whose workers
        // report every 8 s: most tasks were counted as not on record.)
        for ((id, task), e) in &m.entries {
            let Some(job) = self.jobs.get(id) else { continue };
            let (open, done) = (job.open(), job.done.contains(*task));
            let pair = Pair { recorded: Some(e.attempt), reported: None, open, done };
            tasks.insert((Some(*id), "", *task), pair);
        }
        for p in &r.parcels {
            let Some((uid, task)) = split(&p.parcel) else { continue };
            let state = match (p.status.as_str(), p.cause.as_deref()) {
                ("ended", Some("done")) => State::Done,
                ("ended", _) => State::Ended,
                _ => State::There,
            };
            let reported = Some(Reported { attempt: p.attempt, state });
            let known = self.job(uid);
            let open = known.is_some_and(|(_, job)| job.open());
            let done = known.is_some_and(|(_, job)| job.done.contains(task));
            let key = (known.map(|(id, _)| id), if known.is_none() { uid } else { "" }, task);
            let none = Pair { recorded: None, reported: None, open, done };
            tasks.entry(key).or_insert(none).reported = reported;
        }
        for row in tasks.into_values().filter_map(square) {
            self.squared.add(row, 1);
        }
    }

    /// The bound of hearing is over, or all were heard: what is still not heard is counted as that.
    pub fn close_squaring(&mut self) {
        let inherited = |m: &crate::state::machine::Machine| m.entries.len() as u64;
        let unheard = self.machines.values().filter(|m| !m.fenced).map(inherited).sum();
        self.squared.add(Row::Unheard, unheard);
    }
}
