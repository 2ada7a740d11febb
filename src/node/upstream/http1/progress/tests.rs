use super::*;

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
const LONG_WAIT: Duration = Duration::from_secs(60);

async fn stall(progress: &ExchangeProgress) -> ConnectionError {
    progress
        .wait_for_stall(RESPONSE_TIMEOUT, MIN_SEND_STALL_TIMEOUT)
        .await
}

/// A blocked write and an unfinished head stall; waiting for the client, or for the server to process, does not.
#[tokio::test(start_paused = true)]
async fn stalled_request_and_stalled_head_are_detected() {
    let progress = ExchangeProgress::default();
    progress.begin(&Counter::default());
    progress.record_written(10);
    let waits = tokio::time::timeout(LONG_WAIT, stall(&progress));
    assert!(waits.await.is_err(), "its client may send slowly");
    progress.record_write_blocked();
    assert_eq!(stall(&progress).await, ConnectionError::Stalled);
    progress.is_sent.set(true);
    let waits = tokio::time::timeout(LONG_WAIT, stall(&progress));
    assert!(
        waits.await.is_err(),
        "the server may take all of the request's time"
    );
    progress
        .record_read(b"HTTP/1.1 200")
        .expect("it is within the limit");
    assert_eq!(stall(&progress).await, ConnectionError::InvalidResponse);
}
