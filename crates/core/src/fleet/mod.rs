//! The fleet of rented machines: what to rent for waiting work, and what to return to the cloud.

pub mod demand;
mod planned_capacity;
pub mod rentals;
pub mod returns;
pub mod standing_capacity;

#[cfg(test)]
mod tests;
#[cfg(test)]
mod zone_tests;
