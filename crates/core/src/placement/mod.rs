//! Placement: ranks the open jobs, assigns their waiting tasks to machines, reserves machines for
//! gangs and other jobs that need them, and preempts tasks for jobs that go before them.

mod avoidance;
pub mod capacity;
pub mod gangs;
pub mod independent_tasks;
pub mod pass;
pub mod preempt;
pub mod ranking;
pub mod team_limits;
pub(crate) mod zone_limits;

#[cfg(test)]
mod avoidance_tests;
#[cfg(test)]
mod deficit_tests;
#[cfg(test)]
mod limit_tests;
#[cfg(test)]
mod tests;
