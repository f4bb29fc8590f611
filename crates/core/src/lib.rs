//! All that a leader of copperhaven knows and decides, as functions of state, event and passed-in
//! time: no socket, no clock, no thread. `takeover` puts the state together from the records,
//! `state` holds it in parts with an owner each, and the slices act on it, each by its duty.

pub mod admission;
pub mod boots;
pub mod caution;
pub mod fleet;
pub mod lookups;
pub mod pace;
pub mod pipelines;
pub mod placement;
pub mod questions;
pub mod recording;
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
