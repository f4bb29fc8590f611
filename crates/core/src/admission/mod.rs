//! Whether a submission can run at all (`shape`), and whether and where it should (`index`).

pub mod feasibility;
pub mod index;
