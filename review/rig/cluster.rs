//! The project's controllers as separate processes, started with the command of the deploy file, and users.

use crate::http::call;
use crate::value::Value;
use crate::world::{Job, World};
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl` by which a process gets a signal when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// What a site sets for its controllers, as the `[deployment]` part of their settings.
pub struct Site {
    pub deployment: String,
    pub zones: Vec<String>,
}

pub struct Cluster {
    program: Vec<String>,
    folder: PathBuf,
    children: Vec<Option<Child>>,
    pub fronts: Vec<SocketAddr>,
    world: Arc<World>,
}

/// Ports of controllers lie in blocks from here on, below those that the kernel gives to other sockets: a port that is
/// free now would else be taken by another program before the controller listens there.
const FIRST_PORT: u16 = 12_000;
const BLOCK: u16 = 16;
const BLOCKS: u16 = 1_250;

/// Returns so many free loopback addresses, at most a block. Two scripts that run at once have different blocks.
fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let own = (std::process::id() % u32::from(BLOCKS)) as u16;
    for block in (0..BLOCKS).map(|n| (own + n) % BLOCKS) {
        let first = FIRST_PORT + block * BLOCK;
        let ports = (first..first + BLOCK).take(count);
        let bound: Result<Vec<_>, _> = ports.map(|p| TcpListener::bind(("127.0.0.1", p))).collect();
        if let Ok(listeners) = bound {
            return listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
        }
    }
    panic!("no free block of ports");
}

impl Cluster {
    /// Writes the settings of the controllers and starts them. `state` holds the state service's address for each.
    pub fn start(
        root: &Path,
        world: &Arc<World>,
        site: &Site,
        state: &[SocketAddr],
        cloud: SocketAddr,
    ) -> Cluster {
        let deploy =
            std::fs::read_to_string(root.join("deploy/service.toml")).expect("deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = ")).expect("run");
        let mut program: Vec<String> =
            run.trim().trim_matches('"').split_whitespace().map(String::from).collect();
        program[0] = root.join(&program[0]).display().to_string();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let nodes = state.len();
        let mut fronts = free_addrs(2 * nodes);
        let peers = fronts.split_off(nodes);
        for i in 0..nodes {
            let zone = |i: usize| &site.zones[i % site.zones.len()];
            let mut text = format!(
                "member = \"hearth-{i}\"\nzone = \"{}\"\nfront = \"{}\"\ncluster_listen = \"{}\"\n",
                zone(i),
                fronts[i],
                peers[i]
            );
            for j in (0..nodes).filter(|j| *j != i) {
                text += &format!(
                    "\n[[members]]\nmember = \"hearth-{j}\"\nzone = \"{}\"\nendpoint = \"{}\"\n",
                    zone(j),
                    peers[j]
                );
            }
            text += &format!("\n[endpoints]\ncloud = \"{cloud}\"\nstate = \"{}\"\n", state[i]);
            text += &site.deployment;
            std::fs::write(folder.join(format!("hearth-{i}.toml")), text).expect("settings");
        }
        let children = (0..nodes).map(|_| None).collect();
        let mut cluster = Cluster { program, folder, children, fronts, world: world.clone() };
        (0..nodes).for_each(|i| cluster.spawn(i));
        world.lock().fronts = cluster.fronts.clone();
        cluster
    }

    fn spawn(&mut self, i: usize) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("hearth-{i}.log")))
            .expect("a log");
        let mut command = Command::new(&self.program[0]);
        // SAFETY: prctl is a plain system call. The controllers end with this process, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(&self.program[1..])
            .arg(self.folder.join(format!("hearth-{i}.toml")))
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        self.world.note(&format!("hearth-{i} starts"));
        self.children[i] = Some(child);
    }

    /// Controllers that have ended by themselves.
    pub fn ended(&mut self) -> Vec<usize> {
        let ended =
            |c: &mut Option<Child>| c.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))));
        (0..self.children.len()).filter(|i| ended(&mut self.children[*i])).collect()
    }

    /// Waits until some controller answers `GET /up` with 200.
    pub fn wait_until_up(&self, limit: Duration) -> bool {
        let end = std::time::Instant::now() + limit;
        while std::time::Instant::now() < end {
            let up = |a: &SocketAddr| call(*a, "GET", "/up", None, Duration::from_secs(1));
            if self.fronts.iter().all(|a| up(a).is_some_and(|(status, _)| status == 200)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A user who talks to the controllers one after the other.
pub struct User {
    world: Arc<World>,
    next: usize,
}

impl User {
    pub fn new(world: &Arc<World>) -> User {
        User { world: world.clone(), next: 0 }
    }

    fn ask(
        &mut self,
        method: &str,
        path: &str,
        body: Option<&Value>,
        limit_s: u64,
    ) -> (u16, Value) {
        let fronts = self.world.lock().fronts.clone();
        let front = fronts[self.next % fronts.len()];
        self.next += 1;
        let (status, answer) = call(front, method, path, body, Duration::from_secs(limit_s))
            .unwrap_or((0, Value::Nil));
        self.world.note(&format!(
            "user -> {front}: {method} {path} {}: {status} {}",
            body.map(Value::json).unwrap_or_default(),
            answer.json()
        ));
        (status, answer)
    }

    /// Submits a job, and repeats it for up to 60 s until it is accepted or refused for good.
    pub fn submit(&mut self, body: &Value, job: Job) -> u16 {
        let uid = body.get("uid").str().to_string();
        self.world.lock().jobs.insert(uid, job);
        for _ in 0..40 {
            let (status, _) = self.ask("POST", "/api/jobs", Some(body), 5);
            if matches!(status, 200 | 201 | 400 | 422) {
                return status;
            }
            std::thread::sleep(Duration::from_millis(1500));
        }
        0
    }

    pub fn show(&mut self, uid: &str) -> (u16, Value) {
        self.ask("GET", &format!("/api/jobs/{uid}"), None, 2)
    }

    pub fn cancel(&mut self, uid: &str) -> (u16, Value) {
        let answer = self.ask("POST", &format!("/api/jobs/{uid}/cancel"), None, 5);
        if answer.0 == 200 && answer.1.get("status").str() == "aborted" {
            let mut inner = self.world.lock();
            if let Some(job) = inner.jobs.get_mut(uid) {
                job.cancelled.get_or_insert(std::time::Instant::now());
            }
        }
        answer
    }
}
