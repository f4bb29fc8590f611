//! Workers: their reports, the orders sent to them, their leases, and the handling of machines
//! that fail tasks.
//!
//! The only proof that a task is not on a machine is a report of this term that is newer than the
//! last report whose response carried the task's `run` and that does not list the task. A worker
//! has one report in flight and drops a response after 4 s, so by its next report it has either
//! executed or dropped the orders of the earlier response. Responses to `/commands` prove nothing,
//! because they may be written between a report and its response.

pub mod completion;
pub mod faults;
pub mod leases;
pub mod orders;
pub mod reconciliation;
pub mod report_requests;
pub mod reports;
pub mod stops;
pub mod unresponsive;
