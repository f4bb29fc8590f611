//! The next step of an ability, or what it waits for.

use crate::can::CanRecord;
use crate::stages::{Stage, StagesRecord};
use std::collections::{BTreeMap, BTreeSet};

/// What operators want, from their own settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Wish {
    /// Abilities to be switched on although the installation began with an older release: whoever sets this
    /// knows that none of it comes back.
    pub on: BTreeSet<String>,
    /// Abilities that are to be taken back, or never switched on.
    pub off: BTreeSet<String>,
    /// Members that are gone for good, and not counted.
    pub left_out: BTreeSet<String>,
}

/// What an ability waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holds {
    /// Operators don't want it.
    Off,
    /// It is as far as it goes.
    Done,
    /// The installation began with a release that knows no stages: operators have to say that none comes back.
    Upgraded,
    /// These members have not recorded that they can.
    Members(Vec<String>),
    /// Records of its form are still there.
    Records,
}

/// The next thing to do about an ability.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// To this stage; counted are these members, whose records the move is conditional on.
    Move(Stage, Vec<String>),
    Hold(Holds),
}

/// `cans`: what the members have recorded; `left`: are there records of its form? As read by the leader, after
/// `stages`.
pub fn next(
    ability: &str,
    stages: &StagesRecord,
    members: &[String],
    cans: &BTreeMap<String, CanRecord>,
    wish: &Wish,
    left: bool,
) -> Next {
    let stage = stages.stage(ability);
    let off = wish.off.contains(ability);
    match (stage, off) {
        // Back: first nobody writes it, then, when nothing of it is left, it is as if it had never been.
        (Stage::Written, true) => return Next::Move(Stage::Read, vec![]),
        (Stage::Read, true) if left => return Next::Hold(Holds::Records),
        (Stage::Read, true) => return Next::Move(Stage::Known, vec![]),
        (Stage::Known, true) => return Next::Hold(Holds::Off),
        (Stage::Written, false) => return Next::Hold(Holds::Done),
        (Stage::Known | Stage::Read, false) => {}
    }
    if !stages.born && !wish.on.contains(ability) && stage == Stage::Known {
        return Next::Hold(Holds::Upgraded);
    }
    let counted: Vec<&String> = members.iter().filter(|m| !wish.left_out.contains(*m)).collect();
    let can = |m: &&&String| cans.get(**m).is_some_and(|c| c.can.contains(ability));
    let missing: Vec<String> =
        counted.iter().filter(|m| !can(m)).map(ToString::to_string).collect();
    if !missing.is_empty() || counted.is_empty() {
        return Next::Hold(Holds::Members(missing));
    }
    Next::Move(Stage::Written, counted.into_iter().cloned().collect())
}
