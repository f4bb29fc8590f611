//! What each controller reaches, and what follows for leadership.
//!
//! Decisions and state alone: no socket, no clock. `link` keeps how one counterpart answered; `facts` is what
//! one controller reaches, its own or told by others, with its age; `told` is how that travels in frames;
//! `fitness` orders controllers by it, alike for all that know the same; `standing` says who stands first,
//! how long the others wait, who gives way and who hands over; `returns` what a process that is back at once
//! makes of the key of its predecessor. Safety leans on nothing else here: the term and the lease decide who
//! leads, and the proof in `returns` when a lease need not be waited for (docs/safety.md, docs/reach.md).
//!
//! Times are milliseconds on the caller's steady clock; successes count from when the request was sent.

pub mod candidacy;
pub mod codec;
pub mod connectivity;
pub mod fitness;
pub mod link;
pub mod restart;

/// A controller, by its place in the order of all members' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member(pub usize);
