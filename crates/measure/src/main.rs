//! `cargo build --release && cargo run --release -p measure -- <subject>` prints a table of figures. Each subject
//! measures what it compares within one run, in turn, so that a machine that is slower today is so for both. `all`
//! plays every subject, and `--brief` behind the name plays it for a moment, to see that it still runs.

mod connections;
mod decisions;
mod following;
mod proxy;
mod system;

use std::alloc::System;
use std::process::ExitCode;

use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};

/// Counts allocations, for the subjects that tell them.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SUBJECTS: [(&str, fn()); 5] = [
    ("decisions", decisions::measure),
    ("membership", following::measure),
    ("membership-path", following::requests),
    ("pool", connections::measure),
    ("pool-kinds", connections::measure_kinds),
];

fn main() -> ExitCode {
    let wanted = std::env::args().nth(1).unwrap_or_default();
    if wanted == "plain-proxy" {
        // The subject `pool` starts this program so, beside the node.
        proxy::run(std::env::args().skip(2).filter_map(|at| at.parse().ok()).collect());
        return ExitCode::SUCCESS;
    }
    if std::env::args().nth(2).is_some_and(|option| option == "--brief") {
        system::be_brief();
    }
    if wanted == "all" {
        SUBJECTS.iter().for_each(|(_, measure)| measure());
        return ExitCode::SUCCESS;
    }
    let Some((_, measure)) = SUBJECTS.iter().find(|(name, _)| *name == wanted) else {
        let names: Vec<_> = SUBJECTS.iter().map(|(name, _)| *name).collect();
        eprintln!("measure: name a subject: {}, or all", names.join(", "));
        return ExitCode::from(2);
    };
    system::describe();
    measure();
    ExitCode::SUCCESS
}
