//! A testbed for several controllers: emulated workers, users, cloud and state service that speak the protocols, an
//! emulated network whose links can be cut, faults to inject, and a checker of the rules by what workers and users
//! observe. Failed checks panic, as in a test.

#![warn(missing_docs)]

pub mod checker;
pub mod cloud;
pub mod controllers;
pub mod faults;
pub mod links;
pub mod network;
pub mod random_faults;
pub mod services;
pub mod triggers;
pub mod users;
pub mod workers;
pub mod world;
