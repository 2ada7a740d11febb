use serde_json::Value;

use super::*;

/// An object with each kind of token, and strings that contain brackets, quotes, backslashes and several spaces.
const COMPACT: &str = r#"{"a":"],}\"\\","b  c":[1,{},-2.5e3,true,null,[]],"d":{"e":"{\u00e9\n"}}"#;

fn objects_of(pieces: &[&[u8]]) -> Result<Vec<Value>, JsonObjectsError> {
    let (mut stream, mut objects) = (JsonObjects::default(), Vec::new());
    for piece in pieces {
        let mut piece = *piece;
        while let Some(object) = stream.next_object(&mut piece)? {
            objects.push(serde_json::from_slice(&object).expect("the object is valid JSON"));
        }
        assert!(piece.is_empty());
    }
    assert!(!stream.is_within_object());
    Ok(objects)
}

fn value(text: &str) -> Value {
    serde_json::from_str(text).expect("the text is valid JSON")
}

/// The object with white space between all tokens.
fn with_white_space(white_space: &str) -> String {
    let mut text = String::new();
    let (mut is_in_string, mut is_escaped) = (false, false);
    for character in COMPACT.chars() {
        let is_quote = character == '"' && !is_escaped;
        is_escaped = character == '\\' && !is_escaped;
        let is_structural = !is_in_string && "{}[],:".contains(character);
        if is_structural {
            text += white_space;
        }
        text.push(character);
        if is_structural {
            text += white_space;
        }
        is_in_string ^= is_quote;
    }
    text
}

#[test]
fn objects_are_the_same_wherever_the_stream_is_split() {
    let text = format!(
        "\r\n{COMPACT}{COMPACT}\n\n {} {{}}\t",
        with_white_space("\n  ")
    );
    let bytes = text.as_bytes();
    let expected = vec![value(COMPACT), value(COMPACT), value(COMPACT), value("{}")];
    for first in 0..bytes.len() {
        for second in first..bytes.len() {
            let pieces = [&bytes[..first], &bytes[first..second], &bytes[second..]];
            assert_eq!(
                objects_of(&pieces),
                Ok(expected.clone()),
                "split at {first} and {second}"
            );
        }
    }
    let single_bytes: Vec<_> = bytes.chunks(1).collect();
    assert_eq!(objects_of(&single_bytes), Ok(expected));
}

#[test]
fn white_space_of_any_kind_and_length_is_accepted() {
    for white_space in [" ", "\t", "\n", "\r\n", "\r", "\n\n \t"] {
        let text = with_white_space(white_space);
        assert_eq!(objects_of(&[text.as_bytes()]), Ok(vec![value(COMPACT)]));
    }
    let long = with_white_space(&" ".repeat(MAX_OBJECT_BYTES / 8));
    assert!(long.len() > MAX_OBJECT_BYTES);
    assert_eq!(objects_of(&[long.as_bytes()]), Ok(vec![value(COMPACT)]));
    assert_eq!(objects_of(&[b" \n\n\t\r\n "]), Ok(vec![]));
}

#[test]
fn white_space_does_not_join_two_tokens() {
    let mut stream = JsonObjects::default();
    let object = stream.next_object(&mut b"{\"a\":1 \n 2}".as_slice());
    let object = object.expect("it is delimited").expect("it has ended");
    assert!(serde_json::from_slice::<Value>(&object).is_err());
}

#[test]
fn stream_is_rejected_at_the_first_byte_that_belongs_to_no_object() {
    for (text, error) in [
        ("[]", JsonObjectsError::NotAnObject),
        ("null", JsonObjectsError::NotAnObject),
        ("{},{}", JsonObjectsError::NotAnObject),
        ("{}}", JsonObjectsError::NotAnObject),
        ("\u{feff}{}", JsonObjectsError::NotAnObject),
        ("\0", JsonObjectsError::NotAnObject),
        (
            "{\"a\":\"b\n{\"a\":\"b\"}",
            JsonObjectsError::ControlCharacter,
        ),
        ("{\"a\":\"\\\n\"}", JsonObjectsError::ControlCharacter),
    ] {
        assert_eq!(objects_of(&[text.as_bytes()]), Err(error), "{text:?}");
    }
}

#[test]
fn endless_object_is_rejected_at_the_limit() {
    for endless in [
        "{\"a\":\"bbbbbbbbbbbbbbb",
        "{\"a\":[[[[[[[[[[[[[[",
        "{\"a\":1111,2222,",
    ] {
        let mut stream = JsonObjects::default();
        let (first, rest) = endless.split_at(5);
        let repeated = rest.replace('"', "").repeat(1_000);
        let mut result = stream.next_object(&mut first.as_bytes());
        let mut received = first.len();
        while result == Ok(None) {
            assert!(stream.object.capacity() <= 2 * MAX_OBJECT_BYTES);
            assert!(received <= MAX_OBJECT_BYTES + repeated.len(), "{endless:?}");
            received += repeated.len();
            result = stream.next_object(&mut repeated.as_bytes());
        }
        assert_eq!(result, Err(JsonObjectsError::TooLong), "{endless:?}");
    }
}

#[test]
fn endless_white_space_takes_no_memory() {
    let mut stream = JsonObjects::default();
    assert_eq!(stream.next_object(&mut b"{\"a\":1,".as_slice()), Ok(None));
    let white_space = " \n".repeat(1_000);
    for _ in 0..3 * MAX_OBJECT_BYTES / white_space.len() {
        let result = stream.next_object(&mut white_space.as_bytes());
        assert_eq!(result, Ok(None));
    }
    assert!(stream.object.capacity() < 100);
    assert!(stream.is_within_object());
}
