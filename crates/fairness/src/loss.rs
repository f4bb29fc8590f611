//! Bounds on the work of a class that may be lost to preemption, as a share of the work that it completes.

use crate::Class;
use crate::ledger::FairnessLedger;

/// Maximum share of a class's CPU seconds that may be lost to preemption by jobs of the same priority that are
/// within their team's guarantee.
pub const MAX_LOST_SHARE_EQUAL_PRIORITY: f64 = 0.02;

/// Maximum share of a class's CPU seconds that may be lost to preemption by jobs of higher priority.
pub const MAX_LOST_SHARE_HIGHER_PRIORITY: f64 = 0.05;

/// Recent losses below this many CPU seconds are always allowed: at the start little work is completed, and any
/// loss would be a large share.
const ALWAYS_ALLOWED_LOSS_CPU_S: f64 = 2_000.0;

impl FairnessLedger {
    /// Returns whether more of the class's work may be lost, if at most `max_share` of it should be.
    pub fn can_lose_work(&self, class: Class, max_share: f64) -> bool {
        let now = self.now;
        let Some(counters) = self.class(class) else { return true };
        let lost = counters.recent.lost_cpu_s.value_at(now);
        lost < ALWAYS_ALLOWED_LOSS_CPU_S
            || lost < max_share * (lost + counters.recent.completed_cpu_s.value_at(now))
    }
}
