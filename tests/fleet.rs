//! Several processes of the program that look for each other, with faults between them.

use std::net::UdpSocket;
use std::time::Duration;

use testkit::{config, list, settings, until, Discovery, Fleet, Link, Load, Node, Trouble};

/// What the suspicion time is here: short, so that a test of several cases takes seconds.
const TIMES: &str = "probe_ms = 200\nsuspect_ms = 1000\n";
/// Long after anything that must come comes, on a machine that is busy.
const PATIENCE: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn started(nodes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(nodes, seed, TIMES);
    fleet.agree_within(PATIENCE);
    fleet.wait_for("all are well", PATIENCE, |fleet| {
        all(fleet, |fleet, node| fleet.members(node).health == "well")
    });
    fleet
}

fn all(fleet: &Fleet, so: impl Fn(&Fleet, usize) -> bool) -> Result<(), String> {
    let not: Vec<_> = (0..fleet.len())
        .filter(|node| fleet.is_up(*node) && !so(fleet, *node))
        .collect();
    if not.is_empty() {
        Ok(())
    } else {
        Err(format!("not so at {not:?}"))
    }
}

/// Waits until all that run hold a node for this.
fn held_for(fleet: &mut Fleet, node: usize, state: &str) {
    fleet.wait_for(&format!("n{node} is {state}"), PATIENCE, |fleet| {
        all(fleet, |fleet, of| {
            of == node || fleet.members(of).state(&format!("n{node}")) == state
        })
    });
}

/// Waits until a node's log says something.
fn says(fleet: &mut Fleet, node: usize, what: &str) {
    fleet.wait_for(what, PATIENCE, |fleet| {
        let log = fleet.log(node);
        if log.iter().any(|line| line.contains(what)) {
            Ok(())
        } else {
            Err(log.join("\n"))
        }
    });
}

fn gone_of_others(fleet: &Fleet, node: usize) -> Vec<(usize, String)> {
    fleet
        .gone()
        .into_iter()
        .filter(|(_, name)| *name != format!("n{node}"))
        .collect()
}

#[test]
fn a_kill_a_goodbye_and_a_restart_are_seen_by_all() {
    let mut fleet = started(5, 1);
    fleet.kill(2);
    held_for(&mut fleet, 2, "gone");
    fleet.run(2);
    fleet.agree_within(PATIENCE);
    fleet.terminate(4);
    held_for(&mut fleet, 4, "left");
    fleet.run(4);
    fleet.agree_within(PATIENCE);
    assert_eq!(gone_of_others(&fleet, 2), []);
}

#[test]
fn pauses_are_borne_and_who_wakes_up_is_back() {
    let mut fleet = started(7, 2);
    for node in [0, 3, 0] {
        fleet.apply(&Trouble::Pause { node, ms: 300.0 });
        fleet.wait(ms(1_000));
    }
    fleet.agree_within(PATIENCE);
    assert_eq!(
        fleet.gone(),
        [],
        "a pause below the suspicion time is never an end"
    );
    // A third at the same moment, for far longer.
    fleet.stop(0);
    fleet.stop(1);
    held_for(&mut fleet, 0, "gone");
    held_for(&mut fleet, 1, "gone");
    fleet.wait(ms(3_000));
    fleet.go_on(0);
    fleet.go_on(1);
    fleet.agree_within(PATIENCE);
    let is_wrong = |(by, name): &(usize, String)| *by < 2 || !["n0", "n1"].contains(&name.as_str());
    assert!(
        !fleet.verdicts().iter().any(is_wrong),
        "who wakes up accuses nobody: {:?}",
        fleet.verdicts()
    );
    says(&mut fleet, 0, "stood still");
    says(&mut fleet, 0, "comes back as incarnation");
}

#[test]
fn one_sided_cuts_end_only_whom_they_should() {
    let mut fleet = started(6, 3);
    // None is heard by n0: nobody is gone, and it says that it is alone.
    (1..6).for_each(|from| fleet.apply(&Trouble::Cut { from, to: 0 }));
    fleet.wait_for("it knows", PATIENCE, |fleet| {
        all(fleet, |fleet, node| {
            node != 0 || fleet.members(0).health == "isolated"
        })
    });
    fleet.wait(ms(4_000));
    assert_eq!(fleet.gone(), []);
    fleet.apply(&Trouble::HealAll);
    fleet.agree_within(PATIENCE);
    // Two are deaf to each other.
    fleet.apply(&Trouble::Cut { from: 1, to: 2 });
    fleet.apply(&Trouble::Cut { from: 2, to: 1 });
    fleet.apply(&Trouble::Cut { from: 3, to: 4 });
    fleet.wait(ms(5_000));
    assert_eq!(fleet.gone(), []);
    fleet.apply(&Trouble::HealAll);
    fleet.agree_within(PATIENCE);
    // n0 is heard by none: gone to all, and it knows.
    (1..6).for_each(|to| fleet.apply(&Trouble::Cut { from: 0, to }));
    held_for(&mut fleet, 0, "gone");
    fleet.wait_for("it knows", PATIENCE, |fleet| {
        all(fleet, |fleet, node| {
            node != 0 || fleet.members(0).own == "gone"
        })
    });
    says(&mut fleet, 0, "this node is gone to the others");
    fleet.apply(&Trouble::HealAll);
    fleet.agree_within(PATIENCE);
    assert_eq!(gone_of_others(&fleet, 0), []);
    assert!(fleet.passed().done.cut > 100, "{:?}", fleet.passed());
}

/// Each hears nothing of the next; nothing but a ring of one-way links is left; half is deaf to the other half.
#[test]
fn lopsided_cuts_of_many_end_nobody_that_is_heard() {
    let mut fleet = started(6, 11);
    (0..6).for_each(|node| {
        fleet.apply(&Trouble::Cut {
            from: node,
            to: (node + 1) % 6,
        });
    });
    fleet.wait(ms(4_000));
    assert_eq!(fleet.gone(), [], "each is cut off from one");
    let others = (0..6).flat_map(|from| (0..6).map(move |to| (from, to)));
    for (from, to) in others.filter(|(from, to)| from != to && *to != (from + 2) % 6) {
        fleet.apply(&Trouble::Cut { from, to });
    }
    fleet.wait(ms(4_000));
    assert_eq!(fleet.gone(), [], "nobody can be answered");
    fleet.apply(&Trouble::HealAll);
    fleet.agree_within(PATIENCE);
    // It may hold the other half for gone, but all settles, and agrees once it is healed.
    for from in 3..6 {
        (0..3).for_each(|to| fleet.apply(&Trouble::Cut { from, to }));
    }
    fleet.wait(ms(8_000));
    let before = fleet.gone().len();
    fleet.wait(ms(5_000));
    assert_eq!(
        fleet.gone().len(),
        before,
        "nobody comes and goes: {:?}",
        fleet.gone()
    );
    fleet.apply(&Trouble::HealAll);
    fleet.agree_within(PATIENCE);
    assert!(fleet.passed().done.cut > 100, "{:?}", fleet.passed());
}

#[test]
fn one_that_is_restarted_again_and_again_and_most_that_die_at_once_are_borne() {
    let mut fleet = started(9, 12);
    for round in 0..6 {
        fleet.kill(2);
        fleet.wait(ms(200 * round));
        fleet.run(2);
        fleet.wait(ms(600));
    }
    fleet.agree_within(PATIENCE);
    for _ in 0..8 {
        (0..9).for_each(|node| fleet.apply(&Trouble::Pause { node, ms: 200.0 }));
        fleet.wait(ms(700));
    }
    fleet.agree_within(PATIENCE);
    assert_eq!(
        gone_of_others(&fleet, 2),
        [],
        "restarts of one and short pauses of all end nobody else"
    );
    (3..9).for_each(|node| fleet.kill(node));
    fleet.agree_within(PATIENCE);
    (3..9).for_each(|node| fleet.run(node));
    fleet.agree_within(PATIENCE);
}

#[test]
fn three_splits_in_a_row_with_a_restart_in_them_heal_too() {
    let mut fleet = started(7, 13);
    for shift in 0..3 {
        fleet.split(|node| (node + shift) / 3 % 2);
        fleet.wait(ms(800 * (1 + shift as u64)));
    }
    fleet.kill(4);
    fleet.run(4);
    fleet.wait(ms(4_000));
    fleet.apply(&Trouble::HealAll);
    fleet.agree_within(PATIENCE);
    assert!(
        fleet.passed().done.cut > 100 && !fleet.gone().is_empty(),
        "{:?}",
        fleet.passed()
    );
}

#[test]
fn a_wrong_key_and_another_fleet_are_counted_and_harm_nobody() {
    let mut fleet = Fleet::prepare(5, 14, TIMES);
    let other = fleet.key_file().with_file_name("other");
    std::fs::write(&other, "another key that some share").expect("a file");
    std::fs::set_permissions(&other, std::os::unix::fs::PermissionsExt::from_mode(0o600))
        .expect("a file");
    let wrong_key = fleet.operators(3).replace("/key\"", "/other\"");
    let wrong_fleet = fleet.operators(4).replace("\"holds\"", "\"stays\"");
    assert!(wrong_key != fleet.operators(3) && wrong_fleet != fleet.operators(4));
    fleet.set_operators(3, &wrong_key);
    fleet.set_operators(4, &wrong_fleet);
    (0..5).for_each(|node| fleet.run(node));
    fleet.wait_for("the three find each other", PATIENCE, |fleet| {
        all(fleet, |fleet, of| {
            of > 2 || fleet.members(of).health == "well"
        })
    });
    fleet.wait(ms(2_000));
    for of in 0..3 {
        let names: Vec<_> = fleet.members(of).others.into_keys().collect();
        let wanted: Vec<_> = (0..3)
            .filter(|node| *node != of)
            .map(|node| format!("n{node}"))
            .collect();
        assert_eq!(names, wanted);
        let figure = |name: &str| fleet.node(of).figure(name);
        assert!(figure("fleet_refused.seal") > 0 && figure("fleet_refused.fleet") > 0);
    }
    assert_eq!(fleet.gone(), []);
}

#[test]
fn sides_of_a_split_go_on_and_agree_once_it_is_healed() {
    let mut fleet = started(8, 4);
    for side in [
        (|node| node % 2) as fn(usize) -> usize,
        |node| usize::from(node == 0),
        |node| node % 3,
    ] {
        fleet.split(side);
        fleet.wait_for("each side has its own", PATIENCE, |fleet| {
            all(fleet, |fleet, of| {
                let view = fleet.members(of);
                let alone = (0..8).filter(|node| side(*node) == side(of)).count() == 1;
                if alone {
                    return view.health == "isolated";
                }
                (0..8).filter(|node| *node != of).all(|node| {
                    let state = view.state(&format!("n{node}"));
                    if side(node) == side(of) {
                        state == "alive"
                    } else {
                        state == "gone"
                    }
                })
            })
        });
        fleet.apply(&Trouble::HealAll);
        fleet.agree_within(PATIENCE);
    }
}

#[test]
fn bad_links_are_borne() {
    let mut fleet = started(6, 5);
    for link in [
        Link {
            loss: 0.1,
            ..Link::default()
        },
        Link {
            jitter_ms: 600.0,
            twice: 0.3,
            ..Link::default()
        },
        Link {
            corrupt: 0.1,
            replay: 0.3,
            ..Link::default()
        },
    ] {
        fleet.apply(&Trouble::All { link });
        fleet.wait(ms(5_000));
    }
    assert_eq!(fleet.gone(), []);
    let done = fleet.passed().done;
    assert!(
        done.lost
            .min(done.doubled)
            .min(done.corrupted)
            .min(done.replayed)
            > 20,
        "{done:?}"
    );
    let figure = |name: &str| {
        (0..6)
            .map(|node| fleet.node(node).figure(name))
            .sum::<u64>()
    };
    assert!(figure("fleet_refused.seal") > 0 && figure("fleet_refused.replayed") > 0);
    fleet.kill(1);
    fleet.apply(&Trouble::All {
        link: Link {
            loss: 0.3,
            ..Link::default()
        },
    });
    held_for(&mut fleet, 1, "gone");
    fleet.run(1);
    fleet.apply(&Trouble::HealAll);
    fleet.agree_within(PATIENCE);
}

#[test]
fn two_processes_of_one_name_say_so_and_harm_no_third() {
    let mut fleet = Fleet::prepare(5, 6, TIMES);
    fleet.rename(4, "n0");
    (0..4).for_each(|node| fleet.run(node));
    fleet.wait(ms(12_000));
    fleet.run(4);
    fleet.wait_for("both say so", PATIENCE, |fleet| {
        let says = |node| {
            fleet
                .log(node)
                .iter()
                .any(|line| line.contains("two processes have this node's name"))
        };
        if says(0) && says(4) {
            Ok(())
        } else {
            Err(format!("{} {}", says(0), says(4)))
        }
    });
    fleet.wait(ms(3_000));
    for of in 1..4 {
        let view = fleet.members(of);
        assert!(
            (0..4)
                .filter(|node| *node != of)
                .all(|node| view.state(&format!("n{node}")) == "alive"),
            "{view:?}"
        );
    }
    assert_eq!(gone_of_others(&fleet, 0), []);
}

/// Guards who is served while strangers and forgers shout.
#[test]
fn garbage_and_floods_are_counted_and_requests_go_on() {
    let fleet = started(3, 7);
    let load = Load::start(fleet.node(0).address, 4, ms(2));
    let at = fleet.hears_at(0);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for round in 0..20_000_u32 {
        let bytes = vec![
            round as u8;
            if round % 1_000 == 0 {
                65_000
            } else {
                round as usize % 300
            }
        ];
        let _ = socket.send_to(&bytes, at);
    }
    std::thread::sleep(ms(2_000));
    let totals = load.end();
    assert!(
        totals.lost == 0 && totals.of(200) == totals.sent,
        "{:?}",
        totals.answers
    );
    let figure = |name: &str| fleet.node(0).figure(name);
    assert!(figure("fleet_refused.stranger") > 100 && figure("fleet_refused.flood") > 0);
    assert_eq!(fleet.members(0).others.len(), 2);
}

fn udp_sockets(process: u32) -> usize {
    let own: Vec<_> = std::fs::read_dir(format!("/proc/{process}/fd"))
        .expect("it runs")
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
        std::fs::read_to_string(format!("/proc/{process}/net/{table}")).expect("a table")
    });
    let lines = tables.iter().flat_map(|table| table.lines().skip(1));
    lines
        .filter(|line| {
            line.split_whitespace()
                .nth(9)
                .is_some_and(|inode| own.iter().any(|held| held == inode))
        })
        .count()
}

#[test]
fn operators_see_the_others_as_a_table_and_as_json() {
    let fleet = started(3, 9);
    let ask = |more: &[&str]| {
        let at = fleet.node(0).control().to_string();
        let output = testkit::program()
            .args(["members", "--at", &at])
            .args(more)
            .output()
            .expect("it starts");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    };
    let table = ask(&[]);
    assert!(table.starts_with("n0 is well, incarnation "), "{table}");
    assert_eq!(
        table
            .lines()
            .filter(|line| line.contains(" alive "))
            .count(),
        2,
        "{table}"
    );
    let json: serde_json::Value = serde_json::from_str(&ask(&["--json"])).expect("JSON");
    assert_eq!(json["self"]["name"], "n0");
    assert_eq!(json["members"][1]["name"], "n2");
    assert!(json["members"][1]["heard_ms"].is_u64(), "{json}");
    let node = Node::start(&fleet.config(0).replace("\"peers\":true", "\"peers\":false"));
    let at = node.control().to_string();
    let output = testkit::program()
        .args(["members", "--at", &at])
        .output()
        .expect("it starts");
    assert_eq!(
        output.status.code(),
        Some(1),
        "it looks for none: {output:?}"
    );
}

/// SIGHUP brings other peers and times, and the node does not leave for it.
#[test]
fn peers_and_times_change_while_a_node_runs() {
    let mut fleet = started(4, 10);
    let before = fleet.members(0).incarnation;
    let text = fleet
        .operators(0)
        .replace("probe_ms = 200", "probe_ms = 100");
    fleet
        .node(0)
        .reload_operators(&format!("{text}peers = []\n"));
    // It says nothing to anybody any more, and hears nobody; the others find it gone.
    held_for(&mut fleet, 0, "gone");
    fleet.node(0).reload_operators(&text);
    fleet.agree_within(PATIENCE);
    assert!(fleet.members(0).incarnation > before, "it came back");
    assert!(
        !fleet.log(1).iter().any(|line| line.contains("n0 is left")),
        "it did not leave"
    );
}

/// Guards the platform's word: where it forbids word between nodes, none is sent, and nothing listens for it.
#[test]
fn nothing_is_opened_where_the_settings_forbid_it_or_nobody_asks() {
    let fleet = Fleet::prepare(2, 8, TIMES);
    let allowed = fleet.config(0);
    let forbidden = allowed.replace("\"peers\":true", "\"peers\":false");
    let asks = format!(
        "[instances]\nfleet = \"holds\"\nkey_file = {:?}\n",
        fleet.key_file().display()
    );
    let node = Node::start_with(&forbidden, Some(&asks));
    assert_eq!(udp_sockets(node.process()), 0);
    until("it says so", || {
        node.log()
            .iter()
            .any(|line| line.contains("[instances] stays off"))
    });
    assert!(node.call("MEMBERS\n").starts_with("400 "));
    assert!(!node.call("STATS\n").contains("fleet"));
    drop(node);
    let node = Node::start(&allowed);
    assert_eq!(udp_sockets(node.process()), 0, "nobody asks for it");
    drop(node);
    let node = Node::start_with(&allowed, Some(&asks));
    assert_eq!(udp_sockets(node.process()), 1, "the count counts");
    drop(node);
    let discovery = Discovery::start();
    let node = Node::start_with(
        &config(discovery.address, &list(1, true, &[]), &settings(15_000)),
        Some(""),
    );
    assert_eq!(udp_sockets(node.process()), 0);
    assert_eq!(fleet.passed().datagrams, 0);
}

/// Guards the names that scripts and dashboards read.
#[test]
fn metrics_and_member_fields_keep_their_recorded_names() {
    let fleet = started(2, 11);
    let stats = fleet.node(0).call("STATS\n");
    let names: Vec<_> = stats
        .lines()
        .filter_map(|line| line.strip_prefix("edge_router.fleet_"))
        .map(|line| {
            let (name, value) = line.split_once(':').expect("a value after the name");
            let (_, kind) = value.split_once('|').expect("a kind after the value");
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
    let members = fleet.node(0).call("MEMBERS\n");
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
    let output = testkit::program()
        .args(["members", "--json", "--at"])
        .arg(fleet.node(0).control().to_string())
        .output()
        .expect("the program starts");
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let keys = |value: &serde_json::Value| -> Vec<String> {
        value
            .as_object()
            .expect("an object")
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
