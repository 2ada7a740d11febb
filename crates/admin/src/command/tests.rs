use super::*;
use proptest::prelude::*;

#[test]
fn command_with_any_line_end_parses_and_invalid_line_fails() {
    for end in ["", "\n", "\r\n", " \r\n"] {
        assert_eq!(
            Command::parse(format!("READY{end}").as_bytes()),
            Ok(Command::Ready)
        );
        assert_eq!(
            Command::parse(format!("UNDRAIN{end}").as_bytes()),
            Ok(Command::Undrain)
        );
    }
    for invalid in [
        "",
        "\n",
        "ready\n",
        "DRAIN n0\n",
        "DRAIN\nUNDRAIN\n",
        "STATS\0",
    ] {
        assert_eq!(
            Command::parse(invalid.as_bytes()),
            Err(CommandError::Unknown),
            "{invalid:?}"
        );
    }
    assert_eq!(
        Command::parse(&[b' '; MAX_LINE_BYTES + 1]),
        Err(CommandError::TooLong)
    );
    let is_parsed_give = Command::parse(b"GIVE 7 n1\n").map(|command| {
        matches!(command, Command::Give { shard: 7, receiver } if receiver.as_str() == "n1")
    });
    assert_eq!(is_parsed_give, Ok(true));
    for invalid in [
        "GIVE 7\n",
        "GIVE 256 n1\n",
        "GIVE x n1\n",
        "GIVE 7 n1 n2\n",
        "GIVE 7 \n",
    ] {
        assert_eq!(
            Command::parse(invalid.as_bytes()),
            Err(CommandError::MalformedGive),
            "{invalid:?}"
        );
    }
}

proptest! {
    #[test]
    fn arbitrary_line_is_too_long_only_above_the_limit(line in proptest::collection::vec(any::<u8>(), 0..200)) {
        let parsed = Command::parse(&line);
        prop_assert_eq!(parsed == Err(CommandError::TooLong), line.len() > MAX_LINE_BYTES);
    }
}
