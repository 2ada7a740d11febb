use super::*;

const MAJORITY_OF_THREE: Quorum = Quorum::Majority(0b111);

#[test]
fn claim_expires_when_less_than_a_majority_remains() {
    let mut claim = Claim::new(0.0, FencingToken(1), false);
    claim.record_grant(0, 900.0);
    assert!(
        claim.expires_ms(MAJORITY_OF_THREE) < 0.0,
        "one grant of three must not be a quorum"
    );
    claim.record_grant(2, 700.0);
    assert_eq!(claim.expires_ms(MAJORITY_OF_THREE), 700.0);
    claim.record_grant(1, 800.0);
    assert_eq!(
        (
            claim.expires_ms(MAJORITY_OF_THREE),
            claim.expires_ms(Quorum::Majority(0b11111))
        ),
        (800.0, 700.0)
    );
    claim.record_grant(1, 100.0);
    assert_eq!(
        claim.expires_ms(MAJORITY_OF_THREE),
        800.0,
        "a delayed grant must not shorten a later one"
    );
    assert!(
        !claim.record_rejection(0, MAJORITY_OF_THREE)
            && !claim.record_rejection(0, MAJORITY_OF_THREE)
            && claim.record_rejection(2, MAJORITY_OF_THREE)
    );
}

/// The majorities `a c` of `a b c` and `b d` of `a b d` do not intersect, so one of each
/// configuration is needed.
#[test]
fn claim_under_joint_quorum_requires_both_majorities() {
    let joint = Quorum::Joint(0b0111, 0b1011);
    let mut claim = Claim::new(0.0, FencingToken(1), false);
    claim.record_grant(0, 900.0);
    claim.record_grant(2, 800.0);
    assert_eq!(
        (claim.expires_ms(MAJORITY_OF_THREE), claim.expires_ms(joint)),
        (800.0, f64::NEG_INFINITY)
    );
    claim.record_grant(3, 700.0);
    assert_eq!(
        (claim.expires_ms(joint), claim.expires_ms(Quorum::Unknown)),
        (700.0, f64::NEG_INFINITY)
    );
    assert!(!claim.record_rejection(1, joint) && claim.record_rejection(2, joint));
    let remapped = claim.remapped(&[Some(3), None, Some(0)]);
    assert_eq!(
        (
            remapped.expires_ms(MAJORITY_OF_THREE),
            remapped.expires_ms(Quorum::Majority(0b101))
        ),
        (700.0, 700.0)
    );
}
