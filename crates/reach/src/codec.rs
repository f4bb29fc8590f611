//! Encoding of connectivity data as an optional body, of fixed layout, of the pongs between controllers.
//!
//! A release that doesn't know the body skips it and sends pongs without one. The connectivity of its
//! controllers is then unknown, which doesn't mean that they reach nothing.

use crate::Member;
use crate::connectivity::{CONNECTIVITY_TTL_MS, Connectivity};
use crate::link::Reachability;
use zerocopy::byteorder::little_endian::{U16, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Encoded connectivity of one member; the sender's own record comes first.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Record {
    member: u8,
    state_service: u8,
    /// Percentage, or `UNKNOWN_WORKERS`.
    workers_percent: u8,
    cloud: u8,
    peer_mask: U16,
    reserved: U16,
    age_ms: U32,
}

/// Reason why connectivity data of a peer is invalid; all of its message is then ignored.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length in bytes is not that of a whole number of records, or there are more than members.
    #[error("connectivity data has an invalid length of {0} bytes")]
    Length(usize),
    /// The member index is not below the number of members.
    #[error("member index {0} is out of range for {1} members")]
    Member(u8, usize),
    /// The code stands for no [`Reachability`].
    #[error("invalid reachability code {0}")]
    Reachability(u8),
    /// The percentage of workers is above 100.
    #[error("invalid percentage of workers {0}")]
    Workers(u8),
}

/// Code of an unknown percentage of workers.
const UNKNOWN_WORKERS: u8 = 255;

fn reachability_code(reachability: Reachability) -> u8 {
    match reachability {
        Reachability::Down => 0,
        Reachability::Unknown => 1,
        Reachability::Slow => 2,
        Reachability::Up => 3,
    }
}

fn decode_reachability(code: u8) -> Result<Reachability, DecodeError> {
    match code {
        0 => Ok(Reachability::Down),
        1 => Ok(Reachability::Unknown),
        2 => Ok(Reachability::Slow),
        3 => Ok(Reachability::Up),
        other => Err(DecodeError::Reachability(other)),
    }
}

/// Encodes connectivity data with its age in milliseconds; the caller's own data comes first.
pub fn encode(entries: impl IntoIterator<Item = (Member, Connectivity, u64)>) -> Vec<u8> {
    let mut out = vec![];
    for (member, connectivity, age_ms) in entries {
        let record = Record {
            member: member.0.min(254) as u8,
            state_service: reachability_code(connectivity.state_service),
            workers_percent: connectivity.workers_percent.map_or(UNKNOWN_WORKERS, |w| w.min(100)),
            cloud: reachability_code(connectivity.cloud),
            peer_mask: U16::new(connectivity.peer_mask),
            reserved: U16::new(0),
            age_ms: U32::new(age_ms.min(u64::from(u32::MAX)) as u32),
        };
        out.extend_from_slice(record.as_bytes());
    }
    out
}

/// Decodes the connectivity data that a peer reported of itself and others, with its age in milliseconds,
/// leaving out expired entries. `members` is the number of members. One invalid record fails all.
pub fn decode(
    bytes: &[u8],
    members: usize,
) -> Result<Vec<(Member, Connectivity, u64)>, DecodeError> {
    let record_size = size_of::<Record>();
    if !bytes.len().is_multiple_of(record_size) || bytes.len() / record_size > members {
        return Err(DecodeError::Length(bytes.len()));
    }
    let mut out = vec![];
    for chunk in bytes.chunks_exact(record_size) {
        let record =
            Record::read_from_bytes(chunk).map_err(|_| DecodeError::Length(bytes.len()))?;
        if usize::from(record.member) >= members {
            return Err(DecodeError::Member(record.member, members));
        }
        if record.workers_percent > 100 && record.workers_percent != UNKNOWN_WORKERS {
            return Err(DecodeError::Workers(record.workers_percent));
        }
        let connectivity = Connectivity {
            state_service: decode_reachability(record.state_service)?,
            workers_percent: (record.workers_percent != UNKNOWN_WORKERS)
                .then_some(record.workers_percent),
            cloud: decode_reachability(record.cloud)?,
            peer_mask: record.peer_mask.get(),
        };
        let age_ms = u64::from(record.age_ms.get());
        if age_ms < CONNECTIVITY_TTL_MS {
            out.push((Member(record.member.into()), connectivity, age_ms));
        }
    }
    Ok(out)
}
