//! What refused transactions teach a leader of the state service's limits.

use crate::state::ledger::Batch;

/// What refused transactions teach: the state service may take less than the settings say.
#[derive(Debug)]
pub struct Caution {
    /// Changes to a transaction at most.
    pub ops: usize,
    /// So many more transactions hold one record each: one of them was refused with others.
    pub alone: usize,
    /// How many changes that transaction had, and whether one of its records was refused alone.
    suspect: (usize, bool),
    /// Part of the usual pace.
    pub pace: f64,
}

impl Caution {
    pub fn new(ops: usize) -> Caution {
        Caution { ops, alone: 0, suspect: (0, false), pace: 1.0 }
    }

    pub fn malformed(&mut self, batch: &Batch, sole: bool) {
        if sole {
            self.suspect.1 = true;
            self.alone = self.alone.saturating_sub(1);
        } else {
            (self.alone, self.suspect) = (batch.keys.len(), (batch.changes.len(), false));
        }
    }

    pub fn applied(&mut self) {
        self.pace = (self.pace * 1.02).min(1.0);
        if self.alone > 0 {
            self.alone -= 1;
            if self.alone == 0 && !self.suspect.1 {
                // Each is taken alone: together they were too many for a transaction.
                self.ops = (self.suspect.0 / 2).max(4).min(self.ops);
                tracing::warn!("transactions hold {} changes at most from now on", self.ops);
            }
        }
    }
}
