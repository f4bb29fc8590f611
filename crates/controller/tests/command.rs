//! Tests of the `copperhaven` command: subcommands, exit codes, log formats, and the sample settings
//! under `deploy/`.

use copperhaven_core::settings::{Tuning, load};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Returns the path of a file under `deploy/`.
fn deploy_file(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(file)
}

/// Runs the command to its end; returns the exit code (-1 if a signal ended it), standard output and
/// standard error.
fn run_command(args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_copperhaven"));
    let Output { status, stdout, stderr } =
        command.args(args).env_remove("COPPERHAVEN_TUNING").output().expect("the command starts");
    let text = |b: Vec<u8>| String::from_utf8_lossy(&b).into_owned();
    (status.code().unwrap_or(-1), text(stdout), text(stderr))
}

#[test]
fn samples_are_valid_and_show_every_default() {
    let settings =
        load(&deploy_file("sample-platform.toml"), Some(&deploy_file("sample-operators.yaml")));
    let settings = settings.expect("valid sample settings");
    assert_eq!(format!("{:?}", settings.tuning), format!("{:?}", Tuning::default()));
    // The sample lists every key of the operators' settings.
    let text = std::fs::read_to_string(deploy_file("sample-operators.yaml")).expect("there");
    let shown = format!("{:?}", Tuning::default());
    for field in shown.trim_start_matches("Tuning { ").trim_end_matches(" }").split(", ") {
        let key = field.split(':').next().unwrap_or_default();
        assert!(text.lines().any(|l| l.starts_with(&format!("{key}:"))), "{key} is missing");
    }
}

#[test]
fn calls_report_results_by_exit_code_and_output() {
    let platform = deploy_file("sample-platform.toml").display().to_string();
    let operators = deploy_file("sample-operators.yaml").display().to_string();
    let valid = "settings of controller-0 are valid\n";
    // (arguments, exit code, text in standard output, text in standard error)
    let cases: [(&[&str], i32, &str, &str); 17] = [
        (&["check", "--config", &platform], 0, valid, ""),
        (&["check", "--config", &platform, "--tuning", &operators], 0, valid, ""),
        (&["--config", &platform, "--check"], 0, valid, ""),
        (&["--config", &platform, "--tuning", &operators, "--check"], 0, valid, ""),
        (&["check", "--config", "nowhere.toml"], 2, "", "nowhere.toml"),
        (&["check", "--config", &platform, "--tuning", &platform], 2, "", "sample-platform.toml"),
        (&["check"], 2, "", "--config"),
        (&["serve"], 2, "", "--config"),
        (&[], 2, "", "--config"),
        (&["--log-format", "xml", "version"], 2, "", "possible values: text, json"),
        (&["--check", "version"], 2, "", "go behind the subcommand"),
        (&["--log-format", "json", "version"], 0, "copperhaven ", ""),
        (&["version"], 0, "release 2", ""),
        (&["stages"], 2, "", "--config"),
        (&["stages", "--config", &platform], 4, "", "(setting `endpoints.state`)"),
        (&["job", "job-1", "--server", "127.0.0.1:1"], 2, "", "is no job id"),
        (&["job", "wk-1", "--server", "127.0.0.1:1"], 4, "", "no answer from 127.0.0.1:1"),
    ];
    for (args, exit_code, in_stdout, in_stderr) in cases {
        let (got_code, stdout, stderr) = run_command(args);
        assert_eq!(got_code, exit_code, "{args:?}: {stdout}{stderr}");
        assert!(
            stdout.contains(in_stdout) && stderr.contains(in_stderr),
            "{args:?}: {stdout}{stderr}"
        );
    }
}

/// Runs a controller with no other services running, until it has logged its first line; returns that line.
/// Its settings are the sample's, with `port` for the API endpoint; "FILE" in `args` stands for their path.
fn first_log_lines(args: &[&str], port: u16) -> Vec<String> {
    let dir = std::env::temp_dir().join(format!("copperhaven-{}-{port}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("platform.toml");
    let text = std::fs::read_to_string(deploy_file("sample-platform.toml")).expect("there");
    let text = text.replace("127.0.0.1:8080", &format!("127.0.0.1:{port}"));
    std::fs::write(&file, text.replace("127.0.0.1:8090", "127.0.0.1:0")).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_copperhaven"));
    let file = file.display().to_string();
    let args = args.iter().map(|a| if *a == "FILE" { file.as_str() } else { a });
    let mut child = command
        .args(args)
        .env("LOG_LEVEL", "warn")
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the controller starts");
    let mut lines = vec![];
    let stderr = std::io::BufReader::new(child.stderr.take().expect("piped"));
    for line in std::io::BufRead::lines(stderr).map_while(Result::ok).take(1) {
        lines.push(line);
    }
    child.kill().expect("still running");
    child.wait().expect("ended");
    std::fs::remove_dir_all(&dir).expect("removed");
    lines
}

#[test]
fn log_lines_are_text_or_json() {
    // Nothing listens at the sample's address of the state service, so the first line is a warning.
    let port = || {
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        free.local_addr().expect("bound").port()
    };
    let message = "the state service is out of reach";
    for args in [&["--config", "FILE"][..], &["serve", "--config", "FILE"]] {
        let lines = first_log_lines(args, port());
        assert!(lines[0].trim_start().starts_with(&format!("WARN {message}")), "{lines:?}");
    }
    let lines = first_log_lines(&["serve", "--config", "FILE", "--log-format", "json"], port());
    let line: serde_json::Value = serde_json::from_str(&lines[0]).expect("JSON");
    assert_eq!(line["level"], "WARN");
    assert!(line["message"].as_str().is_some_and(|m| m.starts_with(message)), "{line}");
    assert!(line["timestamp"].is_string());
}
