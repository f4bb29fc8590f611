//! A start from records and reports: after one controller has ended, or all of them.
//!
//! Decisions and state alone: no socket, no clock. `phase` says how far a takeover is, zone by zone, and by when
//! each phase is over whatever happens; `square` names every difference that there can be between what is on
//! record and what a worker reports, what it proves and what follows, and counts them; `lane` paces the orders
//! that are sent straight to workers, so that a start is no storm. No rule rests on any of it: what may start is
//! decided by proof of absence as ever (docs/safety.md), and all that is sent here is repeated with reports.
//!
//! Times are milliseconds on the caller's steady clock.

pub mod phase;
pub mod reconcile;
pub mod send_queue;

/// A machine, by the caller's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Machine(pub u32);

/// A zone, by the caller's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub u32);
