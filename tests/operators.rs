//! Checks of the operators' file and of the command line, by running the program.

use std::process::Output;

use testkit::{program_command, write_temp_file};

/// Runs `check` on an operators' file with this text.
fn run_check(text: &str) -> Output {
    let file = write_temp_file(text);
    let output = program_command()
        .arg("check")
        .arg(&file)
        .output()
        .expect("run the program");
    std::fs::remove_file(file).expect("remove the temporary file");
    output
}

/// Writes a key file with this mode to the temporary directory.
fn key_file(key: &str, mode: u32) -> std::path::PathBuf {
    use std::os::unix::fs::PermissionsExt;
    let file = write_temp_file(key);
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(mode))
        .expect("set the mode of the key file");
    file
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is UTF-8")
}

/// A valid `[[consul]]` section of four lines.
const CONSUL: &str =
    "[[consul]]\nname = \"c\"\nservice = \"holds\"\nagents = [\"127.0.0.1:8500\"]\n";

/// The line without its leading `# ` if the rest is a key, a section, or part of a value; otherwise the line unchanged.
fn uncommented(line: &str) -> &str {
    let content = line.strip_prefix("# ").unwrap_or(line);
    let is_toml = content.starts_with(['[', ']'])
        || content.trim_start().starts_with("{ address")
        || content
            .split(" = ")
            .next()
            .is_some_and(|key| !key.contains(' '));
    if is_toml && content.contains(['=', '[', ']']) {
        content
    } else {
        line
    }
}

#[test]
fn shipped_file_is_valid_with_and_without_its_commented_keys() {
    let shipped_file = include_str!("../deploy/silverthread.toml");
    let output = run_check(shipped_file);
    assert!(output.status.success(), "{}", text(&output.stderr));
    let uncommented_file: String = shipped_file
        .lines()
        .flat_map(|line| [uncommented(line), "\n"])
        .collect();
    let key = key_file("sixteen bytes and more", 0o600);
    let uncommented_file = uncommented_file.replace(
        "/run/secrets/fleet",
        key.to_str().expect("the path is UTF-8"),
    );
    let output = run_check(&uncommented_file);
    assert!(
        output.status.success(),
        "{}\n{uncommented_file}",
        text(&output.stderr)
    );
    assert!(
        text(&output.stdout)
            .contains("consul \"consul\": service \"holds\", 1 agent(s), cannot add servers"),
        "{}",
        text(&output.stdout)
    );
}

#[test]
fn invalid_value_is_reported_with_line_and_key() {
    let consul = |line: &str| format!("{CONSUL}{line}\n");
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
        (consul("waits = 3"), 5, "waits"),
        (consul("wait_s = 0"), 5, "wait_s"),
        (consul("wait_s = \"long\""), 5, "wait_s"),
        (consul("wait_s = 1.5"), 5, "wait_s"),
        (consul("weight = \"5\""), 5, "weight"),
        (consul("api = \"agent\""), 5, "api"),
        (consul("id = \"tags:x\""), 5, "id"),
        (consul("zone = \"zone\""), 5, "zone"),
        (
            consul("id = \"address\"\nnames_servers = true"),
            6,
            "names_servers",
        ),
        (consul("[consul.states]\npassing = \"up\""), 6, "passing"),
        (
            consul("[consul.damping]\nfirst_s = 1\nmost_s = -1\nhalf_life_s = 1"),
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
        let output = run_check(&file);
        let error = text(&output.stderr).trim_end();
        assert_eq!(output.status.code(), Some(2), "{file}\n{error}");
        assert!(error.contains(&format!(", line {line}")), "{file}\n{error}");
        assert!(
            error.contains(&format!("key `{key}`")) || key.is_empty(),
            "{file}\n{error}"
        );
        assert!(!error.contains('\n'), "the error has one line: {error}");
    }
}

#[test]
fn unreadable_file_or_unknown_flag_exits_with_2() {
    for arguments in [
        &["--config", "/nowhere/at/all.toml"][..],
        &["check", "/nowhere/at/all.toml"],
        &["--cnofig"],
    ] {
        let output = program_command()
            .args(arguments)
            .output()
            .expect("run the program");
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(
            !output.stderr.is_empty() && output.stdout.is_empty(),
            "only an error is printed for {arguments:?}"
        );
    }
    let endless_file = program_command()
        .args(["check", "/dev/zero"])
        .output()
        .expect("run the program");
    assert_eq!(
        endless_file.status.code(),
        Some(2),
        "an endless file is rejected"
    );
    let file = write_temp_file("[[consul]]\n");
    let output = program_command()
        .env("SILVERTHREAD_CONFIG", &file)
        .output()
        .expect("run the program");
    std::fs::remove_file(file).expect("remove the temporary file");
    assert_eq!(
        output.status.code(),
        Some(2),
        "an invalid file named by SILVERTHREAD_CONFIG is rejected"
    );
}

#[test]
fn program_without_arguments_and_variables_exits_with_1() {
    let output = program_command().output().expect("run the program");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        text(&output.stderr),
        "silverthread: ROUTER_CONFIG names no configuration file\n"
    );
}

#[test]
fn invalid_instances_section_is_reported_with_line_and_key() {
    let valid = key_file("sixteen bytes and more", 0o600);
    let group_readable = key_file("sixteen bytes and more", 0o640);
    let too_short = key_file("  only fifteen b  \n", 0o600);
    let file_with = |key: &std::path::Path, extra_keys: &str| {
        format!(
            "[instances]\nfleet = \"holds\"\nkey_file = {:?}\n{extra_keys}\n",
            key.to_str().expect("the path is UTF-8")
        )
    };
    for (file, line, key) in [
        (
            "[instances]\nfleet = \"holds\"\n".to_owned(),
            1,
            "instances",
        ),
        (
            file_with(std::path::Path::new("/nowhere/at/all"), ""),
            3,
            "key_file",
        ),
        (file_with(&group_readable, ""), 3, "key_file"),
        (file_with(&too_short, ""), 3, "key_file"),
        (file_with(&valid, "name = \"two words\""), 4, "name"),
        (file_with(&valid, "listen = \"localhost:1\""), 4, "listen"),
        (file_with(&valid, "probe_ms = 1"), 4, "probe_ms"),
        (
            file_with(&valid, "probe_ms = 1000\nsuspect_ms = 2000"),
            5,
            "suspect_ms",
        ),
        (file_with(&valid, "gossip = true"), 4, "gossip"),
    ] {
        let output = run_check(&file);
        let error = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{file}: {error}");
        assert!(
            error.contains(&format!("line {line}, key `{key}`")),
            "{file}: {error}"
        );
    }
    assert!(
        run_check(&file_with(&valid, "")).status.success(),
        "the section without extra keys is valid"
    );
    for file in [valid, group_readable, too_short] {
        std::fs::remove_file(file).expect("remove the temporary file");
    }
}
