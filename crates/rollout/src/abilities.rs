//! What a member can, as it records it itself.

use crate::ABILITIES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// `c/can/MEMBER`: what a member's process can, recorded by itself when it starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbilitiesRecord {
    pub release: u16,
    #[serde(rename = "can")]
    pub abilities: BTreeSet<String>,
}

impl AbilitiesRecord {
    pub fn for_release(release: u16) -> AbilitiesRecord {
        AbilitiesRecord { release, abilities: ABILITIES.iter().map(ToString::to_string).collect() }
    }
}
