use super::*;

const STALL: Duration = Duration::from_millis(250);
use std::io::Write;
use std::task::Waker;

use pool::Address;

/// Guards against bytes that come as the next request goes out, before the event loop has heard of them: they
/// would be taken for its answer. Nothing is written then, so that nothing has run.
#[tokio::test]
async fn a_request_is_not_begun_behind_bytes_that_came_unasked() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = Address::Ip(listener.local_addr().expect("an address"));
    let stream = Stream::connect(&address).await.expect("it listens");
    let (mut server, _) = listener.accept().expect("a connection");
    let mut metered = Metered::new(stream, Rc::default());
    metered.traffic.begin(&Counter::default());
    server
        .write_all(b"HTTP/1.1 200 OK\r\n")
        .expect("an open connection");
    // The event loop, which runs on this thread, hears of nothing.
    testkit::until("the system has heard", || {
        metered.stream.news() == News::Bytes
    });
    let mut cx = Context::from_waker(Waker::noop());
    let written = Pin::new(&mut metered).poll_write(&mut cx, b"GET / HTTP/1.1\r\n");
    assert!(matches!(written, Poll::Ready(Err(_))), "{written:?}");
    let _ = Pin::new(&mut metered).poll_flush(&mut cx);
    assert_eq!(metered.traffic.sent(), BytesSent::None, "it never ran");
    assert!(metered.traffic.is_odd());
}

/// Guards against a server that takes no more of a request: nothing of it can have run.
#[tokio::test(start_paused = true)]
async fn a_request_that_does_not_go_on_is_given_up() {
    let traffic = Traffic::default();
    traffic.begin(&Counter::default());
    traffic.note_written(10);
    let waits = tokio::time::timeout(Duration::from_secs(60), traffic.stalls(STALL, SEND_STALL));
    assert!(waits.await.is_err(), "its client may send slowly");
    traffic.note_blocked();
    assert_eq!(
        traffic.stalls(STALL, SEND_STALL).await,
        ConnectionError::Stalled
    );
    traffic.whole.set(true);
    let waits = tokio::time::timeout(Duration::from_secs(60), traffic.stalls(STALL, SEND_STALL));
    assert!(
        waits.await.is_err(),
        "it may think for as long as the request's time goes"
    );
    traffic.note_read(b"HTTP/1.1 200");
    assert_eq!(
        traffic.stalls(STALL, SEND_STALL).await,
        ConnectionError::InvalidResponse
    );
}
