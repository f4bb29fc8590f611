//! Memory for waiting tasks, shared: what one team brings must not keep all others out.

/// Of so many parts of the room, one is kept: each team has an equal share of it that nobody else's flood
/// can take. The rest is lent to whoever comes first.
const KEPT: u64 = 4;

/// Room for the tasks of open jobs.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// Tasks that fit at most.
    pub most: u64,
    pub teams: u64,
}

impl Room {
    /// What every team has for itself.
    pub fn own(&self) -> u64 {
        self.most / KEPT / self.teams.max(1)
    }

    /// Do `more` tasks of a team fit, of which so many are open, and so many of all teams together?
    pub fn takes(&self, all: u64, team: u64, more: u64) -> bool {
        let sum = all.saturating_add(more);
        let lent = self.most - self.most / KEPT;
        sum <= lent || (sum <= self.most && team.saturating_add(more) <= self.own())
    }
}
