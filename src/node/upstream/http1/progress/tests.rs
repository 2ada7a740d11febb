use super::*;

const SEND_TIMEOUT: Duration = Duration::from_millis(600);
const LONG_WAIT: Duration = Duration::from_secs(60);

/// Whether the exchange counts as stalled within [`LONG_WAIT`].
async fn stalls(progress: &ExchangeProgress) -> bool {
    let stall = progress.wait_for_send_stall(SEND_TIMEOUT);
    tokio::time::timeout(LONG_WAIT, stall).await.is_ok()
}

/// A blocked write counts as a stall; waiting for the client's upload, for the server to process the request, or for the
/// rest of a response head, does not.
#[tokio::test(start_paused = true)]
async fn only_a_request_that_is_not_read_stalls() {
    let progress = ExchangeProgress::default();
    progress.begin(&Counter::default(), &MemoryBudget::new(0));
    progress.set_end_withheld(true);
    progress.record_written(10, 10);
    assert!(!stalls(&progress).await, "the client's upload is awaited");
    progress.record_write_blocked();
    assert!(stalls(&progress).await, "the server reads nothing");
    progress.is_sent.set(true);
    assert!(!stalls(&progress).await, "the server processes the request");
    progress
        .record_read(b"HTTP/1.1 200")
        .expect("the bytes are within the response limit");
    assert!(!stalls(&progress).await, "the server writes its response");
}
