//! Measurements of leases: random faults in virtual time, bounded searches, message costs, and takeover after node processes
//! are stopped, killed or partitioned.

use std::time::{Duration, Instant};

use lease::{InjectedFault, Shard};
use simulation::Traffic;
use testkit::lease_model::{search, Bounds, Search, SearchDepth, INJECTED_FAULTS};
use testkit::lease_simulation::{run_trial, SimulatedFleet};
use testkit::{Fault, Fleet, Load, Register};

use crate::parts::{run_in_processes, SEEDS_PER_PROCESS};
use crate::system::{configured_duration, count, duration, quantile};

const SEEDS: usize = 100_000;
const SHARDS: usize = 64;
/// Maximum number of states of a search, bounded by the memory of the machine.
const MAX_STATES: usize = 12_000_000;
const THREADS: usize = 6;

/// The searches without an injected fault: whether they begin with an owner, and their depth.
const SEARCHES: [(bool, SearchDepth); 8] = [
    (false, [10, 0, 0, 0]),
    (false, [5, 1, 0, 0]),
    (false, [4, 1, 1, 0]),
    (true, [8, 1, 0, 0]),
    (true, [8, 0, 1, 0]),
    (true, [5, 1, 1, 0]),
    (true, [5, 1, 0, 1]),
    (true, [5, 2, 0, 0]),
];

/// The first word of a line for a seed without a violation; the counts of acquired shards and of rejected
/// effects follow.
const PASSED: &str = "passed";

/// Runs one seed and returns its line.
pub fn trial_row(seed: u64) -> String {
    match run_trial(seed, InjectedFault::None) {
        Ok(outcome) => format!("{PASSED} {} {}", outcome.acquired, outcome.rejected_effects),
        Err(error) => error.to_string(),
    }
}

/// Counts violations of the lease invariants under random faults in virtual time.
pub fn measure_random_faults() {
    let seeds = count(SEEDS, 4) as u64;
    let start = Instant::now();
    let outputs = run_in_processes("owners-drawn", seeds, SEEDS_PER_PROCESS);
    let lines = || outputs.iter().flat_map(|output| output.lines());
    let sum = |field: usize| {
        let passed = lines().filter(|line| line.starts_with(PASSED));
        passed
            .filter_map(|line| line.split(' ').nth(field)?.parse::<u64>().ok())
            .sum::<u64>()
    };
    let passed = lines().filter(|line| line.starts_with(PASSED)).count();
    let failed: Vec<_> = lines().filter(|line| line.starts_with("seed ")).collect();
    println!(
        "\n{seeds} seeds of random faults, 5 to 8 nodes (one in sixteen 15 to 30), 3 or 5 acceptors; run time {:.0?}",
        start.elapsed()
    );
    println!(
        "shards acquired {} times; effects of former owners rejected: {}",
        sum(1),
        sum(2)
    );
    println!("passed: {passed}; failed: {}", failed.len());
    failed.iter().take(10).for_each(|line| println!("  {line}"));
}

/// Searches all event orders within bounds for violations, first without a fault, then with injected faults that the search
/// has to find: see `testkit::lease_model`.
pub fn measure_model_search() {
    let max_states = count(MAX_STATES, 20_000);
    println!(
        "\nthree acceptors, two requesters; steps of a fifth of a lease; at most {max_states} states each"
    );
    println!("bounds: begins with an owner; steps, messages held back or duplicated, restarts, transfers");
    let searches = SEARCHES.map(|(is_owned, bounds)| (InjectedFault::None, is_owned, bounds));
    for (injected_fault, is_owned, bounds) in searches.into_iter().chain(INJECTED_FAULTS) {
        let found = search(
            Bounds::of(injected_fault, is_owned, bounds),
            max_states,
            THREADS,
        );
        let extent = if found.is_exhaustive {
            "exhaustive"
        } else {
            "partial"
        };
        let Search {
            states,
            depth,
            changed_owners,
            ..
        } = found;
        println!("{injected_fault:?} {is_owned} {bounds:?}: {states} states, {extent}, depth {depth}, owner changes: {changed_owners}");
        if let Some(found) = found.violation {
            println!("  {}: {}", found.violation, found.path.join(", "));
        }
    }
}

/// Measures the cost of lease messages by the number of nodes, with 64 shards and five acceptors, in a minute of steady state.
pub fn measure_sizes() {
    println!(
        "\n{SHARDS} shards, 5 acceptors, a minute of virtual time; means per node; messages include 16 bytes in place of the seal"
    );
    println!(
        "{:>6} {:>16} {:>16} {:>16} {:>16} {:>20}",
        "nodes",
        "acceptor msgs/s",
        "acceptor bytes/s",
        "other msgs/s",
        "other bytes/s",
        "CPU us/s per node"
    );
    for nodes in [5, 30, 300] {
        let nodes = count(nodes, 5);
        let mut fleet =
            SimulatedFleet::new(1, nodes, 5, InjectedFault::None).with_shards(SHARDS as Shard);
        (0..nodes).for_each(|node| fleet.start(node));
        fleet.stop_effects();
        fleet.run(if nodes > 100 { 60_000.0 } else { 30_000.0 });
        let sent = |fleet: &SimulatedFleet| {
            (0..nodes)
                .map(|node| fleet.simulation.sent_by(node))
                .collect::<Vec<_>>()
        };
        let (before, start, seconds) = (sent(&fleet), Instant::now(), count(60, 1) as f64);
        fleet.run(seconds * 1e3);
        let cpu_us = start.elapsed().as_secs_f64() * 1e6 / seconds / nodes as f64;
        let after = sent(&fleet);
        let mean = |node_range: std::ops::Range<usize>, figure: fn(&Traffic) -> u64| {
            let count = node_range.len().max(1) as f64;
            node_range
                .map(|node| figure(&after[node]) - figure(&before[node]))
                .sum::<u64>() as f64
                / count
                / seconds
        };
        println!(
            "{nodes:>6} {:>16.1} {:>16.0} {:>16.1} {:>16.0} {cpu_us:>20.0}",
            mean(0..5, |traffic| traffic.datagrams),
            mean(0..5, |traffic| traffic.bytes),
            mean(5..nodes, |traffic| traffic.datagrams),
            mean(5..nodes, |traffic| traffic.bytes),
        );
    }
}

/// Measures the time until a shard has a new owner after a node process is stopped, killed or partitioned, while up to six
/// nodes serve requests.
pub fn measure_process_faults() {
    for nodes in [9, 30] {
        run_process_faults(
            count(nodes, 4),
            configured_duration(Duration::from_secs(600)),
        );
    }
}

fn run_process_faults(nodes: usize, run_duration: Duration) {
    const SERVING: usize = 6;
    const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);
    let register = Register::start();
    let acceptors = if nodes >= 9 {
        "\"n0\", \"n6\", \"n7\", \"n8\", \"n1\""
    } else {
        "\"n0\", \"n1\", \"n2\""
    };
    let lease_settings = format!(
        "[leases]\nkeepers = [{acceptors}]\nfleet_log = \"{}\"\n",
        register.address
    );
    let mut fleet = Fleet::start(nodes, 3, &lease_settings);
    fleet.agree_within(Duration::from_secs(60));
    fleet.wait_for("all shards are owned", Duration::from_secs(60), |fleet| {
        fleet.all_owned(SHARDS)
    });
    let serving = SERVING.min(nodes - 1);
    let loads: Vec<_> = (0..serving)
        .map(|node| Load::start(fleet.node(node).address, 1, Duration::from_millis(20)))
        .collect();
    let (start, mut rng, mut rounds) = (Instant::now(), fastrand::Rng::with_seed(3), 0);
    let (mut stopped, mut killed, mut partitioned) = (Vec::new(), Vec::new(), Vec::new());
    while start.elapsed() < run_duration {
        rounds += 1;
        // Serving nodes are stopped and partitioned, but not killed, so that every request can be answered.
        let kind = rng.u32(..3);
        let node = if kind == 1 {
            rng.usize(serving..nodes)
        } else {
            rng.usize(..nodes)
        };
        // Half of the stops hit the node that wrote last, because other nodes rarely have a line in flight.
        let last_writer = register
            .last()
            .and_then(|line| (0..nodes).find(|node| fleet.name(*node) == line.node));
        let node = last_writer
            .filter(|_| kind == 0 && rng.bool())
            .unwrap_or(node);
        let owned_shard = fleet.owners(node).iter().position(|(_, left)| *left > 0);
        if kind == 0 {
            // Delays the lines of the node, so that those written just before the stop arrive after its successor has written.
            register.delay(fleet.name(node), duration(Duration::from_secs(6)));
            fleet.wait(duration(Duration::from_millis(1_200)));
        }
        let fault_start = Instant::now();
        match kind {
            0 => fleet.pause(node),
            1 => fleet.kill(node),
            _ => {
                let cut_inbound = rng.bool();
                for other in (0..nodes).filter(|other| *other != node) {
                    let (from, to) = if cut_inbound {
                        (other, node)
                    } else {
                        (node, other)
                    };
                    fleet.apply(&Fault::Cut { from, to });
                }
            }
        }
        if let Some(shard) = owned_shard {
            fleet.wait_for(
                "another node owns the shard",
                TAKEOVER_TIMEOUT,
                |fleet| match fleet.owner(shard) {
                    Ok(owner) if owner != node => Ok(()),
                    other => Err(format!("{other:?}")),
                },
            );
            [&mut stopped, &mut killed, &mut partitioned][kind as usize]
                .push(fault_start.elapsed().as_secs_f64());
        }
        fleet.wait(duration(Duration::from_millis(rng.u64(..3_000))));
        match kind {
            0 => {
                register.delay(fleet.name(node), Duration::ZERO);
                fleet.resume(node);
            }
            1 => fleet.start_node(node),
            _ => fleet.apply(&Fault::HealAll),
        }
        fleet.wait(duration(Duration::from_secs(1)));
        fleet.wait_for("all shards are owned", TAKEOVER_TIMEOUT, |fleet| {
            fleet.all_owned(SHARDS)
        });
    }
    let totals: Vec<_> = loads.into_iter().map(Load::finish).collect();
    let sent: u64 = totals.iter().map(|totals| totals.sent).sum();
    let lost: u64 = totals.iter().map(|totals| totals.lost).sum();
    println!(
        "\n{nodes} processes, {SHARDS} shards, {rounds} stopped, killed or partitioned nodes, run time {:.0?}",
        start.elapsed()
    );
    for (name, mut times) in [
        ("stopped", stopped),
        ("killed", killed),
        ("one-way cut", partitioned),
    ] {
        if !times.is_empty() {
            let n = times.len();
            let [p50, p99, max] = [0.5, 0.99, 1.0].map(|fraction| quantile(&mut times, fraction));
            println!(
                "{name:>12}: {n} times, takeover time in s: p50 {p50:.2}, p99 {p99:.2}, max {max:.2}"
            );
        }
    }
    let log = register.log();
    let rejected = register.rejected();
    println!(
        "lines accepted: {}; lines of former owners rejected: {rejected}",
        log.len() - rejected
    );
    println!(
        "violation among the accepted lines: {}",
        register.violation().unwrap_or_else(|| "none".into())
    );
    println!(
        "requests: {sent} sent, {lost} lost; the server received {}",
        fleet.server.request_count()
    );
}
