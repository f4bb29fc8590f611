//! The next step of an ability, or what it waits for.

use crate::abilities::AbilitiesRecord;
use crate::stages::{Stage, StagesRecord};
use std::collections::{BTreeMap, BTreeSet};

/// What operators want, from their own settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AbilityOverrides {
    /// Abilities to be switched on although the installation began with an older release: whoever sets this
    /// knows that none of it comes back.
    pub enabled: BTreeSet<String>,
    /// Abilities that are to be taken back, or never switched on.
    pub disabled: BTreeSet<String>,
    /// Members that are gone for good, and not counted.
    pub excluded_members: BTreeSet<String>,
}

/// What an ability waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HoldReason {
    /// Operators don't want it.
    Disabled,
    /// It is as far as it goes.
    Complete,
    /// The installation began with a release that knows no stages: operators have to say that none comes back.
    LegacyInstallation,
    /// These members have not recorded that they can.
    MissingMembers(Vec<String>),
    /// Records of its form are still there.
    RemainingRecords,
}

/// The next thing to do about an ability.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// To this stage; counted are these members, whose records the move is conditional on.
    Move(Stage, Vec<String>),
    Hold(HoldReason),
}

/// `cans`: what the members have recorded; `left`: are there records of its form? As read by the leader, after
/// `stages`.
pub fn next_transition(
    ability: &str,
    stages: &StagesRecord,
    members: &[String],
    cans: &BTreeMap<String, AbilitiesRecord>,
    wish: &AbilityOverrides,
    left: bool,
) -> Transition {
    let stage = stages.stage(ability);
    let off = wish.disabled.contains(ability);
    match (stage, off) {
        // Back: first nobody writes it, then, when nothing of it is left, it is as if it had never been.
        (Stage::Written, true) => return Transition::Move(Stage::Read, vec![]),
        (Stage::Read, true) if left => return Transition::Hold(HoldReason::RemainingRecords),
        (Stage::Read, true) => return Transition::Move(Stage::Known, vec![]),
        (Stage::Known, true) => return Transition::Hold(HoldReason::Disabled),
        (Stage::Written, false) => return Transition::Hold(HoldReason::Complete),
        (Stage::Known | Stage::Read, false) => {}
    }
    if !stages.born_with_stages && !wish.enabled.contains(ability) && stage == Stage::Known {
        return Transition::Hold(HoldReason::LegacyInstallation);
    }
    let counted: Vec<&String> =
        members.iter().filter(|m| !wish.excluded_members.contains(*m)).collect();
    let can = |m: &&&String| cans.get(**m).is_some_and(|c| c.abilities.contains(ability));
    let missing: Vec<String> =
        counted.iter().filter(|m| !can(m)).map(ToString::to_string).collect();
    if !missing.is_empty() || counted.is_empty() {
        return Transition::Hold(HoldReason::MissingMembers(missing));
    }
    Transition::Move(Stage::Written, counted.into_iter().cloned().collect())
}
