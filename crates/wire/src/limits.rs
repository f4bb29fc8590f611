//! Limits that the protocol sets.

/// Tasks of a job at most (protocol, `parcels`).
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// The longest name of a class, team or image that is taken, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Bytes of a request's body, and of an answer to workers and users, at most.
pub const MAX_BODY_BYTES: usize = 64 << 10;
