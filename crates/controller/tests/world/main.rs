//! Tests of several real controllers in one process, on a paused clock.
//!
//! The controllers run their own code from the API routes and `leadership` to the links between peers. The state
//! service, the cloud, workers and users are emulated at the protocol level. The emulated network can cut each link
//! separately, in each direction and in each mode. The rules are checked by what workers and users observe.
//!
//! Not covered: the sockets of the API endpoints (a request is handed to the routes), checkpoints, spot notices, and
//! processes that stand still, which the random schedules of the core crate cover. `--nocapture` prints the
//! measurements.

mod answers;
mod known_jobs;
mod machines;
mod overlapping_faults;
mod random_scenes;
mod restarts;
mod scenes;
mod schedules;
mod stages;
