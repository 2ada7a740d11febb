//! Golden tests of what operators and their scripts depend on: the admin protocol, the command line's output and exit
//! codes, and the operators' file. Values that vary from run to run are masked.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::process::Output;
use std::thread;

use silverthread::node::admin::config_file::OperatorConfig;
use testkit::{
    config, endpoint_list, program_command, settings, write_temp_file, Discovery, Fleet, Node,
};

/// An operators' file with every key; each value differs from the key's default and from the values of other keys.
const FILE_WITH_EVERY_KEY: &str = include_str!("operators/every_key.toml");

/// Membership, lease and outlier-detection sections with short timings.
const CLUSTER: &str =
    "probe_ms = 200\nsuspect_ms = 1000\n[leases]\nkeepers = [\"n0\", \"n1\", \"n2\"]\n\
    shards = 2\n[word]\n";

/// The response to STATS of a node without a cluster and without requests.
const STATS_WITHOUT_CLUSTER: &str = "edge_router.served.read:0|c\n\
     edge_router.refused.read:0|c\n\
     edge_router.failed.read:0|c\n\
     edge_router.attempts.read:0|c\n\
     edge_router.served.hold:0|c\n\
     edge_router.refused.hold:0|c\n\
     edge_router.failed.hold:0|c\n\
     edge_router.attempts.hold:0|c\n\
     edge_router.served.pay:0|c\n\
     edge_router.refused.pay:0|c\n\
     edge_router.failed.pay:0|c\n\
     edge_router.attempts.pay:0|c\n\
     edge_router.in_flight:0|g\n\
     edge_router.servers_known:0|g\n\
     edge_router.servers_excluded:0|g\n\
     EOF\n";

/// The metrics of attempts and connections, which follow all others in the response to STATS, with their values masked.
const UPSTREAM_STATS: &str = "edge_router.attempts_ended.served:#|c\n\
     edge_router.attempts_ended.client_error:#|c\n\
     edge_router.attempts_ended.error:#|c\n\
     edge_router.attempts_ended.declined:#|c\n\
     edge_router.attempts_ended.timed_out:#|c\n\
     edge_router.attempts_ended.unreachable:#|c\n\
     edge_router.attempts_ended.reset:#|c\n\
     edge_router.attempts_ended.malformed:#|c\n\
     edge_router.attempts_ended.cancelled:#|c\n\
     edge_router.attempts_ended.not_sent:#|c\n\
     edge_router.retries:#|c\n\
     edge_router.server_connections:#|c\n\
     edge_router.unsolicited_bytes:#|c\n\
     EOF\n";

/// Splits a response to STATS at the metrics of attempts, which were added after the others were recorded; returns the
/// response without them, and them.
fn split_upstream_stats(stats: &str) -> (String, String) {
    let start = stats
        .find("edge_router.attempts_ended")
        .expect("the response has metrics of attempts");
    let (recorded, upstream) = stats.split_at(start);
    (format!("{recorded}EOF\n"), upstream.to_owned())
}

/// The metrics that a node of a cluster adds to the response to STATS, with their values masked.
const CLUSTER_STATS: &str = "edge_router.fleet_members.alive:#|g\n\
     edge_router.fleet_members.suspect:#|g\n\
     edge_router.fleet_members.gone:#|g\n\
     edge_router.fleet_members.left:#|g\n\
     edge_router.fleet_health:#|g\n\
     edge_router.fleet_verdicts:#|c\n\
     edge_router.fleet_refutations:#|c\n\
     edge_router.fleet_datagrams_in:#|c\n\
     edge_router.fleet_bytes_in:#|c\n\
     edge_router.fleet_datagrams_out:#|c\n\
     edge_router.fleet_bytes_out:#|c\n\
     edge_router.fleet_refused.malformed:#|c\n\
     edge_router.fleet_refused.version:#|c\n\
     edge_router.fleet_refused.fleet:#|c\n\
     edge_router.fleet_refused.seal:#|c\n\
     edge_router.fleet_refused.replayed:#|c\n\
     edge_router.fleet_refused.other_life:#|c\n\
     edge_router.fleet_refused.stranger:#|c\n\
     edge_router.fleet_refused.flood:#|c\n\
     edge_router.fleet_refused.full:#|c\n\
     edge_router.lease_owned:#|g\n\
     edge_router.lease_won:#|c\n\
     edge_router.lease_unheard:#|c\n\
     edge_router.lease_given:#|c\n\
     edge_router.lease_grants:#|c\n\
     edge_router.lease_refusals:#|c\n\
     edge_router.lease_effects:#|c\n\
     edge_router.lease_stale:#|c\n\
     edge_router.lease_malformed:#|c\n\
     edge_router.lease_words_out:#|c\n\
     edge_router.lease_bytes_out:#|c\n\
     edge_router.word_spared:#|g\n\
     edge_router.word_told:#|c\n\
     edge_router.word_heard:#|c\n\
     edge_router.word_unknown:#|c\n\
     edge_router.word_void:#|c\n\
     edge_router.word_suspected:#|c\n\
     edge_router.word_panics:#|c\n\
     EOF\n";

/// Starts a node with an admin address and no servers.
fn node_with_admin_address() -> (Node, Discovery) {
    let discovery = Discovery::start();
    let text = config(
        discovery.address,
        &endpoint_list(1, true, &[]),
        &settings(60_000),
    );
    let text = text.replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"");
    (Node::start(&text), discovery)
}

/// Starts a fake node that answers one command with this text; returns its address and a handle to the received command.
fn fake_node(response: &str) -> (String, thread::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener
        .local_addr()
        .expect("read the bound address")
        .to_string();
    let response = response.to_owned();
    let request = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("accept the client");
        let mut request = [0; 64];
        let length = stream.read(&mut request).expect("read the command");
        stream
            .write_all(response.as_bytes())
            .expect("send the response");
        String::from_utf8_lossy(&request[..length]).into_owned()
    });
    (address, request)
}

/// Runs a subcommand against a fake node that answers with `response`; returns the command that the node received and the
/// output of the program.
fn run_against(response: &str, subcommand: &str, options: &[&str]) -> (String, Output) {
    let (address, request) = fake_node(response);
    let output = program_command()
        .args([subcommand, "--at", &address])
        .args(options)
        .output()
        .expect("run the program");
    (
        request.join().expect("the fake node received a command"),
        output,
    )
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).expect("the output is UTF-8")
}

/// Replaces each run of digits by `#`.
fn mask_numbers(text: &str) -> String {
    let mut masked = String::new();
    for character in text.chars() {
        if !character.is_ascii_digit() {
            masked.push(character);
        } else if !masked.ends_with('#') {
            masked.push('#');
        }
    }
    masked
}

#[test]
fn admin_commands_without_cluster_give_recorded_bytes() {
    let (node, _discovery) = node_with_admin_address();
    for (command, response) in [
        ("READY\n", "200 ready\n"),
        ("DRAIN\n", "200 draining\n"),
        ("DRAIN\n", "200 draining\n"),
        ("UNDRAIN\r\n", "200 serving\n"),
        ("MEMBERS\n", "400 this node looks for no others\n"),
        ("OWNERS\n", "400 this node takes no part in leases\n"),
        ("HINTS\n", "400 this node takes no word of servers\n"),
        ("GIVE 1 n1\n", "400 this node takes no part in leases\n"),
        (
            "GIVE 1\n",
            "400 GIVE takes the number of a shard and the name of a node\n",
        ),
        (
            "HELP\n",
            "400 unknown call: READY, STATS, DRAIN, UNDRAIN, MEMBERS, OWNERS and GIVE are known\n",
        ),
        (
            &format!("{}\n", "x".repeat(128)),
            "400 a call has 128 bytes at the most\n",
        ),
    ] {
        assert_eq!(node.admin_command(command), response, "{command}");
    }
    let (recorded, upstream) = split_upstream_stats(&node.admin_command("STATS\n"));
    assert_eq!(recorded, STATS_WITHOUT_CLUSTER);
    assert_eq!(upstream, UPSTREAM_STATS.replace('#', "0"));
}

#[test]
fn admin_commands_in_a_cluster_give_recorded_forms() {
    let mut fleet = Fleet::start(3, 11, CLUSTER);
    fleet.agree_within(std::time::Duration::from_secs(60));
    let node = fleet.node(0);
    testkit::wait_until("a shard is owned", || {
        node.admin_command("OWNERS\n").contains("\n0 n")
    });
    assert_eq!(
        mask_numbers(&node.admin_command("MEMBERS\n")),
        "self n# well # alive\nn# alive # # # #.#.#.#:#\nn# alive # # # #.#.#.#:#\nEOF\n"
    );
    let owners = mask_numbers(&node.admin_command("OWNERS\n"));
    let unowned = "# - # # #\n";
    let owned = "# n# # # #\n";
    assert_eq!(
        owners.replace(unowned, owned),
        format!("self n# grants #\n{owned}{owned}EOF\n")
    );
    assert_eq!(node.admin_command("HINTS\n"), "self n0 0\nEOF\n");
    assert_eq!(
        node.admin_command("GIVE 200 n1\n"),
        "400 shard 200 is not owned here\n"
    );
    let (recorded, upstream) = split_upstream_stats(&node.admin_command("STATS\n"));
    assert_eq!(mask_numbers(&upstream), UPSTREAM_STATS);
    let stats = mask_numbers(&recorded);
    let cluster_stats = stats.split_once("servers_excluded:#|g\n");
    assert_eq!(cluster_stats.map(|(_, rest)| rest), Some(CLUSTER_STATS));
    testkit::wait_until("an owner transfers its shard", || {
        (0..3).any(|owner| {
            let receiver = (owner + 1) % 3;
            fleet
                .node(owner)
                .admin_command(&format!("GIVE 0 n{receiver}\n"))
                == "200 given\n"
        })
    });
}

#[test]
fn members_command_prints_recorded_table_and_json() {
    let response = "self n0 healthy 17 alive\nn1 alive 3 12 40 127.0.0.1:7946\n\
        n-22 suspect 4 1200 - 127.0.0.1:7947\nEOF\n";
    let (request, output) = run_against(response, "members", &[]);
    assert_eq!(
        (request.as_str(), output.status.code()),
        ("MEMBERS\n", Some(0))
    );
    assert_eq!(
        stdout(&output),
        "n0 is healthy, incarnation 17\n\
     name  state    incarnation  since_ms  heard_ms  address\n\
     n1    alive    3            12        40        127.0.0.1:7946\n\
     n-22  suspect  4            1200      -         127.0.0.1:7947\n"
    );
    let (_, output) = run_against(response, "members", &["--json"]);
    assert_eq!(
        stdout(&output),
        concat!(
            r#"{"members":[{"address":"127.0.0.1:7946","heard_ms":40,"incarnation":3,"name":"n1","since_ms":12,"state":"alive"},"#,
            r#"{"address":"127.0.0.1:7947","heard_ms":null,"incarnation":4,"name":"n-22","since_ms":1200,"state":"suspect"}],"#,
            r#""self":{"health":"healthy","incarnation":17,"name":"n0"}}"#,
            "\n"
        )
    );
}

#[test]
fn owners_command_prints_recorded_table_and_json() {
    let response = "self n0 yes 2\n0 n1 77 1500 20\n1 - 0 - -\nEOF\n";
    let (request, output) = run_against(response, "owners", &[]);
    assert_eq!(
        (request.as_str(), output.status.code()),
        ("OWNERS\n", Some(0))
    );
    assert_eq!(
        stdout(&output),
        "n0: acceptor: yes, set 2\n\
     shard  owner  fence  left_ms  since_ms\n\
     0      n1     77     1500     20\n\
     1      -      0      -        -\n"
    );
    let (_, output) = run_against(response, "owners", &["--json"]);
    assert_eq!(
        stdout(&output),
        concat!(
            r#"{"self":{"keeper":"yes","name":"n0","set":2},"shards":[{"fence":77,"left_ms":1500,"owner":"n1","shard":0,"since_ms":20},"#,
            r#"{"fence":0,"left_ms":null,"owner":null,"shard":1,"since_ms":null}]}"#,
            "\n"
        )
    );
}

#[test]
fn hints_command_prints_recorded_table_and_json() {
    let response = "self n0 1\ns-3 unreachable 4 1500 0.05\nEOF\n";
    let (request, output) = run_against(response, "hints", &[]);
    assert_eq!(
        (request.as_str(), output.status.code()),
        ("HINTS\n", Some(0))
    );
    assert_eq!(
        stdout(&output),
        "n0: 1 servers are reported as outliers\n\
     server  kind         reporters  age_ms  weight\n\
     s-3     unreachable  4          1500    0.05\n"
    );
    let (_, output) = run_against(response, "hints", &["--json"]);
    assert_eq!(
        stdout(&output),
        concat!(
            r#"{"hints":[{"age_ms":1500,"kind":"unreachable","reporters":4,"server":"s-3","weight":"0.05"}],"#,
            r#""self":{"count":1,"name":"n0"}}"#,
            "\n"
        )
    );
}

#[test]
fn command_with_invalid_or_no_response_exits_with_1() {
    for response in [
        "400 this node looks for no others\n",
        "",
        "self n0 healthy 17 alive\n",
        "EOF\n",
        "n0 healthy 17 alive\nEOF\n",
        "self n0\nEOF\n",
        "self n0 healthy 17 alive\nn1 alive\nEOF\n",
    ] {
        let (_, output) = run_against(response, "members", &[]);
        assert_eq!(output.status.code(), Some(1), "{response:?}");
        assert!(
            output.stdout.is_empty(),
            "nothing is printed for {response:?}"
        );
        let error_lines = String::from_utf8_lossy(&output.stderr).lines().count();
        assert_eq!(error_lines, 1, "{response:?}");
    }
    let closed = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = closed
        .local_addr()
        .expect("read the bound address")
        .to_string();
    drop(closed);
    let output = program_command().args(["hints", "--at", &address]).output();
    let output = output.expect("run the program");
    assert_eq!(output.status.code(), Some(1), "the port is closed");
}

#[test]
fn node_with_missing_settings_exits_with_recorded_codes() {
    let output = program_command().output().expect("run the program");
    assert_eq!(output.status.code(), Some(1), "ROUTER_CONFIG is not set");
    let fleet = Fleet::prepare(1, 12, "probe_ms = 200\nsuspect_ms = 1000\n");
    let without_peers = fleet
        .config(0)
        .replace("\"peer_listen\"", "\"peer_listen_\"");
    let files = [without_peers.as_str(), fleet.operators_file(0)].map(write_temp_file);
    let output = program_command()
        .env("ROUTER_CONFIG", &files[0])
        .arg("--config")
        .arg(&files[1])
        .output()
        .expect("run the program");
    for file in files {
        std::fs::remove_file(file).expect("remove the temporary file");
    }
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{error}");
    assert!(
        error.contains("`listen`"),
        "the error names the key `listen`: {error}"
    );
}

/// Identifiers in `Debug` output that are values (keywords and enum variants) rather than type or field names.
const VALUE_NAMES: [&str; 10] = [
    "true",
    "false",
    "None",
    "Catalog",
    "Health",
    "Stale",
    "Consistent",
    "Ready",
    "Draining",
    "Gone",
];

/// Numbers, strings, booleans and enum variants in `Debug` output, in order. They stay the same when types and fields are
/// renamed.
fn literals(debug: &str) -> Vec<String> {
    let mut literals = Vec::new();
    let mut rest = debug;
    while let Some(first) = rest.chars().next() {
        let length = if first == '"' {
            rest[1..]
                .find('"')
                .expect("a string in `Debug` output has a closing quote")
                + 2
        } else if first.is_ascii_alphanumeric() || "_.:-".contains(first) {
            rest.find(|c: char| !c.is_ascii_alphanumeric() && !"_.:-".contains(c))
                .unwrap_or(rest.len())
        } else {
            rest = &rest[first.len_utf8()..];
            continue;
        };
        let (token, after) = rest.split_at(length);
        let is_literal = token.starts_with(['"', '1', '2', '3', '4', '5', '6', '7', '8', '9', '0'])
            || VALUE_NAMES.contains(&token);
        if is_literal {
            literals.push(token.to_owned());
        }
        rest = after;
    }
    literals
}

#[test]
fn operators_file_with_every_key_has_recorded_values() {
    let parsed =
        OperatorConfig::parse(Path::new("file"), FILE_WITH_EVERY_KEY).expect("the file is valid");
    let parsed = literals(&format!("{parsed:?}")).join(" ");
    let expected = concat!(
        r#""roster" true 0.41 11000.0 false 31000.0 false None "dc2" true 0.53 12000.0 true 33000.0 true "#,
        r#"63000.0 3000.0 64000.0 66000.0 127.0.0.1:8510 "/run/secrets/token" Catalog "stays" "dc3" "ns" "#,
        r#""part" "tag-a" "tag-b" "Service.Meta.stage == live" Stale 61 "server-id" "lan" "lan_ipv6" "#,
        r#"Draining Gone Draining Gone "leaves" Draining "state" "leaving" Gone "zone" "kind" "cell-" "#,
        r#""weight" "started" 2 6000.0 102.0 "by-address" false 0.5 10000.0 true 30000.0 true 60000.0 None "#,
        r#"127.0.0.1:8512 None Health "by-address" None None None None Consistent 60 None Ready Ready Gone "#,
        r#"Draining None None None None None 1 5000.0 100.0 "holds-9" "/run/holds-9.sock" 13 "local" "#,
        r#"2001:db8::9 100 None true 385 257 101.0 true "n7" 127.0.0.1:7956 127.0.0.1:7957 127.0.0.1:7958 "#,
        r#""stays" "/run/secrets/other" 202 501.0 2503.0 "k0" "k1" "k2" 5 "k3" "k4" "k5" 65 2504.0 0.02 "#,
        r#""/var/lib/other/fences" 127.0.0.1:7960 1001.0 10001.0 4 0.52 0.06 0.32 "#
    );
    assert_eq!(parsed, expected.trim_end());
}

#[test]
fn operators_file_with_every_key_has_recorded_summary() {
    let parsed =
        OperatorConfig::parse(Path::new("file"), FILE_WITH_EVERY_KEY).expect("the file is valid");
    assert_eq!(
        parsed.summary(),
        [
            "consul \"dc2\": service \"stays\", 2 agent(s), can add servers",
            "consul \"by-address\": service \"by-address\", 1 agent(s), cannot add servers",
            "2 address(es) of 1 server(s)",
            "cluster \"stays\": 2 peer(s), probed every 501 ms",
            "leases of 65 shards, granted by acceptors k0, k1, k2 (set 5), 2504 ms long",
            "outlier detection: at least 4 nodes must report a server, reports sent every 1001 ms"
        ]
    );
    assert!(OperatorConfig::default().summary().is_empty());
    let empty = write_temp_file("");
    let output = program_command().arg("check").arg(&empty).output();
    let output = output.expect("run the program");
    assert_eq!(stdout(&output), format!("{}: valid\n", empty.display()));
    std::fs::remove_file(empty).expect("remove the temporary file");
}

/// A valid section of each kind; a test replaces a key to make one invalid.
const SECTIONS: &str = "[instances]\nfleet = \"holds\"\nkey_file = \"key\"\n\
    [leases]\nkeepers = [\"a\", \"b\", \"c\"]\n\
    [word]\nreporters = 3\n\
    [[consul]]\nname = \"c\"\nservice = \"holds\"\nagents = [\"127.0.0.1:8500\"]\n\
    [[server]]\nid = \"s-0\"\naddresses = [{ address = \"[::1]:80\" }]\n";

#[test]
fn invalid_value_is_reported_with_line_and_key() {
    assert!(
        OperatorConfig::parse(Path::new("file"), SECTIONS).is_ok(),
        "the sections are valid before a replacement"
    );
    let long_name = format!("\"{}\"", "x".repeat(65));
    let many_peers = format!("\"holds\"\npeers = [{}]", "\"127.0.0.1:1\", ".repeat(4_097));
    let many_agents = format!("[{}]", "\"127.0.0.1:1\", ".repeat(17));
    let many_routes: Vec<_> = (1..10)
        .map(|at| format!("{{ address = \"[::1]:{at}\" }}, "))
        .collect();
    for (old, new, line, key) in [
        ("\"holds\"\nkey_file", "\"\"\nkey_file", 2, "fleet"),
        ("\"holds\"\nkey_file", &format!("{long_name}\nkey_file"), 2, "fleet"),
        ("\"holds\"\nkey_file", &format!("{many_peers}\nkey_file"), 3, "peers"),
        ("key_file = \"key\"", "key_file = \"key\"\nsuspect_ms = 200", 4, "suspect_ms"),
        ("key_file = \"key\"", "key_file = \"key\"\nprobe_ms = 10001", 4, "probe_ms"),
        ("key_file = \"key\"", "", 1, "instances"),
        ("\"b\", \"c\"]", "\"b\"]", 5, "keepers"),
        ("\"b\", \"c\"]", "\"b\", \"c d\"]", 5, "keepers"),
        ("\"b\", \"c\"]", "\"b\", \"c\"]\nshards = 0", 5, "keepers"),
        ("\"b\", \"c\"]", "\"b\", \"c\"]\nshards = 256", 6, "shards"),
        ("\"b\", \"c\"]", "\"b\", \"c\"]\nset = 2\nbefore = [\"x y\"]", 7, "before"),
        ("\"b\", \"c\"]", "\"b\", \"c\"]\nfleet_log = \"localhost:1\"", 6, "fleet_log"),
        ("reporters = 3", "reporters = 1", 6, "word"),
        ("reporters = 3", "turn_ms = 99", 6, "word"),
        ("reporters = 3", "half_life_ms = 600001", 6, "word"),
        ("reporters = 3", "share = 0", 6, "word"),
        ("reporters = 3", "floor = 0.6", 6, "word"),
        ("reporters = 3", "panic_share = nan", 6, "word"),
        ("reporters = 3", "turns = 3", 7, "turns"),
        ("\"c\"\nservice", "\"\"\nservice", 9, "name"),
        ("\"c\"\nservice", &format!("{long_name}\nservice"), 9, "name"),
        ("[\"127.0.0.1:8500\"]", &many_agents, 11, "agents"),
        ("[\"127.0.0.1:8500\"]", "[\"127.0.0.1:8500\"]\nhold_s = 86401", 12, "hold_s"),
        ("[\"127.0.0.1:8500\"]", "[\"127.0.0.1:8500\"]\npace_ms = 9", 12, "pace_ms"),
        ("[\"127.0.0.1:8500\"]", "[\"127.0.0.1:8500\"]\nwait_s = 601", 12, "wait_s"),
        ("[\"127.0.0.1:8500\"]", "[\"127.0.0.1:8500\"]\nconsistency = \"strong\"", 12, "consistency"),
        ("[\"127.0.0.1:8500\"]", "[\"127.0.0.1:8500\"]\npanic_share = -0.1", 12, "panic_share"),
        ("[{ address = \"[::1]:80\" }]", &format!("[{}]", many_routes.concat()), 14, "addresses"),
        ("[{ address = \"[::1]:80\" }]", "[{ address = \"[::1]:80\", preference = 65536 }]", 14, "addresses"),
        ("[{ address = \"[::1]:80\" }]", "[{ address = \"[::1]:80\" }]\n[pool]\nconnections_per_server = 1000001", 16, "connections_per_server"),
        ("[{ address = \"[::1]:80\" }]", "[{ address = \"[::1]:80\" }]\n[pool]\ncold_dials_per_s = 0.01", 16, "cold_dials_per_s"),
        ("[instances]\nfleet = \"holds\"\nkey_file = \"key\"\n", "", 1, "leases"),
        ("[instances]\nfleet = \"holds\"\nkey_file = \"key\"\n[leases]\nkeepers = [\"a\", \"b\", \"c\"]\n", "", 1, "word"),
    ] {
        let text = SECTIONS.replacen(old, new, 1);
        assert_ne!(text, SECTIONS, "`{old}` is replaced");
        let error = OperatorConfig::parse(Path::new("file"), &text).expect_err("the value is invalid");
        assert_eq!((error.line(), error.key()), (Some(line), Some(key)), "{text}");
        let location = format!("file, line {line}, key `{key}`: ");
        assert!(error.to_string().starts_with(&location), "expected `{location}`, got: {error}");
    }
}

#[test]
fn too_many_sections_are_reported_with_line_and_key() {
    let consul_section = |index| {
        format!("[[consul]]\nname = \"c{index}\"\nservice = \"s\"\nagents = [\"127.0.0.1:1\"]\n")
    };
    let server_section = |index: usize| {
        let (high, low) = (index / 256, index % 256);
        format!(
            "[[server]]\nid = \"s{index}\"\naddresses = [{{ address = \"10.0.{high}.{low}:80\" }}]\n"
        )
    };
    let consul_sections: String = (0..17).map(consul_section).collect();
    let server_sections: String = (0..16_385).map(server_section).collect();
    for (text, line, key) in [
        (consul_sections, 66, "name"),
        (server_sections, 49_154, "id"),
    ] {
        let error = OperatorConfig::parse(Path::new("file"), &text)
            .expect_err("the number of sections is above the limit");
        assert_eq!((error.line(), error.key()), (Some(line), Some(key)));
        let within_limit: Vec<_> = text.lines().take(line - 2).collect();
        assert!(
            OperatorConfig::parse(Path::new("file"), &within_limit.join("\n")).is_ok(),
            "`{key}`: one section fewer is valid"
        );
    }
}
