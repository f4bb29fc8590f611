//! The cloud by its protocol: machines that are rented, up within seconds, late or never; lists that lag.

use crate::World;
use crate::network::{Host, Network};
use crate::services::{CLOUD, serve};
use crate::workers::{self, BERTH, CPUS, Worker};
use copperhaven_wire::cloud::WireMachineType;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep};

#[derive(Deserialize)]
struct Hire {
    hire: String,
    yard: String,
    loaners: bool,
    number: usize,
}

#[derive(Deserialize)]
struct Back {
    hearths: Vec<String>,
}

struct Rented {
    name: String,
    zone: usize,
    spot: bool,
    since: Instant,
    /// It is listed so long after that.
    lag: Duration,
    up: bool,
    worker: Option<Arc<Mutex<Worker>>>,
}

pub struct Cloud {
    /// Machines that there are, at most at a time, provided and rented.
    most: usize,
    names: u64,
    hires: BTreeMap<String, Vec<String>>,
    rented: BTreeMap<String, Rented>,
    /// Answers to rentals are lost: they are carried out.
    pub mum: bool,
    /// Machines that were ever up.
    pub booted: usize,
    pub returned: usize,
}

impl Cloud {
    pub fn new(most: usize) -> Cloud {
        Cloud {
            most,
            names: 500,
            hires: BTreeMap::new(),
            rented: BTreeMap::new(),
            mum: false,
            booted: 0,
            returned: 0,
        }
    }

    fn list(&self) -> Value {
        let listed = self.rented.values().filter(|r| r.since.elapsed() >= r.lag).map(|r| {
            let yard = ["north", "south", "west"][r.zone];
            json!({"uid": r.name, "addr": format!("worker-{}:1", r.name), "berth": BERTH,
                "yard": yard, "loaners": r.spot,
                "status": if r.up { "running" } else { "booting" }, "heldS": r.since.elapsed().as_secs_f64()})
        });
        json!({"hearths": listed.collect::<Vec<_>>(), "more": false})
    }
}

impl World {
    fn rent(self: &Arc<Self>, ask: Hire) -> Option<(u16, Value)> {
        let mut cloud = self.cloud.lock().expect("lock");
        if let Some(names) = cloud.hires.get(&ask.hire) {
            return Some((200, json!({"hearths": names})));
        }
        let left = cloud.most.saturating_sub(cloud.rented.len());
        let Some(zone) = self.zones.iter().position(|z| *z == ask.yard).filter(|_| left > 0) else {
            return Some((503, json!({"error": "no capacity"})));
        };
        let mut names = vec![];
        for _ in 0..ask.number.min(left) {
            cloud.names += 1;
            let n = cloud.names;
            let name = format!("n-{n:06}");
            // Most are up within two seconds, some late, one in nine never.
            let boot = match n % 9 {
                0 => None,
                1 => Some(Duration::from_secs(40)),
                k => Some(Duration::from_millis(300 + 200 * k)),
            };
            let (spot, since) = (ask.loaners, Instant::now());
            let lag = Duration::from_secs(5);
            let rented =
                Rented { name: name.clone(), zone, spot, since, lag, up: false, worker: None };
            cloud.rented.insert(name.clone(), rented);
            if let Some(boot) = boot {
                let (world, name) = (self.clone(), name.clone());
                tokio::spawn(async move {
                    sleep(boot).await;
                    world.boot(&name, n);
                });
            }
            names.push(name);
        }
        cloud.hires.insert(ask.hire, names.clone());
        (!cloud.mum).then(|| (200, json!({"hearths": names})))
    }

    fn boot(self: &Arc<Self>, name: &str, n: u64) {
        let worker = {
            let mut cloud = self.cloud.lock().expect("lock");
            let Some(r) = cloud.rented.get_mut(name) else { return };
            let worker = Arc::new(Mutex::new(Worker::named(r.name.clone(), r.zone, r.spot)));
            (r.up, r.worker) = (true, Some(worker.clone()));
            cloud.booted += 1;
            worker
        };
        self.add(worker, 77_000 + n);
    }

    /// A machine that was there before the service.
    pub fn provide(self: &Arc<Self>, worker: Arc<Mutex<Worker>>, seed: u64) {
        let (name, zone) = {
            let w = worker.lock().expect("lock");
            (w.name.clone(), w.zone)
        };
        let (since, lag) = (Instant::now(), Duration::ZERO);
        let (spot, up, known) = (false, true, Some(worker.clone()));
        let rented = Rented { name: name.clone(), zone, spot, since, lag, up, worker: known };
        self.cloud.lock().expect("lock").rented.insert(name, rented);
        self.add(worker, seed);
    }

    /// A machine is up from now on.
    fn add(self: &Arc<Self>, worker: Arc<Mutex<Worker>>, seed: u64) {
        self.workers.lock().expect("lock").push(worker.clone());
        workers::open(self, &worker);
        tokio::spawn(workers::run(self.clone(), worker.clone(), seed));
        tokio::spawn(workers::keep_lease(self.clone(), worker));
    }

    /// The machines of a zone stop, with all that is on them.
    pub fn stop_machines(&self, zone: usize) {
        let all = std::mem::take(&mut *self.workers.lock().expect("lock"));
        let (stopped, left) = all.into_iter().partition(|w| w.lock().expect("lock").zone == zone);
        *self.workers.lock().expect("lock") = left;
        let stopped: Vec<Arc<Mutex<Worker>>> = stopped;
        for worker in stopped {
            let mut w = worker.lock().expect("lock");
            w.go(self);
            self.cloud.lock().expect("lock").rented.remove(&w.name);
        }
    }

    /// Six new machines are there.
    pub fn add_machines(self: &Arc<Self>, zone: usize) {
        for n in 0..6 {
            let name = format!("n-2{zone}{n}");
            let worker = Arc::new(Mutex::new(Worker::named(name, zone, false)));
            self.provide(worker, 55_000 + n);
        }
    }

    fn take_back(&self, names: &[String]) -> (u16, Value) {
        for name in names {
            let rented = self.cloud.lock().expect("lock").rented.remove(name);
            let Some(rented) = rented else { continue };
            if let Some(worker) = rented.worker {
                worker.lock().expect("lock").go(self);
                self.workers.lock().expect("lock").retain(|w| !Arc::ptr_eq(w, &worker));
            }
            self.cloud.lock().expect("lock").returned += 1;
        }
        (200, json!({}))
    }
}

/// Opens the cloud; `world` is there once anybody asks.
pub fn open(net: &Arc<Network>, zones: &[&str], world: Weak<World>) {
    let flavor = WireMachineType {
        label: BERTH.into(),
        cpus: CPUS,
        gpus: 0.0,
        mem_gb: 32.0,
        cache_gb: 50.0,
        image_pull_gb_per_s: 1.0,
        hourly_price: 1.0,
        spot_hourly_price: 0.3,
        boot_s: 20.0,
        zones: zones.iter().map(ToString::to_string).collect(),
    };
    let accept = move |_, io| {
        let (flavor, world) = (flavor.clone(), world.clone());
        serve(io, move |method, path, body| {
            let world = world.upgrade()?;
            match (method, path.split('?').next()) {
                ("GET", Some("/flavors")) => Some((200, json!({"berths": [flavor]}))),
                ("GET", _) => Some((200, world.cloud.lock().expect("lock").list())),
                (_, Some("/hosts")) => match rmp_serde::from_slice::<Hire>(body) {
                    Ok(ask) => world.rent(ask),
                    Err(_) => Some((400, json!({}))),
                },
                _ => match rmp_serde::from_slice::<Back>(body) {
                    Ok(back) => Some(world.take_back(&back.hearths)),
                    Err(_) => Some((400, json!({}))),
                },
            }
        });
    };
    net.open(CLOUD, Host::Cloud, Arc::new(accept));
}
