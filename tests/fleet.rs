//! Membership of clusters of several node processes, with faults injected into the network between them.

use std::net::UdpSocket;
use std::time::Duration;

use testkit::{
    config, endpoint_list, settings, wait_until, Discovery, Fault, Fleet, Link, Load, Node,
};

/// Probe interval and suspicion timeout, short enough that a test of several cases takes seconds.
const MEMBERSHIP_SETTINGS: &str = "probe_ms = 200\nsuspect_ms = 1000\n";
/// Time limit for an expected condition; a busy machine may need most of it.
const TIMEOUT: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn started_cluster(nodes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(nodes, seed, MEMBERSHIP_SETTINGS);
    fleet.agree_within(TIMEOUT);
    fleet.wait_for("all nodes report the health `well`", TIMEOUT, |fleet| {
        at_all_nodes(fleet, |fleet, node| fleet.members(node).health == "well")
    });
    fleet
}

/// Checks that a condition holds at all running nodes; the error lists the nodes at which it does not.
fn at_all_nodes(fleet: &Fleet, condition: impl Fn(&Fleet, usize) -> bool) -> Result<(), String> {
    let failing: Vec<_> = (0..fleet.len())
        .filter(|node| fleet.is_up(*node) && !condition(fleet, *node))
        .collect();
    if failing.is_empty() {
        Ok(())
    } else {
        Err(format!("the condition does not hold at nodes {failing:?}"))
    }
}

/// Waits until all other running nodes report a node in this state.
fn wait_for_state(fleet: &mut Fleet, node: usize, state: &str) {
    fleet.wait_for(&format!("n{node} is {state}"), TIMEOUT, |fleet| {
        at_all_nodes(fleet, |fleet, observer| {
            observer == node || fleet.members(observer).state(&format!("n{node}")) == state
        })
    });
}

/// Waits until a line of a node's log contains a text.
fn wait_for_log(fleet: &mut Fleet, node: usize, text: &str) {
    fleet.wait_for(text, TIMEOUT, |fleet| {
        let log = fleet.log(node);
        if log.iter().any(|line| line.contains(text)) {
            Ok(())
        } else {
            Err(log.join("\n"))
        }
    });
}

/// Death reports about all nodes except one, each as the reporting node and the name of the dead one.
fn deaths_except(fleet: &Fleet, node: usize) -> Vec<(usize, String)> {
    fleet
        .gone_reports()
        .into_iter()
        .filter(|(_, name)| *name != format!("n{node}"))
        .collect()
}

#[test]
fn crashed_left_and_restarted_nodes_are_detected_by_all() {
    let mut fleet = started_cluster(5, 1);
    fleet.kill(2);
    wait_for_state(&mut fleet, 2, "gone");
    fleet.start_node(2);
    fleet.agree_within(TIMEOUT);
    fleet.terminate(4);
    wait_for_state(&mut fleet, 4, "left");
    fleet.start_node(4);
    fleet.agree_within(TIMEOUT);
    assert_eq!(deaths_except(&fleet, 2), []);
    // The parser of the logs finds a real death: otherwise the tests that expect no deaths would prove nothing.
    assert!(
        fleet.gone_reports().iter().any(|(_, name)| name == "n2"),
        "the logs report the death of n2: {:?}",
        fleet.gone_reports()
    );
    assert!(
        fleet.quorum_verdicts().iter().any(|(_, name)| name == "n2"),
        "a quorum declares n2 dead: {:?}",
        fleet.quorum_verdicts()
    );
}

#[test]
fn short_pauses_are_tolerated_and_resumed_nodes_refute_death() {
    let mut fleet = started_cluster(7, 2);
    for node in [0, 3, 0] {
        fleet.apply(&Fault::Pause { node, ms: 300.0 });
        fleet.wait(ms(1_000));
    }
    fleet.agree_within(TIMEOUT);
    assert_eq!(
        fleet.gone_reports(),
        [],
        "pauses below the suspicion timeout cause no death"
    );
    // Two of the seven nodes are paused at the same time, for longer than the suspicion timeout.
    fleet.pause(0);
    fleet.pause(1);
    wait_for_state(&mut fleet, 0, "gone");
    wait_for_state(&mut fleet, 1, "gone");
    fleet.wait(ms(3_000));
    fleet.resume(0);
    fleet.resume(1);
    fleet.agree_within(TIMEOUT);
    let is_wrong = |(by, name): &(usize, String)| *by < 2 || !["n0", "n1"].contains(&name.as_str());
    assert!(
        !fleet.quorum_verdicts().iter().any(is_wrong),
        "only n0 and n1 are declared dead, and only by the other nodes: {:?}",
        fleet.quorum_verdicts()
    );
    wait_for_log(&mut fleet, 0, "this process was paused");
    wait_for_log(
        &mut fleet,
        0,
        "this node refuted its death with incarnation",
    );
}

#[test]
fn one_way_partitions_cause_death_only_of_a_node_unable_to_send() {
    let mut fleet = started_cluster(6, 3);
    // n0 receives nothing: no node is declared dead, and n0 reports that it is isolated.
    (1..6).for_each(|from| fleet.apply(&Fault::Cut { from, to: 0 }));
    fleet.wait_for("n0 reports that it is isolated", TIMEOUT, |fleet| {
        at_all_nodes(fleet, |fleet, node| {
            node != 0 || fleet.members(0).health == "isolated"
        })
    });
    fleet.wait(ms(4_000));
    assert_eq!(fleet.gone_reports(), []);
    fleet.apply(&Fault::HealAll);
    fleet.agree_within(TIMEOUT);
    // n1 and n2 receive nothing from each other, and n4 receives nothing from n3.
    fleet.apply(&Fault::Cut { from: 1, to: 2 });
    fleet.apply(&Fault::Cut { from: 2, to: 1 });
    fleet.apply(&Fault::Cut { from: 3, to: 4 });
    fleet.wait(ms(5_000));
    assert_eq!(fleet.gone_reports(), []);
    fleet.apply(&Fault::HealAll);
    fleet.agree_within(TIMEOUT);
    // n0 cannot send: all others declare it dead, and it receives their death notice.
    (1..6).for_each(|to| fleet.apply(&Fault::Cut { from: 0, to }));
    wait_for_state(&mut fleet, 0, "gone");
    fleet.wait_for("n0 reports its own state as `gone`", TIMEOUT, |fleet| {
        at_all_nodes(fleet, |fleet, node| {
            node != 0 || fleet.members(0).own_state == "gone"
        })
    });
    wait_for_log(&mut fleet, 0, "reported that this node is dead or has left");
    fleet.apply(&Fault::HealAll);
    fleet.agree_within(TIMEOUT);
    assert_eq!(deaths_except(&fleet, 0), []);
    assert!(
        fleet.relay_totals().faults.cut > 100,
        "the partitions dropped more than 100 datagrams: {:?}",
        fleet.relay_totals()
    );
}

/// Three partitions in turn: each node receives nothing from its predecessor; only one-way links from each node to the
/// second after it are left; one half of the cluster receives nothing from the other half.
#[test]
fn asymmetric_partitions_cause_no_death_of_reachable_nodes() {
    let mut fleet = started_cluster(6, 11);
    (0..6).for_each(|node| {
        fleet.apply(&Fault::Cut {
            from: node,
            to: (node + 1) % 6,
        });
    });
    fleet.wait(ms(4_000));
    assert_eq!(
        fleet.gone_reports(),
        [],
        "a cut from one predecessor causes no death"
    );
    let pairs = (0..6).flat_map(|from| (0..6).map(move |to| (from, to)));
    for (from, to) in pairs.filter(|(from, to)| from != to && *to != (from + 2) % 6) {
        fleet.apply(&Fault::Cut { from, to });
    }
    fleet.wait(ms(4_000));
    assert_eq!(
        fleet.gone_reports(),
        [],
        "no node is declared dead while no probe can be acknowledged"
    );
    fleet.apply(&Fault::HealAll);
    fleet.agree_within(TIMEOUT);
    // The half that cannot send may be declared dead, but the views become stable, and agree after the partition heals.
    for from in 3..6 {
        (0..3).for_each(|to| fleet.apply(&Fault::Cut { from, to }));
    }
    fleet.wait(ms(8_000));
    let before = fleet.gone_reports().len();
    fleet.wait(ms(5_000));
    assert_eq!(
        fleet.gone_reports().len(),
        before,
        "no more deaths are reported after the views became stable: {:?}",
        fleet.gone_reports()
    );
    fleet.apply(&Fault::HealAll);
    fleet.agree_within(TIMEOUT);
    assert!(
        fleet.relay_totals().faults.cut > 100,
        "the partitions dropped more than 100 datagrams: {:?}",
        fleet.relay_totals()
    );
}

#[test]
fn repeated_restarts_and_mass_crash_are_tolerated() {
    let mut fleet = started_cluster(9, 12);
    for round in 0..6 {
        fleet.kill(2);
        fleet.wait(ms(200 * round));
        fleet.start_node(2);
        fleet.wait(ms(600));
    }
    fleet.agree_within(TIMEOUT);
    for _ in 0..8 {
        (0..9).for_each(|node| fleet.apply(&Fault::Pause { node, ms: 200.0 }));
        fleet.wait(ms(700));
    }
    fleet.agree_within(TIMEOUT);
    assert_eq!(
        deaths_except(&fleet, 2),
        [],
        "restarts of n2 and short pauses of all nodes cause no other death"
    );
    (3..9).for_each(|node| fleet.kill(node));
    fleet.agree_within(TIMEOUT);
    (3..9).for_each(|node| fleet.start_node(node));
    fleet.agree_within(TIMEOUT);
}

#[test]
fn successive_partitions_with_a_restart_heal() {
    let mut fleet = started_cluster(7, 13);
    for shift in 0..3 {
        fleet.partition(|node| (node + shift) / 3 % 2);
        fleet.wait(ms(800 * (1 + shift as u64)));
    }
    fleet.kill(4);
    fleet.start_node(4);
    fleet.wait(ms(4_000));
    fleet.apply(&Fault::HealAll);
    fleet.agree_within(TIMEOUT);
    assert!(
        fleet.relay_totals().faults.cut > 100 && !fleet.gone_reports().is_empty(),
        "the partitions dropped more than 100 datagrams and caused deaths: {:?}",
        fleet.relay_totals()
    );
}

#[test]
fn wrong_key_and_other_cluster_are_rejected_and_counted() {
    let mut fleet = Fleet::prepare(5, 14, MEMBERSHIP_SETTINGS);
    let other = fleet.key_file().with_file_name("other");
    std::fs::write(&other, "another key that some share").expect("write the other key file");
    std::fs::set_permissions(&other, std::os::unix::fs::PermissionsExt::from_mode(0o600))
        .expect("restrict the other key file to its owner");
    let wrong_key = fleet.operators_file(3).replace("/key\"", "/other\"");
    let other_cluster = fleet.operators_file(4).replace("\"holds\"", "\"stays\"");
    assert!(
        wrong_key != fleet.operators_file(3) && other_cluster != fleet.operators_file(4),
        "both operators' files were changed"
    );
    fleet.set_operators_file(3, &wrong_key);
    fleet.set_operators_file(4, &other_cluster);
    (0..5).for_each(|node| fleet.start_node(node));
    fleet.wait_for("n0, n1 and n2 report the health `well`", TIMEOUT, |fleet| {
        at_all_nodes(fleet, |fleet, node| {
            node > 2 || fleet.members(node).health == "well"
        })
    });
    fleet.wait(ms(2_000));
    for observer in 0..3 {
        let names: Vec<_> = fleet.members(observer).other_members.into_keys().collect();
        let expected: Vec<_> = (0..3)
            .filter(|node| *node != observer)
            .map(|node| format!("n{node}"))
            .collect();
        assert_eq!(names, expected, "members known to n{observer}");
        let metric = |name: &str| fleet.node(observer).metric(name);
        assert!(
            metric("fleet_refused.seal") > 0 && metric("fleet_refused.fleet") > 0,
            "n{observer} counts datagrams with a wrong key and from another cluster"
        );
    }
    assert_eq!(fleet.gone_reports(), []);
}

#[test]
fn partitioned_sides_agree_after_heal() {
    let mut fleet = started_cluster(8, 4);
    for side in [
        (|node| node % 2) as fn(usize) -> usize,
        |node| usize::from(node == 0),
        |node| node % 3,
    ] {
        fleet.partition(side);
        fleet.wait_for(
            "each side considers exactly its own nodes alive",
            TIMEOUT,
            |fleet| {
                at_all_nodes(fleet, |fleet, observer| {
                    let view = fleet.members(observer);
                    let is_alone = (0..8).filter(|node| side(*node) == side(observer)).count() == 1;
                    if is_alone {
                        return view.health == "isolated";
                    }
                    (0..8).filter(|node| *node != observer).all(|node| {
                        let state = view.state(&format!("n{node}"));
                        if side(node) == side(observer) {
                            state == "alive"
                        } else {
                            state == "gone"
                        }
                    })
                })
            },
        );
        fleet.apply(&Fault::HealAll);
        fleet.agree_within(TIMEOUT);
    }
}

#[test]
fn loss_delay_duplicates_and_corruption_are_tolerated() {
    let mut fleet = started_cluster(6, 5);
    for link in [
        Link {
            loss: 0.1,
            ..Link::default()
        },
        Link {
            jitter_ms: 600.0,
            duplication: 0.3,
            ..Link::default()
        },
        Link {
            corruption: 0.1,
            replay: 0.3,
            ..Link::default()
        },
    ] {
        fleet.apply(&Fault::AllLinks { link });
        fleet.wait(ms(5_000));
    }
    assert_eq!(fleet.gone_reports(), []);
    let faults = fleet.relay_totals().faults;
    assert!(
        faults
            .lost
            .min(faults.duplicated)
            .min(faults.corrupted)
            .min(faults.replayed)
            > 20,
        "each kind of fault occurred more than 20 times: {faults:?}"
    );
    let metric = |name: &str| {
        (0..6)
            .map(|node| fleet.node(node).metric(name))
            .sum::<u64>()
    };
    assert!(
        metric("fleet_refused.seal") > 0 && metric("fleet_refused.replayed") > 0,
        "corrupted and replayed datagrams are counted"
    );
    fleet.kill(1);
    fleet.apply(&Fault::AllLinks {
        link: Link {
            loss: 0.3,
            ..Link::default()
        },
    });
    wait_for_state(&mut fleet, 1, "gone");
    fleet.start_node(1);
    fleet.apply(&Fault::HealAll);
    fleet.agree_within(TIMEOUT);
}

#[test]
fn processes_sharing_a_name_log_conflict_and_affect_no_other() {
    let mut fleet = Fleet::prepare(5, 6, MEMBERSHIP_SETTINGS);
    fleet.rename(4, "n0");
    (0..4).for_each(|node| fleet.start_node(node));
    fleet.wait(ms(12_000));
    fleet.start_node(4);
    fleet.wait_for("both processes log the name conflict", TIMEOUT, |fleet| {
        let has_logged = |node| {
            fleet
                .log(node)
                .iter()
                .any(|line| line.contains("two processes have this node's name"))
        };
        if has_logged(0) && has_logged(4) {
            Ok(())
        } else {
            Err(format!(
                "logged by process 0: {}, by process 4: {}",
                has_logged(0),
                has_logged(4)
            ))
        }
    });
    fleet.wait(ms(3_000));
    for observer in 1..4 {
        let view = fleet.members(observer);
        assert!(
            (0..4)
                .filter(|node| *node != observer)
                .all(|node| view.state(&format!("n{node}")) == "alive"),
            "n{observer} considers all others alive: {view:?}"
        );
    }
    assert_eq!(deaths_except(&fleet, 0), []);
}

/// Client requests must not fail while an unknown sender floods the UDP socket of the membership protocol.
#[test]
fn invalid_datagram_flood_is_counted_and_requests_are_served() {
    let fleet = started_cluster(3, 7);
    let load = Load::start(fleet.node(0).address, 4, ms(2));
    let gossip_address = fleet.gossip_address(0);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a loopback socket");
    for round in 0..20_000_u32 {
        let bytes = vec![
            round as u8;
            if round % 1_000 == 0 {
                65_000
            } else {
                round as usize % 300
            }
        ];
        let _ = socket.send_to(&bytes, gossip_address);
    }
    std::thread::sleep(ms(2_000));
    let totals = load.finish();
    assert!(
        totals.lost == 0 && totals.with_status(200) == totals.sent,
        "all requests are served: {} lost, responses {:?}",
        totals.lost,
        totals.responses
    );
    let metric = |name: &str| fleet.node(0).metric(name);
    assert!(
        metric("fleet_refused.stranger") > 100 && metric("fleet_refused.flood") > 0,
        "datagrams of unknown senders are counted and rate-limited"
    );
    assert_eq!(
        fleet.members(0).other_members.len(),
        2,
        "the unknown sender is not a member"
    );
}

/// Number of UDP sockets that a process holds open.
fn udp_socket_count(process_id: u32) -> usize {
    let own_inodes: Vec<_> = std::fs::read_dir(format!("/proc/{process_id}/fd"))
        .expect("list the descriptors of the running process")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .filter_map(|link| {
            Some(
                link.to_str()?
                    .strip_prefix("socket:[")?
                    .trim_end_matches(']')
                    .to_owned(),
            )
        })
        .collect();
    let tables = ["udp", "udp6"].map(|table| {
        std::fs::read_to_string(format!("/proc/{process_id}/net/{table}"))
            .expect("read the process's socket table")
    });
    let lines = tables.iter().flat_map(|table| table.lines().skip(1));
    lines
        .filter(|line| {
            line.split_whitespace()
                .nth(9)
                .is_some_and(|inode| own_inodes.iter().any(|own| own == inode))
        })
        .count()
}

#[test]
fn members_command_prints_table_and_json() {
    let fleet = started_cluster(3, 9);
    let run_members = |arguments: &[&str]| {
        let admin_address = fleet.node(0).admin_address().to_string();
        let output = testkit::program_command()
            .args(["members", "--at", &admin_address])
            .args(arguments)
            .output()
            .expect("run the program");
        assert!(output.status.success(), "`members` succeeds: {output:?}");
        String::from_utf8(output.stdout).expect("the output is UTF-8")
    };
    let table = run_members(&[]);
    assert!(
        table.starts_with("n0 is well, incarnation "),
        "the table starts with the node's own state: {table}"
    );
    assert_eq!(
        table
            .lines()
            .filter(|line| line.contains(" alive "))
            .count(),
        2,
        "both other members are alive: {table}"
    );
    let json: serde_json::Value =
        serde_json::from_str(&run_members(&["--json"])).expect("the output is JSON");
    assert_eq!(json["self"]["name"], "n0");
    assert_eq!(json["members"][1]["name"], "n2");
    assert!(
        json["members"][1]["heard_ms"].is_u64(),
        "`heard_ms` is a count of milliseconds: {json}"
    );
    let node = Node::start(&fleet.config(0).replace("\"peers\":true", "\"peers\":false"));
    let admin_address = node.admin_address().to_string();
    let output = testkit::program_command()
        .args(["members", "--at", &admin_address])
        .output()
        .expect("run the program");
    assert_eq!(
        output.status.code(),
        Some(1),
        "`members` fails at a node without a cluster: {output:?}"
    );
}

/// SIGHUP changes peers and timings, and does not make the node leave.
#[test]
fn reload_changes_peers_and_timings() {
    let mut fleet = started_cluster(4, 10);
    let first_incarnation = fleet.members(0).incarnation;
    let faster_probes = fleet
        .operators_file(0)
        .replace("probe_ms = 200", "probe_ms = 100");
    fleet
        .node(0)
        .reload_operators_file(&format!("{faster_probes}peers = []\n"));
    // Without peers n0 neither sends nor receives, so the others declare it dead.
    wait_for_state(&mut fleet, 0, "gone");
    fleet.node(0).reload_operators_file(&faster_probes);
    fleet.agree_within(TIMEOUT);
    assert!(
        fleet.members(0).incarnation > first_incarnation,
        "n0 has refuted its death with a higher incarnation"
    );
    assert!(
        !fleet.log(1).iter().any(|line| line.contains("n0 is left")),
        "n0 has not announced that it leaves"
    );
}

/// The membership protocol needs the platform's permission and a section in the operators' file: without either, no
/// socket is opened and no datagram is sent.
#[test]
fn no_socket_is_opened_unless_configured_and_allowed() {
    let fleet = Fleet::prepare(2, 8, MEMBERSHIP_SETTINGS);
    let allowed = fleet.config(0);
    let forbidden = allowed.replace("\"peers\":true", "\"peers\":false");
    let configured = format!(
        "[instances]\nfleet = \"holds\"\nkey_file = {:?}\n",
        fleet.key_file().display()
    );
    let node = Node::start_with_operators_file(&forbidden, Some(&configured));
    assert_eq!(
        udp_socket_count(node.process_id()),
        0,
        "not allowed by the platform"
    );
    wait_until("the node logs that [instances] is ignored", || {
        node.log().iter().any(|line| {
            line.contains("[instances]: ignored, because the platform's settings do not allow")
        })
    });
    assert!(
        node.admin_command("MEMBERS\n").starts_with("400 "),
        "MEMBERS is rejected"
    );
    assert!(
        !node.admin_command("STATS\n").contains("fleet"),
        "STATS has no metrics of the cluster"
    );
    drop(node);
    let node = Node::start(&allowed);
    assert_eq!(
        udp_socket_count(node.process_id()),
        0,
        "not configured by the operators"
    );
    drop(node);
    let node = Node::start_with_operators_file(&allowed, Some(&configured));
    assert_eq!(
        udp_socket_count(node.process_id()),
        1,
        "an allowed and configured node opens one socket"
    );
    drop(node);
    let discovery = Discovery::start();
    let node = Node::start_with_operators_file(
        &config(
            discovery.address,
            &endpoint_list(1, true, &[]),
            &settings(15_000),
        ),
        Some(""),
    );
    assert_eq!(
        udp_socket_count(node.process_id()),
        0,
        "neither allowed nor configured"
    );
    assert_eq!(fleet.relay_totals().datagrams, 0, "no node sent a datagram");
}

/// Scripts and dashboards read these names: a changed name would break them.
#[test]
fn metrics_and_member_fields_keep_their_recorded_names() {
    let fleet = started_cluster(2, 11);
    let stats = fleet.node(0).admin_command("STATS\n");
    let names: Vec<_> = stats
        .lines()
        .filter_map(|line| line.strip_prefix("edge_router.fleet_"))
        .map(|line| {
            let (name, value) = line
                .split_once(':')
                .expect("a metric line is `name:value|kind`");
            let (_, kind) = value
                .split_once('|')
                .expect("a metric line is `name:value|kind`");
            format!("{name}|{kind}")
        })
        .collect();
    assert_eq!(
        names,
        [
            "members.alive|g",
            "members.suspect|g",
            "members.gone|g",
            "members.left|g",
            "health|g",
            "verdicts|c",
            "refutations|c",
            "datagrams_in|c",
            "bytes_in|c",
            "datagrams_out|c",
            "bytes_out|c",
            "refused.malformed|c",
            "refused.version|c",
            "refused.fleet|c",
            "refused.seal|c",
            "refused.replayed|c",
            "refused.other_life|c",
            "refused.stranger|c",
            "refused.flood|c",
            "refused.full|c",
        ]
    );
    let members = fleet.node(0).admin_command("MEMBERS\n");
    let lines: Vec<Vec<_>> = members
        .lines()
        .map(|line| line.split(' ').collect())
        .collect();
    assert_eq!(
        (&lines[0][..3], lines[0][4]),
        (&["self", "n0", "well"][..], "alive")
    );
    assert_eq!((&lines[1][..2], lines[1].len()), (&["n1", "alive"][..], 6));
    assert_eq!(lines[2..], [["EOF"]]);
    let output = testkit::program_command()
        .args(["members", "--json", "--at"])
        .arg(fleet.node(0).admin_address().to_string())
        .output()
        .expect("run the program");
    let json: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let keys = |value: &serde_json::Value| -> Vec<String> {
        value
            .as_object()
            .expect("the value is a JSON object")
            .keys()
            .cloned()
            .collect()
    };
    assert_eq!(keys(&json), ["members", "self"]);
    assert_eq!(keys(&json["self"]), ["health", "incarnation", "name"]);
    assert_eq!(
        keys(&json["members"][0]),
        [
            "address",
            "heard_ms",
            "incarnation",
            "name",
            "since_ms",
            "state"
        ]
    );
}
