//! What open jobs take of a leader's memory, by size of job:
//!
//!     cargo run --release -p copperhaven-core --features testing --example memory
//!
//! One row a size; each row takes in so many jobs that they hold two million tasks, and reads the
//! process's resident memory before and after (Linux).

use copperhaven_core::for_tests;
use copperhaven_core::state::leader_state::LeaderState;

fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn fill(cell: &mut LeaderState, jobs: usize, tasks: u64) {
    for n in 0..jobs {
        let uid = format!("wk-{n}");
        let id = for_tests::add_job(cell, &uid, |_| ());
        // The sample job has three tasks: it is taken out again and put in with as many as asked for.
        let body = cell.jobs.get(&id).map(|j| (*j.body).clone());
        let spec = cell.jobs.get(&id).map(|j| (*j.spec).clone());
        cell.jobs.remove(&id);
        if let (Some(mut body), Some(mut spec)) = (body, spec) {
            body.tasks = tasks;
            spec.tasks = tasks as u32;
            cell.insert_job(spec, body, 1, 1);
        }
    }
}

fn main() {
    println!("| tasks of a job | jobs | KB a job | bytes a task |");
    println!("| --- | --- | --- | --- |");
    for tasks in [1, 10, 100, 1_000, 10_000, 100_000] {
        let jobs = (2_000_000 / tasks).min(20_000) as usize;
        let before = resident_kb();
        let mut cell = for_tests::cell();
        fill(&mut cell, jobs, tasks);
        let kb = resident_kb().saturating_sub(before) as f64;
        let (each, task) = (kb / jobs as f64, kb * 1024.0 / (jobs as f64 * tasks as f64));
        println!("| {tasks} | {jobs} | {each:.1} | {task:.1} |");
        // Not given back to the system: the next row starts on fresh pages.
        std::mem::forget(cell);
    }
}
