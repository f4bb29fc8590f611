//! Tests of elections, takeovers and queries with unreadable records, against a fake state service.

use super::load::load;
use super::*;
use crate::store::StoreError;
use copperhaven_core::for_tests::{job_record, sample_settings};
use copperhaven_rollout::StagesRecord;
use copperhaven_wire::encode;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers reads and listings from a map, grants leases, and logs every request.
#[derive(Default)]
struct FakeStateService {
    records: BTreeMap<String, Value>,
    /// Method and path of each request.
    requests: Mutex<Vec<String>>,
}

impl FakeStateService {
    fn answer(&self, request: &str) -> (u16, Value) {
        let mut words = request.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        self.requests.lock().expect("lock").push(format!("{method} {path}"));
        if let Some(key) = path.strip_prefix("/store/") {
            return match self.records.get(key) {
                Some(v) => (200, json!({"path": key, "v": v, "stamp": 5, "charter": null})),
                None => (404, json!({"ledgerRev": 9})),
            };
        }
        if let Some(query) = path.strip_prefix("/store?prefix=") {
            let prefix = query.split('&').next().unwrap_or_default();
            let pairs = self.records.iter().filter(|(key, _)| key.starts_with(prefix));
            let pairs: Vec<Value> =
                pairs.map(|(key, v)| json!({"path": key, "v": v, "stamp": 5})).collect();
            return (200, json!({"pairs": pairs, "more": false, "ledgerRev": 9}));
        }
        if path == "/leases" {
            (200, json!({"charter": 3}))
        } else {
            (200, json!({"ledgerRev": 10}))
        }
    }

    /// Starts serving on a local port and returns a node that uses this service. It is served until
    /// the runtime ends.
    async fn node(self: Arc<Self>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut settings = sample_settings();
        settings.endpoints.state = listener.local_addr().expect("bound").to_string();
        tokio::spawn(async move {
            while let Ok((mut io, _)) = listener.accept().await {
                let service = self.clone();
                tokio::spawn(async move {
                    let mut buffer = vec![0; 64 << 10];
                    while let Ok(n @ 1..) = io.read(&mut buffer).await {
                        let (status, body) = service.answer(&String::from_utf8_lossy(&buffer[..n]));
                        let body = encode(&body);
                        let head = format!(
                            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
                            body.len()
                        );
                        let all = [head.as_bytes(), &body].concat();
                        if io.write_all(&all).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let node = Node::new(settings);
        node.state.lock().expect("lock").machine_types = Some(vec![]);
        node
    }
}

fn run<F: Future>(f: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("runtime").block_on(f)
}

fn fake_state_service(records: &[(&str, Value)]) -> Arc<FakeStateService> {
    let records = records.iter().map(|(key, v)| (key.to_string(), v.clone())).collect();
    Arc::new(FakeStateService { records, ..FakeStateService::default() })
}

#[test]
fn unreadable_term_record_prevents_election() {
    // (value of the term record, term won)
    let cases = [
        (json!({"term": 7}), Some(8)),
        (json!({"term": "x"}), None),
        (json!([]), None),
        (json!(null), None),
    ];
    for (value, expected_term) in cases {
        run(async {
            let service = fake_state_service(&[(TERM_KEY, value.clone())]);
            let node = service.clone().node().await;
            assert_eq!(elect(&node, 0, 0).await.map(|e| e.term), expected_term, "{value}");
            let noted = node.state.lock().expect("lock").unreadable_keys.contains(TERM_KEY);
            assert_eq!(noted, expected_term.is_none(), "{value}");
            let wrote = service.requests.lock().expect("lock").iter().any(|r| r == "POST /commit");
            assert_eq!(
                wrote,
                expected_term.is_some(),
                "{value}: written only with a readable term"
            );
            // An unreadable record is an answer: the service does not count as unreachable.
            assert!(node.state.lock().expect("lock").state_service_down_since_ms.is_none());
        });
    }
}

#[test]
fn releases_that_do_not_know_an_ability_in_use_cannot_lead() {
    // A release that does not know an ability in use must not lead. Releases that know no stages
    // are kept from leading by a term record that they cannot read: the release in production and
    // those before stages read the term like this.
    #[derive(serde::Deserialize)]
    struct TermBeforeStages {
        #[allow(dead_code, reason = "only its presence is checked")]
        term: u64,
    }
    let packs = |stage| json!({"born": true, "stages": {"packs": {"stage": stage, "term": 3}}});
    let other = json!({"stages": {"shards": {"stage": 1, "term": 3}}});
    // (stages, term on record, term won, whether an older release can read the written term)
    let cases = [
        (json!(null), json!({"term": 7}), None, true),
        (packs(0), json!({"term": 7}), Some(8), true),
        (packs(2), json!({"staged": 7}), Some(8), false),
        (packs(1), json!({"staged": 7}), Some(8), false),
        (packs(9), json!({"staged": 7}), None, false),
        (other, json!({"staged": 7}), None, false),
    ];
    for (stages, term, expected_term, readable) in cases {
        run(async {
            let service =
                fake_state_service(&[(STAGES_KEY, stages.clone()), (TERM_KEY, term.clone())]);
            let node = service.clone().node().await;
            assert_eq!(elect(&node, 0, 0).await.map(|e| e.term), expected_term, "{stages}");
            let wrote = service.requests.lock().expect("lock").iter().any(|r| r == "POST /commit");
            assert_eq!(wrote, expected_term.is_some(), "{stages}");
            if expected_term.is_some() {
                let record: StagesRecord = serde_json::from_value(stages.clone()).expect("stages");
                let written = encode(&Record::term(8, &record));
                assert_eq!(
                    rmp_serde::from_slice::<TermBeforeStages>(&written).is_ok(),
                    readable,
                    "{stages}"
                );
                let current =
                    rmp_serde::from_slice::<TermRecord>(&written).expect("this release reads it");
                assert_eq!(current.term, 8);
            }
        });
    }
}

#[test]
fn takeover_loads_readable_records_and_notes_unreadable_ones() {
    run(async {
        let valid_job = serde_json::to_value(job_record("wk-1")).expect("JSON");
        let service = fake_state_service(&[
            ("j/wk-1", valid_job),
            ("j/wk-2", json!({"job": 1})),
            ("d/wk-1/0", json!({"r": "none"})),
            ("m/n-1", json!("gone")),
            ("r/r-1-1", json!({})),
            ("a/wk-3/0", json!(null)),
            (PROVIDED_KEY, json!({"machines": -1})),
        ]);
        let node = service.node().await;
        load(&node, 1, 5).await.expect("loads despite unreadable records");
        let state = node.state.lock().expect("lock");
        let leader = state.leader_state.as_ref().expect("a leader state");
        // Without machine types no job is known to fit a machine: both jobs are unreadable, each
        // for its own reason.
        assert!(
            leader
                .unreadable
                .job_reason("wk-1")
                .is_some_and(|reason| reason.contains("fits no allowed"))
        );
        assert!(
            leader
                .unreadable
                .job_reason("wk-2")
                .is_some_and(|reason| reason.contains("j/wk-2 can't be read"))
        );
        assert!(leader.unreadable.has_machine("n-1"));
        for path in ["d/wk-1/0", "r/r-1-1", "a/wk-3/0", "j/wk-2"] {
            assert!(leader.unreadable.is_write_protected(path), "{path}");
        }
        assert_eq!(leader.fleet.provided_machines, Some(0), "no machine is retained without work");
        assert!(state.unreadable_keys.contains(PROVIDED_KEY));
    });
}

#[test]
fn query_for_an_unreadable_job_is_not_answered_with_404() {
    run(async {
        // A job whose record is unreadable is still known, and a user must get an answer before the
        // record is fixed. But no status may be reported that may be wrong: the job may have been
        // reported as cancelled along with another one, or may have finished with either outcome.
        let rows = [
            ("j/wk-2", json!(3), 200, "queued"),
            ("j/wk-2", json!({"job": 1, "cancelled": false}), 200, "queued"),
            ("j/wk-2", json!({"job": 1, "cancelled": true}), 200, "aborted"),
            ("j/wk-2", json!({"job": 1, "waits": {"on": ["wk-1"]}}), 503, ""),
            ("f/wk-2", json!(3), 503, ""),
        ];
        for (key, value, status, reported) in rows {
            let service = fake_state_service(&[(key, value)]);
            let node = service.node().await;
            let stored = node.store.get::<FinalRecord>("f/wk-2").await;
            assert_eq!(matches!(stored, Err(StoreError::Unreadable { .. })), key == "f/wk-2");
            let reply = node.handle_request(crate::cluster::frames::Op::Show, b"wk-2").await;
            assert_eq!(reply.status, status, "{key} {reported}");
            if status == 200 {
                let job: copperhaven_wire::jobs::JobStatus =
                    rmp_serde::from_slice(&reply.body).expect("a job");
                assert_eq!(job.status, reported);
            }
            // A job without any record is unknown.
            let reply = node.handle_request(crate::cluster::frames::Op::Show, b"wk-3").await;
            assert_eq!(reply.status, 404);
        }
    });
}
