//! `cargo build --release && cargo run --release -p measure -- <subject>` prints a table of measurements. Each
//! subject measures the variants that it compares alternately within one run, so that a slow machine affects all of
//! them. `all` runs every subject; `--brief` after the name shortens it to a check that it still runs.

#![allow(
    clippy::needless_for_each,
    clippy::too_many_lines,
    reason = "one function runs a scenario and prints its table; short loops end iterator chains"
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

/// First argument that makes this program run as a plain proxy. The subject `pool` starts it as a child process, to compare
/// the node with it.
const PLAIN_PROXY: &str = "plain-proxy";

const SUBJECTS: [(&str, fn()); 20] = [
    ("decisions", decisions::measure),
    ("members-drawn", members::measure_random_faults),
    ("members-days", members::measure_node_days),
    ("members-sizes", members::measure_sizes),
    ("members-large", members::measure_large),
    ("members", members::measure_process_faults),
    ("members-cost", members::measure_cost),
    ("detectors", detectors::measure),
    ("detectors-large", detectors::measure_large),
    ("owners", owners::measure_process_faults),
    ("owners-drawn", owners::measure_random_faults),
    ("owners-sizes", owners::measure_sizes),
    ("owners-model", owners::measure_model_search),
    ("spread", stable_hash::measure),
    ("word", outlier_detection::measure),
    ("cold", cold::measure),
    ("membership", following::measure),
    ("membership-path", following::measure_request_path),
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
    /// Duration of the measurement of `owners` at each cluster size; ten minutes by default.
    #[arg(long, value_name = "SECONDS")]
    seconds: Option<u64>,
    /// Run only parts of a subject that is divided into parts, from this one on; the parts of random trials are seeds.
    #[arg(long, value_name = "SEED")]
    seed: Option<u64>,
    /// Number of parts to run, beginning with `--seed`.
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
    system::print_machine();
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

/// Prints the rows of `count` parts of a subject, beginning with the part `first`. Subjects without a row function here run
/// the trials of `members-drawn`; if a single trial fails, its fault schedule follows.
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
