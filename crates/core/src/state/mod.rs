//! What a leader knows, in parts with an owner each, and the `Cell` that holds them together.
//!
//! Parts know nothing of one another beyond what they import: names, jobs and machines (`table`), what
//! teams use (`teams`), which records are dirty or saved (`ledger`), links between jobs (`links`), run
//! times (`rates`), rentals (`fleet`), what could
//! not be read (`aside`). The slices act on the cell; nothing here imports a slice.

pub mod aside;
pub mod book;
pub mod cell;
pub mod finals;
pub mod fleet;
pub mod hearing;
pub mod job;
pub mod ledger;
pub mod links;
pub mod machine;
pub mod names;
pub mod packs;
pub mod rates;
pub mod served;
pub mod sizes;
pub mod table;
pub mod tasks;
pub mod teams;
