//! A process that is back at once: what it makes of the leader's key under its own name. The decision, and by
//! what it is proven that its predecessor has ended, is in `copperhaven_reach::returns`.

use crate::leadership::{elect, lead};
use crate::node::Node;
use copperhaven_core::records::LeaderRecord;
use copperhaven_reach::restart::{self, KeyDecision, LeaderKey};
use std::sync::Arc;

/// What this process makes of the leader's key, which is under its own name or another's.
pub(super) fn assess_leader_key(node: &Node, record: &LeaderRecord, first: bool) -> KeyDecision {
    let (seat, member) = (record.listen_addr.as_deref(), record.member.as_str());
    let held = LeaderKey {
        member,
        listen_addr: seat,
        elected_at_ms: record.elected_at_ms,
        restarts: record.restarts,
    };
    restart::decide(held, &node.settings.member, node.listen_addr(), first, Node::unix_time_ms())
}

/// The leader's key is that of this process's predecessor, which has ended, or a late one of its own: nobody
/// leads under it. It takes its place at once, or gives the key up for it.
pub(super) async fn replace_predecessor(
    node: &Arc<Node>,
    verdict: KeyDecision,
    (term, stamp, lease): (u64, u64, Option<u64>),
) {
    node.observe_term(term, None);
    if let KeyDecision::TakeOver { restarts: returns } = verdict {
        if let Some(won) = elect(node, stamp, returns).await {
            lead(node, won, "its process had ended as leader and is back").await;
        }
        return;
    }
    tracing::info!(
        "gives up the key of term {term}, under its own name, for its process that ended"
    );
    node.record_repeated_end();
    if let Some(lease) = lease {
        node.store.revoke_lease(lease).await;
    }
}
