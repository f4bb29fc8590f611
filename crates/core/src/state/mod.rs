//! The state that a leader keeps in memory: separate parts, and `LeaderState`, which holds them together.
//!
//! A part depends on no other part beyond what it imports: `names`, jobs and machines (`table`), the
//! resource usage of teams (`team_usage`), dirty and saved records (`write_queue`), dependencies between
//! jobs (`dependencies`), run times of tasks (`run_times`), rentals (`fleet`), and records that could not
//! be read (`unreadable`). The other modules of this crate act on `LeaderState`; nothing here imports them.

pub mod dependencies;
pub mod fairness_accounting;
pub mod final_record_cache;
pub mod fleet;
pub mod job;
pub mod job_sizes;
pub mod leader_state;
pub mod machine;
pub mod names;
pub mod packs;
pub mod record_rendering;
pub mod response_tracker;
pub mod run_times;
pub mod table;
pub mod task_set;
pub mod team_usage;
pub mod unreadable;
pub mod write_queue;
#[cfg(test)]
mod write_queue_tests;
