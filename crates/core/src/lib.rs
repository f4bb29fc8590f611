//! The scheduling logic of a copperhaven leader as functions of state, event and a time that is
//! passed in: it opens no sockets, reads no clock and starts no threads. `takeover` builds the
//! state from the stored records, `state` holds it in parts with one owner each, and every other
//! module implements one duty on it.

#![warn(missing_docs)]

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
mod job_status_tests;
#[cfg(test)]
mod safety_tests;
