//! How facts travel: an optional body of the pongs between controllers, of fixed layout. A release that
//! doesn't know it reads past it, and its own pongs carry none: of it nothing is known, which is not
//! the same as that it reaches nothing.

use crate::Member;
use crate::connectivity::{CONNECTIVITY_TTL_MS, Connectivity};
use crate::link::Reachability;
use zerocopy::byteorder::little_endian::{U16, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Facts of one member as they travel; the first is the sender's own.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Record {
    member: u8,
    state: u8,
    /// Hundredths; 255: not known.
    workers: u8,
    cloud: u8,
    peers: U16,
    spare: U16,
    age_ms: U32,
}

/// What a peer told makes no sense: it is dropped, and nothing follows from it.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    #[error("{0} bytes are no facts")]
    Length(usize),
    #[error("member {0} of {1}")]
    Member(u8, usize),
    #[error("{0} is no reach")]
    Reachability(u8),
    #[error("{0} hundredths of the workers")]
    Workers(u8),
}

const UNKNOWN: u8 = 255;

fn code(r: Reachability) -> u8 {
    match r {
        Reachability::Down => 0,
        Reachability::Unknown => 1,
        Reachability::Slow => 2,
        Reachability::Up => 3,
    }
}

fn reach(code: u8) -> Result<Reachability, DecodeError> {
    match code {
        0 => Ok(Reachability::Down),
        1 => Ok(Reachability::Unknown),
        2 => Ok(Reachability::Slow),
        3 => Ok(Reachability::Up),
        other => Err(DecodeError::Reachability(other)),
    }
}

/// Own facts first, then those of others with their age.
pub fn encode(all: impl IntoIterator<Item = (Member, Connectivity, u64)>) -> Vec<u8> {
    let mut out = vec![];
    for (member, f, age) in all {
        let record = Record {
            member: member.0.min(254) as u8,
            state: code(f.state_service),
            workers: f.workers_percent.map_or(UNKNOWN, |w| w.min(100)),
            cloud: code(f.cloud),
            peers: U16::new(f.peer_mask),
            spare: U16::new(0),
            age_ms: U32::new(age.min(u64::from(u32::MAX)) as u32),
        };
        out.extend_from_slice(record.as_bytes());
    }
    out
}

/// What a peer told of itself and of others, among so many members. All of it or nothing.
pub fn decode(
    bytes: &[u8],
    members: usize,
) -> Result<Vec<(Member, Connectivity, u64)>, DecodeError> {
    let size = size_of::<Record>();
    if !bytes.len().is_multiple_of(size) || bytes.len() / size > members {
        return Err(DecodeError::Length(bytes.len()));
    }
    let mut out = vec![];
    for chunk in bytes.chunks_exact(size) {
        let r = Record::read_from_bytes(chunk).map_err(|_| DecodeError::Length(bytes.len()))?;
        if usize::from(r.member) >= members {
            return Err(DecodeError::Member(r.member, members));
        }
        if r.workers > 100 && r.workers != UNKNOWN {
            return Err(DecodeError::Workers(r.workers));
        }
        let facts = Connectivity {
            state_service: reach(r.state)?,
            workers_percent: (r.workers != UNKNOWN).then_some(r.workers),
            cloud: reach(r.cloud)?,
            peer_mask: r.peers.get(),
        };
        let age = u64::from(r.age_ms.get());
        if age < CONNECTIVITY_TTL_MS {
            out.push((Member(r.member.into()), facts, age));
        }
    }
    Ok(out)
}
