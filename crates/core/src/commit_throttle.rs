//! Adapts the size and rate of transactions to refusals by the state service.

use crate::state::write_queue::Batch;

/// Limits on transactions that are tightened after refusals: the state service may accept less than
/// the settings say.
#[derive(Debug)]
pub struct CommitThrottle {
    /// Maximum number of changes in a transaction.
    pub max_ops: usize,
    /// Number of transactions still to be sent with one record each, after several records were
    /// refused together.
    pub single_record_txns: usize,
    /// Number of changes of the transaction refused last with several records, and whether one of these
    /// records was refused alone.
    suspect: (usize, bool),
    /// Factor on the usual rate of changes, at most 1.
    pub rate_factor: f64,
}

impl CommitThrottle {
    /// Creates a throttle that allows `max_ops` changes in a transaction.
    pub fn new(max_ops: usize) -> CommitThrottle {
        CommitThrottle { max_ops, single_record_txns: 0, suspect: (0, false), rate_factor: 1.0 }
    }

    /// Handles a transaction that was refused as malformed or too large; `single` tells whether it wrote
    /// a single value.
    pub fn on_malformed(&mut self, batch: &Batch, single: bool) {
        if single {
            self.suspect.1 = true;
            self.single_record_txns = self.single_record_txns.saturating_sub(1);
        } else {
            (self.single_record_txns, self.suspect) =
                (batch.keys.len(), (batch.changes.len(), false));
        }
    }

    /// Handles a transaction that was applied: the rate recovers by 2 %. Once all records of a refused
    /// transaction were accepted one by one, `max_ops` is reduced.
    pub fn on_applied(&mut self) {
        self.rate_factor = (self.rate_factor * 1.02).min(1.0);
        if self.single_record_txns > 0 {
            self.single_record_txns -= 1;
            if self.single_record_txns == 0 && !self.suspect.1 {
                // Each record was accepted alone, so together they were too many for a transaction.
                self.max_ops = (self.suspect.0 / 2).max(4).min(self.max_ops);
                tracing::warn!("transactions are limited to {} changes from now on", self.max_ops);
            }
        }
    }
}
