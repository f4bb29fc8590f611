//! Exhaustive exploration of a small model of a rollout.
//!
//! Three members end and restart with a release that knows stages or with one that doesn't; a leader moves
//! stages, writes packs and converts them back; operators enable and disable the ability. Every order of events
//! up to a depth is explored, each state once. The shortest path to a violated property is printed.

use copperhaven_rollout::{
    AbilitiesRecord, AbilityOverrides, PACKS, Stage, StagesRecord, Transition, next_transition,
};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Process {
    Down,
    /// Runs a release without stages.
    Old,
    New,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    process: [Process; 3],
    /// Whether each member has recorded the ability.
    recorded: [bool; 3],
    stage: u8,
    born_with_stages: bool,
    leader: Option<usize>,
    /// Whether packs are stored.
    packs: bool,
    /// Whether a release that can't see packs was elected while there were some.
    led_without_seeing_packs: bool,
    enabled: bool,
    disabled: bool,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    End(usize),
    Start(usize, Process),
    Record(usize),
    Elect(usize),
    Transition,
    WritePacks,
    ClearPacks,
    Enable,
    ToggleDisabled,
}

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Faults injected to check that the exploration finds them.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// A release without stages can read the term.
    NoFence,
    /// Members that have not recorded the ability are counted as having it.
    CountsAllMembers,
    /// The ability returns to its initial stage while there are still packs.
    WithdrawnTooEarly,
}

fn stages(world: &World) -> StagesRecord {
    let empty =
        StagesRecord { born_with_stages: world.born_with_stages, ..StagesRecord::default() };
    let stage = [Stage::Known, Stage::Read, Stage::Written][world.stage as usize];
    empty.with_stage(PACKS, stage, 1, vec![])
}

fn apply(world: &World, event: Event, fault: Fault) -> Option<World> {
    let mut next = world.clone();
    match event {
        Event::End(i) if world.process[i] != Process::Down => {
            next.process[i] = Process::Down;
            next.leader = next.leader.filter(|l| *l != i);
        }
        Event::Start(i, process) if world.process[i] == Process::Down => next.process[i] = process,
        Event::Record(i) if world.process[i] == Process::New && !world.recorded[i] => {
            next.recorded[i] = true
        }
        Event::Elect(i) if world.leader.is_none() => {
            match world.process[i] {
                Process::Down => return None,
                Process::Old if stages(world).requires_fence() && fault != Fault::NoFence => {
                    return None;
                }
                Process::New if stages(world).unsupported_ability().is_some() => return None,
                _ => {}
            }
            next.leader = Some(i);
            next.led_without_seeing_packs |= world.process[i] == Process::Old && world.packs;
        }
        Event::Transition => {
            let leader = world.leader.filter(|l| world.process[*l] == Process::New)?;
            let members: Vec<String> = NAMES.map(String::from).to_vec();
            let is_counted = |i: usize| world.recorded[i] || fault == Fault::CountsAllMembers;
            let abilities: BTreeMap<String, AbilitiesRecord> = (0..3)
                .filter(|i| is_counted(*i))
                .map(|i| (NAMES[i].to_string(), AbilitiesRecord::for_release(3)))
                .collect();
            let mut overrides = AbilityOverrides::default();
            if world.enabled {
                overrides.enabled.insert(PACKS.into());
            }
            if world.disabled {
                overrides.disabled.insert(PACKS.into());
            }
            let records_remain = world.packs && fault != Fault::WithdrawnTooEarly;
            match next_transition(
                PACKS,
                &stages(world),
                &members,
                &abilities,
                &overrides,
                records_remain,
            ) {
                Transition::Move(stage, _) => next.stage = stage as u8,
                Transition::Hold(_) => return None,
            }
            let _ = leader;
        }
        Event::WritePacks => {
            world.leader.filter(|l| world.process[*l] == Process::New && world.stage == 2)?;
            next.packs = true;
        }
        Event::ClearPacks => {
            world.leader.filter(|l| world.process[*l] == Process::New && world.stage == 1)?;
            next.packs = false;
        }
        Event::Enable if !world.enabled => next.enabled = true,
        Event::ToggleDisabled => next.disabled = !world.disabled,
        _ => return None,
    }
    (next != *world).then_some(next)
}

/// Returns the property that a step violates, if any.
fn violated_property(before: &World, after: &World) -> Option<&'static str> {
    if after.led_without_seeing_packs {
        return Some("a release that does not see packs leads while there are some");
    }
    if after.packs && after.stage == 0 {
        return Some("packs are on record though nothing says so");
    }
    if after.stage == 2 && before.stage != 2 && !after.recorded.iter().all(|recorded| *recorded) {
        return Some("it is switched on though a member has not recorded that it can");
    }
    if after.stage != 0 && !after.born_with_stages && !after.enabled {
        return Some("it is switched on where an older release was, and nobody said so");
    }
    None
}

/// Returns the number of states, or a violated property with the shortest path of events to it.
fn explore(initial: World, depth: usize, fault: Fault) -> Result<usize, (String, Vec<Event>)> {
    let mut events = vec![
        Event::Transition,
        Event::WritePacks,
        Event::ClearPacks,
        Event::Enable,
        Event::ToggleDisabled,
    ];
    for i in 0..3 {
        events.extend([Event::End(i), Event::Record(i), Event::Elect(i)]);
        events.extend([Event::Start(i, Process::Old), Event::Start(i, Process::New)]);
    }
    let mut visited = HashSet::from([initial.clone()]);
    let mut predecessors: HashMap<World, (World, Event)> = HashMap::new();
    let mut queue = VecDeque::from([(initial, 0)]);
    while let Some((world, distance)) = queue.pop_front() {
        if distance == depth {
            continue;
        }
        for event in &events {
            let Some(next) = apply(&world, *event, fault) else { continue };
            if let Some(property) = violated_property(&world, &next) {
                let mut path = vec![*event];
                let mut at = world.clone();
                while let Some((before, event)) = predecessors.get(&at) {
                    path.insert(0, *event);
                    at = before.clone();
                }
                return Err((property.into(), path));
            }
            if visited.insert(next.clone()) {
                predecessors.insert(next.clone(), (world.clone(), *event));
                queue.push_back((next, distance + 1));
            }
        }
    }
    Ok(visited.len())
}

fn world(born_with_stages: bool, process: Process) -> World {
    let (recorded, leader) = ([false; 3], None);
    let process = [process; 3];
    World {
        process,
        recorded,
        stage: 0,
        born_with_stages,
        leader,
        packs: false,
        led_without_seeing_packs: false,
        enabled: false,
        disabled: false,
    }
}

const DEPTH: usize = 14;

#[test]
fn no_order_of_events_violates_a_property() {
    for (born_with_stages, process) in
        [(true, Process::New), (false, Process::Old), (false, Process::New)]
    {
        let states = explore(world(born_with_stages, process), DEPTH, Fault::None);
        let states = states.unwrap_or_else(|(property, path)| panic!("{property}: {path:?}"));
        println!(
            "born with stages {born_with_stages}, {process:?}: {states} states to a depth of {DEPTH}"
        );
        assert!(states > 1_000, "{states}");
    }
}

#[test]
fn injected_faults_are_found() {
    let cases = [
        (Fault::NoFence, true, "a release that does not see packs leads while there are some"),
        (
            Fault::CountsAllMembers,
            true,
            "it is switched on though a member has not recorded that it can",
        ),
        (Fault::WithdrawnTooEarly, true, "packs are on record though nothing says so"),
    ];
    for (fault, born_with_stages, expected) in cases {
        let (property, path) =
            explore(world(born_with_stages, Process::New), DEPTH, fault).expect_err(expected);
        println!("{property}: {path:?}");
        assert_eq!(property, expected);
        assert!(path.len() <= 12, "shortest path: {path:?}");
    }
}
