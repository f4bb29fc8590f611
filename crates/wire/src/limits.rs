//! Limits set by the protocol.

/// Maximum number of tasks of a job (protocol, `parcels`).
pub const MAX_TASKS_PER_JOB: u64 = 100_000;
/// Maximum length of the name of a class, team or image, in bytes.
pub const MAX_NAME_BYTES: usize = 200;
/// Maximum length of a request body and of a response to workers and users, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
