//! The cases of the review: `rig CASE FOLDER` plays one of them, writes FOLDER/record.txt, and exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cluster;
mod http;
mod sites;
mod state;
mod value;
mod world;

mod case_answer_lost;
mod case_failed_once;
mod case_tiny_tasks;

use std::fs::File;
use std::path::{Path, PathBuf};

/// What a case is given.
pub struct Setup {
    pub root: PathBuf,
    pub record: File,
    pub trouble: bool,
}

/// How a case ended.
pub enum Outcome {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("rig CASE FOLDER");
        std::process::exit(2);
    };
    let folder = Path::new(folder).canonicalize().expect("the case's folder");
    let root = folder.parent().and_then(Path::parent).expect("the repository").to_path_buf();
    let setup = Setup {
        root,
        record: File::create(folder.join("record.txt")).expect("record.txt"),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    // A case ends by itself well before; the controllers end with this process.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(117));
        println!("couldn't run: not over after 117 s");
        std::process::exit(2);
    });
    let outcome = match case.as_str() {
        "answer-lost" => case_answer_lost::run(setup),
        "tiny-tasks" => case_tiny_tasks::run(setup),
        "failed-once" => case_failed_once::run(setup),
        _ => Outcome::CouldNotRun(format!("no case {case}")),
    };
    let (code, text) = match outcome {
        Outcome::Held(text) => (0, format!("held: {text}")),
        Outcome::Broken(text) => (1, format!("broken: {text}")),
        Outcome::CouldNotRun(text) => (2, format!("couldn't run: {text}")),
    };
    println!("{text}");
    use std::io::Write;
    if let Ok(mut record) = File::options().append(true).open(folder.join("record.txt")) {
        let _ = writeln!(record, "{text}");
    }
    std::process::exit(code);
}
