use super::*;

const BOTH: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\ncontent-length: 4\r\n\r\n";

fn framing_of(text: &str, piece: usize) -> Framing {
    let mut framing = Framing::default();
    text.as_bytes()
        .chunks(piece)
        .for_each(|bytes| framing.push(bytes));
    framing
}

/// A second length must be detected wherever the message is split.
#[test]
fn framing_of_message_split_anywhere_is_the_same() {
    let unambiguous =
        "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\na\n\r\nb\r\nGET / HTTP/1.1\r\n\r\n";
    let twice = "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na";
    for piece in 1..=unambiguous.len() {
        let framing = framing_of(unambiguous, piece);
        assert_eq!(
            (
                framing.heads,
                framing.is_ambiguous(2),
                framing.must_be_last(2)
            ),
            (2, false, false)
        );
        let framing = framing_of(&format!("{unambiguous}{BOTH}"), piece);
        assert_eq!(
            (framing.is_ambiguous(2), framing.is_ambiguous(3)),
            (false, true)
        );
        assert!(framing_of(twice, piece).is_ambiguous(1));
    }
}

/// A header must be detected after a line that is too long to be kept.
#[test]
fn framing_header_after_overlong_line_is_detected() {
    let long = "x".repeat(10 * MAX_KEPT_LINE_BYTES);
    assert!(framing_of(
        &BOTH.replacen("\r\n", &format!("\r\nCookie: {long}\r\n"), 1),
        7
    )
    .is_ambiguous(1));
    let padded = format!(
        "POST / HTTP/1.1\r\nContent-Length: {}5\r\n\r\n",
        " ".repeat(MAX_KEPT_LINE_BYTES)
    );
    assert!(
        framing_of(&padded, 7).is_ambiguous(1),
        "its length is not known"
    );
}

#[test]
fn message_of_unknown_length_must_be_last() {
    let framing = framing_of(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        9,
    );
    assert_eq!(
        (framing.is_ambiguous(1), framing.must_be_last(1)),
        (false, true)
    );
}
