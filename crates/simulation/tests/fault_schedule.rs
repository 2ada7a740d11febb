//! Generated fault schedules and their text form.

use simulation::{FaultSchedule, ScheduleLimits};

fn limits(seed: u64) -> ScheduleLimits {
    ScheduleLimits {
        nodes: 2 + seed as usize % 9,
        start_ms: 1_000.0,
        end_ms: 60_000.0,
        faults: 12,
        max_pause_ms: 10_000.0,
        max_loss: 0.5,
    }
}

/// A failed test prints its fault schedule, which must reproduce the failure.
#[test]
fn printed_schedule_is_parsed_unchanged() {
    for seed in 0..200 {
        let limits = limits(seed);
        let schedule = FaultSchedule::generate(seed, limits);
        assert_eq!(schedule.to_string().parse(), Ok(schedule.clone()));
        assert_eq!(
            FaultSchedule::generate(seed, limits),
            schedule,
            "the same seed generates the same schedule"
        );
    }
}

#[test]
fn unknown_fault_is_a_parse_error() {
    let error = "100 explode 3".parse::<FaultSchedule>().unwrap_err();
    assert_eq!(error.text, "explode 3");
    assert!("100 cut 3".parse::<FaultSchedule>().is_err());
    assert!("soon heal".parse::<FaultSchedule>().is_err());
}

#[test]
fn comments_and_empty_lines_are_ignored() {
    let schedule: FaultSchedule = "# two faults\n\n100 kill 3 # the first\n200 heal\n"
        .parse()
        .unwrap();
    assert_eq!(schedule.to_string(), "100 kill 3\n200 heal\n");
}

/// Reports quote seeds, so each seed must keep its schedule. Fails if the order of random draws changes.
#[test]
fn schedule_of_a_seed_never_changes() {
    let text: String = (0..200)
        .map(|seed| FaultSchedule::generate(seed, limits(seed)).to_string())
        .collect();
    assert_eq!(fnv1a(text.as_bytes()), 0xda5e_9641_5eb8_3904);
}

fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
