//! Division of the memory for waiting tasks among teams, so that one team cannot keep all others out.

/// One part in this many of the capacity is reserved: each team has an equal share of it that no other team can
/// take. The rest goes to whichever team comes first.
const RESERVED_DIVISOR: u64 = 4;

/// Capacity for the tasks of open jobs.
#[derive(Debug, Clone, Copy)]
pub struct TaskCapacity {
    /// Maximum number of tasks of all open jobs.
    pub max_tasks: u64,
    /// Number of teams that share the capacity.
    pub teams: u64,
}

impl TaskCapacity {
    /// Returns the number of tasks reserved for each team.
    pub fn reserved_per_team(&self) -> u64 {
        self.max_tasks / RESERVED_DIVISOR / self.teams.max(1)
    }

    /// Returns whether `new_tasks` more tasks of a team fit, given the open tasks of all teams and of this team.
    pub fn can_admit(&self, all_tasks: u64, team_tasks: u64, new_tasks: u64) -> bool {
        let sum = all_tasks.saturating_add(new_tasks);
        let unreserved = self.max_tasks - self.max_tasks / RESERVED_DIVISOR;
        sum <= unreserved
            || (sum <= self.max_tasks
                && team_tasks.saturating_add(new_tasks) <= self.reserved_per_team())
    }
}
