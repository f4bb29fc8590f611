//! Measures the memory that open jobs take in a leader, by number of tasks:
//!
//!     cargo run --release -p copperhaven-core --features testing --example memory
//!
//! Each size gives one row: it adds jobs until they hold two million tasks, or 20,000 jobs, and reads the
//! process's resident memory before and after. Works on Linux only.

use copperhaven_core::for_tests;
use copperhaven_core::state::leader_state::LeaderState;

/// Returns the resident memory of this process in KiB, 0 if it can't be read.
fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Adds `jobs` jobs of `tasks` tasks each.
fn add_jobs(leader: &mut LeaderState, jobs: usize, tasks: u64) {
    for n in 0..jobs {
        let uid = format!("wk-{n}");
        let id = for_tests::add_job(leader, &uid, |_| ());
        // The sample job has three tasks: it is removed and inserted again with `tasks` of them.
        let body = leader.jobs.get(&id).map(|j| (*j.body).clone());
        let spec = leader.jobs.get(&id).map(|j| (*j.spec).clone());
        leader.jobs.remove(&id);
        if let (Some(mut body), Some(mut spec)) = (body, spec) {
            body.tasks = tasks;
            spec.tasks = tasks as u32;
            leader.insert_job(spec, body, 1, 1);
        }
    }
}

fn main() {
    println!("| tasks of a job | jobs | KB a job | bytes a task |");
    println!("| --- | --- | --- | --- |");
    for tasks in [1, 10, 100, 1_000, 10_000, 100_000] {
        let jobs = (2_000_000 / tasks).min(20_000) as usize;
        let before = resident_kb();
        let mut leader = for_tests::sample_leader();
        add_jobs(&mut leader, jobs, tasks);
        let kb = resident_kb().saturating_sub(before) as f64;
        let (kb_per_job, bytes_per_task) =
            (kb / jobs as f64, kb * 1024.0 / (jobs as f64 * tasks as f64));
        println!("| {tasks} | {jobs} | {kb_per_job:.1} | {bytes_per_task:.1} |");
        // Leaked, so that the next row can't reuse its pages and starts on fresh ones.
        std::mem::forget(leader);
    }
}
