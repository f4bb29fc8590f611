//! copperhaven's controller: one leads, admits, routes and runs jobs on rented machines; the others
//! answer for it and take over. What it decides is in `copperhaven-core`; here it meets sockets,
//! clocks and the state service.

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
