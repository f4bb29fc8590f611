//! Pipelines: jobs that depend on other jobs. Which jobs may start, and which are cancelled with
//! others, follows from what is recorded: the dependencies in a waiting job's record and the final
//! records of the jobs that it names. Priorities and deadlines propagate from a job back to its
//! dependencies.

pub mod propagation;
pub mod submission;

#[cfg(test)]
mod tests;
