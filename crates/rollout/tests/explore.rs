//! A small world, explored exhaustively: three members that end, and come back with either release, or with one
//! that knows no stages; a leader that moves stages, writes and takes back; operators who change their minds. Every
//! order of events to a depth; states met once. The shortest way to a broken property is printed.

use copperhaven_rollout::{
    AbilitiesRecord, AbilityOverrides, PACKS, Stage, StagesRecord, Transition, next_transition,
};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Process {
    Down,
    /// Knows no stages.
    Old,
    New,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    process: [Process; 3],
    /// What is on record of each: it can.
    can: [bool; 3],
    stage: u8,
    born: bool,
    leader: Option<usize>,
    /// Are there packs on record, and did a leader that can't see them lead while there were?
    packs: bool,
    blind: bool,
    on: bool,
    off: bool,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    End(usize),
    Start(usize, Process),
    Record(usize),
    Elect(usize),
    Step,
    Write,
    Clear,
    On,
    Off,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Faults put in on purpose.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A release without stages can read the term.
    NoFence,
    /// Members that were not heard are counted as able.
    CountsAll,
    /// It is taken back while there are still records of it.
    BackTooEarly,
}

fn stages(w: &World) -> StagesRecord {
    let none = StagesRecord { born_with_stages: w.born, ..StagesRecord::default() };
    let stage = [Stage::Known, Stage::Read, Stage::Written][w.stage as usize];
    none.with_stage(PACKS, stage, 1, vec![])
}

fn step(w: &World, e: Event, fault: Fault) -> Option<World> {
    let mut n = w.clone();
    match e {
        Event::End(i) if w.process[i] != Process::Down => {
            n.process[i] = Process::Down;
            n.leader = n.leader.filter(|l| *l != i);
        }
        Event::Start(i, p) if w.process[i] == Process::Down => n.process[i] = p,
        Event::Record(i) if w.process[i] == Process::New && !w.can[i] => n.can[i] = true,
        Event::Elect(i) if w.leader.is_none() => {
            match w.process[i] {
                Process::Down => return None,
                Process::Old if stages(w).requires_fence() && fault != Fault::NoFence => {
                    return None;
                }
                Process::New if stages(w).unsupported_ability().is_some() => return None,
                _ => {}
            }
            n.leader = Some(i);
            n.blind |= w.process[i] == Process::Old && w.packs;
        }
        Event::Step => {
            let leader = w.leader.filter(|l| w.process[*l] == Process::New)?;
            let members: Vec<String> = NAMES.map(String::from).to_vec();
            let counts = |i: usize| w.can[i] || fault == Fault::CountsAll;
            let cans: BTreeMap<String, AbilitiesRecord> = (0..3)
                .filter(|i| counts(*i))
                .map(|i| (NAMES[i].to_string(), AbilitiesRecord::for_release(3)))
                .collect();
            let mut wish = AbilityOverrides::default();
            if w.on {
                wish.enabled.insert(PACKS.into());
            }
            if w.off {
                wish.disabled.insert(PACKS.into());
            }
            let left = w.packs && fault != Fault::BackTooEarly;
            match next_transition(PACKS, &stages(w), &members, &cans, &wish, left) {
                Transition::Move(stage, _) => n.stage = stage as u8,
                Transition::Hold(_) => return None,
            }
            let _ = leader;
        }
        Event::Write => {
            w.leader.filter(|l| w.process[*l] == Process::New && w.stage == 2)?;
            n.packs = true;
        }
        Event::Clear => {
            w.leader.filter(|l| w.process[*l] == Process::New && w.stage == 1)?;
            n.packs = false;
        }
        Event::On if !w.on => n.on = true,
        Event::Off => n.off = !w.off,
        _ => return None,
    }
    (n != *w).then_some(n)
}

/// What must hold whatever happens.
fn broken(before: &World, after: &World) -> Option<&'static str> {
    if after.blind {
        return Some("a release that does not see packs leads while there are some");
    }
    if after.packs && after.stage == 0 {
        return Some("packs are on record though nothing says so");
    }
    if after.stage == 2 && before.stage != 2 && !after.can.iter().all(|c| *c) {
        return Some("it is switched on though a member has not recorded that it can");
    }
    if after.stage != 0 && !after.born && !after.on {
        return Some("it is switched on where an older release was, and nobody said so");
    }
    None
}

/// The number of states, or the shortest way to a broken property.
fn explore(first: World, depth: usize, fault: Fault) -> Result<usize, (String, Vec<Event>)> {
    let mut events = vec![Event::Step, Event::Write, Event::Clear, Event::On, Event::Off];
    for i in 0..3 {
        events.extend([Event::End(i), Event::Record(i), Event::Elect(i)]);
        events.extend([Event::Start(i, Process::Old), Event::Start(i, Process::New)]);
    }
    let mut met = HashSet::from([first.clone()]);
    let mut came: HashMap<World, (World, Event)> = HashMap::new();
    let mut queue = VecDeque::from([(first, 0)]);
    while let Some((w, d)) = queue.pop_front() {
        if d == depth {
            continue;
        }
        for e in &events {
            let Some(n) = step(&w, *e, fault) else { continue };
            if let Some(what) = broken(&w, &n) {
                let mut way = vec![*e];
                let mut at = w.clone();
                while let Some((before, e)) = came.get(&at) {
                    way.insert(0, *e);
                    at = before.clone();
                }
                return Err((what.into(), way));
            }
            if met.insert(n.clone()) {
                came.insert(n.clone(), (w.clone(), *e));
                queue.push_back((n, d + 1));
            }
        }
    }
    Ok(met.len())
}

fn world(born: bool, process: Process) -> World {
    let (can, leader) = ([false; 3], None);
    let process = [process; 3];
    World {
        process,
        can,
        stage: 0,
        born,
        leader,
        packs: false,
        blind: false,
        on: false,
        off: false,
    }
}

const DEPTH: usize = 14;

#[test]
fn no_order_of_events_breaks_a_property() {
    for (born, process) in [(true, Process::New), (false, Process::Old), (false, Process::New)] {
        let met = explore(world(born, process), DEPTH, Fault::None);
        let met = met.unwrap_or_else(|(what, way)| panic!("{what}: {way:?}"));
        println!("born {born}, {process:?}: {met} states to a depth of {DEPTH}");
        assert!(met > 1_000, "{met}");
    }
}

#[test]
fn faults_put_in_on_purpose_are_found() {
    let cases = [
        (Fault::NoFence, true, "a release that does not see packs leads while there are some"),
        (Fault::CountsAll, true, "it is switched on though a member has not recorded that it can"),
        (Fault::BackTooEarly, true, "packs are on record though nothing says so"),
    ];
    for (fault, born, expected) in cases {
        let (what, way) = explore(world(born, Process::New), DEPTH, fault).expect_err(expected);
        println!("{what}: {way:?}");
        assert_eq!(what, expected);
        assert!(way.len() <= 12, "the shortest way: {way:?}");
    }
}
