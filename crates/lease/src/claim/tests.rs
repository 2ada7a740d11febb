use super::*;

const THREE: Quorum = Quorum::Majority(0b111);

#[test]
fn claim_expires_when_its_majority_does() {
    let mut claim = Claim::new(0.0, FencingToken(1), false);
    claim.record_grant(0, 900.0);
    assert!(claim.expires_ms(THREE) < 0.0, "one of three");
    claim.record_grant(2, 700.0);
    assert_eq!(claim.expires_ms(THREE), 700.0);
    claim.record_grant(1, 800.0);
    assert_eq!(
        (
            claim.expires_ms(THREE),
            claim.expires_ms(Quorum::Majority(0b11111))
        ),
        (800.0, 700.0)
    );
    claim.record_grant(1, 100.0);
    assert_eq!(
        claim.expires_ms(THREE),
        800.0,
        "a delayed grant shortens nothing"
    );
    assert!(
        !claim.record_rejection(0, THREE)
            && !claim.record_rejection(0, THREE)
            && claim.record_rejection(2, THREE)
    );
}

/// The majorities `a c` of `a b c` and `b d` of `a b d` do not intersect, so both are needed.
#[test]
fn claim_under_joint_quorum_needs_both_majorities() {
    let both = Quorum::Joint(0b0111, 0b1011);
    let mut claim = Claim::new(0.0, FencingToken(1), false);
    claim.record_grant(0, 900.0);
    claim.record_grant(2, 800.0);
    assert_eq!(
        (claim.expires_ms(THREE), claim.expires_ms(both)),
        (800.0, f64::NEG_INFINITY)
    );
    claim.record_grant(3, 700.0);
    assert_eq!(
        (claim.expires_ms(both), claim.expires_ms(Quorum::Unknown)),
        (700.0, f64::NEG_INFINITY)
    );
    assert!(!claim.record_rejection(1, both) && claim.record_rejection(2, both));
    let remapped = claim.remapped(&[Some(3), None, Some(0)]);
    assert_eq!(
        (
            remapped.expires_ms(THREE),
            remapped.expires_ms(Quorum::Majority(0b101))
        ),
        (700.0, 700.0)
    );
}
