//! What a controller does about records that can't be read, against a stand-in for the state service.

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

/// Answers look-ups and lists from a map, grants leases, and notes every request.
#[derive(Default)]
struct StandIn {
    records: BTreeMap<String, Value>,
    asked: Mutex<Vec<String>>,
}

impl StandIn {
    fn answer(&self, request: &str) -> (u16, Value) {
        let mut words = request.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        self.asked.lock().expect("lock").push(format!("{method} {path}"));
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

    /// A node whose state service this is; served as long as the returned task lives.
    async fn node(self: Arc<Self>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let mut settings = sample_settings();
        settings.endpoints.state = listener.local_addr().expect("bound").to_string();
        tokio::spawn(async move {
            while let Ok((mut io, _)) = listener.accept().await {
                let this = self.clone();
                tokio::spawn(async move {
                    let mut buffer = vec![0; 64 << 10];
                    while let Ok(n @ 1..) = io.read(&mut buffer).await {
                        let (status, body) = this.answer(&String::from_utf8_lossy(&buffer[..n]));
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

fn stand_in(records: &[(&str, Value)]) -> Arc<StandIn> {
    let records = records.iter().map(|(key, v)| (key.to_string(), v.clone())).collect();
    Arc::new(StandIn { records, ..StandIn::default() })
}

#[test]
fn without_a_readable_term_nobody_leads() {
    // (what stands under the key, the term won)
    let cases = [
        (json!({"term": 7}), Some(8)),
        (json!({"term": "x"}), None),
        (json!([]), None),
        (json!(null), None),
    ];
    for (v, won) in cases {
        run(async {
            let service = stand_in(&[(TERM_KEY, v.clone())]);
            let node = service.clone().node().await;
            assert_eq!(elect(&node, 0, 0).await.map(|won| won.term), won, "{v}");
            let named = node.state.lock().expect("lock").unreadable_keys.contains(TERM_KEY);
            assert_eq!(named, won.is_none(), "{v}");
            let wrote = service.asked.lock().expect("lock").iter().any(|a| a == "POST /commit");
            assert_eq!(wrote, won.is_some(), "{v}: nothing is written without it");
            // The service answers: it is not taken for out of reach.
            assert!(node.state.lock().expect("lock").state_service_down_since_ms.is_none());
        });
    }
}

#[test]
fn who_does_not_know_what_is_in_use_does_not_lead_and_who_knows_no_stages_can_t() {
    // As the release in production reads the term, and those before stages.
    #[derive(serde::Deserialize)]
    struct Before {
        #[allow(dead_code, reason = "whether it is there is all")]
        term: u64,
    }
    let packs = |stage| json!({"born": true, "stages": {"packs": {"stage": stage, "term": 3}}});
    let other = json!({"stages": {"shards": {"stage": 1, "term": 3}}});
    // (stages, term on record, term won, can an older release read what is written)
    let cases = [
        (json!(null), json!({"term": 7}), None, true),
        (packs(0), json!({"term": 7}), Some(8), true),
        (packs(2), json!({"staged": 7}), Some(8), false),
        (packs(1), json!({"staged": 7}), Some(8), false),
        (packs(9), json!({"staged": 7}), None, false),
        (other, json!({"staged": 7}), None, false),
    ];
    for (stages, term, won, readable) in cases {
        run(async {
            let service = stand_in(&[(STAGES_KEY, stages.clone()), (TERM_KEY, term.clone())]);
            let node = service.clone().node().await;
            assert_eq!(elect(&node, 0, 0).await.map(|won| won.term), won, "{stages}");
            let wrote = service.asked.lock().expect("lock").iter().any(|a| a == "POST /commit");
            assert_eq!(wrote, won.is_some(), "{stages}");
            if won.is_some() {
                let record: StagesRecord = serde_json::from_value(stages.clone()).expect("stages");
                let written = encode(&Record::term(8, &record));
                assert_eq!(rmp_serde::from_slice::<Before>(&written).is_ok(), readable, "{stages}");
                let ours = rmp_serde::from_slice::<TermRecord>(&written).expect("this release can");
                assert_eq!(ours.term, 8);
            }
        });
    }
}

#[test]
fn a_takeover_reads_all_that_can_be_read_and_names_the_rest() {
    run(async {
        let good = serde_json::to_value(job_record("wk-1")).expect("JSON");
        let service = stand_in(&[
            ("j/wk-1", good),
            ("j/wk-2", json!({"job": 1})),
            ("d/wk-1/0", json!({"r": "none"})),
            ("m/n-1", json!("gone")),
            ("r/r-1-1", json!({})),
            ("a/wk-3/0", json!(null)),
            (PROVIDED_KEY, json!({"machines": -1})),
        ]);
        let node = service.node().await;
        load(&node, 1, 5).await.expect("it leads all the same");
        let state = node.state.lock().expect("lock");
        let cell = state.cell.as_ref().expect("a cell");
        // Without machine types no job can be told to fit: both are set aside, each for its reason.
        assert!(
            cell.unreadable.job_reason("wk-1").is_some_and(|why| why.contains("fits no allowed"))
        );
        assert!(
            cell.unreadable
                .job_reason("wk-2")
                .is_some_and(|why| why.contains("j/wk-2 can't be read"))
        );
        assert!(cell.unreadable.has_machine("n-1"));
        for path in ["d/wk-1/0", "r/r-1-1", "a/wk-3/0", "j/wk-2"] {
            assert!(cell.unreadable.is_write_protected(path), "{path}");
        }
        assert_eq!(cell.fleet.provided_machines, Some(0), "nothing is kept up without work");
        assert!(state.unreadable_keys.contains(PROVIDED_KEY));
    });
}

#[test]
fn a_question_about_what_can_t_be_read_is_not_answered_with_404() {
    run(async {
        // Known, whatever else: a user must not go unanswered until somebody mends it. But nothing is told that may not
        // be so: it may have been called cancelled with another, or be over, one way or the other.
        let rows = [
            ("j/wk-2", json!(3), 200, "queued"),
            ("j/wk-2", json!({"job": 1, "cancelled": false}), 200, "queued"),
            ("j/wk-2", json!({"job": 1, "cancelled": true}), 200, "aborted"),
            ("j/wk-2", json!({"job": 1, "waits": {"on": ["wk-1"]}}), 503, ""),
            ("f/wk-2", json!(3), 503, ""),
        ];
        for (key, v, status, told) in rows {
            let service = stand_in(&[(key, v)]);
            let node = service.node().await;
            let got = node.store.get::<FinalRecord>("f/wk-2").await;
            assert_eq!(matches!(got, Err(StoreError::Unreadable { .. })), key == "f/wk-2");
            let reply = node.handle_request(crate::cluster::frames::Op::Show, b"wk-2").await;
            assert_eq!(reply.status, status, "{key} {told}");
            if status == 200 {
                let shown: copperhaven_wire::jobs::JobStatus =
                    rmp_serde::from_slice(&reply.body).expect("a job");
                assert_eq!(shown.status, told);
            }
            // One that is nowhere on record still is unknown.
            let reply = node.handle_request(crate::cluster::frames::Op::Show, b"wk-3").await;
            assert_eq!(reply.status, 404);
        }
    });
}
