//! Frames between controllers: fixed layouts, little-endian, versioned.

use tokio::io::AsyncReadExt;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// What this version can do, told in pongs. The version before pipelines tells nothing, which
/// reads as 0 and counts as release 1.
pub const RELEASE: u16 = 2;

const MAGIC: u16 = 0x6368;
const VERSION: u8 = 1;
const MOST: usize = 256 << 10;

/// What a frame asks or tells. Fixed layout, little-endian, versioned.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Header {
    pub(crate) magic: U16,
    pub(crate) version: u8,
    pub(crate) kind: u8,
    /// How often the frame may still be passed on.
    pub(crate) hops: u8,
    /// In pongs: 1 if the sender leads.
    pub(crate) is_leader: u8,
    /// Of an answer; in pongs: the sender's release.
    pub(crate) status: U16,
    pub(crate) retry_after: U16,
    /// In pongs: bit per member (in order of names) that the sender reaches.
    pub(crate) reachable_mask: U16,
    pub(crate) len: U32,
    pub(crate) id: U64,
    pub(crate) term: U64,
}

pub(crate) const PING: u8 = 0;
pub(crate) const ANSWER: u8 = 1;

/// What may be asked of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Op {
    Submit = 2,
    Show = 3,
    Cancel = 4,
    Report = 5,
}

impl Op {
    pub(crate) fn from_kind(kind: u8) -> Option<Op> {
        [Op::Submit, Op::Show, Op::Cancel, Op::Report].into_iter().find(|o| *o as u8 == kind)
    }
}

impl Header {
    pub(crate) fn new(kind: u8, id: u64, len: usize) -> Header {
        Header {
            magic: U16::new(MAGIC),
            version: VERSION,
            kind,
            hops: 0,
            is_leader: 0,
            status: U16::new(0),
            retry_after: U16::new(0),
            reachable_mask: U16::new(0),
            len: U32::new(len as u32),
            id: U64::new(id),
            term: U64::new(0),
        }
    }

    pub(crate) fn pong((term, leads): (u64, bool), reaches: u16, len: usize) -> Header {
        Header {
            is_leader: u8::from(leads),
            status: U16::new(RELEASE),
            reachable_mask: U16::new(reaches),
            term: U64::new(term),
            ..Header::new(ANSWER, 0, len)
        }
    }

    pub(crate) fn encode_frame(&self, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(size_of::<Header>() + body.len());
        out.extend_from_slice(self.as_bytes());
        out.extend_from_slice(body);
        out
    }

    /// Reads a header; anything of another layout, version or size is refused.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Header> {
        let h = Header::read_from_bytes(bytes).ok()?;
        let fits = h.magic.get() == MAGIC && h.version == VERSION && h.len.get() as usize <= MOST;
        fits.then_some(h)
    }
}

pub(crate) async fn read_frame(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Option<(Header, Vec<u8>)> {
    let mut head = [0u8; size_of::<Header>()];
    stream.read_exact(&mut head).await.ok()?;
    let header = Header::parse(&head)?;
    let mut body = vec![0u8; header.len.get() as usize];
    stream.read_exact(&mut body).await.ok()?;
    Some((header, body))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_of_another_layout_are_refused() {
        let good = Header::new(Op::Show as u8, 7, 3).encode_frame(b"abc");
        let size = size_of::<Header>();
        assert_eq!(Header::parse(&good[..size]).map(|h| h.id.get()), Some(7));
        let cases: [(usize, u8); 3] = [(0, 0), (2, 9), (15, 0xff)];
        for (at, byte) in cases {
            let mut bad = good[..size].to_vec();
            bad[at] = byte;
            assert!(Header::parse(&bad).is_none(), "byte {at}");
        }
        assert!(Header::parse(&good[..size - 1]).is_none());
    }

    #[test]
    fn frames_of_the_version_in_production() {
        // It refuses other versions of the layout, and reads of a pong the term, who leads and
        // who is reached; the release lies where it writes and reads nothing.
        let fixture = |name: &str| -> Vec<u8> {
            let text = include_str!("../../../core/tests/fixtures/production.txt");
            let line = text.lines().find_map(|l| l.strip_prefix(name)).expect(name).trim();
            let byte = |i| u8::from_str_radix(&line[i..i + 2], 16).expect("hex");
            (0..line.len()).step_by(2).map(byte).collect()
        };
        assert_eq!(Header::new(PING, 0, 0).encode_frame(&[]), fixture("frame-ping "));
        let pong = Header::parse(&fixture("frame-pong ")).expect("understood");
        assert_eq!((pong.kind, pong.term.get(), pong.status.get()), (ANSWER, 7, 0));
        let mut ours = Header::pong((7, false), 0, 0);
        assert_eq!(ours.status.get(), RELEASE);
        ours.status = U16::new(0);
        assert_eq!(ours.encode_frame(&[]), fixture("frame-pong "), "but for the release the same");
        let show = Header::new(Op::Show as u8, 1, 9).encode_frame(b"wk-000412");
        assert_eq!(show, fixture("frame-show "));
    }
}
