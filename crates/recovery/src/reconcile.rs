//! What is on record, held against what a worker reports: one row for each difference that there can be.
//!
//! A record may list too many tasks, never too few (docs/safety.md); a report of this term lists all that is on
//! its machine. What follows from a row is done where reports are taken in; here it is named, so that a takeover
//! can tell what it met, and an odd start shows.

/// A task, as the record of a machine and its first report of this term have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskComparison {
    /// The attempt on record.
    pub recorded: Option<u64>,
    pub reported: Option<ReportedTask>,
    /// Its job is open: accepted, neither over nor cancelled.
    pub job_open: bool,
    /// It is done by the records.
    pub recorded_done: bool,
}

/// What a report says of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedTask {
    pub attempt: u64,
    pub state: ReportedState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// On the machine, in whatever way.
    Present,
    /// Ended as done.
    Done,
    /// Ended otherwise.
    Ended,
}

macro_rules! rows {
    ($($row:ident: $name:literal, $proves:literal, $done:literal;)*) => {
        /// A difference, or none. The order is that in which they are told.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ReconcileOutcome { $(
            #[doc = $proves]
            $row,
        )* }

        impl ReconcileOutcome {
            pub const ALL: &[ReconcileOutcome] = &[$(ReconcileOutcome::$row),*];

            /// As logs and metrics name it.
            pub fn name(self) -> &'static str {
                match self { $(ReconcileOutcome::$row => $name,)* }
            }

            /// What it proves.
            pub fn proves(self) -> &'static str {
                match self { $(ReconcileOutcome::$row => $proves,)* }
            }

            /// What is done.
            pub fn follows(self) -> &'static str {
                match self { $(ReconcileOutcome::$row => $done,)* }
            }
        }
    };
}

rows! {
    GoneOn: "gone on", "It runs where it is on record.", "It goes on.";
    DoneMeanwhile: "done meanwhile", "It was completed while nobody led.", "Kept as done, never started again.";
    EndedMeanwhile: "ended meanwhile", "It left its machine without being done.", "It waits again.";
    Absent: "absent", "It is not on its machine: never sent, or lost with a session.", "It waits again.";
    OtherAttempt: "other attempt", "A later start than the one on record, or an older one.", "The later one counts; both are on this machine only.";
    DoneTwice: "done, and there again", "It is done by the records and is on a machine: started again by a leader that could not read that.", "It counts until it has left, and is stopped.";
    NotOnRecord: "not on record", "A task of an open job that no list of this machine has.", "It counts while it is there, and is stopped.";
    JobOver: "of a job that is over", "Its job is over, cancelled or unknown.", "It is stopped; an end of it is forgotten.";
    MachineUnreported: "not heard", "Nothing: its machine has not reported.", "It counts as there until the machine's lease has surely run out.";
}

/// The row of a task of a machine that has reported under this term. None: nothing was there and nothing is.
pub fn reconcile(p: TaskComparison) -> Option<ReconcileOutcome> {
    let row = match (p.recorded, p.reported) {
        (None, None) => return None,
        (Some(_), None) => ReconcileOutcome::Absent,
        (_, Some(_)) if !p.job_open => ReconcileOutcome::JobOver,
        (_, Some(ReportedTask { state: ReportedState::Done, .. })) => {
            ReconcileOutcome::DoneMeanwhile
        }
        (None, Some(ReportedTask { state: ReportedState::Ended, .. })) => ReconcileOutcome::JobOver,
        (Some(_), Some(ReportedTask { state: ReportedState::Ended, .. })) => {
            ReconcileOutcome::EndedMeanwhile
        }
        (_, Some(ReportedTask { state: ReportedState::Present, .. })) if p.recorded_done => {
            ReconcileOutcome::DoneTwice
        }
        (None, Some(ReportedTask { state: ReportedState::Present, .. })) => {
            ReconcileOutcome::NotOnRecord
        }
        (Some(a), Some(r)) if a != r.attempt => ReconcileOutcome::OtherAttempt,
        (Some(_), Some(_)) => ReconcileOutcome::GoneOn,
    };
    Some(row)
}

/// How often each row was met.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OutcomeCounts([u64; ReconcileOutcome::ALL.len()]);

impl OutcomeCounts {
    pub fn add(&mut self, row: ReconcileOutcome, n: u64) {
        self.0[row as usize] += n;
    }

    pub fn of(&self, row: ReconcileOutcome) -> u64 {
        self.0[row as usize]
    }

    pub fn iter(&self) -> impl Iterator<Item = (ReconcileOutcome, u64)> + '_ {
        ReconcileOutcome::ALL.iter().map(|row| (*row, self.of(*row)))
    }

    /// In words, without what was not met.
    pub fn summary(&self) -> String {
        let met: Vec<String> =
            self.iter().filter(|(_, n)| *n > 0).map(|(r, n)| format!("{n} {}", r.name())).collect();
        if met.is_empty() { "nothing to square".into() } else { met.join(", ") }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_case_has_one_row_and_every_row_a_case() {
        let there = |attempt| Some(ReportedTask { attempt, state: ReportedState::Present });
        let done = Some(ReportedTask { attempt: 7, state: ReportedState::Done });
        let ended = Some(ReportedTask { attempt: 7, state: ReportedState::Ended });
        let open = |recorded, reported| TaskComparison {
            recorded,
            reported,
            job_open: true,
            recorded_done: false,
        };
        let over =
            |recorded, reported| TaskComparison { job_open: false, ..open(recorded, reported) };
        let again =
            |recorded, reported| TaskComparison { recorded_done: true, ..open(recorded, reported) };
        let rows = [
            (open(None, None), None),
            (open(Some(7), there(7)), Some(ReconcileOutcome::GoneOn)),
            (open(Some(7), done), Some(ReconcileOutcome::DoneMeanwhile)),
            (open(None, done), Some(ReconcileOutcome::DoneMeanwhile)),
            (open(Some(7), ended), Some(ReconcileOutcome::EndedMeanwhile)),
            (open(None, ended), Some(ReconcileOutcome::JobOver)),
            (open(Some(7), None), Some(ReconcileOutcome::Absent)),
            (over(Some(7), None), Some(ReconcileOutcome::Absent)),
            (open(Some(7), there(8)), Some(ReconcileOutcome::OtherAttempt)),
            (open(Some(8), there(7)), Some(ReconcileOutcome::OtherAttempt)),
            (again(Some(7), there(7)), Some(ReconcileOutcome::DoneTwice)),
            (again(None, there(7)), Some(ReconcileOutcome::DoneTwice)),
            (open(None, there(7)), Some(ReconcileOutcome::NotOnRecord)),
            (over(None, there(7)), Some(ReconcileOutcome::JobOver)),
            (over(Some(7), there(7)), Some(ReconcileOutcome::JobOver)),
            (over(Some(7), done), Some(ReconcileOutcome::JobOver)),
        ];
        for (pair, row) in rows {
            assert_eq!(reconcile(pair), row, "{pair:?}");
        }
        for row in
            ReconcileOutcome::ALL.iter().filter(|r| **r != ReconcileOutcome::MachineUnreported)
        {
            assert!(rows.iter().any(|(_, r)| *r == Some(*row)), "{row:?} is never met");
        }
    }

    #[test]
    fn counts_are_told_in_words_without_what_was_not_met() {
        let mut c = OutcomeCounts::default();
        assert_eq!(c.summary(), "nothing to square");
        c.add(ReconcileOutcome::GoneOn, 3);
        c.add(ReconcileOutcome::MachineUnreported, 1);
        c.add(ReconcileOutcome::GoneOn, 1);
        assert_eq!(
            (c.summary().as_str(), c.of(ReconcileOutcome::GoneOn)),
            ("4 gone on, 1 not heard", 4)
        );
    }
}
