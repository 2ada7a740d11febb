use super::*;

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
const LONG_WAIT: Duration = Duration::from_secs(60);

async fn next_stall(progress: &ExchangeProgress) -> ConnectionError {
    progress
        .wait_for_stall(RESPONSE_TIMEOUT, MIN_SEND_STALL_TIMEOUT)
        .await
}

/// A blocked write and an incomplete head count as stalls; waiting for the client's upload, or for the server to
/// process the request, does not.
#[tokio::test(start_paused = true)]
async fn stalled_request_and_stalled_head_are_detected() {
    let progress = ExchangeProgress::default();
    progress.begin(&Counter::default(), &MemoryBudget::new(0));
    progress.set_end_withheld(true);
    progress.record_written(10, 10);
    let wait = tokio::time::timeout(LONG_WAIT, next_stall(&progress));
    assert!(
        wait.await.is_err(),
        "waiting for the client's upload is not a stall"
    );
    progress.record_write_blocked();
    assert_eq!(next_stall(&progress).await, ConnectionError::Stalled);
    progress.is_sent.set(true);
    let wait = tokio::time::timeout(LONG_WAIT, next_stall(&progress));
    assert!(
        wait.await.is_err(),
        "waiting for the server to process the request is not a stall"
    );
    progress
        .record_read(b"HTTP/1.1 200")
        .expect("the bytes are within the response limit");
    assert_eq!(
        next_stall(&progress).await,
        ConnectionError::InvalidResponse
    );
}
