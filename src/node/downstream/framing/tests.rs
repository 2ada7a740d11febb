use super::*;

const BOTH: &str = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\ncontent-length: 4\r\n\r\n";

fn read(text: &str, piece: usize) -> Framing {
    let mut framing = Framing::default();
    text.as_bytes()
        .chunks(piece)
        .for_each(|bytes| framing.push(bytes));
    framing
}

/// Guards against a second length that is seen in one piece of a message and missed in two.
#[test]
fn it_sees_the_same_however_the_bytes_come() {
    let clear = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\na\n\r\nb\r\nGET / HTTP/1.1\r\n\r\n";
    let twice = "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na";
    for piece in 1..=clear.len() {
        let framing = read(clear, piece);
        assert_eq!(
            (framing.heads, framing.is_doubtful(2), framing.is_last(2)),
            (2, false, false)
        );
        let framing = read(&format!("{clear}{BOTH}"), piece);
        assert_eq!(
            (framing.is_doubtful(2), framing.is_doubtful(3)),
            (false, true)
        );
        assert!(read(twice, piece).is_doubtful(1));
    }
}

/// Guards against a header that hides behind a line too long to be kept.
#[test]
fn long_lines_hide_nothing() {
    let long = "x".repeat(10 * MOST_KEPT);
    assert!(read(
        &BOTH.replacen("\r\n", &format!("\r\nCookie: {long}\r\n"), 1),
        7
    )
    .is_doubtful(1));
    let padded = format!(
        "POST / HTTP/1.1\r\nContent-Length: {}5\r\n\r\n",
        " ".repeat(MOST_KEPT)
    );
    assert!(read(&padded, 7).is_doubtful(1), "its length is not known");
}

#[test]
fn a_body_of_unknown_length_is_the_last() {
    let framing = read(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        9,
    );
    assert_eq!((framing.is_doubtful(1), framing.is_last(1)), (false, true));
}
