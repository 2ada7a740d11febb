//! The node with an endpoint list and Consul, over loopback: agents that lag, respond wrongly, or
//! become unreachable.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use testkit::consul::{Consul, Fault, Instance};
use testkit::link::{Fault as LinkFault, Link, Plan};
use testkit::*;

/// A server must get no request this long after it has begun to drain.
const DRAIN_DEADLINE: Duration = Duration::from_secs(2);

/// A node with its servers, its discovery and Consul.
struct Site {
    servers: Vec<Server>,
    consul: Consul,
    node: Node,
    discovery: Discovery,
    watch: Watch,
    generation: u64,
}

fn operators_file(consul: &Consul, more: &str) -> String {
    format!(
        "[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{}\"]\nwait_s = 2\n{more}\n",
        consul.address
    )
}

fn name(at: usize) -> String {
    format!("s-{at}")
}

fn start_servers(count: usize) -> Vec<Server> {
    // A response takes a while, so that simultaneous requests are spread.
    let reply = |_: &Message| {
        Reply::SendInTwoParts(
            Vec::new(),
            Duration::from_millis(5),
            response("200 OK", "", "rooms: 3\n"),
        )
    };
    (0..count).map(|_| Server::start(reply)).collect()
}

/// A Consul agent with an instance for each server.
fn start_consul(servers: &[Server]) -> Consul {
    let consul = Consul::start();
    for (at, server) in servers.iter().enumerate() {
        consul.register(Instance::new("holds", &name(at), server.address));
    }
    consul
}

fn entries(servers: &[Server], lifecycle: impl Fn(usize) -> &'static str) -> Vec<String> {
    servers
        .iter()
        .enumerate()
        .map(|(at, server)| server.endpoint_entry(&name(at), lifecycle(at)))
        .collect()
}

impl Site {
    fn new(count: usize, more: &str) -> Self {
        let servers = start_servers(count);
        let consul = start_consul(&servers);
        let discovery = Discovery::start();
        let known = endpoint_list(1, true, &entries(&servers, |_| "ready"));
        let config = config(discovery.address, &known, &settings(15_000));
        let node = Node::start_with_operators_file(&config, Some(&operators_file(&consul, more)));
        let watch = discovery.watch();
        let site = Self {
            servers,
            consul,
            node,
            discovery,
            watch,
            generation: 1,
        };
        wait_until("Consul has responded", || {
            !site.consul.responses().is_empty()
        });
        site
    }

    /// Sends a change of the endpoint list.
    fn update_list(&mut self, at: usize, lifecycle: &str) {
        self.generation += 1;
        let entry = self.servers[at].endpoint_entry(&name(at), lifecycle);
        self.watch.send(&format!(
            "{}\n",
            endpoint_list(self.generation, false, &[entry])
        ));
    }

    /// Waits until Consul has responded with an instance in maintenance mode, or not in it.
    fn wait_for_response(&self, at: usize, draining: bool) {
        let name = name(at);
        wait_until("Consul responds", || {
            let responses = self.consul.responses();
            let last = responses.last().expect("a response");
            (if draining {
                &last.draining
            } else {
                &last.not_draining
            })
            .contains(&name)
        });
    }

    /// Sends so many simultaneous requests; returns the servers that got any. One at a time could all go to the
    /// fastest server.
    fn servers_used_by(&self, count: usize) -> Vec<usize> {
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
                        node.request_until_accepted(&read_request(&format!("a{id:x}"), "15000m"))
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

    /// Waits until only these servers get requests.
    fn wait_until_used(&self, servers: &[usize]) {
        wait_until(&format!("only {servers:?} are used"), || {
            self.servers_used_by(4 * self.servers.len()) == servers
        });
    }
}

#[test]
fn drain_known_to_consul_alone_is_ended_by_consul_alone() {
    let mut site = Site::new(3, "");
    site.wait_until_used(&[0, 1, 2]);
    site.consul.set_maintenance("s-1", true);
    site.wait_until_used(&[0, 2]);
    site.update_list(1, "ready");
    assert!(
        !site.servers_used_by(12).contains(&1),
        "the endpoint list does not end Consul's drain"
    );
    site.consul.set_maintenance("s-1", false);
    site.wait_until_used(&[0, 1, 2]);
    site.update_list(2, "draining");
    site.wait_until_used(&[0, 1]);
}

#[test]
fn failing_check_removes_one_server_and_mass_removal_none() {
    let site = Site::new(3, "");
    site.consul.set_status("s-0", "critical");
    site.wait_until_used(&[1, 2]);
    site.consul.deregister_all();
    wait_until("Consul responds", || {
        site.consul
            .responses()
            .last()
            .is_some_and(|response| response.not_draining.is_empty())
    });
    site.wait_until_used(&[1, 2]);
    wait_until("it is logged", || {
        site.node
            .log()
            .iter()
            .any(|line| line.contains("removes 3 of 3 endpoints at once"))
    });
}

#[test]
fn server_known_to_consul_alone_is_used_only_if_allowed() {
    for (more, used) in [("", &[0, 1][..]), ("names_servers = true", &[0, 1, 2])] {
        let mut site = Site::new(2, more);
        site.servers.push(Server::start(|_| Reply::ok("yes")));
        site.consul
            .register(Instance::new("holds", "s-2", site.servers[2].address));
        site.wait_for_response(2, false);
        if used.len() == 3 {
            site.wait_until_used(used);
        } else {
            assert!(!site.servers_used_by(20).contains(&2));
        }
    }
}

/// Guards against a node that rejects requests, or logs incessantly, if Consul was never reachable.
#[test]
fn unreachable_consul_does_not_reduce_the_served_share() {
    let shares: Vec<f64> = [None, Some(Unreachable::reserve())]
        .iter()
        .map(|agent| {
            let servers = start_servers(3);
            let discovery = Discovery::start();
            let known = endpoint_list(1, true, &entries(&servers, |_| "ready"));
            let config = config(discovery.address, &known, &settings(15_000));
            let operators = agent.as_ref().map(|agent| {
                format!(
                    "[[consul]]\nname = \"c\"\nservice = \"holds\"\nagents = [\"{}\"]\n",
                    agent.address
                )
            });
            let node = Node::start_with_operators_file(&config, operators.as_deref());
            let _watch = discovery.watch();
            let load = Load::start(node.address, 4, Duration::from_millis(1));
            std::thread::sleep(Duration::from_millis(1_500));
            let totals = load.finish();
            assert_eq!(
                (totals.lost, totals.sent > 100),
                (0, true),
                "{:?}",
                totals.responses
            );
            assert!(node.log().len() < 10, "{:?}", node.log());
            totals.served_fraction()
        })
        .collect();
    assert!(shares.iter().all(|share| *share > 0.99), "{shares:?}");
}

#[test]
fn faulty_responses_lose_no_request_and_end_no_drain() {
    let site = Site::new(3, "");
    site.consul.set_maintenance("s-1", true);
    site.wait_until_used(&[0, 2]);
    let older = site.consul.catalog();
    let load = Load::start(site.node.address, 2, Duration::from_millis(1));
    for fault in [
        Fault::Status(500),
        Fault::Status(429),
        Fault::Status(403),
        Fault::Truncate(0),
        Fault::Truncate(300),
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
        Fault::Immediate,
    ] {
        let queries = site.consul.queries().len();
        site.consul.set_fault(fault.clone());
        // A change lets the agent respond to the blocking query, with the fault.
        site.consul.set_status("s-2", "passing");
        wait_until("the agent is queried again", || {
            site.consul.queries().len() > queries
        });
        assert!(!site.servers_used_by(6).contains(&1), "{fault:?}");
        // A valid response ends the backoff.
        site.consul.set_fault(Fault::None);
        let responses = site.consul.responses().len();
        site.consul.set_status("s-2", "passing");
        wait_until("the agent responds again", || {
            site.consul.responses().len() > responses
        });
    }
    site.consul.restore(older.at_index(3));
    site.consul.set_unreachable(true);
    assert!(!site.servers_used_by(6).contains(&1));
    site.consul.set_unreachable(false);
    let totals = load.finish();
    assert_eq!(totals.lost, 0);
    assert!(totals.served_fraction() > 0.99, "{:?}", totals.responses);
    let log = site.node.log();
    assert!(log.len() < 120, "{} lines", log.len());
}

/// Two agents with different data respond in turn.
#[test]
fn agent_that_lags_behind_another_ends_no_drain() {
    let servers = start_servers(3);
    let (ahead, behind) = (start_consul(&servers), start_consul(&servers));
    ahead.set_maintenance("s-1", true);
    let discovery = Discovery::start();
    let known = endpoint_list(1, true, &entries(&servers, |_| "ready"));
    let config = config(discovery.address, &known, &settings(15_000));
    let operators = format!(
        "[[consul]]\nname = \"c\"\nservice = \"holds\"\nagents = [\"{}\", \"{}\"]\nwait_s = 1\n",
        ahead.address, behind.address
    );
    let site = Site {
        node: Node::start_with_operators_file(&config, Some(&operators)),
        watch: discovery.watch(),
        consul: ahead.clone(),
        servers,
        discovery,
        generation: 1,
    };
    site.wait_until_used(&[0, 2]);
    for turn in 0..6 {
        let (unreachable, reachable) = if turn % 2 == 0 {
            (&ahead, &behind)
        } else {
            (&behind, &ahead)
        };
        reachable.set_unreachable(false);
        let responses = reachable.responses().len();
        unreachable.set_unreachable(true);
        wait_until("the other agent responds", || {
            reachable.responses().len() > responses
        });
        assert!(!site.servers_used_by(6).contains(&1), "turn {turn}");
    }
}

/// The link to the agent cuts, delays and repeats bytes at every position of its responses.
#[test]
fn faulty_link_to_an_agent_loses_no_request_and_ends_no_drain() {
    let servers = start_servers(3);
    let consul = start_consul(&servers);
    consul.set_maintenance("s-1", true);
    let link = Link::start(consul.address, |nth| {
        let fault = [
            LinkFault::Cut,
            LinkFault::Repeat(40),
            LinkFault::Delay(Duration::from_millis(30)),
        ][nth / 2 % 3];
        // Every other connection has no fault, so that the backoff stays short.
        let plan = if nth % 2 == 0 {
            Plan::at(60 + nth * 150, fault)
        } else {
            Plan::fault_free()
        };
        (Plan::fault_free(), plan)
    });
    let discovery = Discovery::start();
    let known = endpoint_list(1, true, &entries(&servers, |_| "ready"));
    let config = config(discovery.address, &known, &settings(15_000));
    let file =
        operators_file(&consul, "").replace(&consul.address.to_string(), &link.address.to_string());
    let site = Site {
        node: Node::start_with_operators_file(&config, Some(&file)),
        watch: discovery.watch(),
        consul,
        servers,
        discovery,
        generation: 1,
    };
    site.wait_until_used(&[0, 2]);
    let load = Load::start(site.node.address, 2, Duration::from_millis(1));
    for _ in 0..8 {
        let before = link.connections();
        link.cut_all();
        wait_until("the node connects again", || link.connections() > before);
        site.consul.set_status("s-0", "passing");
        assert!(!site.servers_used_by(6).contains(&1));
    }
    wait_until("a connection has no fault", || {
        link.cut_all();
        std::thread::sleep(Duration::from_millis(300));
        link.connections() % 2 == 0
    });
    site.consul.set_maintenance("s-1", false);
    site.wait_until_used(&[0, 1, 2]);
    let totals = load.finish();
    assert_eq!(totals.lost, 0);
    assert!(totals.served_fraction() > 0.99, "{:?}", totals.responses);
}

#[test]
fn token_is_reread_for_each_query_and_never_logged() {
    let servers = start_servers(2);
    let consul = start_consul(&servers);
    consul.require_token("c0ffee-first");
    let file = write_temp_file("c0ffee-first\n");
    let discovery = Discovery::start();
    let config = config(
        discovery.address,
        &endpoint_list(1, true, &entries(&servers, |_| "ready")),
        &settings(15_000),
    );
    let more = format!("token_file = {file:?}");
    let node = Node::start_with_operators_file(&config, Some(&operators_file(&consul, &more)));
    wait_until("the token is accepted", || !consul.responses().is_empty());
    consul.require_token("c0ffee-second");
    wait_until("the rejection is logged", || {
        node.log()
            .iter()
            .any(|line| line.contains("rejected the token"))
    });
    std::fs::write(&file, "c0ffee-second").expect("the test's own file");
    let before = consul.responses().len();
    wait_until("the new token is accepted", || {
        consul.responses().len() > before
    });
    assert!(
        !node.log().iter().any(|line| line.contains("c0ffee")),
        "{:?}",
        node.log()
    );
    std::fs::remove_file(file).expect("the test's own file");
}

#[test]
fn consul_source_is_turned_off_and_on_by_a_reload() {
    let site = Site::new(2, "");
    site.consul.set_maintenance("s-1", true);
    site.wait_until_used(&[0]);
    site.node.reload_operators_file("[membership]\n");
    site.wait_until_used(&[0, 1]);
    site.node.reload_operators_file("nonsense = 1\n");
    wait_until("the invalid file is logged", || {
        site.node
            .log()
            .iter()
            .any(|line| line.contains("the operators' file is not used"))
    });
    site.wait_until_used(&[0, 1]);
    site.node
        .reload_operators_file(&operators_file(&site.consul, ""));
    site.wait_until_used(&[0]);
}

/// The platform starts the node without an operators' file.
#[test]
fn consul_is_not_queried_without_an_operators_file() {
    let servers = start_servers(2);
    let consul = start_consul(&servers);
    consul.set_maintenance("s-1", true);
    let (node, _discovery, _watch) = Node::start_with_servers(&[&servers[0], &servers[1]], 15_000);
    let mut sent = 0;
    wait_until("both servers are used", || {
        sent += 1;
        assert_eq!(
            node.request_until_accepted(&read_request(&format!("r{sent}"), "15000m"))
                .status(),
            200
        );
        servers.iter().all(|server| !server.requests().is_empty())
    });
    assert!(consul.queries().is_empty());
}

/// From when to when a server must get no request.
struct DrainSpan {
    server: usize,
    since: Instant,
    /// `None`: to the end of the run.
    until: Option<Instant>,
}

/// Several hundred random faults from a fixed seed, under load.
#[test]
fn drained_server_gets_no_late_request_under_random_faults() {
    const STEPS: usize = 400;
    const STEP: Duration = Duration::from_millis(25);
    const SERVERS: usize = 8;
    let mut random = fastrand::Rng::with_seed(0x5eed);
    let mut site = Site::new(SERVERS, "confirm_s = 600");
    let load = Load::start(site.node.address, 4, Duration::from_millis(2));
    let mut list_drains: HashMap<usize, Instant> = HashMap::new();
    let mut spans: Vec<DrainSpan> = Vec::new();
    let mut snapshots = vec![site.consul.catalog()];
    for _ in 0..STEPS {
        // Two servers are never drained, so that there is always one to use.
        let at = random.usize(2..SERVERS);
        match random.u8(..20) {
            0..=3 => site.consul.set_maintenance(&name(at), true),
            4 => site.consul.set_maintenance(&name(at), false),
            5 => site
                .consul
                .set_status(&name(random.usize(..SERVERS)), "critical"),
            6 | 7 => site.consul.set_status(&name(at), "passing"),
            8 => site.consul.deregister(&name(at)),
            9 => site
                .consul
                .register(Instance::new("holds", &name(at), site.servers[at].address)),
            10 => site
                .consul
                .set_lag(Duration::from_millis(random.u64(..300))),
            11 => snapshots.push(site.consul.catalog()),
            12 => site
                .consul
                .restore(random.choice(&snapshots).expect("one").clone()),
            13 => site.consul.set_unreachable(random.bool()),
            14 => site
                .consul
                .set_fault(Fault::Truncate(random.usize(..2_000))),
            15 => {
                let faults = [
                    Fault::Status(500),
                    Fault::NoLeader,
                    Fault::Body("[]".into()),
                    Fault::Immediate,
                ];
                site.consul.set_fault(random.choice(faults).expect("one"));
            }
            16 | 17 => site.consul.set_fault(Fault::None),
            18 => {
                site.update_list(at, "draining");
                let since = Instant::now();
                list_drains.entry(at).or_insert(since);
            }
            _ => {
                // The drain ends before the list is sent.
                if let Some(since) = list_drains.remove(&at) {
                    spans.push(DrainSpan {
                        server: at,
                        since,
                        until: Some(Instant::now()),
                    });
                }
                site.update_list(at, "ready");
            }
        }
        std::thread::sleep(STEP);
    }
    // Servers that drain now stay drained while Consul is unreachable.
    site.consul.set_unreachable(true);
    std::thread::sleep(DRAIN_DEADLINE + Duration::from_millis(500));
    let totals = load.finish();
    assert_eq!(totals.lost, 0, "{:?}", totals.responses);
    assert!(
        totals.sent > 1_000 && totals.served_fraction() > 0.98,
        "{:?}",
        totals.responses
    );
    spans.extend(list_drains.into_iter().map(|(server, since)| DrainSpan {
        server,
        since,
        until: None,
    }));
    spans.extend(consul_drains(&site));
    let long = spans.iter().filter(|span| {
        let until = span.until.unwrap_or_else(Instant::now);
        until.duration_since(span.since) > DRAIN_DEADLINE + Duration::from_millis(100)
    });
    assert!(
        long.count() >= 5,
        "the run must contain drains that outlast the deadline"
    );
    for DrainSpan {
        server,
        since,
        until,
    } in spans
    {
        let late = site.servers[server].arrivals().into_iter().find(|arrival| {
            *arrival > since + DRAIN_DEADLINE && until.is_none_or(|until| *arrival < until)
        });
        assert!(
            late.is_none(),
            "server {server} drained for {:?}",
            late.map(|late| late - since)
        );
    }
    drop(site.discovery);
}

/// From when to when servers drained by Consul: until a complete response of a later index does not drain them. A response
/// of an earlier index is not newer.
fn consul_drains(site: &Site) -> Vec<DrainSpan> {
    let mut spans = Vec::new();
    for at in 0..site.servers.len() {
        let (name, mut open) = (name(at), None::<(Instant, u64)>);
        for response in site.consul.responses() {
            if response.draining.contains(&name) {
                let since = open.map_or(response.completed_at, |(since, _)| since);
                open = Some((since, response.index));
            } else if let Some((since, index)) = open {
                // A later version lists it without maintenance mode, or not at all: either is newer.
                if response.index > index {
                    spans.push(DrainSpan {
                        server: at,
                        since,
                        until: Some(response.started_at),
                    });
                    open = None;
                }
            }
        }
        spans.extend(open.map(|(since, _)| DrainSpan {
            server: at,
            since,
            until: None,
        }));
    }
    spans
}
