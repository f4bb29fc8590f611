//! Decision of a restarted process that finds the leader key under its own member name.
//!
//! The lease of its predecessor would keep every controller from leading until it expires, although
//! nobody leads. The end of the predecessor is proven rather than assumed: the leader's record holds
//! the address on which that process listened for its peers, and a process listens there from its
//! start to its end. A process that listens on the same address now has therefore outlived it. A
//! process that merely hangs still holds the address, so that its successor can't start. Without
//! this proof the lease is waited for.

use std::net::{IpAddr, SocketAddr};

/// A member whose process ended as leader, led again at once, and ended again within this time gives
/// the key up, so that others campaign first.
pub const REPEATED_END_WINDOW_MS: u64 = 30_000;

/// Election backoff of such a member.
pub const RESTART_BACKOFF_MS: u64 = 1_500;

/// Contents of the leader's record.
#[derive(Debug, Clone, Copy)]
pub struct LeaderKey<'a> {
    /// Name of the member that holds the key.
    pub member: &'a str,
    /// Address on which the process that took the key listened for its peers; `None` if the record
    /// doesn't say.
    pub listen_addr: Option<&'a str>,
    /// Wall-clock time of the election, in milliseconds.
    pub elected_at_ms: u64,
    /// Number of times in a row that the member had been elected right after its process ended.
    pub restarts: u64,
}

/// What to do with the leader key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyDecision {
    /// Another process holds the key, or it can't be proven that its holder has ended: wait for the lease.
    HeldByOther,
    /// This process's predecessor held the key and has ended: campaign at once in its place.
    TakeOver {
        /// Number of restarts to record with the key.
        restarts: u64,
    },
    /// The predecessor held the key and has ended, but others should lead: give the key up.
    Release,
}

/// Returns whether only one process anywhere can listen on this address. A wildcard address can be in
/// use on every host at once.
fn is_exclusive_addr(listen_addr: &str) -> bool {
    listen_addr.parse::<SocketAddr>().is_ok_and(|a| match a.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified(),
        IpAddr::V6(ip) => !ip.is_unspecified(),
    })
}

/// Decides what a process that doesn't lead does with the leader key.
///
/// `member` is the name of the process's member and `listen_addr` the address on which it listens, `None`
/// before it does. `first_seen` is whether it sees the key for the first time since its start. `now` is
/// the wall-clock time in milliseconds; it affects only who campaigns first, and no safety rule.
pub fn decide(
    key: LeaderKey,
    member: &str,
    listen_addr: Option<&str>,
    first_seen: bool,
    now: u64,
) -> KeyDecision {
    let proven =
        key.member == member && key.listen_addr.is_some() && key.listen_addr == listen_addr;
    if !proven || !listen_addr.is_some_and(is_exclusive_addr) {
        return KeyDecision::HeldByOther;
    }
    let ended_again = key.restarts > 0 && now.abs_diff(key.elected_at_ms) < REPEATED_END_WINDOW_MS;
    if !first_seen || ended_again {
        return KeyDecision::Release;
    }
    let restarts = if now.abs_diff(key.elected_at_ms) < REPEATED_END_WINDOW_MS {
        key.restarts.saturating_add(1)
    } else {
        1
    };
    KeyDecision::TakeOver { restarts }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LISTEN_ADDR: &str = "10.0.0.1:8081";

    fn key(listen_addr: Option<&str>, elected_at_ms: u64, restarts: u64) -> LeaderKey<'_> {
        LeaderKey { member: "c-1", listen_addr, elected_at_ms, restarts }
    }

    #[test]
    fn lease_is_waited_for_without_proof_that_the_holder_ended() {
        let now = 1_000_000;
        let other = LeaderKey { member: "c-2", ..key(Some(LISTEN_ADDR), now, 0) };
        let decision = |h, listen_addr| decide(h, "c-1", listen_addr, true, now);
        for (case, h, listen_addr) in [
            ("another member", other, Some(LISTEN_ADDR)),
            ("the previous release records no address", key(None, now, 0), Some(LISTEN_ADDR)),
            ("it does not listen yet", key(Some(LISTEN_ADDR), now, 0), None),
            ("neither is known", key(None, now, 0), None),
            ("the same name elsewhere", key(Some("10.0.0.2:8081"), now, 0), Some(LISTEN_ADDR)),
            ("a wildcard", key(Some("0.0.0.0:8081"), now, 0), Some("0.0.0.0:8081")),
            ("a wildcard", key(Some("[::]:8081"), now, 0), Some("[::]:8081")),
            ("no address", key(Some("here"), now, 0), Some("here")),
        ] {
            assert_eq!(decision(h, listen_addr), KeyDecision::HeldByOther, "{case}");
        }
    }

    #[test]
    fn key_is_released_after_repeated_ends_as_leader() {
        let now = 1_000_000;
        let decision = |elected_at_ms, restarts, first_seen| {
            decide(
                key(Some(LISTEN_ADDR), elected_at_ms, restarts),
                "c-1",
                Some(LISTEN_ADDR),
                first_seen,
                now,
            )
        };
        assert_eq!(decision(now - 300_000, 0, true), KeyDecision::TakeOver { restarts: 1 });
        assert_eq!(decision(now - 2_000, 0, true), KeyDecision::TakeOver { restarts: 1 });
        assert_eq!(
            decision(now - 2_000, 1, true),
            KeyDecision::Release,
            "twice within half a minute"
        );
        assert_eq!(decision(now + 2_000, 1, true), KeyDecision::Release, "clocks differ");
        assert_eq!(
            decision(now - 300_000, 1, true),
            KeyDecision::TakeOver { restarts: 1 },
            "long ago"
        );
        // The key was written late: by the predecessor, or by a transaction that this process gave up.
        assert_eq!(decision(now - 2_000, 0, false), KeyDecision::Release);
    }
}
