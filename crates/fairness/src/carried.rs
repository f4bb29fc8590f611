//! What of the ledger outlives a leader.
