//! Memory for waiting tasks, shared: what one team brings must not keep all others out.

/// Of so many parts of the room, one is kept: each team has an equal share of it that nobody else's flood
/// can take. The rest is lent to whoever comes first.
const KEPT: u64 = 4;

/// Room for the tasks of open jobs.
#[derive(Debug, Clone, Copy)]
pub struct TaskCapacity {
    /// Tasks that fit at most.
    pub max_tasks: u64,
    pub teams: u64,
}

impl TaskCapacity {
    /// What every team has for itself.
    pub fn reserved_per_team(&self) -> u64 {
        self.max_tasks / KEPT / self.teams.max(1)
    }

    /// Do `more` tasks of a team fit, of which so many are open, and so many of all teams together?
    pub fn can_admit(&self, all: u64, team: u64, more: u64) -> bool {
        let sum = all.saturating_add(more);
        let lent = self.max_tasks - self.max_tasks / KEPT;
        sum <= lent
            || (sum <= self.max_tasks && team.saturating_add(more) <= self.reserved_per_team())
    }
}
