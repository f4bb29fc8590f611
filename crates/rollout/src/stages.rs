//! Record of the stage of each ability.

use crate::ABILITIES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far an ability is in use. It is stored as a number; a release doesn't lead if a stored number is
/// higher than those it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No record uses the ability.
    Known,
    /// There may be records in the new format. None is written, and existing ones are converted back to the
    /// old format.
    Read,
    /// Records are written in the new format.
    Written,
}

impl Stage {
    /// Names of the stages, in the order of their numbers.
    pub const NAMES: [&str; 3] = ["known", "read", "written"];

    /// Returns the name that the command prints.
    pub fn name(self) -> &'static str {
        Stage::NAMES[self as usize]
    }

    /// Returns the stage with this number, or `None` if this release doesn't know it.
    fn from_number(number: u8) -> Option<Stage> {
        [Stage::Known, Stage::Read, Stage::Written].into_iter().find(|s| *s as u8 == number)
    }
}

/// Entry of an ability in `c/stages`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageEntry {
    /// Stored number of the stage.
    pub stage: u8,
    /// Term in which the ability reached the stage.
    pub term: u64,
    /// Members on whose records the move relied.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "counted")]
    pub counted_members: Vec<String>,
}

/// Value of `c/stages`: the stage of each ability.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StagesRecord {
    /// Whether the installation began with a release that knows stages, so that no older release ever wrote
    /// to it.
    #[serde(default)]
    #[serde(rename = "born")]
    pub born_with_stages: bool,
    /// Entries by name of the ability.
    #[serde(default)]
    pub stages: BTreeMap<String, StageEntry>,
}

impl StagesRecord {
    /// Returns the stage of an ability that this release knows; [`Stage::Known`] without a valid entry.
    pub fn stage(&self, ability: &str) -> Stage {
        self.stages.get(ability).and_then(|r| Stage::from_number(r.stage)).unwrap_or(Stage::Known)
    }

    /// Returns an ability that may be in use and that this release doesn't know, or whose stage it doesn't
    /// know. If there is one, this release must not lead.
    pub fn unsupported_ability(&self) -> Option<&str> {
        let is_unsupported = |(name, entry): &(&String, &StageEntry)| {
            let known = ABILITIES.contains(&name.as_str());
            Stage::from_number(entry.stage).is_none()
                || (!known && entry.stage != Stage::Known as u8)
        };
        self.stages.iter().find(is_unsupported).map(|(name, _)| name.as_str())
    }

    /// Returns whether there may be records that a release without stages would not see. The term is then
    /// written in a form that such a release can't read, so that it can't lead.
    pub fn requires_fence(&self) -> bool {
        self.stages.values().any(|r| r.stage != Stage::Known as u8)
    }

    /// Returns a copy with an ability set to `stage`, reached in `term` by relying on `counted_members`.
    pub fn with_stage(
        &self,
        ability: &str,
        stage: Stage,
        term: u64,
        counted_members: Vec<String>,
    ) -> StagesRecord {
        let mut record = self.clone();
        record
            .stages
            .insert(ability.into(), StageEntry { stage: stage as u8, term, counted_members });
        record
    }
}
