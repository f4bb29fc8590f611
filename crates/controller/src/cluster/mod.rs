//! Links to the other controllers: what is known of each peer, and the forwarding of requests to
//! the leader, over a third controller where the direct link is down.

pub mod frames;

use crate::cluster::frames::{Header, Op, RELEASE};
use crate::reply::Reply;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// A link is unhealthy, and not used, when its peer has not answered for this long.
const PEER_TIMEOUT_MS: u64 = 1600;
/// Requests in flight, or frames queued, on one link.
pub(crate) const MAX_IN_FLIGHT: usize = 512;

/// State of a peer as of its last pong.
#[derive(Debug, Default, Clone, Copy)]
pub struct PeerView {
    /// When the last pong arrived, on this node's clock; 0 while there is no connection.
    pub last_heard_ms: u64,
    /// Its own term if it leads, else the highest term that it has seen.
    pub term: u64,
    /// Whether it leads, or is within the renewal grace.
    pub is_leader: bool,
    /// Release that it runs; 0 if it was never heard.
    pub release: u16,
    /// One bit per member, by index modulo 16, that it reaches over its own link.
    pub(crate) reachable_mask: u16,
}

/// The link to one other controller.
pub struct PeerLink {
    /// Name of the peer.
    pub member: String,
    /// Index of the peer in [`Cluster::members`].
    pub member_index: usize,
    pub(crate) addr: String,
    pub(crate) view: Mutex<PeerView>,
    /// Frames to be sent; `None` while there is no connection.
    pub(crate) send_queue: Mutex<Option<mpsc::Sender<Vec<u8>>>>,
    /// Receivers of replies, by request id.
    pub(crate) pending_replies: Mutex<HashMap<u64, oneshot::Sender<Reply>>>,
    /// Id of the next request; 0 is used for pings.
    pub(crate) next_request_id: AtomicU64,
}

impl PeerLink {
    /// Returns a copy of the state of the peer as of its last pong.
    pub fn view(&self) -> PeerView {
        *self.view.lock().expect("lock")
    }

    /// Returns whether the peer has answered within [`PEER_TIMEOUT_MS`].
    fn is_healthy(&self, now: u64) -> bool {
        let view = self.view();
        view.last_heard_ms > 0 && now < view.last_heard_ms + PEER_TIMEOUT_MS
    }

    /// Sends a request and waits for the reply. Returns `None` without a connection, when too many
    /// requests are in flight, or when no reply arrives within `limit`.
    async fn request(&self, op: Op, hops: u8, body: &[u8], limit: Duration) -> Option<Reply> {
        let send_queue = self.send_queue.lock().expect("lock").clone()?;
        let id = self.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (_pending, reply) = PendingReply::register(self, id)?;
        let mut header = Header::new(op as u8, id, body.len());
        header.hops = hops;
        let sent = send_queue.try_send(header.encode_frame(body)).is_ok();
        if sent { timeout(limit, reply).await.ok().and_then(Result::ok) } else { None }
    }
}

/// A request whose reply is awaited. It stops counting as in flight when this is dropped, also when whoever waited has
/// given up.
struct PendingReply<'a> {
    link: &'a PeerLink,
    id: u64,
}

impl PendingReply<'_> {
    /// Registers a request; `None` when too many are in flight.
    fn register(link: &PeerLink, id: u64) -> Option<(PendingReply<'_>, oneshot::Receiver<Reply>)> {
        let (sender, reply) = oneshot::channel();
        let mut pending = link.pending_replies.lock().expect("lock");
        if pending.len() >= MAX_IN_FLIGHT {
            return None;
        }
        pending.insert(id, sender);
        Some((PendingReply { link, id }, reply))
    }
}

impl Drop for PendingReply<'_> {
    fn drop(&mut self) {
        self.link.pending_replies.lock().expect("lock").remove(&self.id);
    }
}

/// The controllers of the deployment and the links to them.
pub struct Cluster {
    /// Links to all members but this one.
    pub links: Vec<Arc<PeerLink>>,
    /// Names of all members in alphabetical order, which is the same on each of them.
    pub members: Vec<String>,
    /// Index of this controller in `members`.
    pub own_index: usize,
}

impl Cluster {
    /// Creates the links, not yet connected, to all members in the settings.
    pub fn new(settings: &copperhaven_core::settings::Settings) -> Cluster {
        let mut members: Vec<String> = settings.members.iter().map(|m| m.name.clone()).collect();
        members.push(settings.member.clone());
        members.sort();
        members.dedup();
        let index_of = |name: &str| members.iter().position(|m| m == name).unwrap_or(0);
        let links = settings
            .members
            .iter()
            .filter(|m| m.name != settings.member)
            .map(|m| {
                Arc::new(PeerLink {
                    member: m.name.clone(),
                    member_index: index_of(&m.name),
                    addr: m.endpoint.clone(),
                    view: Mutex::default(),
                    send_queue: Mutex::default(),
                    pending_replies: Mutex::default(),
                    next_request_id: AtomicU64::new(1),
                })
            })
            .collect();
        let own_index = index_of(&settings.member);
        Cluster { links, members, own_index }
    }

    /// Returns one bit per member, by index modulo 16, whose link is healthy.
    pub(crate) fn reachable_mask(&self, now: u64) -> u16 {
        self.links
            .iter()
            .filter(|l| l.is_healthy(now))
            .fold(0, |bits, l| bits | (1 << (l.member_index & 15)))
    }

    /// Returns the link over which to reach the leader and the number of further hops: the leader's
    /// own link with 0 or, unless `direct`, the link of a peer that reaches it with 1.
    pub(crate) fn route(
        &self,
        leader: usize,
        now: u64,
        direct: bool,
    ) -> Option<(&Arc<PeerLink>, u8)> {
        if let Some(l) = self.links.iter().find(|l| l.member_index == leader && l.is_healthy(now)) {
            return Some((l, 0));
        }
        if direct {
            return None;
        }
        let bit = 1u16 << (leader & 15);
        let relay =
            self.links.iter().find(|l| l.is_healthy(now) && l.view().reachable_mask & bit != 0);
        relay.map(|l| (l, 1))
    }

    /// Returns every other member with the release that its last pong reported, 0 if there was
    /// none.
    pub fn releases(&self) -> impl Iterator<Item = (&str, u16)> {
        self.links.iter().map(|l| (l.member.as_str(), l.view().release))
    }

    /// Returns whether all other members have reported this release or a later one.
    pub fn is_upgraded(&self) -> bool {
        self.releases().all(|(_, release)| release >= RELEASE)
    }

    /// Logs the release of a peer and, once all members run this one, the end of the upgrade.
    pub(crate) fn log_release(&self, member: &str, release: u16) {
        tracing::info!("{member} runs release {release}, this controller release {RELEASE}");
        if self.is_upgraded() {
            tracing::info!("upgrade finished: all controllers run release {RELEASE}");
        }
    }

    /// Returns whether the leader's release supports pipelines; true while its release is unknown.
    pub fn has_pipeline_support(&self, leader: usize) -> bool {
        let link = self.links.iter().find(|l| l.member_index == leader);
        link.is_none_or(|l| l.view().release != 1)
    }

    /// Returns a reachable peer that does not lead, another one every 40 ms in turn.
    pub fn pick_follower(&self, now: u64) -> Option<&str> {
        let followers: Vec<&Arc<PeerLink>> =
            self.links.iter().filter(|l| l.is_healthy(now) && !l.view().is_leader).collect();
        let turn = (now / 40) as usize % followers.len().max(1);
        followers.get(turn).map(|l| l.member.as_str())
    }

    /// Returns whether any peer is reachable; true if this is the only member.
    pub fn has_reachable_peer(&self, now: u64) -> bool {
        self.links.is_empty() || self.links.iter().any(|l| l.is_healthy(now))
    }

    /// Returns whether this member is reachable over its own link.
    pub fn has_direct_link(&self, member: &str, now: u64) -> bool {
        self.links.iter().any(|l| l.member == member && l.is_healthy(now))
    }

    /// Returns whether requests can be forwarded to the leader, directly or over a peer, or served
    /// here.
    pub fn can_reach(&self, leader: usize, now: u64) -> bool {
        leader == self.own_index || self.route(leader, now, false).is_some()
    }

    /// Forwards a request to the leader, over a peer unless `direct`. Returns `None` when there is
    /// no route or no reply arrives within `limit`.
    pub async fn forward(
        &self,
        leader: usize,
        (now, direct): (u64, bool),
        op: Op,
        body: &[u8],
        limit: Duration,
    ) -> Option<Reply> {
        let (link, hops) = self.route(leader, now, direct)?;
        link.request(op, hops, body, limit).await
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns a cluster of two members, and what is sent on the link to the other one.
    fn connected() -> (Cluster, mpsc::Receiver<Vec<u8>>) {
        let mut settings = copperhaven_core::for_tests::sample_settings();
        settings.members.truncate(1);
        let cluster = Cluster::new(&settings);
        let (sender, sent) = mpsc::channel(4 * MAX_IN_FLIGHT);
        *cluster.links[0].send_queue.lock().expect("lock") = Some(sender);
        (cluster, sent)
    }

    #[tokio::test(start_paused = true)]
    async fn requests_whose_senders_gave_up_do_not_use_up_a_link() {
        // Users and workers close their connections when they give up, which drops the request that is forwarded for
        // them. The peer never answers these.
        for given_up in [1, MAX_IN_FLIGHT, 3 * MAX_IN_FLIGHT] {
            let (cluster, mut sent) = connected();
            let link = &cluster.links[0];
            for _ in 0..given_up {
                let request = link.request(Op::Show, 0, b"wk-1", Duration::from_millis(800));
                let gave_up = timeout(Duration::from_millis(1), request).await.is_err();
                assert!(gave_up, "{given_up}: a request was not sent");
            }
            while sent.try_recv().is_ok() {}
            let request = link.request(Op::Show, 0, b"wk-2", Duration::from_millis(800));
            let answer = async {
                let frame = sent.recv().await.expect("a frame");
                let pending = std::mem::take(&mut *link.pending_replies.lock().expect("lock"));
                assert_eq!(pending.len(), 1, "{given_up}: only the last request is in flight");
                for sender in pending.into_values() {
                    let _ = sender.send(Reply::error(200, "answered"));
                }
                frame
            };
            let (reply, frame) = tokio::join!(request, answer);
            assert!(reply.is_some() && !frame.is_empty(), "{given_up}: no reply");
        }
    }
}
