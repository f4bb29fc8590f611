//! Packs: the lists of several machines in one record (`p/N`), so that one change of the state service records what
//! changed on all of them. Which machine is in which pack, nothing else; what a pack says is rendered from the
//! machines as they are (`book`).
//!
//! A machine is in one pack or in none for as long as a leader leads; none: its list has a record of its own
//! (`m/NAME`). While machines move from the one form to the other both may list one: what may be on it is then both
//! together, a superset like each of them.

use crate::state::names::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// So much of a value each machine in a pack may fill; a pack has as many as fit, and no more than eight: the
/// lists that didn't change are written along.
const SHARE: usize = 2048;
pub const MOST: usize = 8;

/// A pack, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PackId(pub u32);

#[derive(Debug, Default)]
pub struct Packs {
    /// Machines to a pack; 0: none are packed.
    most: usize,
    of: BTreeMap<MachineId, PackId>,
    members: BTreeMap<PackId, BTreeSet<MachineId>>,
    /// Packs with room.
    open: BTreeSet<PackId>,
    next: u32,
    /// Packs that can't be read or used: nothing is written there.
    sealed: BTreeSet<PackId>,
    /// Machines whose own records have yet to go.
    unmoved: BTreeSet<MachineId>,
    /// Machines that go back to records of their own.
    leaving: BTreeMap<MachineId, (PackId, u64)>,
}

impl Packs {
    /// Machines are packed from here on, by how long a value may be. Too short for two: none are.
    pub fn turn_on(&mut self, value_limit: usize) {
        let most = (value_limit / SHARE).min(MOST);
        self.most = if most < 2 { 0 } else { most };
    }

    pub fn are_on(&self) -> bool {
        self.most > 0
    }

    /// What of a value the list of a machine may fill.
    pub fn share(&self, mid: MachineId, value_limit: usize) -> usize {
        if self.of.contains_key(&mid) && self.most > 0 {
            self.share_of_each(value_limit)
        } else {
            value_limit
        }
    }

    /// A pack is on record; one that can't be used is never written.
    pub fn begin(&mut self, pack: PackId, usable: bool) {
        self.next = self.next.max(pack.0.saturating_add(1));
        if !usable {
            self.sealed.insert(pack);
        }
    }

    /// What of a value each machine in a pack may fill; nothing where none are packed.
    pub fn share_of_each(&self, value_limit: usize) -> usize {
        value_limit.checked_div(self.most).unwrap_or(0)
    }

    /// As an earlier leader had it.
    pub fn inherit(&mut self, mid: MachineId, pack: PackId) {
        if !self.of.contains_key(&mid) {
            self.put(mid, pack);
        }
    }

    /// This machine's list has a record of its own as well, that goes with the next write.
    pub fn to_move(&mut self, mid: MachineId) {
        self.unmoved.insert(mid);
    }

    /// The next of those machines, to be written.
    pub fn next_to_move(&mut self) -> Option<MachineId> {
        self.unmoved.pop_first()
    }

    /// Takes a machine into a pack with room, if any are packed.
    pub fn add(&mut self, mid: MachineId) -> Option<PackId> {
        if self.most == 0 || self.of.contains_key(&mid) || self.leaving.contains_key(&mid) {
            return self.of(mid);
        }
        let pack = self.open.first().copied().unwrap_or_else(|| {
            let pack = PackId(self.next);
            self.next += 1;
            pack
        });
        self.put(mid, pack);
        Some(pack)
    }

    fn put(&mut self, mid: MachineId, pack: PackId) {
        let members = self.members.entry(pack).or_default();
        members.insert(mid);
        self.of.insert(mid, pack);
        if members.len() < self.most && !self.sealed.contains(&pack) {
            self.open.insert(pack);
        } else {
            self.open.remove(&pack);
        }
    }

    /// Machines beyond what a pack holds from here on: after the limit of a value has fallen, or where none are
    /// packed any more.
    pub fn surplus(&self) -> Vec<MachineId> {
        let beyond =
            |m: &BTreeSet<MachineId>| m.iter().copied().skip(self.most).collect::<Vec<_>>();
        self.members.values().flat_map(beyond).collect()
    }

    /// A machine gets a record of its own again, of this version. Until that is safe its pack lists it as well.
    pub fn leave(&mut self, mid: MachineId, ver: u64) {
        if let Some(pack) = self.of.remove(&mid) {
            self.unmoved.remove(&mid);
            self.leaving.insert(mid, (pack, ver));
        }
    }

    /// The pack that a machine is leaving, and the version of its own record that lets it.
    pub fn leaves(&self, mid: MachineId) -> Option<(PackId, u64)> {
        self.leaving.get(&mid).copied()
    }

    /// Its own record is safe, or the machine is gone: the pack may be written without it.
    pub fn left(&mut self, mid: MachineId) -> Option<PackId> {
        let (pack, _) = self.leaving.remove(&mid)?;
        if let Some(members) = self.members.get_mut(&pack) {
            members.remove(&mid);
        }
        Some(pack)
    }

    /// A machine is gone. The pack that it was in, to be written without it.
    pub fn remove(&mut self, mid: MachineId) -> Option<PackId> {
        if let Some(pack) = self.left(mid) {
            return Some(pack);
        }
        self.unmoved.remove(&mid);
        let pack = self.of.remove(&mid)?;
        let members = self.members.get_mut(&pack)?;
        members.remove(&mid);
        if members.len() < self.most && !self.sealed.contains(&pack) {
            self.open.insert(pack);
        }
        Some(pack)
    }

    pub fn of(&self, mid: MachineId) -> Option<PackId> {
        self.of.get(&mid).copied()
    }

    pub fn members(&self, pack: PackId) -> impl Iterator<Item = MachineId> + '_ {
        self.members.get(&pack).into_iter().flatten().copied()
    }

    pub fn len(&self) -> usize {
        self.members.values().filter(|m| !m.is_empty()).count()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_machine_is_in_one_pack_and_packs_are_filled_before_others_are_begun() {
        let mut p = Packs::default();
        assert_eq!((p.add(MachineId(1)), p.are_on()), (None, false));
        p.turn_on(8 << 10);
        let packs: Vec<u32> = (1..=9).filter_map(|m| p.add(MachineId(m))).map(|p| p.0).collect();
        assert_eq!(packs, [0, 0, 0, 0, 1, 1, 1, 1, 2]);
        assert_eq!(p.add(MachineId(3)), Some(PackId(0)), "where it is");
        assert_eq!(p.remove(MachineId(6)), Some(PackId(1)));
        assert_eq!(p.remove(MachineId(6)), None);
        assert_eq!(p.add(MachineId(10)), Some(PackId(1)), "the first with room");
        assert_eq!(p.members(PackId(1)).map(|m| m.0).collect::<Vec<_>>(), [5, 7, 8, 10]);
        assert_eq!((p.share(MachineId(10), 8192), p.share(MachineId(99), 8192)), (2048, 8192));
    }

    #[test]
    fn what_an_earlier_leader_had_stays_and_what_can_t_be_read_is_never_written() {
        let mut p = Packs::default();
        p.begin(PackId(0), false);
        p.begin(PackId(4), false);
        p.begin(PackId(2), true);
        p.inherit(MachineId(1), PackId(2));
        p.inherit(MachineId(1), PackId(3));
        assert_eq!(p.of(MachineId(1)), Some(PackId(2)), "in one only");
        p.turn_on(16 << 10);
        // Where earlier leaders left room is not looked for: an older limit may have made it.
        assert_eq!(p.add(MachineId(2)), Some(PackId(5)));
        assert_eq!(
            (p.remove(MachineId(1)), p.add(MachineId(3))),
            (Some(PackId(2)), Some(PackId(2)))
        );
        for (limit, on) in [(1536, false), (4095, false), (4096, true)] {
            let mut p = Packs::default();
            p.turn_on(limit);
            assert_eq!(p.are_on(), on, "{limit}");
        }
    }
}
