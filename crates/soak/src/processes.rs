//! Controllers as processes: start, kill, pause, requests, and whether one ends by itself.

use crate::Parameters;
use crate::gateways::{self, SharedNet};
use copperhaven::cluster::frames::Op;
use copperhaven::http::Client;
use copperhaven::reply::Reply;
use copperhaven_testbed::controllers::{Answering, ControllerProcesses};
use copperhaven_testbed::network::{Host, Network};
use copperhaven_testbed::services::{CLOUD, STATE};
use copperhaven_testbed::world::{Addresses, settings_text};
use hyper::Method;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// How long a request may take at most; users and workers give up sooner.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of health checks.
const HEALTH_INTERVAL: Duration = Duration::from_millis(300);
/// How long a health check may take.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// The first ports of the controllers, below those that the kernel gives to other sockets.
const API_PORT: usize = 7_000;
const CLUSTER_PORT: usize = 7_100;

/// Returns a loopback address that no other run uses: processes that run side by side differ in their ids, and the runs
/// of one process in their seeds.
fn loopback_host(seed: u64) -> String {
    let pid = u64::from(std::process::id());
    format!("127.{}.{}.{}", 64 | (seed & 0x3f), pid >> 8 & 0xff, pid & 0xff)
}

struct Process {
    child: Child,
    /// Whether it was killed on purpose.
    killed: bool,
}

struct Controller {
    settings: PathBuf,
    api: SocketAddr,
    net: SharedNet,
    client: Client,
    process: Mutex<Option<Process>>,
    ready: AtomicBool,
    incarnation: AtomicUsize,
}

/// The controllers of one run. They are killed when this is dropped.
pub(crate) struct Processes {
    controllers: Vec<Controller>,
    command: Vec<String>,
    logs: Option<PathBuf>,
    /// The loopback address of this run.
    host: String,
    seed: u64,
}

impl Processes {
    /// Starts the controllers.
    pub(crate) fn start(
        net: &Arc<Network>,
        parameters: &Parameters,
        zones: &[&str],
        max_team_cpus: usize,
    ) -> std::io::Result<Arc<Processes>> {
        let host = loopback_host(parameters.seed);
        let addr = |port: usize| -> SocketAddr { format!("{host}:{port}").parse().expect("valid") };
        let mut controllers = vec![];
        for ix in 0..parameters.controllers {
            let shared: SharedNet = Arc::new(Mutex::new(net.process_net(Host::Controller(ix))));
            let open = |to: &str| gateways::open(&host, shared.clone(), to).map(|a| a.to_string());
            let (api, cluster) = (addr(API_PORT + ix), addr(CLUSTER_PORT + ix));
            let peers = (0..parameters.controllers).map(|peer| open(&format!("peer:{peer}")));
            let addresses = Addresses {
                api: api.to_string(),
                cluster: cluster.to_string(),
                peers: peers.collect::<Result<_, _>>()?,
                cloud: open(CLOUD)?,
                state: open(STATE)?,
            };
            let name = format!("soak-{}-{}-{ix}.toml", std::process::id(), parameters.seed);
            let settings = std::env::temp_dir().join(name);
            std::fs::write(&settings, settings_text(ix, &addresses, zones, max_team_cpus))?;
            gateways::publish(net, &format!("peer:{ix}"), Host::Controller(ix), cluster);
            controllers.push(Controller {
                settings,
                api,
                net: shared,
                client: Client::new(64),
                process: Mutex::default(),
                ready: AtomicBool::new(false),
                incarnation: AtomicUsize::new(0),
            });
        }
        let processes = Arc::new(Processes {
            controllers,
            command: parameters.command.clone(),
            logs: parameters.logs.clone(),
            host,
            seed: parameters.seed,
        });
        for ix in 0..parameters.controllers {
            processes.spawn(ix)?;
            tokio::spawn(check_health(Arc::downgrade(&processes), ix));
        }
        Ok(processes)
    }

    /// Starts the process of a controller.
    fn spawn(&self, ix: usize) -> std::io::Result<()> {
        let controller = &self.controllers[ix];
        // With `setpriv` the kernel kills the controller when this process is killed.
        let (program, args) = self.command.split_first().expect("a command");
        let mut command = Command::new("setpriv");
        command.args(["--pdeathsig", "KILL", program]);
        command.args(args).arg(&controller.settings);
        let stderr = match &self.logs {
            Some(folder) => {
                std::fs::create_dir_all(folder)?;
                let path = folder.join(format!("seed-{}-c-{ix}.log", self.seed));
                Stdio::from(File::options().create(true).append(true).open(path)?)
            }
            None => Stdio::null(),
        };
        command.stderr(stderr).stdout(Stdio::null()).stdin(Stdio::null());
        let child = command.spawn()?;
        *controller.process.lock().expect("lock") = Some(Process { child, killed: false });
        controller.incarnation.fetch_add(1, SeqCst);
        Ok(())
    }

    /// Sends a signal to a controller, if it runs.
    fn signal(&self, ix: usize, signal: Signal) {
        if let Some(process) = &*self.controllers[ix].process.lock().expect("lock") {
            let _ = kill(Pid::from_raw(process.child.id() as i32), signal);
        }
    }

    /// Kills a controller without marking it as killed on purpose.
    pub(crate) fn kill_unexpectedly(&self, ix: usize) {
        self.signal(ix, Signal::SIGKILL);
    }

    /// Returns why a controller ended by itself, if one did; each end is told once.
    pub(crate) fn unexpected_end(&self) -> Option<String> {
        self.controllers.iter().enumerate().find_map(|(ix, controller)| {
            let mut process = controller.process.lock().expect("lock");
            let process = process.as_mut().filter(|process| !process.killed)?;
            let status = process.child.try_wait().ok().flatten()?;
            process.killed = true;
            Some(format!("controller c-{ix} ended by itself: {status}"))
        })
    }
}

/// Asks a controller at intervals whether it takes requests, as the load balancer does.
async fn check_health(processes: std::sync::Weak<Processes>, ix: usize) {
    loop {
        let Some(all) = processes.upgrade() else { return };
        let controller = &all.controllers[ix];
        let addr = controller.api.to_string();
        let answer = controller.client.get(&addr, "/up", HEALTH_TIMEOUT).await;
        controller.ready.store(answer.is_ok_and(|a| a.status == 200), SeqCst);
        drop(all);
        sleep(HEALTH_INTERVAL).await;
    }
}

/// The controllers as the testbed sees them.
pub(crate) struct SharedProcesses(pub(crate) Arc<Processes>);

impl ControllerProcesses for SharedProcesses {
    fn handle(&self, controller: usize, op: Op, body: &[u8]) -> Answering {
        let (all, body) = (self.0.clone(), body.to_vec());
        Box::pin(async move {
            let id = String::from_utf8_lossy(&body).into_owned();
            let (method, path, body) = match op {
                Op::Submit => (Method::POST, "/api/jobs".to_string(), Some(body)),
                Op::Show => (Method::GET, format!("/api/jobs/{id}"), None),
                Op::Cancel => (Method::POST, format!("/api/jobs/{id}/cancel"), None),
                Op::Report => (Method::POST, "/v1/report".to_string(), Some(body)),
            };
            let controller = &all.controllers[controller];
            let addr = controller.api.to_string();
            let answer = controller.client.call(method, &addr, &path, body, REQUEST_TIMEOUT).await;
            answer.ok().map(|answer| Reply {
                status: answer.status,
                retry_after: 0,
                body: answer.body.to_vec(),
                close_connection: false,
            })
        })
    }

    fn is_ready(&self, controller: usize) -> bool {
        self.0.controllers[controller].ready.load(SeqCst)
    }

    fn incarnation(&self, controller: usize) -> usize {
        self.0.controllers[controller].incarnation.load(SeqCst)
    }

    fn end(&self, controller: usize) {
        let mut process = self.0.controllers[controller].process.lock().expect("lock");
        if let Some(process) = &mut *process {
            process.killed = true;
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        self.0.controllers[controller].ready.store(false, SeqCst);
    }

    fn restart(&self, net: &Arc<Network>, controller: usize) {
        *self.0.controllers[controller].net.lock().expect("lock") =
            net.process_net(Host::Controller(controller));
        self.0.spawn(controller).expect("a controller");
    }

    fn pause(&self, controller: usize, duration: Duration) {
        self.0.signal(controller, Signal::SIGSTOP);
        let all = self.0.clone();
        tokio::spawn(async move {
            sleep(duration).await;
            all.signal(controller, Signal::SIGCONT);
        });
    }

    fn expose(&self, net: &Arc<Network>, addr: &str) -> String {
        // Which controller opened a connection can't be told from its socket, so the faults of links to workers do not
        // apply to direct orders.
        let outside: SharedNet = Arc::new(Mutex::new(net.process_net(Host::Users)));
        gateways::open(&self.0.host, outside, addr).expect("a port").to_string()
    }

    fn unexpected_end(&self) -> Option<String> {
        self.0.unexpected_end()
    }
}
impl Drop for Processes {
    fn drop(&mut self) {
        for controller in &self.controllers {
            if let Some(process) = &mut *controller.process.lock().expect("lock") {
                let _ = process.child.kill();
                let _ = process.child.wait();
            }
            let _ = std::fs::remove_file(&controller.settings);
        }
    }
}
