//! Carrying on what is recorded: who may start, who is cancelled with whom, priority and urgency.

use crate::state::cell::Cell;
use crate::state::job::{Wait, span_ms};
use crate::state::ledger::Key;
use crate::state::names::*;
use crate::state::served;
use copperhaven_wire::jobs::Priority;

/// Steps at a time, so that fans and chains of thousands never hold the leader up.
pub(super) const STEPS: usize = 1000;

/// With fewer records to be written, ends that follow from others are recorded, too.
pub(super) const CALM: usize = 16;

impl Cell {
    /// Carries what is recorded on to the jobs that wait, so many steps at a time.
    pub fn follow(&mut self, now: u64) {
        while self.ledger.unwritten() < CALM
            && let Some(id) = self.links.endings.pop_front()
        {
            self.settle(id);
        }
        let mut steps = STEPS;
        while steps > 0
            && let Some((uid, done)) = self.links.decided.front().cloned()
        {
            let mut after = self.links.needed.remove(&uid).unwrap_or_default();
            while steps > 0
                && let Some(id) = after.pop()
            {
                steps -= 1;
                let Some(job) = self.jobs.get_mut(&id).filter(|j| j.open()) else { continue };
                if !done {
                    self.cancel_with(id);
                } else if job.awaits.remove(&uid) && job.awaits.is_empty() {
                    self.let_start(id, now);
                }
            }
            if after.is_empty() {
                self.links.decided.pop_front();
            } else {
                self.links.needed.insert(uid, after);
            }
        }
        while steps > 0
            && let Some((uid, precedence, due)) = self.links.raise.pop_front()
        {
            steps -= 1;
            let Some(id) = self.jobs.id(&uid) else { continue };
            let Some(job) = self.jobs.get(&id).filter(|j| j.open()) else { continue };
            let precedence = precedence.min(job.spec.precedence);
            let due = [due, job.due].into_iter().flatten().min();
            self.set_standing(id, precedence, due);
        }
        while steps > 0
            && let Some(uid) = self.links.review.pop_first()
        {
            let Some(id) = self.jobs.id(&uid) else { continue };
            let Some(job) = self.jobs.get(&id).filter(|j| j.open()) else { continue };
            let mut precedence = job.body.priority;
            let own = job.spec.deadline_s.map(|s| job.born + span_ms(s));
            let mut due = own;
            let after = self.links.needed.get(&uid).map_or(&[][..], |a| a);
            for next in after.iter().filter_map(|n| Some((*n, self.jobs.get(n)?))) {
                if next.1.open() {
                    precedence = precedence.min(next.1.spec.precedence);
                    let latest = next.1.due.map(|d| d - self.run_ms(next.0));
                    due = [due, latest].into_iter().flatten().min();
                }
            }
            steps = steps.saturating_sub(1 + after.len());
            self.set_standing(id, precedence, due);
        }
    }

    /// How this job ended, or whether it is cancelled, can't be read. Nothing is told of those that
    /// need it, directly or through others: an earlier leader may have called them cancelled.
    pub fn doubt(&mut self, uid: &str) {
        let mut next: Vec<JobId> = self.links.needed.get(uid).cloned().unwrap_or_default();
        while let Some(id) = next.pop() {
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.open() && !j.doubt) else {
                continue;
            };
            job.doubt = true;
            let uid = job.spec.uid.clone();
            next.extend(self.links.needed.get(&uid).into_iter().flatten());
        }
    }

    /// A job's priority and urgency, its own or from those that need it; what changes goes on to
    /// the jobs that it needs.
    fn set_standing(&mut self, id: JobId, precedence: Priority, due: Option<i64>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if (job.spec.precedence, job.due) == (precedence, due) {
            return;
        }
        let (lower, later) = (
            precedence > job.spec.precedence,
            job.due.is_some_and(|was| due.is_none_or(|d| d > was)),
        );
        self.set_precedence(id, precedence);
        let before = due.map(|d| d - self.run_ms(id));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.due = due;
        self.stir = true;
        for uid in &job.awaits {
            if lower || later {
                self.links.review.insert(uid.clone());
            } else {
                self.links.raise.push_back((uid.clone(), precedence, before));
            }
        }
    }

    /// All that it needs is recorded as done: it is one like others from here on. Its record says
    /// so before anything of it starts, so that an older version knows it, too.
    fn let_start(&mut self, id: JobId, now: u64) {
        let ver = self.touch(Key::Job(id));
        let run = self.run_ms(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.since = now as i64;
        job.turn_at = (job.at as i64 + now as i64 - job.born).max(0) as u64;
        job.eta = now as i64 + run;
        job.start_ver = ver;
        job.wait = Wait::Recording;
        let (spec, turn) = (job.spec.clone(), (job.turn_at, id));
        if let Ok(routed) = self.admit(&spec, now)
            && let Some(job) = self.jobs.get_mut(&id)
        {
            job.routed = routed;
        }
        self.queue.insert(turn);
        self.open_service(id);
        self.stir = true;
        tracing::debug!("nothing is missing any more for {}", spec.uid);
    }

    /// Cancelled with a job that it needs. That one's record and its own links say so already; its
    /// own end is recorded when there is time.
    fn cancel_with(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancel_ver = Some(0);
        job.derived = true;
        job.waiting.clear();
        let (turn, uid) = ((job.turn_at, id), job.spec.uid.clone());
        self.service.job_cancelled(served::key(id), served::pair(&job.spec));
        self.links.reconsider(job);
        self.queue.remove(&turn);
        self.links.decide(uid, false);
        self.links.endings.push_back(id);
    }
}
