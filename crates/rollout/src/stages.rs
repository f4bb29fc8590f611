//! How far each ability is in use, as it is recorded.

use crate::ABILITIES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far an ability is in use. Stored as its number: a higher one that is not known is no stage that a release
/// may lead with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Nothing of it is on record.
    Known,
    /// There may be records of its form; none is written, and what there is goes back to the old form.
    Read,
    /// It is written.
    Written,
}

impl Stage {
    pub const NAMES: [&str; 3] = ["known", "read", "written"];

    pub fn name(self) -> &'static str {
        Stage::NAMES[self as usize]
    }

    fn of(number: u8) -> Option<Stage> {
        [Stage::Known, Stage::Read, Stage::Written].into_iter().find(|s| *s as u8 == number)
    }
}

/// An ability in `c/stages`: its stage, and in which term and with whom counted it got there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageEntry {
    pub stage: u8,
    pub term: u64,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "counted")]
    pub counted_members: Vec<String>,
}

/// `c/stages`: how far each ability is in use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StagesRecord {
    /// The installation began with a release that knows stages: no older one ever wrote here.
    #[serde(default)]
    #[serde(rename = "born")]
    pub born_with_stages: bool,
    #[serde(default)]
    pub stages: BTreeMap<String, StageEntry>,
}

impl StagesRecord {
    /// The stage of an ability that this release knows.
    pub fn stage(&self, ability: &str) -> Stage {
        self.stages.get(ability).and_then(|r| Stage::of(r.stage)).unwrap_or(Stage::Known)
    }

    /// An ability whose records may be there and that this release doesn't know, or a stage that it doesn't.
    /// Some: it must not lead.
    pub fn unsupported_ability(&self) -> Option<&str> {
        let bad = |(name, row): &(&String, &StageEntry)| {
            let known = ABILITIES.contains(&name.as_str());
            Stage::of(row.stage).is_none() || (!known && row.stage != Stage::Known as u8)
        };
        self.stages.iter().find(bad).map(|(name, _)| name.as_str())
    }

    /// Is there anything on record that a release without stages would not see? Then the term is written so that
    /// such a release can't read it, and so can't lead.
    pub fn requires_fence(&self) -> bool {
        self.stages.values().any(|r| r.stage != Stage::Known as u8)
    }

    /// The same with an ability at another stage.
    pub fn with_stage(
        &self,
        ability: &str,
        stage: Stage,
        term: u64,
        counted: Vec<String>,
    ) -> StagesRecord {
        let mut next = self.clone();
        next.stages.insert(
            ability.into(),
            StageEntry { stage: stage as u8, term, counted_members: counted },
        );
        next
    }
}
