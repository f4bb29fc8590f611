//! The command that shows a user what a job does and why it waits.

use crate::http::Client;
use copperhaven_wire::jobs::{Shown, valid_uid};
use hyper::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// Exit codes: what was asked for was done, bad arguments, unknown job, no (usable) answer.
pub const DONE: u8 = 0;
pub const USAGE: u8 = 2;
pub const UNKNOWN: u8 = 3;
pub const NO_ANSWER: u8 = 4;

/// Asks about a job, or cancels it. Returns the text for the user and the exit code.
pub async fn job(uid: &str, server: &str, cancel: bool) -> (String, u8) {
    if !valid_uid(uid) {
        return (format!("`{uid}` is no job id: wk- and digits"), USAGE);
    }
    if server.parse::<SocketAddr>().is_err() {
        return (format!("`{server}` is no address: give IP:PORT"), USAGE);
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
        200 => match answer.decode::<Shown>() {
            Some(s) => (describe(&s), DONE),
            None => (format!("{server} answered what is no job"), NO_ANSWER),
        },
        404 => (format!("{uid}: unknown job"), UNKNOWN),
        s => (format!("{server} can't answer now (status {s}); ask again later"), NO_ANSWER),
    }
}

fn describe(s: &Shown) -> String {
    let mut text = format!("{}: {}, {} tasks done, {} running", s.uid, s.status, s.done, s.running);
    if let Some(why) = &s.why {
        text += &format!("; {why}");
    }
    if !s.awaits.is_empty() {
        text += &format!(": {}", s.awaits.join(", "));
        let more = s.awaits_count.saturating_sub(s.awaits.len() as u64);
        if more > 0 {
            text += &format!(" and {more} more");
        }
    }
    if let Some(by) = &s.held_by {
        text += &format!("; held back by {} ({}), {}", by.uid, by.lot, by.status);
        if let Some(why) = &by.why {
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
            ("job-1", "127.0.0.1:1", USAGE, "no job id"),
            ("wk-1", "localhost", USAGE, "no address"),
            ("wk-1", "127.0.0.1:1", NO_ANSWER, "no answer"),
        ] {
            let (text, got) = runtime.block_on(job(uid, server, false));
            assert!(got == code && text.contains(word), "{text}");
        }
    }

    #[test]
    fn a_waiting_job_says_why() {
        let why = Some("the team's limit is reached".into());
        let mut s = Shown { why, ..Shown::new("wk-1", "queued") };
        assert_eq!(
            describe(&s),
            "wk-1: queued, 0 tasks done, 0 running; the team's limit is reached"
        );
        s.why = Some("waits for other jobs to be done".into());
        (s.awaits, s.awaits_count) = (vec!["wk-2".into(), "wk-3".into()], 5);
        s.held_by = Some(copperhaven_wire::jobs::HeldBy {
            uid: "wk-7".into(),
            lot: "render".into(),
            status: "running".into(),
            why: None,
        });
        let text = describe(&s);
        assert!(text.ends_with(
            "; waits for other jobs to be done: wk-2, wk-3 and 3 more; held back by wk-7 (render), running"
        ), "{text}");
    }
}
