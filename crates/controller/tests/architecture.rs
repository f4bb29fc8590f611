//! Checks the dependency rules of docs/architecture.md: files of different slices of a crate have no cyclic
//! dependencies, crates depend on each other in one direction only, and files and `impl` blocks stay within
//! line limits. A slice is a top-level module of a crate.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const MAX_FILE_LINES: usize = 800;
const MAX_IMPL_LINES: usize = 400;

/// Returns the folder that holds all crates.
fn crates_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// Adds all Rust files at or below `dir` to `out`, sorted by path.
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

/// Returns a crate's source text by module path (`state/leader_state`), without tests and comment lines.
fn modules(name: &str) -> BTreeMap<String, String> {
    let src = crates_dir().join(name).join("src");
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
        // Joins method chains that span lines, so that each method name directly follows its receiver.
        let code = lines.fold(String::new(), |code, line| match line.trim_start() {
            chained if chained.starts_with('.') => code + chained,
            _ => code + "\n" + line,
        });
        out.insert(module, code);
    }
    assert!(out.len() > 3, "too few modules found in {name}");
    out
}

/// Expands an import such as `a::{b, c::{d, e}}` into its single paths.
fn expand_paths(text: &str) -> Vec<String> {
    let Some(open) = text.find('{') else { return vec![text.trim().to_string()] };
    let (head, rest) = (text[..open].trim(), &text[open + 1..]);
    let (mut depth, mut from, mut out) = (0, 0, vec![]);
    for (i, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' if depth > 0 => depth -= 1,
            '}' | ',' if depth == 0 => {
                out.extend(expand_paths(&rest[from..i]).iter().map(|p| format!("{head}{p}")));
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

/// Returns all paths below `crate::` and `super::` that a file uses, as `a/b/c`.
fn named_paths(module: &str, code: &str) -> Vec<String> {
    let parent = module.rsplit_once('/').map_or("", |(p, _)| p);
    let mut out = vec![];
    for (prefix, base) in [("crate::", ""), ("super::", parent)] {
        for (at, _) in code.match_indices(prefix) {
            let rest = &code[at + prefix.len()..];
            let import = code[..at].trim_end().ends_with("use");
            let found = if import {
                expand_paths(rest.split(';').next().unwrap_or_default())
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

/// Returns the names of the methods that a file adds to `LeaderState`.
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

/// Returns the files that each file depends on: those whose paths it uses, and those that define a method of
/// `LeaderState` that it calls.
fn dependency_edges(files: &BTreeMap<String, String>) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (module, code) in files {
        owners.extend(leader_state_methods(code).into_iter().map(|m| (m, module.as_str())));
    }
    let mut out: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for (module, code) in files {
        let to = out.entry(module).or_default();
        for mut path in named_paths(module, code) {
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
        for receiver in ["self.", "leader.", "leader_state.", "cell.", "c."] {
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

/// Returns all files that `from` depends on, directly or indirectly.
fn reachable_from<'a>(
    edges: &BTreeMap<&'a str, BTreeSet<&'a str>>,
    from: &'a str,
) -> BTreeSet<&'a str> {
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

/// Returns the pairs (A, B) of files of different slices where A depends directly on B, and B directly or
/// indirectly on A.
fn cross_slice_cycles(files: &BTreeMap<String, String>) -> Vec<(String, String)> {
    let edges = dependency_edges(files);
    let slice = |m: &str| m.split('/').next().unwrap_or_default().to_string();
    let mut out = vec![];
    for (a, to) in &edges {
        for b in to.iter().filter(|b| slice(a) != slice(b)) {
            if reachable_from(&edges, b).contains(a) {
                out.push((a.to_string(), b.to_string()));
            }
        }
    }
    out
}

#[test]
fn slices_have_no_cycles() {
    for name in ["wire", "fairness", "reach", "recovery", "rollout", "core", "controller"] {
        let mut files = modules(name);
        // The crate roots use modules of all slices.
        files.remove("lib");
        files.remove("main");
        assert_eq!(cross_slice_cycles(&files), [], "{name}");
    }
}

#[test]
fn cycles_between_slices_are_detected() {
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
        assert_eq!(cross_slice_cycles(&files(list)).len(), n, "{list:?}");
    }
}

#[test]
fn files_and_impls_stay_within_line_limits() {
    let mut files = vec![];
    rust_files(&crates_dir(), &mut files);
    for file in files {
        let text = std::fs::read_to_string(&file).expect("readable");
        let lines = text.lines().count();
        assert!(
            lines <= MAX_FILE_LINES,
            "{} has {lines} lines, more than {MAX_FILE_LINES}: split it by responsibility",
            file.display()
        );
        let mut from = None;
        for (n, line) in text.lines().enumerate() {
            if line.starts_with("impl") {
                from = Some(n);
            }
            if line == "}"
                && let Some(from) = from.take()
            {
                let n = n - from;
                assert!(
                    n <= MAX_IMPL_LINES,
                    "{}: an `impl` block of {n} lines, more than {MAX_IMPL_LINES}",
                    file.display()
                );
            }
        }
    }
}

#[test]
fn crates_avoid_forbidden_dependencies() {
    let assert_no_dependency = |crate_name: &str, names: &[&str]| {
        let text = std::fs::read_to_string(crates_dir().join(crate_name).join("Cargo.toml"))
            .expect("there");
        let deps = text.split("[dependencies]").nth(1).unwrap_or_default();
        let deps = deps.split("\n[").next().unwrap_or_default();
        assert!(deps.contains("serde"), "no serde found among the dependencies of {crate_name}");
        for name in names {
            assert!(!deps.lines().any(|l| l.starts_with(name)), "{crate_name} depends on {name}");
        }
    };
    assert_no_dependency(
        "core",
        &["tokio", "hyper", "poem", "rand", "copperhaven.", "copperhaven ="],
    );
    assert_no_dependency("rollout", &["tokio", "hyper", "poem", "copperhaven"]);
    assert_no_dependency("recovery", &["tokio", "hyper", "poem", "copperhaven"]);
    assert_no_dependency("wire", &["tokio", "hyper", "poem", "rand", "tracing", "copperhaven"]);
}
