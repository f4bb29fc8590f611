//! Leaders that are elected, lead, and answer; and the network between all.

use crate::world::*;
use copperhaven_core::records::{Change, Condition, Record};
use copperhaven_core::settings::NextLimits;
use copperhaven_core::state::leader_state::LeaderState;
use copperhaven_core::state::names::Names;
use copperhaven_core::takeover::{Records, rebuild};
use copperhaven_core::workers::reports::ReportOutcome;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl World {
    pub fn elect(&mut self) {
        self.term += 1;
        self.rev += 1;
        let ttl = self.settings.tuning.leader_lease_ms;
        self.key = Some((self.term, self.rev, self.now + ttl));
        let mut names = Names::new(&self.settings);
        let flavors = flavors(&mut names);
        let leader = Condition { path: "c/leader".into(), revision: self.rev };
        let (term, now) = (self.term, self.now);
        // The version before doesn't know what is announced.
        let mut settings = (*self.settings).clone();
        if now + NEW >= self.falls {
            settings.deployment.state.next = Some(NextLimits::default());
        }
        // Half of the leaders ask workers for reports when starts wait.
        let hurry = term % 2 == 0;
        let mut cell = LeaderState::new(Arc::new(settings), term, leader, now, names, flavors);
        let mut read = Records::default();
        for (path, (record, stamp)) in &self.store {
            if self.spoiled.contains_key(path) {
                read.unreadable.push((path.clone(), *stamp));
                continue;
            }
            match record.clone() {
                Record::Job(x) => read.jobs.push((path.clone(), *x, *stamp)),
                Record::Done(x) => read.done.push((path.clone(), x, *stamp)),
                Record::Machine(x) => read.machines.push((path.clone(), x, *stamp)),
                Record::Pack(x) => read.packs.push((path.clone(), x, *stamp)),
                Record::Rental(x) => read.rentals.push((path.clone(), x, *stamp)),
                Record::Service(x) => read.service.push((path.clone(), x, *stamp)),
                Record::Links(x) => read.dependency_lists.push((path.clone(), x, *stamp)),
                _ => {}
            }
        }
        let bad: BTreeSet<String> = read.unreadable.iter().map(|(path, _)| path.clone()).collect();
        self.found += bad.len();
        if now + NEW >= self.falls {
            cell.write_queue.value_limit = LOW;
        }
        cell.request_early_reports = hurry;
        read.packs_enabled = self.packs.contains(&term);
        rebuild(&mut cell, read, now, now);
        let mut cut: BTreeSet<usize> =
            (0..self.workers.len()).filter(|_| self.rng.random_bool(0.15)).collect();
        // An earlier leader that only lost the store keeps some workers to itself, which don't hear of this one.
        if let Some(old) = self.leaders.last().map(|l| l.term)
            && self.parts
            && self.loyal.is_empty()
        {
            for i in 0..self.workers.len() {
                if self.chance(0.8) {
                    self.loyal.insert(i, old);
                }
            }
        }
        cut.extend(self.loyal.keys());
        self.leaders.push(Leader {
            term,
            cell,
            renewed: now,
            store: true,
            cut,
            mute: BTreeSet::new(),
            still_until: 0,
            writing: false,
            waiting: vec![],
            bad,
        });
    }

    pub fn lead(&self, l: &Leader) -> bool {
        self.now < l.renewed + self.settings.tuning.leader_lease_ms
    }

    pub fn run_leaders(&mut self) {
        let now = self.now;
        let holding = self.settings.renewal_grace_ms();
        let ttl = self.settings.tuning.leader_lease_ms;
        if self.key.is_some_and(|(_, _, until)| now > until) {
            self.key = None;
        }
        for k in 0..self.leaders.len() {
            if self.leaders[k].store && now >= self.leaders[k].still_until {
                match &mut self.key {
                    Some((term, _, until)) if *term == self.leaders[k].term => {
                        *until = now + ttl;
                        self.leaders[k].renewed = now;
                    }
                    // Its lease is gone: it learns so at once.
                    _ => self.leaders[k].renewed = 0,
                }
            }
        }
        let ends = |l: &Leader| now > l.renewed + holding || l.renewed == 0;
        self.leaders.retain(|l| now < l.still_until || !ends(l));
        let live: BTreeSet<u64> = self.leaders.iter().map(|l| l.term).collect();
        let before = self.loyal.len();
        self.loyal.retain(|_, term| live.contains(term));
        if before > 0 && self.loyal.is_empty() {
            self.leaders.iter_mut().for_each(|l| l.cut.clear());
        }
        if self.key.is_none() && self.chance(0.3) {
            self.elect();
        }
        for k in 0..self.leaders.len() {
            if now < self.leaders[k].still_until {
                continue;
            }
            let lead = self.lead(&self.leaders[k]);
            let l = &mut self.leaders[k];
            l.cell.expire_leases(now);
            self.deaf +=
                l.cell.machines.values().filter(|m| m.response_tracker.is_unresponsive()).count();
            l.cell.migrate_machines_to_packs(1);
            l.cell.placement_pending = true;
            if lead {
                l.cell.run_placement_pass(now);
            }
            let direct = std::mem::take(&mut l.cell.direct_requests);
            let (term, cut) = (l.term, l.cut.clone());
            l.cell.propagate_dependencies(now);
            if now.is_multiple_of(2000) {
                l.cell.record_fairness();
            }
            let ops = if l.cell.write_queue.value_limit == LOW { 5 } else { 16 };
            let batch = (l.store && !l.writing).then(|| l.cell.next_batch(ops)).flatten();
            let ask = if l.store { l.cell.dependencies.next_unread_outcomes(2) } else { vec![] };
            for d in direct {
                let i: usize = d.addr.parse().expect("address");
                if !cut.contains(&i) && !self.chance(0.1) {
                    self.send(k, i, Msg::Command(i, term, d.session, d.orders));
                }
            }
            for uid in ask {
                let end = match self.store.get(&format!("f/{uid}")) {
                    Some((Record::Final(f), _)) => Some(f.done),
                    _ => None,
                };
                if self.chance(0.3) {
                    self.post(Msg::End(term, uid.to_string(), end));
                }
            }
            if let Some(batch) = batch {
                self.leaders[k].writing = true;
                let lost = self.chance(0.05);
                if lost {
                    // No answer: perhaps never executed, perhaps much later.
                    self.leaders[k].writing = false;
                }
                if !lost || self.chance(0.5) {
                    self.post(Msg::Commit(term, batch, lost));
                }
            }
            self.answer(k);
            self.tell(k);
        }
    }

    /// Sends the responses whose orders are safe.
    pub fn answer(&mut self, k: usize) {
        let lead = self.lead(&self.leaders[k]);
        let now = self.now;
        let l = &mut self.leaders[k];
        let waiting = std::mem::take(&mut l.waiting);
        let mut out = vec![];
        for (i, at, tally) in waiting {
            let Some(mid) = l.cell.machines.id_of(&format!("n-{i:03}")) else { continue };
            if lead && !l.cell.can_send_orders(mid) {
                l.waiting.push((i, at, tally));
            } else if let Some(o) = l.cell.issue_orders(mid, at, now, lead) {
                out.push((i, Msg::Response(i, o.term, at.0, tally, o.orders)));
            }
        }
        for (i, msg) in out {
            self.send(k, i, msg);
        }
    }

    /// From leader `k` to worker `i`, on a connection that may work in the other direction only.
    pub fn send(&mut self, k: usize, i: usize, msg: Msg) {
        if !self.leaders[k].mute.contains(&i) {
            self.post(msg);
        } else if self.chance(0.5) {
            let at = self.now + self.rng.random_range(3_000..40_000);
            self.mail.push((at, msg));
        }
    }

    /// What users are told; each answer must fit all earlier ones.
    pub fn tell(&mut self, k: usize) {
        if !self.lead(&self.leaders[k]) {
            return;
        }
        let now = self.now;
        for (uid, body) in &self.submitted {
            let cell = &self.leaders[k].cell;
            let Some(shown) = cell.job_status(uid) else {
                let final_on_record = self.store.contains_key(&format!("f/{uid}"));
                let aside = cell.unreadable.job_reason(uid).is_some();
                let known = cell.jobs.contains_name(uid.as_str()) || final_on_record || aside;
                assert!(known || !self.accepted.contains(uid), "forgotten: {uid}");
                continue;
            };
            self.accepted.insert(uid.clone());
            match shown.status.as_str() {
                "aborted" => {
                    let asked = self.needs(uid).iter().any(|n| self.asked_to_cancel.contains(n));
                    assert!(asked, "went_back: {uid} is cancelled, which nobody asked for");
                    assert!(!self.told_done.contains(uid), "went_back: {uid}");
                    self.told_cancelled.entry(uid.clone()).or_insert(now);
                }
                "done" => {
                    assert!(!self.told_cancelled.contains_key(uid), "went_back: {uid}");
                    let done = self.finished.get(uid).map_or(0, BTreeSet::len);
                    assert_eq!(done as u64, body.tasks, "not_done: {uid}");
                    self.told_done.insert(uid.clone());
                }
                _ => {
                    let over =
                        self.told_done.contains(uid) || self.told_cancelled.contains_key(uid);
                    assert!(!over, "went_back: {uid} is {}", shown.status);
                    let most = (self.settings.deployment.workers.cancel_s * 1000.0) as u64;
                    for need in self.needs(uid) {
                        let told = self.told_cancelled.get(&need);
                        let late = told.is_some_and(|at| now > at + most);
                        assert!(!late, "orphaned: {uid} long after {need} was cancelled");
                    }
                }
            }
        }
    }

    pub fn deliver(&mut self, msg: Msg) {
        let now = self.now;
        if let Msg::Report(_, term, _) | Msg::Commit(term, ..) = &msg
            && let Some(l) = self.leaders.iter().find(|l| l.term == *term)
            && now < l.still_until
            && !matches!(&msg, Msg::Commit(..))
        {
            // It finds the message when it goes on, and takes it for a new one.
            self.mail.push((l.still_until, msg));
            return;
        }
        match msg {
            Msg::Report(i, term, report) => {
                let lead = |l: &Leader| now < l.renewed + 2500;
                let Some(l) = self.leaders.iter_mut().find(|l| l.term == term) else { return };
                if l.cut.contains(&i) {
                    return;
                }
                let lead = lead(l);
                match l.cell.on_report(&report, now) {
                    ReportOutcome::Answer(_) => {
                        if lead {
                            l.cell.run_placement_pass(now);
                        }
                        l.waiting.push((i, (report.session, report.sequence), report.sequence));
                    }
                    ReportOutcome::NewerTerm(_) => l.renewed = 0,
                    _ => {}
                }
            }
            Msg::Copy(i, report) => {
                let Some(l) = self.leaders.last_mut() else { return };
                if let ReportOutcome::Answer(_) = l.cell.on_report(&report, now) {
                    self.copies += 1;
                    l.waiting.push((i, (report.session, report.sequence), report.sequence));
                }
            }
            Msg::Response(i, warrant, shift, tally, orders) => {
                if now < self.workers[i].deaf_until {
                    return;
                }
                let w = &mut self.workers[i];
                let Some((flight, sent)) = w.flight else { return };
                let stale = flight != tally || w.shift != shift || now > sent + 4000;
                if stale || now < w.hangs_until {
                    return;
                }
                w.flight = None;
                w.next_report = now + 500;
                if warrant < w.token {
                    return;
                }
                w.token = warrant;
                w.answered = sent;
                self.execute(i, orders);
            }
            Msg::Command(i, warrant, shift, orders) => {
                if now < self.workers[i].hangs_until {
                    let at = self.workers[i].hangs_until;
                    self.mail.push((at, Msg::Command(i, warrant, shift, orders)));
                    return;
                }
                if now < self.workers[i].deaf_until {
                    if self.chance(0.5) {
                        let at = self.workers[i].deaf_until;
                        self.mail.push((at, Msg::Command(i, warrant, shift, orders)));
                    }
                    return;
                }
                let w = &mut self.workers[i];
                w.tally += 1;
                if warrant >= w.token && shift == w.shift {
                    w.token = warrant;
                    self.execute(i, orders);
                }
            }
            Msg::End(term, uid, done) => {
                if let Some(l) = self.leaders.iter_mut().find(|l| l.term == term) {
                    l.cell.dependencies.resolve_outcome(&uid, done);
                    l.cell.propagate_dependencies(now);
                }
            }
            Msg::Commit(term, batch, lost) => {
                let (ops, bytes) = self.limits(now);
                let long = batch.changes.iter().any(|c| c.encoded_len() > bytes);
                if long || batch.changes.len() > ops || batch.conditions.len() > 4 * ops {
                    self.refused += 1;
                    let l = self.leaders.iter_mut().find(|l| l.term == term);
                    let new =
                        l.as_ref().is_some_and(|l| l.cell.settings.deployment.state.next.is_some());
                    assert!(!new, "over the announced limits: {:?}", batch.keys);
                    if let Some(l) = l.filter(|_| !lost) {
                        l.writing = false;
                        l.cell.on_malformed(&batch);
                    }
                    return;
                }
                if let Some(l) = self.leaders.iter().find(|l| l.term == term) {
                    // Machines' records are written anew once it is known what is on them.
                    let left = |c: &&Change| {
                        let put = matches!(c, Change::Put { .. });
                        put && l.bad.contains(c.path()) && !c.path().starts_with("m/")
                    };
                    let over = batch.changes.iter().find(left);
                    assert!(over.is_none(), "an unreadable record is written over: {over:?}");
                }
                let outcome = self.apply(&batch);
                let seen: BTreeMap<String, Option<(Record, u64)>> = match &outcome {
                    Err(keys) => {
                        keys.iter().map(|k| (k.clone(), self.store.get(k).cloned())).collect()
                    }
                    Ok(_) => BTreeMap::new(),
                };
                if lost {
                    return;
                }
                let Some(l) = self.leaders.iter_mut().find(|l| l.term == term) else { return };
                l.writing = false;
                if now < l.still_until {
                    // Applied, but the answer comes too late: an unknown outcome.
                    return;
                }
                match outcome {
                    Ok(rev) => {
                        l.cell.on_applied(&batch, rev);
                        l.cell.write_queue.one_record_per_batch = false;
                        l.cell.propagate_dependencies(now);
                    }
                    Err(keys) if keys.iter().any(|k| k == "c/leader") => l.renewed = 0,
                    Err(_) => {
                        for (key, seen) in seen {
                            let last = match &seen {
                                Some((Record::Final(f), _)) => Some(f.clone()),
                                _ => None,
                            };
                            l.cell.on_condition_failed(&key, seen.map(|(_, stamp)| stamp), last);
                        }
                    }
                }
            }
        }
    }
}
