//! What following Consul gains and costs: propagation delay, allocations, CPU, memory, and the request
//! path.

use std::thread;
use std::time::{Duration, Instant};

use consul::{Event, Mapping, Query, Watch, WatchSettings};
use endpoint_discovery::{
    Assertion, Endpoint, EndpointView, Freshness, Lifecycle, SourcePolicy, SourceUpdate,
};
use testkit::consul::{Consul, Instance};
use testkit::{
    config, endpoint_list, settings, wait_until, Discovery, Load, Node, Reply, Server,
    Watch as Open,
};

use crate::system::{count, cpu, memory_mb, quantile, time};
use crate::ALLOCATOR;

const CHANGES: usize = 50;
/// The pause between two changes: longer than the interval between responses.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
const INSTANCES: usize = 5_000;
const CHANGES_PER_S: u64 = 100;
const FOLLOW_DURATION: Duration = Duration::from_secs(10);
const ROUNDS: usize = 15;
const ROUND_DURATION: Duration = Duration::from_millis(1_500);

/// Prints every measurement.
pub fn measure() {
    propagation_delay();
    allocations();
    merging();
    many_instances();
    requests();
}

struct Site {
    servers: Vec<Server>,
    consul: Consul,
    node: Node,
    watch: Open,
    _discovery: Discovery,
}

fn name(at: usize) -> String {
    format!("s-{at}")
}

fn site(count: usize, with_consul: bool) -> Site {
    let servers: Vec<_> = (0..count)
        .map(|_| Server::start(|_| Reply::ok("rooms: 3\n")).without_recording())
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
        .map(|(at, s)| s.endpoint_entry(&name(at), "ready"))
        .collect();
    let text = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(15_000),
    );
    let file = operators(&consul);
    let node = Node::start_with_operators_file(&text, with_consul.then_some(&file));
    let watch = discovery.watch();
    Site {
        servers,
        consul,
        node,
        watch,
        _discovery: discovery,
    }
}

fn operators(consul: &Consul) -> String {
    // One server drains again and again here, which flap damping would keep out.
    format!(
        "[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{}\"]\n\
         damping = {{ first_s = 0, most_s = 0, half_life_s = 1 }}\n",
        consul.address
    )
}

/// From a drain at the source to the last request that the server got.
fn propagation_delay() {
    println!("\nfrom a drain to the last request that reached the server ({CHANGES} drains, 16 clients), ms");
    println!("{:<44} {:>8} {:>8}", "", "median", "p99");
    let list_alone = drains(false, Duration::ZERO);
    row("roster alone, told at once", list_alone);
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

fn drains(by_consul: bool, delay: Duration) -> Vec<f64> {
    let mut site = site(2, by_consul);
    let load = Load::start(site.node.address, 16, Duration::ZERO);
    let mut generation = 1;
    let changes = if delay.is_zero() {
        CHANGES
    } else {
        CHANGES / 5
    };
    let mut times = Vec::new();
    for _ in 0..count(changes, 2) {
        let requests = site.servers[1].request_count();
        wait_until("the server gets requests", || {
            site.servers[1].request_count() > requests + 20
        });
        let mut set_draining = |site: &mut Site, draining: bool| {
            if by_consul {
                site.consul.set_maintenance("s-1", draining);
            } else {
                generation += 1;
                let entry = site.servers[1]
                    .endpoint_entry("s-1", if draining { "draining" } else { "ready" });
                site.watch
                    .send(&format!("{}\n", endpoint_list(generation, false, &[entry])));
            }
        };
        let drained = Instant::now();
        thread::sleep(time(delay));
        set_draining(&mut site, true);
        thread::sleep(CHANGE_INTERVAL);
        let last = site.servers[1].last_request_at().unwrap_or(drained);
        times.push(last.saturating_duration_since(drained).as_secs_f64() * 1e3);
        set_draining(&mut site, false);
        thread::sleep(CHANGE_INTERVAL);
    }
    assert_eq!(load.finish().lost, 0, "no request is lost");
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
        (0..INSTANCES).map(instance).collect::<Vec<_>>().join(",")
    )
}

fn respond(watch: &mut Watch, now_ms: f64, index: u64, body: &str) -> usize {
    let mut actions = Vec::new();
    watch.handle(now_ms, Event::TimerExpired, &mut actions);
    let index = index.to_string();
    watch.handle(
        now_ms,
        Event::Head {
            status: 200,
            headers: &[("X-Consul-Index", &index)],
        },
        &mut actions,
    );
    for piece in body.as_bytes().chunks(64 * 1024) {
        watch.handle(now_ms, Event::Body(piece), &mut actions);
    }
    watch.handle(now_ms, Event::End, &mut actions);
    let updated = actions.into_iter().map(|action| match action {
        consul::Action::Report(report) => report.updated.len(),
        _ => 0,
    });
    updated.sum()
}

/// What parsing a response allocates, and how long it takes.
fn allocations() {
    let mut watch = Watch::new(
        WatchSettings::new(Query::health("holds"), Mapping::default(), 1),
        1,
    );
    println!(
        "\nreading an answer of {INSTANCES} instances ({} MB)",
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
        respond(&mut watch, now, now as u64 + 1, &body);
        let (took, after) = (start.elapsed(), ALLOCATOR.stats() - before);
        let ms = took.as_secs_f64() * 1e3;
        println!(
            "{what:<44} {:>12} {:>10} {ms:>8.2}",
            after.bytes_allocated, after.allocations
        );
    }
}

/// What merging so many endpoints allocates, and how long it takes.
fn merging() {
    println!("\nmerging {INSTANCES} servers of two sources");
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
        (0..INSTANCES)
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
    println!(
        "\nfollowing {INSTANCES} instances for {} s",
        FOLLOW_DURATION.as_secs()
    );
    println!(
        "{:<44} {:>8} {:>10} {:>12}",
        "", "CPU %", "memory MB", "answers/s"
    );
    let unused = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    for (what, with_consul, changes) in [
        ("not followed", false, 0),
        ("followed, nothing changes", true, 0),
        ("followed, 100 changes a second", true, CHANGES_PER_S),
    ] {
        let site = site(2, with_consul);
        site.consul.change(|catalog| {
            for at in 2..INSTANCES {
                catalog.put(Instance::new("holds", &name(at), unused));
            }
        });
        thread::sleep(time(Duration::from_secs(2)));
        let (start, cpu_before, queries_before) = (
            Instant::now(),
            cpu(site.node.process_id()),
            site.consul.query_count(),
        );
        let mut done = 0;
        while start.elapsed() < time(FOLLOW_DURATION) {
            if changes > 0 {
                let status = if done % 2 == 0 { "warning" } else { "passing" };
                site.consul
                    .set_status(&name(2 + done % (INSTANCES - 2)), status);
                done += 1;
                let due = Duration::from_secs_f64(done as f64 / changes as f64);
                thread::sleep(due.saturating_sub(start.elapsed()));
            } else {
                thread::sleep(Duration::from_millis(100));
            }
        }
        let share = (cpu(site.node.process_id()) - cpu_before).as_secs_f64()
            / start.elapsed().as_secs_f64();
        let responses =
            (site.consul.query_count() - queries_before) as f64 / start.elapsed().as_secs_f64();
        println!(
            "{what:<44} {:>8.1} {:>10.1} {responses:>12.1}",
            share * 100.0,
            memory_mb(site.node.process_id())
        );
    }
}

/// The figures of each node of a round.
type Round = [[f64; 4]; 3];
/// One figure of a round, computed from those of its nodes.
type Of<'a> = &'a dyn Fn(&Round, usize) -> f64;

/// What it costs a request. Two processes of one program differ by some percent for as long as they live: so each round
/// starts new ones, in another order, and compares two identical ones beside the pair in question.
pub fn requests() {
    println!(
        "\na request's path, {ROUNDS} rounds of fresh nodes, {} s each, 8 clients, 4 servers",
        ROUND_DURATION.as_secs_f64()
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
            figures[at] = path(&site(4, kinds[at]));
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

fn path(site: &Site) -> [f64; 4] {
    let (start, before) = (Instant::now(), cpu(site.node.process_id()));
    let load = Load::start(site.node.address, 8, Duration::ZERO);
    thread::sleep(time(ROUND_DURATION));
    let totals = load.finish();
    let cpu = (cpu(site.node.process_id()) - before).as_secs_f64();
    assert_eq!(totals.lost, 0, "no request is lost");
    let [p50, p99] = [0.5, 0.99].map(|part| totals.latency_quantile(part).as_secs_f64() * 1e3);
    [
        totals.sent as f64 / start.elapsed().as_secs_f64(),
        p50,
        p99,
        cpu * 1e6 / totals.sent as f64,
    ]
}
