//! Comparison of records with worker reports: one outcome for each difference that is possible.
//!
//! A record may list too many tasks, but never too few (docs/safety.md); a report of this term lists all
//! tasks on its machine. The code that processes reports acts on the outcome. This module classifies and
//! counts outcomes, so that a takeover can log what it found and an unusual start is visible.

/// A task according to the record of a machine and to the machine's first report in this term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskComparison {
    /// Attempt on record, if any.
    pub recorded: Option<u64>,
    /// Content of the report for this task, if any.
    pub reported: Option<ReportedTask>,
    /// Whether its job is open: accepted, neither finished nor cancelled.
    pub job_open: bool,
    /// Whether the records list it as done.
    pub recorded_done: bool,
}

/// A task as listed in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedTask {
    /// Attempt that the report names.
    pub attempt: u64,
    /// State that the report gives.
    pub state: ReportedState,
}

/// State of a task in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// On the machine, in any state before its end.
    Present,
    /// Completed successfully.
    Done,
    /// Ended without being done.
    Ended,
}

macro_rules! outcomes {
    ($($outcome:ident: $name:literal, $proves:literal, $action:literal;)*) => {
        /// Outcome of a comparison. Summaries list outcomes in the order of the variants.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ReconcileOutcome { $(
            #[doc = $proves]
            $outcome,
        )* }

        impl ReconcileOutcome {
            /// All outcomes, in the order of the variants.
            pub const ALL: &[ReconcileOutcome] = &[$(ReconcileOutcome::$outcome),*];

            /// Returns the name in logs and metrics.
            pub fn name(self) -> &'static str {
                match self { $(ReconcileOutcome::$outcome => $name,)* }
            }

            /// Returns a description of what the outcome proves.
            pub fn proves(self) -> &'static str {
                match self { $(ReconcileOutcome::$outcome => $proves,)* }
            }

            /// Returns a description of what the leader does about it.
            pub fn follows(self) -> &'static str {
                match self { $(ReconcileOutcome::$outcome => $action,)* }
            }
        }
    };
}

outcomes! {
    GoneOn: "gone on", "The task runs where it is recorded.", "It keeps running.";
    DoneMeanwhile: "done meanwhile", "The task completed while no controller led.", "It is recorded as done and never started again.";
    EndedMeanwhile: "ended meanwhile", "The task ended on its machine without being done.", "It is queued again.";
    Absent: "absent", "The task is not on its machine: it was never sent, or was lost with a worker session.", "It is queued again.";
    OtherAttempt: "other attempt", "The machine has a later attempt than the recorded one, or an earlier one.", "The later attempt counts; both are on this machine only.";
    DoneTwice: "done, and there again", "The task is recorded as done and is on a machine: a leader that could not read that record started it again.", "It is stopped, and counts until it has left the machine.";
    NotOnRecord: "not on record", "The task belongs to an open job, and no record of this machine lists it.", "It is stopped, and counts until it has left the machine.";
    JobOver: "of a job that is over", "The job of the task is finished, cancelled or unknown.", "The task is stopped; if it has ended, the worker is told to forget it.";
    MachineUnreported: "not heard", "Nothing, since the machine has not reported.", "The task counts as present until the machine's lease has certainly expired.";
}

/// Classifies a task of a machine that has reported in this term. Returns `None` if it is neither recorded
/// nor reported.
pub fn reconcile(comparison: TaskComparison) -> Option<ReconcileOutcome> {
    let outcome = match (comparison.recorded, comparison.reported) {
        (None, None) => return None,
        (Some(_), None) => ReconcileOutcome::Absent,
        (_, Some(_)) if !comparison.job_open => ReconcileOutcome::JobOver,
        (_, Some(ReportedTask { state: ReportedState::Done, .. })) => {
            ReconcileOutcome::DoneMeanwhile
        }
        (None, Some(ReportedTask { state: ReportedState::Ended, .. })) => ReconcileOutcome::JobOver,
        (Some(_), Some(ReportedTask { state: ReportedState::Ended, .. })) => {
            ReconcileOutcome::EndedMeanwhile
        }
        (_, Some(ReportedTask { state: ReportedState::Present, .. }))
            if comparison.recorded_done =>
        {
            ReconcileOutcome::DoneTwice
        }
        (None, Some(ReportedTask { state: ReportedState::Present, .. })) => {
            ReconcileOutcome::NotOnRecord
        }
        (Some(recorded), Some(reported)) if recorded != reported.attempt => {
            ReconcileOutcome::OtherAttempt
        }
        (Some(_), Some(_)) => ReconcileOutcome::GoneOn,
    };
    Some(outcome)
}

/// Number of tasks by outcome.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct OutcomeCounts([u64; ReconcileOutcome::ALL.len()]);

impl OutcomeCounts {
    /// Adds `n` tasks with the given outcome.
    pub fn add(&mut self, outcome: ReconcileOutcome, n: u64) {
        self.0[outcome as usize] += n;
    }

    /// Returns the number of tasks with the given outcome.
    pub fn get(&self, outcome: ReconcileOutcome) -> u64 {
        self.0[outcome as usize]
    }

    /// Returns all outcomes with their counts, zero counts included.
    pub fn iter(&self) -> impl Iterator<Item = (ReconcileOutcome, u64)> + '_ {
        ReconcileOutcome::ALL.iter().map(|outcome| (*outcome, self.get(*outcome)))
    }

    /// Returns the nonzero counts as text for the log.
    pub fn summary(&self) -> String {
        let counts: Vec<String> = self
            .iter()
            .filter(|(_, n)| *n > 0)
            .map(|(outcome, n)| format!("{n} {}", outcome.name()))
            .collect();
        if counts.is_empty() { "nothing to reconcile".into() } else { counts.join(", ") }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_case_has_one_outcome_and_every_outcome_a_case() {
        let present = |attempt| Some(ReportedTask { attempt, state: ReportedState::Present });
        let done = Some(ReportedTask { attempt: 7, state: ReportedState::Done });
        let ended = Some(ReportedTask { attempt: 7, state: ReportedState::Ended });
        let open = |recorded, reported| TaskComparison {
            recorded,
            reported,
            job_open: true,
            recorded_done: false,
        };
        let job_over =
            |recorded, reported| TaskComparison { job_open: false, ..open(recorded, reported) };
        let recorded_done =
            |recorded, reported| TaskComparison { recorded_done: true, ..open(recorded, reported) };
        let cases = [
            (open(None, None), None),
            (open(Some(7), present(7)), Some(ReconcileOutcome::GoneOn)),
            (open(Some(7), done), Some(ReconcileOutcome::DoneMeanwhile)),
            (open(None, done), Some(ReconcileOutcome::DoneMeanwhile)),
            (open(Some(7), ended), Some(ReconcileOutcome::EndedMeanwhile)),
            (open(None, ended), Some(ReconcileOutcome::JobOver)),
            (open(Some(7), None), Some(ReconcileOutcome::Absent)),
            (job_over(Some(7), None), Some(ReconcileOutcome::Absent)),
            (open(Some(7), present(8)), Some(ReconcileOutcome::OtherAttempt)),
            (open(Some(8), present(7)), Some(ReconcileOutcome::OtherAttempt)),
            (recorded_done(Some(7), present(7)), Some(ReconcileOutcome::DoneTwice)),
            (recorded_done(None, present(7)), Some(ReconcileOutcome::DoneTwice)),
            (open(None, present(7)), Some(ReconcileOutcome::NotOnRecord)),
            (job_over(None, present(7)), Some(ReconcileOutcome::JobOver)),
            (job_over(Some(7), present(7)), Some(ReconcileOutcome::JobOver)),
            (job_over(Some(7), done), Some(ReconcileOutcome::JobOver)),
        ];
        for (comparison, expected) in cases {
            assert_eq!(reconcile(comparison), expected, "{comparison:?}");
        }
        for outcome in
            ReconcileOutcome::ALL.iter().filter(|r| **r != ReconcileOutcome::MachineUnreported)
        {
            assert!(cases.iter().any(|(_, r)| *r == Some(*outcome)), "{outcome:?} is not covered");
        }
    }

    #[test]
    fn summary_lists_only_nonzero_counts() {
        let mut counts = OutcomeCounts::default();
        assert_eq!(counts.summary(), "nothing to reconcile");
        counts.add(ReconcileOutcome::GoneOn, 3);
        counts.add(ReconcileOutcome::MachineUnreported, 1);
        counts.add(ReconcileOutcome::GoneOn, 1);
        assert_eq!(
            (counts.summary().as_str(), counts.get(ReconcileOutcome::GoneOn)),
            ("4 gone on, 1 not heard", 4)
        );
    }
}
