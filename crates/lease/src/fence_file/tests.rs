use super::*;

#[test]
fn fence_file_truncated_or_modified_anywhere_is_rejected() {
    let text = encode_fence_file("n0", FencingToken(u64::MAX));
    assert_eq!(decode_fence_file("n0", &text), Ok(FencingToken(u64::MAX)));
    assert_eq!(
        decode_fence_file("n1", &text),
        Err(FenceFileError::WrongNode)
    );
    for offset in 0..text.len() {
        assert!(
            decode_fence_file("n0", &text[..offset]).is_err(),
            "a file truncated to {offset} bytes must be rejected"
        );
        let mut modified = text.clone().into_bytes();
        modified[offset] ^= 1;
        let modified = String::from_utf8(modified)
            .expect("ASCII text with its lowest bit flipped stays ASCII");
        assert!(
            decode_fence_file("n0", &modified).is_err(),
            "a file modified at byte {offset} must be rejected"
        );
    }
    assert!(
        encode_fence_file(&"n".repeat(64), FencingToken(u64::MAX)).len() <= MAX_FENCE_FILE_BYTES
    );
}
