//! The operators' file and the command line, by running the program.

use std::process::Output;

use testkit::{program_command, write_temp_file};

fn check(text: &str) -> Output {
    let file = write_temp_file(text);
    let output = program_command()
        .arg("check")
        .arg(&file)
        .output()
        .expect("it starts");
    std::fs::remove_file(file).expect("the test's own");
    output
}

/// A key file, in a folder that goes with the process.
fn key_file(key: &str, mode: u32) -> std::path::PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let file = write_temp_file(key);
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(mode)).expect("the test's own");
    file
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

const CONSUL: &str =
    "[[consul]]\nname = \"c\"\nservice = \"holds\"\nagents = [\"127.0.0.1:8500\"]\n";

/// The line without its comment sign if it shows a key, a section, or a part of a value.
fn uncommented(line: &str) -> &str {
    let key = line.strip_prefix("# ").unwrap_or(line);
    let is_key = key.starts_with(['[', ']'])
        || key.trim_start().starts_with("{ address")
        || key.split(" = ").next().is_some_and(|k| !k.contains(' '));
    if is_key && key.contains(['=', '[', ']']) {
        key
    } else {
        line
    }
}

#[test]
fn shipped_file_is_valid_with_and_without_its_commented_keys() {
    let shipped = include_str!("../deploy/silverthread.toml");
    let output = check(shipped);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let opened: String = shipped
        .lines()
        .flat_map(|line| [uncommented(line), "\n"])
        .collect();
    let key = key_file("sixteen bytes and more", 0o600);
    let opened = opened.replace("/run/secrets/fleet", key.to_str().expect("text"));
    let output = check(&opened);
    assert!(
        output.status.success(),
        "{}\n{opened}",
        text(&output.stderr)
    );
    assert!(
        text(&output.stdout)
            .contains("consul \"consul\": service \"holds\" through 1 agents, advises"),
        "{}",
        text(&output.stdout)
    );
}

#[test]
fn wrong_value_is_reported_with_line_and_key() {
    let more = |line: &str| format!("{CONSUL}{line}\n");
    let server = |address: &str| {
        format!("[[server]]\nid = \"s-0\"\naddresses = [{{address = \"{address}\"}}]\n")
    };
    for (file, line, key) in [
        ("[membership]\nshare = 1\n".to_owned(), 2, "share"),
        (
            "[membership]\n\npanic_share = 1.5\n".to_owned(),
            3,
            "panic_share",
        ),
        ("[consuls]\n".to_owned(), 1, "consuls"),
        (more("waits = 3"), 5, "waits"),
        (more("wait_s = 0"), 5, "wait_s"),
        (more("wait_s = \"long\""), 5, "wait_s"),
        (more("wait_s = 1.5"), 5, "wait_s"),
        (more("weight = \"5\""), 5, "weight"),
        (more("api = \"agent\""), 5, "api"),
        (more("id = \"tags:x\""), 5, "id"),
        (more("zone = \"zone\""), 5, "zone"),
        (
            more("id = \"address\"\nnames_servers = true"),
            6,
            "names_servers",
        ),
        (more("[consul.states]\npassing = \"up\""), 6, "passing"),
        (
            more("[consul.damping]\nfirst_s = 1\nmost_s = -1\nhalf_life_s = 1"),
            7,
            "most_s",
        ),
        (
            CONSUL.replace("127.0.0.1:8500", "localhost:8500"),
            4,
            "agents",
        ),
        (CONSUL.replace("[\"127.0.0.1:8500\"]", "[]"), 4, "agents"),
        (
            CONSUL.replace("[\"", "[\n  # near\n  \"127.0.0.1:1\",\n  \"é:"),
            7,
            "agents",
        ),
        (CONSUL.replace("\"holds\"", "\"\""), 3, "service"),
        (CONSUL.replace("\"c\"", "\"roster\""), 2, "name"),
        (format!("{CONSUL}{CONSUL}"), 6, "name"),
        ("consul = [\n".to_owned(), 1, "consul"),
        (server("unix:run/s"), 3, "addresses"),
        (
            "[pool]\ndials_at_a_time = 0\n".to_owned(),
            2,
            "dials_at_a_time",
        ),
        (
            "[pool]\ncold_dials_per_s = -1\n".to_owned(),
            2,
            "cold_dials_per_s",
        ),
        ("[pool]\nahead = 1\n".to_owned(), 2, "ahead"),
        (
            server(&format!("unix:/{}", "x".repeat(107))),
            3,
            "addresses",
        ),
        (server("localhost:80"), 3, "addresses"),
        (server("[::1]:80\"}, {address = \"[::1]:80"), 3, "addresses"),
        (server("[::1]:80\", preference = \"low"), 3, "addresses"),
        (
            format!("{}{}", server("[::1]:80"), server("[::1]:81")),
            5,
            "id",
        ),
        (
            format!(
                "{}{}",
                server("[::1]:80"),
                server("[::1]:80").replace("s-0", "s-1")
            ),
            6,
            "addresses",
        ),
        (format!("{}also = 1\n", server("[::1]:80")), 4, "also"),
        (
            "[[server]]\nid = \"s-0\"\naddresses = []\n".to_owned(),
            3,
            "addresses",
        ),
    ] {
        let output = check(&file);
        let error = text(&output.stderr).trim_end();
        assert_eq!(output.status.code(), Some(2), "{file}\n{error}");
        assert!(error.contains(&format!(", line {line}")), "{file}\n{error}");
        assert!(
            error.contains(&format!("key `{key}`")) || key.is_empty(),
            "{file}\n{error}"
        );
        assert!(!error.contains('\n'), "one line: {error}");
    }
}

#[test]
fn unreadable_file_exits_with_2_before_anything_starts() {
    for arguments in [
        &["--config", "/nowhere/at/all.toml"][..],
        &["check", "/nowhere/at/all.toml"],
        &["--cnofig"],
    ] {
        let output = program_command()
            .args(arguments)
            .output()
            .expect("it starts");
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(!output.stderr.is_empty() && output.stdout.is_empty());
    }
    let endless = program_command()
        .args(["check", "/dev/zero"])
        .output()
        .expect("it starts");
    assert_eq!(endless.status.code(), Some(2), "an endless file");
    let file = write_temp_file("[[consul]]\n");
    let output = program_command()
        .env("SILVERTHREAD_CONFIG", &file)
        .output()
        .expect("it starts");
    std::fs::remove_file(file).expect("the test's own");
    assert_eq!(output.status.code(), Some(2), "by the variable, too");
}

#[test]
fn program_without_arguments_and_variables_fails() {
    let output = program_command().output().expect("it starts");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        text(&output.stderr),
        "silverthread: ROUTER_CONFIG names no configuration file\n"
    );
}

#[test]
fn wrong_instances_section_is_reported_with_line_and_key() {
    let valid = key_file("sixteen bytes and more", 0o600);
    let open = key_file("sixteen bytes and more", 0o640);
    let short = key_file("  only fifteen b  \n", 0o600);
    let file = |key: &std::path::Path, more: &str| {
        format!(
            "[instances]\nfleet = \"holds\"\nkey_file = {:?}\n{more}\n",
            key.to_str().expect("text")
        )
    };
    for (text_of, line, key) in [
        (
            "[instances]\nfleet = \"holds\"\n".to_owned(),
            1,
            "instances",
        ),
        (
            file(std::path::Path::new("/nowhere/at/all"), ""),
            3,
            "key_file",
        ),
        (file(&open, ""), 3, "key_file"),
        (file(&short, ""), 3, "key_file"),
        (file(&valid, "name = \"two words\""), 4, "name"),
        (file(&valid, "listen = \"localhost:1\""), 4, "listen"),
        (file(&valid, "probe_ms = 1"), 4, "probe_ms"),
        (
            file(&valid, "probe_ms = 1000\nsuspect_ms = 2000"),
            5,
            "suspect_ms",
        ),
        (file(&valid, "gossip = true"), 4, "gossip"),
    ] {
        let output = check(&text_of);
        let error = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text_of}: {error}");
        assert!(
            error.contains(&format!("line {line}, key `{key}`")),
            "{text_of}: {error}"
        );
    }
    assert!(check(&file(&valid, "")).status.success());
    for file in [valid, open, short] {
        std::fs::remove_file(file).expect("the test's own");
    }
}
