//! The fleet: what to rent for the work that waits, and what to give back.

use crate::cell::{Cell, Key, Split, Usage};
use crate::jobs::{EPS, Shape, Spec};
use crate::names::*;
use crate::placement::{Ranked, Slot};
use crate::records::RentalRecord;
use crate::workers::Seen;
pub use copperhaven_wire::cloud::{Host, WireFlavor};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

#[derive(Debug, Clone)]
pub struct Flavor {
    pub label: String,
    pub cpus: f64,
    pub cards: f64,
    pub mem_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub hourly: f64,
    pub spot_hourly: f64,
    pub boot_s: f64,
    pub zones: Vec<ZoneId>,
}

impl Flavor {
    pub fn from_wire(w: &WireFlavor, names: &mut Names) -> Flavor {
        Flavor {
            label: w.label.clone(),
            cpus: w.cpus.max(0.0),
            cards: w.cards.max(0.0),
            mem_gb: w.mem_gb.max(0.0),
            cache_gb: w.cache_gb,
            fetch_gb_per_s: w.fetch_gb_per_s.max(0.001),
            hourly: w.hourly,
            spot_hourly: w.spot_price,
            boot_s: w.startup_s.clamp(0.0, 3600.0),
            zones: w.yards.iter().map(|z| names.zones.intern(z)).collect(),
        }
    }

    pub fn price(&self, spot: bool) -> f64 {
        if spot { self.spot_hourly } else { self.hourly }
    }
}

/// Type, zone, spot or not: what the cloud rents and refuses separately.
pub type Kind = (TypeId, ZoneId, bool);

#[derive(Debug, Clone)]
pub struct Booting {
    pub kind: TypeId,
    pub zone: ZoneId,
    pub spot: bool,
    pub since: u64,
    /// Since when this leader knows of it.
    known: u64,
    /// When a list last showed it.
    listed: u64,
    missed: u32,
}

#[derive(Debug, Clone)]
pub struct Rental {
    what: Kind,
    number: u32,
    ver: u64,
    retry_at: u64,
    /// A call for it is under way.
    asking: bool,
    resolved: bool,
}

#[derive(Debug)]
pub struct Fleet {
    term: u64,
    counter: u64,
    pub booting: BTreeMap<String, Booting>,
    pub rentals: BTreeMap<String, Rental>,
    /// After a refusal: until when, and how long the next pause is.
    pauses: HashMap<Kind, (u64, u64)>,
    /// Names to give back.
    back: BTreeMap<String, &'static str>,
    gone: HashSet<String>,
    /// How many machines the operators have given the service, apart from what it rents itself.
    /// None until they were counted and recorded, before the very first rental.
    pub provided: Option<u32>,
    /// Boots lately seen: when they ended and how long they took, in milliseconds.
    boots: HashMap<(TypeId, ZoneId), VecDeque<(u64, u64)>>,
    /// How many boots were overdue when that was last looked at; for the log.
    pub overdue: usize,
    /// Machines on which jobs that are soon ready were laid when rentals were last planned.
    kept: HashSet<MachineId>,
    /// By zone: since when nothing is heard from it, and when it was last tried nevertheless.
    dark: HashMap<ZoneId, (u64, u64)>,
}

impl Fleet {
    pub fn new(term: u64) -> Fleet {
        Fleet {
            term,
            counter: 0,
            booting: BTreeMap::new(),
            rentals: BTreeMap::new(),
            pauses: HashMap::new(),
            back: BTreeMap::new(),
            gone: HashSet::new(),
            provided: None,
            boots: HashMap::new(),
            overdue: 0,
            kept: HashSet::new(),
            dark: HashMap::new(),
        }
    }

    /// A machine reports: it boots no more. Since when it is paid for, if that is known.
    pub fn came_up(&mut self, name: &str, now: u64) -> Option<u64> {
        let b = self.booting.remove(name)?;
        let seen = self.boots.entry((b.kind, b.zone)).or_default();
        seen.push_back((now, now.saturating_sub(b.since)));
        if seen.len() > BOOTS {
            seen.pop_front();
        }
        Some(b.since)
    }

    /// How long a boot may take before it is overdue: half as long again as the nominal time, or
    /// as what was lately seen of this type in this zone, if that is longer.
    fn patience(&self, kind: TypeId, zone: ZoneId, nominal_s: f64, now: u64) -> u64 {
        let nominal = (nominal_s * 1000.0) as u64;
        let seen = self.boots.get(&(kind, zone)).into_iter().flatten();
        let lately = seen.filter(|(at, _)| now < at + BOOTS_MS).map(|(_, took)| *took);
        let (n, sum) = lately.fold((0u64, 0u64), |(n, sum), took| (n + 1, sum + took));
        let seen = sum.checked_div(n).unwrap_or(0);
        nominal.max(seen.min(nominal * 5)) * 3 / 2 + 1000
    }

    /// Has the cloud confirmed that this machine is gone? Names are never used again.
    pub fn is_gone(&self, name: &str) -> bool {
        self.gone.contains(name)
    }

    fn paused(&self, what: &Kind, now: u64) -> bool {
        self.pauses.get(what).is_some_and(|(until, _)| now < *until)
    }

    pub fn rentable(&self, kind: TypeId, zone: ZoneId, spot: bool, now: u64) -> bool {
        !self.paused(&(kind, zone, false), now) || (spot && !self.paused(&(kind, zone, true), now))
    }

    pub fn record(&self, name: &str, names: &Names) -> Option<RentalRecord> {
        let r = self.rentals.get(name)?;
        Some(RentalRecord {
            berth: names.types.name(r.what.0.ix()).into(),
            yard: names.zones.name(r.what.1.ix()).into(),
            spot: r.what.2,
            number: r.number,
        })
    }

    /// A rental that an earlier leader may have asked for: asked again under the same name, it
    /// gets the same answer.
    pub fn inherit(&mut self, name: &str, what: Kind, number: u32) {
        let rental = Rental { what, number, ver: 0, retry_at: 0, asking: false, resolved: false };
        self.rentals.insert(name.into(), rental);
    }

    fn refused(&mut self, what: Kind, now: u64) {
        let pause = self.pauses.get(&what).map_or(8_000, |(_, next)| *next);
        self.pauses.insert(what, (now + pause, (pause * 2).min(45_000)));
    }
}

/// Boots that are remembered of each type and zone, and for how long.
const BOOTS: usize = 8;
const BOOTS_MS: u64 = 300_000;
/// A place where boots are overdue counts as this much dearer.
const LATE: f64 = 1.5;
/// What a machine costs at least, however soon it is given back.
const MIN_CHARGE_MS: u64 = 60_000;
/// How often a zone from which nothing is heard gets a machine nevertheless.
const PROBE_MS: u64 = 45_000;

impl Cell {
    /// How many tasks of the job should run at once to be in time: all of them where a deadline
    /// or guarantee presses, fewer where the class's objective leaves time for more than one
    /// round.
    fn wanted(&self, spec: &Spec, waiting: u32, guaranteed: bool) -> u32 {
        if spec.shape != Shape::Array || guaranteed || spec.deadline_s.is_some() {
            return waiting;
        }
        let class = self.names.classes.name(spec.class.ix());
        let span = self
            .settings
            .deployment
            .objectives
            .iter()
            .filter(|o| o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
            .fold(self.settings.tuning.default_span_s, f64::min);
        let run = self.rates.run_s(usize::MAX, spec.class, spec.estimate_s);
        let rounds = (span * 0.5 / run).floor().clamp(1.0, 8.0);
        (f64::from(waiting) / rounds).ceil() as u32
    }

    /// Takes note of zones from which nothing is heard though machines should be up there: what is
    /// rented in them could not be used. That a zone is dark outlasts its machines, which go back
    /// once their leases have run out; it ends with a report from the zone, or with a controller
    /// there that is reached (`reached`, by zone).
    pub fn watch_zones(&mut self, reached: &[ZoneId], now: u64) {
        let silence = self.silence();
        let mut heard = vec![(0, 0, 0); self.names.zones.len()];
        for m in self.machines.values() {
            let z = &mut heard[m.zone.ix()];
            z.0 += 1;
            z.1 += u32::from(now < m.heard.max(self.taken) + silence);
            z.2 = z.2.max(m.heard);
        }
        let quiet: Vec<bool> = heard.iter().map(|(up, well, _)| *up >= 2 && *well == 0).collect();
        // With all of them quiet the fault is on this side.
        let all = heard.iter().all(|(up, well, _)| *up == 0 || *well == 0);
        for (i, (_, _, last)) in heard.iter().enumerate() {
            let zone = ZoneId::from(i);
            if quiet[i] && !all {
                self.fleet.dark.entry(zone).or_insert((now, now));
            } else if let Some((since, _)) = self.fleet.dark.get(&zone)
                && (last > since || reached.contains(&zone))
            {
                self.fleet.dark.remove(&zone);
            }
        }
    }

    /// Zones in which nothing is rented for now.
    fn dark_zones(&self) -> Vec<bool> {
        (0..self.names.zones.len())
            .map(|z| self.fleet.dark.contains_key(&ZoneId::from(z)))
            .collect()
    }

    /// Machines whose boot is overdue, and the places where none has come up in time since.
    pub fn overdue(&self, now: u64) -> (Vec<&str>, HashSet<(TypeId, ZoneId)>) {
        let (mut names, mut places) = (vec![], HashSet::new());
        for (name, b) in &self.fleet.booting {
            let nominal = self.flavors[b.kind.ix()].boot_s;
            let due = b.since + self.fleet.patience(b.kind, b.zone, nominal, now);
            // To a new leader the list shows machines that are up and have not reported to it yet.
            let due = due.max(b.known + self.silence());
            if now > due {
                names.push(name.as_str());
                let seen = self.fleet.boots.get(&(b.kind, b.zone));
                if seen.and_then(|s| s.back()).is_none_or(|(at, _)| *at < due) {
                    places.insert((b.kind, b.zone));
                }
            }
        }
        (names, places)
    }

    /// Booting machines that work may count on. One that is overdue is replaced where machines of
    /// its type still come up in time somewhere; where they do nowhere, its replacement would be
    /// as late, and a flood of them would only have to be paid for.
    pub fn coming(&self, now: u64) -> Vec<&Booting> {
        let (overdue, late) = self.overdue(now);
        let elsewhere = |b: &Booting| {
            let zones = &self.flavors[b.kind.ix()].zones;
            let sound =
                |z: &&ZoneId| !late.contains(&(b.kind, **z)) && !self.fleet.dark.contains_key(*z);
            zones.iter().any(|z| sound(&z))
        };
        let others = self.machines.len() + self.fleet.booting.len() - overdue.len();
        let overdue: HashSet<&str> = overdue.into_iter().take(others / 4 + 1).collect();
        let booting = self.fleet.booting.iter();
        let counts = |name: &str, b: &Booting| !overdue.contains(name) || !elsewhere(b);
        booting.filter(|(name, b)| counts(name, b)).map(|(_, b)| b).collect()
    }

    /// Tells operators when boots begin and cease to be overdue.
    pub fn watch_boots(&mut self, now: u64) {
        let n = self.overdue(now).0.len();
        if n > 0 && self.fleet.overdue == 0 {
            tracing::warn!("{n} machines are overdue: others are rented in their stead");
        } else if n == 0 && self.fleet.overdue > 0 {
            tracing::info!("no machine is overdue any more");
        }
        self.fleet.overdue = n;
    }

    /// Now and then a dark zone gets one machine, to see whether it is heard.
    fn probe(&mut self, now: u64) -> Option<(Kind, u32)> {
        let (zone, _) = self
            .fleet
            .dark
            .iter()
            .map(|(zone, (_, tried))| (*zone, *tried))
            .find(|(_, tried)| now > tried + PROBE_MS)?;
        let cheapest =
            |a: &usize, b: &usize| self.flavors[*a].hourly.total_cmp(&self.flavors[*b].hourly);
        let there = |i: &usize| self.flavors[*i].zones.contains(&zone);
        let kind = (0..self.flavors.len()).filter(there).min_by(cheapest)?;
        if let Some((_, tried)) = self.fleet.dark.get_mut(&zone) {
            *tried = now;
        }
        Some(((TypeId::from(kind), zone, false), 1))
    }

    /// Guests take what is left: as long as their work may still be in time no dear machine is
    /// rented for it, if a cheap one will do.
    fn spares(&self, spec: &Spec, born: i64, now: u64) -> bool {
        let waited = (now as i64 - born) as f64 / 1000.0;
        let guest = self.settings.deployment.teams[spec.team.ix()].is_guest();
        guest && spec.spot && waited * self.theta(spec) < 1.0
    }

    /// What to rent now: the work that waits is laid onto free and booting machines in the order
    /// in which it is served; what finds no place is given the cheapest machines that fit it.
    pub fn demand(&self, now: u64) -> Vec<(Kind, u32)> {
        self.demand_and_kept(now).0
    }

    /// The same, and the machines on which jobs that are soon ready were laid.
    fn demand_and_kept(&self, now: u64) -> (Vec<(Kind, u32)>, HashSet<MachineId>) {
        let mut kept = HashSet::new();
        let mut slots: Vec<Slot> = self.slots(now);
        for s in &mut slots {
            // A machine held for a job gets free for it once the tasks there have stopped.
            if s.reserved.is_some() {
                let f = &self.flavors[s.kind.ix()];
                (s.cpus, s.cards, s.mem_gb) = (f.cpus, f.cards, f.mem_gb);
            }
        }
        let fresh = |(kind, zone, spot): Kind, mid: u32| {
            let f = &self.flavors[kind.ix()];
            Slot {
                mid: MachineId(mid),
                kind,
                zone,
                spot,
                cpus: f.cpus,
                cards: f.cards,
                mem_gb: f.mem_gb,
                images: vec![],
                record: usize::MAX,
                reserved: None,
            }
        };
        // A place that a running task is about to leave comes sooner than a machine that boots.
        let boot = self.flavors.iter().map(|f| f.boot_s).fold(f64::MAX, f64::min);
        for s in &mut slots {
            let Some(m) = self.machines.get(&s.mid).filter(|_| s.reserved.is_none()) else {
                continue;
            };
            for ((id, _), e) in &m.entries {
                let Some(job) = self.jobs.get(id) else { continue };
                let run = self.rates.run_s(usize::MAX, job.spec.class, job.spec.estimate_s);
                let ran = now.saturating_sub(e.running_at) as f64 / 1000.0;
                let running = e.seen == Seen::Running && job.spec.shape != Shape::Service;
                if e.stop.is_some() || (running && run - ran < boot) {
                    s.take_back(&job.spec);
                }
            }
        }
        let dark = self.dark_zones();
        let (_, late) = self.overdue(now);
        for b in self.coming(now).into_iter().filter(|b| !dark[b.zone.ix()]) {
            slots.push(fresh((b.kind, b.zone, b.spot), u32::MAX));
        }
        for r in self.fleet.rentals.values().filter(|r| !r.resolved) {
            for _ in 0..r.number {
                slots.push(fresh(r.what, u32::MAX));
            }
        }
        let mut out: BTreeMap<Kind, u32> = BTreeMap::new();
        // By priority: a team's lower work makes way for its higher.
        let split = |s: &Split| -> [Usage; 4] { std::array::from_fn(|p| s.at(p)) };
        let mut used: Vec<[Usage; 4]> = self.split.iter().map(split).collect();
        // Then those that are ready by the time a machine rented now is up.
        let soon: Vec<Ranked> = self
            .soon_ready(boot * 0.5, now)
            .into_iter()
            .map(|id| Ranked { id, guaranteed: false })
            .collect();
        for r in self.ranked(now).into_iter().chain(soon) {
            let Some(job) = self.jobs.get(&r.id) else { continue };
            let spec = &job.spec;
            let early = !job.awaits.is_empty();
            if job.waiting.is_empty() || now < job.retry_at {
                continue;
            }
            let team = &self.settings.deployment.teams[spec.team.ix()];
            let room = |max: f64, used: f64, need: f64| {
                if need <= 0.0 { 1e6 } else { ((max - used + EPS) / need).floor().max(0.0) }
            };
            let above = &mut used[spec.team.ix()][..=spec.precedence as usize];
            let cpus = above.iter().map(|u| u.cpus).sum();
            let cards = above.iter().map(|u| u.cards).sum();
            let quota =
                room(team.cpus_max, cpus, spec.cpus).min(room(team.gpus_max, cards, spec.cards))
                    as u32;
            let failing = job.is_failing() && spec.shape != Shape::Gang;
            if failing && !job.onto.is_empty() {
                continue;
            }
            let waiting = if failing { 1 } else { job.waiting.len() as u32 };
            let mut n = self.wanted(spec, waiting, r.guaranteed).min(quota);
            if spec.shape == Shape::Gang && n < waiting {
                continue;
            }
            let u = &mut above[spec.precedence as usize];
            u.cpus += spec.cpus * f64::from(n);
            u.cards += spec.cards * f64::from(n);
            let tight = |s: &Slot| (s.cpus * 1000.0) as i64;
            let mut order: Vec<usize> = (0..slots.len())
                .filter(|i| slots[*i].reserved.is_none_or(|x| x == r.id))
                .filter(|i| slots[*i].allowed(spec) && slots[*i].fits(spec) > 0)
                .collect();
            order.sort_by_key(|i| (slots[*i].reserved.is_none(), tight(&slots[*i])));
            for i in order {
                let k = slots[i].fits(spec).min(n);
                slots[i].take(spec, k);
                n -= k;
                if early && k > 0 {
                    kept.insert(slots[i].mid);
                }
                if n == 0 {
                    break;
                }
            }
            if n == 0 {
                continue;
            }
            let mut best: Option<(f64, usize, Kind, u32, u32)> = None;
            for kind in &spec.types {
                let f = &self.flavors[kind.ix()];
                for zone in &f.zones {
                    if spec.zone.is_some_and(|z| z != *zone) || dark[zone.ix()] {
                        continue;
                    }
                    for spot in [true, false] {
                        let what = (*kind, *zone, spot);
                        if (spot && !spec.spot) || self.fleet.paused(&what, now) {
                            continue;
                        }
                        if !spot && self.spares(spec, job.since, now) {
                            continue;
                        }
                        let each = fresh(what, 0).fits(spec).max(1);
                        let machines = n.div_ceil(each);
                        let late = if late.contains(&(*kind, *zone)) { LATE } else { 1.0 };
                        let price = f64::from(machines) * f.price(spot).max(1e-6) * late;
                        let busy = out.get(&what).copied().unwrap_or(0) as usize;
                        if best.is_none_or(|(p, b, ..)| (price, busy) < (p, b)) {
                            best = Some((price, busy, what, machines, each));
                        }
                    }
                }
            }
            if let Some((_, _, what, machines, each)) = best {
                let machines = machines.min(50);
                *out.entry(what).or_insert(0) += machines;
                for _ in 0..machines {
                    let mut s = fresh(what, u32::MAX);
                    let k = each.min(n);
                    s.take(spec, k);
                    n -= k;
                    slots.push(s);
                }
            }
        }
        (out.into_iter().collect(), kept)
    }

    /// The shortest time within which an objective wants work to start.
    fn start_span(&self) -> Option<f64> {
        let kinds = ["wait", "guarantee"];
        let objectives = self.settings.deployment.objectives.iter();
        let spans = objectives.filter(|o| kinds.contains(&o.kind.as_str()));
        spans.filter_map(|o| o.within_s).reduce(f64::min)
    }

    /// Where every type boots slower than work has to start, renting on demand is always late:
    /// there the fleet is kept at what the teams' guarantees could call for. Only operators who
    /// keep machines up themselves want that, though: where they give none, machines are meant to
    /// be there for work alone, and money is spent on nothing else.
    fn boots_late(&self) -> bool {
        if self.fleet.provided.is_none_or(|n| n == 0) {
            return false;
        }
        let quickest = self.flavors.iter().map(|f| f.boot_s).fold(f64::MAX, f64::min);
        self.start_span().is_some_and(|s| quickest > s)
    }

    /// CPUs to be kept less those that are up or coming.
    fn standing_gap(&self, now: u64) -> f64 {
        if !self.boots_late() {
            return f64::MIN;
        }
        let guarantees: f64 = self.settings.deployment.teams.iter().map(|t| t.cpus).sum();
        let want = guarantees * self.settings.tuning.standing;
        let up: f64 =
            self.machines.values().filter(|m| !m.faulty && !m.leaving).map(|m| m.cpus).sum();
        let booting = self.coming(now);
        let coming = booting.iter().map(|b| (b.kind, 1));
        let asked = self.fleet.rentals.values().filter(|r| !r.resolved);
        let coming: f64 = coming
            .chain(asked.map(|r| (r.what.0, r.number)))
            .map(|(kind, n)| self.flavors[kind.ix()].cpus * f64::from(n))
            .sum();
        want - up - coming
    }

    fn standing_rental(&self, now: u64) -> Option<(Kind, u32)> {
        let gap = self.standing_gap(now);
        let busy = self.fleet.rentals.values().any(|r| !r.resolved);
        if gap <= EPS || busy {
            return None;
        }
        let dark = self.dark_zones();
        let (_, late) = self.overdue(now);
        let mut best: Option<(f64, Kind, u32)> = None;
        for (i, f) in self.flavors.iter().enumerate() {
            let kind = TypeId::from(i);
            if f.cpus <= 0.0 {
                continue;
            }
            for zone in f.zones.iter().filter(|z| !dark[z.ix()]) {
                for spot in [false, true] {
                    let what = (kind, *zone, spot);
                    // Ordinary machines serve everybody; spot ones only if nothing else is left.
                    let late = if late.contains(&(kind, *zone)) { LATE } else { 1.0 };
                    let price = f.hourly * late / f.cpus + if spot { 1e6 } else { 0.0 };
                    let number = (gap / f.cpus).ceil().clamp(1.0, 8.0) as u32;
                    if !self.fleet.paused(&what, now) && best.is_none_or(|b| price < b.0) {
                        best = Some((price, what, number));
                    }
                }
            }
        }
        best.map(|(_, what, number)| (what, number))
    }

    /// Plans rentals; each is recorded before it is asked for.
    pub fn plan_rentals(&mut self, now: u64) {
        if self.fleet.rentals.len() >= 8 || self.fleet.provided.is_none() {
            return;
        }
        let (mut wanted, kept) = self.demand_and_kept(now);
        self.fleet.kept = kept;
        if !wanted.is_empty() {
            wanted.extend(self.probe(now));
        } else {
            wanted.extend(self.standing_rental(now));
        }
        for (what, number) in wanted {
            let busy = self.fleet.rentals.values().any(|r| r.what == what && !r.resolved);
            if busy || self.fleet.rentals.len() >= 8 {
                continue;
            }
            self.fleet.counter += 1;
            let name = format!("r-{}-{}", self.fleet.term, self.fleet.counter);
            let ver = self.touch(Key::Rental(name.clone()));
            let number = number.min(50);
            let rental = Rental { what, number, ver, retry_at: 0, asking: false, resolved: false };
            self.fleet.rentals.insert(name, rental);
        }
    }

    /// Up to `most` rentals that may be asked for now; they count as being asked for.
    pub fn due_rentals(&mut self, now: u64, most: usize) -> Vec<(String, RentalRecord)> {
        let due = |name: &String, r: &Rental| {
            let key = Key::Rental(name.clone());
            let safe = r.ver == 0 || self.is_saved(&key, r.ver);
            !r.resolved && !r.asking && now >= r.retry_at && safe
        };
        let names = self.fleet.rentals.iter().filter(|(name, r)| due(name, r));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).take(most).collect();
        let mut out = vec![];
        for name in names {
            let Some(record) = self.fleet.record(&name, &self.names) else { continue };
            if let Some(r) = self.fleet.rentals.get_mut(&name) {
                r.asking = true;
            }
            out.push((name, record));
        }
        out
    }

    /// No answer to a rental: it is asked for again under the same name.
    pub fn rental_unanswered(&mut self, name: &str, now: u64) {
        if let Some(r) = self.fleet.rentals.get_mut(name) {
            (r.asking, r.retry_at) = (false, now + 1000);
        }
    }

    pub fn rented(&mut self, name: &str, hearths: Option<Vec<String>>, now: u64) {
        let Some(r) = self.fleet.rentals.get_mut(name) else { return };
        r.resolved = true;
        let (what, number) = (r.what, r.number);
        self.fleet.rentals.remove(name);
        self.touch(Key::Drop(format!("r/{name}")));
        let got = hearths.as_ref().map_or(0, Vec::len);
        let (kind, zone) = (self.names.types.name(what.0.ix()), self.names.zones.name(what.1.ix()));
        let spot = if what.2 { " spot" } else { "" };
        tracing::info!("rent {name}: {got} of {number}{spot} {kind} in {zone} for waiting work");
        if got < number as usize {
            self.fleet.refused(what, now);
        } else {
            self.fleet.pauses.remove(&what);
        }
        for h in hearths.into_iter().flatten() {
            if !self.by_name.contains_key(&h) && !self.fleet.gone.contains(&h) {
                let (kind, zone, spot) = what;
                let (since, known) = (now, now);
                let b = Booting { kind, zone, spot, since, known, listed: 0, missed: 0 };
                self.fleet.booting.insert(h, b);
            }
        }
        self.stir = true;
    }

    /// Takes a whole machine list in. It is late and may be older than the one before: nothing
    /// is taken for gone on its word alone.
    pub fn listed(&mut self, hosts: &[Host], now: u64) {
        for h in hosts {
            if h.status == "failed" && !self.fleet.gone.contains(&h.uid) {
                self.fleet.back.insert(h.uid.clone(), "it has failed");
                continue;
            }
            if self.by_name.contains_key(&h.uid) || self.fleet.gone.contains(&h.uid) {
                continue;
            }
            let (Some(kind), Some(zone)) =
                (self.names.types.get(&h.berth), self.names.zones.get(&h.yard))
            else {
                continue;
            };
            let held = (h.held_s.clamp(0.0, 1e6) * 1000.0) as u64;
            let b = self.fleet.booting.entry(h.uid.clone()).or_insert_with(|| Booting {
                kind,
                zone,
                spot: h.loaners,
                since: now.saturating_sub(held),
                known: now,
                listed: now,
                missed: 0,
            });
            b.listed = now;
            b.missed = 0;
        }
        let seen: HashSet<&str> = hosts.iter().map(|h| h.uid.as_str()).collect();
        let lag = (self.settings.deployment.cloud.list_lag_s * 1000.0) as u64;
        self.fleet.booting.retain(|name, b| {
            if !seen.contains(name.as_str()) {
                b.missed += 1;
            }
            b.missed < 4 || now < b.since.max(b.listed) + 4 * lag
        });
    }

    /// Machines that are there without having been rented: those listed, and those that report.
    pub fn provided(&self, hosts: &[Host]) -> u32 {
        let listed = hosts.iter().filter(|h| h.status != "failed").map(|h| h.uid.as_str());
        let heard = self.machines.values().map(|m| m.name.as_str());
        listed.chain(heard).collect::<HashSet<_>>().len() as u32
    }

    /// What to give back: machines that never came up, that are faulty, about to be taken, past
    /// their lease, or idle for longer than it would take to get them again.
    pub fn plan_returns(&mut self, now: u64) {
        for (name, b) in &self.fleet.booting {
            let boot = self.flavors[b.kind.ix()].boot_s;
            if now > b.since + (boot * 5000.0) as u64 + 20_000 {
                self.fleet.back.insert(name.clone(), "it never came up");
            }
        }
        let mut back = vec![];
        let mut spare = -self.standing_gap(now);
        for (mid, m) in &self.machines {
            if self.lease_over(m, now) {
                back.push((*mid, "its lease has run out"));
            } else if !m.entries.is_empty() || !m.fenced || m.leaving {
                continue;
            } else if m.faulty {
                back.push((*mid, "it fails its tasks"));
            } else if m.recall_at.is_some() {
                back.push((*mid, "the cloud takes it"));
            } else {
                let keep = self.settings.tuning.idle_boots * self.flavors[m.kind.ix()].boot_s;
                let unreserved = m.reserved.is_none_or(|(_, until)| now >= until);
                // The first minute is paid for in any case.
                let unreserved = unreserved && !self.fleet.kept.contains(mid);
                let free = unreserved && now > m.rented + MIN_CHARGE_MS;
                if free && spare >= m.cpus && now > m.idle_since + (keep * 1000.0) as u64 {
                    spare -= m.cpus;
                    back.push((*mid, "it is idle"));
                }
            }
        }
        for (mid, why) in back {
            if let Some(m) = self.machines.get_mut(&mid) {
                m.leaving = true;
                self.fleet.back.insert(m.name.clone(), why);
            }
        }
    }

    pub fn due_returns(&self) -> Vec<String> {
        self.fleet.back.keys().take(100).cloned().collect()
    }

    /// The cloud has confirmed: these machines, and all that was on them, are gone.
    pub fn returned(&mut self, names: &[String]) {
        for name in names {
            let why = self.fleet.back.remove(name).unwrap_or("");
            tracing::info!("return {name}: {why}");
            self.fleet.booting.remove(name);
            if let Some(mid) = self.by_name.get(name).copied() {
                self.remove_machine(mid);
            }
            if self.fleet.gone.len() > 5000 {
                self.fleet.gone.clear();
            }
            self.fleet.gone.insert(name.clone());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn overdue_boots_are_replaced_where_others_come_up_in_time() {
        // Told by operators: machines came up late or never, and the work meant for them waited:
        // what was booting counted as coming for ever.
        let mut c = crate::for_tests::cell();
        let (small, north, south) = (TypeId(0), ZoneId(0), ZoneId(1));
        let boot = |c: &mut Cell, name: &str, zone: ZoneId, since: u64| {
            let (spot, known) = (false, since);
            let b = Booting { kind: small, zone, spot, since, known, listed: 0, missed: 0 };
            c.fleet.booting.insert(name.into(), b);
        };
        boot(&mut c, "n-1", north, 0);
        // Nominally 20 s; so much and half as much again is usual.
        for (now, coming) in [(20_000, 1), (31_000, 1), (31_001, 0), (100_000, 0)] {
            assert_eq!(c.coming(now).len(), coming, "{now}");
        }
        // An old machine that a new leader learns of from the list is just about to report.
        boot(&mut c, "n-9", south, 0);
        c.fleet.booting.get_mut("n-9").expect("there").known = 90_000;
        assert_eq!((c.overdue(93_000).0, c.coming(93_000).len()), (vec!["n-1"], 1));
        c.fleet.booting.remove("n-9");
        // A boot seen since shows that the place is well, another is late all the same.
        assert!(c.overdue(40_000).1.contains(&(small, north)));
        // Where the type comes up in time nowhere, replacements would be as late.
        boot(&mut c, "n-2", south, 1_000);
        assert_eq!(c.coming(40_000).len(), 2);
        // One comes up at last. What is lately seen counts: others may take as long.
        c.fleet.came_up("n-2", 61_000);
        boot(&mut c, "n-3", south, 70_000);
        // The one that never came is given back in the end.
        c.plan_returns(121_000);
        assert_eq!(c.due_returns(), ["n-1"]);
        c.returned(&["n-1".into()]);
        for (now, coming) in [(150_000, 1), (161_001, 0)] {
            let of_south = |b: &&Booting| b.zone == south;
            assert_eq!(c.coming(now).into_iter().filter(of_south).count(), coming, "{now}");
        }
    }

    #[test]
    fn for_guests_cheap_machines_are_rented_first() {
        // Found on recorded days: one guest's array had every machine of the cloud rented within
        // twenty seconds, and the others' gangs found none. It must still get done in the end.
        type Edit = fn(&mut crate::jobs::JobBody);
        let cases: [(Edit, u64, bool); 4] = [
            (|b| (b.owner, b.due_s) = ("guest".into(), None), 60_000, true),
            (|b| (b.owner, b.due_s) = ("guest".into(), None), 700_000, false),
            (|b| (b.owner, b.due_s, b.loaners) = ("guest".into(), None, false), 60_000, false),
            (|b| b.due_s = None, 60_000, false),
        ];
        for (i, (edit, waited, only_cheap)) in cases.into_iter().enumerate() {
            let mut c = crate::for_tests::cell();
            let mut body = crate::for_tests::body("wk-1");
            (body.lot, body.cpus) = ("study".into(), 0.25);
            edit(&mut body);
            let (settings, flavors) = (c.settings.clone(), c.flavors.clone());
            let spec = crate::jobs::admit_shape(&body, &mut c.names, &flavors, &settings);
            c.insert_job(spec.expect("valid"), body, 0, 100_000 - waited as i64);
            for zone in [ZoneId(0), ZoneId(1)] {
                for kind in [TypeId(0), TypeId(1)] {
                    c.fleet.refused((kind, zone, true), 100_000);
                }
            }
            assert_eq!(c.demand(100_000).is_empty(), only_cheap, "case {i}");
            // Without refusals something is rented in any case.
            assert!(!c.demand(120_000).is_empty(), "case {i}");
        }
    }

    #[test]
    fn a_rental_is_asked_for_once_at_a_time_and_only_when_recorded() {
        let mut c = crate::for_tests::cell();
        c.fleet.provided = Some(0);
        let kind = (TypeId(0), ZoneId(0), false);
        for name in ["r-7-1", "r-7-2", "r-7-3"] {
            let ver = c.touch(Key::Rental(name.into()));
            let rental =
                Rental { what: kind, number: 2, ver, retry_at: 0, asking: false, resolved: false };
            c.fleet.rentals.insert(name.into(), rental);
        }
        assert!(c.due_rentals(0, 9).is_empty(), "not before they are recorded");
        while let Some(batch) = c.batch(16) {
            c.applied(&batch, 100);
        }
        let asked: Vec<String> = c.due_rentals(0, 2).into_iter().map(|(n, _)| n).collect();
        assert_eq!(asked, ["r-7-1", "r-7-2"]);
        assert_eq!(c.due_rentals(0, 9).len(), 1);
        assert!(c.due_rentals(0, 9).is_empty());
        // No answer: the same name again, after a pause.
        c.rental_unanswered("r-7-1", 1000);
        assert!(c.due_rentals(1500, 9).is_empty());
        assert_eq!(c.due_rentals(2000, 9)[0].0, "r-7-1");
    }
}
