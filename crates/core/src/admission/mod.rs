//! Admission of submissions: whether a job can run at all (`feasibility`), and whether it should and
//! which pools its tasks are routed to (`index`).

pub mod feasibility;
pub mod index;
