//! Benefit and cost of endpoint discovery through Consul: propagation delay, allocations, CPU, memory, and the request path.

use std::thread;
use std::time::{Duration, Instant};

use consul::{Event, Mapping, Query, Watch, WatchSettings};
use endpoint_discovery::{
    Assertion, Endpoint, EndpointView, Freshness, Lifecycle, SourcePolicy, SourceUpdate,
};
use testkit::consul::{Consul, Instance};
use testkit::{
    config, endpoint_list, settings, wait_until, Discovery, Load, Node, Reply, Server,
    Watch as DiscoveryWatch,
};

use crate::system::{count, cpu_time, duration, memory_mib, quantile};
use crate::ALLOCATOR;

const CHANGES: usize = 50;
/// Pause between two changes: longer than the interval between responses.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
const INSTANCES: usize = 5_000;
const CHANGES_PER_S: u64 = 100;
const FOLLOW_DURATION: Duration = Duration::from_secs(10);
const ROUNDS: usize = 15;
const ROUND_DURATION: Duration = Duration::from_millis(1_500);

/// Prints all measurements of this module.
pub fn measure() {
    measure_propagation_delay();
    measure_allocations();
    measure_merging();
    measure_many_instances();
    measure_request_path();
}

struct TestSite {
    servers: Vec<Server>,
    consul: Consul,
    node: Node,
    watch: DiscoveryWatch,
    _discovery: Discovery,
}

fn instance_name(index: usize) -> String {
    format!("s-{index}")
}

fn start_site(count: usize, with_consul: bool) -> TestSite {
    let servers: Vec<_> = (0..count)
        .map(|_| Server::start(|_| Reply::ok("rooms: 3\n")).without_recording())
        .collect();
    let consul = Consul::start();
    consul.stop_recording();
    for (index, server) in servers.iter().enumerate() {
        consul.register(Instance::new(
            "holds",
            &instance_name(index),
            server.address,
        ));
    }
    let discovery = Discovery::start();
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.endpoint_entry(&instance_name(index), "ready"))
        .collect();
    let text = config(
        discovery.address,
        &endpoint_list(1, true, &entries),
        &settings(15_000),
    );
    let file = operators_file(&consul);
    let node = Node::start_with_operators_file(&text, with_consul.then_some(&file));
    let watch = discovery.watch();
    TestSite {
        servers,
        consul,
        node,
        watch,
        _discovery: discovery,
    }
}

fn operators_file(consul: &Consul) -> String {
    // One server drains repeatedly here; flap damping would keep it out.
    format!(
        "[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{}\"]\n\
         damping = {{ first_s = 0, most_s = 0, half_life_s = 1 }}\n",
        consul.address
    )
}

/// Measures the time from a drain at the source to the last request that the server received.
fn measure_propagation_delay() {
    println!("\nfrom a drain to the last request that reached the server ({CHANGES} drains, 16 clients), ms");
    println!("{:<44} {:>8} {:>8}", "", "median", "p99");
    let list_only = drain_delays(false, Duration::ZERO);
    print_row("endpoint list, sent at once", list_only);
    print_row(
        "endpoint list, sent 3 s late (10 drains)",
        drain_delays(false, Duration::from_secs(3)),
    );
    print_row(
        "with Consul, set in Consul at once",
        drain_delays(true, Duration::ZERO),
    );
}

fn print_row(label: &str, mut times: Vec<f64>) {
    println!(
        "{label:<44} {:>8.2} {:>8.2}",
        quantile(&mut times, 0.5),
        quantile(&mut times, 0.99)
    );
}

fn drain_delays(by_consul: bool, delay: Duration) -> Vec<f64> {
    let mut site = start_site(2, by_consul);
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
        wait_until("the server receives requests", || {
            site.servers[1].request_count() > requests + 20
        });
        let mut set_draining = |site: &mut TestSite, draining: bool| {
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
        let drain_time = Instant::now();
        thread::sleep(duration(delay));
        set_draining(&mut site, true);
        thread::sleep(CHANGE_INTERVAL);
        let last_request = site.servers[1].last_request_at().unwrap_or(drain_time);
        times.push(
            last_request
                .saturating_duration_since(drain_time)
                .as_secs_f64()
                * 1e3,
        );
        set_draining(&mut site, false);
        thread::sleep(CHANGE_INTERVAL);
    }
    assert_eq!(load.finish().lost, 0, "the node lost requests");
    times
}

fn health_response(changed: usize) -> String {
    let instance = |index: usize| {
        let status = if index < changed {
            "warning"
        } else {
            "passing"
        };
        format!(
            r#"{{"Node":{{"ID":"40e4a748-2192-161a-0510-9bf59fe950b5","Node":"n-{index}","Address":"10.0.0.1","Datacenter":"dc1","Meta":{{}}}},"Service":{{"ID":"s-{index}","Service":"holds","Tags":["a","b"],"Meta":{{"zone":"z","kind":"m"}},"Address":"10.0.0.1","Port":{},"Weights":{{"Passing":1,"Warning":1}},"ModifyIndex":7}},"Checks":[{{"Node":"n-{index}","CheckID":"serfHealth","Status":"passing","Output":"Agent alive and reachable"}},{{"CheckID":"service:s-{index}","Status":"{status}","Output":"ok"}}]}}"#,
            1_000 + index
        )
    };
    format!(
        "[{}]",
        (0..INSTANCES).map(instance).collect::<Vec<_>>().join(",")
    )
}

/// Feeds the watch a response and returns the number of updated endpoints.
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
    let updated_counts = actions.into_iter().map(|action| match action {
        consul::Action::Report(report) => report.updated.len(),
        _ => 0,
    });
    updated_counts.sum()
}

/// Measures allocations and time of parsing a response.
fn measure_allocations() {
    let mut watch = Watch::new(
        WatchSettings::new(Query::health("holds"), Mapping::default(), 1),
        1,
    );
    println!(
        "\nparsing a response with {INSTANCES} instances ({} MB)",
        health_response(0).len() / 1_000_000
    );
    println!(
        "{:<44} {:>12} {:>10} {:>8}",
        "", "bytes alloc.", "allocs", "ms"
    );
    for (label, changed, now_ms) in [
        ("first response", 0, 0.0),
        ("nothing changed", 0, 1e6),
        ("one changed", 1, 2e6),
        ("one changed back", 0, 3e6),
        ("one hundred changed", 100, 4e6),
    ] {
        let body = health_response(changed);
        let (before, start) = (ALLOCATOR.stats(), Instant::now());
        respond(&mut watch, now_ms, now_ms as u64 + 1, &body);
        let (elapsed, allocated) = (start.elapsed(), ALLOCATOR.stats() - before);
        let ms = elapsed.as_secs_f64() * 1e3;
        println!(
            "{label:<44} {:>12} {:>10} {ms:>8.2}",
            allocated.bytes_allocated, allocated.allocations
        );
    }
}

/// Measures allocations and time of merging the endpoints of two sources.
fn measure_merging() {
    println!("\nmerging {INSTANCES} endpoints of two sources");
    println!(
        "{:<44} {:>12} {:>10} {:>8}",
        "", "bytes alloc.", "allocs", "ms"
    );
    let mut view = EndpointView::new(vec![
        SourcePolicy::authoritative("endpoint list"),
        SourcePolicy::advisory("consul"),
    ]);
    let endpoint = |index: usize| Endpoint {
        address: Some(([10, 0, 0, 1], 1_000 + index as u16).into()),
        ..Endpoint::new(instance_name(index))
    };
    let assertion = |index: usize, lifecycle, version| Assertion {
        key: instance_name(index),
        lifecycle,
        version,
        endpoint: Some(endpoint(index)),
    };
    let ready = || {
        (0..INSTANCES)
            .map(|index| assertion(index, Lifecycle::Ready, 1))
            .collect()
    };
    for (now_ms, label, source, assertions) in [
        (0.0, "first update of the endpoint list", Some(0), ready()),
        (1.0, "first update of Consul", Some(1), ready()),
        (
            2.0,
            "one changed endpoint",
            Some(1),
            vec![assertion(7, Lifecycle::Draining, 2)],
        ),
        (3.0, "Consul unreachable", None, vec![]),
        (4.0, "Consul reachable again", Some(1), vec![]),
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
        view.handle(now_ms, event, &mut actions);
        let (elapsed, allocated) = (start.elapsed(), ALLOCATOR.stats() - before);
        let ms = elapsed.as_secs_f64() * 1e3;
        println!(
            "{label:<44} {:>12} {:>10} {ms:>8.2}",
            allocated.bytes_allocated, allocated.allocations
        );
    }
}

/// Measures CPU, memory and Consul queries of a node that follows many instances while they change.
fn measure_many_instances() {
    println!(
        "\nfollowing {INSTANCES} instances for {} s",
        FOLLOW_DURATION.as_secs()
    );
    println!(
        "{:<44} {:>8} {:>10} {:>12}",
        "", "CPU %", "memory MiB", "queries/s"
    );
    let unused = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    for (label, with_consul, changes) in [
        ("without Consul", false, 0),
        ("with Consul, no changes", true, 0),
        ("with Consul, 100 changes/s", true, CHANGES_PER_S),
    ] {
        let site = start_site(2, with_consul);
        site.consul.change(|catalog| {
            for index in 2..INSTANCES {
                catalog.put(Instance::new("holds", &instance_name(index), unused));
            }
        });
        thread::sleep(duration(Duration::from_secs(2)));
        let (start, cpu_before, queries_before) = (
            Instant::now(),
            cpu_time(site.node.process_id()),
            site.consul.query_count(),
        );
        let mut changes_made = 0;
        while start.elapsed() < duration(FOLLOW_DURATION) {
            if changes > 0 {
                let status = if changes_made % 2 == 0 {
                    "warning"
                } else {
                    "passing"
                };
                site.consul
                    .set_status(&instance_name(2 + changes_made % (INSTANCES - 2)), status);
                changes_made += 1;
                let next_change = Duration::from_secs_f64(changes_made as f64 / changes as f64);
                thread::sleep(next_change.saturating_sub(start.elapsed()));
            } else {
                thread::sleep(Duration::from_millis(100));
            }
        }
        let cpu_share = (cpu_time(site.node.process_id()) - cpu_before).as_secs_f64()
            / start.elapsed().as_secs_f64();
        let query_rate =
            (site.consul.query_count() - queries_before) as f64 / start.elapsed().as_secs_f64();
        println!(
            "{label:<44} {:>8.1} {:>10.1} {query_rate:>12.1}",
            cpu_share * 100.0,
            memory_mib(site.node.process_id())
        );
    }
}

/// Figures of the three nodes of a round (without Consul, with Consul, and again without): requests per second, median and
/// 99th percentile of the latency in milliseconds, and CPU time per request in microseconds.
type Round = [[f64; 4]; 3];
/// Computes a value of a round for the figure with the given index.
type RoundValue<'a> = &'a dyn Fn(&Round, usize) -> f64;

/// Measures the cost per request of following Consul. Two processes of the same program differ by a few percent throughout
/// their lifetime. Each round therefore starts new processes in a different order, and compares two identical nodes as well.
pub fn measure_request_path() {
    println!(
        "\nrequest path, {ROUNDS} rounds of newly started nodes, {} s each, 8 clients, 4 servers; CPU time per request",
        ROUND_DURATION.as_secs_f64()
    );
    println!(
        "{:<44} {:>10} {:>8} {:>8} {:>10}",
        "", "requests/s", "p50 ms", "p99 ms", "CPU us"
    );
    let with_consul = [false, true, false];
    let mut rounds = Vec::new();
    for round in 0..count(ROUNDS, 1) {
        let mut figures: Round = [[0.0; 4]; 3];
        for index in (0..with_consul.len()).map(|index| (index + round) % with_consul.len()) {
            figures[index] = measure_requests(&start_site(4, with_consul[index]));
        }
        rounds.push(figures);
    }
    let row_figures = |value_of: RoundValue<'_>, fraction: f64| {
        [0, 1, 2, 3].map(|figure| {
            quantile(
                &mut rounds
                    .iter()
                    .map(|round| value_of(round, figure))
                    .collect::<Vec<_>>(),
                fraction,
            )
        })
    };
    let rows: [(&str, RoundValue<'_>, f64); 8] = [
        (
            "without Consul, median",
            &|round, figure| round[0][figure],
            0.5,
        ),
        (
            "with Consul, median",
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
    for (index, (label, value_of, fraction)) in rows.into_iter().enumerate() {
        let [rate, p50, p99, cpu] = row_figures(value_of, fraction);
        let decimals = if index < 2 { 0 } else { 3 };
        println!("{label:<44} {rate:>10.decimals$} {p50:>8.3} {p99:>8.3} {cpu:>10.3}");
    }
}

fn measure_requests(site: &TestSite) -> [f64; 4] {
    let (start, before) = (Instant::now(), cpu_time(site.node.process_id()));
    let load = Load::start(site.node.address, 8, Duration::ZERO);
    thread::sleep(duration(ROUND_DURATION));
    let totals = load.finish();
    let cpu = (cpu_time(site.node.process_id()) - before).as_secs_f64();
    assert_eq!(totals.lost, 0, "the node lost requests");
    let [p50, p99] =
        [0.5, 0.99].map(|fraction| totals.latency_quantile(fraction).as_secs_f64() * 1e3);
    [
        totals.sent as f64 / start.elapsed().as_secs_f64(),
        p50,
        p99,
        cpu * 1e6 / totals.sent as f64,
    ]
}
