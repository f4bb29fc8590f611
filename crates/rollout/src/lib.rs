//! Rollout of releases that change the format of the stored state.
//!
//! This crate holds decisions only; it opens no sockets and reads no clock. Every controller records its
//! abilities. The leader moves an ability to its next stage once all members have recorded it, in a
//! transaction that is conditional on the leader's own key and on the records it relied on. A release that
//! doesn't know an ability in use doesn't lead, and a release without stages can't even read the term. Only
//! records count, never what controllers report to each other in frames. docs/rollout.md describes the
//! alternatives, docs/safety.md what depends on this.

#![warn(missing_docs)]

pub mod abilities;
pub mod stages;
pub mod transition;

pub use abilities::AbilitiesRecord;
pub use stages::{Stage, StageEntry, StagesRecord};
pub use transition::{AbilityOverrides, HoldReason, Transition, next_transition};

/// Name of the ability to store the task lists of several machines in one record (`p/N`).
pub const PACKS: &str = "packs";

/// Abilities of this release.
pub const ABILITIES: [&str; 1] = [PACKS];

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BTreeMap, BTreeSet};

    fn set(names: &[&str]) -> BTreeSet<String> {
        names.iter().map(ToString::to_string).collect()
    }

    fn record(stage: Option<Stage>, born_with_stages: bool) -> StagesRecord {
        let empty = StagesRecord { born_with_stages, ..StagesRecord::default() };
        stage.map_or(empty.clone(), |s| empty.with_stage(PACKS, s, 3, vec![]))
    }

    #[test]
    fn each_stage_has_one_next_transition() {
        let members: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
        let all = ["a", "b", "c"];
        let recorded_by = |names: &[&str]| -> BTreeMap<String, AbilitiesRecord> {
            names.iter().map(|m| (m.to_string(), AbilitiesRecord::for_release(3))).collect()
        };
        let disabled = AbilityOverrides { disabled: set(&[PACKS]), ..AbilityOverrides::default() };
        let enabled = AbilityOverrides { enabled: set(&[PACKS]), ..AbilityOverrides::default() };
        let one_excluded =
            AbilityOverrides { excluded_members: set(&["c"]), ..AbilityOverrides::default() };
        let all_excluded =
            AbilityOverrides { excluded_members: set(&all), ..AbilityOverrides::default() };
        let default = AbilityOverrides::default();
        let move_to = |stage, names: &[&str]| {
            Transition::Move(stage, names.iter().map(ToString::to_string).collect())
        };
        let missing = |names: &[&str]| {
            Transition::Hold(HoldReason::MissingMembers(
                names.iter().map(ToString::to_string).collect(),
            ))
        };
        use Stage::*;
        let cases = [
            (record(None, true), &default, &all[..], false, move_to(Written, &all)),
            (record(None, true), &default, &all[..2], false, missing(&["c"])),
            (record(None, true), &one_excluded, &all[..2], false, move_to(Written, &all[..2])),
            (record(None, true), &all_excluded, &all[..], false, missing(&[])),
            (
                record(None, false),
                &default,
                &all[..],
                false,
                Transition::Hold(HoldReason::LegacyInstallation),
            ),
            (record(None, false), &enabled, &all[..], false, move_to(Written, &all)),
            (record(None, false), &enabled, &all[..1], false, missing(&["b", "c"])),
            (
                record(None, true),
                &disabled,
                &all[..],
                false,
                Transition::Hold(HoldReason::Disabled),
            ),
            (
                record(Some(Written), true),
                &default,
                &[][..],
                true,
                Transition::Hold(HoldReason::Complete),
            ),
            (record(Some(Written), true), &disabled, &[][..], true, move_to(Read, &[])),
            (
                record(Some(Read), true),
                &disabled,
                &[][..],
                true,
                Transition::Hold(HoldReason::RemainingRecords),
            ),
            (record(Some(Read), true), &disabled, &[][..], false, move_to(Known, &[])),
            // Enabled again before the withdrawal was complete.
            (record(Some(Read), false), &default, &all[..], true, move_to(Written, &all)),
            (record(Some(Read), false), &default, &all[..1], true, missing(&["b", "c"])),
        ];
        for (i, (stages, overrides, names, records_remain, expected)) in
            cases.into_iter().enumerate()
        {
            assert_eq!(
                next_transition(
                    PACKS,
                    &stages,
                    &members,
                    &recorded_by(names),
                    overrides,
                    records_remain
                ),
                expected,
                "case {i}"
            );
        }
    }

    #[test]
    fn only_abilities_in_use_keep_a_release_from_leading() {
        let unknown_ability = |stage| {
            let mut stages = record(None, true);
            stages
                .stages
                .insert("shards".into(), StageEntry { stage, term: 1, counted_members: vec![] });
            stages
        };
        for (stages, unsupported, requires_fence) in [
            (record(None, true), None, false),
            (record(Some(Stage::Known), true), None, false),
            (record(Some(Stage::Read), true), None, true),
            (record(Some(Stage::Written), true), None, true),
            (unknown_ability(0), None, false),
            (unknown_ability(1), Some("shards"), true),
            (unknown_ability(2), Some("shards"), true),
            (unknown_ability(9), Some("shards"), true),
        ] {
            assert_eq!(
                (stages.unsupported_ability(), stages.requires_fence()),
                (unsupported, requires_fence),
                "{stages:?}"
            );
        }
    }
}
