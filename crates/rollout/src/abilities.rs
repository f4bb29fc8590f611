//! Record of a member's abilities, written by the member itself.

use crate::ABILITIES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Value of `c/can/MEMBER`: abilities of a member's process, which records them when it starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbilitiesRecord {
    /// Release number of the process.
    pub release: u16,
    /// Names of the abilities of that release.
    #[serde(rename = "can")]
    pub abilities: BTreeSet<String>,
}

impl AbilitiesRecord {
    /// Returns a record for the given release number with the abilities of this release.
    pub fn for_release(release: u16) -> AbilitiesRecord {
        AbilitiesRecord { release, abilities: ABILITIES.iter().map(ToString::to_string).collect() }
    }
}
