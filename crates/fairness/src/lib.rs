//! Fairness accounting: which teams and classes were served, and which to serve next, so that none starves.
//!
//! The crate holds decisions and their state, and uses no sockets and no clock. [`ledger`] counts by team, by
//! class and by both as jobs and tasks change state; [`deficit`] derives from it whose jobs go before others;
//! [`loss`] bounds how much of a class's work may be lost to preemption; [`snapshot`] is the part of the ledger
//! that outlives a leader; [`shares`] computes weighted max-min shares; [`capacity`] divides memory for tasks
//! among teams; [`decaying_sum`] holds recent sums. See `docs/fairness.md`.
//!
//! Times are milliseconds on the caller's monotonic clock. Shares are between 0 and 1.

#![warn(missing_docs)]

pub mod capacity;
pub mod decaying_sum;
pub mod deficit;
pub mod ledger;
pub mod loss;
pub mod shares;
pub mod snapshot;

/// Number of a team, assigned by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Team(pub u32);

/// Number of a class of jobs, assigned by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(pub u32);

/// Number of a job, assigned by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Job(pub u64);

/// The team and the class of a job, by which the ledger counts.
pub type TeamClass = (Team, Class);
