//! `cargo build --release && cargo run --release -p measure -- <subject>` prints a table of measurements. Each
//! subject measures the variants that it compares alternately within one run, so that a slow machine affects all of
//! them. `all` runs every subject; `--brief` after the name shortens it to a check that it still runs.

#![allow(
    clippy::needless_for_each,
    clippy::too_many_lines,
    reason = "a scenario and the table that it prints stand in one function; short loops end iterator chains"
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

/// Counts allocations for the subjects that print them.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// First argument with which the subject `pool` starts this program again, as the proxy to compare the node with.
const PLAIN_PROXY: &str = "plain-proxy";

const SUBJECTS: [(&str, fn()); 20] = [
    ("decisions", decisions::measure),
    ("members-drawn", members::random_faults),
    ("members-days", members::node_days),
    ("members-sizes", members::sizes),
    ("members-large", members::large),
    ("members", members::processes),
    ("members-cost", members::cost),
    ("detectors", detectors::measure),
    ("detectors-large", detectors::large),
    ("owners", owners::processes),
    ("owners-drawn", owners::random_faults),
    ("owners-sizes", owners::sizes),
    ("owners-model", owners::model),
    ("spread", stable_hash::measure),
    ("word", outlier_detection::measure),
    ("cold", cold::measure),
    ("membership", following::measure),
    ("membership-path", following::request_path),
    ("pool", connections::measure),
    ("pool-kinds", connections::measure_endpoint_kinds),
];

/// Prints a table of measurements.
#[derive(Parser)]
struct CommandLine {
    /// Subject to measure, or `all` for every subject.
    #[arg(value_parser = PossibleValuesParser::new(SUBJECTS.map(|(name, _)| name).into_iter().chain(["all"])))]
    subject: String,
    /// Shorten every subject to a check that it still runs; the figures are meaningless then.
    #[arg(long)]
    brief: bool,
    /// Duration of each cluster size of `owners`, instead of ten minutes.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
    /// Run only this part of a subject that runs in parts, and print its details.
    #[arg(long, value_name = "SEED")]
    seed: Option<u64>,
    /// Number of parts to run, beginning with `--seed`; each prints one line.
    #[arg(long, requires = "seed", default_value_t = 1)]
    seeds: u64,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() == Some(PLAIN_PROXY) {
        proxy::run(
            arguments
                .filter_map(|address| address.parse().ok())
                .collect(),
        );
        return ExitCode::SUCCESS;
    }
    let command_line = CommandLine::parse();
    if command_line.brief {
        system::set_brief();
    }
    if let Some(seconds) = command_line.seconds {
        system::set_duration(seconds);
    }
    system::describe();
    if let Some(seed) = command_line.seed {
        print_parts(&command_line.subject, seed, command_line.seeds);
        return ExitCode::SUCCESS;
    }
    let selected = SUBJECTS
        .iter()
        .filter(|(name, _)| command_line.subject == "all" || command_line.subject == *name);
    selected.for_each(|(_, measure)| measure());
    ExitCode::SUCCESS
}

/// Prints some parts of a subject that runs in parts, a line each. A single seed that failed is printed with its fault
/// schedule.
fn print_parts(subject: &str, first: u64, count: u64) {
    for part in first..first + count {
        let line = match subject {
            "members-days" => members::node_days_row(part),
            "members-sizes" => members::size_row(part),
            "members-large" => members::large_row(part),
            "detectors" | "detectors-large" => detectors::part_row(subject, part),
            "owners-drawn" => owners::trial_row(part),
            _ => members::trial_row(part, count == 1),
        };
        println!("{line}");
    }
}
