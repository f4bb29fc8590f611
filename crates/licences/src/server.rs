//! What others hold, by the word of a licence server: when to ask, and how far an answer can be trusted as it
//! ages. Asking itself is the caller's; times are its steady clock's, in milliseconds.

use crate::declare::ServerPart;

/// Back-off grows to so many times the usual pause.
const MOST_PAUSE: u32 = 8;

#[derive(Debug)]
pub struct Server {
    every_ms: u64,
    stop_ms: u64,
    margin: u32,
    /// When the last answer was asked for, and what it said.
    last: Option<(u64, u32)>,
    /// A question that is under way, since when.
    asked: Option<u64>,
    failures: u32,
    next_at: u64,
}

/// How many others hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Others {
    /// At most so many, as far as one can know.
    Hold(u32),
    /// Not known (any more): nothing may start.
    Unknown,
}

impl Others {
    /// As `room::Room` takes it.
    pub fn known(self) -> Option<u32> {
        match self {
            Others::Hold(n) => Some(n),
            Others::Unknown => None,
        }
    }
}

fn ms(s: f64) -> u64 {
    (s * 1000.0).clamp(1.0, 1e9) as u64
}

impl Server {
    pub fn new(part: &ServerPart) -> Server {
        let (every_ms, stop_ms) = (ms(part.every_s), ms(part.stop_s));
        let (margin, last, asked) = (part.margin, None, None);
        Server { every_ms, stop_ms, margin, last, asked, failures: 0, next_at: 0 }
    }

    /// Should it be asked now? One question at a time.
    pub fn due(&self, now: u64) -> bool {
        self.asked.is_none() && now >= self.next_at
    }

    pub fn sent(&mut self, now: u64) {
        self.asked = Some(now);
    }

    /// It answered. The answer is as old as the question: what others took since may be missing in it.
    pub fn answered(&mut self, others: u32) {
        let Some(sent) = self.asked.take() else { return };
        self.last = Some((sent, others));
        self.failures = 0;
        self.next_at = sent + self.every_ms;
    }

    /// No answer, or none that makes sense: asked again after a pause that doubles; `luck`, from 0 to 1, spreads
    /// controllers that ask the same server.
    pub fn failed(&mut self, now: u64, luck: f64) {
        self.asked = None;
        let pause = self.every_ms * u64::from((1u32 << self.failures.min(10)).min(MOST_PAUSE));
        self.failures = self.failures.saturating_add(1);
        // Never so late that a server which is back is heard only after the stop.
        let pause = pause.min((self.stop_ms / 2).max(self.every_ms));
        let spread = (pause as f64 * 0.5 * luck.clamp(0.0, 1.0)) as u64;
        self.next_at = now + pause / 2 + spread;
    }

    /// How many others hold now, as far as the last answer tells: as it said while it is fresh, with the margin
    /// added while answers are missing, and unknown from `stop_s` on.
    pub fn others(&self, now: u64) -> Others {
        let Some((at, others)) = self.last else { return Others::Unknown };
        match now.saturating_sub(at) {
            age if age >= self.stop_ms => Others::Unknown,
            age if age > 2 * self.every_ms => Others::Hold(others.saturating_add(self.margin)),
            _ => Others::Hold(others),
        }
    }

    /// When nothing more will start unless an answer comes.
    pub fn stops_at(&self) -> Option<u64> {
        self.last.map(|(at, _)| at + self.stop_ms)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server() -> Server {
        let address = "127.0.0.1:9".into();
        Server::new(&ServerPart { address, every_s: 2.0, margin: 3, stop_s: 20.0 })
    }

    #[test]
    fn an_answer_ages_from_the_moment_it_was_asked_for() {
        let mut s = server();
        assert_eq!(s.others(0), Others::Unknown, "nobody has said anything yet");
        s.sent(1000);
        assert!(!s.due(5000), "one question at a time");
        s.answered(4);
        for (now, others) in [
            (1000, Others::Hold(4)),
            (5000, Others::Hold(4)),
            (5001, Others::Hold(7)),
            (20_999, Others::Hold(7)),
            (21_000, Others::Unknown),
        ] {
            assert_eq!(s.others(now), others, "{now}");
        }
        assert_eq!((s.stops_at(), s.others(500).known()), (Some(21_000), Some(4)));
        assert!(!s.due(2999) && s.due(3000));
        // An answer that nobody waits for any more says nothing.
        s.answered(0);
        assert_eq!(s.others(1500), Others::Hold(4));
    }

    #[test]
    fn pauses_double_up_to_a_bound_and_an_answer_ends_them() {
        for luck in [0.0, 0.5, 1.0, 7.0] {
            let mut s = server();
            let mut pauses = vec![];
            for n in 0..8u64 {
                let now = n * 100_000;
                s.sent(now);
                s.failed(now, luck);
                let until = (0..20_000).step_by(500).find(|ms| s.due(now + ms)).expect("in time");
                pauses.push(until);
            }
            assert!(pauses.is_sorted() && pauses[0] >= 1000 && pauses[0] <= 2000, "{pauses:?}");
            // Half of the stop: a server that is back is heard before nothing more starts.
            assert!(pauses[7] >= 5000 && pauses[7] <= 10_000, "{pauses:?}");
            s.sent(900_000);
            s.answered(1);
            assert!(s.due(902_000) && !s.due(901_999));
        }
    }
}
