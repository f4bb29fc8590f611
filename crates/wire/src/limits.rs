//! Limits that the protocol sets.

/// Tasks of a job at most (protocol, `parcels`).
pub const MOST_TASKS: u64 = 100_000;
/// The longest name of a class, team or image that is taken, in bytes.
pub const MOST_TEXT: usize = 200;
/// Bytes of a request's body, and of an answer to workers and users, at most.
pub const MOST_BODY: usize = 64 << 10;
