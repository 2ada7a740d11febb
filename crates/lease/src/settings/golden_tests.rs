//! Values that nodes derive from their settings and compare on the wire, as version ea14206 derives
//! them: a node that derived different values would be granted no leases in a cluster of that
//! version.

use super::*;

fn node_ids(numbers: &[u64]) -> Vec<NodeId> {
    numbers.iter().copied().map(NodeId).collect()
}

#[test]
fn configuration_ids_equal_their_recorded_values() {
    let settings = Settings {
        configuration: 2,
        previous_acceptors: node_ids(&[0x33, 0x11, 0x22]),
        ..Settings::new(NodeId(1), 1, node_ids(&[0x44, 0x11, 0x22]))
    };
    assert_eq!(settings.configuration_id(), 0x8b94_0908_0f53_eb41);
    assert_eq!(
        settings.previous_configuration_id(),
        Some(0xd5c1_7f53_a812_32ba)
    );
}

#[test]
fn token_floors_equal_their_recorded_values() {
    assert_eq!(
        FencingToken::floor(1_700_000_000_000),
        FencingToken(1_740_800_000_000_000)
    );
    assert_eq!(
        FencingToken::floor(u64::MAX),
        FencingToken(9_007_199_254_740_992)
    );
}
