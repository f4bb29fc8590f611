//! What is on record, held against what a worker reports: one row for each difference that there can be.
//!
//! A record may list too many tasks, never too few (docs/safety.md); a report of this term lists all that is on
//! its machine. What follows from a row is done where reports are taken in; here it is named, so that a takeover
//! can tell what it met, and an odd start shows.

/// A task, as the record of a machine and its first report of this term have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pair {
    /// The attempt on record.
    pub recorded: Option<u64>,
    pub reported: Option<Reported>,
    /// Its job is open: accepted, neither over nor cancelled.
    pub open: bool,
    /// It is done by the records.
    pub done: bool,
}

/// What a report says of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reported {
    pub attempt: u64,
    pub state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// On the machine, in whatever way.
    There,
    /// Ended as done.
    Done,
    /// Ended otherwise.
    Ended,
}

macro_rules! rows {
    ($($row:ident: $name:literal, $proves:literal, $done:literal;)*) => {
        /// A difference, or none. The order is that in which they are told.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Row { $(
            #[doc = $proves]
            $row,
        )* }

        impl Row {
            pub const ALL: &[Row] = &[$(Row::$row),*];

            /// As logs and metrics name it.
            pub fn name(self) -> &'static str {
                match self { $(Row::$row => $name,)* }
            }

            /// What it proves.
            pub fn proves(self) -> &'static str {
                match self { $(Row::$row => $proves,)* }
            }

            /// What is done.
            pub fn follows(self) -> &'static str {
                match self { $(Row::$row => $done,)* }
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
    Unheard: "not heard", "Nothing: its machine has not reported.", "It counts as there until the machine's lease has surely run out.";
}

/// The row of a task of a machine that has reported under this term. None: nothing was there and nothing is.
pub fn square(p: Pair) -> Option<Row> {
    let row = match (p.recorded, p.reported) {
        (None, None) => return None,
        (Some(_), None) => Row::Absent,
        (_, Some(_)) if !p.open => Row::JobOver,
        (_, Some(Reported { state: State::Done, .. })) => Row::DoneMeanwhile,
        (None, Some(Reported { state: State::Ended, .. })) => Row::JobOver,
        (Some(_), Some(Reported { state: State::Ended, .. })) => Row::EndedMeanwhile,
        (_, Some(Reported { state: State::There, .. })) if p.done => Row::DoneTwice,
        (None, Some(Reported { state: State::There, .. })) => Row::NotOnRecord,
        (Some(a), Some(r)) if a != r.attempt => Row::OtherAttempt,
        (Some(_), Some(_)) => Row::GoneOn,
    };
    Some(row)
}

/// How often each row was met.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Counts([u64; Row::ALL.len()]);

impl Counts {
    pub fn add(&mut self, row: Row, n: u64) {
        self.0[row as usize] += n;
    }

    pub fn of(&self, row: Row) -> u64 {
        self.0[row as usize]
    }

    pub fn iter(&self) -> impl Iterator<Item = (Row, u64)> + '_ {
        Row::ALL.iter().map(|row| (*row, self.of(*row)))
    }

    /// In words, without what was not met.
    pub fn words(&self) -> String {
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
        let there = |attempt| Some(Reported { attempt, state: State::There });
        let done = Some(Reported { attempt: 7, state: State::Done });
        let ended = Some(Reported { attempt: 7, state: State::Ended });
        let open = |recorded, reported| Pair { recorded, reported, open: true, done: false };
        let over = |recorded, reported| Pair { open: false, ..open(recorded, reported) };
        let again = |recorded, reported| Pair { done: true, ..open(recorded, reported) };
        let rows = [
            (open(None, None), None),
            (open(Some(7), there(7)), Some(Row::GoneOn)),
            (open(Some(7), done), Some(Row::DoneMeanwhile)),
            (open(None, done), Some(Row::DoneMeanwhile)),
            (open(Some(7), ended), Some(Row::EndedMeanwhile)),
            (open(None, ended), Some(Row::JobOver)),
            (open(Some(7), None), Some(Row::Absent)),
            (over(Some(7), None), Some(Row::Absent)),
            (open(Some(7), there(8)), Some(Row::OtherAttempt)),
            (open(Some(8), there(7)), Some(Row::OtherAttempt)),
            (again(Some(7), there(7)), Some(Row::DoneTwice)),
            (again(None, there(7)), Some(Row::DoneTwice)),
            (open(None, there(7)), Some(Row::NotOnRecord)),
            (over(None, there(7)), Some(Row::JobOver)),
            (over(Some(7), there(7)), Some(Row::JobOver)),
            (over(Some(7), done), Some(Row::JobOver)),
        ];
        for (pair, row) in rows {
            assert_eq!(square(pair), row, "{pair:?}");
        }
        for row in Row::ALL.iter().filter(|r| **r != Row::Unheard) {
            assert!(rows.iter().any(|(_, r)| *r == Some(*row)), "{row:?} is never met");
        }
    }

    #[test]
    fn counts_are_told_in_words_without_what_was_not_met() {
        let mut c = Counts::default();
        assert_eq!(c.words(), "nothing to square");
        c.add(Row::GoneOn, 3);
        c.add(Row::Unheard, 1);
        c.add(Row::GoneOn, 1);
        assert_eq!((c.words().as_str(), c.of(Row::GoneOn)), ("4 gone on, 1 not heard", 4));
    }
}
