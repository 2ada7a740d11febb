use super::*;

fn elements_of(pieces: &[&[u8]]) -> Result<Vec<String>, JsonStreamError> {
    let (mut stream, mut elements) = (JsonArrayStream::default(), Vec::new());
    for piece in pieces {
        stream.push(piece, |element| {
            elements.push(String::from_utf8_lossy(element).into_owned());
        })?;
    }
    stream.end()?;
    Ok(elements)
}

#[test]
fn elements_are_the_same_wherever_the_stream_is_split() {
    let text = br#" [ {"a": "],}\"\\", "b": [1, {}]} , 7,"x, y" , [ ] ] "#;
    let expected = elements_of(&[text]).expect("split a valid JSON array");
    assert_eq!(
        expected,
        [r#"{"a": "],}\"\\", "b": [1, {}]}"#, "7", r#""x, y""#, "[ ]"]
    );
    for first in 0..text.len() {
        for second in first..text.len() {
            let pieces = [&text[..first], &text[first..second], &text[second..]];
            assert_eq!(
                elements_of(&pieces),
                Ok(expected.clone()),
                "split at {first} and {second}"
            );
        }
    }
    let end = text
        .iter()
        .rposition(|byte| *byte == b']')
        .expect("the text has a closing bracket");
    for length in 0..=end {
        assert_eq!(
            elements_of(&[&text[..length]]),
            Err(JsonStreamError::Truncated),
            "the first {length} bytes"
        );
    }
    assert_eq!(elements_of(&[b"[]"]), Ok(vec![]));
}

#[test]
fn stream_that_is_not_an_array_is_rejected() {
    for text in [
        "{}",
        "null",
        "[,]",
        "[1,]",
        "[1,,2]",
        "]",
        "x",
        "[}",
        "\u{feff}[]",
    ] {
        assert_eq!(
            elements_of(&[text.as_bytes()]),
            Err(JsonStreamError::NotAnArray),
            "{text:?} is not a JSON array"
        );
    }
    assert_eq!(
        elements_of(&[b"[] []"]),
        Err(JsonStreamError::TrailingBytes)
    );
    let large = format!("[\"{}\"]", "x".repeat(MAX_ELEMENT_BYTES));
    assert_eq!(
        elements_of(&[large.as_bytes()]),
        Err(JsonStreamError::ElementTooLarge)
    );
    let pieces: Vec<_> = large.as_bytes().chunks(1000).collect();
    assert_eq!(elements_of(&pieces), Err(JsonStreamError::ElementTooLarge));
}
