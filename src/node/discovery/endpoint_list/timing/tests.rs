use super::*;

impl WatchTiming {
    /// The maximum time from when discovery is reachable again until its first response: an attempt
    /// that times out, the delay and the next attempt.
    fn max_recovery(&self) -> Duration {
        self.open_timeout + self.max_retry_delay + self.open_timeout
    }

    /// The maximum time from the last byte of a watch that stops receiving data until the first byte
    /// of the next watch: the silence timeout, the delay and an attempt.
    fn max_recovery_after_silence(&self) -> Duration {
        SILENCE_TIMEOUT + FIRST_RETRY_DELAY + self.open_timeout
    }
}

/// Guards the platform's deadline for applying a change, for drain graces from 0 to 10 minutes.
#[test]
fn watch_steps_fit_into_the_propagation_deadline() {
    for drain_grace_ms in [0, 300, 1_000, 1_500, 2_000, 10_000, 600_000] {
        let drain_grace = Duration::from_millis(drain_grace_ms);
        let pushed = WatchTiming::pushed(drain_grace);
        // The grace begins when the agent has the change, so the node must apply it within the grace.
        if drain_grace >= Duration::from_secs(1) {
            assert!(
                pushed.max_recovery() < drain_grace,
                "recovery exceeds a drain grace of {drain_grace:?}: {pushed:?}"
            );
        }
        for timing in [pushed, WatchTiming::subscribed()] {
            assert!(
                timing.max_recovery() < PROPAGATION_DEADLINE,
                "recovery exceeds the deadline: {timing:?}"
            );
            assert!(
                timing.max_recovery_after_silence() < PROPAGATION_DEADLINE,
                "recovery after a silence exceeds the deadline: {timing:?}"
            );
        }
        // The first attempt after a silence may hang as well.
        let with_second_attempt =
            pushed.max_recovery_after_silence() + pushed.max_retry_delay + pushed.open_timeout;
        assert!(
            with_second_attempt < PROPAGATION_DEADLINE,
            "two attempts after a silence exceed the deadline: {pushed:?}"
        );
    }
    assert!(
        SILENCE_TIMEOUT > Duration::from_millis(2_500),
        "the silence timeout must leave a margin over the 2 s between empty lines"
    );
}
