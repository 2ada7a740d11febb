//! Several processes of the program that tell each other of bad servers.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use testkit::{answer, program, Fleet, Load, Reply, Server, Trouble};

const TIMES: &str = "probe_ms = 200\nsuspect_ms = 1000\n";
const WORD: &str = "[word]\nturn_ms = 300\nfloor = 0.0001\n";
const NODES: usize = 6;
const SERVERS: usize = 5;
/// Long after anything that must come comes, on a machine that is busy. A node that found a server slow once has
/// forgotten it after some 15 s.
const PATIENCE: Duration = Duration::from_secs(90);

/// So many of the bad server's first answers are late by so much, as on a machine that is busy: nodes find it slow, and must
/// have it in mind again before they can find it bad.
const SLOW_FIRST: usize = 12;
const SLOW: Duration = Duration::from_millis(40);

/// A fleet with five servers, the first of which fails while it is told to.
fn started(seed: u64, operators: &str) -> (Fleet, Arc<AtomicBool>) {
    let is_bad = Arc::new(AtomicBool::new(false));
    let mut fleet = Fleet::prepare(NODES, seed, operators);
    let (told, asked) = (Arc::clone(&is_bad), AtomicUsize::new(0));
    let first = move |_: &_| {
        if asked.fetch_add(1, Ordering::Relaxed) < SLOW_FIRST {
            std::thread::sleep(SLOW);
        }
        if told.load(Ordering::Relaxed) {
            Reply::Say(answer("500 Internal Server Error", "", "no"))
        } else {
            Reply::ok("yes")
        }
    };
    fleet.others.push(Server::start(first).quiet());
    fleet
        .others
        .extend((2..SERVERS).map(|_| Server::start(|_| Reply::ok("yes")).quiet()));
    (0..NODES).for_each(|node| fleet.run(node));
    fleet.agree_within(PATIENCE);
    (fleet, is_bad)
}

fn loads(fleet: &Fleet, nodes: Range<usize>) -> Vec<Load> {
    nodes
        .map(|node| Load::start(fleet.node(node).address, 1, Duration::from_millis(25)))
        .collect()
}

fn end(loads: Vec<Load>) {
    let totals: Vec<_> = loads.into_iter().map(Load::end).collect();
    assert!(
        totals
            .iter()
            .all(|totals| totals.lost == 0 && totals.sent > 0),
        "requests go on"
    );
}

/// The weight that a node gives the bad server; 1: nothing is said of it, or the node stands still.
fn weight(fleet: &Fleet, node: usize) -> f64 {
    if !fleet.is_up(node) {
        return 1.0;
    }
    let text = fleet.node(node).call("HINTS\n");
    let row = text.lines().find(|line| line.starts_with("s-1 "));
    row.and_then(|row| row.split(' ').nth(4)?.parse().ok())
        .unwrap_or(1.0)
}

/// Waits until these nodes all give the bad server such a weight.
fn wait_for(fleet: &mut Fleet, what: &str, nodes: Range<usize>, is_so: fn(f64) -> bool) {
    fleet.wait_for(what, PATIENCE, |fleet| {
        let weights: Vec<_> = nodes.clone().map(|node| weight(fleet, node)).collect();
        if weights.iter().all(|weight| is_so(*weight)) {
            Ok(())
        } else {
            Err(format!("{weights:?}"))
        }
    });
}

/// Waits until the bad server has had so many requests in all.
fn wait_for_requests(fleet: &mut Fleet, what: &str, count: usize) {
    fleet.wait_for(what, PATIENCE, |fleet| match fleet.others[0].count() {
        had if had < count => Err(format!("{had} of {count}")),
        _ => Ok(()),
    });
}

fn spares(weight: f64) -> bool {
    weight < 0.1
}

fn is_whole(weight: f64) -> bool {
    weight >= 1.0
}

/// Three nodes find a server bad; then three others, which had no request yet, have some: how many of these the bad server
/// itself counts.
fn met_by_newcomers(seed: u64, word: &str) -> usize {
    let (mut fleet, is_bad) = started(seed, &format!("{TIMES}{word}"));
    let finders = loads(&fleet, 0..3);
    is_bad.store(true, Ordering::Relaxed);
    if word.is_empty() {
        fleet.wait(Duration::from_secs(2));
        wait_for_requests(&mut fleet, "the three have it", 3);
    } else {
        wait_for(&mut fleet, "all spare it", 0..NODES, spares);
    }
    end(finders);
    let found = fleet.others[0].count();
    assert!(found >= 3, "each of the three had it: {found}");
    let newcomers = loads(&fleet, 3..NODES);
    fleet.wait(Duration::from_secs(2));
    if word.is_empty() {
        // A newcomer to which other servers seem quicker by chance meets the bad one later.
        wait_for_requests(&mut fleet, "newcomers meet it", found + 2);
    }
    end(newcomers);
    fleet.others[0].count() - found
}

/// The server's own count judges. Alone each node has to find it out; one that is told hardly sends it anything.
#[test]
fn nodes_that_are_told_do_not_find_out_for_themselves() {
    let alone = met_by_newcomers(4, "");
    let told = met_by_newcomers(5, WORD);
    assert!(alone >= 2 && told <= 1, "alone {alone}, told {told}");
}

#[test]
fn a_server_that_is_well_again_comes_back_and_operators_see_it() {
    let (mut fleet, is_bad) = started(1, &format!("{TIMES}{WORD}"));
    let loads = loads(&fleet, 0..NODES);
    fleet.wait(Duration::from_secs(1));
    wait_for(&mut fleet, "nothing is said of it", 0..NODES, is_whole);
    is_bad.store(true, Ordering::Relaxed);
    wait_for(&mut fleet, "all spare it", 0..NODES, spares);
    let at = fleet.node(2).control().to_string();
    let table = program()
        .args(["hints", "--at", &at])
        .output()
        .expect("it starts");
    let table = String::from_utf8_lossy(&table.stdout).into_owned();
    assert!(table.contains("s-1") && table.contains("error"), "{table}");
    assert!(fleet.node(0).figure("word_heard") > 0 && fleet.node(0).figure("word_suspected") > 0);
    is_bad.store(false, Ordering::Relaxed);
    wait_for(&mut fleet, "it has its share again", 0..NODES, is_whole);
    let before = fleet.others[0].count();
    wait_for_requests(&mut fleet, "it has requests again", before + 20);
    end(loads);
    assert!(
        fleet.others.iter().all(|server| server.count() > 0),
        "no server is without requests"
    );
}

/// Two that are deaf to the rest still serve, and whoever is stopped and wakes up harms nobody.
#[test]
fn word_goes_on_while_nodes_stop_and_are_cut_off() {
    let (mut fleet, is_bad) = started(2, &format!("{TIMES}{WORD}"));
    let loads = loads(&fleet, 0..NODES);
    for node in 4..NODES {
        for other in (0..NODES).filter(|other| *other != node) {
            fleet.apply(&Trouble::Cut {
                from: other,
                to: node,
            });
        }
    }
    fleet.apply(&Trouble::Pause {
        node: 3,
        ms: 2_500.0,
    });
    is_bad.store(true, Ordering::Relaxed);
    wait_for(
        &mut fleet,
        "those that hear each other spare it",
        0..3,
        spares,
    );
    fleet.apply(&Trouble::HealAll);
    wait_for(&mut fleet, "all spare it", 0..NODES, spares);
    end(loads);
    let passed = fleet.passed();
    assert!(passed.done.cut > 0 && passed.longest <= 256, "{passed:?}");
    assert!(fleet.others[0].count() >= 3, "it was tried");
}

#[test]
fn word_stays_off_where_nobody_asks_for_it_or_it_is_not_allowed() {
    let fleet = Fleet::start(1, 3, TIMES);
    assert!(fleet
        .node(0)
        .call("HINTS\n")
        .starts_with("400 this node takes no word of servers"));
    let forbidden = fleet.config(0).replace("\"peers\":true", "\"peers\":false");
    let node =
        testkit::Node::start_with(&forbidden, Some(&format!("{}{WORD}", fleet.operators(0))));
    assert!(node
        .call("HINTS\n")
        .starts_with("400 this node takes no word of servers"));
    let read = |text: &str| {
        let path = std::path::Path::new("file");
        silverthread::node::admin::config_file::OperatorConfig::parse(path, text)
            .map(|_| ())
            .expect_err("it makes no sense")
    };
    let instances = "[instances]\nfleet = \"holds\"\nkey_file = \"key\"\n";
    for (text, why) in [
        ("[word]\n".to_owned(), "outlier detection needs [instances]"),
        (
            format!("{instances}[word]\nreporters = 1\n"),
            "`reporters` is out of range",
        ),
        (
            format!("{instances}[word]\npanic_share = 0.9\n"),
            "`panic_share` is out of range",
        ),
        (
            format!("{instances}[word]\nturns = 1\n"),
            "unknown field `turns`",
        ),
    ] {
        let error = read(&text);
        assert!(
            error.to_string().contains(why) && error.line().is_some(),
            "{error}"
        );
    }
}
