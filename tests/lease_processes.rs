//! Leases among several processes of the program: one owner at a time, whatever faults occur.

use std::path::Path;
use std::time::{Duration, Instant};

use silverthread::node::admin::config_file::OperatorConfig;
use testkit::{
    program_command, wait_until, write_temp_file, Fault, Fleet, Link, Load, Node, Register,
};

/// Short times, so that a test of several cases takes seconds.
const TIMES: &str = "probe_ms = 200\nsuspect_ms = 1000\n";
const LEASE_MS: u64 = 1_000;
const SHARDS: usize = 8;
/// Long enough for anything that has to happen, on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The operators' file: the first three nodes are acceptors.
fn lease_section(register: &Register) -> String {
    let keepers = "keepers = [\"n0\", \"n1\", \"n2\"]";
    let at = register.address;
    format!("{TIMES}[leases]\n{keepers}\nlease_ms = {LEASE_MS}\nshards = {SHARDS}\nfleet_log = \"{at}\"\n")
}

/// So many nodes, the first three of which are acceptors, and a register.
fn start_fleet(nodes: usize, seed: u64) -> (Register, Fleet) {
    let register = Register::start();
    let mut fleet = Fleet::start(nodes, seed, &lease_section(&register));
    wait_until_settled(&mut fleet, &register);
    (register, fleet)
}

/// Waits until all nodes agree and all shards are owned; the register accepted no line of a former
/// owner.
fn wait_until_settled(fleet: &mut Fleet, register: &Register) {
    fleet.agree_within(PATIENCE);
    wait_until_all_owned(fleet);
    assert_eq!(register.violation(), None);
}

/// Waits until exactly one node reports that it owns each shard.
fn wait_until_all_owned(fleet: &mut Fleet) {
    fleet.wait_for("all is owned", PATIENCE, |fleet| fleet.all_owned(SHARDS));
}

/// Waits until the register accepts a line of a wanted node, and returns that node.
fn wait_for_append(
    fleet: &mut Fleet,
    register: &Register,
    is_wanted: impl Fn(usize) -> bool,
) -> usize {
    let before = register.log().len();
    let mut by = 0;
    fleet.wait_for("a line is accepted", PATIENCE, |fleet| {
        let log = register.log();
        let of = |name: &str| (0..fleet.len()).find(|node| fleet.name(*node) == name);
        let acted: Vec<_> = log[before..]
            .iter()
            .filter(|effect| effect.is_accepted)
            .filter_map(|effect| of(&effect.node))
            .collect();
        by = acted
            .iter()
            .copied()
            .find(|node| is_wanted(*node))
            .ok_or_else(|| format!("{acted:?}"))?;
        Ok(())
    });
    by
}

#[test]
fn stopped_owner_is_replaced_and_harmless_when_resumed() {
    let (register, mut fleet) = start_fleet(5, 1);
    // Several times, at different phases of its lease.
    for round in 0..4_u64 {
        let owner = wait_for_append(&mut fleet, &register, |_| true);
        fleet.wait(ms(130 * round));
        fleet.pause(owner);
        let next = wait_for_append(&mut fleet, &register, |node| node != owner);
        assert_ne!(next, owner);
        fleet.resume(owner);
        fleet.wait(ms(500));
        wait_until_settled(&mut fleet, &register);
    }
}

/// Its line was sent while it owned the shard, and arrives after its successor has appended one.
#[test]
fn delayed_line_of_a_former_owner_is_rejected() {
    let (register, mut fleet) = start_fleet(5, 9);
    let owner = wait_for_append(&mut fleet, &register, |_| true);
    register.delay(fleet.name(owner), ms(8_000));
    fleet.wait(ms(1_500));
    fleet.pause(owner);
    wait_for_append(&mut fleet, &register, |node| node != owner);
    fleet.wait_for("it is refused", PATIENCE, |_| match register.rejected() {
        0 => Err(format!("{:?}", register.log().last())),
        _ => Ok(()),
    });
    fleet.resume(owner);
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

#[test]
fn killed_owner_is_replaced_and_leaving_owner_transfers() {
    let (register, mut fleet) = start_fleet(5, 2);
    let owner = wait_for_append(&mut fleet, &register, |_| true);
    fleet.kill(owner);
    wait_for_append(&mut fleet, &register, |node| node != owner);
    fleet.start_node(owner);
    wait_until_settled(&mut fleet, &register);
    let owner = wait_for_append(&mut fleet, &register, |_| true);
    fleet.terminate(owner);
    wait_for_append(&mut fleet, &register, |node| node != owner);
    wait_until_all_owned(&mut fleet);
    let transfers = |fleet: &Fleet| {
        fleet
            .log(owner)
            .iter()
            .filter(|line| line.contains("transferred to"))
            .count()
    };
    assert!(transfers(&fleet) > 0, "it transfers what it owns");
    assert_eq!(register.violation(), None);
}

#[test]
fn owner_behind_one_way_partition_is_replaced() {
    let (register, mut fleet) = start_fleet(5, 3);
    for is_receiving_cut in [true, false] {
        let owner = wait_for_append(&mut fleet, &register, |_| true);
        for other in (0..5).filter(|other| *other != owner) {
            let (from, to) = if is_receiving_cut {
                (other, owner)
            } else {
                (owner, other)
            };
            fleet.apply(&Fault::Cut { from, to });
        }
        wait_for_append(&mut fleet, &register, |node| node != owner);
        fleet.apply(&Fault::HealAll);
        wait_until_settled(&mut fleet, &register);
    }
}

#[test]
fn simultaneous_restart_continues_above_earlier_tokens() {
    let (register, mut fleet) = start_fleet(3, 4);
    wait_for_append(&mut fleet, &register, |_| true);
    let before = register.last().expect("a line").token;
    (0..3).for_each(|node| fleet.kill(node));
    (0..3).for_each(|node| fleet.start_node(node));
    wait_for_append(&mut fleet, &register, |_| true);
    assert!(register.last().expect("a line").token > before);
    assert_eq!(register.violation(), None);
}

#[test]
fn random_faults_lose_no_requests_and_make_no_two_owners() {
    let (register, mut fleet) = start_fleet(6, 5);
    let load = Load::start(fleet.node(0).address, 1, ms(20));
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..8 {
        let node = rng.usize(1..6);
        match rng.u32(..4) {
            0 => fleet.apply(&Fault::Pause {
                node,
                ms: 500.0 + rng.f64() * 2_500.0,
            }),
            1 => {
                fleet.kill(node);
                fleet.start_node(node);
            }
            2 => fleet.partition(|at| usize::from(at == node)),
            _ => fleet.apply(&Fault::Cut {
                from: node,
                to: (node + 1) % 6,
            }),
        }
        fleet.wait(ms(1_000));
        fleet.apply(&Fault::HealAll);
    }
    fleet.wait(ms(3_000));
    wait_until_settled(&mut fleet, &register);
    wait_for_append(&mut fleet, &register, |_| true);
    assert_eq!(register.violation(), None);
    let totals = load.finish();
    assert_eq!(
        (totals.lost, totals.with_status(200)),
        (0, totals.sent),
        "requests are served"
    );
    assert_eq!(
        fleet.server.request_count() as u64,
        totals.sent,
        "each once"
    );
    assert!(
        fleet.relay_totals().max_datagram_bytes <= 256,
        "{} bytes",
        fleet.relay_totals().max_datagram_bytes
    );
}

#[test]
fn transfer_and_configuration_mismatch_are_reported() {
    let (register, mut fleet) = start_fleet(4, 6);
    let owner = fleet.owner(0).expect("one");
    let to = (owner + 1) % 4;
    let call = |fleet: &Fleet, node: usize, line: &str| fleet.node(node).admin_command(line);
    assert!(call(&fleet, to, &format!("GIVE 0 n{owner}\n"))
        .starts_with("400 shard 0 is not owned here"));
    assert!(call(&fleet, owner, "GIVE 0 nobody\n").starts_with("400 nobody is no other node"));
    assert_eq!(
        call(&fleet, owner, &format!("GIVE 0 n{to}\n")),
        "200 given\n"
    );
    fleet.wait_for("it has it", PATIENCE, |fleet| match fleet.owner(0) {
        Ok(node) if node == to => Ok(()),
        other => Err(format!("{other:?}")),
    });
    let text = call(&fleet, 3, "OWNERS\n");
    assert!(
        text.starts_with("self n3 no 1\n") && text.ends_with("EOF\n"),
        "{text}"
    );
    assert!(call(&fleet, 0, "OWNERS\n").starts_with("self n0 grants 1\n"));
    assert!(call(&fleet, 0, "STATS\n").contains("edge_router.lease_grants:"));
    // A node with another configuration is granted nothing, and logs that.
    let other = fleet
        .operators_file(3)
        .replace("[leases]", "[leases]\nset = 2");
    fleet.kill(3);
    fleet.set_operators_file(3, &other);
    fleet.start_node(3);
    fleet.wait_for("it is logged", PATIENCE, |fleet| {
        let log = fleet.log(3);
        log.iter()
            .any(|line| line.contains("its set is 1 and this node's 2"))
            .then_some(())
            .ok_or(log.join("\n"))
    });
    assert!(fleet.owners(3).iter().all(|(_, left)| *left == 0));
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

/// The external forms of this part: scripts read them, so they are those of version 45ea4e8.
#[test]
fn admin_responses_and_metrics_keep_their_recorded_form() {
    const METRICS: [(&str, &str); 11] = [
        ("owned", "g"),
        ("won", "c"),
        ("unheard", "c"),
        ("given", "c"),
        ("grants", "c"),
        ("refusals", "c"),
        ("effects", "c"),
        ("stale", "c"),
        ("malformed", "c"),
        ("words_out", "c"),
        ("bytes_out", "c"),
    ];
    let (_register, fleet) = start_fleet(3, 20);
    let owners = fleet.node(0).admin_command("OWNERS\n");
    let lines: Vec<_> = owners.lines().collect();
    assert_eq!(lines.len(), SHARDS + 2, "{owners}");
    assert_eq!((lines[0], lines[SHARDS + 1]), ("self n0 grants 1", "EOF"));
    for (shard, line) in lines[1..=SHARDS].iter().enumerate() {
        let fields: Vec<_> = line.split(' ').collect();
        let [of, owner, numbers @ ..] = &fields[..] else {
            panic!("{line}");
        };
        assert_eq!((of.to_owned(), numbers.len()), (&*shard.to_string(), 3));
        assert!(["n0", "n1", "n2", "-"].contains(owner), "{line}");
        assert!(
            numbers.iter().all(|number| number.parse::<u64>().is_ok()),
            "{line}"
        );
    }
    let stats = fleet.node(0).admin_command("STATS\n");
    let metrics: Vec<_> = stats
        .lines()
        .filter_map(|line| line.strip_prefix("edge_router.lease_"))
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name, value.split('|').nth(1).unwrap_or_default()))
        .collect();
    assert_eq!(metrics, METRICS);
    let answers = ["GIVE 0 nobody\n", "GIVE 200 n1\n"].map(|call| {
        let node = fleet.owner(0).expect("one");
        fleet.node(node).admin_command(call)
    });
    assert_eq!(
        answers,
        [
            "400 nobody is no other node that is there\n",
            "400 shard 200 is not owned here\n"
        ]
    );
}

/// The acceptors change from `n0 n1 n2` to `n0 n1 n3` by SIGHUP at one of five nodes after another,
/// and a node crashes meanwhile; then the former acceptor and another one end, and the new
/// configuration goes on.
#[test]
fn reconfiguration_by_reload_settles_and_keeps_one_owner() {
    let (register, mut fleet) = start_fleet(5, 10);
    let old = "keepers = [\"n0\", \"n1\", \"n2\"]";
    let new = |before: &str| format!("set = 2\nkeepers = [\"n0\", \"n1\", \"n3\"]\n{before}");
    let text = |fleet: &Fleet, before| fleet.operators_file(0).replace(old, &new(before));
    let next = text(&fleet, "before = [\"n0\", \"n1\", \"n2\"]");
    let wrong = text(&fleet, "");
    fleet.node(4).reload_operators_file(&wrong);
    fleet.wait_for("it refuses", PATIENCE, |fleet| {
        logged(fleet, 4, "reconfiguration rejected: `before` must")
    });
    for node in [3, 0, 4, 2, 1] {
        fleet.set_operators_file(node, &next);
        fleet.node(node).reload_operators_file(&next);
        if node == 4 {
            // It crashes after it has read its file.
            fleet.kill(0);
            fleet.start_node(0);
        }
        fleet.wait(ms(300));
    }
    for node in 0..5 {
        fleet.wait_for("the new configuration settles", PATIENCE, |fleet| {
            let text = fleet.node(node).admin_command("OWNERS\n");
            let head = text.lines().next().unwrap_or_default().to_owned();
            if head.ends_with(" 2") {
                Ok(())
            } else {
                Err(head)
            }
        });
    }
    wait_until_all_owned(&mut fleet);
    fleet.kill(2);
    fleet.kill(0);
    wait_until_all_owned(&mut fleet);
    wait_for_append(&mut fleet, &register, |_| true);
    assert_eq!(register.violation(), None);
}

fn logged(fleet: &Fleet, node: usize, what: &str) -> Result<(), String> {
    let log = fleet.log(node);
    if log.iter().any(|line| line.contains(what)) {
        Ok(())
    } else {
        Err(log.join("\n"))
    }
}

/// Tokens are reserved on disk before they are granted; a fence file of another node or a truncated
/// one is rejected.
#[test]
fn acceptor_reserves_tokens_on_disk_before_granting() {
    let register = Register::start();
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("fences");
    let mut fleet = Fleet::prepare(3, 11, &lease_section(&register));
    let with_file = format!(
        "{}fence_file = \"{}\"\n",
        fleet.operators_file(0),
        file.display()
    );
    fleet.set_operators_file(0, &with_file);
    (0..3).for_each(|node| fleet.start_node(node));
    wait_until_all_owned(&mut fleet);
    let first = wait_for_append(&mut fleet, &register, |_| true);
    let reserved = || {
        let text = std::fs::read_to_string(&file).expect("written");
        lease::decode_fence_file("n0", &text).expect("valid").0
    };
    let last = register.last().expect("one").token;
    assert!(
        reserved() > last,
        "{first}: {last} is within what was reserved"
    );
    // What it finds reserved at its start may have been granted, whatever its clock says.
    let far = lease::FencingToken(u64::MAX / 2);
    fleet.kill(0);
    std::fs::write(&file, lease::encode_fence_file("n0", far)).expect("written");
    fleet.start_node(0);
    fleet.wait_for("a later number", PATIENCE, |_| {
        let last = register.last().expect("one");
        if last.token > far.0 {
            Ok(())
        } else {
            Err(format!("{last:?}"))
        }
    });
    assert!(reserved() > register.last().expect("one").token);
    fleet.kill(0);
    let text = lease::encode_fence_file("n1", far);
    for (wrong, why) in [
        (&text[..], "the file was written by another node"),
        (&text[..40], "the file is truncated"),
    ] {
        std::fs::write(&file, wrong).expect("written");
        let (config, operators) = (
            write_temp_file(&fleet.config(0)),
            write_temp_file(&with_file),
        );
        let mut command = program_command();
        command
            .env("ROUTER_CONFIG", &config)
            .arg("--config")
            .arg(&operators);
        let output = command.output().expect("it starts");
        let log = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.code() == Some(1) && log.contains(why),
            "{log}"
        );
    }
    assert_eq!(register.violation(), None);
}

/// Line numbers continue where the owner before stopped, as it published each of them.
#[test]
fn successor_continues_after_the_published_effect() {
    let (register, mut fleet) = start_fleet(4, 13);
    let owner = wait_for_append(&mut fleet, &register, |_| true);
    fleet.wait(ms(2_500));
    fleet.kill(owner);
    let before = register.last().expect("one").number;
    wait_for_append(&mut fleet, &register, |node| node != owner);
    let after = register
        .log()
        .into_iter()
        .find(|line| line.node != fleet.name(owner))
        .expect("another's");
    assert!(
        after.number >= before && before > 2,
        "{} after {before}",
        after.number
    );
    let node = (owner + 1) % 4;
    assert!(fleet.node(node).metric("lease_effects") > 2);
    assert_eq!(register.violation(), None);
}

/// An acceptor restarts several times, then a majority is stopped: without one no node acts.
#[test]
fn stopped_acceptor_majority_leaves_no_owner() {
    let (register, mut fleet) = start_fleet(5, 14);
    for _ in 0..4 {
        fleet.kill(1);
        fleet.wait(ms(200));
        fleet.start_node(1);
        fleet.wait(ms(600));
    }
    wait_for_append(&mut fleet, &register, |_| true);
    fleet.agree_within(PATIENCE);
    fleet.pause(0);
    fleet.pause(1);
    let stopped = Instant::now();
    fleet.wait(ms(5 * LEASE_MS));
    let woken = Instant::now();
    fleet.resume(0);
    fleet.resume(1);
    // Leases from before expire within their length; twice that for a busy machine.
    let lines = register.log();
    let without = lines
        .iter()
        .filter(|line| line.at > stopped + ms(2 * LEASE_MS) && line.at < woken);
    assert_eq!(without.count(), 0, "without a majority there is no owner");
    wait_for_append(&mut fleet, &register, |_| true);
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

#[test]
fn thirty_percent_message_loss_makes_no_two_owners() {
    let (register, mut fleet) = start_fleet(5, 15);
    fleet.apply(&Fault::AllLinks {
        link: Link {
            loss: 0.3,
            ..Link::default()
        },
    });
    for _ in 0..6 {
        fleet.wait(ms(1_000));
        wait_for_append(&mut fleet, &register, |_| true);
    }
    fleet.apply(&Fault::HealAll);
    wait_until_all_owned(&mut fleet);
    assert!(
        fleet.relay_totals().faults.lost > 100,
        "some were lost: {:?}",
        fleet.relay_totals()
    );
    assert_eq!(register.violation(), None);
}

/// All nodes, acceptors among them, one after another.
#[test]
fn rolling_restart_keeps_appending_lines() {
    let (register, mut fleet) = start_fleet(5, 16);
    for node in 0..5 {
        fleet.terminate(node);
        wait_for_append(&mut fleet, &register, |by| by != node);
        fleet.start_node(node);
        fleet.agree_within(PATIENCE);
    }
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

/// Tells a node to transfer all that it owns to another.
fn transfer_all(fleet: &Fleet, from: usize, to: usize) {
    let owned = fleet
        .owners(from)
        .into_iter()
        .enumerate()
        .filter(|(_, (_, left))| *left > 0);
    for (shard, _) in owned {
        // It may have lost the shard since.
        let answer = fleet
            .node(from)
            .admin_command(&format!("GIVE {shard} n{to}\n"));
        assert!(
            answer == "200 given\n" || answer.contains("is not owned here"),
            "{answer}"
        );
    }
}

/// An owner is stopped while it transfers all its shards, and resumes long after.
#[test]
fn owner_stopped_during_transfer_is_harmless_when_resumed() {
    let (register, mut fleet) = start_fleet(5, 17);
    for round in 0..3 {
        let owner = wait_for_append(&mut fleet, &register, |_| true);
        let to = (owner + 1 + round) % 5;
        let to = if to == owner { (to + 1) % 5 } else { to };
        transfer_all(&fleet, owner, to);
        fleet.pause(owner);
        wait_for_append(&mut fleet, &register, |node| node != owner);
        fleet.wait(ms(2 * LEASE_MS));
        fleet.resume(owner);
        wait_until_settled(&mut fleet, &register);
    }
}

/// Partitioned from one of three acceptors an owner keeps its shard, from two it does not.
#[test]
fn owner_needs_a_majority_of_acceptors_and_no_more() {
    let (register, mut fleet) = start_fleet(5, 18);
    // An owner that is no acceptor.
    let mut owner = wait_for_append(&mut fleet, &register, |_| true);
    while owner < 3 {
        transfer_all(&fleet, owner, 4);
        owner = wait_for_append(&mut fleet, &register, |node| node != owner);
    }
    let cut = |fleet: &mut Fleet, keeper: usize| {
        fleet.apply(&Fault::Cut {
            from: owner,
            to: keeper,
        });
        fleet.apply(&Fault::Cut {
            from: keeper,
            to: owner,
        });
    };
    // It is also the preferred node, so the shard is not moved back meanwhile.
    cut(&mut fleet, 0);
    fleet.wait(ms(3 * LEASE_MS));
    assert_eq!(
        wait_for_append(&mut fleet, &register, |_| true),
        owner,
        "two of three are enough"
    );
    cut(&mut fleet, 1);
    wait_for_append(&mut fleet, &register, |node| node != owner);
    fleet.apply(&Fault::HealAll);
    wait_until_settled(&mut fleet, &register);
}

/// An acceptor whose disk cannot be written grants nothing new and logs that; the others go on.
#[test]
fn acceptor_with_failed_disk_grants_nothing_and_logs_it() {
    let register = Register::start();
    let mut fleet = Fleet::prepare(3, 19, &lease_section(&register));
    let with_file = format!(
        "{}fence_file = \"/nonexistent/fences\"\n",
        fleet.operators_file(0)
    );
    fleet.set_operators_file(0, &with_file);
    (0..3).for_each(|node| fleet.start_node(node));
    wait_until_all_owned(&mut fleet);
    fleet.wait_for("it is logged", PATIENCE, |fleet| {
        logged(fleet, 0, "the fence file cannot be written")
    });
    assert_eq!(fleet.node(0).metric("lease_grants"), 0);
    wait_for_append(&mut fleet, &register, |_| true);
    // The other two acceptors are a majority.
    fleet.kill(2);
    fleet.start_node(2);
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

#[test]
fn two_processes_of_one_name_never_both_act() {
    let (register, mut fleet) = start_fleet(5, 7);
    wait_for_append(&mut fleet, &register, |_| true);
    fleet.kill(4);
    fleet.rename(4, "n3");
    fleet.start_node(4);
    fleet.wait_for("one process stops", PATIENCE, |fleet| {
        let logged = |node| {
            fleet
                .log(node)
                .iter()
                .any(|line| line.contains("no longer takes part"))
        };
        (logged(3) || logged(4))
            .then_some(())
            .ok_or_else(|| "neither".into())
    });
    fleet.wait(ms(3_000));
    wait_for_append(&mut fleet, &register, |_| true);
    assert_eq!(register.violation(), None);
}

#[test]
fn leases_stay_off_where_peer_traffic_is_not_allowed() {
    let register = Register::start();
    let lease_section = format!(
        "[leases]\nkeepers = [\"n0\", \"n1\", \"n2\"]\nfleet_log = \"{}\"\n",
        register.address
    );
    let fleet = Fleet::prepare(3, 8, &lease_section);
    let forbidden = fleet.config(0).replace("\"peers\":true", "\"peers\":false");
    let node = Node::start_with_operators_file(&forbidden, Some(fleet.operators_file(0)));
    wait_until("it is logged", || {
        node.log()
            .iter()
            .any(|line| line.contains("[instances] stays off"))
    });
    assert!(node
        .admin_command("OWNERS\n")
        .starts_with("400 this node takes no part"));
    assert!(node
        .admin_command("GIVE 0 n1\n")
        .starts_with("400 this node takes no part"));
    std::thread::sleep(ms(1_500));
    assert_eq!(register.log(), []);
}

#[test]
fn invalid_lease_section_is_rejected_by_line_and_key() {
    let instances = "[instances]\nfleet = \"holds\"\nkey_file = \"key\"\n";
    let read = |text: &str| OperatorConfig::parse(Path::new("file"), text);
    let three = "keepers = [\"a\", \"b\", \"c\"]\n";
    let operators = read(&format!("{instances}[leases]\n{three}")).expect("valid");
    assert!(
        operators
            .summary()
            .iter()
            .any(|line| line.contains("granted by acceptors a, b, c")),
        "{:?}",
        operators.summary()
    );
    let wrong = [
        (format!("[leases]\n{three}"), "leases need [instances]"),
        (
            format!("{instances}[leases]\nkeepers = [\"a\", \"b\"]\n"),
            "expected 3, 5 or 7",
        ),
        (
            format!("{instances}[leases]\nkeepers = [\"a\", \"b\", \"a\"]\n"),
            "each named once",
        ),
        (
            format!("{instances}[leases]\nkeepers = [\"a\", \"b\", \"c d\"]\n"),
            "cannot be a node's name",
        ),
        (
            format!("{instances}[leases]\n{three}shards = 0\n"),
            "1 to 128",
        ),
        (
            format!("{instances}[leases]\n{three}before = [\"a\", \"b\", \"d\"]\n"),
            "`set` must be 2 or more",
        ),
        (
            format!("{instances}[leases]\n{three}set = 2\nbefore = [\"a\"]\n"),
            "expected 3, 5 or 7",
        ),
        (
            format!("{instances}[leases]\n{three}lease_ms = 5\n"),
            "300 to 10000 ms",
        ),
        (
            format!("{instances}[leases]\n{three}drift = nan\n"),
            "`drift` must be 0 to 0.1",
        ),
        (
            format!("{instances}[leases]\nset = 1\n"),
            "missing field `keepers`",
        ),
        (
            format!("{instances}[leases]\n{three}keeper = 1\n"),
            "unknown field `keeper`",
        ),
    ];
    for (text, why) in wrong {
        let error = read(&text).expect_err("it makes no sense");
        assert!(
            error.to_string().contains(why) && error.line().is_some(),
            "{error}, not {why}"
        );
    }
}
