//! Between controllers: what is known of each peer, and the forwarding of requests to the leader, over
//! a third controller where the direct way is cut.

pub mod frames;

use crate::cluster::frames::{Header, Op, RELEASE};
use crate::reply::Reply;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// A link without an answer for this long is not used.
const SILENT_MS: u64 = 1600;
pub(crate) const MAX_IN_FLIGHT: usize = 512;

/// What is known of a peer from its pongs.
#[derive(Debug, Default, Clone, Copy)]
pub struct PeerView {
    pub last_heard_ms: u64,
    pub term: u64,
    pub is_leader: bool,
    /// The release that it runs; 0 if it was never heard.
    pub release: u16,
    pub(crate) reachable_mask: u16,
}

pub struct PeerLink {
    pub member: String,
    pub member_index: usize,
    pub(crate) addr: String,
    pub(crate) view: Mutex<PeerView>,
    pub(crate) queue: Mutex<Option<mpsc::Sender<Vec<u8>>>>,
    pub(crate) pending_replies: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
    pub(crate) next: AtomicU64,
}

impl PeerLink {
    pub fn view(&self) -> PeerView {
        *self.view.lock().expect("lock")
    }

    fn healthy(&self, now: u64) -> bool {
        let view = self.view();
        view.last_heard_ms > 0 && now < view.last_heard_ms + SILENT_MS
    }

    async fn ask(&self, op: Op, hops: u8, body: &[u8], limit: Duration) -> Option<Reply> {
        let queue = self.queue.lock().expect("lock").clone()?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        {
            let mut waiting = self.pending_replies.lock().expect("lock");
            if waiting.len() >= MAX_IN_FLIGHT {
                return None;
            }
            waiting.insert(id, tx);
        }
        let mut header = Header::new(op as u8, id, body.len());
        header.hops = hops;
        let sent = queue.try_send(header.encode_frame(body)).is_ok();
        let answer = if sent { timeout(limit, rx).await.ok().and_then(Result::ok) } else { None };
        self.pending_replies.lock().expect("lock").remove(&id);
        answer
    }
}

pub struct Cluster {
    pub links: Vec<Arc<PeerLink>>,
    /// All members in order of their names; the same order at each of them.
    pub members: Vec<String>,
    pub own_index: usize,
}

impl Cluster {
    pub fn new(settings: &copperhaven_core::settings::Settings) -> Cluster {
        let mut members: Vec<String> = settings.members.iter().map(|m| m.name.clone()).collect();
        members.push(settings.member.clone());
        members.sort();
        members.dedup();
        let find = |name: &str| members.iter().position(|m| m == name).unwrap_or(0);
        let links = settings
            .members
            .iter()
            .filter(|m| m.name != settings.member)
            .map(|m| {
                Arc::new(PeerLink {
                    member: m.name.clone(),
                    member_index: find(&m.name),
                    addr: m.endpoint.clone(),
                    view: Mutex::default(),
                    queue: Mutex::default(),
                    pending_replies: Mutex::default(),
                    next: AtomicU64::new(1),
                })
            })
            .collect();
        let me = find(&settings.member);
        Cluster { links, members, own_index: me }
    }

    pub(crate) fn reachable_mask(&self, now: u64) -> u16 {
        self.links
            .iter()
            .filter(|l| l.healthy(now))
            .fold(0, |bits, l| bits | (1 << (l.member_index & 15)))
    }

    /// The link on which `leader` is best reached: its own, or that of a peer which reaches it.
    pub(crate) fn way(
        &self,
        leader: usize,
        now: u64,
        direct: bool,
    ) -> Option<(&Arc<PeerLink>, u8)> {
        if let Some(l) = self.links.iter().find(|l| l.member_index == leader && l.healthy(now)) {
            return Some((l, 0));
        }
        if direct {
            return None;
        }
        let bit = 1u16 << (leader & 15);
        let over = self.links.iter().find(|l| l.healthy(now) && l.view().reachable_mask & bit != 0);
        over.map(|l| (l, 1))
    }

    /// Every other member and the release that it was last heard to run, 0 if never.
    pub fn releases(&self) -> impl Iterator<Item = (&str, u16)> {
        self.links.iter().map(|l| (l.member.as_str(), l.view().release))
    }

    /// Do all members run this release, as far as they were heard?
    pub fn is_upgraded(&self) -> bool {
        self.releases().all(|(_, r)| r >= RELEASE)
    }

    pub(crate) fn log_release(&self, member: &str, release: u16) {
        tracing::info!("{member} runs release {release}, this one {RELEASE}");
        if self.is_upgraded() {
            tracing::info!("the upgrade is finished: all controllers run release {RELEASE}");
        }
    }

    /// Does the leader run a release that knows pipelines, as far as it was heard?
    pub fn has_pipeline_support(&self, leader: usize) -> bool {
        let link = self.links.iter().find(|l| l.member_index == leader);
        link.is_none_or(|l| l.view().release != 1)
    }

    /// A peer within reach that doesn't lead, one after the other.
    pub fn pick_follower(&self, now: u64) -> Option<&str> {
        let well: Vec<&Arc<PeerLink>> =
            self.links.iter().filter(|l| l.healthy(now) && !l.view().is_leader).collect();
        let turn = (now / 40) as usize % well.len().max(1);
        well.get(turn).map(|l| l.member.as_str())
    }

    /// Is any peer within reach? True where there are none.
    pub fn has_reachable_peer(&self, now: u64) -> bool {
        self.links.is_empty() || self.links.iter().any(|l| l.healthy(now))
    }

    /// Is this member within reach over its own link?
    pub fn has_direct_link(&self, member: &str, now: u64) -> bool {
        self.links.iter().any(|l| l.member == member && l.healthy(now))
    }

    pub fn can_reach(&self, leader: usize, now: u64) -> bool {
        leader == self.own_index || self.way(leader, now, false).is_some()
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
