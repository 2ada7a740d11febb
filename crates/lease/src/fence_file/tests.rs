use super::*;

#[test]
fn fence_file_that_is_truncated_or_changed_anywhere_is_rejected() {
    let text = encode_fence_file("n0", FencingToken(u64::MAX));
    assert_eq!(decode_fence_file("n0", &text), Ok(FencingToken(u64::MAX)));
    assert_eq!(
        decode_fence_file("n1", &text),
        Err(FenceFileError::WrongNode)
    );
    for at in 0..text.len() {
        assert!(
            decode_fence_file("n0", &text[..at]).is_err(),
            "truncated at {at}"
        );
        let mut changed = text.clone().into_bytes();
        changed[at] ^= 1;
        let changed = String::from_utf8(changed).expect("ASCII");
        assert!(
            decode_fence_file("n0", &changed).is_err(),
            "changed at {at}"
        );
    }
    assert!(
        encode_fence_file(&"n".repeat(64), FencingToken(u64::MAX)).len() <= MAX_FENCE_FILE_BYTES
    );
}
