//! The quorum rule that confirms a death.

use super::*;

#[test]
fn death_needs_two_thirds_for_and_at_most_one_seventh_against() {
    let is_confirmed = |unreachable, reachable, quorum_size| {
        let votes = VoteCount {
            unreachable,
            reachable,
        };
        is_death_confirmed(votes, quorum_size, 3_000.0, 2_500.0)
    };
    assert!(is_confirmed(5, 1, 7) && is_confirmed(7, 0, 7));
    assert!(is_confirmed(2, 0, 2) && is_confirmed(3, 0, 4));
    assert!(
        !is_confirmed(5, 2, 7),
        "a death must not be confirmed if two of seven voters can reach the node"
    );
    assert!(
        !is_confirmed(4, 0, 7),
        "a death must not be confirmed if three of seven voters have not answered"
    );
    assert!(
        !is_confirmed(3, 1, 4),
        "a death must not be confirmed if one of four voters can reach the node"
    );
    let own_vote = VoteCount {
        unreachable: 1,
        reachable: 0,
    };
    assert!(
        !is_confirmed(1, 0, 1) && !is_death_confirmed(own_vote, 1, 1e9, 2_500.0),
        "a single vote must never confirm a death"
    );
    let two_votes = VoteCount {
        unreachable: 2,
        reachable: 0,
    };
    assert!(
        is_death_confirmed(two_votes, 7, 5_000.0, 2_500.0),
        "two unanimous votes must confirm a death after twice the suspicion timeout"
    );
}
