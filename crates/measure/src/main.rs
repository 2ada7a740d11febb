//! `cargo build --release && cargo run --release -p measure -- <subject>` prints a table of figures. Each subject
//! measures what it compares within one run, in turn, so that a machine that is slower today is so for both. `all`
//! plays every subject, and `--brief` behind the name plays it for a moment, to see that it still runs.

#![allow(
    clippy::needless_for_each,
    clippy::too_many_lines,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

mod cold;
mod connections;
mod decisions;
mod detectors;
mod event_queue;
mod following;
mod members;
mod outlier_detection;
mod owners;
mod parts;
mod proxy;
mod stable_hash;
mod system;

use std::alloc::System;
use std::process::ExitCode;

use clap::{builder::PossibleValuesParser, Parser};
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};

/// Counts allocations, for the subjects that tell them.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The subject `pool` starts this program again so, beside the node.
const PLAIN_PROXY: &str = "plain-proxy";

const SUBJECTS: [(&str, fn()); 20] = [
    ("decisions", decisions::measure),
    ("members-drawn", members::drawn),
    ("members-days", members::node_days),
    ("members-sizes", members::sizes),
    ("members-large", members::large),
    ("members", members::processes),
    ("members-cost", members::cost),
    ("detectors", detectors::measure),
    ("detectors-large", detectors::large),
    ("owners", owners::processes),
    ("owners-drawn", owners::drawn),
    ("owners-sizes", owners::sizes),
    ("owners-model", owners::model),
    ("spread", stable_hash::measure),
    ("word", outlier_detection::measure),
    ("cold", cold::measure),
    ("membership", following::measure),
    ("membership-path", following::requests),
    ("pool", connections::measure),
    ("pool-kinds", connections::measure_kinds),
];

/// Prints a table of figures.
#[derive(Parser)]
struct CommandLine {
    /// What to measure: one of the subjects, or all.
    #[arg(value_parser = PossibleValuesParser::new(SUBJECTS.map(|(name, _)| name).into_iter().chain(["all"])))]
    subject: String,
    /// For a moment only, to see that it still runs: the figures say nothing then.
    #[arg(long)]
    brief: bool,
    /// How long each size of `owners` is played, instead of ten minutes.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
    /// Of a subject that is played in parts this part alone, with all that can be told of it.
    #[arg(long, value_name = "SEED")]
    seed: Option<u64>,
    /// So many from that one on, a line each.
    #[arg(long, requires = "seed", default_value_t = 1)]
    seeds: u64,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() == Some(PLAIN_PROXY) {
        proxy::run(arguments.filter_map(|at| at.parse().ok()).collect());
        return ExitCode::SUCCESS;
    }
    let line = CommandLine::parse();
    if line.brief {
        system::be_brief();
    }
    if let Some(seconds) = line.seconds {
        system::play_for(seconds);
    }
    system::describe();
    if let Some(seed) = line.seed {
        print_parts(&line.subject, seed, line.seeds);
        return ExitCode::SUCCESS;
    }
    let wanted = SUBJECTS
        .iter()
        .filter(|(name, _)| line.subject == "all" || line.subject == *name);
    wanted.for_each(|(_, measure)| measure());
    ExitCode::SUCCESS
}

/// Prints some parts of a subject that runs in parts, a line each. A single seed that failed is printed with its fault
/// schedule.
fn print_parts(subject: &str, first: u64, count: u64) {
    for part in first..first + count {
        let line = match subject {
            "members-days" => members::days_of(part),
            "members-sizes" => members::size_row(part),
            "members-large" => members::large_row(part),
            "detectors" | "detectors-large" => detectors::row_of(subject, part),
            "owners-drawn" => owners::trial_of(part),
            _ => members::trial_of(part, count == 1),
        };
        println!("{line}");
    }
}
