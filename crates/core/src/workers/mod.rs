//! Workers: their reports, the orders they get, their leases, and machines that fail tasks.
//!
//! The one proof that a task is not on a machine is a report of this term, newer than the last
//! report whose response carried the task's `run`, that does not list it. A worker has one report
//! in flight and drops a response after 4 s, so by its next report it has either executed or
//! dropped whatever the earlier response said. Bodies of `/commands` prove nothing: they may be
//! written between a report and its response.

pub mod completion;
pub mod faults;
pub mod leases;
pub mod orders;
pub mod reconciliation;
pub mod report_requests;
pub mod reports;
pub mod stops;
pub mod unresponsive;
