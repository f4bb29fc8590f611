//! Rollout of abilities: each process records its own at startup, and the leader moves an ability
//! to its next stage once all members have recorded it. The decisions are made in
//! `copperhaven-rollout`.

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

/// Reads the recorded stages of all abilities and the revision of that record (0: there is none).
pub(super) async fn read(node: &Node) -> Result<(StagesRecord, u64), StoreError> {
    Ok(node.store.get::<StagesRecord>(STAGES_KEY).await?.unwrap_or_default())
}

/// Records the abilities of this process, trying again until it succeeds. Only this record counts
/// when the leader decides on a stage.
pub(super) async fn record_own_abilities(node: &Node) {
    let own = AbilitiesRecord::for_release(RELEASE);
    let path = format!("{ABILITIES_PREFIX}{}", node.settings.member);
    loop {
        let stored = match node.store.get::<AbilitiesRecord>(&path).await {
            Ok(stored) => stored,
            // An unreadable record is overwritten: this process knows its own abilities.
            Err(StoreError::Unreadable { revision, .. }) => {
                Some((AbilitiesRecord { release: 0, abilities: Default::default() }, revision))
            }
            Err(_) => {
                sleep(ms(500)).await;
                continue;
            }
        };
        if stored.as_ref().is_some_and(|(abilities, _)| *abilities == own) {
            return;
        }
        let when = [Condition {
            path: path.clone(),
            revision: stored.map_or(0, |(_, revision)| revision),
        }];
        let value = Record::Can(own.clone());
        let apply = [Change::Put { path: path.clone(), value, lease_id: None }];
        if let CommitOutcome::Applied(_) = node.store.commit(&when, &apply).await {
            return;
        }
        sleep(ms(500)).await;
    }
}

/// Moves an ability to its next stage, as leader, when all members have recorded it, or back when
/// the settings disable it. `leader_revision` is that of the leader key. Returns when the term
/// ends.
pub(super) async fn run(node: &Node, term: u64, leader_revision: u64) -> &'static str {
    let members: Vec<String> = node.settings.member_names().map(String::from).collect();
    let overrides = node.settings.ability_overrides();
    let mut logged_reason = None;
    loop {
        sleep(ms(1000)).await;
        let Some(has_packs) = node.with_leader_state(term, |leader, _| !leader.packs.is_empty())
        else {
            return "superseded";
        };
        let Ok((stages, stages_revision)) = read(node).await else { continue };
        // The stage may differ from memory: the answer to a move was lost, or an earlier leader
        // made it.
        let written = stages.stage(PACKS) == Stage::Written;
        let switched = node.with_leader_state(term, |leader, _| {
            let differs = leader.packs.is_enabled() != written;
            match differs {
                true if written => leader.pack_machines(),
                true => leader.unpack_machines(),
                false => {}
            }
            differs && leader.packs.is_enabled() == written
        });
        if switched == Some(true) {
            tracing::info!("machine assignments are written in packs: {written}");
        }
        let Ok(abilities) = node.store.list::<AbilitiesRecord>(ABILITIES_PREFIX).await else {
            continue;
        };
        let revisions: BTreeMap<&str, u64> =
            abilities.rows.iter().map(|(path, _, revision)| (path.as_str(), *revision)).collect();
        let member_name = |path: &String| path.trim_start_matches(ABILITIES_PREFIX).to_string();
        let by_member = abilities
            .rows
            .iter()
            .map(|(path, record, _)| (member_name(path), record.clone()))
            .collect();
        let (stage, counted) =
            match next_transition(PACKS, &stages, &members, &by_member, &overrides, has_packs) {
                Transition::Move(stage, counted) => (stage, counted),
                Transition::Hold(reason) => {
                    let done = matches!(
                        reason,
                        HoldReason::Complete
                            | HoldReason::Disabled
                            | HoldReason::LegacyInstallation
                    );
                    if logged_reason.as_ref() != Some(&reason) {
                        log_hold(&reason, stages.stage(PACKS));
                        logged_reason = Some(reason);
                    }
                    // The stage will not change any more in this term.
                    if done {
                        std::future::pending::<()>().await;
                    }
                    continue;
                }
            };
        let next = stages.with_stage(PACKS, stage, term, counted.clone());
        let Ok(Some((_, term_revision))) = node.store.get::<TermRecord>(TERM_KEY).await else {
            continue;
        };
        let mut when = vec![
            Condition { path: LEADER_KEY.into(), revision: leader_revision },
            Condition { path: STAGES_KEY.into(), revision: stages_revision },
            Condition { path: TERM_KEY.into(), revision: term_revision },
        ];
        for member in &counted {
            let path = format!("{ABILITIES_PREFIX}{member}");
            let revision = revisions.get(path.as_str()).copied().unwrap_or(0);
            when.push(Condition { path, revision });
        }
        let put =
            |path: &str, value: Record| Change::Put { path: path.into(), value, lease_id: None };
        let apply =
            [put(TERM_KEY, Record::term(term, &next)), put(STAGES_KEY, Record::Stages(next))];
        // Any other outcome shows when the stages are read again in the next round.
        if let CommitOutcome::Applied(_) = node.store.commit(&when, &apply).await {
            let relied_on = if counted.is_empty() { "nobody".into() } else { counted.join(", ") };
            tracing::info!("`{PACKS}` is now {}, members counted: {relied_on}", stage.name());
        }
    }
}

/// Logs why the packs stay at their stage.
fn log_hold(reason: &HoldReason, stage: Stage) {
    let stage = stage.name();
    match reason {
        HoldReason::Complete | HoldReason::Disabled => {}
        HoldReason::LegacyInstallation => tracing::info!(
            "`{PACKS}` stays {stage}: an older release wrote to this state service before; set abilities_on once no process of it can return"
        ),
        HoldReason::MissingMembers(members) if members.is_empty() => {
            tracing::warn!("`{PACKS}` stays {stage}: members_left_out names all members");
        }
        HoldReason::MissingMembers(members) => {
            tracing::info!(
                "`{PACKS}` stays {stage}: {} have not recorded the ability",
                members.join(", ")
            );
        }
        HoldReason::RemainingRecords => {
            tracing::info!("`{PACKS}` stays {stage} until none of its records is left")
        }
    }
}
