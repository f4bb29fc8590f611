//! Packs: the lists of several machines in one record (`p/N`), so that one change of the state service records what
//! changed on all of them. Which machine is in which pack, nothing else; what a pack says is rendered from the
//! machines as they are (`book`).
//!
//! A machine's list belongs to one pack at a time, or to none: then it has a record of its own (`m/NAME`). Which one is
//! chosen anew whenever it has something to record (`plan`), so that what changes together is written together. Where
//! it was listed before stays as it is on record, its **shadow**: what may be on a machine is what all its lists say, a
//! superset like each of them. A value that is written anew goes on listing a shadow until the list that took its
//! place is safe.

use crate::state::names::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Below so much of a value for each of two machines none are packed.
const LEAST: usize = 2048;
/// Machines to a pack at most, and how many lists that did not change may be written along.
pub const MAX_PACK_MACHINES: usize = 16;
const ALONG: usize = 4;
/// What a pack has around its lists.
pub const PACK_OVERHEAD_BYTES: usize = 16;

/// A pack, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PackId(pub u32);

/// Takes a machine out of a pack's set, and the set if it was the last. Was it in it?
fn take_out(
    sets: &mut BTreeMap<PackId, BTreeSet<MachineId>>,
    pack: PackId,
    mid: MachineId,
) -> bool {
    let Some(of) = sets.get_mut(&pack) else { return false };
    let was = of.remove(&mid);
    if of.is_empty() {
        sets.remove(&pack);
    }
    was
}

#[derive(Debug, Default)]
pub struct Packs {
    on: bool,
    of: BTreeMap<MachineId, PackId>,
    members: BTreeMap<PackId, BTreeSet<MachineId>>,
    /// Packs that may list a machine which belongs elsewhere now, and the version of its list that makes them
    /// superfluous.
    shadows: BTreeMap<MachineId, BTreeMap<PackId, u64>>,
    /// Whose lists a pack goes on listing: their new places are not safe yet.
    shadowed: BTreeMap<PackId, BTreeSet<MachineId>>,
    /// Whom a pack lists on record, and no more when it is written anew.
    stale: BTreeMap<PackId, BTreeSet<MachineId>>,
    next: u32,
    /// Packs that can't be read or used: nothing is written there.
    sealed: BTreeSet<PackId>,
    /// Machines whose own records have yet to go.
    unmoved: BTreeSet<MachineId>,
}

/// A machine that has something to record, and how long its list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirtyMachine {
    pub machine_id: MachineId,
    pub bytes: usize,
}

impl Packs {
    /// Machines are packed from here on, if a value has room for two.
    pub fn enable(&mut self, value_limit: usize) {
        self.on = value_limit >= 2 * LEAST;
    }

    pub fn disable(&mut self) {
        self.on = false;
    }

    pub fn is_enabled(&self) -> bool {
        self.on
    }

    /// A pack is on record; one that can't be used is never written.
    pub fn register(&mut self, pack: PackId, usable: bool) {
        self.next = self.next.max(pack.0.saturating_add(1));
        if usable {
            self.members.entry(pack).or_default();
        } else {
            self.sealed.insert(pack);
        }
    }

    /// As an earlier leader had it. Listed by several packs, it belongs to the first, and the others go on listing it
    /// until the version `ver` of what all of them say is safe.
    pub fn restore(&mut self, mid: MachineId, pack: PackId, ver: u64) {
        match self.of.get(&mid) {
            None => self.put(mid, pack),
            Some(of) if *of == pack => {}
            Some(_) => self.shadow(mid, pack, ver),
        }
    }

    /// This machine's list has a record of its own as well, that goes with the next write.
    pub fn mark_unmoved(&mut self, mid: MachineId) {
        self.unmoved.insert(mid);
    }

    /// The next of those machines, to be written.
    pub fn pop_unmoved(&mut self) -> Option<MachineId> {
        self.unmoved.pop_first()
    }

    fn put(&mut self, mid: MachineId, pack: PackId) {
        self.forget_shadow(mid, pack);
        self.members.entry(pack).or_default().insert(mid);
        self.of.insert(mid, pack);
    }

    fn shadow(&mut self, mid: MachineId, pack: PackId, ver: u64) {
        self.shadows.entry(mid).or_default().insert(pack, ver);
        self.shadowed.entry(pack).or_default().insert(mid);
    }

    fn forget_shadow(&mut self, mid: MachineId, pack: PackId) {
        take_out(&mut self.shadowed, pack, mid);
        take_out(&mut self.stale, pack, mid);
        if let Some(of) = self.shadows.get_mut(&mid) {
            of.remove(&pack);
            if of.is_empty() {
                self.shadows.remove(&mid);
            }
        }
    }

    /// The list of a machine is safe where it belongs, as of its version `ver`: other packs need not list it.
    pub fn mark_list_saved(&mut self, mid: MachineId, ver: u64) {
        for (pack, _) in self.shadows.get(&mid).into_iter().flatten().filter(|(_, v)| **v <= ver) {
            if take_out(&mut self.shadowed, *pack, mid) {
                self.stale.entry(*pack).or_default().insert(mid);
            }
        }
    }

    /// Which machines of those that have something to record go to which pack, so that few values are written. Filled
    /// are packs of which little else would be written along; among those the fullest, so that they stay few. `listed`
    /// tells how long the list of any machine is.
    pub fn plan_moves(
        &self,
        dirty: &[DirtyMachine],
        value_limit: usize,
        listed: impl Fn(MachineId) -> usize,
    ) -> Vec<(MachineId, PackId)> {
        let limit = value_limit.saturating_sub(PACK_OVERHEAD_BYTES);
        let all: BTreeSet<MachineId> = dirty.iter().map(|d| d.machine_id).collect();
        // What would be written along, by pack: clean lists and shadows that have to stay.
        let mut targets: Vec<(usize, PackId)> = self
            .members
            .keys()
            .filter(|p| !self.sealed.contains(p))
            .map(|p| (self.listed_machines(*p).filter(|mid| !all.contains(mid)).count(), *p))
            .filter(|(along, _)| *along <= ALONG)
            .collect();
        targets.sort_unstable();
        let crowded = self.members.len() * 3 > self.of.len().max(24);
        let mut settled: BTreeSet<MachineId> = BTreeSet::new();
        let mut next = self.next;
        let mut out = vec![];
        let mut from = 0;
        while from < dirty.len() {
            let left = dirty.len() - settled.len();
            let most = if crowded {
                ALONG
            } else {
                (MAX_PACK_MACHINES - left.min(MAX_PACK_MACHINES)).min(ALONG)
            };
            let upto = targets.partition_point(|(along, _)| *along <= most);
            let (pack, there) = match upto.checked_sub(1) {
                Some(i) => {
                    let (_, pack) = targets.remove(i);
                    (pack, self.listed_machines(pack).collect::<Vec<_>>())
                }
                None => {
                    next += 1;
                    (PackId(next - 1), vec![])
                }
            };
            let mut count = there.len();
            let mut bytes: usize = there.iter().map(|mid| listed(*mid)).sum();
            if count > MAX_PACK_MACHINES || bytes > limit {
                continue;
            }
            settled.extend(
                there.iter().filter(|m| all.contains(m) && self.pack_of(**m) == Some(pack)),
            );
            for d in dirty[from..].iter() {
                if settled.contains(&d.machine_id) {
                    continue;
                }
                if count > 0 && (count >= MAX_PACK_MACHINES || bytes + d.bytes > limit) {
                    break;
                }
                (count, bytes) = (count + 1, bytes + d.bytes);
                settled.insert(d.machine_id);
                out.push((d.machine_id, pack));
            }
            while dirty.get(from).is_some_and(|d| settled.contains(&d.machine_id)) {
                from += 1;
            }
        }
        out
    }

    /// A machine's list goes to another pack from its version `ver` on. Where it was listed it stays until that is safe.
    pub fn move_to(&mut self, mid: MachineId, pack: PackId, ver: u64) {
        self.leave_pack(mid, ver);
        self.next = self.next.max(pack.0.saturating_add(1));
        self.put(mid, pack);
    }

    /// A machine gets a record of its own again, of this version. Until that is safe its pack lists it as well.
    pub fn leave_pack(&mut self, mid: MachineId, ver: u64) {
        self.unmoved.remove(&mid);
        for (pack, v) in self.shadows.get_mut(&mid).into_iter().flatten() {
            // What was to take their place may never have been written.
            if self.shadowed.get(pack).is_some_and(|of| of.contains(&mid)) {
                *v = ver;
            }
        }
        if let Some(pack) = self.of.remove(&mid) {
            if let Some(members) = self.members.get_mut(&pack) {
                members.remove(&mid);
            }
            self.shadow(mid, pack, ver);
        }
    }

    /// Packs that still list a machine which has a safe record of its own, to be written without it.
    pub fn stale_packs(&self, mid: MachineId) -> Vec<PackId> {
        if self.of.contains_key(&mid) {
            return vec![];
        }
        let stale = |pack: &&PackId| self.stale.get(pack).is_some_and(|of| of.contains(&mid));
        self.shadows
            .get(&mid)
            .into_iter()
            .flatten()
            .map(|(p, _)| p)
            .filter(stale)
            .copied()
            .collect()
    }

    /// A pack was written: it lists no more what was safe elsewhere by then.
    pub fn pack_rewritten(&mut self, pack: PackId) {
        for mid in self.stale.remove(&pack).unwrap_or_default() {
            self.forget_shadow(mid, pack);
        }
        let empty = self.members.get(&pack).is_some_and(BTreeSet::is_empty);
        if empty && !self.shadowed.contains_key(&pack) {
            self.members.remove(&pack);
        }
    }

    /// A machine is gone. The packs that list it, to be written without it.
    pub fn remove(&mut self, mid: MachineId) -> Vec<PackId> {
        self.unmoved.remove(&mid);
        let mut packs: Vec<PackId> =
            self.shadows.get(&mid).into_iter().flatten().map(|(pack, _)| *pack).collect();
        packs.iter().for_each(|pack| self.forget_shadow(mid, *pack));
        if let Some(pack) = self.of.remove(&mid) {
            if let Some(members) = self.members.get_mut(&pack) {
                members.remove(&mid);
            }
            packs.push(pack);
        }
        packs.retain(|pack| !self.sealed.contains(pack));
        packs
    }

    pub fn pack_of(&self, mid: MachineId) -> Option<PackId> {
        self.of.get(&mid).copied()
    }

    /// Whose lists the value of a pack holds when it is written: its own machines', and those that left it and whose
    /// lists are not safe elsewhere.
    pub fn listed_machines(&self, pack: PackId) -> impl Iterator<Item = MachineId> + '_ {
        let own = self.members.get(&pack).into_iter().flatten();
        own.chain(self.shadowed.get(&pack).into_iter().flatten()).copied()
    }

    pub fn packed_machines(&self) -> Vec<MachineId> {
        self.of.keys().copied().collect()
    }

    /// Packs that are on record, or will be.
    pub fn len(&self) -> usize {
        let listed = |p: &PackId| self.shadowed.contains_key(p) || self.stale.contains_key(p);
        self.members.iter().filter(|(p, m)| !m.is_empty() || listed(p)).count()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMIT: usize = 4096;

    fn dirty(mids: &[usize]) -> Vec<DirtyMachine> {
        mids.iter().map(|m| DirtyMachine { machine_id: MachineId(*m as u32), bytes: 200 }).collect()
    }

    /// Plans and moves. Packs by machine.
    fn moved(p: &mut Packs, mids: &[usize]) -> Vec<u32> {
        let d = dirty(mids);
        for (mid, pack) in p.plan_moves(&d, LIMIT, |_| 200) {
            p.move_to(mid, pack, 9);
        }
        d.iter().map(|d| p.pack_of(d.machine_id).expect("packed").0).collect()
    }

    /// All that has moved is safe, and every pack was written since.
    fn settled(p: &mut Packs) {
        (0..100).for_each(|m| p.mark_list_saved(MachineId(m), u64::MAX));
        (0..p.next).for_each(|n| p.pack_rewritten(PackId(n)));
    }

    #[test]
    fn what_changes_together_is_written_together() {
        let mut p = Packs::default();
        p.enable(LIMIT);
        assert_eq!(moved(&mut p, &[1, 2, 3]), [0, 0, 0]);
        assert_eq!(moved(&mut p, &[4, 5]), [0, 0], "a pack is filled before another is begun");
        assert_eq!(moved(&mut p, &[6, 7, 8, 9]), [1, 1, 1, 1], "five would be written along");
        // Of two packs, once what has left them is safe: one value.
        settled(&mut p);
        let mut packs = moved(&mut p, &[1, 2, 6, 7]);
        packs.dedup();
        assert_eq!(packs.len(), 1);
        settled(&mut p);
        let many: Vec<usize> = (20..44).collect();
        let mut packs = moved(&mut p, &many);
        packs.dedup();
        assert_eq!(packs.len(), 2, "sixteen to a value");
    }

    #[test]
    fn a_pack_goes_on_listing_who_left_until_that_is_safe() {
        let mut p = Packs::default();
        p.enable(LIMIT);
        moved(&mut p, &[1, 2, 3]);
        p.move_to(MachineId(1), PackId(7), 20);
        let lists = |p: &Packs, pack| -> Vec<u32> {
            let mut l: Vec<u32> = p.listed_machines(PackId(pack)).map(|m| m.0).collect();
            l.sort_unstable();
            l
        };
        assert_eq!((lists(&p, 0), lists(&p, 7)), (vec![1, 2, 3], vec![1]));
        // Moved on before it was safe anywhere: the first place holds it until the last one does.
        p.move_to(MachineId(1), PackId(8), 30);
        p.mark_list_saved(MachineId(1), 29);
        assert_eq!(lists(&p, 0), [1, 2, 3]);
        p.mark_list_saved(MachineId(1), 30);
        assert_eq!(lists(&p, 0), [2, 3]);
        // Until it is written anew it lists it on record: a machine that is gone by then has it written.
        let mut gone = p.remove(MachineId(1));
        gone.sort_unstable();
        assert_eq!(gone, [PackId(0), PackId(7), PackId(8)]);
        p.move_to(MachineId(3), PackId(8), 35);
        p.mark_list_saved(MachineId(3), 35);
        p.pack_rewritten(PackId(0));
        assert_eq!(p.remove(MachineId(3)), [PackId(8)], "not where it is listed no more");
        // Back where it was, it is listed as its own.
        p.move_to(MachineId(2), PackId(8), 40);
        p.move_to(MachineId(2), PackId(0), 41);
        assert_eq!((lists(&p, 0), lists(&p, 8)), (vec![2], vec![2]));
        p.mark_list_saved(MachineId(2), 41);
        assert_eq!((lists(&p, 0), lists(&p, 8)), (vec![2], vec![]));
    }

    #[test]
    fn what_an_earlier_leader_had_stays_and_what_can_t_be_read_is_never_written() {
        let mut p = Packs::default();
        p.register(PackId(0), false);
        p.register(PackId(4), false);
        p.register(PackId(2), true);
        p.register(PackId(3), true);
        p.restore(MachineId(1), PackId(2), 5);
        p.restore(MachineId(1), PackId(3), 5);
        assert_eq!(
            p.pack_of(MachineId(1)),
            Some(PackId(2)),
            "in one, and listed by the other until it is written"
        );
        assert_eq!(p.listed_machines(PackId(3)).collect::<Vec<_>>(), [MachineId(1)]);
        p.enable(16 << 10);
        assert!([2, 3].contains(&moved(&mut p, &[2])[0]), "never where it is sealed");
        for (limit, on) in [(1536, false), (4095, false), (4096, true)] {
            let mut p = Packs::default();
            p.enable(limit);
            assert_eq!(p.is_enabled(), on, "{limit}");
        }
    }

    #[test]
    fn long_lists_are_alone_and_no_value_is_planned_beyond_its_limit() {
        let mut p = Packs::default();
        p.enable(LIMIT);
        let sizes = [3000, 500, 700, 4090, 100, 9000];
        let d: Vec<DirtyMachine> = sizes
            .iter()
            .enumerate()
            .map(|(m, bytes)| DirtyMachine { machine_id: MachineId(m as u32), bytes: *bytes })
            .collect();
        for _ in 0..3 {
            for (mid, pack) in p.plan_moves(&d, LIMIT, |m| sizes[m.0 as usize]) {
                p.move_to(mid, pack, 9);
            }
        }
        for pack in 0..p.next {
            let on: Vec<usize> = p
                .members
                .get(&PackId(pack))
                .into_iter()
                .flatten()
                .map(|m| sizes[m.0 as usize])
                .collect();
            assert!(
                on.len() <= 1 || on.iter().sum::<usize>() <= LIMIT - PACK_OVERHEAD_BYTES,
                "{on:?}"
            );
        }
    }
}
