//! The subcommands that query a running installation: `job` and `stages`.

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

/// Exit code: the command succeeded.
pub const EXIT_OK: u8 = 0;
/// Exit code: invalid arguments or settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: unknown job.
pub const EXIT_UNKNOWN_JOB: u8 = 3;
/// Exit code: no answer, or none that can be used.
pub const EXIT_NO_ANSWER: u8 = 4;

/// Reads the stages from the state service that the settings name. Returns the stage of each ability, what
/// each member has recorded and the next transition, as text for the user, and the exit code.
pub async fn stages_command(settings: &Settings) -> (String, u8) {
    let state = &settings.endpoints.state;
    match read_stages(&Store::new(Net::Tcp, state.clone())).await {
        Ok((stages, abilities)) => (format_stages(settings, &stages, &abilities), EXIT_OK),
        Err(e) => {
            (format!("no answer from {state} (setting `endpoints.state`): {e}"), EXIT_NO_ANSWER)
        }
    }
}

/// Recorded abilities, by member.
type AbilitiesByMember = BTreeMap<String, AbilitiesRecord>;

async fn read_stages(store: &Store) -> Result<(StagesRecord, AbilitiesByMember), StoreError> {
    let stages = store.get::<StagesRecord>(STAGES_KEY).await?.map(|(s, _)| s).unwrap_or_default();
    let records = store.list::<AbilitiesRecord>(ABILITIES_PREFIX).await?.rows.into_iter();
    Ok((
        stages,
        records
            .map(|(path, abilities, _)| {
                (path.trim_start_matches(ABILITIES_PREFIX).into(), abilities)
            })
            .collect(),
    ))
}

fn format_stages(
    settings: &Settings,
    stages: &StagesRecord,
    recorded: &AbilitiesByMember,
) -> String {
    let members: Vec<String> = settings.member_names().map(String::from).collect();
    let mut out = String::new();
    for member in &members {
        let text = recorded.get(member).map_or("nothing recorded".into(), |r| {
            let abilities: Vec<&str> = r.abilities.iter().map(String::as_str).collect();
            format!("release {}, can {}", r.release, abilities.join(", "))
        });
        let _ = writeln!(out, "{member}: {text}");
    }
    for ability in ABILITIES {
        let stage = stages.stage(ability);
        // Only the leader knows whether records that need the ability remain; assume that they do.
        let next = match next_transition(
            ability,
            stages,
            &members,
            recorded,
            &settings.ability_overrides(),
            true,
        ) {
            Transition::Move(stage, _) => format!("{} next", stage.name()),
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
        let _ = writeln!(out, "{ability}: {}{since}; {next}", stage.name());
    }
    if let Some(unknown) = stages.unsupported_ability() {
        let _ =
            writeln!(out, "{unknown}: in use, and not known to this release, which does not lead");
    }
    out.trim_end().into()
}

/// Queries or cancels a job through the controller at `server`. Returns the text for the user and the
/// exit code.
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
    let time_limit = Duration::from_secs(5);
    let response = match Client::new(0).call(method, server, &path, None, time_limit).await {
        Ok(response) => response,
        Err(e) => return (format!("no answer from {server}: {e}"), EXIT_NO_ANSWER),
    };
    match response.status {
        200 => match response.decode::<JobStatus>() {
            Some(status) => (format_job(&status), EXIT_OK),
            None => (format!("{server} answered what is no job"), EXIT_NO_ANSWER),
        },
        404 => (format!("{uid}: unknown job"), EXIT_UNKNOWN_JOB),
        s => (format!("{server} can't answer now (status {s}); ask again later"), EXIT_NO_ANSWER),
    }
}

fn format_job(s: &JobStatus) -> String {
    let mut text = format!("{}: {}, {} tasks done, {} running", s.uid, s.status, s.done, s.running);
    if let Some(reason) = &s.reason {
        text += &format!("; {reason}");
    }
    if !s.pending_dependencies.is_empty() {
        text += &format!(": {}", s.pending_dependencies.join(", "));
        let more = s.pending_dependency_count.saturating_sub(s.pending_dependencies.len() as u64);
        if more > 0 {
            text += &format!(" and {more} more");
        }
    }
    if let Some(blocking) = &s.blocked_by {
        text +=
            &format!("; held back by {} ({}), {}", blocking.uid, blocking.class, blocking.status);
        if let Some(reason) = &blocking.reason {
            text += &format!(": {reason}");
        }
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_arguments_and_unreachable_servers_have_their_own_exit_codes() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        for (uid, server, code, word) in [
            ("job-1", "127.0.0.1:1", EXIT_USAGE, "no job id"),
            ("wk-1", "localhost", EXIT_USAGE, "no address"),
            ("wk-1", "127.0.0.1:1", EXIT_NO_ANSWER, "no answer"),
        ] {
            let (text, got) = runtime.block_on(job_command(uid, server, false));
            assert!(got == code && text.contains(word), "{text}");
        }
    }

    #[test]
    fn a_waiting_job_is_shown_with_its_reason() {
        let reason = Some("the team's limit is reached".into());
        let mut s = JobStatus { reason, ..JobStatus::new("wk-1", "queued") };
        assert_eq!(
            format_job(&s),
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
        let text = format_job(&s);
        assert!(text.ends_with(
            "; waits for other jobs to be done: wk-2, wk-3 and 3 more; held back by wk-7 (render), running"
        ), "{text}");
    }

    #[test]
    fn stages_are_shown_with_what_blocks_the_next_transition() {
        let settings = copperhaven_core::for_tests::sample_settings();
        let recorded = |m: &str| (m.to_string(), AbilitiesRecord::for_release(2));
        let new_installation = StagesRecord { born_with_stages: true, ..StagesRecord::default() };
        let written =
            new_installation.with_stage("packs", copperhaven_rollout::Stage::Written, 4, vec![]);
        for (stages, abilities, expected) in [
            (
                &new_installation,
                vec![recorded("c-0")],
                "c-1: nothing recorded\nc-0: release 2, can packs\npacks: known; waits for c-1",
            ),
            (
                &new_installation,
                vec![recorded("c-0"), recorded("c-1")],
                "packs: known; written next",
            ),
            (&StagesRecord::default(), vec![], "packs: known; an older release wrote here before"),
            (&written, vec![], "packs: written since term 4; as far as it goes"),
        ] {
            let text = format_stages(&settings, stages, &abilities.into_iter().collect());
            assert!(text.contains(expected), "{text}");
        }
    }
}
