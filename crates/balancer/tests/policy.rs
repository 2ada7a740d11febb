//! The key `policy` of the deployment file lists the source files that contain decisions, for their reviewers.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of lines of a source file; a longer one should be split.
const MAX_LINES: usize = 500;
/// Maximum number of characters in a line: the formatter's width and a margin for comments, which the
/// formatter does not wrap.
const MAX_WIDTH: usize = 110;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The files named by `policy` in `deploy/balancer.toml`.
fn listed_files() -> Vec<String> {
    let text =
        fs::read_to_string(root().join("deploy/balancer.toml")).expect("read deploy/balancer.toml");
    let (_, list) = text
        .split_once("\npolicy = [")
        .expect("the file has the key `policy`");
    let (list, _) = list
        .split_once(']')
        .expect("the list of `policy` has an end");
    let paths = list.split(',').map(|path| path.trim().trim_matches('"'));
    paths
        .filter(|path| !path.is_empty())
        .map(str::to_owned)
        .collect()
}

/// The source files of the crate, as `deploy/balancer.toml` would name them.
fn source_files() -> Vec<String> {
    let entries =
        fs::read_dir(root().join("crates/balancer/src")).expect("open crates/balancer/src");
    entries
        .map(|entry| entry.expect("read an entry of crates/balancer/src"))
        .map(|entry| {
            let is_file = entry
                .file_type()
                .expect("read the type of an entry")
                .is_file();
            assert!(
                is_file,
                "{} is not a file, and `policy` lists files only",
                entry.path().display()
            );
            let name = entry
                .file_name()
                .into_string()
                .expect("file names are UTF-8");
            format!("crates/balancer/src/{name}")
        })
        .collect()
}

#[test]
fn deployment_file_lists_every_source_file_and_no_other() {
    let (listed, sources) = (listed_files(), source_files());
    let listed_once: BTreeSet<&String> = listed.iter().collect();
    assert_eq!(
        listed_once.len(),
        listed.len(),
        "`policy` lists a file twice: {listed:?}"
    );
    assert_eq!(
        listed_once,
        sources.iter().collect::<BTreeSet<_>>(),
        "`policy` (left) must list exactly the source files (right)"
    );
}

#[test]
fn source_files_stay_within_the_size_limits() {
    for path in source_files() {
        let text = fs::read_to_string(root().join(&path)).expect("read a source file");
        let lines = text.lines().count();
        assert!(
            lines <= MAX_LINES,
            "{path} has {lines} lines, the limit is {MAX_LINES}"
        );
        let widest = text.lines().map(|line| line.chars().count()).max();
        assert!(
            widest.is_some_and(|width| width <= MAX_WIDTH),
            "{path} has a line of {widest:?} characters, the limit is {MAX_WIDTH}"
        );
    }
}
