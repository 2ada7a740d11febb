//! Leases among several node processes: each shard has at most one owner at a time, whatever faults occur.

use std::path::Path;
use std::time::{Duration, Instant};

use silverthread::node::admin::config_file::OperatorConfig;
use testkit::{
    program_command, wait_until, write_temp_file, Fault, Fleet, Link, Load, Node, Register,
};

/// Probe interval and suspicion timeout, short enough that a test of several cases takes seconds.
const MEMBERSHIP_SETTINGS: &str = "probe_ms = 200\nsuspect_ms = 1000\n";
const LEASE_MS: u64 = 1_000;
const SHARDS: usize = 8;
/// Time limit for an expected condition; a busy machine may need most of it.
const TIMEOUT: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The `[leases]` section of the operators' file, after the membership settings: the first three nodes are acceptors.
fn lease_section(register: &Register) -> String {
    let acceptors = "keepers = [\"n0\", \"n1\", \"n2\"]";
    let fleet_log = register.address;
    format!("{MEMBERSHIP_SETTINGS}[leases]\n{acceptors}\nlease_ms = {LEASE_MS}\nshards = {SHARDS}\nfleet_log = \"{fleet_log}\"\n")
}

/// Starts a register and this number of nodes, the first three of which are acceptors.
fn start_fleet(nodes: usize, seed: u64) -> (Register, Fleet) {
    let register = Register::start();
    let mut fleet = Fleet::start(nodes, seed, &lease_section(&register));
    wait_until_agreed_and_owned(&mut fleet, &register);
    (register, fleet)
}

/// Waits until all nodes agree on the members and all shards are owned; checks that the register accepted no line of a
/// former owner.
fn wait_until_agreed_and_owned(fleet: &mut Fleet, register: &Register) {
    fleet.agree_within(TIMEOUT);
    wait_until_all_owned(fleet);
    assert_eq!(register.violation(), None);
}

/// Waits until exactly one node reports that it owns each shard.
fn wait_until_all_owned(fleet: &mut Fleet) {
    fleet.wait_for("each shard has exactly one owner", TIMEOUT, |fleet| {
        fleet.all_owned(SHARDS)
    });
}

/// Waits until the register accepts a new line from a node that meets the condition, and returns that node.
fn wait_for_append(
    fleet: &mut Fleet,
    register: &Register,
    is_expected: impl Fn(usize) -> bool,
) -> usize {
    let earlier_lines = register.log().len();
    let mut writer = 0;
    fleet.wait_for(
        "the register accepts a line of an expected node",
        TIMEOUT,
        |fleet| {
            let log = register.log();
            let node_of = |name: &str| (0..fleet.len()).find(|node| fleet.name(*node) == name);
            let writers: Vec<_> = log[earlier_lines..]
                .iter()
                .filter(|effect| effect.is_accepted)
                .filter_map(|effect| node_of(&effect.node))
                .collect();
            writer = writers
                .iter()
                .copied()
                .find(|node| is_expected(*node))
                .ok_or_else(|| format!("lines of nodes {writers:?} only"))?;
            Ok(())
        },
    );
    writer
}

#[test]
fn paused_owner_is_replaced_and_violates_nothing_when_resumed() {
    let (register, mut fleet) = start_fleet(5, 1);
    // The owner is stopped four times, at different phases of its lease.
    for round in 0..4_u64 {
        let owner = wait_for_append(&mut fleet, &register, |_| true);
        fleet.wait(ms(130 * round));
        fleet.pause(owner);
        let next = wait_for_append(&mut fleet, &register, |node| node != owner);
        assert_ne!(next, owner);
        fleet.resume(owner);
        fleet.wait(ms(500));
        wait_until_agreed_and_owned(&mut fleet, &register);
    }
}

/// An owner sends a line while it owns the shard; the line arrives after its successor has appended one.
#[test]
fn delayed_line_of_a_former_owner_is_rejected() {
    let (register, mut fleet) = start_fleet(5, 9);
    let owner = wait_for_append(&mut fleet, &register, |_| true);
    register.delay(fleet.name(owner), ms(8_000));
    fleet.wait(ms(1_500));
    fleet.pause(owner);
    wait_for_append(&mut fleet, &register, |node| node != owner);
    fleet.wait_for(
        "the register rejects the line",
        TIMEOUT,
        |_| match register.rejected() {
            0 => Err(format!("{:?}", register.log().last())),
            _ => Ok(()),
        },
    );
    fleet.resume(owner);
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

#[test]
fn crashed_owner_is_replaced_and_leaving_owner_transfers() {
    let (register, mut fleet) = start_fleet(5, 2);
    let owner = wait_for_append(&mut fleet, &register, |_| true);
    fleet.kill(owner);
    wait_for_append(&mut fleet, &register, |node| node != owner);
    fleet.start_node(owner);
    wait_until_agreed_and_owned(&mut fleet, &register);
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
    assert!(
        transfers(&fleet) > 0,
        "the leaving node transfers the shards that it owns"
    );
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
        wait_until_agreed_and_owned(&mut fleet, &register);
    }
}

#[test]
fn simultaneous_restart_continues_above_earlier_tokens() {
    let (register, mut fleet) = start_fleet(3, 4);
    wait_for_append(&mut fleet, &register, |_| true);
    let token_before = register
        .last()
        .expect("the register has accepted a line")
        .token;
    (0..3).for_each(|node| fleet.kill(node));
    (0..3).for_each(|node| fleet.start_node(node));
    wait_for_append(&mut fleet, &register, |_| true);
    assert!(
        register
            .last()
            .expect("the register has accepted a line")
            .token
            > token_before,
        "tokens continue above those granted before the restart"
    );
    assert_eq!(register.violation(), None);
}

#[test]
fn random_faults_lose_no_request_and_cause_no_second_owner() {
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
            2 => fleet.partition(|other| usize::from(other == node)),
            _ => fleet.apply(&Fault::Cut {
                from: node,
                to: (node + 1) % 6,
            }),
        }
        fleet.wait(ms(1_000));
        fleet.apply(&Fault::HealAll);
    }
    fleet.wait(ms(3_000));
    wait_until_agreed_and_owned(&mut fleet, &register);
    wait_for_append(&mut fleet, &register, |_| true);
    assert_eq!(register.violation(), None);
    let totals = load.finish();
    assert_eq!(
        (totals.lost, totals.with_status(200)),
        (0, totals.sent),
        "no request is lost and all are served"
    );
    assert_eq!(
        fleet.server.request_count() as u64,
        totals.sent,
        "each request reaches the server once"
    );
    assert!(
        fleet.relay_totals().max_datagram_bytes <= 256,
        "a datagram has at most 256 bytes, got {}",
        fleet.relay_totals().max_datagram_bytes
    );
}

#[test]
fn transfer_and_configuration_mismatch_are_reported() {
    let (register, mut fleet) = start_fleet(4, 6);
    let owner = fleet.owner(0).expect("shard 0 has an owner");
    let receiver = (owner + 1) % 4;
    let send = |fleet: &Fleet, node: usize, line: &str| fleet.node(node).admin_command(line);
    assert!(
        send(&fleet, receiver, &format!("GIVE 0 n{owner}\n"))
            .starts_with("400 shard 0 is not owned here"),
        "a node that is not the owner rejects the transfer"
    );
    assert!(
        send(&fleet, owner, "GIVE 0 nobody\n").starts_with("400 nobody is no other node"),
        "a transfer to an unknown node is rejected"
    );
    assert_eq!(
        send(&fleet, owner, &format!("GIVE 0 n{receiver}\n")),
        "200 given\n"
    );
    fleet.wait_for("the receiver owns shard 0", TIMEOUT, |fleet| {
        match fleet.owner(0) {
            Ok(node) if node == receiver => Ok(()),
            other => Err(format!("{other:?}")),
        }
    });
    let owners = send(&fleet, 3, "OWNERS\n");
    assert!(
        owners.starts_with("self n3 no 1\n") && owners.ends_with("EOF\n"),
        "n3 reports that it is not an acceptor: {owners}"
    );
    assert!(
        send(&fleet, 0, "OWNERS\n").starts_with("self n0 grants 1\n"),
        "the acceptor n0 reports that it grants leases"
    );
    assert!(
        send(&fleet, 0, "STATS\n").contains("edge_router.lease_grants:"),
        "STATS lists the lease metrics"
    );
    // A node with another configuration number is granted no lease, and logs the mismatch.
    let mismatched = fleet
        .operators_file(3)
        .replace("[leases]", "[leases]\nset = 2");
    fleet.kill(3);
    fleet.set_operators_file(3, &mismatched);
    fleet.start_node(3);
    fleet.wait_for("n3 logs the mismatch", TIMEOUT, |fleet| {
        let log = fleet.log(3);
        log.iter()
            .any(|line| line.contains("its set is 1 and this node's 2"))
            .then_some(())
            .ok_or(log.join("\n"))
    });
    assert!(
        fleet.owners(3).iter().all(|(_, left)| *left == 0),
        "n3 holds no lease: {:?}",
        fleet.owners(3)
    );
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

/// Scripts read these forms of the lease commands and metrics, so they stay those of version 45ea4e8.
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
        let [listed_shard, owner, numbers @ ..] = &fields[..] else {
            panic!("expected a shard, its owner and numbers, got `{line}`");
        };
        assert_eq!(
            (listed_shard.to_owned(), numbers.len()),
            (&*shard.to_string(), 3),
            "{line}"
        );
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
    let responses = ["GIVE 0 nobody\n", "GIVE 200 n1\n"].map(|command| {
        let node = fleet.owner(0).expect("shard 0 has an owner");
        fleet.node(node).admin_command(command)
    });
    assert_eq!(
        responses,
        [
            "400 nobody is no other node that is there\n",
            "400 shard 200 is not owned here\n"
        ]
    );
}

/// The acceptors change from `n0 n1 n2` to `n0 n1 n3` by SIGHUP at five nodes one after another, and a node crashes
/// meanwhile; then the former acceptor n2 and the acceptor n0 are killed, and the new configuration keeps granting leases.
#[test]
fn reconfiguration_by_reload_settles_and_keeps_one_owner() {
    let (register, mut fleet) = start_fleet(5, 10);
    let old_acceptors = "keepers = [\"n0\", \"n1\", \"n2\"]";
    let new_acceptors =
        |before: &str| format!("set = 2\nkeepers = [\"n0\", \"n1\", \"n3\"]\n{before}");
    let file_with = |fleet: &Fleet, before| {
        fleet
            .operators_file(0)
            .replace(old_acceptors, &new_acceptors(before))
    };
    let next = file_with(&fleet, "before = [\"n0\", \"n1\", \"n2\"]");
    let without_before = file_with(&fleet, "");
    fleet.node(4).reload_operators_file(&without_before);
    fleet.wait_for(
        "n4 rejects a reconfiguration without `before`",
        TIMEOUT,
        |fleet| check_log(fleet, 4, "reconfiguration rejected: `before` must"),
    );
    for node in [3, 0, 4, 2, 1] {
        fleet.set_operators_file(node, &next);
        fleet.node(node).reload_operators_file(&next);
        if node == 4 {
            // n0 crashes after it has reloaded its file.
            fleet.kill(0);
            fleet.start_node(0);
        }
        fleet.wait(ms(300));
    }
    for node in 0..5 {
        fleet.wait_for("each node reports configuration 2", TIMEOUT, |fleet| {
            let owners = fleet.node(node).admin_command("OWNERS\n");
            let head = owners.lines().next().unwrap_or_default().to_owned();
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

/// Checks that a line of a node's log contains a text; the error is the whole log.
fn check_log(fleet: &Fleet, node: usize, text: &str) -> Result<(), String> {
    let log = fleet.log(node);
    if log.iter().any(|line| line.contains(text)) {
        Ok(())
    } else {
        Err(log.join("\n"))
    }
}

/// Tokens are reserved on disk before they are granted; a fence file of another node and a truncated one are rejected.
#[test]
fn acceptor_reserves_tokens_on_disk_before_granting() {
    let register = Register::start();
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let fence_file = folder.path().join("fences");
    let mut fleet = Fleet::prepare(3, 11, &lease_section(&register));
    let with_file = format!(
        "{}fence_file = \"{}\"\n",
        fleet.operators_file(0),
        fence_file.display()
    );
    fleet.set_operators_file(0, &with_file);
    (0..3).for_each(|node| fleet.start_node(node));
    wait_until_all_owned(&mut fleet);
    let first = wait_for_append(&mut fleet, &register, |_| true);
    let reserved = || {
        let text = std::fs::read_to_string(&fence_file).expect("read the fence file");
        lease::decode_fence_file("n0", &text)
            .expect("the fence file is valid")
            .0
    };
    let last = register
        .last()
        .expect("the register has accepted a line")
        .token;
    assert!(
        reserved() > last,
        "token {last} of n{first} is below the {} reserved on disk",
        reserved()
    );
    // An acceptor that restarts must assume that all tokens reserved on disk were granted, whatever its clock says.
    let reserved_before_start = lease::FencingToken(u64::MAX / 2);
    fleet.kill(0);
    std::fs::write(
        &fence_file,
        lease::encode_fence_file("n0", reserved_before_start),
    )
    .expect("write the fence file");
    fleet.start_node(0);
    fleet.wait_for(
        "a token above those reserved before the start",
        TIMEOUT,
        |_| {
            let last = register.last().expect("the register has accepted a line");
            if last.token > reserved_before_start.0 {
                Ok(())
            } else {
                Err(format!("{last:?}"))
            }
        },
    );
    assert!(
        reserved()
            > register
                .last()
                .expect("the register has accepted a line")
                .token,
        "the token of the last line was reserved on disk"
    );
    fleet.kill(0);
    let of_other_node = lease::encode_fence_file("n1", reserved_before_start);
    for (invalid, reason) in [
        (&of_other_node[..], "the file was written by another node"),
        (&of_other_node[..40], "the file is truncated"),
    ] {
        std::fs::write(&fence_file, invalid).expect("write the fence file");
        let (config, operators) = (
            write_temp_file(&fleet.config(0)),
            write_temp_file(&with_file),
        );
        let mut command = program_command();
        command
            .env("ROUTER_CONFIG", &config)
            .arg("--config")
            .arg(&operators);
        let output = command.output().expect("run the program");
        let log = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.code() == Some(1) && log.contains(reason),
            "the program exits with 1 and logs `{reason}`: {log}"
        );
    }
    assert_eq!(register.violation(), None);
}

/// An owner publishes the number of each line that it appends, so its successor continues where it stopped.
#[test]
fn successor_continues_after_the_published_effect() {
    let (register, mut fleet) = start_fleet(4, 13);
    let owner = wait_for_append(&mut fleet, &register, |_| true);
    fleet.wait(ms(2_500));
    fleet.kill(owner);
    let number_before = register
        .last()
        .expect("the register has accepted a line")
        .number;
    wait_for_append(&mut fleet, &register, |node| node != owner);
    let first_of_successor = register
        .log()
        .into_iter()
        .find(|line| line.node != fleet.name(owner))
        .expect("another node has appended a line");
    assert!(
        first_of_successor.number >= number_before && number_before > 2,
        "the successor starts with number {} after {number_before}",
        first_of_successor.number
    );
    let node = (owner + 1) % 4;
    assert!(
        fleet.node(node).metric("lease_effects") > 2,
        "n{node} has counted the effects that it learned of"
    );
    assert_eq!(register.violation(), None);
}

/// An acceptor restarts several times; then a majority of the acceptors is paused, and no node may append a line.
#[test]
fn paused_acceptor_majority_leaves_no_owner() {
    let (register, mut fleet) = start_fleet(5, 14);
    for _ in 0..4 {
        fleet.kill(1);
        fleet.wait(ms(200));
        fleet.start_node(1);
        fleet.wait(ms(600));
    }
    wait_for_append(&mut fleet, &register, |_| true);
    fleet.agree_within(TIMEOUT);
    fleet.pause(0);
    fleet.pause(1);
    let paused_at = Instant::now();
    fleet.wait(ms(5 * LEASE_MS));
    let resumed_at = Instant::now();
    fleet.resume(0);
    fleet.resume(1);
    // Leases granted before the pause expire within their length; the factor 2 allows for a busy machine.
    let lines = register.log();
    let without_majority = lines
        .iter()
        .filter(|line| line.at > paused_at + ms(2 * LEASE_MS) && line.at < resumed_at);
    assert_eq!(
        without_majority.count(),
        0,
        "no line is appended without a majority of acceptors"
    );
    wait_for_append(&mut fleet, &register, |_| true);
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

#[test]
fn thirty_percent_message_loss_causes_no_second_owner() {
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
        "more than 100 datagrams were lost: {:?}",
        fleet.relay_totals()
    );
    assert_eq!(register.violation(), None);
}

/// All nodes, acceptors among them, are restarted one after another, and others append lines meanwhile.
#[test]
fn rolling_restart_keeps_appending_lines() {
    let (register, mut fleet) = start_fleet(5, 16);
    for node in 0..5 {
        fleet.terminate(node);
        wait_for_append(&mut fleet, &register, |writer| writer != node);
        fleet.start_node(node);
        fleet.agree_within(TIMEOUT);
    }
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

/// Commands a node to transfer all shards that it owns to another.
fn transfer_all(fleet: &Fleet, from: usize, to: usize) {
    let owned = fleet
        .owners(from)
        .into_iter()
        .enumerate()
        .filter(|(_, (_, left))| *left > 0);
    for (shard, _) in owned {
        // The node may have lost the shard since it was listed.
        let response = fleet
            .node(from)
            .admin_command(&format!("GIVE {shard} n{to}\n"));
        assert!(
            response == "200 given\n" || response.contains("is not owned here"),
            "response to GIVE {shard} n{to}: {response}"
        );
    }
}

/// An owner is paused while it transfers all its shards, and resumes after its leases have expired.
#[test]
fn owner_paused_in_transfer_violates_nothing_when_resumed() {
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
        wait_until_agreed_and_owned(&mut fleet, &register);
    }
}

/// An owner that is partitioned from one of three acceptors keeps its shard; partitioned from two, it loses it.
#[test]
fn owner_needs_a_majority_of_acceptors_and_no_more() {
    let (register, mut fleet) = start_fleet(5, 18);
    // Shards are transferred until the owner is not an acceptor.
    let mut owner = wait_for_append(&mut fleet, &register, |_| true);
    while owner < 3 {
        transfer_all(&fleet, owner, 4);
        owner = wait_for_append(&mut fleet, &register, |node| node != owner);
    }
    let cut = |fleet: &mut Fleet, acceptor: usize| {
        fleet.apply(&Fault::Cut {
            from: owner,
            to: acceptor,
        });
        fleet.apply(&Fault::Cut {
            from: acceptor,
            to: owner,
        });
    };
    // The owner is also the preferred node of its shard, so the shard is not moved back meanwhile.
    cut(&mut fleet, 0);
    fleet.wait(ms(3 * LEASE_MS));
    assert_eq!(
        wait_for_append(&mut fleet, &register, |_| true),
        owner,
        "two of three acceptors are enough"
    );
    cut(&mut fleet, 1);
    wait_for_append(&mut fleet, &register, |node| node != owner);
    fleet.apply(&Fault::HealAll);
    wait_until_agreed_and_owned(&mut fleet, &register);
}

/// An acceptor that cannot write its fence file grants no leases and logs that; the other acceptors keep granting.
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
    fleet.wait_for(
        "n0 logs that it cannot write the fence file",
        TIMEOUT,
        |fleet| check_log(fleet, 0, "the fence file cannot be written"),
    );
    assert_eq!(
        fleet.node(0).metric("lease_grants"),
        0,
        "n0 grants no lease"
    );
    wait_for_append(&mut fleet, &register, |_| true);
    // The other two acceptors are a majority.
    fleet.kill(2);
    fleet.start_node(2);
    wait_until_all_owned(&mut fleet);
    assert_eq!(register.violation(), None);
}

#[test]
fn processes_sharing_a_name_never_own_one_shard_together() {
    let (register, mut fleet) = start_fleet(5, 7);
    wait_for_append(&mut fleet, &register, |_| true);
    fleet.kill(4);
    fleet.rename(4, "n3");
    fleet.start_node(4);
    fleet.wait_for(
        "one process logs that it no longer takes part",
        TIMEOUT,
        |fleet| {
            let has_stopped = |node| {
                fleet
                    .log(node)
                    .iter()
                    .any(|line| line.contains("no longer takes part"))
            };
            (has_stopped(3) || has_stopped(4))
                .then_some(())
                .ok_or_else(|| "neither process has logged it".into())
        },
    );
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
    wait_until("the node logs that [instances] is ignored", || {
        node.log().iter().any(|line| {
            line.contains("[instances]: ignored, because the platform's settings do not allow")
        })
    });
    assert!(
        node.admin_command("OWNERS\n")
            .starts_with("400 this node takes no part"),
        "OWNERS is rejected"
    );
    assert!(
        node.admin_command("GIVE 0 n1\n")
            .starts_with("400 this node takes no part"),
        "GIVE is rejected"
    );
    std::thread::sleep(ms(1_500));
    assert_eq!(register.log(), [], "no node has appended a line");
}

#[test]
fn invalid_lease_section_is_rejected_with_line_and_reason() {
    let instances = "[instances]\nfleet = \"holds\"\nkey_file = \"key\"\n";
    let parse = |text: &str| OperatorConfig::parse(Path::new("file"), text);
    let three_acceptors = "keepers = [\"a\", \"b\", \"c\"]\n";
    let operator_config =
        parse(&format!("{instances}[leases]\n{three_acceptors}")).expect("the section is valid");
    assert!(
        operator_config
            .summary()
            .iter()
            .any(|line| line.contains("granted by acceptors a, b, c")),
        "the summary names the acceptors: {:?}",
        operator_config.summary()
    );
    let invalid_sections = [
        (
            format!("[leases]\n{three_acceptors}"),
            "leases need [instances]",
        ),
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
            format!("{instances}[leases]\n{three_acceptors}shards = 0\n"),
            "1 to 128",
        ),
        (
            format!("{instances}[leases]\n{three_acceptors}before = [\"a\", \"b\", \"d\"]\n"),
            "`set` must be 2 or more",
        ),
        (
            format!("{instances}[leases]\n{three_acceptors}set = 2\nbefore = [\"a\"]\n"),
            "expected 3, 5 or 7",
        ),
        (
            format!("{instances}[leases]\n{three_acceptors}lease_ms = 5\n"),
            "300 to 10000 ms",
        ),
        (
            format!("{instances}[leases]\n{three_acceptors}drift = nan\n"),
            "`drift` must be 0 to 0.1",
        ),
        (
            format!("{instances}[leases]\nset = 1\n"),
            "missing field `keepers`",
        ),
        (
            format!("{instances}[leases]\n{three_acceptors}keeper = 1\n"),
            "unknown field `keeper`",
        ),
    ];
    for (text, reason) in invalid_sections {
        let error = parse(&text).expect_err("the section is invalid");
        assert!(
            error.to_string().contains(reason) && error.line().is_some(),
            "expected `{reason}` with its line, got: {error}"
        );
    }
}
