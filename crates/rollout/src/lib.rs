//! Rolling out with a change of the stored state.
//!
//! Decisions alone: no socket, no clock. Every controller records what it can; the leader moves an ability from
//! stage to stage once all members have recorded it, in a transaction on its own key and on what it counted; a
//! release that doesn't know an ability whose stage matters does not lead, and one that knows nothing of stages
//! can't even read the term. The records decide; what controllers tell each other in frames is never counted.
//! docs/rollout.md has the alternatives, docs/safety.md what rests on it.

pub mod can;
pub mod next;
pub mod stages;

pub use can::CanRecord;
pub use next::{Holds, Next, Wish, next};
pub use stages::{Row, Stage, StagesRecord};

/// The lists of several machines in one record (`p/N`).
pub const PACKS: &str = "packs";

/// What this release can.
pub const ABILITIES: [&str; 1] = [PACKS];

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BTreeMap, BTreeSet};

    fn set(names: &[&str]) -> BTreeSet<String> {
        names.iter().map(ToString::to_string).collect()
    }

    fn at(stage: Option<Stage>, born: bool) -> StagesRecord {
        let none = StagesRecord { born, ..StagesRecord::default() };
        stage.map_or(none.clone(), |s| none.with(PACKS, s, 3, vec![]))
    }

    #[test]
    fn each_stage_has_one_next_step() {
        let members: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
        let all = ["a", "b", "c"];
        let cans = |who: &[&str]| -> BTreeMap<String, CanRecord> {
            who.iter().map(|m| (m.to_string(), CanRecord::own(3))).collect()
        };
        let off = Wish { off: set(&[PACKS]), ..Wish::default() };
        let on = Wish { on: set(&[PACKS]), ..Wish::default() };
        let gone = Wish { left_out: set(&["c"]), ..Wish::default() };
        let lone = Wish { left_out: set(&all), ..Wish::default() };
        let plain = Wish::default();
        let to =
            |stage, who: &[&str]| Next::Move(stage, who.iter().map(ToString::to_string).collect());
        let waits = |who: &[&str]| {
            Next::Hold(Holds::Members(who.iter().map(ToString::to_string).collect()))
        };
        use Stage::*;
        let rows = [
            (at(None, true), &plain, &all[..], false, to(Written, &all)),
            (at(None, true), &plain, &all[..2], false, waits(&["c"])),
            (at(None, true), &gone, &all[..2], false, to(Written, &all[..2])),
            (at(None, true), &lone, &all[..], false, waits(&[])),
            (at(None, false), &plain, &all[..], false, Next::Hold(Holds::Upgraded)),
            (at(None, false), &on, &all[..], false, to(Written, &all)),
            (at(None, false), &on, &all[..1], false, waits(&["b", "c"])),
            (at(None, true), &off, &all[..], false, Next::Hold(Holds::Off)),
            (at(Some(Written), true), &plain, &[][..], true, Next::Hold(Holds::Done)),
            (at(Some(Written), true), &off, &[][..], true, to(Read, &[])),
            (at(Some(Read), true), &off, &[][..], true, Next::Hold(Holds::Records)),
            (at(Some(Read), true), &off, &[][..], false, to(Known, &[])),
            // Wanted again before it was over.
            (at(Some(Read), false), &plain, &all[..], true, to(Written, &all)),
            (at(Some(Read), false), &plain, &all[..1], true, waits(&["b", "c"])),
        ];
        for (i, (stages, wish, who, left, expected)) in rows.into_iter().enumerate() {
            assert_eq!(next(PACKS, &stages, &members, &cans(who), wish, left), expected, "row {i}");
        }
    }

    #[test]
    fn what_is_not_known_keeps_a_release_from_leading_only_where_it_matters() {
        let other = |stage| {
            let mut s = at(None, true);
            s.stages.insert("shards".into(), Row { stage, term: 1, counted: vec![] });
            s
        };
        for (stages, unknown, fences) in [
            (at(None, true), None, false),
            (at(Some(Stage::Known), true), None, false),
            (at(Some(Stage::Read), true), None, true),
            (at(Some(Stage::Written), true), None, true),
            (other(0), None, false),
            (other(1), Some("shards"), true),
            (other(2), Some("shards"), true),
            (other(9), Some("shards"), true),
        ] {
            assert_eq!((stages.unknown(), stages.fences()), (unknown, fences), "{stages:?}");
        }
    }
}
