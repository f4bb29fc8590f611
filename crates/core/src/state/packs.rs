//! Packs: records (`p/N`) that hold the assignments of several machines, so that one change at the state service
//! records what changed on all of them. This module keeps which machine is in which pack; the content of a pack is
//! rendered from the present state of its machines (`record_rendering`).
//!
//! A machine belongs to at most one pack at a time; without one it has a record of its own (`m/NAME`). Its pack is
//! chosen again whenever its record is dirty (`plan_moves`), so that what changes together is written together. The
//! list of its assignments in its previous pack remains stored as a **shadow**: what may be on a machine is the union
//! of all its stored lists, like each of them a superset of what is on it. A pack that is written again goes on
//! listing a shadow until the list that replaces it is saved.

use crate::state::names::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Machines are packed only where a value has at least this much space for each of two.
const MIN_BYTES_PER_MACHINE: usize = 2048;
/// Maximum number of machines in a pack.
pub const MAX_PACK_MACHINES: usize = 16;
/// Maximum number of unchanged lists that may be rewritten with a pack that others join.
const MAX_UNCHANGED_LISTS: usize = 4;
/// Bytes that a pack takes besides the lists of its machines.
pub const PACK_OVERHEAD_BYTES: usize = 16;

/// A pack, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PackId(pub u32);

/// Removes a machine from a pack's set, and the set once it is empty. Returns whether the machine was in it.
fn remove_from_set(
    sets: &mut BTreeMap<PackId, BTreeSet<MachineId>>,
    pack: PackId,
    machine_id: MachineId,
) -> bool {
    let Some(set) = sets.get_mut(&pack) else { return false };
    let removed = set.remove(&machine_id);
    if set.is_empty() {
        sets.remove(&pack);
    }
    removed
}

/// Which machine is in which pack, and which packs may still list a machine that has left them.
#[derive(Debug, Default)]
pub struct Packs {
    enabled: bool,
    pack_by_machine: BTreeMap<MachineId, PackId>,
    members: BTreeMap<PackId, BTreeSet<MachineId>>,
    /// Packs that may list a machine which has left them, and the version of its list that makes the shadow
    /// superfluous.
    shadows: BTreeMap<MachineId, BTreeMap<PackId, u64>>,
    /// Machines that a pack goes on listing after they left it, since their new lists are not saved yet.
    shadowed: BTreeMap<PackId, BTreeSet<MachineId>>,
    /// Machines that a pack lists as stored, but not when it is written again.
    stale: BTreeMap<PackId, BTreeSet<MachineId>>,
    next_pack: u32,
    /// Packs that can't be read or used, which are never written.
    write_protected: BTreeSet<PackId>,
    /// Machines whose own records have yet to be replaced by a pack.
    unmoved: BTreeSet<MachineId>,
}

/// A machine whose record is dirty.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirtyMachine {
    /// The machine.
    pub machine_id: MachineId,
    /// Upper bound on the length of its list.
    pub bytes: usize,
}

impl Packs {
    /// Starts packing machines, if a value has space for two.
    pub fn enable(&mut self, value_limit: usize) {
        self.enabled = value_limit >= 2 * MIN_BYTES_PER_MACHINE;
    }

    /// Stops packing machines. Those in packs stay there until `leave_pack`.
    pub fn disable(&mut self) {
        self.enabled = false;
    }

    /// Returns whether machines are packed.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Registers a stored pack. One that is not usable is never written.
    pub fn register(&mut self, pack: PackId, usable: bool) {
        self.next_pack = self.next_pack.max(pack.0.saturating_add(1));
        if usable {
            self.members.entry(pack).or_default();
        } else {
            self.write_protected.insert(pack);
        }
    }

    /// Restores a machine that an earlier leader listed in a pack. If several packs list it, it belongs to the first,
    /// and the others go on listing it until version `ver` of its list, the union of all of them, is saved.
    pub fn restore(&mut self, machine_id: MachineId, pack: PackId, ver: u64) {
        match self.pack_by_machine.get(&machine_id) {
            None => self.add_member(machine_id, pack),
            Some(current) if *current == pack => {}
            Some(_) => self.add_shadow(machine_id, pack, ver),
        }
    }

    /// Marks a machine as having a record of its own, to be replaced by a pack.
    pub fn mark_unmoved(&mut self, machine_id: MachineId) {
        self.unmoved.insert(machine_id);
    }

    /// Removes and returns the next machine whose own record is to be replaced by a pack.
    pub fn pop_unmoved(&mut self) -> Option<MachineId> {
        self.unmoved.pop_first()
    }

    fn add_member(&mut self, machine_id: MachineId, pack: PackId) {
        self.remove_shadow(machine_id, pack);
        self.members.entry(pack).or_default().insert(machine_id);
        self.pack_by_machine.insert(machine_id, pack);
    }

    fn add_shadow(&mut self, machine_id: MachineId, pack: PackId, ver: u64) {
        self.shadows.entry(machine_id).or_default().insert(pack, ver);
        self.shadowed.entry(pack).or_default().insert(machine_id);
    }

    fn remove_shadow(&mut self, machine_id: MachineId, pack: PackId) {
        remove_from_set(&mut self.shadowed, pack, machine_id);
        remove_from_set(&mut self.stale, pack, machine_id);
        if let Some(packs) = self.shadows.get_mut(&machine_id) {
            packs.remove(&pack);
            if packs.is_empty() {
                self.shadows.remove(&machine_id);
            }
        }
    }

    /// Takes note that version `ver` of a machine's list was saved in its present place: other packs need not list
    /// the machine any more.
    pub fn mark_list_saved(&mut self, machine_id: MachineId, ver: u64) {
        for (pack, _) in
            self.shadows.get(&machine_id).into_iter().flatten().filter(|(_, v)| **v <= ver)
        {
            if remove_from_set(&mut self.shadowed, *pack, machine_id) {
                self.stale.entry(*pack).or_default().insert(machine_id);
            }
        }
    }

    /// Plans which of the dirty machines move to which pack, so that few values are written. Packs are filled of which
    /// few unchanged lists would be rewritten; among those the ones with the most, so that packs stay few.
    /// `list_bytes` returns the length of the list of any machine.
    pub fn plan_moves(
        &self,
        dirty: &[DirtyMachine],
        value_limit: usize,
        list_bytes: impl Fn(MachineId) -> usize,
    ) -> Vec<(MachineId, PackId)> {
        let limit = value_limit.saturating_sub(PACK_OVERHEAD_BYTES);
        let dirty_ids: BTreeSet<MachineId> = dirty.iter().map(|d| d.machine_id).collect();
        // How many unchanged lists would be rewritten, by pack: clean members, and shadows that have to stay.
        let mut targets: Vec<(usize, PackId)> = self
            .members
            .keys()
            .filter(|p| !self.write_protected.contains(p))
            .map(|p| (self.listed_machines(*p).filter(|m| !dirty_ids.contains(m)).count(), *p))
            .filter(|(unchanged, _)| *unchanged <= MAX_UNCHANGED_LISTS)
            .collect();
        targets.sort_unstable();
        let too_many_packs = self.members.len() * 3 > self.pack_by_machine.len().max(24);
        let mut placed: BTreeSet<MachineId> = BTreeSet::new();
        let mut next_pack = self.next_pack;
        let mut moves = vec![];
        let mut first_unplaced = 0;
        while first_unplaced < dirty.len() {
            let remaining = dirty.len() - placed.len();
            let max_unchanged = if too_many_packs {
                MAX_UNCHANGED_LISTS
            } else {
                (MAX_PACK_MACHINES - remaining.min(MAX_PACK_MACHINES)).min(MAX_UNCHANGED_LISTS)
            };
            let candidates = targets.partition_point(|(unchanged, _)| *unchanged <= max_unchanged);
            let (pack, present) = match candidates.checked_sub(1) {
                Some(i) => {
                    let (_, pack) = targets.remove(i);
                    (pack, self.listed_machines(pack).collect::<Vec<_>>())
                }
                None => {
                    next_pack += 1;
                    (PackId(next_pack - 1), vec![])
                }
            };
            let mut count = present.len();
            let mut bytes: usize = present.iter().map(|m| list_bytes(*m)).sum();
            if count > MAX_PACK_MACHINES || bytes > limit {
                continue;
            }
            placed.extend(
                present.iter().filter(|m| dirty_ids.contains(m) && self.pack_of(**m) == Some(pack)),
            );
            for d in dirty[first_unplaced..].iter() {
                if placed.contains(&d.machine_id) {
                    continue;
                }
                if count > 0 && (count >= MAX_PACK_MACHINES || bytes + d.bytes > limit) {
                    break;
                }
                (count, bytes) = (count + 1, bytes + d.bytes);
                placed.insert(d.machine_id);
                moves.push((d.machine_id, pack));
            }
            while dirty.get(first_unplaced).is_some_and(|d| placed.contains(&d.machine_id)) {
                first_unplaced += 1;
            }
        }
        moves
    }

    /// Moves a machine to another pack, from version `ver` of its list on. Its previous pack goes on listing it until
    /// that version is saved.
    pub fn move_to(&mut self, machine_id: MachineId, pack: PackId, ver: u64) {
        self.leave_pack(machine_id, ver);
        self.next_pack = self.next_pack.max(pack.0.saturating_add(1));
        self.add_member(machine_id, pack);
    }

    /// Gives a machine a record of its own again, from version `ver` on. Its pack goes on listing it until that version
    /// is saved.
    pub fn leave_pack(&mut self, machine_id: MachineId, ver: u64) {
        self.unmoved.remove(&machine_id);
        for (pack, superseded_by) in self.shadows.get_mut(&machine_id).into_iter().flatten() {
            // The list that was to replace these shadows may never have been written.
            if self.shadowed.get(pack).is_some_and(|set| set.contains(&machine_id)) {
                *superseded_by = ver;
            }
        }
        if let Some(pack) = self.pack_by_machine.remove(&machine_id) {
            if let Some(members) = self.members.get_mut(&pack) {
                members.remove(&machine_id);
            }
            self.add_shadow(machine_id, pack, ver);
        }
    }

    /// Returns the packs that still list a machine whose own record is saved, to be written without it.
    pub fn stale_packs(&self, machine_id: MachineId) -> Vec<PackId> {
        if self.pack_by_machine.contains_key(&machine_id) {
            return vec![];
        }
        let stale =
            |pack: &&PackId| self.stale.get(pack).is_some_and(|set| set.contains(&machine_id));
        self.shadows
            .get(&machine_id)
            .into_iter()
            .flatten()
            .map(|(p, _)| p)
            .filter(stale)
            .copied()
            .collect()
    }

    /// Takes note that a pack was written: it does not list any more what was saved elsewhere by then.
    pub fn pack_rewritten(&mut self, pack: PackId) {
        for machine_id in self.stale.remove(&pack).unwrap_or_default() {
            self.remove_shadow(machine_id, pack);
        }
        let empty = self.members.get(&pack).is_some_and(BTreeSet::is_empty);
        if empty && !self.shadowed.contains_key(&pack) {
            self.members.remove(&pack);
        }
    }

    /// Removes a machine that is gone. Returns the packs that list it, to be written without it.
    pub fn remove(&mut self, machine_id: MachineId) -> Vec<PackId> {
        self.unmoved.remove(&machine_id);
        let mut packs: Vec<PackId> =
            self.shadows.get(&machine_id).into_iter().flatten().map(|(pack, _)| *pack).collect();
        packs.iter().for_each(|pack| self.remove_shadow(machine_id, *pack));
        if let Some(pack) = self.pack_by_machine.remove(&machine_id) {
            if let Some(members) = self.members.get_mut(&pack) {
                members.remove(&machine_id);
            }
            packs.push(pack);
        }
        packs.retain(|pack| !self.write_protected.contains(pack));
        packs
    }

    /// Returns the pack of a machine; `None` if it has a record of its own.
    pub fn pack_of(&self, machine_id: MachineId) -> Option<PackId> {
        self.pack_by_machine.get(&machine_id).copied()
    }

    /// Returns the machines that a pack lists when it is written: its members, and those that have left it and whose
    /// lists are not saved elsewhere yet.
    pub fn listed_machines(&self, pack: PackId) -> impl Iterator<Item = MachineId> + '_ {
        let members = self.members.get(&pack).into_iter().flatten();
        members.chain(self.shadowed.get(&pack).into_iter().flatten()).copied()
    }

    /// Returns the machines that are in packs.
    pub fn packed_machines(&self) -> Vec<MachineId> {
        self.pack_by_machine.keys().copied().collect()
    }

    /// Returns the number of packs that are stored or will be.
    pub fn len(&self) -> usize {
        let listed = |p: &PackId| self.shadowed.contains_key(p) || self.stale.contains_key(p);
        self.members.iter().filter(|(p, m)| !m.is_empty() || listed(p)).count()
    }

    /// Returns whether no pack is stored or will be.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMIT: usize = 4096;

    fn dirty(machines: &[usize]) -> Vec<DirtyMachine> {
        machines
            .iter()
            .map(|m| DirtyMachine { machine_id: MachineId(*m as u32), bytes: 200 })
            .collect()
    }

    /// Plans moves and carries them out; returns the pack of each machine.
    fn move_dirty(packs: &mut Packs, machines: &[usize]) -> Vec<u32> {
        let dirty = dirty(machines);
        for (machine_id, pack) in packs.plan_moves(&dirty, LIMIT, |_| 200) {
            packs.move_to(machine_id, pack, 9);
        }
        dirty.iter().map(|d| packs.pack_of(d.machine_id).expect("packed").0).collect()
    }

    /// Marks all new lists as saved, and every pack as written since.
    fn save_all(packs: &mut Packs) {
        (0..100).for_each(|m| packs.mark_list_saved(MachineId(m), u64::MAX));
        (0..packs.next_pack).for_each(|n| packs.pack_rewritten(PackId(n)));
    }

    #[test]
    fn machines_that_change_together_share_a_pack() {
        let mut packs = Packs::default();
        packs.enable(LIMIT);
        assert_eq!(move_dirty(&mut packs, &[1, 2, 3]), [0, 0, 0]);
        assert_eq!(
            move_dirty(&mut packs, &[4, 5]),
            [0, 0],
            "a pack is filled before another is begun"
        );
        assert_eq!(
            move_dirty(&mut packs, &[6, 7, 8, 9]),
            [1, 1, 1, 1],
            "five unchanged lists would be rewritten"
        );
        // Machines of two packs go to one value, once the lists that left those packs are saved.
        save_all(&mut packs);
        let mut used = move_dirty(&mut packs, &[1, 2, 6, 7]);
        used.dedup();
        assert_eq!(used.len(), 1);
        save_all(&mut packs);
        let many: Vec<usize> = (20..44).collect();
        let mut used = move_dirty(&mut packs, &many);
        used.dedup();
        assert_eq!(used.len(), 2, "sixteen machines in a pack");
    }

    #[test]
    fn a_pack_lists_a_machine_that_left_until_its_new_list_is_saved() {
        let mut packs = Packs::default();
        packs.enable(LIMIT);
        move_dirty(&mut packs, &[1, 2, 3]);
        packs.move_to(MachineId(1), PackId(7), 20);
        let lists = |packs: &Packs, pack| -> Vec<u32> {
            let mut l: Vec<u32> = packs.listed_machines(PackId(pack)).map(|m| m.0).collect();
            l.sort_unstable();
            l
        };
        assert_eq!((lists(&packs, 0), lists(&packs, 7)), (vec![1, 2, 3], vec![1]));
        // Moved again before it was saved anywhere: the first pack lists it until the last one is saved.
        packs.move_to(MachineId(1), PackId(8), 30);
        packs.mark_list_saved(MachineId(1), 29);
        assert_eq!(lists(&packs, 0), [1, 2, 3]);
        packs.mark_list_saved(MachineId(1), 30);
        assert_eq!(lists(&packs, 0), [2, 3]);
        // Until a pack is written again its stored value lists the machine; if that is gone by then, the pack has
        // to be written.
        let mut gone = packs.remove(MachineId(1));
        gone.sort_unstable();
        assert_eq!(gone, [PackId(0), PackId(7), PackId(8)]);
        packs.move_to(MachineId(3), PackId(8), 35);
        packs.mark_list_saved(MachineId(3), 35);
        packs.pack_rewritten(PackId(0));
        assert_eq!(
            packs.remove(MachineId(3)),
            [PackId(8)],
            "not the pack that does not list it any more"
        );
        // Back in its earlier pack, it is listed as a member.
        packs.move_to(MachineId(2), PackId(8), 40);
        packs.move_to(MachineId(2), PackId(0), 41);
        assert_eq!((lists(&packs, 0), lists(&packs, 8)), (vec![2], vec![2]));
        packs.mark_list_saved(MachineId(2), 41);
        assert_eq!((lists(&packs, 0), lists(&packs, 8)), (vec![2], vec![]));
    }

    #[test]
    fn packs_of_an_earlier_leader_are_kept_and_unusable_ones_never_written() {
        let mut packs = Packs::default();
        packs.register(PackId(0), false);
        packs.register(PackId(4), false);
        packs.register(PackId(2), true);
        packs.register(PackId(3), true);
        packs.restore(MachineId(1), PackId(2), 5);
        packs.restore(MachineId(1), PackId(3), 5);
        assert_eq!(
            packs.pack_of(MachineId(1)),
            Some(PackId(2)),
            "member of one, and listed by the other until that is written"
        );
        assert_eq!(packs.listed_machines(PackId(3)).collect::<Vec<_>>(), [MachineId(1)]);
        packs.enable(16 << 10);
        assert!(
            [2, 3].contains(&move_dirty(&mut packs, &[2])[0]),
            "never in a write-protected pack"
        );
        for (limit, enabled) in [(1536, false), (4095, false), (4096, true)] {
            let mut packs = Packs::default();
            packs.enable(limit);
            assert_eq!(packs.is_enabled(), enabled, "{limit}");
        }
    }

    #[test]
    fn long_lists_are_alone_and_no_pack_is_planned_beyond_the_value_limit() {
        let mut packs = Packs::default();
        packs.enable(LIMIT);
        let sizes = [3000, 500, 700, 4090, 100, 9000];
        let dirty: Vec<DirtyMachine> = sizes
            .iter()
            .enumerate()
            .map(|(m, bytes)| DirtyMachine { machine_id: MachineId(m as u32), bytes: *bytes })
            .collect();
        for _ in 0..3 {
            for (machine_id, pack) in packs.plan_moves(&dirty, LIMIT, |m| sizes[m.0 as usize]) {
                packs.move_to(machine_id, pack, 9);
            }
        }
        for pack in 0..packs.next_pack {
            let packed: Vec<usize> = packs
                .members
                .get(&PackId(pack))
                .into_iter()
                .flatten()
                .map(|m| sizes[m.0 as usize])
                .collect();
            assert!(
                packed.len() <= 1 || packed.iter().sum::<usize>() <= LIMIT - PACK_OVERHEAD_BYTES,
                "{packed:?}"
            );
        }
    }
}
