//! Several processes of the program that have work in common: one owner at a time, whatever happens to it.

use std::path::Path;
use std::time::{Duration, Instant};

use silverthread::node::admin::operators::Operators;
use testkit::{program, until, write_config, Fleet, Link, Load, Node, Register, Trouble};

/// Short, so that a test of several cases takes seconds.
const TIMES: &str = "probe_ms = 200\nsuspect_ms = 1000\n";
const LEASE_MS: u64 = 1_000;
const SHARDS: usize = 8;
/// Long after anything that must come comes, on a machine that is busy.
const PATIENCE: Duration = Duration::from_secs(30);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What the operators' file says: the first three keep.
fn keeping(register: &Register) -> String {
    let keepers = "keepers = [\"n0\", \"n1\", \"n2\"]";
    let at = register.address;
    format!("{TIMES}[leases]\n{keepers}\nlease_ms = {LEASE_MS}\nshards = {SHARDS}\nfleet_log = \"{at}\"\n")
}

/// So many nodes, the first three of which keep.
fn started(nodes: usize, seed: u64) -> (Register, Fleet) {
    let register = Register::start();
    let mut fleet = Fleet::start(nodes, seed, &keeping(&register));
    settles(&mut fleet, &register);
    (register, fleet)
}

/// All agree again, all is owned, and nothing was ever taken of an older owner.
fn settles(fleet: &mut Fleet, register: &Register) {
    fleet.agree_within(PATIENCE);
    all_owned(fleet);
    assert_eq!(register.wrong(), None);
}

/// Waits until each shard has one owner, by its own word.
fn all_owned(fleet: &mut Fleet) {
    fleet.wait_for("all is owned", PATIENCE, |fleet| fleet.all_owned(SHARDS));
}

/// Waits until a node's line is taken, and tells which node's.
fn acts(fleet: &mut Fleet, register: &Register, wanted: impl Fn(usize) -> bool) -> usize {
    let before = register.log().len();
    let mut by = 0;
    fleet.wait_for("somebody acts", PATIENCE, |fleet| {
        let log = register.log();
        let of = |name: &str| (0..fleet.len()).find(|node| fleet.name(*node) == name);
        let acted: Vec<_> = log[before..]
            .iter()
            .filter(|effect| effect.taken)
            .filter_map(|effect| of(&effect.node))
            .collect();
        by = acted
            .iter()
            .copied()
            .find(|node| wanted(*node))
            .ok_or_else(|| format!("{acted:?}"))?;
        Ok(())
    });
    by
}

#[test]
fn an_owner_that_is_stopped_is_replaced_and_wakes_up_to_no_harm() {
    let (register, mut fleet) = started(5, 1);
    // Several times, at other points of what it is doing.
    for round in 0..4_u64 {
        let owner = acts(&mut fleet, &register, |_| true);
        fleet.wait(ms(130 * round));
        fleet.stop(owner);
        let next = acts(&mut fleet, &register, |node| node != owner);
        assert_ne!(next, owner);
        fleet.go_on(owner);
        fleet.wait(ms(500));
        settles(&mut fleet, &register);
    }
}

/// Its line was written while it had leave, and arrives after it was stopped and another has acted.
#[test]
fn a_line_of_an_old_owner_that_comes_late_is_refused() {
    let (register, mut fleet) = started(5, 9);
    let owner = acts(&mut fleet, &register, |_| true);
    register.delay(fleet.name(owner), ms(8_000));
    fleet.wait(ms(1_500));
    fleet.stop(owner);
    acts(&mut fleet, &register, |node| node != owner);
    fleet.wait_for("it is refused", PATIENCE, |_| match register.refused() {
        0 => Err(format!("{:?}", register.log().last())),
        _ => Ok(()),
    });
    fleet.go_on(owner);
    all_owned(&mut fleet);
    assert_eq!(register.wrong(), None);
}

#[test]
fn an_owner_that_is_killed_is_replaced_and_one_that_leaves_hands_over() {
    let (register, mut fleet) = started(5, 2);
    let owner = acts(&mut fleet, &register, |_| true);
    fleet.kill(owner);
    acts(&mut fleet, &register, |node| node != owner);
    fleet.run(owner);
    settles(&mut fleet, &register);
    let owner = acts(&mut fleet, &register, |_| true);
    fleet.terminate(owner);
    acts(&mut fleet, &register, |node| node != owner);
    all_owned(&mut fleet);
    let given = |fleet: &Fleet| {
        fleet
            .log(owner)
            .iter()
            .filter(|line| line.contains("transferred to"))
            .count()
    };
    assert!(given(&fleet) > 0, "it gives away what it owns");
    assert_eq!(register.wrong(), None);
}

#[test]
fn an_owner_that_is_cut_off_one_way_lets_go() {
    let (register, mut fleet) = started(5, 3);
    for is_deaf in [true, false] {
        let owner = acts(&mut fleet, &register, |_| true);
        for other in (0..5).filter(|other| *other != owner) {
            let (from, to) = if is_deaf {
                (other, owner)
            } else {
                (owner, other)
            };
            fleet.apply(&Trouble::Cut { from, to });
        }
        acts(&mut fleet, &register, |node| node != owner);
        fleet.apply(&Trouble::HealAll);
        settles(&mut fleet, &register);
    }
}

#[test]
fn all_that_restart_at_once_begin_above_what_was() {
    let (register, mut fleet) = started(3, 4);
    acts(&mut fleet, &register, |_| true);
    let before = register.last().expect("a line").fence;
    (0..3).for_each(|node| fleet.kill(node));
    (0..3).for_each(|node| fleet.run(node));
    acts(&mut fleet, &register, |_| true);
    assert!(register.last().expect("a line").fence > before);
    assert_eq!(register.wrong(), None);
}

#[test]
fn troubles_at_random_and_requests_beside_them() {
    let (register, mut fleet) = started(6, 5);
    let load = Load::start(fleet.node(0).address, 1, ms(20));
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..8 {
        let node = rng.usize(1..6);
        match rng.u32(..4) {
            0 => fleet.apply(&Trouble::Pause {
                node,
                ms: 500.0 + rng.f64() * 2_500.0,
            }),
            1 => {
                fleet.kill(node);
                fleet.run(node);
            }
            2 => fleet.split(|at| usize::from(at == node)),
            _ => fleet.apply(&Trouble::Cut {
                from: node,
                to: (node + 1) % 6,
            }),
        }
        fleet.wait(ms(1_000));
        fleet.apply(&Trouble::HealAll);
    }
    fleet.wait(ms(3_000));
    settles(&mut fleet, &register);
    acts(&mut fleet, &register, |_| true);
    assert_eq!(register.wrong(), None);
    let totals = load.end();
    assert_eq!(
        (totals.lost, totals.of(200)),
        (0, totals.sent),
        "requests go on"
    );
    assert_eq!(fleet.server.count() as u64, totals.sent, "each once");
    assert!(
        fleet.passed().longest <= 256,
        "{} bytes",
        fleet.passed().longest
    );
}

#[test]
fn a_shard_is_given_and_other_sets_and_calls_are_told_apart() {
    let (register, mut fleet) = started(4, 6);
    let owner = fleet.owner(0).expect("one");
    let to = (owner + 1) % 4;
    let call = |fleet: &Fleet, node: usize, line: &str| fleet.node(node).call(line);
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
    // One with another set of keepers is refused, and says so.
    let other = fleet.operators(3).replace("[leases]", "[leases]\nset = 2");
    fleet.kill(3);
    fleet.set_operators(3, &other);
    fleet.run(3);
    fleet.wait_for("it says so", PATIENCE, |fleet| {
        let log = fleet.log(3);
        log.iter()
            .any(|line| line.contains("its set is 1 and this node's 2"))
            .then_some(())
            .ok_or(log.join("\n"))
    });
    assert!(fleet.owners(3).iter().all(|(_, left)| *left == 0));
    all_owned(&mut fleet);
    assert_eq!(register.wrong(), None);
}

/// The external forms of this part: scripts read them, so they are those of version 45ea4e8.
#[test]
fn admin_responses_and_metrics_of_leases_keep_their_recorded_form() {
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
    let (_register, fleet) = started(3, 20);
    let owners = fleet.node(0).call("OWNERS\n");
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
    let stats = fleet.node(0).call("STATS\n");
    let metrics: Vec<_> = stats
        .lines()
        .filter_map(|line| line.strip_prefix("edge_router.lease_"))
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name, value.split('|').nth(1).unwrap_or_default()))
        .collect();
    assert_eq!(metrics, METRICS);
    let answers = ["GIVE 0 nobody\n", "GIVE 200 n1\n"].map(|call| {
        let node = fleet.owner(0).expect("one");
        fleet.node(node).call(call)
    });
    assert_eq!(
        answers,
        [
            "400 nobody is no other node that is there\n",
            "400 shard 200 is not owned here\n"
        ]
    );
}

/// Of five the keepers go from `n0 n1 n2` to `n0 n1 n3`, by SIGHUP at one node after the other, one of which crashes in the
/// midst; then the one that keeps no more and another keeper end, and the new set goes on.
#[test]
fn keepers_change_while_the_fleet_runs() {
    let (register, mut fleet) = started(5, 10);
    let old = "keepers = [\"n0\", \"n1\", \"n2\"]";
    let new = |before: &str| format!("set = 2\nkeepers = [\"n0\", \"n1\", \"n3\"]\n{before}");
    let text = |fleet: &Fleet, before| fleet.operators(0).replace(old, &new(before));
    let next = text(&fleet, "before = [\"n0\", \"n1\", \"n2\"]");
    let wrong = text(&fleet, "");
    fleet.node(4).reload_operators(&wrong);
    fleet.wait_for("it refuses", PATIENCE, |fleet| {
        says(fleet, 4, "reconfiguration rejected: `before` has")
    });
    for node in [3, 0, 4, 2, 1] {
        fleet.set_operators(node, &next);
        fleet.node(node).reload_operators(&next);
        if node == 4 {
            // It read its file and crashes.
            fleet.kill(0);
            fleet.run(0);
        }
        fleet.wait(ms(300));
    }
    for node in 0..5 {
        fleet.wait_for("the new set decides alone", PATIENCE, |fleet| {
            let text = fleet.node(node).call("OWNERS\n");
            let head = text.lines().next().unwrap_or_default().to_owned();
            if head.ends_with(" 2") {
                Ok(())
            } else {
                Err(head)
            }
        });
    }
    all_owned(&mut fleet);
    fleet.kill(2);
    fleet.kill(0);
    all_owned(&mut fleet);
    acts(&mut fleet, &register, |_| true);
    assert_eq!(register.wrong(), None);
}

fn says(fleet: &Fleet, node: usize, what: &str) -> Result<(), String> {
    let log = fleet.log(node);
    if log.iter().any(|line| line.contains(what)) {
        Ok(())
    } else {
        Err(log.join("\n"))
    }
}

/// What a keeper may grant is written down before it grants; a file of another node or a cut one is not believed.
#[test]
fn a_keeper_writes_down_what_it_may_grant() {
    let register = Register::start();
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("fences");
    let mut fleet = Fleet::prepare(3, 11, &keeping(&register));
    let with_file = format!(
        "{}fence_file = \"{}\"\n",
        fleet.operators(0),
        file.display()
    );
    fleet.set_operators(0, &with_file);
    (0..3).for_each(|node| fleet.run(node));
    all_owned(&mut fleet);
    let first = acts(&mut fleet, &register, |_| true);
    let reserved = || {
        let text = std::fs::read_to_string(&file).expect("written");
        lease::decode_fence_file("n0", &text).expect("sound").0
    };
    let last = register.last().expect("one").fence;
    assert!(
        reserved() > last,
        "{first}: {last} is within what was written down"
    );
    // What it finds at its start was granted, for all that it knows, even where its clock says otherwise.
    let far = lease::FencingToken(u64::MAX / 2);
    fleet.kill(0);
    std::fs::write(&file, lease::encode_fence_file("n0", far)).expect("written");
    fleet.run(0);
    fleet.wait_for("a later number", PATIENCE, |_| {
        let last = register.last().expect("one");
        if last.fence > far.0 {
            Ok(())
        } else {
            Err(format!("{last:?}"))
        }
    });
    assert!(reserved() > register.last().expect("one").fence);
    fleet.kill(0);
    let text = lease::encode_fence_file("n1", far);
    for (wrong, why) in [
        (&text[..], "another node wrote it"),
        (&text[..40], "it is truncated"),
    ] {
        std::fs::write(&file, wrong).expect("written");
        let (config, operators) = (write_config(&fleet.config(0)), write_config(&with_file));
        let mut command = program();
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
    assert_eq!(register.wrong(), None);
}

/// The number of lines goes on where the owner before has left off: it tells all others how far it is.
#[test]
fn what_an_owner_did_its_successor_knows() {
    let (register, mut fleet) = started(4, 13);
    let owner = acts(&mut fleet, &register, |_| true);
    fleet.wait(ms(2_500));
    fleet.kill(owner);
    let before = register.last().expect("one").number;
    acts(&mut fleet, &register, |node| node != owner);
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
    assert!(fleet.node(node).figure("lease_effects") > 2);
    assert_eq!(register.wrong(), None);
}

/// Keepers end and begin again and again, then most of them stand still together: without a majority nobody acts.
#[test]
fn keepers_that_die_and_stand_still_give_nobody_twice() {
    let (register, mut fleet) = started(5, 14);
    for _ in 0..4 {
        fleet.kill(1);
        fleet.wait(ms(200));
        fleet.run(1);
        fleet.wait(ms(600));
    }
    acts(&mut fleet, &register, |_| true);
    fleet.agree_within(PATIENCE);
    fleet.stop(0);
    fleet.stop(1);
    let stopped = Instant::now();
    fleet.wait(ms(5 * LEASE_MS));
    let woken = Instant::now();
    fleet.go_on(0);
    fleet.go_on(1);
    // What had leave before was over a lease later; twice that for a busy machine.
    let lines = register.log();
    let without = lines
        .iter()
        .filter(|line| line.at > stopped + ms(2 * LEASE_MS) && line.at < woken);
    assert_eq!(without.count(), 0, "no majority, no owner");
    acts(&mut fleet, &register, |_| true);
    all_owned(&mut fleet);
    assert_eq!(register.wrong(), None);
}

#[test]
fn a_third_of_all_words_lost_makes_no_two_owners() {
    let (register, mut fleet) = started(5, 15);
    fleet.apply(&Trouble::All {
        link: Link {
            loss: 0.3,
            ..Link::default()
        },
    });
    for _ in 0..6 {
        fleet.wait(ms(1_000));
        acts(&mut fleet, &register, |_| true);
    }
    fleet.apply(&Trouble::HealAll);
    all_owned(&mut fleet);
    assert!(
        fleet.passed().done.lost > 100,
        "some were lost: {:?}",
        fleet.passed()
    );
    assert_eq!(register.wrong(), None);
}

/// All of them, keepers among them, one after the other.
#[test]
fn a_rolling_restart_goes_on_acting() {
    let (register, mut fleet) = started(5, 16);
    for node in 0..5 {
        fleet.terminate(node);
        acts(&mut fleet, &register, |by| by != node);
        fleet.run(node);
        fleet.agree_within(PATIENCE);
    }
    all_owned(&mut fleet);
    assert_eq!(register.wrong(), None);
}

/// A node is told to give all that it owns to another.
fn give_all(fleet: &Fleet, from: usize, to: usize) {
    let owned = fleet
        .owners(from)
        .into_iter()
        .enumerate()
        .filter(|(_, (_, left))| *left > 0);
    for (shard, _) in owned {
        // It may have lost one since.
        let answer = fleet.node(from).call(&format!("GIVE {shard} n{to}\n"));
        assert!(
            answer == "200 given\n" || answer.contains("is not owned here"),
            "{answer}"
        );
    }
}

/// An owner is stopped while it gives all away, and wakes up long after.
#[test]
fn an_owner_that_is_stopped_in_the_midst_of_a_hand_over_does_no_harm() {
    let (register, mut fleet) = started(5, 17);
    for round in 0..3 {
        let owner = acts(&mut fleet, &register, |_| true);
        let to = (owner + 1 + round) % 5;
        let to = if to == owner { (to + 1) % 5 } else { to };
        give_all(&fleet, owner, to);
        fleet.stop(owner);
        acts(&mut fleet, &register, |node| node != owner);
        fleet.wait(ms(2 * LEASE_MS));
        fleet.go_on(owner);
        settles(&mut fleet, &register);
    }
}

/// Cut off from one of three keepers it goes on, from two it does not.
#[test]
fn an_owner_needs_a_majority_and_no_more() {
    let (register, mut fleet) = started(5, 18);
    // Whoever acts and is no keeper.
    let mut owner = acts(&mut fleet, &register, |_| true);
    while owner < 3 {
        give_all(&fleet, owner, 4);
        owner = acts(&mut fleet, &register, |node| node != owner);
    }
    let cut = |fleet: &mut Fleet, keeper: usize| {
        fleet.apply(&Trouble::Cut {
            from: owner,
            to: keeper,
        });
        fleet.apply(&Trouble::Cut {
            from: keeper,
            to: owner,
        });
    };
    // That is the one that should have it, too: it is not moved back meanwhile.
    cut(&mut fleet, 0);
    fleet.wait(ms(3 * LEASE_MS));
    assert_eq!(
        acts(&mut fleet, &register, |_| true),
        owner,
        "two of three are enough"
    );
    cut(&mut fleet, 1);
    acts(&mut fleet, &register, |node| node != owner);
    fleet.apply(&Trouble::HealAll);
    settles(&mut fleet, &register);
}

/// A disk that cannot be written to: this keeper grants nothing new, the others go on, and it says so.
#[test]
fn a_keeper_whose_disk_fails_grants_nothing_and_says_so() {
    let register = Register::start();
    let mut fleet = Fleet::prepare(3, 19, &keeping(&register));
    let with_file = format!(
        "{}fence_file = \"/nonexistent/fences\"\n",
        fleet.operators(0)
    );
    fleet.set_operators(0, &with_file);
    (0..3).for_each(|node| fleet.run(node));
    all_owned(&mut fleet);
    fleet.wait_for("it says so", PATIENCE, |fleet| {
        says(fleet, 0, "the fence file cannot be written")
    });
    assert_eq!(fleet.node(0).figure("lease_grants"), 0);
    acts(&mut fleet, &register, |_| true);
    // Without the two others there is no majority that grants.
    fleet.kill(2);
    fleet.run(2);
    all_owned(&mut fleet);
    assert_eq!(register.wrong(), None);
}

#[test]
fn two_processes_of_one_name_never_act_both() {
    let (register, mut fleet) = started(5, 7);
    acts(&mut fleet, &register, |_| true);
    fleet.kill(4);
    fleet.rename(4, "n3");
    fleet.run(4);
    fleet.wait_for("one gives way", PATIENCE, |fleet| {
        let says = |node| {
            fleet
                .log(node)
                .iter()
                .any(|line| line.contains("takes no part any more"))
        };
        (says(3) || says(4))
            .then_some(())
            .ok_or_else(|| "neither".into())
    });
    fleet.wait(ms(3_000));
    acts(&mut fleet, &register, |_| true);
    assert_eq!(register.wrong(), None);
}

#[test]
fn leases_stay_off_where_word_between_nodes_is_not_allowed() {
    let register = Register::start();
    let keeping = format!(
        "[leases]\nkeepers = [\"n0\", \"n1\", \"n2\"]\nfleet_log = \"{}\"\n",
        register.address
    );
    let fleet = Fleet::prepare(3, 8, &keeping);
    let forbidden = fleet.config(0).replace("\"peers\":true", "\"peers\":false");
    let node = Node::start_with(&forbidden, Some(fleet.operators(0)));
    until("it says so", || {
        node.log()
            .iter()
            .any(|line| line.contains("[instances] stays off"))
    });
    assert!(node
        .call("OWNERS\n")
        .starts_with("400 this node takes no part"));
    assert!(node
        .call("GIVE 0 n1\n")
        .starts_with("400 this node takes no part"));
    std::thread::sleep(ms(1_500));
    assert_eq!(register.log(), []);
}

#[test]
fn a_section_that_makes_no_sense_is_refused_by_line_and_key() {
    let instances = "[instances]\nfleet = \"holds\"\nkey_file = \"key\"\n";
    let read = |text: &str| Operators::parse(Path::new("file"), text);
    let three = "keepers = [\"a\", \"b\", \"c\"]\n";
    let sound = read(&format!("{instances}[leases]\n{three}")).expect("sound");
    assert!(
        sound
            .summary()
            .iter()
            .any(|line| line.contains("kept by a, b, c")),
        "{:?}",
        sound.summary()
    );
    let wrong = [
        (format!("[leases]\n{three}"), "leases need [instances]"),
        (
            format!("{instances}[leases]\nkeepers = [\"a\", \"b\"]\n"),
            "there have to be 3, 5 or 7",
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
            "`set` is 2 or more",
        ),
        (
            format!("{instances}[leases]\n{three}set = 2\nbefore = [\"a\"]\n"),
            "there have to be 3, 5 or 7",
        ),
        (
            format!("{instances}[leases]\n{three}lease_ms = 5\n"),
            "300 to 10000 ms",
        ),
        (
            format!("{instances}[leases]\n{three}drift = nan\n"),
            "drift is 0 to 0.1",
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
