//! Frames between controllers: a fixed, versioned, little-endian header followed by a body.

use tokio::io::AsyncReadExt;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Release of this version, which determines the features that it supports; sent in pongs. The
/// version before pipelines sends none, which reads as 0 and counts as release 1.
pub const RELEASE: u16 = 2;

const MAGIC: u16 = 0x6368;
const VERSION: u8 = 1;
const MAX_BODY_BYTES: usize = 256 << 10;

/// Header of a frame. Fixed layout, little-endian, versioned.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Header {
    pub(crate) magic: U16,
    pub(crate) version: u8,
    pub(crate) kind: u8,
    /// Number of times that the frame may still be forwarded.
    pub(crate) hops: u8,
    /// In pongs: 1 if the sender leads.
    pub(crate) is_leader: u8,
    /// In answers: the HTTP status; in pongs: the sender's release.
    pub(crate) status: U16,
    /// In answers: the value of `Retry-After` in seconds, 0 for none.
    pub(crate) retry_after: U16,
    /// In pongs: one bit per member, in alphabetical order, that the sender reaches.
    pub(crate) reachable_mask: U16,
    /// Length of the body in bytes.
    pub(crate) len: U32,
    /// Id of the request, repeated in its answer; 0 in pings and pongs.
    pub(crate) id: U64,
    /// In pongs: the sender's term if it leads, else the highest term that it has seen.
    pub(crate) term: U64,
}

pub(crate) const PING: u8 = 0;
pub(crate) const ANSWER: u8 = 1;

/// A request that can be forwarded to the leader; the value is the kind of its frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Op {
    /// Submits a job.
    Submit = 2,
    /// Queries the status of a job.
    Show = 3,
    /// Cancels a job.
    Cancel = 4,
    /// Delivers a worker's report.
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

    /// Creates the header of a pong, the answer to a ping, from the leadership status of this
    /// controller.
    pub(crate) fn pong((term, is_leader): (u64, bool), reachable_mask: u16, len: usize) -> Header {
        Header {
            is_leader: u8::from(is_leader),
            status: U16::new(RELEASE),
            reachable_mask: U16::new(reachable_mask),
            term: U64::new(term),
            ..Header::new(ANSWER, 0, len)
        }
    }

    /// Encodes the header and the body.
    pub(crate) fn encode_frame(&self, body: &[u8]) -> Vec<u8> {
        let mut frame = Vec::with_capacity(size_of::<Header>() + body.len());
        frame.extend_from_slice(self.as_bytes());
        frame.extend_from_slice(body);
        frame
    }

    /// Decodes a header. Returns `None` for another layout or version, or a body over the limit.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Header> {
        let header = Header::read_from_bytes(bytes).ok()?;
        let valid = header.magic.get() == MAGIC
            && header.version == VERSION
            && header.len.get() as usize <= MAX_BODY_BYTES;
        valid.then_some(header)
    }
}

/// Reads one frame. Returns `None` when the connection ends or the header is invalid.
pub(crate) async fn read_frame(
    stream: &mut (impl AsyncReadExt + Unpin),
) -> Option<(Header, Vec<u8>)> {
    let mut header_bytes = [0u8; size_of::<Header>()];
    stream.read_exact(&mut header_bytes).await.ok()?;
    let header = Header::parse(&header_bytes)?;
    let mut body = vec![0u8; header.len.get() as usize];
    stream.read_exact(&mut body).await.ok()?;
    Some((header, body))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_with_an_invalid_header_are_refused() {
        let valid = Header::new(Op::Show as u8, 7, 3).encode_frame(b"abc");
        let size = size_of::<Header>();
        assert_eq!(Header::parse(&valid[..size]).map(|h| h.id.get()), Some(7));
        // (offset, wrong byte): magic, version, a length over the limit
        let cases: [(usize, u8); 3] = [(0, 0), (2, 9), (15, 0xff)];
        for (offset, byte) in cases {
            let mut invalid = valid[..size].to_vec();
            invalid[offset] = byte;
            assert!(Header::parse(&invalid).is_none(), "byte {offset}");
        }
        assert!(Header::parse(&valid[..size - 1]).is_none());
    }

    #[test]
    fn frames_match_those_of_the_release_in_production() {
        // The release in production refuses other versions of the layout. Of a pong it reads the
        // term, who leads and which members are reached; it neither writes nor reads the release's
        // bytes.
        let fixture = |name: &str| -> Vec<u8> {
            let text = include_str!("../../../core/tests/fixtures/production.txt");
            let line = text.lines().find_map(|l| l.strip_prefix(name)).expect(name).trim();
            let byte = |i| u8::from_str_radix(&line[i..i + 2], 16).expect("hex");
            (0..line.len()).step_by(2).map(byte).collect()
        };
        assert_eq!(Header::new(PING, 0, 0).encode_frame(&[]), fixture("frame-ping "));
        let pong = Header::parse(&fixture("frame-pong ")).expect("a valid header");
        assert_eq!((pong.kind, pong.term.get(), pong.status.get()), (ANSWER, 7, 0));
        let mut current = Header::pong((7, false), 0, 0);
        assert_eq!(current.status.get(), RELEASE);
        current.status = U16::new(0);
        assert_eq!(
            current.encode_frame(&[]),
            fixture("frame-pong "),
            "the same except for the release"
        );
        let show = Header::new(Op::Show as u8, 1, 9).encode_frame(b"wk-000412");
        assert_eq!(show, fixture("frame-show "));
    }
}
