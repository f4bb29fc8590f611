use crate::for_tests::*;
use crate::state::leader_state::LeaderState;
use crate::state::write_queue::{Batch, RecordKey};
use copperhaven_wire::jobs::JobBody;
use std::collections::HashMap;
use std::sync::Arc;

/// The state service, as far as conditions of transactions go.
#[derive(Default)]
struct Service {
    revisions: HashMap<String, u64>,
    revision: u64,
}

impl Service {
    /// Carries a transaction out if its conditions hold, else returns the paths whose conditions fail.
    fn carry_out(&mut self, batch: &Batch) -> Result<u64, Vec<String>> {
        let present = |path: &str| match path {
            "c/leader" => 50,
            path => self.revisions.get(path).copied().unwrap_or(0),
        };
        let fails = |path: &str, revision: u64| present(path) != revision;
        let failed = batch.conditions.iter().filter(|c| fails(&c.path, c.revision));
        let failed: Vec<String> = failed.map(|c| c.path.clone()).collect();
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        for change in &batch.changes {
            match change {
                crate::records::Change::Put { path, .. } => {
                    self.revisions.insert(path.clone(), self.revision);
                }
                crate::records::Change::Delete { path } => {
                    self.revisions.remove(path);
                }
            }
        }
        Ok(self.revision)
    }

    /// Sends what is dirty, and has the leader handle the outcome as the commit loop does.
    fn commit(&mut self, leader: &mut LeaderState) {
        while let Some(batch) = leader.next_batch(16) {
            match self.carry_out(&batch) {
                Ok(revision) => leader.on_applied(&batch, revision),
                Err(failed) => {
                    leader.write_queue.batch_not_executed(&batch);
                    for path in failed {
                        let revision = self.revisions.get(&path).copied();
                        leader.on_condition_failed(&path, revision, None);
                    }
                }
            }
            leader.propagate_dependencies(START_MS);
        }
    }
}

/// What becomes of a transaction whose answer is lost.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Execution {
    AtOnce,
    /// After the following sendings were refused.
    Late,
    Never,
}

/// The outcome of a later sending of the same record.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    /// 503, 429 or no connection: certainly not executed.
    Refused,
    /// 409, and the keys have not been read again yet.
    Conflict,
    NoAnswer,
}

type Setup = fn(&mut Service) -> LeaderState;

fn with_jobs(service: &mut Service, uids: &[&str]) -> LeaderState {
    let mut leader = sample_leader();
    for uid in uids {
        add_job(&mut leader, uid, |b| b.tasks = 1);
    }
    service.commit(&mut leader);
    leader
}

fn cancelled(service: &mut Service) -> LeaderState {
    let mut leader = with_jobs(service, &["wk-1"]);
    let id = leader.job("wk-1").expect("there").0;
    leader.cancel(id, START_MS);
    leader
}

fn ended(service: &mut Service) -> LeaderState {
    let mut leader = with_jobs(service, &["wk-1"]);
    for sequence in [1, 2] {
        let r = report(1, sequence, TERM, &[]);
        leader.on_report(&r, START_MS);
        leader.run_placement_pass(START_MS);
        service.commit(&mut leader);
        let machine_id = leader.machines.id_of("n-1").expect("known");
        leader.issue_orders(machine_id, (1, sequence), START_MS, true);
    }
    let machine_id = leader.machines.id_of("n-1").expect("known");
    let attempt =
        leader.machines[&machine_id].assignments.values().next().expect("started").attempt;
    leader.on_report(&report(1, 3, TERM, &[("wk-1/0", attempt, "running")]), START_MS);
    leader.on_report(&report(1, 4, TERM, &[("wk-1/0", attempt, "ended:done")]), START_MS);
    leader
}

/// A job that waits for another, which is cancelled.
fn dependency_cancelled(service: &mut Service) -> LeaderState {
    let mut leader = with_jobs(service, &["wk-2"]);
    let mut body: JobBody = body("wk-1");
    body.depends_on = Some(vec!["wk-2".into()]);
    let (settings, machine_types) = (leader.settings.clone(), leader.machine_types.clone());
    let spec = crate::admission::feasibility::resolve_spec(
        &body,
        &mut leader.names,
        &machine_types,
        &settings,
    );
    let dependencies = (vec![Arc::from("wk-2")], false);
    leader.add_submitted_job(spec.expect("valid"), body, dependencies, START_MS, START_MS);
    service.commit(&mut leader);
    let id = leader.job("wk-2").expect("there").0;
    leader.cancel(id, START_MS);
    leader
}

#[test]
fn memory_answers_nothing_from_a_sending_without_an_answer_to_one_that_is_applied() {
    // Guards against a job that is called cancelled or done by a controller that reads the records, and then queued or
    // running by its leader: the mark of an unanswered transaction was removed when its repetition was refused.
    let records: [(&str, Setup, &str); 3] = [
        ("cancellation", cancelled, "aborted"),
        ("end", ended, "done"),
        ("cancellation of a dependency", dependency_cancelled, "aborted"),
    ];
    let mut outcomes: Vec<Vec<Outcome>> = vec![vec![]];
    let mut longest = outcomes.clone();
    for _ in 0..3 {
        let next = [Outcome::Refused, Outcome::Conflict, Outcome::NoAnswer];
        let longer = longest.iter().flat_map(|o| next.map(|next| [o.as_slice(), &[next]].concat()));
        longest = longer.collect();
        outcomes.extend_from_slice(&longest);
    }
    let mut answers = vec![];
    for (record, setup, status) in records {
        for execution in [Execution::AtOnce, Execution::Late, Execution::Never] {
            for (later, other_changes) in outcomes.iter().flat_map(|o| [(o, false), (o, true)]) {
                let case = format!("{record}, {execution:?}, {later:?}, changes {other_changes}");
                let mut service = Service::default();
                let mut leader = setup(&mut service);
                let first = leader.next_batch(16).expect("a record to send");
                if execution == Execution::AtOnce {
                    service.carry_out(&first).expect("carried out");
                }
                let mut told = vec![leader.job_status("wk-1")];
                for outcome in later {
                    if other_changes {
                        leader.mark_dirty(RecordKey::Delete("r/none".into()));
                    }
                    let batch = leader.next_batch(16).expect("sent again");
                    told.push(leader.job_status("wk-1"));
                    if *outcome != Outcome::NoAnswer {
                        leader.write_queue.batch_not_executed(&batch);
                    }
                    told.push(leader.job_status("wk-1"));
                }
                if execution == Execution::Late {
                    service.carry_out(&first).expect("carried out");
                    told.push(leader.job_status("wk-1"));
                }
                if let Some(older) = told.into_iter().flatten().next() {
                    answers.push(format!("{case}: {}", older.status));
                }
                service.commit(&mut leader);
                let known = leader.job_status("wk-1").map(|job_status| job_status.status);
                assert_eq!(known.as_deref(), Some(status), "{case}");
            }
        }
    }
    assert!(
        answers.is_empty(),
        "{} answers from memory: {:#?}",
        answers.len(),
        &answers[..answers.len().min(5)]
    );
}
