//! The node with a roster and Consul, over loopback: agents that lag, lie and vanish.

#![allow(
    clippy::redundant_closure_for_method_calls,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use testkit::consul::{Consul, Fault, Instance};
use testkit::link::{Fault as Spoils, Link, Plan};
use testkit::*;

/// The rule on drains.
const DRAINED: Duration = Duration::from_secs(2);

struct Town {
    servers: Vec<Server>,
    consul: Consul,
    node: Node,
    discovery: Discovery,
    watch: Watch,
    generation: u64,
}

fn operators(consul: &Consul, more: &str) -> String {
    format!(
        "[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{}\"]\nwait_s = 2\n{more}\n",
        consul.address
    )
}

fn name(at: usize) -> String {
    format!("s-{at}")
}

fn servers(count: usize) -> Vec<Server> {
    // An answer takes a while, so that requests at once are spread.
    let reply = |_: &Message| {
        Reply::SayThen(
            Vec::new(),
            Duration::from_millis(5),
            answer("200 OK", "", "rooms: 3\n"),
        )
    };
    (0..count).map(|_| Server::start(reply)).collect()
}

fn registered(servers: &[Server]) -> Consul {
    let consul = Consul::start();
    for (at, server) in servers.iter().enumerate() {
        consul.register(Instance::new("holds", &name(at), server.address));
    }
    consul
}

fn entries(servers: &[Server], state: impl Fn(usize) -> &'static str) -> Vec<String> {
    servers
        .iter()
        .enumerate()
        .map(|(at, server)| server.entry(&name(at), state(at)))
        .collect()
}

impl Town {
    fn new(count: usize, more: &str) -> Self {
        let servers = servers(count);
        let consul = registered(&servers);
        let discovery = Discovery::start();
        let known = list(1, true, &entries(&servers, |_| "ready"));
        let config = config(discovery.address, &known, &settings(15_000));
        let node = Node::start_with(&config, Some(&operators(&consul, more)));
        let watch = discovery.watch();
        let town = Self {
            servers,
            consul,
            node,
            discovery,
            watch,
            generation: 1,
        };
        until("Consul is read", || !town.consul.told().is_empty());
        town
    }

    fn roster(&mut self, at: usize, state: &str) {
        self.generation += 1;
        let entry = self.servers[at].entry(&name(at), state);
        self.watch
            .say(&format!("{}\n", list(self.generation, false, &[entry])));
    }

    /// Waits until Consul has told that an instance is in maintenance, or is not.
    fn told(&self, at: usize, draining: bool) {
        let name = name(at);
        until("Consul tells", || {
            let told = self.consul.told();
            let last = told.last().expect("it was read");
            (if draining {
                &last.draining
            } else {
                &last.others
            })
            .contains(&name)
        });
    }

    /// Which servers get requests, out of so many at once: one at a time could all go to the fastest.
    fn asked(&self, count: usize) -> Vec<usize> {
        let before: Vec<_> = self
            .servers
            .iter()
            .map(|server| server.requests().len())
            .collect();
        std::thread::scope(|scope| {
            for _ in 0..count {
                static NEXT: std::sync::atomic::AtomicUsize =
                    std::sync::atomic::AtomicUsize::new(0);
                let id = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let node = &self.node;
                scope.spawn(move || {
                    assert_eq!(
                        node.ask_until_taken(&read(&format!("a{id:x}"), "15000m"))
                            .status(),
                        200
                    );
                });
            }
        });
        let after = self.servers.iter().map(|server| server.requests().len());
        before
            .iter()
            .zip(after)
            .enumerate()
            .filter(|(_, (before, after))| after > before)
            .map(|(at, _)| at)
            .collect()
    }

    /// Until only these get requests.
    fn until_asked(&self, servers: &[usize]) {
        until(&format!("only {servers:?} are asked"), || {
            self.asked(4 * self.servers.len()) == servers
        });
    }
}

#[test]
fn a_drain_that_consul_alone_knows_is_kept_and_ended_by_consul_alone() {
    let mut town = Town::new(3, "");
    town.until_asked(&[0, 1, 2]);
    town.consul.set_maintenance("s-1", true);
    town.until_asked(&[0, 2]);
    town.roster(1, "ready");
    assert!(
        !town.asked(12).contains(&1),
        "the roster's word is not Consul's"
    );
    town.consul.set_maintenance("s-1", false);
    town.until_asked(&[0, 1, 2]);
    town.roster(2, "draining");
    town.until_asked(&[0, 1]);
}

#[test]
fn a_failing_check_takes_one_server_out_and_all_at_once_none() {
    let town = Town::new(3, "");
    town.consul.set_status("s-0", "critical");
    town.until_asked(&[1, 2]);
    town.consul.change(|catalogue| catalogue.clear());
    until("it is told", || {
        town.consul
            .told()
            .last()
            .is_some_and(|told| told.others.is_empty())
    });
    town.until_asked(&[1, 2]);
    until("it is logged", || {
        town.node
            .log()
            .iter()
            .any(|line| line.contains("removes 3 of 3 endpoints at once"))
    });
}

#[test]
fn what_only_consul_names_is_served_by_where_the_file_allows_it() {
    for (more, all) in [("", &[0, 1][..]), ("names_servers = true", &[0, 1, 2])] {
        let mut town = Town::new(2, more);
        town.servers.push(Server::start(|_| Reply::ok("yes")));
        town.consul
            .register(Instance::new("holds", "s-2", town.servers[2].address));
        town.told(2, false);
        if all.len() == 3 {
            town.until_asked(all);
        } else {
            assert!(!town.asked(20).contains(&2));
        }
    }
}

/// Guards against a node that does not serve, or logs without end, where Consul has never been there.
#[test]
fn with_consul_gone_for_the_whole_run_as_much_is_served_as_without_it() {
    let shares: Vec<f64> = [None, Some(Unreachable::start())]
        .iter()
        .map(|gone| {
            let servers = servers(3);
            let discovery = Discovery::start();
            let known = list(1, true, &entries(&servers, |_| "ready"));
            let config = config(discovery.address, &known, &settings(15_000));
            let operators = gone.as_ref().map(|gone| {
                format!(
                    "[[consul]]\nname = \"c\"\nservice = \"holds\"\nagents = [\"{}\"]\n",
                    gone.address
                )
            });
            let node = Node::start_with(&config, operators.as_deref());
            let _watch = discovery.watch();
            let load = Load::start(node.address, 4, Duration::from_millis(1));
            std::thread::sleep(Duration::from_millis(1_500));
            let totals = load.end();
            assert_eq!(
                (totals.lost, totals.sent > 100),
                (0, true),
                "{:?}",
                totals.answers
            );
            assert!(node.log().len() < 10, "{:?}", node.log());
            totals.share_served()
        })
        .collect();
    assert!(shares.iter().all(|share| *share > 0.99), "{shares:?}");
}

/// Each thing that an agent may do: no request is lost, the server that drains gets none, the others do.
#[test]
fn whatever_an_agent_answers_no_request_is_lost_and_a_drain_is_kept() {
    let town = Town::new(3, "");
    town.consul.set_maintenance("s-1", true);
    town.until_asked(&[0, 2]);
    let older = town.consul.catalogue();
    let load = Load::start(town.node.address, 2, Duration::from_millis(1));
    for fault in [
        Fault::Status(500),
        Fault::Status(429),
        Fault::Status(403),
        Fault::Cut(0),
        Fault::Cut(300),
        Fault::Endless,
        Fault::Body("[]".into()),
        Fault::Body("{}".into()),
        Fault::Body("<html>".into()),
        Fault::Body("[{\"Node\": 7}]".into()),
        Fault::Index(0),
        Fault::Index(u64::MAX),
        Fault::NoLeader,
        Fault::LastContact(60_000),
        Fault::Cached(60),
        Fault::AtOnce,
    ] {
        let asked = town.consul.queries().len();
        town.consul.set_fault(fault.clone());
        // What it holds changes, so that the query that is out is answered, with the fault.
        town.consul.set_status("s-2", "passing");
        until("it is asked again", || town.consul.queries().len() > asked);
        assert!(!town.asked(6).contains(&1), "{fault:?}");
        // A sound answer ends the row of failures, and with it the waits between queries.
        town.consul.set_fault(Fault::None);
        let told = town.consul.told().len();
        town.consul.set_status("s-2", "passing");
        until("it answers again", || town.consul.told().len() > told);
    }
    town.consul.restore(older.at_index(3));
    town.consul.set_vanished(true);
    assert!(!town.asked(6).contains(&1));
    town.consul.set_vanished(false);
    let totals = load.end();
    assert_eq!(totals.lost, 0);
    assert!(totals.share_served() > 0.99, "{:?}", totals.answers);
    let log = town.node.log();
    assert!(log.len() < 120, "{} lines", log.len());
}

/// Two agents with different worlds that answer in turn: the one that is behind undoes nothing.
#[test]
fn an_agent_that_is_behind_another_undoes_no_drain() {
    let servers = servers(3);
    let (ahead, behind) = (registered(&servers), registered(&servers));
    ahead.set_maintenance("s-1", true);
    let discovery = Discovery::start();
    let known = list(1, true, &entries(&servers, |_| "ready"));
    let config = config(discovery.address, &known, &settings(15_000));
    let both = format!(
        "[[consul]]\nname = \"c\"\nservice = \"holds\"\nagents = [\"{}\", \"{}\"]\nwait_s = 1\n",
        ahead.address, behind.address
    );
    let town = Town {
        node: Node::start_with(&config, Some(&both)),
        watch: discovery.watch(),
        consul: ahead.clone(),
        servers,
        discovery,
        generation: 1,
    };
    town.until_asked(&[0, 2]);
    for turn in 0..6 {
        let (gone, there) = if turn % 2 == 0 {
            (&ahead, &behind)
        } else {
            (&behind, &ahead)
        };
        there.set_vanished(false);
        let told = there.told().len();
        gone.set_vanished(true);
        until("the other agent answers", || there.told().len() > told);
        assert!(!town.asked(6).contains(&1), "turn {turn}");
    }
}

/// The way to the agent cuts, delays and repeats at bytes all through its answers.
#[test]
fn a_link_that_spoils_answers_loses_no_request_and_no_drain() {
    let servers = servers(3);
    let consul = registered(&servers);
    consul.set_maintenance("s-1", true);
    let link = Link::start(consul.address, |nth| {
        let fault = [
            Spoils::Cut,
            Spoils::Repeat(40),
            Spoils::Delay(Duration::from_millis(30)),
        ][nth / 2 % 3];
        // Every other connection is sound, so that the waits between queries stay short.
        let plan = if nth % 2 == 0 {
            Plan::at(60 + nth * 150, fault)
        } else {
            Plan::sound()
        };
        (Plan::sound(), plan)
    });
    let discovery = Discovery::start();
    let known = list(1, true, &entries(&servers, |_| "ready"));
    let config = config(discovery.address, &known, &settings(15_000));
    let file =
        operators(&consul, "").replace(&consul.address.to_string(), &link.address.to_string());
    let town = Town {
        node: Node::start_with(&config, Some(&file)),
        watch: discovery.watch(),
        consul,
        servers,
        discovery,
        generation: 1,
    };
    town.until_asked(&[0, 2]);
    let load = Load::start(town.node.address, 2, Duration::from_millis(1));
    for _ in 0..8 {
        let before = link.connections();
        link.cut_all();
        until("the node connects again", || link.connections() > before);
        town.consul.set_status("s-0", "passing");
        assert!(!town.asked(6).contains(&1));
    }
    until("a connection is sound", || {
        link.cut_all();
        std::thread::sleep(Duration::from_millis(300));
        link.connections() % 2 == 0
    });
    town.consul.set_maintenance("s-1", false);
    town.until_asked(&[0, 1, 2]);
    let totals = load.end();
    assert_eq!(totals.lost, 0);
    assert!(totals.share_served() > 0.99, "{:?}", totals.answers);
}

#[test]
fn the_token_goes_to_the_agent_and_into_no_log_and_a_new_one_is_taken() {
    let servers = servers(2);
    let consul = registered(&servers);
    consul.want_token("c0ffee-first");
    let file = write_config("c0ffee-first\n");
    let discovery = Discovery::start();
    let config = config(
        discovery.address,
        &list(1, true, &entries(&servers, |_| "ready")),
        &settings(15_000),
    );
    let more = format!("token_file = {file:?}");
    let node = Node::start_with(&config, Some(&operators(&consul, &more)));
    until("it is let in", || !consul.told().is_empty());
    consul.want_token("c0ffee-second");
    until("it is refused and says so", || {
        node.log()
            .iter()
            .any(|line| line.contains("rejected the token"))
    });
    std::fs::write(&file, "c0ffee-second").expect("the test's own");
    let before = consul.told().len();
    until("it is let in again", || consul.told().len() > before);
    assert!(
        !node.log().iter().any(|line| line.contains("c0ffee")),
        "{:?}",
        node.log()
    );
    std::fs::remove_file(file).expect("the test's own");
}

#[test]
fn consul_is_turned_off_and_on_while_the_node_runs() {
    let town = Town::new(2, "");
    town.consul.set_maintenance("s-1", true);
    town.until_asked(&[0]);
    town.node.reload_operators("[membership]\n");
    town.until_asked(&[0, 1]);
    town.node.reload_operators("nonsense = 1\n");
    until("it is refused", || {
        town.node
            .log()
            .iter()
            .any(|line| line.contains("the operators' file is not used"))
    });
    town.until_asked(&[0, 1]);
    town.node.reload_operators(&operators(&town.consul, ""));
    town.until_asked(&[0]);
}

/// The platform's way: no operators' file, and nothing of this is there.
#[test]
fn without_a_file_nobody_but_the_roster_is_asked() {
    let servers = servers(2);
    let consul = registered(&servers);
    consul.set_maintenance("s-1", true);
    let (node, _discovery, _watch) = Node::with(&[&servers[0], &servers[1]], 15_000);
    let mut asked = 0;
    until("both are asked", || {
        asked += 1;
        assert_eq!(
            node.ask_until_taken(&read(&format!("r{asked}"), "15000m"))
                .status(),
            200
        );
        servers.iter().all(|server| !server.requests().is_empty())
    });
    assert!(consul.queries().is_empty());
}

/// The proof: several hundred steps of lag, lies and loss from a seed, under load.
#[test]
fn through_lag_lies_and_loss_no_request_reaches_a_drained_server_after_its_time_and_none_is_lost() {
    const STEPS: usize = 400;
    const STEP: Duration = Duration::from_millis(25);
    const SERVERS: usize = 8;
    let mut random = fastrand::Rng::with_seed(0x5eed);
    let mut town = Town::new(SERVERS, "confirm_s = 600");
    let load = Load::start(town.node.address, 4, Duration::from_millis(2));
    let mut roster_drains: HashMap<usize, Instant> = HashMap::new();
    let mut spans: Vec<(usize, Instant, Option<Instant>)> = Vec::new();
    let mut snapshots = vec![town.consul.catalogue()];
    for _ in 0..STEPS {
        // Two servers are never drained, so that there is always one to serve.
        let at = random.usize(2..SERVERS);
        match random.u8(..20) {
            0..=3 => town.consul.set_maintenance(&name(at), true),
            4 => town.consul.set_maintenance(&name(at), false),
            5 => town
                .consul
                .set_status(&name(random.usize(..SERVERS)), "critical"),
            6 | 7 => town.consul.set_status(&name(at), "passing"),
            8 => town.consul.deregister(&name(at)),
            9 => town
                .consul
                .register(Instance::new("holds", &name(at), town.servers[at].address)),
            10 => town
                .consul
                .set_lag(Duration::from_millis(random.u64(..300))),
            11 => snapshots.push(town.consul.catalogue()),
            12 => town
                .consul
                .restore(random.choice(&snapshots).expect("one").clone()),
            13 => town.consul.set_vanished(random.bool()),
            14 => town.consul.set_fault(Fault::Cut(random.usize(..2_000))),
            15 => {
                let faults = [
                    Fault::Status(500),
                    Fault::NoLeader,
                    Fault::Body("[]".into()),
                    Fault::AtOnce,
                ];
                town.consul.set_fault(random.choice(faults).expect("one"));
            }
            16 | 17 => town.consul.set_fault(Fault::None),
            18 => {
                town.roster(at, "draining");
                let since = Instant::now();
                roster_drains.entry(at).or_insert(since);
            }
            _ => {
                // The end counts from before the word goes out.
                if let Some(since) = roster_drains.remove(&at) {
                    spans.push((at, since, Some(Instant::now())));
                }
                town.roster(at, "ready");
            }
        }
        std::thread::sleep(STEP);
    }
    // What drains now stays so, with Consul gone: the rule holds on.
    town.consul.set_vanished(true);
    std::thread::sleep(DRAINED + Duration::from_millis(500));
    let totals = load.end();
    assert_eq!(totals.lost, 0, "{:?}", totals.answers);
    assert!(
        totals.sent > 1_000 && totals.share_served() > 0.98,
        "{:?}",
        totals.answers
    );
    spans.extend(
        roster_drains
            .into_iter()
            .map(|(at, since)| (at, since, None)),
    );
    spans.extend(consul_drains(&town));
    let long = spans.iter().filter(|(_, since, until)| {
        until.unwrap_or_else(Instant::now).duration_since(*since)
            > DRAINED + Duration::from_millis(100)
    });
    assert!(
        long.count() >= 5,
        "the script must drain for longer than the rule allows sends"
    );
    for (at, since, until) in spans {
        let late = town.servers[at].arrivals().into_iter().find(|arrival| {
            *arrival > since + DRAINED && until.is_none_or(|until| *arrival < until)
        });
        assert!(
            late.is_none(),
            "server {at} drained for {:?}",
            late.map(|late| late - since)
        );
    }
    drop(town.discovery);
}

/// From when to when Consul's word that a server drains held: until a whole answer of a later index, or of any where
/// the index had gone back, named it without. What an answer of an earlier index says is no newer word.
fn consul_drains(town: &Town) -> Vec<(usize, Instant, Option<Instant>)> {
    let mut spans = Vec::new();
    for at in 0..town.servers.len() {
        let (name, mut open) = (name(at), None::<(Instant, u64)>);
        for told in town.consul.told() {
            if told.draining.contains(&name) {
                let since = open.map_or(told.at.1, |(since, _)| since);
                open = Some((since, told.index));
            } else if let Some((since, index)) = open {
                // In a later version it is named without, or not named at all: either is a newer word.
                if told.index > index {
                    spans.push((at, since, Some(told.at.0)));
                    open = None;
                }
            }
        }
        spans.extend(open.map(|(since, _)| (at, since, None)));
    }
    spans
}
