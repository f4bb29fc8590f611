//! The protocol that copperhaven speaks with users, workers and the cloud: types, ids, limits and
//! the MessagePack encoding. Controllers, clients and agents share it; it decides nothing.

pub mod cloud;
pub mod jobs;
pub mod limits;
pub mod workers;

use serde::Serialize;

/// The body of `value` as MessagePack, maps keyed by text.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}
