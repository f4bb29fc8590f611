//! All that a leader of copperhaven knows and decides, as functions of state, event and passed-in
//! time: no socket, no clock, no thread. `takeover` puts the state together from the records,
//! `cell` holds it, and the slices act on it: `admission`, `placement`, `pipelines`, `workers`,
//! `fleet`.

pub mod admission;
pub mod caution;
pub mod cell;
pub mod fleet;
pub mod jobs;
pub mod names;
pub mod pace;
pub mod pipelines;
pub mod placement;
pub mod records;
pub mod settings;
pub mod takeover;
pub mod workers;

#[cfg(any(test, feature = "testing"))]
pub mod for_tests;
#[cfg(test)]
mod safety_tests;
