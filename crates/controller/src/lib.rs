//! The copperhaven controller. One controller leads: it admits jobs, routes them and runs them on
//! rented machines. The others forward requests to it and take over when it fails. The decisions are
//! made in `copperhaven-core`; this crate connects them to sockets, clocks and the state service.

#![warn(missing_docs)]

pub mod api;
pub mod cli;
pub mod cloud;
pub mod cluster;
pub mod http;
pub mod leadership;
pub mod listen;
pub mod metrics;
pub mod net;
pub mod node;
pub mod peers;
pub mod provisioning;
pub mod reply;
pub mod store;
