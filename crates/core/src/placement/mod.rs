//! Placement: in which order jobs are served, which machine a task gets, room kept for gangs,
//! and who has to make room for whom.

pub mod gangs;
pub mod limits;
pub mod order;
pub mod pass;
pub mod preempt;
pub mod singles;
pub mod slots;

#[cfg(test)]
mod limit_tests;
#[cfg(test)]
mod need_tests;
#[cfg(test)]
mod tests;
