//! What following Consul gains and costs.

use std::thread;
use std::time::{Duration, Instant};

use consul::{Event, Mapping, Query, Watch, WatchSettings};
use membership::{Authority, List, Membership, State, Trust, Word};
use testkit::consul::{Consul, Instance};
use testkit::{config, list, settings, until, Discovery, Load, Node, Reply, Server, Watch as Open};

use crate::system::{cpu, memory_mb, quantile};
use crate::ALLOCATOR;

const CHANGES: usize = 50;
/// Between two changes: within the pace at which answers are read.
const GAP: Duration = Duration::from_millis(300);
const MANY: usize = 5_000;
const CHANGES_A_SECOND: u64 = 100;
const FOLLOWING: Duration = Duration::from_secs(10);
const PAIRS: usize = 5;
const PAIR: Duration = Duration::from_secs(3);

/// Prints all of it.
pub fn measure() {
    time_to_know();
    allocations();
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
    let servers: Vec<_> = (0..count).map(|_| Server::start(|_| Reply::ok("rooms: 3\n")).quiet()).collect();
    let consul = Consul::start();
    consul.note_nothing();
    for (at, server) in servers.iter().enumerate() {
        consul.register(Instance::new("holds", &name(at), server.address));
    }
    let discovery = Discovery::start();
    let entries: Vec<_> = servers.iter().enumerate().map(|(at, s)| s.entry(&name(at), "ready")).collect();
    let text = config(discovery.address, &list(1, true, &entries), &settings(15_000));
    let file = operators(&consul);
    let node = Node::start_with(&text, with_consul.then_some(&file));
    let watch = discovery.watch().kept_alive();
    Town { servers, consul, node, watch, _discovery: discovery }
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
    row("roster alone, told 3 s late (10 drains)", drains(false, Duration::from_secs(3)));
    row("Consul beside it, told at once", drains(true, Duration::ZERO));
}

fn row(what: &str, mut times: Vec<f64>) {
    println!("{what:<44} {:>8.2} {:>8.2}", quantile(&mut times, 0.5), quantile(&mut times, 0.99));
}

fn drains(by_consul: bool, late: Duration) -> Vec<f64> {
    let mut town = town(2, by_consul);
    let load = Load::start(town.node.address, 16, Duration::ZERO);
    let mut generation = 1;
    let count = if late.is_zero() { CHANGES } else { CHANGES / 5 };
    let mut times = Vec::new();
    for _ in 0..count {
        let asked = town.servers[1].count();
        until("the server is asked", || town.servers[1].count() > asked + 20);
        let mut say = |town: &mut Town, draining: bool| {
            if by_consul {
                town.consul.set_maintenance("s-1", draining);
            } else {
                generation += 1;
                let entry = town.servers[1].entry("s-1", if draining { "draining" } else { "ready" });
                town.watch.say(&format!("{}\n", list(generation, false, &[entry])));
            }
        };
        let drained = Instant::now();
        thread::sleep(late);
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
    format!("[{}]", (0..MANY).map(instance).collect::<Vec<_>>().join(","))
}

fn answer(watch: &mut Watch, now: f64, index: u64, body: &str) -> usize {
    let mut actions = Vec::new();
    watch.handle(now, Event::Due, &mut actions);
    let index = index.to_string();
    watch.handle(now, Event::Head { status: 200, headers: &[("X-Consul-Index", &index)] }, &mut actions);
    for piece in body.as_bytes().chunks(64 * 1024) {
        watch.handle(now, Event::Body(piece), &mut actions);
    }
    watch.handle(now, Event::End, &mut actions);
    let told = actions.into_iter().map(|action| match action {
        consul::Action::Tell(news) => news.words.len(),
        _ => 0,
    });
    told.sum()
}

/// What reading an answer allocates and takes.
fn allocations() {
    let mut watch = Watch::new(WatchSettings::new(Query::health("holds"), Mapping::default(), 1), 1);
    println!("\nreading an answer of {MANY} instances ({} MB)", body(0).len() / 1_000_000);
    println!("{:<44} {:>12} {:>10} {:>8}", "", "bytes alloc.", "allocs", "ms");
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
        println!("{what:<44} {:>12} {:>10} {ms:>8.2}", after.bytes_allocated, after.allocations);
    }
    let mut membership = Membership::new(vec![Trust::roster("roster"), Trust::advisor("consul")]);
    let word = |at: usize, state, index| Word { key: name(at), state, index, host: None };
    for source in 0..2 {
        let words = (0..MANY).map(|at| word(at, State::Ready, 1)).collect();
        let list = List { authority: Authority::Fresh, history: 0, words, left: vec![] };
        membership.handle(0.0, membership::Event::Listed { source, list }, &mut Vec::new());
    }
    let words = vec![word(7, State::Draining, 2)];
    let list = List { authority: Authority::Fresh, history: 0, words, left: vec![] };
    let (before, start, mut actions) = (ALLOCATOR.stats(), Instant::now(), Vec::new());
    membership.handle(1.0, membership::Event::Listed { source: 1, list }, &mut actions);
    let (took, after) = (start.elapsed(), ALLOCATOR.stats() - before);
    let ms = took.as_secs_f64() * 1e3;
    println!(
        "{:<44} {:>12} {:>10} {ms:>8.2}",
        "merging one word into it", after.bytes_allocated, after.allocations
    );
}

/// A node that follows many instances while they change.
fn many_instances() {
    println!("\nfollowing {MANY} instances for {} s", FOLLOWING.as_secs());
    println!("{:<44} {:>8} {:>10} {:>12}", "", "CPU %", "memory MB", "answers/s");
    let nobody = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    for (what, with_consul, changes) in [
        ("not followed", false, 0),
        ("followed, nothing changes", true, 0),
        ("followed, 100 changes a second", true, CHANGES_A_SECOND),
    ] {
        let town = town(2, with_consul);
        town.consul.change(|catalogue| {
            for at in 2..MANY {
                catalogue.put(Instance::new("holds", &name(at), nobody));
            }
        });
        thread::sleep(Duration::from_secs(2));
        let (start, before, asked) = (Instant::now(), cpu(town.node.process()), town.consul.asked());
        let mut done = 0;
        while start.elapsed() < FOLLOWING {
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
        let share = (cpu(town.node.process()) - before).as_secs_f64() / start.elapsed().as_secs_f64();
        let answers = (town.consul.asked() - asked) as f64 / start.elapsed().as_secs_f64();
        println!(
            "{what:<44} {:>8.1} {:>10.1} {answers:>12.1}",
            share * 100.0,
            memory_mb(town.node.process())
        );
    }
}

/// What it costs a request, in turn: a node without the file, and one that follows Consul.
fn requests() {
    println!("\na request's path, {PAIRS} pairs of {} s, 8 clients, 4 servers", PAIR.as_secs());
    println!("{:<44} {:>10} {:>8} {:>8} {:>10}", "", "requests/s", "p50 ms", "p99 ms", "CPU us");
    let towns = [town(4, false), town(4, true)];
    let mut figures = [(); 2].map(|()| [(); 4].map(|()| Vec::new()));
    for _ in 0..PAIRS {
        for (town, figures) in towns.iter().zip(&mut figures) {
            let (start, before) = (Instant::now(), cpu(town.node.process()));
            let load = Load::start(town.node.address, 8, Duration::ZERO);
            thread::sleep(PAIR);
            let totals = load.end();
            let cpu = (cpu(town.node.process()) - before).as_secs_f64();
            assert_eq!(totals.lost, 0, "no request is lost");
            figures[0].push(totals.sent as f64 / start.elapsed().as_secs_f64());
            figures[1].push(totals.quantile(0.5).as_secs_f64() * 1e3);
            figures[2].push(totals.quantile(0.99).as_secs_f64() * 1e3);
            figures[3].push(cpu * 1e6 / totals.sent as f64);
        }
    }
    let [without, with] = figures.map(|mut all| all.each_mut().map(|one| quantile(one, 0.5)));
    for (what, [rate, p50, p99, cpu]) in [("without the file", without), ("Consul is followed", with)] {
        println!("{what:<44} {rate:>10.0} {p50:>8.2} {p99:>8.2} {cpu:>10.1}");
    }
    let ratio = [0, 1, 2, 3].map(|at| with[at] / without[at]);
    println!("{:<44} {:>10.3} {:>8.3} {:>8.3} {:>10.3}", "ratio", ratio[0], ratio[1], ratio[2], ratio[3]);
}
