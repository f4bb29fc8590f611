//! Placement: in which order jobs are served, which machine a task gets, room kept for gangs,
//! and who has to make room for whom.

pub mod capacity;
pub mod gangs;
pub mod independent_tasks;
pub mod pass;
pub mod preempt;
pub mod ranking;
pub mod team_limits;

#[cfg(test)]
mod limit_tests;
#[cfg(test)]
mod need_tests;
#[cfg(test)]
mod tests;
