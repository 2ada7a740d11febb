use super::*;
use proptest::prelude::*;

#[test]
fn line_with_any_line_end_is_parsed_and_other_lines_are_errors() {
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
    for wrong in [
        "",
        "\n",
        "ready\n",
        "DRAIN n0\n",
        "DRAIN\nUNDRAIN\n",
        "STATS\0",
    ] {
        assert_eq!(
            Command::parse(wrong.as_bytes()),
            Err(CommandError::Unknown),
            "{wrong:?}"
        );
    }
    assert_eq!(
        Command::parse(&[b' '; MAX_LINE_BYTES + 1]),
        Err(CommandError::TooLong)
    );
    let give = Command::parse(b"GIVE 7 n1\n").map(|command| {
        matches!(command, Command::Give { shard: 7, receiver } if receiver.as_str() == "n1")
    });
    assert_eq!(give, Ok(true));
    for wrong in [
        "GIVE 7\n",
        "GIVE 256 n1\n",
        "GIVE x n1\n",
        "GIVE 7 n1 n2\n",
        "GIVE 7 \n",
    ] {
        assert_eq!(
            Command::parse(wrong.as_bytes()),
            Err(CommandError::MalformedGive),
            "{wrong:?}"
        );
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_too_long_only_above_the_limit(line in proptest::collection::vec(any::<u8>(), 0..200)) {
        let parsed = Command::parse(&line);
        prop_assert_eq!(parsed == Err(CommandError::TooLong), line.len() > MAX_LINE_BYTES);
    }
}
