//! The fleet: what to rent for the work that waits, and what to give back.

pub mod demand;
pub mod rentals;
pub mod returns;
pub mod standing_capacity;

#[cfg(test)]
mod tests;
