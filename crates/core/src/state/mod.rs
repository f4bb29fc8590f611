//! What a leader knows, in parts with an owner each, and the `Cell` that holds them together.
//!
//! Parts know nothing of one another beyond what they import: names, jobs and machines (`table`), what
//! teams use (`teams`), which records are dirty or saved (`ledger`), links between jobs (`links`), run
//! times (`rates`), rentals (`fleet`), what could
//! not be read (`aside`). The slices act on the cell; nothing here imports a slice.

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
