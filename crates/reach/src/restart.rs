//! A process that was started again and finds the leader's key under its own name.
//!
//! Its predecessor's lease would keep everybody from leading until it runs out, though nobody leads. Whether
//! the predecessor has ended is proven, not guessed: the record tells on which address that process listened
//! for its peers (`seat`), and a process listens there from its start to its end. Whoever listens on the same
//! address now has therefore outlived it; one that only hangs still has the address, and its successor can't
//! start. What can't be proven is waited for, as ever.

use std::net::{IpAddr, SocketAddr};

/// A member that ended as leader, led again at once, and ended again within this time is left behind.
pub const LATELY_MS: u64 = 30_000;

/// So long such a member leaves the others the first try.
pub const RESTART_BACKOFF_MS: u64 = 1_500;

/// What the leader's record tells.
#[derive(Debug, Clone, Copy)]
pub struct LeaderKey<'a> {
    pub member: &'a str,
    /// The address on which the process listened that took the key; none: it did not tell.
    pub listen_addr: Option<&'a str>,
    /// When it was elected (time of day, milliseconds), and how often in a row its member had been elected
    /// right after an end.
    pub elected_at_ms: u64,
    pub restarts: u64,
}

/// What to make of the leader's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyDecision {
    /// Somebody else's, or nobody can tell: its lease decides.
    HeldByOther,
    /// This process's predecessor had it and has ended: stand at once in its place, with this count of returns.
    TakeOver { restarts: u64 },
    /// The same, but others had better lead: give the key up for it.
    Release,
}

/// Is this an address that one process of all can listen on? A wildcard is listened on by each host for itself.
fn sole(seat: &str) -> bool {
    seat.parse::<SocketAddr>().is_ok_and(|a| match a.ip() {
        IpAddr::V4(ip) => !ip.is_unspecified(),
        IpAddr::V6(ip) => !ip.is_unspecified(),
    })
}

/// For a process that does not lead: `member` is its name, `seat` the address on which it listens, none before
/// it does; `first`: it has not seen the key since its start; `now` is the time of day in milliseconds. Only
/// politeness rests on the time of day, no rule.
pub fn decide(
    held: LeaderKey,
    member: &str,
    seat: Option<&str>,
    first: bool,
    now: u64,
) -> KeyDecision {
    let proven = held.member == member && held.listen_addr.is_some() && held.listen_addr == seat;
    if !proven || !seat.is_some_and(sole) {
        return KeyDecision::HeldByOther;
    }
    let again = held.restarts > 0 && now.abs_diff(held.elected_at_ms) < LATELY_MS;
    if !first || again {
        return KeyDecision::Release;
    }
    let returns = if now.abs_diff(held.elected_at_ms) < LATELY_MS {
        held.restarts.saturating_add(1)
    } else {
        1
    };
    KeyDecision::TakeOver { restarts: returns }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SEAT: &str = "10.0.0.1:8081";

    fn held(seat: Option<&str>, at: u64, returns: u64) -> LeaderKey<'_> {
        LeaderKey { member: "c-1", listen_addr: seat, elected_at_ms: at, restarts: returns }
    }

    #[test]
    fn what_is_not_proven_is_waited_for() {
        let now = 1_000_000;
        let other = LeaderKey { member: "c-2", ..held(Some(SEAT), now, 0) };
        let none = |h, seat| decide(h, "c-1", seat, true, now);
        for (what, h, seat) in [
            ("another member", other, Some(SEAT)),
            ("the version before tells no seat", held(None, now, 0), Some(SEAT)),
            ("it does not listen yet", held(Some(SEAT), now, 0), None),
            ("neither is known", held(None, now, 0), None),
            ("the same name elsewhere", held(Some("10.0.0.2:8081"), now, 0), Some(SEAT)),
            ("a wildcard", held(Some("0.0.0.0:8081"), now, 0), Some("0.0.0.0:8081")),
            ("a wildcard", held(Some("[::]:8081"), now, 0), Some("[::]:8081")),
            ("no address", held(Some("here"), now, 0), Some("here")),
        ] {
            assert_eq!(none(h, seat), KeyDecision::HeldByOther, "{what}");
        }
    }

    #[test]
    fn who_ends_again_and_again_is_left_behind() {
        let now = 1_000_000;
        let row = |at, returns, first| {
            decide(held(Some(SEAT), at, returns), "c-1", Some(SEAT), first, now)
        };
        assert_eq!(row(now - 300_000, 0, true), KeyDecision::TakeOver { restarts: 1 });
        assert_eq!(row(now - 2_000, 0, true), KeyDecision::TakeOver { restarts: 1 });
        assert_eq!(row(now - 2_000, 1, true), KeyDecision::Release, "twice within half a minute");
        assert_eq!(row(now + 2_000, 1, true), KeyDecision::Release, "clocks differ");
        assert_eq!(row(now - 300_000, 1, true), KeyDecision::TakeOver { restarts: 1 }, "long ago");
        // A late transaction of its predecessor, or of its own that it had given up.
        assert_eq!(row(now - 2_000, 0, false), KeyDecision::Release);
    }
}
