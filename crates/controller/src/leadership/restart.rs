//! Handling of a leader key that a restarted process finds under its own name. The decision, and
//! the proof that the predecessor has ended, are in `copperhaven_reach::restart`.

use crate::leadership::{elect, lead};
use crate::node::Node;
use copperhaven_core::records::LeaderRecord;
use copperhaven_reach::restart::{self, KeyDecision, LeaderKey};
use std::sync::Arc;

/// Decides what to do about the leader key, held under this controller's name or another one.
/// `first_look`: this process has not yet seen the key since its start.
pub(super) fn assess_leader_key(
    node: &Node,
    record: &LeaderRecord,
    first_look: bool,
) -> KeyDecision {
    let (listen_addr, member) = (record.listen_addr.as_deref(), record.member.as_str());
    let key = LeaderKey {
        member,
        listen_addr,
        elected_at_ms: record.elected_at_ms,
        restarts: record.restarts,
    };
    restart::decide(
        key,
        &node.settings.member,
        node.listen_addr(),
        first_look,
        Node::unix_time_ms(),
    )
}

/// Handles a leader key under which nobody leads: that of this process's predecessor, which has
/// ended, or one from a late transaction of its own. Campaigns at once in its place, or revokes its
/// lease.
pub(super) async fn replace_predecessor(
    node: &Arc<Node>,
    decision: KeyDecision,
    (term, revision, lease): (u64, u64, Option<u64>),
) {
    node.observe_term(term, None);
    if let KeyDecision::TakeOver { restarts } = decision {
        if let Some(election) = elect(node, revision, restarts).await {
            lead(node, election, "the previous process of this member ended as leader").await;
        }
        return;
    }
    tracing::info!(
        "releasing the leader key of term {term}, left by an ended process of this member"
    );
    node.record_repeated_end();
    if let Some(lease) = lease {
        node.store.revoke_lease(lease).await;
    }
}
