use super::*;
use std::io::Write;
use std::task::Waker;

use admin::Counter;
use pool::{Address, BytesSent};

/// Bytes that arrive before the request's first byte, and that the event loop has not seen, would be taken for the
/// response. Nothing is written then, so that the request has not run.
#[tokio::test]
async fn request_behind_unsolicited_bytes_is_not_written() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = Address::Ip(listener.local_addr().expect("an address"));
    let stream = Stream::connect(&address).await.expect("it listens");
    let (mut server, _) = listener.accept().expect("a connection");
    let mut metered = MeteredStream::new(stream, Rc::default());
    metered.progress.begin(&Counter::default());
    server
        .write_all(b"HTTP/1.1 200 OK\r\n")
        .expect("an open connection");
    // The event loop runs on this thread and has not been polled since.
    testkit::wait_until("the bytes have arrived", || {
        metered.stream.pending_input() == PendingInput::Bytes
    });
    let mut cx = Context::from_waker(Waker::noop());
    let written = Pin::new(&mut metered).poll_write(&mut cx, b"GET / HTTP/1.1\r\n");
    assert!(matches!(written, Poll::Ready(Err(_))), "{written:?}");
    let _ = Pin::new(&mut metered).poll_flush(&mut cx);
    assert_eq!(
        metered.progress.bytes_sent(),
        BytesSent::None,
        "it never ran"
    );
    assert!(metered.progress.has_unsolicited_bytes());
}
