use super::*;

/// A head with both headers that determine the length.
const HEAD_WITH_BOTH_LENGTHS: &str =
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\ncontent-length: 4\r\n\r\n";

fn framing_of(text: &str, chunk_bytes: usize) -> Framing {
    let mut framing = Framing::default();
    text.as_bytes()
        .chunks(chunk_bytes)
        .for_each(|bytes| framing.push(bytes));
    framing
}

/// Guards against a second length that is missed because of where the received bytes are split.
#[test]
fn framing_does_not_depend_on_where_messages_are_split() {
    let unambiguous =
        "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\na\n\r\nb\r\nGET / HTTP/1.1\r\n\r\n";
    let two_lengths = "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na";
    for chunk_bytes in 1..=unambiguous.len() {
        let framing = framing_of(unambiguous, chunk_bytes);
        assert_eq!(
            (
                framing.head_count,
                framing.is_ambiguous(2),
                framing.must_be_last(2)
            ),
            (2, false, false),
            "two requests in chunks of {chunk_bytes} bytes"
        );
        let framing = framing_of(
            &format!("{unambiguous}{HEAD_WITH_BOTH_LENGTHS}"),
            chunk_bytes,
        );
        assert_eq!(
            (framing.is_ambiguous(2), framing.is_ambiguous(3)),
            (false, true),
            "an ambiguous third request in chunks of {chunk_bytes} bytes"
        );
        assert!(
            framing_of(two_lengths, chunk_bytes).is_ambiguous(1),
            "a repeated Content-Length in chunks of {chunk_bytes} bytes"
        );
    }
}

/// Guards against a header that is missed after a line, or in a line, that is too long to be kept.
#[test]
fn framing_header_with_overlong_lines_is_detected() {
    let long = "x".repeat(10 * MAX_KEPT_LINE_BYTES);
    assert!(framing_of(
        &HEAD_WITH_BOTH_LENGTHS.replacen("\r\n", &format!("\r\nCookie: {long}\r\n"), 1),
        7
    )
    .is_ambiguous(1));
    let padded = format!(
        "POST / HTTP/1.1\r\nContent-Length: {}5\r\n\r\n",
        " ".repeat(MAX_KEPT_LINE_BYTES)
    );
    assert!(
        framing_of(&padded, 7).is_ambiguous(1),
        "a Content-Length whose value lies beyond MAX_KEPT_LINE_BYTES must be ambiguous"
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

/// Guards against a length whose digits lie beyond the part of the line that is kept: a part of the body would count as a
/// head, and the framing of later messages would be that of others.
#[test]
fn length_on_an_overlong_line_is_ambiguous() {
    let zeros = "0".repeat(MAX_KEPT_LINE_BYTES);
    let spaces = " ".repeat(MAX_KEPT_LINE_BYTES);
    for value in [
        format!("{zeros}5"),
        format!("{spaces}5"),
        format!("5{spaces}"),
    ] {
        let text = format!("POST / HTTP/1.1\r\nContent-Length: {value}\r\n\r\nabcde");
        for chunk_bytes in [1, 7, text.len()] {
            let framing = framing_of(&text, chunk_bytes);
            assert!(
                framing.is_ambiguous(1),
                "{value:?} in chunks of {chunk_bytes}"
            );
        }
    }
    let long_header = format!("GET / HTTP/1.1\r\nX-Padding: {zeros}\r\n\r\n");
    assert!(!framing_of(&long_header, 7).is_ambiguous(1));
}
