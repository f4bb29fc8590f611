//! Who was served, and who is to be served next, so that no team and no class starves.
//!
//! Decisions and state alone: no socket, no clock. `ledger` counts service by team, by class and by both as
//! it happens; `need` tells from it whose jobs go before others; `loss` bounds what of a class's work may be
//! stopped for others; `carried` is what of the ledger outlives a leader. See `docs/fairness.md`.
//!
//! Times are milliseconds on the caller's steady clock. Shares are between 0 and 1.

pub mod capacity;
pub mod decaying_sum;
pub mod deficit;
pub mod ledger;
pub mod loss;
pub mod shares;
pub mod snapshot;

/// A team, as the caller numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Team(pub u32);

/// A class of jobs, as the caller numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(pub u32);

/// A job, as the caller numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Job(pub u64);

/// Whose a job is and of which class: what service is counted by.
pub type TeamClass = (Team, Class);
