//! What of a class's work may be stopped for others: a part of what it gets done, no more.

use crate::Class;
use crate::ledger::FairnessLedger;

/// The part of a class's CPU seconds that may be lost because work is stopped for a job of the same
/// precedence, within its team's guarantee.
pub const MAX_LOST_SHARE_EQUAL_PRIORITY: f64 = 0.02;

/// The same for a job of higher precedence.
pub const MAX_LOST_SHARE_HIGHER_PRIORITY: f64 = 0.05;

/// So many CPU seconds may be lost before the parts are looked at: at the start little is done yet.
const GRACE_S: f64 = 2_000.0;

impl FairnessLedger {
    /// May more of this class's work be lost, if no more than `part` of it should be?
    pub fn can_lose_work(&self, class: Class, part: f64) -> bool {
        let now = self.now;
        let Some(row) = self.class(class) else { return true };
        let lost = row.recent.lost_cpu_s.value_at(now);
        lost < GRACE_S || lost < part * (lost + row.recent.completed_cpu_s.value_at(now))
    }
}
