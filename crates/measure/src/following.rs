//! What following Consul gains and costs.

use std::thread;
use std::time::{Duration, Instant};

use consul::{Event, Mapping, Query, Watch, WatchSettings};
use endpoint_discovery::{
    Assertion, Endpoint, EndpointView, Freshness, Lifecycle, SourcePolicy, SourceUpdate,
};
use testkit::consul::{Consul, Instance};
use testkit::{config, list, settings, until, Discovery, Load, Node, Reply, Server, Watch as Open};

use crate::system::{count, cpu, memory_mb, quantile, time};
use crate::ALLOCATOR;

const CHANGES: usize = 50;
/// Between two changes: within the pace at which answers are read.
const GAP: Duration = Duration::from_millis(300);
const MANY: usize = 5_000;
const CHANGES_A_SECOND: u64 = 100;
const FOLLOWING: Duration = Duration::from_secs(10);
const ROUNDS: usize = 15;
const ROUND: Duration = Duration::from_millis(1_500);

/// Prints all of it.
pub fn measure() {
    time_to_know();
    allocations();
    merging();
    many_instances();
    requests();
}

struct Town {
    servers: Vec<Server>,
    consul: Consul,
    node: Node,
    watch: Open,
    _discovery: Discovery,
}

fn name(at: usize) -> String {
    format!("s-{at}")
}

fn town(count: usize, with_consul: bool) -> Town {
    let servers: Vec<_> = (0..count)
        .map(|_| Server::start(|_| Reply::ok("rooms: 3\n")).quiet())
        .collect();
    let consul = Consul::start();
    consul.stop_recording();
    for (at, server) in servers.iter().enumerate() {
        consul.register(Instance::new("holds", &name(at), server.address));
    }
    let discovery = Discovery::start();
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(at, s)| s.entry(&name(at), "ready"))
        .collect();
    let text = config(
        discovery.address,
        &list(1, true, &entries),
        &settings(15_000),
    );
    let file = operators(&consul);
    let node = Node::start_with(&text, with_consul.then_some(&file));
    let watch = discovery.watch();
    Town {
        servers,
        consul,
        node,
        watch,
        _discovery: discovery,
    }
}

fn operators(consul: &Consul) -> String {
    // One server drains again and again here, which damping would answer by keeping it out.
    format!(
        "[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{}\"]\n\
         damping = {{ first_s = 0, most_s = 0, half_life_s = 1 }}\n",
        consul.address
    )
}

/// From a drain at the source to the last request that a decision without it sent there.
fn time_to_know() {
    println!("\nfrom a drain to the last request that reached the server ({CHANGES} drains, 16 clients), ms");
    println!("{:<44} {:>8} {:>8}", "", "median", "p99");
    let roster = drains(false, Duration::ZERO);
    row("roster alone, told at once", roster);
    row(
        "roster alone, told 3 s late (10 drains)",
        drains(false, Duration::from_secs(3)),
    );
    row(
        "Consul beside it, told at once",
        drains(true, Duration::ZERO),
    );
}

fn row(what: &str, mut times: Vec<f64>) {
    println!(
        "{what:<44} {:>8.2} {:>8.2}",
        quantile(&mut times, 0.5),
        quantile(&mut times, 0.99)
    );
}

fn drains(by_consul: bool, late: Duration) -> Vec<f64> {
    let mut town = town(2, by_consul);
    let load = Load::start(town.node.address, 16, Duration::ZERO);
    let mut generation = 1;
    let changes = if late.is_zero() { CHANGES } else { CHANGES / 5 };
    let mut times = Vec::new();
    for _ in 0..count(changes, 2) {
        let asked = town.servers[1].count();
        until("the server is asked", || {
            town.servers[1].count() > asked + 20
        });
        let mut say = |town: &mut Town, draining: bool| {
            if by_consul {
                town.consul.set_maintenance("s-1", draining);
            } else {
                generation += 1;
                let entry =
                    town.servers[1].entry("s-1", if draining { "draining" } else { "ready" });
                town.watch
                    .say(&format!("{}\n", list(generation, false, &[entry])));
            }
        };
        let drained = Instant::now();
        thread::sleep(time(late));
        say(&mut town, true);
        thread::sleep(GAP);
        let last = town.servers[1].last().unwrap_or(drained);
        times.push(last.saturating_duration_since(drained).as_secs_f64() * 1e3);
        say(&mut town, false);
        thread::sleep(GAP);
    }
    assert_eq!(load.end().lost, 0, "no request is lost");
    times
}

fn body(changed: usize) -> String {
    let instance = |at: usize| {
        let status = if at < changed { "warning" } else { "passing" };
        format!(
            r#"{{"Node":{{"ID":"40e4a748-2192-161a-0510-9bf59fe950b5","Node":"n-{at}","Address":"10.0.0.1","Datacenter":"dc1","Meta":{{}}}},"Service":{{"ID":"s-{at}","Service":"holds","Tags":["a","b"],"Meta":{{"zone":"z","kind":"m"}},"Address":"10.0.0.1","Port":{},"Weights":{{"Passing":1,"Warning":1}},"ModifyIndex":7}},"Checks":[{{"Node":"n-{at}","CheckID":"serfHealth","Status":"passing","Output":"Agent alive and reachable"}},{{"CheckID":"service:s-{at}","Status":"{status}","Output":"ok"}}]}}"#,
            1_000 + at
        )
    };
    format!(
        "[{}]",
        (0..MANY).map(instance).collect::<Vec<_>>().join(",")
    )
}

fn answer(watch: &mut Watch, now: f64, index: u64, body: &str) -> usize {
    let mut actions = Vec::new();
    watch.handle(now, Event::TimerExpired, &mut actions);
    let index = index.to_string();
    watch.handle(
        now,
        Event::Head {
            status: 200,
            headers: &[("X-Consul-Index", &index)],
        },
        &mut actions,
    );
    for piece in body.as_bytes().chunks(64 * 1024) {
        watch.handle(now, Event::Body(piece), &mut actions);
    }
    watch.handle(now, Event::End, &mut actions);
    let told = actions.into_iter().map(|action| match action {
        consul::Action::Report(report) => report.updated.len(),
        _ => 0,
    });
    told.sum()
}

/// What reading an answer allocates and takes.
fn allocations() {
    let mut watch = Watch::new(
        WatchSettings::new(Query::health("holds"), Mapping::default(), 1),
        1,
    );
    println!(
        "\nreading an answer of {MANY} instances ({} MB)",
        body(0).len() / 1_000_000
    );
    println!(
        "{:<44} {:>12} {:>10} {:>8}",
        "", "bytes alloc.", "allocs", "ms"
    );
    for (what, changed, now) in [
        ("the first", 0, 0.0),
        ("nothing changed", 0, 1e6),
        ("one changed", 1, 2e6),
        ("one changed back", 0, 3e6),
        ("a hundred changed", 100, 4e6),
    ] {
        let body = body(changed);
        let (before, start) = (ALLOCATOR.stats(), Instant::now());
        answer(&mut watch, now, now as u64 + 1, &body);
        let (took, after) = (start.elapsed(), ALLOCATOR.stats() - before);
        let ms = took.as_secs_f64() * 1e3;
        println!(
            "{what:<44} {:>12} {:>10} {ms:>8.2}",
            after.bytes_allocated, after.allocations
        );
    }
}

/// What the merge of so many servers takes.
fn merging() {
    println!("\nmerging {MANY} servers of two sources");
    println!(
        "{:<44} {:>12} {:>10} {:>8}",
        "", "bytes alloc.", "allocs", "ms"
    );
    let mut view = EndpointView::new(vec![
        SourcePolicy::authoritative("roster"),
        SourcePolicy::advisory("consul"),
    ]);
    let endpoint = |at: usize| Endpoint {
        address: Some(([10, 0, 0, 1], 1_000 + at as u16).into()),
        ..Endpoint::new(name(at))
    };
    let assertion = |at: usize, lifecycle, version| Assertion {
        key: name(at),
        lifecycle,
        version,
        endpoint: Some(endpoint(at)),
    };
    let ready = || {
        (0..MANY)
            .map(|at| assertion(at, Lifecycle::Ready, 1))
            .collect()
    };
    for (now, what, source, assertions) in [
        (0.0, "the first words of the roster", Some(0), ready()),
        (1.0, "the first words of Consul", Some(1), ready()),
        (
            2.0,
            "one word",
            Some(1),
            vec![assertion(7, Lifecycle::Draining, 2)],
        ),
        (3.0, "Consul is out of touch", None, vec![]),
        (4.0, "and in touch again", Some(1), vec![]),
    ] {
        let update = SourceUpdate {
            freshness: Freshness::Current,
            epoch: 0,
            assertions,
            removals: vec![],
        };
        let event = match source {
            Some(source) => endpoint_discovery::Event::SourceUpdated { source, update },
            None => endpoint_discovery::Event::SourceLost { source: 1 },
        };
        let (before, start, mut actions) = (ALLOCATOR.stats(), Instant::now(), Vec::new());
        view.handle(now, event, &mut actions);
        let (took, after) = (start.elapsed(), ALLOCATOR.stats() - before);
        let ms = took.as_secs_f64() * 1e3;
        println!(
            "{what:<44} {:>12} {:>10} {ms:>8.2}",
            after.bytes_allocated, after.allocations
        );
    }
}

/// A node that follows many instances while they change.
fn many_instances() {
    println!("\nfollowing {MANY} instances for {} s", FOLLOWING.as_secs());
    println!(
        "{:<44} {:>8} {:>10} {:>12}",
        "", "CPU %", "memory MB", "answers/s"
    );
    let nobody = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    for (what, with_consul, changes) in [
        ("not followed", false, 0),
        ("followed, nothing changes", true, 0),
        ("followed, 100 changes a second", true, CHANGES_A_SECOND),
    ] {
        let town = town(2, with_consul);
        town.consul.change(|catalog| {
            for at in 2..MANY {
                catalog.put(Instance::new("holds", &name(at), nobody));
            }
        });
        thread::sleep(time(Duration::from_secs(2)));
        let (start, before, asked) = (
            Instant::now(),
            cpu(town.node.process()),
            town.consul.query_count(),
        );
        let mut done = 0;
        while start.elapsed() < time(FOLLOWING) {
            if changes > 0 {
                let status = if done % 2 == 0 { "warning" } else { "passing" };
                town.consul.set_status(&name(2 + done % (MANY - 2)), status);
                done += 1;
                let due = Duration::from_secs_f64(done as f64 / changes as f64);
                thread::sleep(due.saturating_sub(start.elapsed()));
            } else {
                thread::sleep(Duration::from_millis(100));
            }
        }
        let share =
            (cpu(town.node.process()) - before).as_secs_f64() / start.elapsed().as_secs_f64();
        let answers = (town.consul.query_count() - asked) as f64 / start.elapsed().as_secs_f64();
        println!(
            "{what:<44} {:>8.1} {:>10.1} {answers:>12.1}",
            share * 100.0,
            memory_mb(town.node.process())
        );
    }
}

/// The figures of each of a round's nodes.
type Round = [[f64; 4]; 3];
/// One figure of a round, made of its nodes'.
type Of<'a> = &'a dyn Fn(&Round, usize) -> f64;

/// What it costs a request. Two processes of one program differ by some percent, for as long as they live: so each round
/// has fresh ones, in another order, and beside the pair that is asked about one of two alike.
pub fn requests() {
    println!(
        "\na request's path, {ROUNDS} rounds of fresh nodes, {} s each, 8 clients, 4 servers",
        ROUND.as_secs_f64()
    );
    println!(
        "{:<44} {:>10} {:>8} {:>8} {:>10}",
        "", "requests/s", "p50 ms", "p99 ms", "CPU us"
    );
    let kinds = [false, true, false];
    let mut rounds = Vec::new();
    for round in 0..count(ROUNDS, 1) {
        let mut figures: Round = [[0.0; 4]; 3];
        for at in (0..kinds.len()).map(|at| (at + round) % kinds.len()) {
            figures[at] = path(&town(4, kinds[at]));
        }
        rounds.push(figures);
    }
    let median = |of: Of<'_>, part: f64| {
        [0, 1, 2, 3].map(|figure| {
            quantile(
                &mut rounds
                    .iter()
                    .map(|round| of(round, figure))
                    .collect::<Vec<_>>(),
                part,
            )
        })
    };
    let rows: [(&str, Of<'_>, f64); 8] = [
        (
            "without the file, median",
            &|round, figure| round[0][figure],
            0.5,
        ),
        (
            "Consul is followed, median",
            &|round, figure| round[1][figure],
            0.5,
        ),
        (
            "with / without, lower quartile",
            &|round, figure| round[1][figure] / round[0][figure],
            0.25,
        ),
        (
            "with / without, median",
            &|round, figure| round[1][figure] / round[0][figure],
            0.5,
        ),
        (
            "with / without, upper quartile",
            &|round, figure| round[1][figure] / round[0][figure],
            0.75,
        ),
        (
            "without / without, lower quartile",
            &|round, figure| round[2][figure] / round[0][figure],
            0.25,
        ),
        (
            "without / without, median",
            &|round, figure| round[2][figure] / round[0][figure],
            0.5,
        ),
        (
            "without / without, upper quartile",
            &|round, figure| round[2][figure] / round[0][figure],
            0.75,
        ),
    ];
    for (nth, (what, of, part)) in rows.into_iter().enumerate() {
        let [rate, p50, p99, cpu] = median(of, part);
        let digits = if nth < 2 { 0 } else { 3 };
        println!("{what:<44} {rate:>10.digits$} {p50:>8.3} {p99:>8.3} {cpu:>10.3}");
    }
}

fn path(town: &Town) -> [f64; 4] {
    let (start, before) = (Instant::now(), cpu(town.node.process()));
    let load = Load::start(town.node.address, 8, Duration::ZERO);
    thread::sleep(time(ROUND));
    let totals = load.end();
    let cpu = (cpu(town.node.process()) - before).as_secs_f64();
    assert_eq!(totals.lost, 0, "no request is lost");
    let [p50, p99] = [0.5, 0.99].map(|part| totals.quantile(part).as_secs_f64() * 1e3);
    [
        totals.sent as f64 / start.elapsed().as_secs_f64(),
        p50,
        p99,
        cpu * 1e6 / totals.sent as f64,
    ]
}
