//! copperhaven, a cluster scheduler: one leading controller admits, routes and runs jobs on
//! rented machines; the others answer for it and take over.

pub mod admission;
pub mod cell;
pub mod client;
pub mod cluster;
pub mod fleet;
pub mod front;
pub mod http;
pub mod jobs;
pub mod leadership;
pub mod metrics;
pub mod names;
pub mod node;
pub mod pipelines;
pub mod placement;
pub mod settings;
pub mod store;
pub mod workers;

#[cfg(test)]
mod safety_tests;
