//! An emulated cloud that speaks the cloud protocol: rented machines boot within seconds, late or never, and the
//! machine list lags behind.

use crate::network::{Host, Network};
use crate::services::{CLOUD, serve};
use crate::workers::{self, CPUS, MACHINE_TYPE, Worker};
use crate::world::World;
use copperhaven_wire::cloud::WireMachineType;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A request to rent machines.
#[derive(Deserialize)]
struct RentRequest {
    /// Id of the rental; a repeated request gets the machines of the first.
    #[serde(rename = "hire")]
    rental_id: String,
    #[serde(rename = "yard")]
    zone: String,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "number")]
    count: usize,
}

/// A request to return machines.
#[derive(Deserialize)]
struct ReturnRequest {
    #[serde(rename = "hearths")]
    machines: Vec<String>,
}

/// A machine that exists, provided or rented.
struct Machine {
    name: String,
    /// Index of its zone.
    zone: usize,
    spot: bool,
    /// When it was provided or rented.
    since: Instant,
    /// Time from then until it is listed.
    list_lag: Duration,
    /// Whether it has finished booting.
    up: bool,
    /// The emulated worker, once the machine is up.
    worker: Option<Arc<Mutex<Worker>>>,
}

impl Machine {
    /// Returns the address at which controllers reach the machine once it is up.
    fn addr(&self) -> String {
        let worker = self.worker.as_ref();
        worker.map_or_else(String::new, |w| w.lock().expect("lock").reported_addr().into())
    }
}

/// The machines of the cloud, and counts of what happened to them.
pub struct Cloud {
    /// Maximum number of machines at a time, provided and rented.
    max_machines: usize,
    /// The number in the name of the machine that was rented last.
    last_number: u64,
    /// Names of the rented machines, by rental id.
    rentals: BTreeMap<String, Vec<String>>,
    /// All machines, provided and rented, by name.
    machines: BTreeMap<String, Machine>,
    /// Whether answers to rentals are lost; the rentals are carried out.
    pub lose_answers: bool,
    /// Rented machines that finished booting.
    pub booted: usize,
    /// Machines that were returned.
    pub returned: usize,
}

impl Cloud {
    /// Creates a cloud that holds at most this many machines.
    pub fn new(max_machines: usize) -> Cloud {
        Cloud {
            max_machines,
            last_number: 500,
            rentals: BTreeMap::new(),
            machines: BTreeMap::new(),
            lose_answers: false,
            booted: 0,
            returned: 0,
        }
    }

    /// Returns the answer to a request for the machine list.
    fn list(&self) -> Value {
        let listed = self.machines.values().filter(|m| m.since.elapsed() >= m.list_lag).map(|m| {
            let zone = ["north", "south", "west"][m.zone];
            json!({"uid": m.name, "addr": m.addr(), "berth": MACHINE_TYPE,
                "yard": zone, "loaners": m.spot,
                "status": if m.up { "running" } else { "booting" }, "heldS": m.since.elapsed().as_secs_f64()})
        });
        json!({"hearths": listed.collect::<Vec<_>>(), "more": false})
    }
}

impl World {
    /// Rents machines. Returns the status and the answer, or `None` if the answer is lost.
    fn rent(self: &Arc<Self>, request: RentRequest) -> Option<(u16, Value)> {
        let mut cloud = self.cloud.lock().expect("lock");
        if let Some(names) = cloud.rentals.get(&request.rental_id) {
            return Some((200, json!({"hearths": names})));
        }
        let available = cloud.max_machines.saturating_sub(cloud.machines.len());
        let Some(zone) =
            self.zones.iter().position(|z| *z == request.zone).filter(|_| available > 0)
        else {
            return Some((503, json!({"error": "no capacity"})));
        };
        let mut names = vec![];
        for _ in 0..request.count.min(available) {
            cloud.last_number += 1;
            let n = cloud.last_number;
            let name = format!("n-{n:06}");
            // Most machines boot within two seconds, one in nine boots late, and one in nine never.
            let boot_time = match n % 9 {
                0 => None,
                1 => Some(Duration::from_secs(40)),
                k => Some(Duration::from_millis(300 + 200 * k)),
            };
            let (spot, since) = (request.spot, Instant::now());
            let list_lag = Duration::from_secs(5);
            let machine = Machine {
                name: name.clone(),
                zone,
                spot,
                since,
                list_lag,
                up: false,
                worker: None,
            };
            cloud.machines.insert(name.clone(), machine);
            if let Some(boot_time) = boot_time {
                let (world, name) = (self.clone(), name.clone());
                tokio::spawn(async move {
                    sleep(boot_time).await;
                    world.boot(&name, n);
                });
            }
            names.push(name);
        }
        cloud.rentals.insert(request.rental_id, names.clone());
        (!cloud.lose_answers).then(|| (200, json!({"hearths": names})))
    }

    /// Finishes the boot of a rented machine, unless it has been returned.
    fn boot(self: &Arc<Self>, name: &str, n: u64) {
        let worker = {
            let mut cloud = self.cloud.lock().expect("lock");
            let Some(m) = cloud.machines.get_mut(name) else { return };
            let worker = Arc::new(Mutex::new(Worker::named(m.name.clone(), m.zone, m.spot)));
            (m.up, m.worker) = (true, Some(worker.clone()));
            cloud.booted += 1;
            worker
        };
        self.start_worker(worker, 77_000 + n);
    }

    /// Adds a machine that is provided: it is up and listed at once, without being rented.
    pub fn provide(self: &Arc<Self>, worker: Arc<Mutex<Worker>>, seed: u64) {
        let (name, zone) = {
            let w = worker.lock().expect("lock");
            (w.name.clone(), w.zone)
        };
        let (since, list_lag) = (Instant::now(), Duration::ZERO);
        let (spot, up, shared) = (false, true, Some(worker.clone()));
        let machine =
            Machine { name: name.clone(), zone, spot, since, list_lag, up, worker: shared };
        self.cloud.lock().expect("lock").machines.insert(name, machine);
        self.start_worker(worker, seed);
    }

    /// Starts the worker of a machine that is up.
    fn start_worker(self: &Arc<Self>, worker: Arc<Mutex<Worker>>, seed: u64) {
        self.workers.lock().expect("lock").push(worker.clone());
        workers::open(self, &worker);
        tokio::spawn(workers::run(self.clone(), worker.clone(), seed));
        tokio::spawn(workers::keep_lease(self.clone(), worker));
    }

    /// Stops the machines of a zone, with all tasks on them.
    pub fn stop_machines(&self, zone: usize) {
        let all = std::mem::take(&mut *self.workers.lock().expect("lock"));
        let (stopped, left) = all.into_iter().partition(|w| w.lock().expect("lock").zone == zone);
        *self.workers.lock().expect("lock") = left;
        let stopped: Vec<Arc<Mutex<Worker>>> = stopped;
        for worker in stopped {
            let mut w = worker.lock().expect("lock");
            w.remove(self);
            self.cloud.lock().expect("lock").machines.remove(&w.name);
        }
    }

    /// Provides six new machines in a zone.
    pub fn add_machines(self: &Arc<Self>, zone: usize) {
        for n in 0..6 {
            let name = format!("n-2{zone}{n}");
            let worker = Arc::new(Mutex::new(Worker::named(name, zone, false)));
            self.provide(worker, 55_000 + n);
        }
    }

    /// Returns machines to the cloud.
    fn return_machines(&self, names: &[String]) -> (u16, Value) {
        for name in names {
            let machine = self.cloud.lock().expect("lock").machines.remove(name);
            let Some(machine) = machine else { continue };
            if let Some(worker) = machine.worker {
                worker.lock().expect("lock").remove(self);
                self.workers.lock().expect("lock").retain(|w| !Arc::ptr_eq(w, &worker));
            }
            self.cloud.lock().expect("lock").returned += 1;
        }
        (200, json!({}))
    }
}

/// Makes the cloud listen at its address. `world` must exist by the time of the first request.
pub fn open(net: &Arc<Network>, zones: &[&str], world: Weak<World>) {
    let machine_type = WireMachineType {
        label: MACHINE_TYPE.into(),
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
        let (machine_type, world) = (machine_type.clone(), world.clone());
        serve(io, move |method, path, body| {
            let world = world.upgrade()?;
            match (method, path.split('?').next()) {
                ("GET", Some("/flavors")) => Some((200, json!({"berths": [machine_type]}))),
                ("GET", _) => Some((200, world.cloud.lock().expect("lock").list())),
                (_, Some("/hosts")) => match rmp_serde::from_slice::<RentRequest>(body) {
                    Ok(request) => world.rent(request),
                    Err(_) => Some((400, json!({}))),
                },
                _ => match rmp_serde::from_slice::<ReturnRequest>(body) {
                    Ok(request) => Some(world.return_machines(&request.machines)),
                    Err(_) => Some((400, json!({}))),
                },
            }
        });
    };
    net.open(CLOUD, Host::Cloud, Arc::new(accept));
}
