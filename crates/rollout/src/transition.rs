//! Next stage of an ability, or the reason why it stays at its stage.

use crate::abilities::AbilitiesRecord;
use crate::stages::{Stage, StagesRecord};
use std::collections::{BTreeMap, BTreeSet};

/// Overrides of abilities from the operators' settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AbilityOverrides {
    /// Abilities to enable although the installation began with an older release. The operator asserts that
    /// no process of that release will start again.
    pub enabled: BTreeSet<String>,
    /// Abilities to withdraw or never enable.
    pub disabled: BTreeSet<String>,
    /// Members that are permanently gone and not required to have the ability.
    pub excluded_members: BTreeSet<String>,
}

/// Reason why an ability stays at its stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldReason {
    /// Operators disabled the ability.
    Disabled,
    /// The ability has reached its last stage.
    Complete,
    /// The installation began with a release that knows no stages. Operators must confirm that no process of
    /// such a release will start again.
    LegacyInstallation,
    /// These members have not recorded the ability. The list is empty if all members are excluded.
    MissingMembers(Vec<String>),
    /// There are still records in the new format.
    RemainingRecords,
}

/// Next step for an ability.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// Move to this stage, on condition that the records of these members are unchanged.
    Move(Stage, Vec<String>),
    /// Stay at the current stage for this reason.
    Hold(HoldReason),
}

/// Decides the next step for an ability. `abilities` holds the members' records by member name, and
/// `records_remain` tells whether there are records in the new format; the leader must read both after
/// `stages`.
pub fn next_transition(
    ability: &str,
    stages: &StagesRecord,
    members: &[String],
    abilities: &BTreeMap<String, AbilitiesRecord>,
    overrides: &AbilityOverrides,
    records_remain: bool,
) -> Transition {
    let stage = stages.stage(ability);
    let disabled = overrides.disabled.contains(ability);
    match (stage, disabled) {
        // Withdrawal: first no controller writes the new format; once no such record remains, the ability is
        // back at its initial stage.
        (Stage::Written, true) => return Transition::Move(Stage::Read, vec![]),
        (Stage::Read, true) if records_remain => {
            return Transition::Hold(HoldReason::RemainingRecords);
        }
        (Stage::Read, true) => return Transition::Move(Stage::Known, vec![]),
        (Stage::Known, true) => return Transition::Hold(HoldReason::Disabled),
        (Stage::Written, false) => return Transition::Hold(HoldReason::Complete),
        (Stage::Known | Stage::Read, false) => {}
    }
    if !stages.born_with_stages && !overrides.enabled.contains(ability) && stage == Stage::Known {
        return Transition::Hold(HoldReason::LegacyInstallation);
    }
    let counted_members: Vec<&String> =
        members.iter().filter(|m| !overrides.excluded_members.contains(*m)).collect();
    let has_ability =
        |m: &&&String| abilities.get(**m).is_some_and(|record| record.abilities.contains(ability));
    let missing: Vec<String> =
        counted_members.iter().filter(|m| !has_ability(m)).map(ToString::to_string).collect();
    if !missing.is_empty() || counted_members.is_empty() {
        return Transition::Hold(HoldReason::MissingMembers(missing));
    }
    Transition::Move(Stage::Written, counted_members.into_iter().cloned().collect())
}
