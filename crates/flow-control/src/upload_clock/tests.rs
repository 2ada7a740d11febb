//! Tests of the estimate of an upload's end.

use proptest::prelude::*;

use super::*;

const MIB: u64 = 1024 * 1024;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn hold_ups_count_until_the_client_is_known_to_be_sending() {
    let start = Instant::now();
    let mut clock = UploadClock::default();
    assert_eq!(clock.earliest_end(after(start, 100)), after(start, 100));
    clock.hold(after(start, 100));
    assert_eq!(clock.earliest_end(after(start, 400)), after(start, 100));
    clock.resume(after(start, 500));
    assert_eq!(clock.earliest_end(after(start, 600)), after(start, 200));
    clock.record_incomplete(after(start, 700));
    assert_eq!(clock.earliest_end(after(start, 700)), after(start, 700));
    clock.hold(after(start, 800));
    assert_eq!(clock.earliest_end(after(start, 900)), after(start, 800));
    clock.record_incomplete(after(start, 900));
    assert_eq!(clock.earliest_end(after(start, 950)), after(start, 900));
}

#[test]
fn announced_rest_that_no_buffer_holds_has_not_been_sent() {
    let start = Instant::now();
    let mut clock = UploadClock::default();
    clock.hold(start);
    clock.resume(after(start, 50));
    clock.record_read(after(start, 50), MIB, Some(MAX_UNSEEN_BYTES + 1));
    assert_eq!(clock.earliest_end(after(start, 50)), after(start, 50));
    clock.hold(after(start, 50));
    clock.resume(after(start, 90));
    clock.record_read(after(start, 90), MIB, Some(MAX_UNSEEN_BYTES));
    assert_eq!(clock.earliest_end(after(start, 90)), after(start, 50));
}

proptest! {
    /// Whatever the speeds of the client and of the server, the estimate is not later than the time at which the client sent
    /// the last byte, it never goes back, and the number of checkpoints is bounded. The node reads at once what it can.
    #[test]
    fn estimate_is_never_later_than_the_last_byte(
        reads in proptest::collection::vec((1..3 * MIB, 0..200_u64), 1..80),
        unseen in proptest::collection::vec(0..MAX_UNSEEN_BYTES, 80),
        is_announced: bool,
    ) {
        let start = Instant::now();
        let total: u64 = reads.iter().map(|(bytes, _)| bytes).sum();
        let mut clock = UploadClock::default();
        let (mut read, mut now_ms, mut estimate) = (0, 0, start);
        // The client sends its last byte as soon as what is left fits into the buffers.
        let mut sent_at = (total <= unseen[0]).then_some(0);
        for (number, (bytes, held_ms)) in reads.iter().enumerate() {
            clock.hold(after(start, now_ms));
            now_ms += held_ms;
            clock.resume(after(start, now_ms));
            read += bytes;
            let remaining = total - read;
            if remaining <= unseen[number] {
                sent_at = sent_at.or(Some(now_ms));
            }
            clock.record_read(after(start, now_ms), *bytes, is_announced.then_some(remaining));
            let next_estimate = clock.earliest_end(after(start, now_ms));
            prop_assert!(next_estimate >= estimate);
            estimate = next_estimate;
            if let Some(sent_at) = sent_at {
                prop_assert!(estimate <= after(start, sent_at));
            }
            let max_checkpoints = (MAX_UNSEEN_BYTES / CHECKPOINT_INTERVAL_BYTES) as usize + 3;
            prop_assert!(clock.checkpoints.len() <= max_checkpoints);
        }
    }
}
