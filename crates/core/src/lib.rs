//! All that a leader of copperhaven knows and decides, as functions of state, event and passed-in
//! time: no socket, no clock, no thread. `takeover` puts the state together from the records,
//! `state` holds it in parts with an owner each, and the slices act on it, each by its duty.

pub mod admission;
pub mod boot_tracking;
pub mod commit_throttle;
pub mod fleet;
pub mod group_commit;
pub mod job_status;
pub mod lookup_limiter;
pub mod pipelines;
pub mod placement;
pub mod rate_limiter;
pub mod records;
pub mod settings;
pub mod state;
pub mod sweep;
pub mod takeover;
pub mod workers;

#[cfg(any(test, feature = "testing"))]
pub mod for_tests;
#[cfg(test)]
mod safety_tests;
