//! Abilities: what this process can is recorded when it starts; the leader moves stages once all can. The decisions
//! are in `copperhaven-rollout`.

use crate::cluster::frames::RELEASE;
use crate::leadership::ms;
use crate::node::Node;
use crate::store::{CommitOutcome, StoreError};
use copperhaven_core::records::*;
use copperhaven_rollout::{
    AbilitiesRecord, HoldReason, PACKS, Stage, StagesRecord, Transition, next_transition,
};
use std::collections::BTreeMap;
use tokio::time::sleep;

/// The stages on record, and their version.
pub(super) async fn read(node: &Node) -> Result<(StagesRecord, u64), StoreError> {
    Ok(node.store.get::<StagesRecord>(STAGES_KEY).await?.unwrap_or_default())
}

/// Records what this process can, until that is done. Others count it only by this record.
pub(super) async fn record_own_abilities(node: &Node) {
    let own = AbilitiesRecord::for_release(RELEASE);
    let path = format!("{ABILITIES_PREFIX}{}", node.settings.member);
    loop {
        let seen = match node.store.get::<AbilitiesRecord>(&path).await {
            Ok(seen) => seen,
            // Whatever stands there, this process knows what it can itself.
            Err(StoreError::Unreadable { stamp, .. }) => {
                Some((AbilitiesRecord { release: 0, abilities: Default::default() }, stamp))
            }
            Err(_) => {
                sleep(ms(500)).await;
                continue;
            }
        };
        if seen.as_ref().is_some_and(|(can, _)| *can == own) {
            return;
        }
        let when = [Condition { path: path.clone(), revision: seen.map_or(0, |(_, s)| s) }];
        let v = Record::Can(own.clone());
        let apply = [Change::Put { path: path.clone(), value: v, lease_id: None }];
        if let CommitOutcome::Applied(_) = node.store.commit(&when, &apply).await {
            return;
        }
        sleep(ms(500)).await;
    }
}

/// As leader: moves stages when all can, or operators want them back. Ends with the term.
pub(super) async fn run(node: &Node, term: u64, leader: u64) -> &'static str {
    let members: Vec<String> = node.settings.member_names().map(String::from).collect();
    let wish = node.settings.ability_overrides();
    let mut told = None;
    loop {
        sleep(ms(1000)).await;
        let Some(left) = node.with_leader_state(term, |c, _| !c.packs.is_empty()) else {
            return "superseded";
        };
        let Ok((stages, stamp)) = read(node).await else { continue };
        // A move whose answer was lost, or one that an earlier leader made.
        let written = stages.stage(PACKS) == Stage::Written;
        let switched = node.with_leader_state(term, |c, _| {
            let change = c.packs.is_enabled() != written;
            match change {
                true if written => c.pack_machines(),
                true => c.unpack_machines(),
                false => {}
            }
            change && c.packs.is_enabled() == written
        });
        if switched == Some(true) {
            tracing::info!("lists of machines are written in packs: {written}");
        }
        let Ok(cans) = node.store.list::<AbilitiesRecord>(ABILITIES_PREFIX).await else { continue };
        let stamps: BTreeMap<&str, u64> =
            cans.rows.iter().map(|(path, _, s)| (path.as_str(), *s)).collect();
        let name = |path: &String| path.trim_start_matches(ABILITIES_PREFIX).to_string();
        let by_name = cans.rows.iter().map(|(path, can, _)| (name(path), can.clone())).collect();
        let (stage, counted) =
            match next_transition(PACKS, &stages, &members, &by_name, &wish, left) {
                Transition::Move(stage, counted) => (stage, counted),
                Transition::Hold(why) => {
                    let done = matches!(
                        why,
                        HoldReason::Complete
                            | HoldReason::Disabled
                            | HoldReason::LegacyInstallation
                    );
                    if told.as_ref() != Some(&why) {
                        tell(&why, stages.stage(PACKS));
                        told = Some(why);
                    }
                    // Nothing more will come of it in this term.
                    if done {
                        std::future::pending::<()>().await;
                    }
                    continue;
                }
            };
        let next = stages.with_stage(PACKS, stage, term, counted.clone());
        let Ok(Some((_, term_stamp))) = node.store.get::<TermRecord>(TERM_KEY).await else {
            continue;
        };
        let mut when = vec![
            Condition { path: LEADER_KEY.into(), revision: leader },
            Condition { path: STAGES_KEY.into(), revision: stamp },
            Condition { path: TERM_KEY.into(), revision: term_stamp },
        ];
        for member in &counted {
            let path = format!("{ABILITIES_PREFIX}{member}");
            let stamp = stamps.get(path.as_str()).copied().unwrap_or(0);
            when.push(Condition { path, revision: stamp });
        }
        let put = |put: &str, v: Record| Change::Put { path: put.into(), value: v, lease_id: None };
        let apply =
            [put(TERM_KEY, Record::term(term, &next)), put(STAGES_KEY, Record::Stages(next))];
        // Whatever came of it is read back.
        if let CommitOutcome::Applied(_) = node.store.commit(&when, &apply).await {
            let who = if counted.is_empty() { "nobody".into() } else { counted.join(", ") };
            tracing::info!("`{PACKS}` is {} from here on, counted: {who}", stage.name());
        }
    }
}

fn tell(why: &HoldReason, stage: Stage) {
    let stage = stage.name();
    match why {
        HoldReason::Complete | HoldReason::Disabled => {}
        HoldReason::LegacyInstallation => tracing::info!(
            "`{PACKS}` stays {stage}: an older release wrote here before; once none of it comes back, set abilities_on"
        ),
        HoldReason::MissingMembers(m) if m.is_empty() => {
            tracing::warn!("`{PACKS}` stays {stage}: all members are left out");
        }
        HoldReason::MissingMembers(m) => {
            tracing::info!("`{PACKS}` stays {stage}: {} have not recorded it", m.join(", "));
        }
        HoldReason::RemainingRecords => {
            tracing::info!("`{PACKS}` stays {stage} until none of its records is left")
        }
    }
}
