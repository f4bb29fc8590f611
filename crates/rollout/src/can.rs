//! What a member can, as it records it itself.

use crate::ABILITIES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// `c/can/MEMBER`: what a member's process can, recorded by itself when it starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanRecord {
    pub release: u16,
    pub can: BTreeSet<String>,
}

impl CanRecord {
    pub fn own(release: u16) -> CanRecord {
        CanRecord { release, can: ABILITIES.iter().map(ToString::to_string).collect() }
    }
}
