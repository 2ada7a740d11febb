//! A fence file as version 45ea4e8 writes it: after an upgrade a node has to read the file that the
//! previous version wrote.

use super::*;

const RECORDED: &str = "silverthread fences 1 n0\nreserved 1844674407370955161\n681802f6fc6635b1b90fce607a6614b662c59b0d5d6e72e28d2d275fcba6525f\n";

#[test]
fn fence_file_is_encoded_to_its_recorded_text() {
    assert_eq!(
        encode_fence_file("n0", FencingToken(1_844_674_407_370_955_161)),
        RECORDED
    );
}

#[test]
fn recorded_fence_file_is_decoded() {
    assert_eq!(
        decode_fence_file("n0", RECORDED),
        Ok(FencingToken(1_844_674_407_370_955_161))
    );
}
