//! The commands that ask: what a job does and why it waits; how far changes of the stored state are.

use crate::http::Client;
use crate::net::Net;
use crate::store::{Store, StoreError};
use copperhaven_core::records::{ABILITIES_PREFIX, STAGES_KEY};
use copperhaven_core::settings::Settings;
use copperhaven_rollout::{
    ABILITIES, AbilitiesRecord, HoldReason, StagesRecord, Transition, next_transition,
};
use copperhaven_wire::jobs::{JobStatus, is_valid_uid};
use hyper::Method;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Exit codes: what was asked for was done, bad arguments, unknown job, no (usable) answer.
pub const EXIT_OK: u8 = 0;
pub const EXIT_USAGE: u8 = 2;
pub const UNKNOWN: u8 = 3;
pub const NO_ANSWER: u8 = 4;

/// How far each change of the stored state is, who has recorded that it can, and what comes next; read at the
/// state service that the settings name.
pub async fn stages_command(settings: &Settings) -> (String, u8) {
    let state = &settings.endpoints.state;
    match read_stages(&Store::new(Net::Tcp, state.clone())).await {
        Ok((stages, cans)) => (told(settings, &stages, &cans), EXIT_OK),
        Err(e) => (format!("no answer from {state} (setting `endpoints.state`): {e}"), NO_ANSWER),
    }
}

type Cans = BTreeMap<String, AbilitiesRecord>;

async fn read_stages(store: &Store) -> Result<(StagesRecord, Cans), StoreError> {
    let stages = store.get::<StagesRecord>(STAGES_KEY).await?.map(|(s, _)| s).unwrap_or_default();
    let cans = store.list::<AbilitiesRecord>(ABILITIES_PREFIX).await?.rows.into_iter();
    Ok((
        stages,
        cans.map(|(path, can, _)| (path.trim_start_matches(ABILITIES_PREFIX).into(), can))
            .collect(),
    ))
}

fn told(settings: &Settings, stages: &StagesRecord, cans: &Cans) -> String {
    let members: Vec<String> = settings.member_names().map(String::from).collect();
    let mut out = String::new();
    for m in &members {
        let can = cans.get(m).map_or("nothing recorded".into(), |c| {
            let can: Vec<&str> = c.abilities.iter().map(String::as_str).collect();
            format!("release {}, can {}", c.release, can.join(", "))
        });
        let _ = writeln!(out, "{m}: {can}");
    }
    for ability in ABILITIES {
        let stage = stages.stage(ability);
        // Whether records of it are left only its leader knows; they are taken to be.
        let comes = match next_transition(
            ability,
            stages,
            &members,
            cans,
            &settings.ability_overrides(),
            true,
        ) {
            Transition::Move(to, _) => format!("{} next", to.name()),
            Transition::Hold(HoldReason::Complete) => "as far as it goes".into(),
            Transition::Hold(HoldReason::Disabled) => "stays so: abilities_off".into(),
            Transition::Hold(HoldReason::LegacyInstallation) => {
                "an older release wrote here before: waits for abilities_on".into()
            }
            Transition::Hold(HoldReason::MissingMembers(m)) if m.is_empty() => {
                "all members are left out".into()
            }
            Transition::Hold(HoldReason::MissingMembers(m)) => {
                format!("waits for {}", m.join(", "))
            }
            Transition::Hold(HoldReason::RemainingRecords) => {
                "waits until none of its records is left".into()
            }
        };
        let since =
            stages.stages.get(ability).map_or(String::new(), |r| format!(" since term {}", r.term));
        let _ = writeln!(out, "{ability}: {}{since}; {comes}", stage.name());
    }
    if let Some(unknown) = stages.unsupported_ability() {
        let _ =
            writeln!(out, "{unknown}: in use, and not known to this release, which does not lead");
    }
    out.trim_end().into()
}

/// Asks about a job, or cancels it. Returns the text for the user and the exit code.
pub async fn job_command(uid: &str, server: &str, cancel: bool) -> (String, u8) {
    if !is_valid_uid(uid) {
        return (format!("`{uid}` is no job id: wk- and digits"), EXIT_USAGE);
    }
    if server.parse::<SocketAddr>().is_err() {
        return (format!("`{server}` is no address: give IP:PORT"), EXIT_USAGE);
    }
    let (method, path) = if cancel {
        (Method::POST, format!("/api/jobs/{uid}/cancel"))
    } else {
        (Method::GET, format!("/api/jobs/{uid}"))
    };
    let limit = Duration::from_secs(5);
    let answer = match Client::new(0).call(method, server, &path, None, limit).await {
        Ok(answer) => answer,
        Err(e) => return (format!("no answer from {server}: {e}"), NO_ANSWER),
    };
    match answer.status {
        200 => match answer.decode::<JobStatus>() {
            Some(s) => (describe(&s), EXIT_OK),
            None => (format!("{server} answered what is no job"), NO_ANSWER),
        },
        404 => (format!("{uid}: unknown job"), UNKNOWN),
        s => (format!("{server} can't answer now (status {s}); ask again later"), NO_ANSWER),
    }
}

fn describe(s: &JobStatus) -> String {
    let mut text = format!("{}: {}, {} tasks done, {} running", s.uid, s.status, s.done, s.running);
    if let Some(why) = &s.reason {
        text += &format!("; {why}");
    }
    if !s.pending_dependencies.is_empty() {
        text += &format!(": {}", s.pending_dependencies.join(", "));
        let more = s.pending_dependency_count.saturating_sub(s.pending_dependencies.len() as u64);
        if more > 0 {
            text += &format!(" and {more} more");
        }
    }
    if let Some(by) = &s.blocked_by {
        text += &format!("; held back by {} ({}), {}", by.uid, by.class, by.status);
        if let Some(why) = &by.reason {
            text += &format!(": {why}");
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bad_arguments_are_told_apart() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        for (uid, server, code, word) in [
            ("job-1", "127.0.0.1:1", EXIT_USAGE, "no job id"),
            ("wk-1", "localhost", EXIT_USAGE, "no address"),
            ("wk-1", "127.0.0.1:1", NO_ANSWER, "no answer"),
        ] {
            let (text, got) = runtime.block_on(job_command(uid, server, false));
            assert!(got == code && text.contains(word), "{text}");
        }
    }

    #[test]
    fn a_waiting_job_says_why() {
        let why = Some("the team's limit is reached".into());
        let mut s = JobStatus { reason: why, ..JobStatus::new("wk-1", "queued") };
        assert_eq!(
            describe(&s),
            "wk-1: queued, 0 tasks done, 0 running; the team's limit is reached"
        );
        s.reason = Some("waits for other jobs to be done".into());
        (s.pending_dependencies, s.pending_dependency_count) =
            (vec!["wk-2".into(), "wk-3".into()], 5);
        s.blocked_by = Some(copperhaven_wire::jobs::BlockingJob {
            uid: "wk-7".into(),
            class: "render".into(),
            status: "running".into(),
            reason: None,
        });
        let text = describe(&s);
        assert!(text.ends_with(
            "; waits for other jobs to be done: wk-2, wk-3 and 3 more; held back by wk-7 (render), running"
        ), "{text}");
    }

    #[test]
    fn stages_are_told_with_what_holds_them_back() {
        let settings = copperhaven_core::for_tests::sample_settings();
        let can = |m: &str| (m.to_string(), AbilitiesRecord::for_release(2));
        let born = StagesRecord { born_with_stages: true, ..StagesRecord::default() };
        let written = born.with_stage("packs", copperhaven_rollout::Stage::Written, 4, vec![]);
        for (stages, cans, expected) in [
            (
                &born,
                vec![can("c-0")],
                "c-1: nothing recorded\nc-0: release 2, can packs\npacks: known; waits for c-1",
            ),
            (&born, vec![can("c-0"), can("c-1")], "packs: known; written next"),
            (&StagesRecord::default(), vec![], "packs: known; an older release wrote here before"),
            (&written, vec![], "packs: written since term 4; as far as it goes"),
        ] {
            let text = told(&settings, stages, &cans.into_iter().collect());
            assert!(text.contains(expected), "{text}");
        }
    }
}
