//! Leases: random faults in virtual time, bounded searches, message costs, and owners that are stopped,
//! killed and partitioned as processes.

use std::time::{Duration, Instant};

use lease::{InjectedFault, Shard};
use simulation::Traffic;
use testkit::lease_model::{search, Bounds, Search, SearchDepth, INJECTED_FAULTS};
use testkit::lease_simulation::{run_trial, SimulatedFleet};
use testkit::{Fault, Fleet, Load, Register};

use crate::parts::{run_in_processes, SEEDS_PER_PROCESS};
use crate::system::{count, played_for, quantile, time};

const SEEDS: usize = 100_000;
const SHARDS: usize = 64;
/// States that fit the memory of the machine.
const MAX_STATES: usize = 12_000_000;
const THREADS: usize = 6;

/// The searches without an injected fault: whether they begin with an owner, and how deep they go.
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
const PASSED: &str = "held";

/// One seed.
pub fn trial_of(seed: u64) -> String {
    match run_trial(seed, InjectedFault::None) {
        Ok(outcome) => format!("{PASSED} {} {}", outcome.acquired, outcome.rejected_effects),
        Err(error) => error.to_string(),
    }
}

/// Random faults, in virtual time.
pub fn drawn() {
    let seeds = count(SEEDS, 4) as u64;
    let start = Instant::now();
    let said = run_in_processes("owners-drawn", seeds, SEEDS_PER_PROCESS);
    let lines = || said.iter().flat_map(|said| said.lines());
    let sum = |at: usize| {
        let held = lines().filter(|line| line.starts_with(PASSED));
        held.filter_map(|line| line.split(' ').nth(at)?.parse::<u64>().ok())
            .sum::<u64>()
    };
    let held = lines().filter(|line| line.starts_with(PASSED)).count();
    let failed: Vec<_> = lines().filter(|line| line.starts_with("seed ")).collect();
    println!(
        "\n{seeds} seeds of drawn troubles, 5 to 8 nodes (one in sixteen 15 to 30), 3 or 5 keepers; {:.0?}",
        start.elapsed()
    );
    println!(
        "shards won {} times; effects of old owners tried and refused: {}",
        sum(1),
        sum(2)
    );
    println!("went well: {held}; failed: {}", failed.len());
    failed.iter().take(10).for_each(|line| println!("  {line}"));
}

/// Every order of events within bounds, and injected faults that have to be found: see `testkit::lease_model`.
pub fn model() {
    let most = count(MAX_STATES, 20_000);
    println!(
        "\nthree keepers, two that ask; steps of a fifth of a lease; at most {most} states each"
    );
    println!("bounds: begins with an owner; steps, words held back or doubled, restarts, gifts");
    let all = SEARCHES.map(|(is_owned, bounds)| (InjectedFault::None, is_owned, bounds));
    for (injected_fault, is_owned, bounds) in all.into_iter().chain(INJECTED_FAULTS) {
        let found = search(Bounds::of(injected_fault, is_owned, bounds), most, THREADS);
        let extent = if found.is_exhaustive {
            "all"
        } else {
            "in part"
        };
        let Search {
            states,
            depth,
            changed_owners,
            ..
        } = found;
        println!("{injected_fault:?} {is_owned} {bounds:?}: {states} states, {extent}, {depth} deep, hands changed: {changed_owners}");
        if let Some(found) = found.violation {
            println!("  {}: {}", found.violation, found.path.join(", "));
        }
    }
}

/// The cost of lease messages by the number of nodes, with 64 shards and five acceptors: a minute in steady
/// state.
pub fn sizes() {
    println!(
        "\n{SHARDS} shards, 5 keepers, a minute of virtual time; words with 16 bytes of a seal's stand-in"
    );
    println!(
        "{:>6} {:>16} {:>16} {:>16} {:>16} {:>20}",
        "nodes",
        "keeper words/s",
        "keeper bytes/s",
        "other words/s",
        "other bytes/s",
        "us cpu/s a node"
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
        let (before, start, long) = (sent(&fleet), Instant::now(), count(60, 1) as f64);
        fleet.run(long * 1e3);
        let cpu = start.elapsed().as_secs_f64() * 1e6 / long / nodes as f64;
        let after = sent(&fleet);
        let mean = |of: std::ops::Range<usize>, what: fn(&Traffic) -> u64| {
            let count = of.len().max(1) as f64;
            of.map(|node| what(&after[node]) - what(&before[node]))
                .sum::<u64>() as f64
                / count
                / long
        };
        println!(
            "{nodes:>6} {:>16.1} {:>16.0} {:>16.1} {:>16.0} {cpu:>20.0}",
            mean(0..5, |sent| sent.datagrams),
            mean(0..5, |sent| sent.bytes),
            mean(5..nodes, |sent| sent.datagrams),
            mean(5..nodes, |sent| sent.bytes),
        );
    }
}

/// Owners that are stopped, killed and partitioned, while six nodes serve requests.
pub fn processes() {
    for nodes in [9, 30] {
        play(count(nodes, 4), played_for(Duration::from_secs(600)));
    }
}

fn play(nodes: usize, long: Duration) {
    const SERVING: usize = 6;
    const PATIENCE: Duration = Duration::from_secs(30);
    let register = Register::start();
    let keepers = if nodes >= 9 {
        "\"n0\", \"n6\", \"n7\", \"n8\", \"n1\""
    } else {
        "\"n0\", \"n1\", \"n2\""
    };
    let keeping = format!(
        "[leases]\nkeepers = [{keepers}]\nfleet_log = \"{}\"\n",
        register.address
    );
    let mut fleet = Fleet::start(nodes, 3, &keeping);
    fleet.agree_within(Duration::from_secs(60));
    fleet.wait_for("all is owned", Duration::from_secs(60), |fleet| {
        fleet.all_owned(SHARDS)
    });
    let serving = SERVING.min(nodes - 1);
    let loads: Vec<_> = (0..serving)
        .map(|node| Load::start(fleet.node(node).address, 1, Duration::from_millis(20)))
        .collect();
    let (start, mut rng, mut rounds) = (Instant::now(), fastrand::Rng::with_seed(3), 0);
    let (mut stopped, mut killed, mut cut) = (Vec::new(), Vec::new(), Vec::new());
    while start.elapsed() < long {
        rounds += 1;
        // Who serves is stopped and cut off, but not killed, so that every request can have its answer.
        let kind = rng.u32(..3);
        let node = if kind == 1 {
            rng.usize(serving..nodes)
        } else {
            rng.usize(..nodes)
        };
        // Half of those that are stopped are the one that acts, else hardly any would have a line on its way.
        let acting = register
            .last()
            .and_then(|line| (0..nodes).find(|at| fleet.name(*at) == line.node));
        let node = acting.filter(|_| kind == 0 && rng.bool()).unwrap_or(node);
        let own = fleet.owners(node).iter().position(|(_, left)| *left > 0);
        if kind == 0 {
            // What it says just before it is stopped arrives after its successor has acted.
            register.delay(fleet.name(node), time(Duration::from_secs(6)));
            fleet.wait(time(Duration::from_millis(1_200)));
        }
        let from = Instant::now();
        match kind {
            0 => fleet.pause(node),
            1 => fleet.kill(node),
            _ => {
                let is_deaf = rng.bool();
                for other in (0..nodes).filter(|other| *other != node) {
                    let (from, to) = if is_deaf {
                        (other, node)
                    } else {
                        (node, other)
                    };
                    fleet.apply(&Fault::Cut { from, to });
                }
            }
        }
        if let Some(shard) = own {
            fleet.wait_for("another owns it", PATIENCE, |fleet| {
                match fleet.owner(shard) {
                    Ok(owner) if owner != node => Ok(()),
                    other => Err(format!("{other:?}")),
                }
            });
            [&mut stopped, &mut killed, &mut cut][kind as usize].push(from.elapsed().as_secs_f64());
        }
        fleet.wait(time(Duration::from_millis(rng.u64(..3_000))));
        match kind {
            0 => {
                register.delay(fleet.name(node), Duration::ZERO);
                fleet.resume(node);
            }
            1 => fleet.start_node(node),
            _ => fleet.apply(&Fault::HealAll),
        }
        fleet.wait(time(Duration::from_secs(1)));
        fleet.wait_for("all is owned", PATIENCE, |fleet| fleet.all_owned(SHARDS));
    }
    let totals: Vec<_> = loads.into_iter().map(Load::finish).collect();
    let sent: u64 = totals.iter().map(|totals| totals.sent).sum();
    let lost: u64 = totals.iter().map(|totals| totals.lost).sum();
    println!(
        "\n{nodes} processes, {SHARDS} shards, {rounds} owners in trouble, {:.0?}",
        start.elapsed()
    );
    for (name, mut times) in [
        ("stopped", stopped),
        ("killed", killed),
        ("cut one way", cut),
    ] {
        if !times.is_empty() {
            let n = times.len();
            let [p50, p99, most] = [0.5, 0.99, 1.0].map(|part| quantile(&mut times, part));
            println!(
                "{name:>12}: {n} times, another acts after s: p50 {p50:.2}, p99 {p99:.2}, most {most:.2}"
            );
        }
    }
    let log = register.log();
    let refused = register.rejected();
    println!(
        "lines taken: {}; tried by old owners and refused: {refused}",
        log.len() - refused
    );
    println!(
        "wrongly taken: {}",
        register.violation().unwrap_or_else(|| "none".into())
    );
    println!(
        "requests: {sent} sent, {lost} lost; the server had {}",
        fleet.server.request_count()
    );
}
