//! What refused transactions teach a leader of the state service's limits.

use crate::state::write_queue::Batch;

/// What refused transactions teach: the state service may take less than the settings say.
#[derive(Debug)]
pub struct CommitThrottle {
    /// Changes to a transaction at most.
    pub max_ops: usize,
    /// So many more transactions hold one record each: one of them was refused with others.
    pub single_record_txns: usize,
    /// How many changes that transaction had, and whether one of its records was refused alone.
    suspect: (usize, bool),
    /// Part of the usual pace.
    pub rate_factor: f64,
}

impl CommitThrottle {
    pub fn new(ops: usize) -> CommitThrottle {
        CommitThrottle {
            max_ops: ops,
            single_record_txns: 0,
            suspect: (0, false),
            rate_factor: 1.0,
        }
    }

    pub fn on_malformed(&mut self, batch: &Batch, sole: bool) {
        if sole {
            self.suspect.1 = true;
            self.single_record_txns = self.single_record_txns.saturating_sub(1);
        } else {
            (self.single_record_txns, self.suspect) =
                (batch.keys.len(), (batch.changes.len(), false));
        }
    }

    pub fn on_applied(&mut self) {
        self.rate_factor = (self.rate_factor * 1.02).min(1.0);
        if self.single_record_txns > 0 {
            self.single_record_txns -= 1;
            if self.single_record_txns == 0 && !self.suspect.1 {
                // Each is taken alone: together they were too many for a transaction.
                self.max_ops = (self.suspect.0 / 2).max(4).min(self.max_ops);
                tracing::warn!("transactions hold {} changes at most from now on", self.max_ops);
            }
        }
    }
}
