//! Pipelines: jobs that wait until others are done. Who may start, and who is cancelled with whom,
//! follows from what is recorded: the links in a waiting job's record and the final records of
//! those that it names. Priority and urgency flow from the last job back to those before it.

pub mod propagation;
pub mod submission;

#[cfg(test)]
mod tests;
