//! Round trips through the binary on literal batches.

#![allow(
    clippy::format_push_string,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = r#"BOOT node=node-1 seed=7 facts={"classes": [{"deadline_ms": 800.0, "promise_ms": 400.0, "effect": "retryable", "name": "a"}], "n_instances": 1, "stats": {"fields": ["waiting", "active"], "source": "inline"}}"#;

fn benchlink(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_silverthread-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    // An adapter that stops early closes its input; what it said before that is what is tested.
    let _ = child
        .stdin
        .take()
        .expect("piped")
        .write_all(input.as_bytes());
    child.wait_with_output().expect("the binary ends")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

#[test]
fn an_empty_batch_is_answered() {
    let output = benchlink("CLOCK wall_ms=1.0\nEOB\n");
    assert!(output.status.success());
    assert_eq!(text(&output.stdout), "NEXT\n");
}

#[test]
fn a_request_is_sent_and_its_answer_ends_it() {
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.1:80\n\
         REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\nEOB\n\n\
         CLOCK wall_ms=2.0\nCALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=9.0\nENDED node=node-1 txn=5 rtt_ms=7.0 server=10.0.0.1:80 try=0 complete=1 ending=S\nEOB\n"
    );
    let output = benchlink(&input);
    assert!(output.status.success());
    assert_eq!(
        text(&output.stdout),
        "NEXT\nPLACE node=node-1 txn=5 server=10.0.0.1:80\nNEXT\nNEXT\n"
    );
}

const LIST: &str =
    "CENSUS roster_id=0 hosts=2\nM availability=2 block=0 units=1 type=0 site=0 server=10.0.0.1:80\n\
                    M availability=2 launched_ms=6100.0 block=0 units=1.5 type=0 site=1 server=10.0.0.2:80\n\
                    REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\n";

fn started() -> String {
    format!("CLOCK wall_ms=1.0\n{BOOT}\n{LIST}EOB\n\n")
}

/// Every event in one day, and the actions they lead to.
#[test]
fn every_event_is_read_and_every_action_printed() {
    let boot = BOOT.replace(
        "\"n_instances\"",
        "\"discovery\": \"subscribe\", \"n_instances\"",
    );
    let input = format!(
        "CLOCK wall_ms=1.0\n{boot}\n{LIST}EOB\n\n\
         CLOCK wall_ms=2.0\nREGISTRY node=node-1 mode=3 roster_id=0 epoch=1\nFIRED node=node-1 nonce=other\n\
         HEALTH node=node-1 rtt_ms=1.0 ending=S server=10.0.0.1:80 server_stats=1,2\n\
         FROM_PEER node=node-1 neighbour=2 payload=00\nEOB\n\n\
         CLOCK wall_ms=2000.0\nFIRED node=node-1 nonce=0\n\
         CALL node=node-1 txn=5 grade=0 party=0 item=k:a budget_ms=800.0 cost_ms=12.0 marks=1\n\
         CALL node=node-1 txn=6 grade=0 budget_ms=800.0\nCALL node=node-1 txn=7 grade=9 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=2010.0\nACK_FIRST node=node-1 txn=5 try=0 server=10.0.0.1:80 rtt_ms=10.0\n\
         HANGUP node=node-1 txn=6\nTEARDOWN node=node-1\nEOB\n"
    );
    let output = benchlink(&input);
    assert!(output.status.success());
    let replies: Vec<&str> = text(&output.stdout).split("NEXT\n").collect();
    assert_eq!(replies[0], "TRACK node=node-1 want=1\n");
    let second: Vec<&str> = replies[1].lines().collect();
    assert_eq!(
        second[0],
        "NOTE_DOWN node=node-1 note_text=the list of servers does not come"
    );
    assert!(
        second[1].starts_with("SCHEDULE node=node-1 nonce=0 offset_ms="),
        "{}",
        second[1]
    );
    let third: Vec<&str> = replies[2].lines().collect();
    assert_eq!(third[0], "TRACK node=node-1 want=1");
    assert!(
        third[1].starts_with("PLACE node=node-1 txn=5 server=10.0.0."),
        "{}",
        third[1]
    );
    assert!(
        third[2].starts_with("PLACE node=node-1 txn=6 server=10.0.0."),
        "{}",
        third[2]
    );
    assert_eq!(third[3], "REPORT_FAILURE node=node-1 txn=7");
    assert_eq!(replies[3], "STOP_ATTEMPT node=node-1 txn=6 try=0\n");
}

#[test]
fn without_servers_a_request_is_pushed_back() {
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=3 hosts=0\nREGISTRY node=node-1 mode=2 roster_id=3 epoch=1\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n"
    );
    assert_eq!(
        text(&benchlink(&input).stdout),
        "PUSH_BACK node=node-1 txn=5\nNEXT\n"
    );
}

/// A list number is resolved where the event stands, not where the batch ends.
#[test]
fn list_numbers_are_reused_within_a_batch() {
    let second = BOOT.replace("node-1", "node-2");
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.1:80\n\
         REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\n{second}\n\
         CENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.2:80\n\
         REGISTRY node=node-2 mode=2 roster_id=0 epoch=2\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nCALL node=node-2 txn=6 grade=0 budget_ms=800.0\nEOB\n"
    );
    assert_eq!(
        text(&benchlink(&input).stdout),
        "PLACE node=node-1 txn=5 server=10.0.0.1:80\nPLACE node=node-2 txn=6 server=10.0.0.2:80\nNEXT\n"
    );
}

/// A day of two instances, and each alone: what one does must not depend on who shares its process.
#[test]
fn instances_act_alike_together_and_apart() {
    let day = |nodes: &[u32]| {
        let mut input = String::from("CLOCK wall_ms=1.0\n");
        for n in nodes {
            input += &BOOT
                .replace("node-1", &format!("node-{n}"))
                .replace("seed=7", &format!("seed={n}"));
            // The instances come to know the servers in orders of their own.
            let (first, second) = if *n == 1 { (1, 9) } else { (9, 1) };
            input += &format!(
                "\nCENSUS roster_id=0 hosts=2\nM availability=2 server=10.0.0.{first}:80\n\
                 M availability=2 server=10.0.0.{second}:80\nREGISTRY node=node-{n} mode=2 roster_id=0 epoch=1\n"
            );
        }
        input += "EOB\n\n";
        for t in 0..200 {
            input += &format!("CLOCK wall_ms={}.0\n", 10 + t * 10);
            for n in nodes {
                let txn = 1_000 * n + t;
                input += &format!("CALL node=node-{n} txn={txn} grade=0 budget_ms=800.0\n");
                if t > 3 {
                    let (txn, held) = (txn - 3, t % 5);
                    input += &format!(
                        "ENDED node=node-{n} txn={txn} rtt_ms=30.0 server=10.0.0.1:80 try=0 complete=1 ending=S \
                         server_stats=0,{held}\n"
                    );
                }
            }
            input += "EOB\n\n";
        }
        text(&benchlink(&input).stdout).to_owned()
    };
    let of = |all: &str, n: u32| -> Vec<String> {
        let name = format!("node=node-{n} ");
        all.lines()
            .filter(|l| l.contains(&name))
            .map(str::to_owned)
            .collect()
    };
    let together = day(&[1, 2]);
    for n in [1, 2] {
        let apart = of(&day(&[n]), n);
        assert!(apart.len() >= 200, "{} actions", apart.len());
        assert_eq!(of(&together, n), apart);
    }
}

/// What is malformed ends the adapter with one plain line that says where and what.
#[test]
fn malformed_input_ends_it_with_one_line() {
    let cases = [
        (
            "CALL node=node-1 grade=0 budget_ms=800.0",
            "CALL: `txn` is missing",
        ),
        (
            "CALL node=node-1 txn=5 grade=0",
            "CALL: `budget_ms` is missing",
        ),
        (
            "CALL node=node-1 txn=five grade=0 budget_ms=800.0",
            "CALL: `txn=five` is no whole number",
        ),
        (
            "CALL node=node-1 txn=5 grade=0 budget_ms=soon",
            "CALL: `budget_ms=soon` is no number",
        ),
        (
            "CALL node=node-1 txn=5 grade=0 budget_ms=NaN",
            "CALL: `budget_ms=NaN` is no number",
        ),
        ("CALL node=node-1 txn", "CALL: `txn` is no name=value pair"),
        (
            "REGISTRY node=node-1 mode=1 roster_id=4 epoch=1",
            "REGISTRY: `roster_id=4` is no list",
        ),
        (
            "REGISTRY node=node-1 mode=7 roster_id=0 epoch=1",
            "REGISTRY: `mode=7` is unknown",
        ),
        (
            "CENSUS roster_id=16 hosts=0",
            "CENSUS: `roster_id=16` is out of range",
        ),
        (
            "CENSUS roster_id=0 hosts=1\nEOB",
            "EOB: `EOB` where an entry of the list was due",
        ),
        (
            "ENDED node=node-1 txn=5 rtt_ms=7.0 try=0 complete=1 ending=Q",
            "ENDED: `ending=Q` is unknown",
        ),
        (
            "BOOT node=node-2 seed=1 facts={\"classes\": []}",
            "BOOT: setting `classes`",
        ),
        (
            "BOOT node=node-2 seed=1 facts={\"classes\": [{}]}",
            "BOOT: `facts`: a class has no `deadline_ms`",
        ),
        ("BOOT node=node-2 seed=1 facts={", "BOOT: `facts`:"),
        ("CLOCK", "CLOCK: `wall_ms` is missing"),
    ];
    for (line, message) in cases {
        let input = format!("{}CLOCK wall_ms=2.0\n{line}\nEOB\n", started());
        let number = started().lines().count() + 1 + line.lines().count();
        let output = benchlink(&input);
        let said = text(&output.stderr);
        assert!(!output.status.success(), "{line}");
        assert_eq!(text(&output.stdout), "NEXT\n", "{line}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(
            said.contains(message) && said.contains(&format!("line {number}:")),
            "{line}: {said}"
        );
    }
}

#[test]
fn unknown_keys_and_messages_are_passed_over() {
    let input = format!(
        "{}CLOCK wall_ms=2.0 mood=fine\nWEATHER node=node-1 sky=blue\nWEATHER node=node-1 sky=grey\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0 colour=red\nEOB\n",
        started()
    );
    let output = benchlink(&input);
    assert!(output.status.success());
    assert!(text(&output.stdout).starts_with("NEXT\nPLACE node=node-1 txn=5 server="));
    assert_eq!(
        text(&output.stderr).lines().count(),
        1,
        "one note on a kind of message"
    );
}

#[test]
fn the_end_of_input_within_a_batch_is_a_clean_exit() {
    let output = benchlink(&format!(
        "{}CLOCK wall_ms=2.0\nCALL node=node-1 txn=5 grade=0 budget_ms=800.0\n",
        started()
    ));
    assert!(output.status.success());
    assert_eq!(
        text(&output.stdout),
        "NEXT\n",
        "nothing is answered for an unfinished batch"
    );
}

/// Settings that are missing keep a default that allows least; those not known are passed over.
#[test]
fn settings_may_be_missing_or_unknown() {
    let boot = r#"BOOT node=node-1 seed=7 facts={"classes": [{"deadline_ms": 800.0, "tone": 3}], "news": {"a": []}}"#;
    let input = format!(
        "CLOCK wall_ms=1.0\n{boot}\n{LIST}CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=9.0\nENDED node=node-1 txn=5 rtt_ms=7.0 try=0 complete=0 ending=E\nEOB\n"
    );
    let output = benchlink(&input);
    assert!(output.status.success());
    let failed = "REPORT_FAILURE node=node-1 txn=5\nNEXT\n";
    assert!(
        text(&output.stdout).ends_with(failed),
        "{}",
        text(&output.stdout)
    );
}

/// Where servers may be probed at no price, a request is held until its probes are answered, and an overdue
/// attempt whose server holds nothing is cancelled and its idle connections closed.
#[test]
fn probes_and_closes_are_printed() {
    let boot = BOOT.replace(
        "\"n_instances\"",
        "\"allowed\": {\"probes\": true, \"cancel\": true}, \"n_instances\"",
    );
    let one = "CENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.1:80\n\
               REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\n";
    let health = "HEALTH node=node-1 rtt_ms=1.0 ending=S server=10.0.0.1:80 server_stats=0,0\n";
    let input = format!(
        "CLOCK wall_ms=1.0\n{boot}\n{one}CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=2.0\n{health}EOB\n\n\
         CLOCK wall_ms=42.0\nENDED node=node-1 txn=5 rtt_ms=40.0 server=10.0.0.1:80 try=0 complete=1 ending=S\n\
         CALL node=node-1 txn=6 grade=0 budget_ms=800.0\nEOB\n\nCLOCK wall_ms=43.0\n{health}EOB\n\n\
         CLOCK wall_ms=143.0\nFIRED node=node-1 nonce={}\nEOB\n\nCLOCK wall_ms=144.0\n{health}EOB\n",
        (6 << 3) | 4
    );
    let output = benchlink(&input);
    let replies: Vec<&str> = text(&output.stdout).split("NEXT\n").collect();
    assert!(
        replies[0].starts_with("SOUND_OUT node=node-1 server=10.0.0.1:80\nSCHEDULE "),
        "{}",
        replies[0]
    );
    assert!(
        replies[1].starts_with("PLACE node=node-1 txn=5 server=10.0.0.1:80\n"),
        "{}",
        replies[1]
    );
    assert_eq!(replies[4], "SOUND_OUT node=node-1 server=10.0.0.1:80\n");
    assert_eq!(
        replies[5],
        "STOP_ATTEMPT node=node-1 txn=6 try=0\nCLOSE node=node-1 server=10.0.0.1:80\n"
    );
}

/// Golden: a transcript with every kind of line in and, but for `INTERNAL_ERROR` which only a fault of the program leads
/// to, every kind of line out. The reply was recorded from the adapter and stays as it is, byte for byte.
#[test]
fn recorded_transcript_gives_the_recorded_reply() {
    let output = benchlink(include_str!("golden/simulator-input.txt"));
    assert!(output.status.success());
    let recorded = include_str!("golden/simulator-output.txt");
    for kind in [
        "NEXT",
        "PLACE",
        "SOUND_OUT",
        "CLOSE",
        "STOP_ATTEMPT",
        "PUSH_BACK",
        "REPORT_FAILURE",
        "TRACK",
        "SCHEDULE",
        "NOTE_DOWN",
    ] {
        let recorded_once = recorded
            .lines()
            .any(|line| line.split(' ').next() == Some(kind));
        assert!(recorded_once, "{kind} is not in the recorded reply");
    }
    assert_eq!(text(&output.stdout), recorded);
}
