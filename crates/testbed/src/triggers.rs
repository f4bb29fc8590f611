//! Fault injection by request: recognizes what a controller sends to the state service (`RequestKind`) and applies a fault
//! (`Action`) at exactly that request. Faults at a critical step so come about in each run, not by chance.

use crate::links::{Side, set_links};
use crate::network::{Host, LinkFault};
use crate::world::World;
use copperhaven::cluster::frames::Op;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The kind of a controller's request to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// The term is raised and the leader key written.
    Election,
    /// A new leader reads the job records.
    JobsRead,
    /// The record of a job that is not cancelled is written.
    Acceptance,
    /// A job is recorded as cancelled.
    Cancellation,
    /// The final record of a job is written.
    FinalRecord,
    /// The assignments of machines are written, one machine by itself or in a pack.
    Assignments,
    /// Finished tasks are written.
    FinishedTasks,
    /// The rental of a machine is written.
    Rental,
    /// The abilities of a controller or the stages in use are written.
    Stage,
}

use RequestKind::*;

impl RequestKind {
    /// Returns the keys that a transaction puts, and their values.
    fn puts(body: &[u8]) -> Vec<(String, Value)> {
        let body: Value = rmp_serde::from_slice(body).unwrap_or_default();
        let apply = body["apply"].as_array().into_iter().flatten();
        let put = |change: &Value| Some((change["put"].as_str()?.to_string(), change["v"].clone()));
        apply.filter_map(put).collect()
    }

    /// Returns the ids of the jobs whose own or final records a transaction puts.
    fn recorded_jobs(body: &[u8]) -> Vec<String> {
        let uid = |key: &str| Some(key.strip_prefix("f/").or(key.strip_prefix("j/"))?.to_string());
        RequestKind::puts(body).iter().filter_map(|(key, _)| uid(key)).collect()
    }

    /// Returns the kind of a request, if it has one. A transaction that puts several kinds of records counts as the
    /// first of the order below.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Option<RequestKind> {
        if method == "GET" {
            return path.starts_with("/store?prefix=j/").then_some(JobsRead);
        }
        if path != "/commit" {
            return None;
        }
        let puts = RequestKind::puts(body);
        let is = |moment: RequestKind| {
            puts.iter().any(|(key, value)| match moment {
                Election => key == "c/term",
                Stage => key == "c/stages" || key.starts_with("c/can/"),
                FinalRecord => key.starts_with("f/"),
                Cancellation => key.starts_with("j/") && value["cancelled"] == true,
                Acceptance => key.starts_with("j/") && value["cancelled"] != true,
                Rental => key.starts_with("r/"),
                Assignments => key.starts_with("m/") || key.starts_with("p/"),
                FinishedTasks => key.starts_with("d/"),
                JobsRead => false,
            })
        };
        [Election, Stage, FinalRecord, Cancellation, Acceptance, Rental, Assignments, FinishedTasks]
            .into_iter()
            .find(|moment| is(*moment))
    }
}

/// The fault injected at a request. Times are in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// The request is carried out and its answer is lost.
    LoseAnswer,
    /// The request is carried out after this time, without an answer.
    Delay(u64),
    /// The state service refuses the request and all others of this controller, for this time.
    Refuse(u64),
    /// The request is carried out, its answer is lost, and all later requests of this controller are refused for this
    /// time.
    LoseAndRefuse(u64),
    /// The request is carried out and its answer is lost. All requests of this controller are refused for `refused_ms`
    /// from `after_ms` on, and users query the jobs that it records at all controllers meanwhile.
    LoseThenRefuse {
        /// When the refusals begin.
        after_ms: u64,
        /// How long they last.
        refused_ms: u64,
    },
    /// As `LoseAndRefuse`, and a second later the state service goes down for all; both end after this time.
    RefuseThenDown(u64),
    /// The request is carried out, and its writer ends before it gets the answer; it is back after this time.
    EndWriter(u64),
    /// The writer ends and the request is never carried out; the writer is back after this time.
    EndBefore(u64),
    /// All controllers end once the request is carried out; they are back after this time.
    EndAll(u64),
    /// The writer loses its links to the other controllers for this time.
    LosePeers(u64),
    /// The writer loses its links to the workers for this time.
    LoseWorkers(u64),
    /// Users cancel this many running jobs at once.
    Cancel(usize),
    /// The kept copies of reports are delivered to every controller.
    DeliverKeptReports,
    /// Users query, resubmit and cancel the jobs whose final records are being written, at all controllers.
    QueryEnding,
}

/// Applies a fault to the next `times` requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct FaultTrigger {
    /// The kind of request that triggers the fault.
    pub at: RequestKind,
    /// How often it triggers.
    pub times: u32,
    /// The fault.
    pub act: Action,
}

/// How the state service handles a request.
pub enum RequestHandling {
    /// Carries it out and answers.
    Answer,
    /// Answers with a refusal.
    Refuse,
    /// Carries it out after this time and never answers.
    Silent(Duration),
    /// Never receives it.
    NotReceived,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Runs `f` after this many milliseconds.
fn run_after(world: &Arc<World>, delay_ms: u64, f: impl FnOnce(&Arc<World>) + Send + 'static) {
    let world = world.clone();
    tokio::spawn(async move {
        sleep(ms(delay_ms)).await;
        f(&world);
    });
}

/// Lets the state service refuse this controller for this many milliseconds.
fn refuse(world: &Arc<World>, controller: usize, time_ms: u64) {
    world.store.lock().expect("lock").refused_controllers.insert(controller);
    run_after(world, time_ms, move |w| {
        w.store.lock().expect("lock").refused_controllers.remove(&controller);
    });
}

/// Cuts these links of this controller for this many milliseconds.
fn cut(world: &Arc<World>, controller: usize, side: Side, time_ms: u64) {
    set_links(world, controller, side, Some(LinkFault::Hold));
    run_after(world, time_ms, move |w| set_links(w, controller, side, None));
}

impl World {
    /// Fires the trigger that is set for this request of a controller, if there is one. Returns how the state service
    /// handles the request.
    pub fn on_state_request(
        self: &Arc<Self>,
        controller: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> RequestHandling {
        let Some(moment) = RequestKind::of(method, path, body) else {
            return RequestHandling::Answer;
        };
        let act = {
            let mut triggers = self.fault_triggers.lock().expect("lock");
            let Some(trigger) =
                triggers.iter_mut().find(|trigger| trigger.at == moment && trigger.times > 0)
            else {
                return RequestHandling::Answer;
            };
            trigger.times -= 1;
            *self.triggered.lock().expect("lock") += 1;
            trigger.act
        };
        match act {
            Action::LoseAnswer => RequestHandling::Silent(Duration::ZERO),
            Action::Delay(time) => RequestHandling::Silent(ms(time)),
            Action::Refuse(time) => {
                refuse(self, controller, time);
                RequestHandling::Refuse
            }
            Action::LoseAndRefuse(time) => {
                run_after(self, 0, move |w| refuse(w, controller, time));
                RequestHandling::Silent(Duration::ZERO)
            }
            Action::LoseThenRefuse { after_ms, refused_ms } => {
                run_after(self, after_ms, move |w| refuse(w, controller, refused_ms));
                for uid in RequestKind::recorded_jobs(body) {
                    for delay_ms in [0, 1_000, 1_700, 2_400] {
                        let uid = uid.clone();
                        run_after(self, delay_ms, move |w| w.query_burst(&uid, false));
                    }
                }
                RequestHandling::Silent(Duration::ZERO)
            }
            Action::RefuseThenDown(time) => {
                run_after(self, 0, move |w| refuse(w, controller, time));
                run_after(self, 1_000, |w| w.store.lock().expect("lock").set_down(true));
                run_after(self, time, |w| w.store.lock().expect("lock").set_down(false));
                RequestHandling::Silent(Duration::ZERO)
            }
            Action::EndWriter(back) => {
                run_after(self, 0, move |w| w.end_if_up(controller, back));
                RequestHandling::Silent(Duration::ZERO)
            }
            Action::EndBefore(back) => {
                self.end_if_up(controller, back);
                RequestHandling::NotReceived
            }
            Action::EndAll(back) => {
                run_after(self, 0, move |w| (0..w.count()).for_each(|ix| w.end_if_up(ix, back)));
                RequestHandling::Silent(Duration::ZERO)
            }
            Action::LosePeers(time) => {
                cut(self, controller, Side::Peers, time);
                RequestHandling::Answer
            }
            Action::LoseWorkers(time) => {
                cut(self, controller, Side::Workers, time);
                RequestHandling::Answer
            }
            Action::Cancel(n) => {
                self.cancel_now(n, Duration::ZERO);
                RequestHandling::Answer
            }
            Action::QueryEnding => {
                let ended = RequestKind::puts(body)
                    .into_iter()
                    .filter_map(|(key, _)| key.strip_prefix("f/").map(ToString::to_string));
                ended.for_each(|uid| self.query_burst(&uid, true));
                RequestHandling::Answer
            }
            Action::DeliverKeptReports => {
                self.deliver_kept_reports();
                RequestHandling::Answer
            }
        }
    }

    /// Ends this controller, unless its process is down already; it is back after this many milliseconds.
    pub fn end_if_up(self: &Arc<Self>, ix: usize, back_ms: u64) {
        if !self.is_down(ix) {
            self.end_and_restart(ix, back_ms);
        }
    }

    /// Keeps a copy of a worker's report for the next leader, while `keeps` is set.
    pub fn keep_report(&self, from: Host, body: &[u8]) {
        if self.keep_reports.load(std::sync::atomic::Ordering::Relaxed) {
            self.kept_reports.lock().expect("lock").push((from, body.to_vec()));
        }
    }

    /// Delivers all kept copies to every controller, now and three more times within 1.2 s.
    pub fn deliver_kept_reports(self: &Arc<Self>) {
        for (from, body) in std::mem::take(&mut *self.kept_reports.lock().expect("lock")) {
            for (to, delay_ms) in
                (0..self.count()).flat_map(|to| [0, 40, 300, 1_200].map(|delay_ms| (to, delay_ms)))
            {
                let (world, body) = (self.clone(), body.clone());
                tokio::spawn(async move {
                    sleep(ms(delay_ms)).await;
                    let _ =
                        tokio::time::timeout(ms(4_000), world.request(from, to, Op::Report, &body))
                            .await;
                });
            }
        }
    }
}
