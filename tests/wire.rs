//! The line protocol of the simulator: batches of literal lines sent to the adapter program.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// A BOOT message for the instance `node-1`.
const BOOT: &str = r#"BOOT node=node-1 seed=7 facts={"classes": [{"deadline_ms": 800.0, "promise_ms": 400.0, "effect": "retryable", "name": "a"}], "n_instances": 1, "stats": {"fields": ["waiting", "active"], "source": "inline"}}"#;

/// Runs the adapter with this input until it exits.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_silverthread-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    // An adapter that exits early closes its input, so a failed write is not an error: the tests check its output.
    let _ = child
        .stdin
        .take()
        .expect("the standard input is piped")
        .write_all(input.as_bytes());
    child
        .wait_with_output()
        .expect("wait for the adapter to exit")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is UTF-8")
}

#[test]
fn empty_batch_is_answered() {
    let output = run_adapter("CLOCK wall_ms=1.0\nEOB\n");
    assert!(output.status.success());
    assert_eq!(text(&output.stdout), "NEXT\n");
}

#[test]
fn request_is_placed_and_its_response_ends_it() {
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.1:80\n\
         REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\nEOB\n\n\
         CLOCK wall_ms=2.0\nCALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=9.0\nENDED node=node-1 txn=5 rtt_ms=7.0 server=10.0.0.1:80 try=0 complete=1 ending=S\nEOB\n"
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    assert_eq!(
        text(&output.stdout),
        "NEXT\nPLACE node=node-1 txn=5 server=10.0.0.1:80\nNEXT\nNEXT\n"
    );
}

/// A list of two servers, and its registration at `node-1`.
const LIST: &str =
    "CENSUS roster_id=0 hosts=2\nM availability=2 block=0 units=1 type=0 site=0 server=10.0.0.1:80\n\
                    M availability=2 launched_ms=6100.0 block=0 units=1.5 type=0 site=1 server=10.0.0.2:80\n\
                    REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\n";

/// The first batch: the instance `node-1` starts and gets its list of servers.
fn start_lines() -> String {
    format!("CLOCK wall_ms=1.0\n{BOOT}\n{LIST}EOB\n\n")
}

/// Sends events of all types except `ENDED` and checks the resulting actions.
#[test]
fn all_event_types_but_ended_are_parsed_and_actions_printed() {
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
    let output = run_adapter(&input);
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
fn request_without_servers_is_rejected() {
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=3 hosts=0\nREGISTRY node=node-1 mode=2 roster_id=3 epoch=1\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n"
    );
    assert_eq!(
        text(&run_adapter(&input).stdout),
        "PUSH_BACK node=node-1 txn=5\nNEXT\n"
    );
}

/// A list number refers to the list that was last sent under it before the event, not to the last one in the batch.
#[test]
fn reused_list_number_refers_to_the_list_sent_before_the_event() {
    let second = BOOT.replace("node-1", "node-2");
    let input = format!(
        "CLOCK wall_ms=1.0\n{BOOT}\nCENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.1:80\n\
         REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\n{second}\n\
         CENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.2:80\n\
         REGISTRY node=node-2 mode=2 roster_id=0 epoch=2\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nCALL node=node-2 txn=6 grade=0 budget_ms=800.0\nEOB\n"
    );
    assert_eq!(
        text(&run_adapter(&input).stdout),
        "PLACE node=node-1 txn=5 server=10.0.0.1:80\nPLACE node=node-2 txn=6 server=10.0.0.2:80\nNEXT\n"
    );
}

/// An input of 200 steps for these instances, where `node-N` has the number N.
fn input_for(nodes: &[u32]) -> String {
    let mut input = String::from("CLOCK wall_ms=1.0\n");
    for n in nodes {
        let boot = BOOT
            .replace("node-1", &format!("node-{n}"))
            .replace("seed=7", &format!("seed={n}"));
        // The instances get the servers in different orders.
        let (first, second) = if *n == 1 { (1, 9) } else { (9, 1) };
        let lines = [
            boot,
            "CENSUS roster_id=0 hosts=2".to_owned(),
            format!("M availability=2 server=10.0.0.{first}:80"),
            format!("M availability=2 server=10.0.0.{second}:80"),
            format!("REGISTRY node=node-{n} mode=2 roster_id=0 epoch=1"),
        ];
        input += &(lines.join("\n") + "\n");
    }
    input += "EOB\n\n";
    for step in 0..200 {
        input += &batch_for(nodes, step);
    }
    input
}

/// One batch of [`input_for`]: a request for each instance, and the end of an earlier one.
fn batch_for(nodes: &[u32], step: u32) -> String {
    let mut lines = vec![format!("CLOCK wall_ms={}.0", 10 + step * 10)];
    for n in nodes {
        let txn = 1_000 * n + step;
        lines.push(format!(
            "CALL node=node-{n} txn={txn} grade=0 budget_ms=800.0"
        ));
        if step > 3 {
            let (txn, in_flight) = (txn - 3, step % 5);
            lines.push(format!(
                "ENDED node=node-{n} txn={txn} rtt_ms=30.0 server=10.0.0.1:80 try=0 complete=1 ending=S \
                 server_stats=0,{in_flight}"
            ));
        }
    }
    lines.join("\n") + "\nEOB\n\n"
}

/// The lines of an output that are actions of one instance.
fn actions_of(output: &str, node: u32) -> Vec<String> {
    let name = format!("node=node-{node} ");
    let lines = output.lines().filter(|line| line.contains(&name));
    lines.map(str::to_owned).collect()
}

/// Runs two instances in one process, then each in a process of its own: the actions of an instance must not depend on the
/// other instances in its process.
#[test]
fn instance_actions_do_not_depend_on_others_in_the_process() {
    let run = |nodes: &[u32]| text(&run_adapter(&input_for(nodes)).stdout).to_owned();
    let together = run(&[1, 2]);
    for node in [1, 2] {
        let alone = actions_of(&run(&[node]), node);
        assert!(
            alone.len() >= 200,
            "expected at least 200 actions, got {}",
            alone.len()
        );
        assert_eq!(actions_of(&together, node), alone);
    }
}

/// The error is a single line with the number of the input line and the cause.
#[test]
fn malformed_line_ends_the_adapter_with_a_one_line_error() {
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
            "CALL: `txn=five` is not an unsigned 64-bit integer",
        ),
        (
            "CALL node=node-1 txn=5 grade=0 budget_ms=soon",
            "CALL: `budget_ms=soon` is not a finite number",
        ),
        (
            "CALL node=node-1 txn=5 grade=0 budget_ms=NaN",
            "CALL: `budget_ms=NaN` is not a finite number",
        ),
        (
            "CALL node=node-1 txn",
            "CALL: `txn` is not a name=value field",
        ),
        (
            "REGISTRY node=node-1 mode=1 roster_id=4 epoch=1",
            "REGISTRY: `roster_id=4`: no server list with this number was received",
        ),
        (
            "REGISTRY node=node-1 mode=7 roster_id=0 epoch=1",
            "REGISTRY: `mode=7` is an unknown value",
        ),
        (
            "CENSUS roster_id=16 hosts=0",
            "CENSUS: `roster_id=16` is out of range",
        ),
        (
            "CENSUS roster_id=0 hosts=1\nEOB",
            "EOB: expected an entry of the server list, got `EOB`",
        ),
        (
            "ENDED node=node-1 txn=5 rtt_ms=7.0 try=0 complete=1 ending=Q",
            "ENDED: `ending=Q` is an unknown value",
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
        let input = format!("{}CLOCK wall_ms=2.0\n{line}\nEOB\n", start_lines());
        let number = start_lines().lines().count() + 1 + line.lines().count();
        let output = run_adapter(&input);
        let error = text(&output.stderr);
        assert!(!output.status.success(), "{line}");
        assert_eq!(text(&output.stdout), "NEXT\n", "{line}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(
            error.contains(message) && error.contains(&format!("line {number}:")),
            "{line}: {error}"
        );
    }
}

#[test]
fn unknown_keys_and_messages_are_ignored() {
    let input = format!(
        "{}CLOCK wall_ms=2.0 mood=fine\nWEATHER node=node-1 sky=blue\nWEATHER node=node-1 sky=grey\n\
         CALL node=node-1 txn=5 grade=0 budget_ms=800.0 colour=red\nEOB\n",
        start_lines()
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    assert!(text(&output.stdout).starts_with("NEXT\nPLACE node=node-1 txn=5 server="));
    assert_eq!(
        text(&output.stderr).lines().count(),
        1,
        "each unknown message type is reported once"
    );
}

#[test]
fn end_of_input_within_a_batch_is_a_clean_exit() {
    let output = run_adapter(&format!(
        "{}CLOCK wall_ms=2.0\nCALL node=node-1 txn=5 grade=0 budget_ms=800.0\n",
        start_lines()
    ));
    assert!(output.status.success());
    assert_eq!(
        text(&output.stdout),
        "NEXT\n",
        "an unfinished batch gets no response"
    );
}

/// A missing setting has its most restrictive default; an unknown one is ignored.
#[test]
fn missing_and_unknown_settings_have_restrictive_defaults() {
    let boot = r#"BOOT node=node-1 seed=7 facts={"classes": [{"deadline_ms": 800.0, "tone": 3}], "news": {"a": []}}"#;
    let input = format!(
        "CLOCK wall_ms=1.0\n{boot}\n{LIST}CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=9.0\nENDED node=node-1 txn=5 rtt_ms=7.0 try=0 complete=0 ending=E\nEOB\n"
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    let expected_end = "REPORT_FAILURE node=node-1 txn=5\nNEXT\n";
    assert!(
        text(&output.stdout).ends_with(expected_end),
        "{}",
        text(&output.stdout)
    );
}

/// Where the settings allow probes and cancellation, a request waits for the load reports of the probed servers, and an
/// overdue attempt at a server that reports no requests is cancelled and the idle connections to that server are
/// closed.
#[test]
fn health_checks_and_closed_connections_are_printed() {
    let boot = BOOT.replace(
        "\"n_instances\"",
        "\"allowed\": {\"probes\": true, \"cancel\": true}, \"n_instances\"",
    );
    let one_server = "CENSUS roster_id=0 hosts=1\nM availability=2 server=10.0.0.1:80\n\
               REGISTRY node=node-1 mode=2 roster_id=0 epoch=1\n";
    let health = "HEALTH node=node-1 rtt_ms=1.0 ending=S server=10.0.0.1:80 server_stats=0,0\n";
    let input = format!(
        "CLOCK wall_ms=1.0\n{boot}\n{one_server}CALL node=node-1 txn=5 grade=0 budget_ms=800.0\nEOB\n\n\
         CLOCK wall_ms=2.0\n{health}EOB\n\n\
         CLOCK wall_ms=42.0\nENDED node=node-1 txn=5 rtt_ms=40.0 server=10.0.0.1:80 try=0 complete=1 ending=S\n\
         CALL node=node-1 txn=6 grade=0 budget_ms=800.0\nEOB\n\nCLOCK wall_ms=43.0\n{health}EOB\n\n\
         CLOCK wall_ms=143.0\nFIRED node=node-1 nonce={}\nEOB\n\nCLOCK wall_ms=144.0\n{health}EOB\n",
        (6 << 3) | 4
    );
    let output = run_adapter(&input);
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

/// Golden test: the input has every message type, the output every one except `INTERNAL_ERROR`, which only a panic of the
/// program causes. The output was recorded from the adapter and must stay the same, byte for byte.
#[test]
fn recorded_input_gives_the_recorded_output() {
    let output = run_adapter(include_str!("golden/simulator-input.txt"));
    assert!(output.status.success());
    let recorded = include_str!("golden/simulator-output.txt");
    for message_type in [
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
        let is_recorded = recorded
            .lines()
            .any(|line| line.split(' ').next() == Some(message_type));
        assert!(is_recorded, "the recorded output contains {message_type}");
    }
    assert_eq!(text(&output.stdout), recorded);
}
