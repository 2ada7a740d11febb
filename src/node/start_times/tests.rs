use super::*;

const HOUR_MS: f64 = 3_600_000.0;
/// Unix time at the monotonic time zero, before any step.
const UNIX_MS: f64 = 1.75e12;

fn reading(monotonic_ms: f64, step_ms: f64) -> ClockReading {
    ClockReading {
        monotonic_ms,
        wall_ms: UNIX_MS + monotonic_ms + step_ms,
    }
}

/// Guards against a slow start that is skipped or lasts an hour because the wall clock was stepped before or after the
/// start of a server. Steps of 0.3 s to an hour, both ways; servers that started before the step and after it.
#[test]
fn stepped_wall_clock_makes_no_server_older_and_none_younger_than_the_step() {
    for step_ms in [0.0, 300.0, 3_000.0, HOUR_MS, -300.0, -3_000.0, -HOUR_MS] {
        for (started_ms, scale_ms) in [(99_000.0, 0.0), (101_000.0, step_ms)] {
            let mut starts = StartTimes::default();
            starts.observe(reading(0.0, 0.0));
            starts.observe(reading(100_000.0, step_ms));
            let now = reading(104_000.0, step_ms);
            let listed_ms = UNIX_MS + started_ms + scale_ms;
            let start_ms = starts.monotonic_start_ms("s-0", listed_ms, now);
            let too_young_ms = start_ms - started_ms;
            let age_ms = now.monotonic_ms - started_ms;
            assert!(
                too_young_ms > -1.0 && too_young_ms < step_ms.abs().min(age_ms) + 1.0,
                "step {step_ms}, started at {started_ms}: {too_young_ms} ms too young"
            );
        }
    }
}

#[test]
fn start_on_no_known_scale_counts_as_now() {
    let mut starts = StartTimes::default();
    let now = reading(50_000.0, 0.0);
    let listed_ms = UNIX_MS + 60_000.0;
    assert!((starts.monotonic_start_ms("s-0", listed_ms, now) - 50_000.0).abs() < 1.0);
}

#[test]
fn start_is_kept_until_the_server_restarts_or_is_removed() {
    let mut starts = StartTimes::default();
    let listed_ms = UNIX_MS + 40_000.0;
    let first_ms = starts.monotonic_start_ms("s-0", listed_ms, reading(50_000.0, 0.0));
    let stepped = reading(60_000.0, -HOUR_MS);
    assert_eq!(
        starts.monotonic_start_ms("s-0", listed_ms, stepped),
        first_ms
    );
    let restarted_ms = starts.monotonic_start_ms("s-0", listed_ms + 15_000.0, stepped);
    assert!((restarted_ms - 55_000.0).abs() < 1.0);
    starts.remove("s-0");
    assert!(starts.starts.is_empty());
}

#[test]
fn scales_are_bounded() {
    let mut starts = StartTimes::default();
    for step in 0..1_000 {
        starts.observe(reading(f64::from(step), f64::from(step) * HOUR_MS));
    }
    assert_eq!(starts.scales.len(), MAX_SCALES);
}
