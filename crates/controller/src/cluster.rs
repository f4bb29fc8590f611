//! Between controllers: one kept connection to each peer, fixed-layout frames, and the forwarding
//! of requests to the leader, over a third controller where the direct way is cut.

use crate::node::{Node, Reply};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;
use zerocopy::byteorder::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// What this version can do, told in pongs. The version before pipelines tells nothing, which
/// reads as 0 and counts as release 1.
pub const RELEASE: u16 = 2;

const MAGIC: u16 = 0x6368;
const VERSION: u8 = 1;
const MOST: usize = 256 << 10;
/// A link without an answer for this long is not used.
const SILENT_MS: u64 = 1600;
const IN_FLIGHT: usize = 512;

/// What a frame asks or tells. Fixed layout, little-endian, versioned.
#[derive(Debug, Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub struct Header {
    magic: U16,
    version: u8,
    kind: u8,
    /// How often the frame may still be passed on.
    hops: u8,
    /// In pongs: 1 if the sender leads.
    leads: u8,
    /// Of an answer; in pongs: the sender's release.
    status: U16,
    retry_after: U16,
    /// In pongs: bit per member (in order of names) that the sender reaches.
    reaches: U16,
    len: U32,
    id: U64,
    term: U64,
}

const PING: u8 = 0;
const ANSWER: u8 = 1;

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
    fn from(kind: u8) -> Option<Op> {
        [Op::Submit, Op::Show, Op::Cancel, Op::Report].into_iter().find(|o| *o as u8 == kind)
    }
}

impl Header {
    fn new(kind: u8, id: u64, len: usize) -> Header {
        Header {
            magic: U16::new(MAGIC),
            version: VERSION,
            kind,
            hops: 0,
            leads: 0,
            status: U16::new(0),
            retry_after: U16::new(0),
            reaches: U16::new(0),
            len: U32::new(len as u32),
            id: U64::new(id),
            term: U64::new(0),
        }
    }

    fn pong((term, leads): (u64, bool), reaches: u16) -> Header {
        Header {
            leads: u8::from(leads),
            status: U16::new(RELEASE),
            reaches: U16::new(reaches),
            term: U64::new(term),
            ..Header::new(ANSWER, 0, 0)
        }
    }

    fn frame(&self, body: &[u8]) -> Vec<u8> {
        let mut out = Vec::with_capacity(size_of::<Header>() + body.len());
        out.extend_from_slice(self.as_bytes());
        out.extend_from_slice(body);
        out
    }

    /// Reads a header; anything of another layout, version or size is refused.
    fn parse(bytes: &[u8]) -> Option<Header> {
        let h = Header::read_from_bytes(bytes).ok()?;
        let fits = h.magic.get() == MAGIC && h.version == VERSION && h.len.get() as usize <= MOST;
        fits.then_some(h)
    }
}

async fn read_frame(stream: &mut (impl AsyncReadExt + Unpin)) -> Option<(Header, Vec<u8>)> {
    let mut head = [0u8; size_of::<Header>()];
    stream.read_exact(&mut head).await.ok()?;
    let header = Header::parse(&head)?;
    let mut body = vec![0u8; header.len.get() as usize];
    stream.read_exact(&mut body).await.ok()?;
    Some((header, body))
}

/// What is known of a peer from its pongs.
#[derive(Debug, Default, Clone, Copy)]
pub struct PeerView {
    pub heard_ms: u64,
    pub term: u64,
    pub leads: bool,
    /// The release that it runs; 0 if it was never heard.
    pub release: u16,
    reaches: u16,
}

pub struct Link {
    pub member: String,
    pub ix: usize,
    addr: String,
    view: Mutex<PeerView>,
    queue: Mutex<Option<mpsc::Sender<Vec<u8>>>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
    next: AtomicU64,
}

impl Link {
    pub fn view(&self) -> PeerView {
        *self.view.lock().expect("lock")
    }

    fn healthy(&self, now: u64) -> bool {
        let view = self.view();
        view.heard_ms > 0 && now < view.heard_ms + SILENT_MS
    }

    async fn ask(&self, op: Op, hops: u8, body: &[u8], limit: Duration) -> Option<Reply> {
        let queue = self.queue.lock().expect("lock").clone()?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        {
            let mut waiting = self.waiting.lock().expect("lock");
            if waiting.len() >= IN_FLIGHT {
                return None;
            }
            waiting.insert(id, tx);
        }
        let mut header = Header::new(op as u8, id, body.len());
        header.hops = hops;
        let sent = queue.try_send(header.frame(body)).is_ok();
        let answer = if sent { timeout(limit, rx).await.ok().and_then(Result::ok) } else { None };
        self.waiting.lock().expect("lock").remove(&id);
        answer
    }
}

pub struct Cluster {
    pub links: Vec<Arc<Link>>,
    /// All members in order of their names; the same order at each of them.
    pub members: Vec<String>,
    pub me: usize,
}

impl Cluster {
    pub fn new(settings: &copperhaven_core::settings::Settings) -> Cluster {
        let mut members: Vec<String> = settings.members.iter().map(|m| m.member.clone()).collect();
        members.push(settings.member.clone());
        members.sort();
        members.dedup();
        let find = |name: &str| members.iter().position(|m| m == name).unwrap_or(0);
        let links = settings
            .members
            .iter()
            .filter(|m| m.member != settings.member)
            .map(|m| {
                Arc::new(Link {
                    member: m.member.clone(),
                    ix: find(&m.member),
                    addr: m.endpoint.clone(),
                    view: Mutex::default(),
                    queue: Mutex::default(),
                    waiting: Mutex::default(),
                    next: AtomicU64::new(1),
                })
            })
            .collect();
        let me = find(&settings.member);
        Cluster { links, members, me }
    }

    fn reaches(&self, now: u64) -> u16 {
        self.links.iter().filter(|l| l.healthy(now)).fold(0, |bits, l| bits | (1 << (l.ix & 15)))
    }

    /// The link on which `leader` is best reached: its own, or that of a peer which reaches it.
    fn way(&self, leader: usize, now: u64, direct: bool) -> Option<(&Arc<Link>, u8)> {
        if let Some(l) = self.links.iter().find(|l| l.ix == leader && l.healthy(now)) {
            return Some((l, 0));
        }
        if direct {
            return None;
        }
        let bit = 1u16 << (leader & 15);
        let over = self.links.iter().find(|l| l.healthy(now) && l.view().reaches & bit != 0);
        over.map(|l| (l, 1))
    }

    /// Every other member and the release that it was last heard to run, 0 if never.
    pub fn releases(&self) -> impl Iterator<Item = (&str, u16)> {
        self.links.iter().map(|l| (l.member.as_str(), l.view().release))
    }

    /// Do all members run this release, as far as they were heard?
    pub fn upgraded(&self) -> bool {
        self.releases().all(|(_, r)| r >= RELEASE)
    }

    fn tell_release(&self, member: &str, release: u16) {
        tracing::info!("{member} runs release {release}, this one {RELEASE}");
        if self.upgraded() {
            tracing::info!("the upgrade is finished: all controllers run release {RELEASE}");
        }
    }

    /// Does the leader run a release that knows pipelines, as far as it was heard?
    pub fn knows_pipelines(&self, leader: usize) -> bool {
        let link = self.links.iter().find(|l| l.ix == leader);
        link.is_none_or(|l| l.view().release != 1)
    }

    /// A peer within reach that doesn't lead, one after the other.
    pub fn some_peer(&self, now: u64) -> Option<&str> {
        let well: Vec<&Arc<Link>> =
            self.links.iter().filter(|l| l.healthy(now) && !l.view().leads).collect();
        let turn = (now / 40) as usize % well.len().max(1);
        well.get(turn).map(|l| l.member.as_str())
    }

    /// Is any peer within reach? True where there are none.
    pub fn any_peer(&self, now: u64) -> bool {
        self.links.is_empty() || self.links.iter().any(|l| l.healthy(now))
    }

    /// Is this member within reach over its own link?
    pub fn links_to(&self, member: &str, now: u64) -> bool {
        self.links.iter().any(|l| l.member == member && l.healthy(now))
    }

    pub fn can_reach(&self, leader: usize, now: u64) -> bool {
        leader == self.me || self.way(leader, now, false).is_some()
    }

    pub async fn forward(
        &self,
        leader: usize,
        (now, direct): (u64, bool),
        op: Op,
        body: &[u8],
        limit: Duration,
    ) -> Option<Reply> {
        let (link, hops) = self.way(leader, now, direct)?;
        link.ask(op, hops, body, limit).await
    }
}

/// Keeps the connection to one peer and asks it twice a second who it is.
async fn keep_link(node: Arc<Node>, link: Arc<Link>) {
    loop {
        if let Ok(Ok(stream)) =
            timeout(Duration::from_millis(1000), TcpStream::connect(&link.addr)).await
        {
            let _ = stream.set_nodelay(true);
            let (mut read, mut write) = stream.into_split();
            let (tx, mut rx) = mpsc::channel::<Vec<u8>>(IN_FLIGHT);
            *link.queue.lock().expect("lock") = Some(tx.clone());
            let reader = async {
                // A silent peer (cut off, or without power) is given up, so that a new
                // connection can take over when it is back.
                while let Ok(Some((h, body))) =
                    timeout(Duration::from_millis(4000), read_frame(&mut read)).await
                {
                    if h.kind != ANSWER {
                        break;
                    }
                    if h.id.get() == 0 {
                        let view = PeerView {
                            heard_ms: node.now(),
                            term: h.term.get(),
                            leads: h.leads == 1,
                            release: h.status.get().max(1),
                            reaches: h.reaches.get(),
                        };
                        let before = link.view().release;
                        *link.view.lock().expect("lock") = view;
                        if before != view.release {
                            node.cluster.tell_release(&link.member, view.release);
                        }
                        node.heard_peer(link.ix, view);
                        continue;
                    }
                    let waiter = link.waiting.lock().expect("lock").remove(&h.id.get());
                    if let Some(waiter) = waiter {
                        let _ = waiter.send(Reply {
                            status: h.status.get(),
                            retry_after: h.retry_after.get(),
                            body,
                            close: false,
                        });
                    }
                }
            };
            let writer = async {
                while let Some(frame) = rx.recv().await {
                    if write.write_all(&frame).await.is_err() {
                        break;
                    }
                }
            };
            let pinger = async {
                loop {
                    if tx.try_send(Header::new(PING, 0, 0).frame(&[])).is_err() {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
            };
            tokio::select! { _ = reader => {}, _ = writer => {}, _ = pinger => {} }
            *link.queue.lock().expect("lock") = None;
            link.waiting.lock().expect("lock").clear();
            link.view.lock().expect("lock").heard_ms = 0;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut read, mut write) = stream.into_split();
    // Peers speak frames; whoever begins with an HTTP request wants the metrics.
    let mut first = [0u8; 4];
    if !matches!(timeout(Duration::from_secs(10), read.read_exact(&mut first)).await, Ok(Ok(_))) {
        return;
    }
    let mut read = std::io::Cursor::new(first).chain(read);
    if &first == b"GET " {
        let io = tokio::io::join(read, write);
        let _ = timeout(Duration::from_secs(5), crate::metrics::serve(&node, io)).await;
        return;
    }
    let (tx, mut rx) = mpsc::channel::<Vec<u8>>(IN_FLIGHT);
    let writer = async {
        while let Some(frame) = rx.recv().await {
            if write.write_all(&frame).await.is_err() {
                break;
            }
        }
    };
    let reader = async {
        let slots = Arc::new(Semaphore::new(IN_FLIGHT));
        while let Ok(Some((h, body))) =
            timeout(Duration::from_secs(10), read_frame(&mut read)).await
        {
            if h.kind == PING {
                let reaches = node.cluster.reaches(node.now());
                let pong = Header::pong(node.standing(), reaches);
                if tx.send(pong.frame(&[])).await.is_err() {
                    break;
                }
                continue;
            }
            let Some(op) = Op::from(h.kind) else { break };
            let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
            let (node, tx) = (node.clone(), tx.clone());
            tokio::spawn(async move {
                let reply = node.serve(op, &body, h.hops).await;
                let mut head = Header::new(ANSWER, h.id.get(), reply.body.len());
                head.status = U16::new(reply.status);
                head.retry_after = U16::new(reply.retry_after);
                let _ = tx.send(head.frame(&reply.body)).await;
                drop(slot);
            });
        }
    };
    tokio::select! { _ = reader => {}, _ = writer => {} }
}

pub async fn run(node: Arc<Node>) -> std::io::Result<()> {
    let listener = TcpListener::bind(&node.settings.cluster_listen).await?;
    for link in &node.cluster.links {
        tokio::spawn(keep_link(node.clone(), link.clone()));
    }
    let most = Arc::new(Semaphore::new(32));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = most.clone().try_acquire_owned() else { continue };
        let node = node.clone();
        tokio::spawn(async move {
            serve_peer(node, stream).await;
            drop(slot);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn frames_of_another_layout_are_refused() {
        let good = Header::new(Op::Show as u8, 7, 3).frame(b"abc");
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
            let text = include_str!("../../core/tests/fixtures/production.txt");
            let line = text.lines().find_map(|l| l.strip_prefix(name)).expect(name).trim();
            let byte = |i| u8::from_str_radix(&line[i..i + 2], 16).expect("hex");
            (0..line.len()).step_by(2).map(byte).collect()
        };
        assert_eq!(Header::new(PING, 0, 0).frame(&[]), fixture("frame-ping "));
        let pong = Header::parse(&fixture("frame-pong ")).expect("understood");
        assert_eq!((pong.kind, pong.term.get(), pong.status.get()), (ANSWER, 7, 0));
        let mut ours = Header::pong((7, false), 0);
        assert_eq!(ours.status.get(), RELEASE);
        ours.status = U16::new(0);
        assert_eq!(ours.frame(&[]), fixture("frame-pong "), "but for the release the same");
        let show = Header::new(Op::Show as u8, 1, 9).frame(b"wk-000412");
        assert_eq!(show, fixture("frame-show "));
    }
}
