//! How facts travel: an optional body of the pongs between controllers, of fixed layout. A release that
//! doesn't know it reads past it, and its own pongs carry none: of it nothing is known, which is not
//! the same as that it reaches nothing.

use crate::Member;
use crate::facts::{FRESH_MS, Facts};
use crate::link::Reach;
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
pub enum Nonsense {
    #[error("{0} bytes are no facts")]
    Length(usize),
    #[error("member {0} of {1}")]
    Member(u8, usize),
    #[error("{0} is no reach")]
    Reach(u8),
    #[error("{0} hundredths of the workers")]
    Workers(u8),
}

const UNKNOWN: u8 = 255;

fn code(r: Reach) -> u8 {
    match r {
        Reach::Down => 0,
        Reach::Unknown => 1,
        Reach::Slow => 2,
        Reach::Up => 3,
    }
}

fn reach(code: u8) -> Result<Reach, Nonsense> {
    match code {
        0 => Ok(Reach::Down),
        1 => Ok(Reach::Unknown),
        2 => Ok(Reach::Slow),
        3 => Ok(Reach::Up),
        other => Err(Nonsense::Reach(other)),
    }
}

/// Own facts first, then those of others with their age.
pub fn write(all: impl IntoIterator<Item = (Member, Facts, u64)>) -> Vec<u8> {
    let mut out = vec![];
    for (member, f, age) in all {
        let record = Record {
            member: member.0.min(254) as u8,
            state: code(f.state),
            workers: f.workers.map_or(UNKNOWN, |w| w.min(100)),
            cloud: code(f.cloud),
            peers: U16::new(f.peers),
            spare: U16::new(0),
            age_ms: U32::new(age.min(u64::from(u32::MAX)) as u32),
        };
        out.extend_from_slice(record.as_bytes());
    }
    out
}

/// What a peer told of itself and of others, among so many members. All of it or nothing.
pub fn read(bytes: &[u8], members: usize) -> Result<Vec<(Member, Facts, u64)>, Nonsense> {
    let size = size_of::<Record>();
    if !bytes.len().is_multiple_of(size) || bytes.len() / size > members {
        return Err(Nonsense::Length(bytes.len()));
    }
    let mut out = vec![];
    for chunk in bytes.chunks_exact(size) {
        let r = Record::read_from_bytes(chunk).map_err(|_| Nonsense::Length(bytes.len()))?;
        if usize::from(r.member) >= members {
            return Err(Nonsense::Member(r.member, members));
        }
        if r.workers > 100 && r.workers != UNKNOWN {
            return Err(Nonsense::Workers(r.workers));
        }
        let facts = Facts {
            state: reach(r.state)?,
            workers: (r.workers != UNKNOWN).then_some(r.workers),
            cloud: reach(r.cloud)?,
            peers: r.peers.get(),
        };
        let age = u64::from(r.age_ms.get());
        if age < FRESH_MS {
            out.push((Member(r.member.into()), facts, age));
        }
    }
    Ok(out)
}
