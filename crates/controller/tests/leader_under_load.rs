//! About 4,000 machines report to three controllers that have too little processor time for them: the leader keeps its
//! lease, so that leaders do not follow one another without end.
//!
//! Controllers are processes of their own, on loopback. Each runs for a fraction of the time only, as under a processor
//! limit; the state service takes a limited number of requests a second.

use copperhaven::http::Client;
use copperhaven_core::rate_limiter::RateLimiter;
use copperhaven_testbed::services::{Answer, Store, serve};
use copperhaven_testbed::triggers::RequestKind;
use copperhaven_testbed::workers::MACHINE_TYPE;
use copperhaven_wire::cloud::WireMachineType;
use copperhaven_wire::workers::Report;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONTROLLERS: usize = 3;
const MACHINES: usize = 4_000;
/// The shortest time between two reports of a worker that the protocol allows.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a worker waits for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Threads that the workers share.
const WORKER_THREADS: usize = 2;
/// Requests that the state service answers per second.
const STATE_RPS: f64 = 900.0;
/// A controller runs for this long, and stands still for the rest of the period.
const RUN_TIME: Duration = Duration::from_millis(8);
const RUN_PERIOD: Duration = Duration::from_millis(40);
/// How long the machines report after a leader is there.
const LOAD_TIME: Duration = Duration::from_secs(20);

/// Runs a future on the thread's own runtime.
fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(future)
}

/// Serves HTTP on a free port, on a thread of its own, until the test ends.
fn serve_on_thread(
    answer: impl Fn(&str, &str, &[u8]) -> Option<Answer> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a listener");
    let addr = listener.local_addr().expect("bound");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        block_on(async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            loop {
                let Ok((io, _)) = listener.accept().await else { continue };
                let answer = answer.clone();
                serve(io, move |method, path, body| answer(method, path, body));
            }
        });
    });
    addr
}

/// Serves the state service. Returns its address and the count of elections.
fn state_service() -> (SocketAddr, Arc<AtomicUsize>) {
    let elections = Arc::new(AtomicUsize::new(0));
    let (counted, started) = (elections.clone(), Instant::now());
    let store = Mutex::new((Store::default(), RateLimiter::new(STATE_RPS / 0.8, 0)));
    let addr = serve_on_thread(move |method, path, body| {
        let mut store = store.lock().expect("lock");
        let (store, limiter) = &mut *store;
        limiter.refill(started.elapsed().as_millis() as u64);
        if !limiter.try_take() {
            return Some((429, json!({})));
        }
        let answer = store.answer(method, path, body);
        if answer.0 == 200 && RequestKind::of(method, path, body) == Some(RequestKind::Election) {
            counted.fetch_add(1, SeqCst);
        }
        Some(answer)
    });
    (addr, elections)
}

/// Serves a cloud that has one machine type and rents out nothing.
fn cloud() -> SocketAddr {
    let machine_type = WireMachineType {
        label: MACHINE_TYPE.into(),
        cpus: 8.0,
        gpus: 0.0,
        mem_gb: 32.0,
        cache_gb: 50.0,
        image_pull_gb_per_s: 1.0,
        hourly_price: 1.0,
        spot_hourly_price: 0.3,
        boot_s: 20.0,
        zones: vec!["north".into()],
    };
    serve_on_thread(move |_, path, _| {
        Some(match path {
            "/flavors" => (200, json!({"berths": [machine_type]})),
            _ => (200, json!({"hearths": [], "more": false})),
        })
    })
}

/// The addresses of one controller.
struct Addresses {
    api: SocketAddr,
    cluster: SocketAddr,
}

/// Returns addresses that no other process of this machine uses: each test process has a loopback address of its own.
fn addresses() -> Vec<Addresses> {
    let pid = std::process::id();
    let host = format!("127.{}.{}.{}", 64 | (pid >> 16 & 0x3f), pid >> 8 & 0xff, pid & 0xff);
    let addr = |port: usize| format!("{host}:{port}").parse().expect("an address");
    (0..CONTROLLERS)
        .map(|ix| Addresses { api: addr(7_000 + ix), cluster: addr(7_100 + ix) })
        .collect()
}

fn settings(ix: usize, all: &[Addresses], state: SocketAddr, cloud: SocketAddr) -> String {
    let mut text = format!(
        "member = \"c-{ix}\"\nzone = \"north\"\nfront = \"{}\"\ncluster_listen = \"{}\"\n",
        all[ix].api, all[ix].cluster
    );
    for (other, addresses) in all.iter().enumerate().filter(|(other, _)| *other != ix) {
        let _ = write!(
            text,
            "[[members]]\nmember = \"c-{other}\"\nzone = \"north\"\nendpoint = \"{}\"\n",
            addresses.cluster
        );
    }
    let _ = write!(
        text,
        "[endpoints]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n[deployment]\nzones = [\"north\"]\nteams = [{{ name = \"red\", cpus = 100.0, cpus_max = 200.0 }}]\n[deployment.workers]\nreport_s = 4.0\nlease_s = 22.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 47.0\n[deployment.state]\nrps = {STATE_RPS}\nwrite_rps = 250.0\nvalue_kb = 16.0\ntxn_ops = 16\n[deployment.cloud]\nrps = 6.0\nlist_lag_s = 3.0\n[deployment.limits]\ncpu_share = 0.2\nmem_mb = 188.0\nmax_connections = 12000\n"
    );
    text
}

/// A controller process that runs for a fraction of the time; it is killed when this is dropped.
struct Controller {
    child: Child,
    settings: PathBuf,
    stopped: Arc<AtomicBool>,
}

impl Controller {
    fn start(ix: usize, settings: &str) -> Controller {
        let name = format!("leader-under-load-{}-{ix}.toml", std::process::id());
        let path: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, settings).expect("a settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_copperhaven"));
        command.arg("--config").arg(&path).stderr(Stdio::null());
        let child = command.spawn().expect("a controller");
        let (pid, stopped) = (Pid::from_raw(child.id() as i32), Arc::new(AtomicBool::new(false)));
        let ended = stopped.clone();
        thread::spawn(move || {
            while !ended.load(SeqCst) {
                thread::sleep(RUN_TIME);
                let _ = kill(pid, Signal::SIGSTOP);
                thread::sleep(RUN_PERIOD - RUN_TIME);
                let _ = kill(pid, Signal::SIGCONT);
            }
        });
        Controller { child, settings: path, stopped }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.stopped.store(true, SeqCst);
        thread::sleep(RUN_PERIOD);
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Reports as one machine without tasks until `end`. Returns how many reports were answered.
async fn report(n: usize, controllers: Arc<Vec<String>>, end: Instant) -> usize {
    let client = Client::new(1);
    let (mut to, mut term, mut answered) = (n % controllers.len(), 0, 0);
    for sequence in 1.. {
        if Instant::now() >= end {
            break;
        }
        let report = Report {
            machine: format!("n-{n:06}"),
            addr: "127.0.0.1:9".into(),
            machine_type: MACHINE_TYPE.into(),
            zone: "north".into(),
            spot: false,
            session: 1,
            sequence,
            term,
            reclaim_in_s: None,
            tasks: vec![],
        };
        let reply = client.post(&controllers[to], "/v1/report", &report, REPORT_TIMEOUT).await;
        let orders = reply.ok().filter(|r| r.status == 200).and_then(|r| {
            #[derive(serde::Deserialize)]
            struct Answered {
                #[serde(rename = "warrant")]
                term: u64,
            }
            r.decode::<Answered>()
        });
        match orders {
            Some(orders) => {
                term = term.max(orders.term);
                answered += 1;
                tokio::time::sleep(MIN_REPORT_INTERVAL).await;
            }
            None => {
                to = (to + 1) % controllers.len();
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
        }
    }
    answered
}

/// Has all machines report for `LOAD_TIME`. Returns how many reports were answered.
fn load(controllers: &Arc<Vec<String>>) -> usize {
    let end = Instant::now() + LOAD_TIME;
    let threads: Vec<_> = (0..WORKER_THREADS)
        .map(|thread| {
            let controllers = controllers.clone();
            let machines = (0..MACHINES).filter(move |n| n % WORKER_THREADS == thread);
            thread::spawn(move || {
                block_on(async move {
                    let reports =
                        machines.map(|n| tokio::spawn(report(n, controllers.clone(), end)));
                    let mut answered = 0;
                    for report in reports.collect::<Vec<_>>() {
                        answered += report.await.expect("a worker");
                    }
                    answered
                })
            })
        })
        .collect();
    threads.into_iter().map(|thread| thread.join().expect("a thread")).sum()
}

#[test]
fn leader_keeps_its_lease_while_4000_machines_report_to_overloaded_controllers() {
    let (state, elections) = state_service();
    let (cloud, addresses) = (cloud(), addresses());
    let _controllers: Vec<Controller> = (0..CONTROLLERS)
        .map(|ix| Controller::start(ix, &settings(ix, &addresses, state, cloud)))
        .collect();
    let started = Instant::now();
    while elections.load(SeqCst) == 0 {
        assert!(started.elapsed() < Duration::from_secs(30), "no leader was elected");
        thread::sleep(Duration::from_millis(20));
    }
    let before = elections.load(SeqCst);
    let endpoints = Arc::new(addresses.iter().map(|a| a.api.to_string()).collect());
    let answered = load(&endpoints);
    let elected = elections.load(SeqCst) - before;
    println!("{answered} reports answered, {elected} leaders elected under load");
    assert!(answered > MACHINES, "too few reports to be a load: {answered}");
    assert_eq!(elected, 0, "leaders follow one another");
}
