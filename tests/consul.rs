//! A node with an endpoint list and Consul, over loopback: agents that lag, send invalid responses, or become unreachable.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use testkit::consul::{Consul, Fault, Instance};
use testkit::link::{Fault as LinkFault, Link, Plan};
use testkit::*;

/// Time after the start of a drain from which the server must get no request.
const DRAIN_DEADLINE: Duration = Duration::from_secs(2);

/// A node with its servers, its endpoint discovery and a Consul agent.
struct TestEnvironment {
    servers: Vec<Server>,
    consul: Consul,
    node: Node,
    discovery: Discovery,
    watch: Watch,
    generation: u64,
}

fn operators_file(consul: &Consul, extra_keys: &str) -> String {
    format!(
        "[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{}\"]\nwait_s = 2\n{extra_keys}\n",
        consul.address
    )
}

/// Id of the server with this index.
fn server_id(index: usize) -> String {
    format!("s-{index}")
}

fn start_servers(count: usize) -> Vec<Server> {
    // A response takes 5 ms, so that simultaneous requests are spread over the servers.
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
    for (index, server) in servers.iter().enumerate() {
        consul.register(Instance::new("holds", &server_id(index), server.address));
    }
    consul
}

fn entries(servers: &[Server], lifecycle: impl Fn(usize) -> &'static str) -> Vec<String> {
    servers
        .iter()
        .enumerate()
        .map(|(index, server)| server.endpoint_entry(&server_id(index), lifecycle(index)))
        .collect()
}

impl TestEnvironment {
    fn new(count: usize, extra_keys: &str) -> Self {
        let servers = start_servers(count);
        let consul = start_consul(&servers);
        let discovery = Discovery::start();
        let known = endpoint_list(1, true, &entries(&servers, |_| "ready"));
        let config = config(discovery.address, &known, &settings(15_000));
        let node =
            Node::start_with_operators_file(&config, Some(&operators_file(&consul, extra_keys)));
        let watch = discovery.watch();
        let env = Self {
            servers,
            consul,
            node,
            discovery,
            watch,
            generation: 1,
        };
        wait_until("Consul has responded", || {
            !env.consul.responses().is_empty()
        });
        env
    }

    /// Sends an update of the endpoint list that sets a server's lifecycle.
    fn update_list(&mut self, index: usize, lifecycle: &str) {
        self.generation += 1;
        let entry = self.servers[index].endpoint_entry(&server_id(index), lifecycle);
        self.watch.send(&format!(
            "{}\n",
            endpoint_list(self.generation, false, &[entry])
        ));
    }

    /// Waits until Consul's last response lists an instance as draining or as not draining.
    fn wait_for_response(&self, index: usize, is_draining: bool) {
        let id = server_id(index);
        wait_until(
            "Consul's last response has the expected drain state of the instance",
            || {
                let responses = self.consul.responses();
                let last = responses.last().expect("Consul has responded");
                (if is_draining {
                    &last.draining
                } else {
                    &last.not_draining
                })
                .contains(&id)
            },
        );
    }

    /// Sends this number of simultaneous requests; returns the indexes of the servers that got any. Requests sent one
    /// after another could all go to the fastest server.
    fn servers_used_by(&self, count: usize) -> Vec<usize> {
        let before: Vec<_> = self
            .servers
            .iter()
            .map(|server| server.requests().len())
            .collect();
        std::thread::scope(|scope| {
            for _ in 0..count {
                static NEXT_ID: std::sync::atomic::AtomicUsize =
                    std::sync::atomic::AtomicUsize::new(0);
                let id = NEXT_ID.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let node = &self.node;
                scope.spawn(move || {
                    assert_eq!(
                        node.request_until_accepted(&read_request(&format!("a{id:x}"), "15000m"))
                            .status(),
                        200,
                        "request a{id:x}"
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
            .map(|(index, _)| index)
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
fn drain_reported_only_by_consul_is_ended_only_by_consul() {
    let mut env = TestEnvironment::new(3, "");
    env.wait_until_used(&[0, 1, 2]);
    env.consul.set_maintenance("s-1", true);
    env.wait_until_used(&[0, 2]);
    env.update_list(1, "ready");
    assert!(
        !env.servers_used_by(12).contains(&1),
        "the endpoint list does not end Consul's drain"
    );
    env.consul.set_maintenance("s-1", false);
    env.wait_until_used(&[0, 1, 2]);
    env.update_list(2, "draining");
    env.wait_until_used(&[0, 1]);
}

#[test]
fn failing_check_removes_a_server_and_mass_removal_none() {
    let env = TestEnvironment::new(3, "");
    env.consul.set_status("s-0", "critical");
    env.wait_until_used(&[1, 2]);
    env.consul.deregister_all();
    wait_until("Consul responds without instances", || {
        env.consul
            .responses()
            .last()
            .is_some_and(|response| response.not_draining.is_empty())
    });
    env.wait_until_used(&[1, 2]);
    wait_until("the node logs the mass removal", || {
        env.node
            .log()
            .iter()
            .any(|line| line.contains("removes 3 of 3 endpoints at once"))
    });
}

#[test]
fn server_listed_only_by_consul_is_used_only_if_allowed() {
    for (extra_keys, used) in [("", &[0, 1][..]), ("names_servers = true", &[0, 1, 2])] {
        let mut env = TestEnvironment::new(2, extra_keys);
        env.servers.push(Server::start(|_| Reply::ok("yes")));
        env.consul
            .register(Instance::new("holds", "s-2", env.servers[2].address));
        env.wait_for_response(2, false);
        if used.len() == 3 {
            env.wait_until_used(used);
        } else {
            assert!(
                !env.servers_used_by(20).contains(&2),
                "a server known to Consul alone is not used"
            );
        }
    }
}

/// A node must neither reject requests nor log repeatedly if Consul was never reachable.
#[test]
fn unreachable_consul_does_not_reduce_the_served_share() {
    let served_fractions: Vec<f64> = [None, Some(Unreachable::reserve())]
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
                "no request is lost and more than 100 are sent: {:?}",
                totals.responses
            );
            assert!(
                node.log().len() < 10,
                "the node logs fewer than 10 lines: {:?}",
                node.log()
            );
            totals.served_fraction()
        })
        .collect();
    assert!(
        served_fractions.iter().all(|fraction| *fraction > 0.99),
        "more than 99 % are served without and with Consul: {served_fractions:?}"
    );
}

#[test]
fn faulty_responses_lose_no_request_and_end_no_drain() {
    let env = TestEnvironment::new(3, "");
    env.consul.set_maintenance("s-1", true);
    env.wait_until_used(&[0, 2]);
    let older_catalog = env.consul.catalog();
    let load = Load::start(env.node.address, 2, Duration::from_millis(1));
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
        let queries = env.consul.queries().len();
        env.consul.set_fault(fault.clone());
        // A change of the catalog makes the agent respond to the blocking query, with the fault.
        env.consul.set_status("s-2", "passing");
        wait_until("the agent is queried again", || {
            env.consul.queries().len() > queries
        });
        assert!(
            !env.servers_used_by(6).contains(&1),
            "{fault:?} ends no drain"
        );
        // A valid response ends the backoff.
        env.consul.set_fault(Fault::None);
        let responses = env.consul.responses().len();
        env.consul.set_status("s-2", "passing");
        wait_until("the agent responds again", || {
            env.consul.responses().len() > responses
        });
    }
    env.consul.restore(older_catalog.at_index(3));
    env.consul.set_unreachable(true);
    assert!(
        !env.servers_used_by(6).contains(&1),
        "an older catalog and an unreachable agent end no drain"
    );
    env.consul.set_unreachable(false);
    let totals = load.finish();
    assert_eq!(totals.lost, 0, "no request is lost");
    assert!(
        totals.served_fraction() > 0.99,
        "more than 99 % are served: {:?}",
        totals.responses
    );
    let log = env.node.log();
    assert!(
        log.len() < 120,
        "the node logs fewer than 120 lines, got {}",
        log.len()
    );
}

/// Two agents with different data respond in turn.
#[test]
fn agent_lagging_behind_another_ends_no_drain() {
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
    let env = TestEnvironment {
        node: Node::start_with_operators_file(&config, Some(&operators)),
        watch: discovery.watch(),
        consul: ahead.clone(),
        servers,
        discovery,
        generation: 1,
    };
    env.wait_until_used(&[0, 2]);
    for round in 0..6 {
        let (unreachable, reachable) = if round % 2 == 0 {
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
        assert!(
            !env.servers_used_by(6).contains(&1),
            "the agent that responds in round {round} ends no drain"
        );
    }
}

/// The link to the agent cuts, delays or repeats bytes of its responses, at a later position on each faulty connection.
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
    let operators =
        operators_file(&consul, "").replace(&consul.address.to_string(), &link.address.to_string());
    let env = TestEnvironment {
        node: Node::start_with_operators_file(&config, Some(&operators)),
        watch: discovery.watch(),
        consul,
        servers,
        discovery,
        generation: 1,
    };
    env.wait_until_used(&[0, 2]);
    let load = Load::start(env.node.address, 2, Duration::from_millis(1));
    for _ in 0..8 {
        let before = link.connections();
        link.cut_all();
        wait_until("the node connects again", || link.connections() > before);
        env.consul.set_status("s-0", "passing");
        assert!(
            !env.servers_used_by(6).contains(&1),
            "a faulty connection ends no drain"
        );
    }
    wait_until("the last connection has no fault", || {
        link.cut_all();
        std::thread::sleep(Duration::from_millis(300));
        link.connections() % 2 == 0
    });
    env.consul.set_maintenance("s-1", false);
    env.wait_until_used(&[0, 1, 2]);
    let totals = load.finish();
    assert_eq!(totals.lost, 0, "no request is lost");
    assert!(
        totals.served_fraction() > 0.99,
        "more than 99 % are served: {:?}",
        totals.responses
    );
}

#[test]
fn token_is_reread_for_each_query_and_never_logged() {
    let servers = start_servers(2);
    let consul = start_consul(&servers);
    consul.require_token("c0ffee-first");
    let token_file = write_temp_file("c0ffee-first\n");
    let discovery = Discovery::start();
    let config = config(
        discovery.address,
        &endpoint_list(1, true, &entries(&servers, |_| "ready")),
        &settings(15_000),
    );
    let extra_keys = format!("token_file = {token_file:?}");
    let node =
        Node::start_with_operators_file(&config, Some(&operators_file(&consul, &extra_keys)));
    wait_until("the token is accepted", || !consul.responses().is_empty());
    consul.require_token("c0ffee-second");
    wait_until("the rejection is logged", || {
        node.log()
            .iter()
            .any(|line| line.contains("rejected the token"))
    });
    std::fs::write(&token_file, "c0ffee-second").expect("write the token file");
    let before = consul.responses().len();
    wait_until("the new token is accepted", || {
        consul.responses().len() > before
    });
    assert!(
        !node.log().iter().any(|line| line.contains("c0ffee")),
        "no token is logged: {:?}",
        node.log()
    );
    std::fs::remove_file(token_file).expect("remove the token file");
}

#[test]
fn reload_turns_consul_source_off_and_on() {
    let env = TestEnvironment::new(2, "");
    env.consul.set_maintenance("s-1", true);
    env.wait_until_used(&[0]);
    env.node.reload_operators_file("[membership]\n");
    env.wait_until_used(&[0, 1]);
    env.node.reload_operators_file("nonsense = 1\n");
    wait_until("the invalid file is logged", || {
        env.node
            .log()
            .iter()
            .any(|line| line.contains("the operators' file is not used"))
    });
    env.wait_until_used(&[0, 1]);
    env.node
        .reload_operators_file(&operators_file(&env.consul, ""));
    env.wait_until_used(&[0]);
}

/// The platform starts the node without an operators' file.
#[test]
fn consul_is_not_queried_without_an_operators_file() {
    let servers = start_servers(2);
    let consul = start_consul(&servers);
    consul.set_maintenance("s-1", true);
    let (node, _discovery, _watch) = Node::start_with_servers(&[&servers[0], &servers[1]], 15_000);
    let mut sent_requests = 0;
    wait_until("both servers are used", || {
        sent_requests += 1;
        assert_eq!(
            node.request_until_accepted(&read_request(&format!("r{sent_requests}"), "15000m"))
                .status(),
            200,
            "request r{sent_requests}"
        );
        servers.iter().all(|server| !server.requests().is_empty())
    });
    assert!(consul.queries().is_empty(), "the agent got no query");
}

/// Time span in which a server drains. Once [`DRAIN_DEADLINE`] has passed since its start, the server must get no request
/// until its end.
struct DrainSpan {
    server: usize,
    since: Instant,
    /// End of the drain; `None` if it lasts to the end of the run.
    until: Option<Instant>,
}

/// Several hundred random faults from a fixed seed, under load.
#[test]
fn drained_server_gets_no_late_request_under_random_faults() {
    const STEPS: usize = 400;
    const STEP: Duration = Duration::from_millis(25);
    const SERVERS: usize = 8;
    let mut rng = fastrand::Rng::with_seed(0x5eed);
    let mut env = TestEnvironment::new(SERVERS, "confirm_s = 600");
    let load = Load::start(env.node.address, 4, Duration::from_millis(2));
    let mut list_drains: HashMap<usize, Instant> = HashMap::new();
    let mut drain_spans: Vec<DrainSpan> = Vec::new();
    let mut snapshots = vec![env.consul.catalog()];
    for _ in 0..STEPS {
        // Servers 0 and 1 are never drained, so that there is always one to use.
        let index = rng.usize(2..SERVERS);
        match rng.u8(..20) {
            0..=3 => env.consul.set_maintenance(&server_id(index), true),
            4 => env.consul.set_maintenance(&server_id(index), false),
            5 => env
                .consul
                .set_status(&server_id(rng.usize(..SERVERS)), "critical"),
            6 | 7 => env.consul.set_status(&server_id(index), "passing"),
            8 => env.consul.deregister(&server_id(index)),
            9 => env.consul.register(Instance::new(
                "holds",
                &server_id(index),
                env.servers[index].address,
            )),
            10 => env.consul.set_lag(Duration::from_millis(rng.u64(..300))),
            11 => snapshots.push(env.consul.catalog()),
            12 => env
                .consul
                .restore(rng.choice(&snapshots).expect("choose a snapshot").clone()),
            13 => env.consul.set_unreachable(rng.bool()),
            14 => env.consul.set_fault(Fault::Truncate(rng.usize(..2_000))),
            15 => {
                let faults = [
                    Fault::Status(500),
                    Fault::NoLeader,
                    Fault::Body("[]".into()),
                    Fault::Immediate,
                ];
                env.consul
                    .set_fault(rng.choice(faults).expect("choose a fault"));
            }
            16 | 17 => env.consul.set_fault(Fault::None),
            18 => {
                env.update_list(index, "draining");
                let since = Instant::now();
                list_drains.entry(index).or_insert(since);
            }
            _ => {
                // The drain counts as ended before the list is sent: the server may get requests from then on.
                if let Some(since) = list_drains.remove(&index) {
                    drain_spans.push(DrainSpan {
                        server: index,
                        since,
                        until: Some(Instant::now()),
                    });
                }
                env.update_list(index, "ready");
            }
        }
        std::thread::sleep(STEP);
    }
    // Servers that drain at this point stay drained while Consul is unreachable.
    env.consul.set_unreachable(true);
    std::thread::sleep(DRAIN_DEADLINE + Duration::from_millis(500));
    let totals = load.finish();
    assert_eq!(totals.lost, 0, "no request is lost: {:?}", totals.responses);
    assert!(
        totals.sent > 1_000 && totals.served_fraction() > 0.98,
        "of more than 1000 requests more than 98 % are served: {:?}",
        totals.responses
    );
    drain_spans.extend(list_drains.into_iter().map(|(server, since)| DrainSpan {
        server,
        since,
        until: None,
    }));
    drain_spans.extend(consul_drains(&env));
    let long_drains = drain_spans.iter().filter(|span| {
        let until = span.until.unwrap_or_else(Instant::now);
        until.duration_since(span.since) > DRAIN_DEADLINE + Duration::from_millis(100)
    });
    assert!(
        long_drains.count() >= 5,
        "the run contains at least 5 drains that outlast the deadline"
    );
    for DrainSpan {
        server,
        since,
        until,
    } in drain_spans
    {
        let late = env.servers[server].arrivals().into_iter().find(|arrival| {
            *arrival > since + DRAIN_DEADLINE && until.is_none_or(|until| *arrival < until)
        });
        assert!(
            late.is_none(),
            "server {server} got a request after draining for {:?}",
            late.map(|arrival| arrival - since)
        );
    }
    drop(env.discovery);
}

/// Time spans in which Consul drains servers. A span ends when the agent starts a response with a higher index that does
/// not drain the server; a response with a lower or equal index is not newer and does not end it.
fn consul_drains(env: &TestEnvironment) -> Vec<DrainSpan> {
    let mut spans = Vec::new();
    for index in 0..env.servers.len() {
        let (id, mut open_drain) = (server_id(index), None::<(Instant, u64)>);
        for response in env.consul.responses() {
            if response.draining.contains(&id) {
                let since = open_drain.map_or(response.completed_at, |(since, _)| since);
                open_drain = Some((since, response.index));
            } else if let Some((since, drain_index)) = open_drain {
                // A newer response lists the server as not draining, or does not list it: either ends the drain.
                if response.index > drain_index {
                    spans.push(DrainSpan {
                        server: index,
                        since,
                        until: Some(response.started_at),
                    });
                    open_drain = None;
                }
            }
        }
        spans.extend(open_drain.map(|(since, _)| DrainSpan {
            server: index,
            since,
            until: None,
        }));
    }
    spans
}

/// Guards against a second response of an agent that is taken for the response to the next query, which blocks.
#[test]
fn second_response_of_an_agent_is_not_taken_for_the_response_to_the_next_query() {
    const STRAY_INDEX: u64 = 987_654_321;
    let env = TestEnvironment::new(3, "");
    env.wait_until_used(&[0, 1, 2]);
    env.consul.set_fault(Fault::SecondResponse(STRAY_INDEX));
    for round in 0..3 {
        let queries = env.consul.query_count();
        env.consul
            .set_status("s-0", if round % 2 == 0 { "warning" } else { "passing" });
        wait_until("the node has sent two more queries", || {
            env.consul.query_count() >= queries + 2
        });
        std::thread::sleep(2 * testkit::consul::SECOND_RESPONSE_DELAY);
    }
    let stray = format!("index={STRAY_INDEX}");
    let queries = env.consul.queries();
    assert!(
        !queries.iter().any(|query| query.contains(&stray)),
        "the node used the index of a response that no query asked for: {queries:?}"
    );
    env.wait_until_used(&[0, 1, 2]);
}
