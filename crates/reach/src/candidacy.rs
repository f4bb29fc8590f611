//! Election delays, stepping down and handing over leadership.
//!
//! Two bounds hold whatever connectivity data the controllers have: while nobody leads, a controller
//! that reaches the state service campaigns after [`MAX_ELECTION_DELAY_MS`] at the latest; and a leader
//! hands over at most once in [`MIN_LEADERSHIP_MS`].

use crate::Member;
use crate::connectivity::Connectivity;
use crate::fitness::{Fitness, fitness};
use crate::restart::RESTART_BACKOFF_MS;

/// Election delay of a controller that knows of a fitter one, which may campaign first.
const FITTER_PEER_DELAY_MS: u64 = 800;

/// Election delay of a controller that reaches neither workers nor peers: others may campaign first.
const NO_CONTACT_DELAY_MS: u64 = 2_000;

/// Additional election delay after a step-down; it doubles with each further one within
/// `STEP_DOWN_WINDOW_MS`, so that the others have time to campaign.
const STEP_DOWN_DELAY_MS: u64 = 2_500;
const MAX_STEP_DOWN_DELAY_MS: u64 = 10_000;
const STEP_DOWN_WINDOW_MS: u64 = 120_000;

/// Upper bound of the election delay of any controller.
pub const MAX_ELECTION_DELAY_MS: u64 =
    NO_CONTACT_DELAY_MS + MAX_STEP_DOWN_DELAY_MS + RESTART_BACKOFF_MS;

/// How long another controller must be better connected before the leader hands over, so that flapping
/// links don't move leadership.
pub const HANDOVER_DAMPING_MS: u64 = 3_000;

/// Time after its election during which a leader doesn't hand over.
pub const MIN_LEADERSHIP_MS: u64 = 20_000;

/// History of a controller's own leadership, which delays its next candidacy.
#[derive(Debug, Default)]
pub struct Candidacy {
    /// Time of the last step-down or handover, and the number of recent ones.
    recent_step_downs: Option<(u64, u32)>,
    /// End of the election backoff after repeated restarts as leader.
    restart_backoff_until: u64,
    /// While leading: a better connected controller, and since when there has been one.
    better_connected: Option<(Member, u64)>,
}

/// Connectivity data on which a controller bases its decisions about leadership.
pub struct ElectionView<'a> {
    /// The controller that decides.
    pub self_member: Member,
    /// Its own connectivity.
    pub local: Connectivity,
    /// Number of members, including the controller itself.
    pub member_count: usize,
    /// Returns the unexpired connectivity of another member, or `None` if it is unknown.
    pub peer_connectivity: &'a dyn Fn(Member) -> Option<Connectivity>,
}

impl ElectionView<'_> {
    fn fitness(&self, member: Member, connectivity: &Connectivity, leads: bool) -> Fitness {
        let connectivity_of = |m: Member| {
            if m == self.self_member { Some(self.local) } else { (self.peer_connectivity)(m) }
        };
        fitness(member, connectivity, leads, connectivity_of)
    }

    fn others(&self) -> impl Iterator<Item = (Member, Connectivity)> {
        let members = (0..self.member_count).map(Member).filter(|m| *m != self.self_member);
        members.filter_map(|m| Some((m, (self.peer_connectivity)(m)?)))
    }

    /// Returns whether this controller is not known to reach any worker or peer.
    fn has_no_contact(&self) -> bool {
        self.local.peer_mask == 0 && self.local.workers_percent.is_none_or(|w| w == 0)
    }
}

impl Candidacy {
    /// Records that this controller stepped down or handed over leadership.
    pub fn record_step_down(&mut self, now: u64) {
        let previous = self
            .recent_step_downs
            .filter(|(at, _)| now < at + STEP_DOWN_WINDOW_MS)
            .map_or(0, |(_, n)| n);
        self.recent_step_downs = Some((now, previous.saturating_add(1)));
        self.better_connected = None;
    }

    /// Records that this controller's process ended repeatedly while leading, so that others campaign
    /// first for `RESTART_BACKOFF_MS`.
    pub fn record_repeated_end(&mut self, now: u64) {
        self.restart_backoff_until = now + RESTART_BACKOFF_MS;
    }

    /// Returns whether the election backoff after repeated restarts as leader is running.
    pub fn is_in_restart_backoff(&self, now: u64) -> bool {
        now < self.restart_backoff_until
    }

    /// Returns how many milliseconds to wait before campaigning, counted from when this controller saw
    /// that nobody leads.
    pub fn election_delay_ms(&self, view: &ElectionView, now: u64) -> u64 {
        let own = view.fitness(view.self_member, &view.local, false);
        let mut delay_ms = 0;
        let has_fitter_peer = view
            .others()
            .any(|(m, f)| view.fitness(m, &f, false).reachability() > own.reachability());
        if has_fitter_peer {
            delay_ms = FITTER_PEER_DELAY_MS;
        }
        if view.has_no_contact() {
            delay_ms = NO_CONTACT_DELAY_MS;
        }
        // A controller that reaches workers again isn't delayed: the cause of its step-down may be over.
        if let Some((at, count)) = self.recent_step_downs
            && now < at + STEP_DOWN_WINDOW_MS
            && view.local.workers_percent.is_none_or(|w| w == 0)
        {
            let step_down_delay_ms = STEP_DOWN_DELAY_MS
                .saturating_mul(1 << (count - 1).min(8))
                .min(MAX_STEP_DOWN_DELAY_MS);
            delay_ms += step_down_delay_ms;
        }
        delay_ms += self.restart_backoff_until.saturating_sub(now);
        delay_ms.min(MAX_ELECTION_DELAY_MS)
    }

    /// Returns the member to which this leader, elected at `elected_at`, should hand over, if any. That
    /// is the fittest member that it hears and that is fit to lead, once this leader has reached no
    /// workers, and there has been such a member, for [`HANDOVER_DAMPING_MS`], and at least
    /// [`MIN_LEADERSHIP_MS`] have passed since the election.
    pub fn handover_target(
        &mut self,
        view: &ElectionView,
        elected_at: u64,
        now: u64,
    ) -> Option<Member> {
        let isolated = view.local.workers_percent == Some(0);
        let better =
            |(m, f): &(Member, Connectivity)| f.is_fit_to_lead() && view.local.can_hear(*m);
        let best = view.others().filter(better).max_by_key(|(m, f)| view.fitness(*m, f, false));
        let Some((m, _)) = best.filter(|_| isolated) else {
            self.better_connected = None;
            return None;
        };
        let (_, since) = *self.better_connected.get_or_insert((m, now));
        let led_long_enough = now >= elected_at + MIN_LEADERSHIP_MS;
        (now >= since + HANDOVER_DAMPING_MS && led_long_enough).then_some(m)
    }
}
