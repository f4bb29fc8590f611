//! Rolling out with a change of the stored state.
//!
//! Decisions alone: no socket, no clock. Every controller records what it can; the leader moves an ability from
//! stage to stage once all members have recorded it, in a transaction on its own key and on what it counted; a
//! release that doesn't know an ability whose stage matters does not lead, and one that knows nothing of stages
//! can't even read the term. The records decide; what controllers tell each other in frames is never counted.
//! docs/rollout.md has the alternatives, docs/safety.md what rests on it.

pub mod abilities;
pub mod stages;
pub mod transition;

pub use abilities::AbilitiesRecord;
pub use stages::{Stage, StageEntry, StagesRecord};
pub use transition::{AbilityOverrides, HoldReason, Transition, next_transition};

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
        let none = StagesRecord { born_with_stages: born, ..StagesRecord::default() };
        stage.map_or(none.clone(), |s| none.with_stage(PACKS, s, 3, vec![]))
    }

    #[test]
    fn each_stage_has_one_next_step() {
        let members: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
        let all = ["a", "b", "c"];
        let cans = |who: &[&str]| -> BTreeMap<String, AbilitiesRecord> {
            who.iter().map(|m| (m.to_string(), AbilitiesRecord::for_release(3))).collect()
        };
        let off = AbilityOverrides { disabled: set(&[PACKS]), ..AbilityOverrides::default() };
        let on = AbilityOverrides { enabled: set(&[PACKS]), ..AbilityOverrides::default() };
        let gone =
            AbilityOverrides { excluded_members: set(&["c"]), ..AbilityOverrides::default() };
        let lone = AbilityOverrides { excluded_members: set(&all), ..AbilityOverrides::default() };
        let plain = AbilityOverrides::default();
        let to = |stage, who: &[&str]| {
            Transition::Move(stage, who.iter().map(ToString::to_string).collect())
        };
        let waits = |who: &[&str]| {
            Transition::Hold(HoldReason::MissingMembers(
                who.iter().map(ToString::to_string).collect(),
            ))
        };
        use Stage::*;
        let rows = [
            (at(None, true), &plain, &all[..], false, to(Written, &all)),
            (at(None, true), &plain, &all[..2], false, waits(&["c"])),
            (at(None, true), &gone, &all[..2], false, to(Written, &all[..2])),
            (at(None, true), &lone, &all[..], false, waits(&[])),
            (
                at(None, false),
                &plain,
                &all[..],
                false,
                Transition::Hold(HoldReason::LegacyInstallation),
            ),
            (at(None, false), &on, &all[..], false, to(Written, &all)),
            (at(None, false), &on, &all[..1], false, waits(&["b", "c"])),
            (at(None, true), &off, &all[..], false, Transition::Hold(HoldReason::Disabled)),
            (
                at(Some(Written), true),
                &plain,
                &[][..],
                true,
                Transition::Hold(HoldReason::Complete),
            ),
            (at(Some(Written), true), &off, &[][..], true, to(Read, &[])),
            (
                at(Some(Read), true),
                &off,
                &[][..],
                true,
                Transition::Hold(HoldReason::RemainingRecords),
            ),
            (at(Some(Read), true), &off, &[][..], false, to(Known, &[])),
            // Wanted again before it was over.
            (at(Some(Read), false), &plain, &all[..], true, to(Written, &all)),
            (at(Some(Read), false), &plain, &all[..1], true, waits(&["b", "c"])),
        ];
        for (i, (stages, wish, who, left, expected)) in rows.into_iter().enumerate() {
            assert_eq!(
                next_transition(PACKS, &stages, &members, &cans(who), wish, left),
                expected,
                "row {i}"
            );
        }
    }

    #[test]
    fn what_is_not_known_keeps_a_release_from_leading_only_where_it_matters() {
        let other = |stage| {
            let mut s = at(None, true);
            s.stages
                .insert("shards".into(), StageEntry { stage, term: 1, counted_members: vec![] });
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
            assert_eq!(
                (stages.unsupported_ability(), stages.requires_fence()),
                (unknown, fences),
                "{stages:?}"
            );
        }
    }
}
