use super::*;

/// Guards against a node that is killed before all requests have a response, and against one that closes its connections too
/// early.
#[test]
fn shutdown_schedule_drains_first_and_ends_before_the_kill() {
    for ms in [100, 1_700, 3_000, 60_000] {
        let max_timeout = Duration::from_millis(ms);
        let schedule = ShutdownSchedule::new(max_timeout);
        let killed_after = max_timeout.min(MAX_REQUEST_TIME) + Duration::from_millis(700);
        assert!(
            schedule.complete_after < killed_after,
            "{schedule:?} must end before the kill after {killed_after:?}"
        );
        assert!(
            schedule.stop_accepting_after > Duration::from_millis(600)
                && schedule.stop_accepting_after < schedule.complete_after,
            "{schedule:?} must drain for more than 600 ms"
        );
    }
}
