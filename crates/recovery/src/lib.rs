//! Takeover from records and worker reports, after one controller or all of them have ended.
//!
//! This crate holds decisions and state only; it opens no sockets and reads no clock.
//!
//! - [`phase`]: progress of a takeover, zone by zone, and the time by which each phase ends in any case.
//! - [`reconcile`]: every possible difference between a record and a worker's report, what it proves and
//!   what is done about it, with counts.
//! - [`send_queue`]: rate limit of the orders sent directly to workers, so that a takeover causes no burst
//!   of requests.
//!
//! No safety rule depends on this crate. Whether a task may start is still decided by proof that it is
//! absent elsewhere (docs/safety.md), and every order sent from here is repeated in the response to a
//! report.
//!
//! Times are milliseconds on the caller's monotonic clock.

#![warn(missing_docs)]

pub mod phase;
pub mod reconcile;
pub mod send_queue;

/// A machine, identified by a number that the caller assigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Machine(pub u32);

/// A zone, identified by a number that the caller assigns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub u32);
