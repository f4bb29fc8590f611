//! The protocol between copperhaven and its users, workers and the cloud: types, ids, limits and
//! the MessagePack encoding. Controllers, clients and agents share this crate; it contains no
//! scheduling logic.

#![warn(missing_docs)]

pub mod cloud;
pub mod jobs;
pub mod limits;
pub mod workers;

use serde::Serialize;

/// Encodes `value` as MessagePack, with structs as maps keyed by field name. Returns an empty body
/// if `value` cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).unwrap_or_default()
}
