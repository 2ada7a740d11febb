use super::*;

/// Guards the rule on when a change counts as told, whatever the settings: the steps add up.
#[test]
fn the_steps_of_following_the_list_add_up_to_less_than_is_allowed() {
    for grace_ms in [0, 300, 1_000, 1_500, 2_000, 10_000, 600_000] {
        let grace = Duration::from_millis(grace_ms);
        let pushed = Pace::pushed(grace);
        // What the agent gets counts at once, so the node has the grace.
        if grace >= Duration::from_secs(1) {
            assert!(pushed.after_return() < grace, "{pushed:?} of {grace:?}");
        }
        for pace in [pushed, Pace::asked()] {
            assert!(pace.after_return() < COUNTS_AS_TOLD, "{pace:?}");
            assert!(pace.after_silence() < COUNTS_AS_TOLD, "{pace:?}");
        }
        // Where the first call after a silence hangs, too.
        let hangs = pushed.after_silence() + pushed.longest_wait + pushed.opening;
        assert!(hangs < COUNTS_AS_TOLD, "{pushed:?}");
    }
    assert!(
        SILENCE > Duration::from_millis(2_500),
        "an empty line comes every 2 s, at times late"
    );
}
