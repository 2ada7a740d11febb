use super::*;

/// Guards against a node that is ended with requests unanswered, and against one that leaves its clients early.
#[test]
fn a_hand_over_fits_the_time_until_the_end() {
    for ms in [100, 1_700, 3_000, 60_000] {
        let longest = Duration::from_millis(ms);
        let (closing, answered) = hand_over(longest);
        assert!(answered < longest.min(LONGEST_WAIT) + Duration::from_millis(700));
        assert!(
            closing > Duration::from_millis(600) && closing < answered,
            "{closing:?}"
        );
    }
}
