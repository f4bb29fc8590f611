//! Which way the parts of each crate depend on one another (docs/architecture.md): no circle between
//! files of different slices, crates that point one way, files and impls that stay small.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const MOST_LINES: usize = 800;
const MOST_IMPL: usize = 400;

fn crates() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn rust_files(dir: &Path, out: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(dir) else { return };
    for path in entries.filter_map(|e| Some(e.ok()?.path())) {
        if path.is_dir() {
            rust_files(&path, out);
        } else if path.extension().is_some_and(|e| e == "rs") {
            out.push(path);
        }
    }
    out.sort();
}

/// A crate's files by module path (`state/cell`), without tests and comments.
fn modules(name: &str) -> BTreeMap<String, String> {
    let src = crates().join(name).join("src");
    let mut files = vec![];
    rust_files(&src, &mut files);
    let mut out = BTreeMap::new();
    for file in files {
        let path = file.strip_prefix(&src).expect("below src").with_extension("");
        let path = path.to_string_lossy().replace('\\', "/");
        let module = path.strip_suffix("/mod").unwrap_or(&path).to_string();
        if module.ends_with("tests") {
            continue;
        }
        let text = std::fs::read_to_string(&file).expect("readable");
        let code = text.split("#[cfg(test)]\nmod tests {").next().unwrap_or_default();
        let lines = code.lines().filter(|l| !l.trim_start().starts_with("//"));
        // A call in a chain of lines stands beside what it is called on.
        let code = lines.fold(String::new(), |code, line| match line.trim_start() {
            chained if chained.starts_with('.') => code + chained,
            _ => code + "\n" + line,
        });
        out.insert(module, code);
    }
    assert!(out.len() > 3, "{name} has modules");
    out
}

/// Expands `a::{b, c::{d, e}}` into its paths.
fn paths(text: &str) -> Vec<String> {
    let Some(open) = text.find('{') else { return vec![text.trim().to_string()] };
    let (head, rest) = (text[..open].trim(), &text[open + 1..]);
    let (mut depth, mut from, mut out) = (0, 0, vec![]);
    for (i, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' if depth > 0 => depth -= 1,
            '}' | ',' if depth == 0 => {
                out.extend(paths(&rest[from..i]).iter().map(|p| format!("{head}{p}")));
                from = i + 1;
                if c == '}' {
                    break;
                }
            }
            _ => {}
        }
    }
    out
}

/// All paths below `crate::` and `super::` that a file names, as `a/b/c`.
fn named(module: &str, code: &str) -> Vec<String> {
    let parent = module.rsplit_once('/').map_or("", |(p, _)| p);
    let mut out = vec![];
    for (prefix, base) in [("crate::", ""), ("super::", parent)] {
        for (at, _) in code.match_indices(prefix) {
            let rest = &code[at + prefix.len()..];
            let import = code[..at].trim_end().ends_with("use");
            let found = if import {
                paths(rest.split(';').next().unwrap_or_default())
            } else {
                let end = |c: char| !(c.is_alphanumeric() || c == '_' || c == ':');
                vec![rest.split(end).next().unwrap_or_default().to_string()]
            };
            let join = |p: String| {
                let p = p.replace("::", "/").replace(char::is_whitespace, "");
                if base.is_empty() { p } else { format!("{base}/{p}") }
            };
            out.extend(found.into_iter().map(join));
        }
    }
    out
}

/// The names of the methods that a file adds to `LeaderState`.
fn leader_state_methods(code: &str) -> BTreeSet<&str> {
    let mut out = BTreeSet::new();
    for part in code.split("\nimpl LeaderState {").skip(1) {
        let body = part.split("\n}").next().unwrap_or_default();
        for line in body.lines().filter(|l| l.starts_with("    ") && !l.starts_with("     ")) {
            if let Some((_, f)) = line.split_once("fn ") {
                out.insert(f.split(['(', '<']).next().unwrap_or_default());
            }
        }
    }
    out
}

/// Which file needs which: by what it names, and by methods of `LeaderState` that another one adds.
fn edges(files: &BTreeMap<String, String>) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (module, code) in files {
        owners.extend(leader_state_methods(code).into_iter().map(|m| (m, module.as_str())));
    }
    let mut out: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for (module, code) in files {
        let to = out.entry(module).or_default();
        for mut path in named(module, code) {
            loop {
                if let Some((known, _)) = files.get_key_value(&path) {
                    to.insert(known);
                    break;
                }
                let Some((shorter, _)) = path.rsplit_once('/') else { break };
                path = shorter.to_string();
            }
        }
        let is_leader_state = code.contains("\nimpl LeaderState {");
        for receiver in ["self.", "leader.", "cell.", "c."] {
            if receiver == "self." && !is_leader_state {
                continue;
            }
            for (at, _) in code.match_indices(receiver) {
                let whole = !code[..at].ends_with(|c: char| c.is_alphanumeric() || c == '_');
                let call = &code[at + receiver.len()..];
                let method = call.split('(').next().unwrap_or_default();
                if whole && let Some(owner) = owners.get(method) {
                    to.insert(owner);
                }
            }
        }
        to.remove(module.as_str());
    }
    out
}

fn reach<'a>(edges: &BTreeMap<&'a str, BTreeSet<&'a str>>, from: &'a str) -> BTreeSet<&'a str> {
    let (mut seen, mut next) = (BTreeSet::new(), vec![from]);
    while let Some(at) = next.pop() {
        for to in edges.get(at).into_iter().flatten() {
            if seen.insert(*to) {
                next.push(to);
            }
        }
    }
    seen
}

/// Pairs of files of different slices that need each other.
fn circles(files: &BTreeMap<String, String>) -> Vec<(String, String)> {
    let edges = edges(files);
    let slice = |m: &str| m.split('/').next().unwrap_or_default().to_string();
    let mut out = vec![];
    for (a, to) in &edges {
        for b in to.iter().filter(|b| slice(a) != slice(b)) {
            if reach(&edges, b).contains(a) {
                out.push((a.to_string(), b.to_string()));
            }
        }
    }
    out
}

#[test]
fn no_circle_between_slices() {
    for name in ["wire", "fairness", "reach", "recovery", "rollout", "core", "controller"] {
        let mut files = modules(name);
        // They wire the parts together.
        files.remove("lib");
        files.remove("main");
        assert_eq!(circles(&files), [], "{name}");
    }
}

#[test]
fn a_circle_would_be_seen() {
    let files = |list: &[(&str, &str)]| {
        list.iter().map(|(m, code)| (m.to_string(), code.to_string())).collect()
    };
    let cases: [(&[(&str, &str)], usize); 5] = [
        (&[("a/x", "use crate::b::{c, d::E};"), ("b/d", ""), ("b/c", "")], 0),
        (&[("a/x", "use crate::b::{c, d::E};"), ("b/d", "use crate::a::x::Y;")], 2),
        (&[("a/x", "use crate::a::y::Y;"), ("a/y", "use super::x::X;")], 0),
        (&[("a", "fn f() { crate::b::g(1) }"), ("b", "use crate::{a, c};"), ("c", "")], 2),
        (
            &[
                ("a", "\nimpl LeaderState {\n    pub fn f(&self) {\n        self.g();\n    }\n}"),
                ("b", "\nimpl LeaderState {\n    fn g(&self) {\n        self.f();\n    }\n}"),
            ],
            2,
        ),
    ];
    for (list, n) in cases {
        assert_eq!(circles(&files(list)).len(), n, "{list:?}");
    }
}

#[test]
fn files_and_impls_stay_small() {
    let mut files = vec![];
    rust_files(&crates(), &mut files);
    for file in files {
        let text = std::fs::read_to_string(&file).expect("readable");
        let lines = text.lines().count();
        assert!(lines <= MOST_LINES, "{} has {lines} lines: split it by duty", file.display());
        let mut from = None;
        for (n, line) in text.lines().enumerate() {
            if line.starts_with("impl") {
                from = Some(n);
            }
            if line == "}"
                && let Some(from) = from.take()
            {
                let n = n - from;
                assert!(n <= MOST_IMPL, "{}: an impl of {n} lines", file.display());
            }
        }
    }
}

#[test]
fn crates_point_one_way() {
    let barred = |krate: &str, names: &[&str]| {
        let text = std::fs::read_to_string(crates().join(krate).join("Cargo.toml")).expect("there");
        let deps = text.split("[dependencies]").nth(1).unwrap_or_default();
        let deps = deps.split("\n[").next().unwrap_or_default();
        assert!(deps.contains("serde"), "{krate} has dependencies");
        for name in names {
            assert!(!deps.lines().any(|l| l.starts_with(name)), "{krate} uses {name}");
        }
    };
    barred("core", &["tokio", "hyper", "poem", "rand", "copperhaven.", "copperhaven ="]);
    barred("rollout", &["tokio", "hyper", "poem", "copperhaven"]);
    barred("recovery", &["tokio", "hyper", "poem", "copperhaven"]);
    barred("wire", &["tokio", "hyper", "poem", "rand", "tracing", "copperhaven"]);
}
