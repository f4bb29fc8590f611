//! Connectivity of each controller and its effect on leadership.
//!
//! This crate holds decisions and state only; it opens no sockets and reads no clock.
//!
//! - [`link`]: request results and latency of one link.
//! - [`connectivity`]: what a controller reaches, measured locally or reported by peers, with its age.
//! - [`codec`]: encoding of connectivity in the frames between controllers.
//! - [`fitness`]: order of controllers by connectivity, the same on all that have the same data.
//! - [`candidacy`]: delay before an election attempt, stepping down and handing over leadership.
//! - [`restart`]: what a restarted process does with the leader key of its predecessor.
//!
//! The term and the lease decide who leads. Safety depends on nothing in this crate except the proof
//! in [`restart`] that a lease need not be waited for (docs/safety.md, docs/reach.md).
//!
//! Times are milliseconds on the caller's monotonic clock. A success counts from the time at which
//! its request was sent.

#![warn(missing_docs)]

pub mod candidacy;
pub mod codec;
pub mod connectivity;
pub mod fitness;
pub mod link;
pub mod restart;

/// A controller, identified by its index in the sorted list of all members' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member(pub usize);
