use super::*;

impl WatchTiming {
    /// The longest time from the return of an unreachable discovery to its first response: an
    /// attempt that is about to time out, the delay, and the next attempt.
    fn max_recovery(&self) -> Duration {
        self.open_timeout + self.max_retry_delay + self.open_timeout
    }

    /// The longest time from the last byte of a watch that falls silent to the first of the next
    /// one: the silence, the delay, and an attempt.
    fn max_recovery_after_silence(&self) -> Duration {
        SILENCE_TIMEOUT + FIRST_RETRY_DELAY + self.open_timeout
    }
}

/// Guards the platform's rule on when a change must take effect, whatever the settings.
#[test]
fn steps_of_a_watch_fit_into_the_propagation_deadline() {
    for grace_ms in [0, 300, 1_000, 1_500, 2_000, 10_000, 600_000] {
        let grace = Duration::from_millis(grace_ms);
        let pushed = WatchTiming::pushed(grace);
        // What the agent has counts at once, so the node has the grace.
        if grace >= Duration::from_secs(1) {
            assert!(pushed.max_recovery() < grace, "{pushed:?} of {grace:?}");
        }
        for timing in [pushed, WatchTiming::subscribed()] {
            assert!(timing.max_recovery() < PROPAGATION_DEADLINE, "{timing:?}");
            assert!(
                timing.max_recovery_after_silence() < PROPAGATION_DEADLINE,
                "{timing:?}"
            );
        }
        // If the first attempt after a silence hangs, too.
        let with_second_attempt =
            pushed.max_recovery_after_silence() + pushed.max_retry_delay + pushed.open_timeout;
        assert!(with_second_attempt < PROPAGATION_DEADLINE, "{pushed:?}");
    }
    assert!(
        SILENCE_TIMEOUT > Duration::from_millis(2_500),
        "an empty line comes every 2 s, at times late"
    );
}
