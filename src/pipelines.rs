//! Pipelines: jobs that wait until others are done. Who may start, and who is cancelled with whom,
//! follows from what is recorded: the links in a waiting job's record and the final records of
//! those that it names. Priority and urgency flow from the last job back to those before it.

use crate::cell::{Cell, Key};
use crate::jobs::{HeldBy, Job, JobBody, Precedence, Shape, Shown, Wait};
use crate::names::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// Steps at a time, so that fans and chains of thousands never hold the leader up.
const STEPS: usize = 1000;
/// What an id takes in a record at most, and a part's frame.
const ID_BYTES: usize = 28;
const FRAME_BYTES: usize = 24;
/// So many of the jobs that one waits for are told to whoever asks, or looked at for them.
const TOLD: usize = 20;

/// Which job waits for which.
#[derive(Debug, Default)]
pub struct Links {
    /// The jobs that need a job, by its id.
    needed: BTreeMap<Arc<str>, Vec<JobId>>,
    /// Jobs of which it is recorded that they are done, or else cancelled, while those that need
    /// them have not been told yet.
    decided: VecDeque<(Arc<str>, bool)>,
    /// Jobs that are waited for and not open: how they ended has to be read after a takeover.
    unread: BTreeSet<Arc<str>>,
    /// Jobs that get at least this priority and urgency.
    raise: VecDeque<(Arc<str>, Precedence, Option<i64>)>,
    /// Jobs whose priority and urgency has to be worked out anew: one that needed them is no more.
    review: BTreeSet<Arc<str>>,
    /// What is listed in records of its own.
    parts: BTreeMap<(Arc<str>, u32), Vec<Arc<str>>>,
}

impl Links {
    /// Has everything that is recorded reached the jobs that wait?
    pub fn settled(&self) -> bool {
        self.decided.is_empty() && self.unread.is_empty()
    }

    pub fn decide(&mut self, uid: Arc<str>, done: bool) {
        if self.needed.contains_key(&uid) {
            self.decided.push_back((uid, done));
        }
    }

    /// Up to `n` jobs whose end has to be read.
    pub fn unread(&self, n: usize) -> Vec<Arc<str>> {
        self.unread.iter().take(n).cloned().collect()
    }

    /// A job's end was read; without one it is open under other settings, and waited for.
    pub fn read(&mut self, uid: &str, done: Option<bool>) {
        if let Some(uid) = self.unread.take(uid)
            && let Some(done) = done
        {
            self.decide(uid, done);
        }
    }

    /// This job needs nobody any more.
    pub fn reconsider(&mut self, job: &Job) {
        self.review.extend(job.awaits.iter().cloned());
    }

    pub fn forget(&mut self, uid: &str) {
        self.parts.retain(|(job, _), _| &**job != uid);
    }

    pub fn part(&self, uid: &Arc<str>, part: u32) -> Option<&Vec<Arc<str>>> {
        self.parts.get(&(uid.clone(), part))
    }

    /// What a waiting job's own record lists.
    pub fn inline<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = &'a Arc<str>> {
        let parts = (0..job.parts).filter_map(|p| self.part(&job.spec.uid, p)).flatten();
        let elsewhere: BTreeSet<&Arc<str>> = parts.collect();
        job.awaits.iter().filter(move |uid| !elsewhere.contains(uid))
    }

    pub fn waiting_for(&self, uid: &str) -> usize {
        self.needed.get(uid).map_or(0, Vec::len)
    }
}

/// What is known of a job that a submission names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Named {
    Open,
    Done,
    Cancelled,
    Service,
    /// Being recorded: its user has not been told that it is accepted.
    Unrecorded,
    /// Neither open nor among the last that ended: the records have to be asked.
    Unknown,
    /// Surely never accepted.
    Never,
}

/// What a job that is to wait comes to.
#[derive(Debug, PartialEq, Eq)]
pub enum Awaits {
    /// Waits for these; none: nothing is missing.
    Open(Vec<Arc<str>>),
    /// One of them is cancelled, and so is it.
    Cancelled,
    /// The records have to be asked about these.
    Ask(Vec<String>),
    /// One of them is just being recorded.
    Later,
    Never(String),
    Service(String),
}

impl Cell {
    fn named(&self, uid: &str) -> Named {
        let Some((id, job)) = self.job(uid) else {
            return match self.finals.get(uid) {
                Some(f) if f.done => Named::Done,
                Some(_) => Named::Cancelled,
                None => Named::Unknown,
            };
        };
        let saved = |v: Option<u64>| v.is_some_and(|v| self.is_saved(&Key::Job(id), v));
        match () {
            () if !self.accepted(id, job) => Named::Unrecorded,
            () if job.spec.shape == Shape::Service => Named::Service,
            () if saved(job.cancel_ver) => Named::Cancelled,
            () if job.cancelled() => Named::Open,
            () if saved(job.final_ver) => Named::Done,
            () => Named::Open,
        }
    }

    /// What becomes of a job that names these; `read` is what the records said of some.
    pub fn look_at_awaits(&self, uids: &[String], read: &HashMap<String, Named>) -> Awaits {
        let (mut open, mut ask, mut cancelled, mut later) = (vec![], vec![], false, false);
        for uid in uids {
            let known = match self.named(uid) {
                Named::Unknown => read.get(uid).copied().unwrap_or(Named::Unknown),
                known => known,
            };
            match known {
                Named::Open => open.push(Arc::from(uid.as_str())),
                Named::Done => {}
                Named::Cancelled => cancelled = true,
                Named::Service => return Awaits::Service(uid.clone()),
                Named::Unrecorded => later = true,
                Named::Unknown => ask.push(uid.clone()),
                Named::Never => return Awaits::Never(uid.clone()),
            }
        }
        match () {
            () if !ask.is_empty() => Awaits::Ask(ask),
            () if later => Awaits::Later,
            () if cancelled => Awaits::Cancelled,
            () => Awaits::Open(open),
        }
    }

    /// How long the last of these jobs is expected to take yet, in seconds.
    pub fn expected_wait(&self, on: &[Arc<str>], now: u64) -> f64 {
        let eta = on.iter().filter_map(|uid| self.job(uid)).map(|(_, j)| j.eta).max();
        eta.map_or(0.0, |eta| (eta - now as i64).max(0) as f64 / 1000.0)
    }

    /// Splits what a new job waits for over its own record and records of their own, so that each
    /// fits into a value.
    pub fn split_links(&mut self, id: JobId, body: &JobBody, on: &[Arc<str>]) {
        let room = self.value_limit.saturating_sub(self.empty_record_bytes(body));
        let rest = on.get(room / ID_BYTES..).unwrap_or(&[]);
        let each = ((self.value_limit - FRAME_BYTES) / ID_BYTES).max(1);
        let Some(uid) = self.jobs.get(&id).map(|j| j.spec.uid.clone()) else { return };
        let mut parts = 0;
        for (part, list) in (0u32..).zip(rest.chunks(each)) {
            // Left over from a submission that was never accepted.
            self.dirty.remove(&Key::Drop(format!("a/{uid}/{part}")));
            self.links.parts.insert((uid.clone(), part), list.to_vec());
            self.touch(Key::Links(id, part));
            parts = part + 1;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.parts = parts;
        }
    }

    /// Makes a job wait for others: it is in no queue, and uses nothing.
    pub fn park(&mut self, id: JobId, on: Vec<Arc<str>>, now: u64) {
        let wait = (self.expected_wait(&on, now) * 1000.0) as i64;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let turn = (job.turn_at, id);
        job.eta += (now as i64 - job.born) + wait;
        job.awaits = on.into_iter().collect();
        job.routed.iter_mut().for_each(|r| *r = 0);
        job.wait = Wait::Others;
        let (awaits, spec, due) = (job.awaits.clone(), job.spec.clone(), job.due);
        self.order.remove(&turn);
        let due = due.map(|d| d - self.run_ms(id));
        for uid in awaits {
            self.links.needed.entry(uid.clone()).or_default().push(id);
            match self.job(&uid) {
                None => {
                    self.links.unread.insert(uid.clone());
                }
                Some((_, job)) if job.cancelled() && self.named(&uid) == Named::Cancelled => {
                    self.links.decide(uid.clone(), false);
                }
                Some(_) => self.links.raise.push_back((uid, spec.precedence, due)),
            }
        }
    }

    /// Cancels a job that names a cancelled one when it is submitted.
    pub fn accept_cancelled(&mut self, id: JobId, now: u64) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.derived = true;
        }
        self.cancel(id, now);
    }

    fn run_ms(&self, id: JobId) -> i64 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let spec = &job.spec;
        (self.rates.run_s(usize::MAX, spec.class, spec.estimate_s) * 1000.0) as i64
    }

    /// Carries what is recorded on to the jobs that wait, so many steps at a time.
    pub fn follow(&mut self, now: u64) {
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
            let Some(id) = self.by_uid.get(&uid).copied() else { continue };
            let Some(job) = self.jobs.get(&id).filter(|j| j.open()) else { continue };
            let precedence = precedence.min(job.spec.precedence);
            let due = [due, job.due].into_iter().flatten().min();
            self.set_standing(id, precedence, due);
        }
        while steps > 0
            && let Some(uid) = self.links.review.pop_first()
        {
            let Some(id) = self.by_uid.get(&uid).copied() else { continue };
            let Some(job) = self.jobs.get(&id).filter(|j| j.open()) else { continue };
            let mut precedence = job.body.precedence;
            let own = job.spec.deadline_s.map(|s| job.born + (s * 1000.0) as i64);
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

    /// A job's priority and urgency, its own or from those that need it; what changes goes on to
    /// the jobs that it needs.
    fn set_standing(&mut self, id: JobId, precedence: Precedence, due: Option<i64>) {
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
        self.order.insert(turn);
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
        self.links.reconsider(job);
        self.order.remove(&turn);
        self.links.decide(uid, false);
        self.settle(id);
    }

    /// Tells for which jobs a waiting one waits, and which step holds it back.
    pub fn show_waiting(&self, job: &Job, shown: &mut Shown) {
        shown.awaits = job.awaits.iter().take(TOLD).map(ToString::to_string).collect();
        shown.awaits_count = job.awaits.len() as u64;
        let mut at = job;
        for _ in 0..STEPS {
            let open = at.awaits.iter().take(TOLD).filter_map(|uid| self.job(uid));
            let Some((id, next)) = open.max_by_key(|(_, j)| j.eta) else { return };
            at = next;
            if at.awaits.is_empty() {
                let why = self.why_waiting(id, at).text();
                shown.held_by = Some(HeldBy {
                    uid: at.spec.uid.to_string(),
                    lot: at.body.lot.clone(),
                    status: if at.running > 0 { "running" } else { "queued" }.into(),
                    why: (!why.is_empty()).then(|| why.to_string()),
                });
                return;
            }
        }
    }
}
