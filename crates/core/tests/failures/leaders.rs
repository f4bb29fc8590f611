//! Simulated leaders: election, placement and responses; and message delivery.

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
    /// Elects a new leader, which takes over from the store's records.
    pub fn elect(&mut self) {
        self.term += 1;
        self.revision += 1;
        let lease_ms = self.settings.tuning.leader_lease_ms;
        self.leader_lease = Some((self.term, self.revision, self.now + lease_ms));
        let mut names = Names::new(&self.settings);
        let machine_types = machine_types(&mut names);
        let lease_condition = Condition { path: "c/leader".into(), revision: self.revision };
        let (term, now) = (self.term, self.now);
        // The earlier version does not know the announced limits.
        let mut settings = (*self.settings).clone();
        if now + LIMITS_NOTICE_MS >= self.limits_fall_at {
            settings.deployment.state.next = Some(NextLimits::default());
        }
        // Half of the leaders request early reports when starts are pending.
        let early_reports = term % 2 == 0;
        let mut state =
            LeaderState::new(Arc::new(settings), term, lease_condition, now, names, machine_types);
        let mut records = Records::default();
        for (path, (record, revision)) in &self.store {
            if self.unreadable_until.contains_key(path) {
                records.unreadable.push((path.clone(), *revision));
                continue;
            }
            match record.clone() {
                Record::Job(x) => records.jobs.push((path.clone(), *x, *revision)),
                Record::Done(x) => records.done_tasks.push((path.clone(), x, *revision)),
                Record::Machine(x) => records.machines.push((path.clone(), x, *revision)),
                Record::Pack(x) => records.packs.push((path.clone(), x, *revision)),
                Record::Rental(x) => records.rentals.push((path.clone(), x, *revision)),
                Record::Service(x) => records.fairness.push((path.clone(), x, *revision)),
                Record::Links(x) => records.dependency_lists.push((path.clone(), x, *revision)),
                _ => {}
            }
        }
        let unreadable: BTreeSet<String> =
            records.unreadable.iter().map(|(path, _)| path.clone()).collect();
        self.unreadable_found += unreadable.len();
        if now + LIMITS_NOTICE_MS >= self.limits_fall_at {
            state.write_queue.value_limit = LOWERED_VALUE_BYTES;
        }
        state.request_early_reports = early_reports;
        records.packs_enabled = self.pack_terms.contains(&term);
        rebuild(&mut state, records, now, now);
        let mut cut_off: BTreeSet<usize> =
            (0..self.workers.len()).filter(|_| self.rng.random_bool(0.15)).collect();
        // An earlier leader that lost only the store keeps some workers, which do not learn of this one.
        if let Some(old_term) = self.leaders.last().map(|l| l.term)
            && self.splits_leaders
            && self.old_leader_workers.is_empty()
        {
            for i in 0..self.workers.len() {
                if self.chance(0.8) {
                    self.old_leader_workers.insert(i, old_term);
                }
            }
        }
        cut_off.extend(self.old_leader_workers.keys());
        self.leaders.push(Leader {
            term,
            state,
            renewed_at: now,
            store_reachable: true,
            cut_off,
            outbound_blocked: BTreeSet::new(),
            paused_until: 0,
            commit_in_flight: false,
            unanswered: vec![],
            unreadable,
        });
    }

    /// Returns whether the leader's lease is valid.
    pub fn is_leading(&self, l: &Leader) -> bool {
        self.now < l.renewed_at + self.settings.tuning.leader_lease_ms
    }

    /// Advances all leaders by one step.
    pub fn run_leaders(&mut self) {
        let now = self.now;
        let renewal_grace_ms = self.settings.renewal_grace_ms();
        let lease_ms = self.settings.tuning.leader_lease_ms;
        if self.leader_lease.is_some_and(|(_, _, until)| now > until) {
            self.leader_lease = None;
        }
        for k in 0..self.leaders.len() {
            if self.leaders[k].store_reachable && now >= self.leaders[k].paused_until {
                match &mut self.leader_lease {
                    Some((term, _, until)) if *term == self.leaders[k].term => {
                        *until = now + lease_ms;
                        self.leaders[k].renewed_at = now;
                    }
                    // Its lease is lost, which it learns at once.
                    _ => self.leaders[k].renewed_at = 0,
                }
            }
        }
        let is_over = |l: &Leader| now > l.renewed_at + renewal_grace_ms || l.renewed_at == 0;
        self.leaders.retain(|l| now < l.paused_until || !is_over(l));
        let live_terms: BTreeSet<u64> = self.leaders.iter().map(|l| l.term).collect();
        let old_count = self.old_leader_workers.len();
        self.old_leader_workers.retain(|_, term| live_terms.contains(term));
        if old_count > 0 && self.old_leader_workers.is_empty() {
            self.leaders.iter_mut().for_each(|l| l.cut_off.clear());
        }
        if self.leader_lease.is_none() && self.chance(0.3) {
            self.elect();
        }
        for k in 0..self.leaders.len() {
            if now < self.leaders[k].paused_until {
                continue;
            }
            let is_leading = self.is_leading(&self.leaders[k]);
            let l = &mut self.leaders[k];
            l.state.expire_leases(now);
            self.unresponsive_seen +=
                l.state.machines.values().filter(|m| m.response_tracker.is_unresponsive()).count();
            l.state.migrate_machines_to_packs(1);
            l.state.placement_pending = true;
            if is_leading {
                l.state.run_placement_pass(now);
            }
            let direct = std::mem::take(&mut l.state.direct_requests);
            let (term, cut_off) = (l.term, l.cut_off.clone());
            l.state.propagate_dependencies(now);
            if now.is_multiple_of(2000) {
                l.state.record_fairness();
            }
            let ops = if l.state.write_queue.value_limit == LOWERED_VALUE_BYTES { 5 } else { 16 };
            let batch = (l.store_reachable && !l.commit_in_flight)
                .then(|| l.state.next_batch(ops))
                .flatten();
            let lookups = if l.store_reachable {
                l.state.dependencies.next_unread_outcomes(2)
            } else {
                vec![]
            };
            for d in direct {
                let i: usize = d.addr.parse().expect("address");
                if !cut_off.contains(&i) && !self.chance(0.1) {
                    self.send(k, i, Msg::DirectOrders(i, term, d.session, d.orders));
                }
            }
            for uid in lookups {
                let completed = match self.store.get(&format!("f/{uid}")) {
                    Some((Record::Final(f), _)) => Some(f.done),
                    _ => None,
                };
                if self.chance(0.3) {
                    self.post(Msg::Outcome(term, uid.to_string(), completed));
                }
            }
            if let Some(batch) = batch {
                self.leaders[k].commit_in_flight = true;
                let lost = self.chance(0.05);
                if lost {
                    // No answer: it may be executed late, or never.
                    self.leaders[k].commit_in_flight = false;
                }
                if !lost || self.chance(0.5) {
                    self.post(Msg::Commit(term, batch, lost));
                }
            }
            self.send_responses(k);
            self.check_statuses(k);
        }
    }

    /// Sends the responses whose assignments are saved.
    pub fn send_responses(&mut self, k: usize) {
        let is_leading = self.is_leading(&self.leaders[k]);
        let now = self.now;
        let l = &mut self.leaders[k];
        let pending = std::mem::take(&mut l.unanswered);
        let mut out = vec![];
        for (i, report_id, sequence) in pending {
            let Some(machine_id) = l.state.machines.id_of(&format!("n-{i:03}")) else { continue };
            if is_leading && !l.state.can_send_orders(machine_id) {
                l.unanswered.push((i, report_id, sequence));
            } else if let Some(o) = l.state.issue_orders(machine_id, report_id, now, is_leading) {
                out.push((i, Msg::Response(i, o.term, report_id.0, sequence, o.orders)));
            }
        }
        for (i, msg) in out {
            self.send(k, i, msg);
        }
    }

    /// Sends from leader `k` to worker `i`; a blocked connection loses or holds the message.
    pub fn send(&mut self, k: usize, i: usize, msg: Msg) {
        if !self.leaders[k].outbound_blocked.contains(&i) {
            self.post(msg);
        } else if self.chance(0.5) {
            let at = self.now + self.rng.random_range(3_000..40_000);
            self.messages.push((at, msg));
        }
    }

    /// Asserts that the status reported of each job is consistent with all earlier ones.
    pub fn check_statuses(&mut self, k: usize) {
        if !self.is_leading(&self.leaders[k]) {
            return;
        }
        let now = self.now;
        for (uid, body) in &self.submitted {
            let leader = &self.leaders[k].state;
            let Some(answer) = leader.job_status(uid) else {
                let final_on_record = self.store.contains_key(&format!("f/{uid}"));
                let is_unreadable = leader.unreadable.job_reason(uid).is_some();
                let known =
                    leader.jobs.contains_name(uid.as_str()) || final_on_record || is_unreadable;
                assert!(known || !self.accepted.contains(uid), "forgotten: {uid}");
                continue;
            };
            self.accepted.insert(uid.clone());
            match answer.status.as_str() {
                "aborted" => {
                    let requested = self
                        .dependency_closure(uid)
                        .iter()
                        .any(|n| self.cancel_requested.contains(n));
                    assert!(requested, "went_back: {uid} is cancelled without a request");
                    assert!(!self.reported_done.contains(uid), "went_back: {uid}");
                    self.reported_cancelled.entry(uid.clone()).or_insert(now);
                }
                "done" => {
                    assert!(!self.reported_cancelled.contains_key(uid), "went_back: {uid}");
                    let done = self.finished_tasks.get(uid).map_or(0, BTreeSet::len);
                    assert_eq!(done as u64, body.tasks, "not_done: {uid}");
                    self.reported_done.insert(uid.clone());
                }
                _ => {
                    let finished = self.reported_done.contains(uid)
                        || self.reported_cancelled.contains_key(uid);
                    assert!(!finished, "went_back: {uid} is {}", answer.status);
                    let max_ms = (self.settings.deployment.workers.cancel_s * 1000.0) as u64;
                    for dependency in self.dependency_closure(uid) {
                        let reported_at = self.reported_cancelled.get(&dependency);
                        let late = reported_at.is_some_and(|at| now > at + max_ms);
                        assert!(!late, "orphaned: {uid} long after {dependency} was cancelled");
                    }
                }
            }
        }
    }

    /// Delivers a message.
    pub fn deliver(&mut self, msg: Msg) {
        let now = self.now;
        if let Msg::Report(_, term, _) | Msg::Commit(term, ..) = &msg
            && let Some(l) = self.leaders.iter().find(|l| l.term == *term)
            && now < l.paused_until
            && !matches!(&msg, Msg::Commit(..))
        {
            // It receives the message when it resumes, and treats it as new.
            self.messages.push((l.paused_until, msg));
            return;
        }
        match msg {
            Msg::Report(i, term, report) => {
                let is_leading = |l: &Leader| now < l.renewed_at + 2500;
                let Some(l) = self.leaders.iter_mut().find(|l| l.term == term) else { return };
                if l.cut_off.contains(&i) {
                    return;
                }
                let is_leading = is_leading(l);
                match l.state.on_report(&report, now) {
                    ReportOutcome::Answer(_) => {
                        if is_leading {
                            l.state.run_placement_pass(now);
                        }
                        l.unanswered.push((i, (report.session, report.sequence), report.sequence));
                    }
                    ReportOutcome::NewerTerm(_) => l.renewed_at = 0,
                    _ => {}
                }
            }
            Msg::ReportCopy(i, report) => {
                let Some(l) = self.leaders.last_mut() else { return };
                if let ReportOutcome::Answer(_) = l.state.on_report(&report, now) {
                    self.late_copies += 1;
                    l.unanswered.push((i, (report.session, report.sequence), report.sequence));
                }
            }
            Msg::Response(i, term, session, sequence, orders) => {
                if now < self.workers[i].unresponsive_until {
                    return;
                }
                let w = &mut self.workers[i];
                let Some((in_flight, sent)) = w.in_flight else { return };
                let stale = in_flight != sequence || w.session != session || now > sent + 4000;
                if stale || now < w.hung_until {
                    return;
                }
                w.in_flight = None;
                w.next_report_at = now + 500;
                if term < w.term {
                    return;
                }
                w.term = term;
                w.answered_sent_at = sent;
                self.execute(i, orders);
            }
            Msg::DirectOrders(i, term, session, orders) => {
                if now < self.workers[i].hung_until {
                    let at = self.workers[i].hung_until;
                    self.messages.push((at, Msg::DirectOrders(i, term, session, orders)));
                    return;
                }
                if now < self.workers[i].unresponsive_until {
                    if self.chance(0.5) {
                        let at = self.workers[i].unresponsive_until;
                        self.messages.push((at, Msg::DirectOrders(i, term, session, orders)));
                    }
                    return;
                }
                let w = &mut self.workers[i];
                w.sequence += 1;
                if term >= w.term && session == w.session {
                    w.term = term;
                    self.execute(i, orders);
                }
            }
            Msg::Outcome(term, uid, done) => {
                if let Some(l) = self.leaders.iter_mut().find(|l| l.term == term) {
                    l.state.dependencies.resolve_outcome(&uid, done);
                    l.state.propagate_dependencies(now);
                }
            }
            Msg::Commit(term, batch, lost) => {
                let (ops, bytes) = self.limits(now);
                let long = batch.changes.iter().any(|c| c.encoded_len() > bytes);
                if long || batch.changes.len() > ops || batch.conditions.len() > 4 * ops {
                    self.refused_commits += 1;
                    let l = self.leaders.iter_mut().find(|l| l.term == term);
                    let new = l
                        .as_ref()
                        .is_some_and(|l| l.state.settings.deployment.state.next.is_some());
                    assert!(!new, "over the announced limits: {:?}", batch.keys);
                    if let Some(l) = l.filter(|_| !lost) {
                        l.commit_in_flight = false;
                        l.state.on_malformed(&batch);
                    }
                    return;
                }
                if let Some(l) = self.leaders.iter().find(|l| l.term == term) {
                    // Machine records are rewritten once it is known what runs on the machine.
                    let overwrites = |c: &&Change| {
                        let put = matches!(c, Change::Put { .. });
                        put && l.unreadable.contains(c.path()) && !c.path().starts_with("m/")
                    };
                    let overwritten = batch.changes.iter().find(overwrites);
                    assert!(
                        overwritten.is_none(),
                        "an unreadable record is overwritten: {overwritten:?}"
                    );
                }
                let outcome = self.apply(&batch);
                let stored: BTreeMap<String, Option<(Record, u64)>> = match &outcome {
                    Err(keys) => {
                        keys.iter().map(|k| (k.clone(), self.store.get(k).cloned())).collect()
                    }
                    Ok(_) => BTreeMap::new(),
                };
                if lost {
                    return;
                }
                let Some(l) = self.leaders.iter_mut().find(|l| l.term == term) else { return };
                l.commit_in_flight = false;
                if now < l.paused_until {
                    // Applied, but the answer arrives too late: its outcome is unknown.
                    return;
                }
                match outcome {
                    Ok(rev) => {
                        l.state.on_applied(&batch, rev);
                        l.state.write_queue.one_record_per_batch = false;
                        l.state.propagate_dependencies(now);
                    }
                    Err(keys) if keys.iter().any(|k| k == "c/leader") => l.renewed_at = 0,
                    Err(_) => {
                        for (key, stored) in stored {
                            let last = match &stored {
                                Some((Record::Final(f), _)) => Some(f.clone()),
                                _ => None,
                            };
                            l.state.on_condition_failed(&key, stored.map(|(_, rev)| rev), last);
                        }
                    }
                }
            }
        }
    }
}
