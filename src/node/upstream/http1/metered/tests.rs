use super::*;
use std::future::poll_fn;
use std::io::{Read, Write};
use std::task::Waker;

use admin::Counter;
use flow_control::MemoryBudget;
use pool::{Address, BytesSent};

/// A stream whose request has not begun, and the server's end of its connection.
async fn connected_stream() -> (MeteredStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = Address::Ip(listener.local_addr().expect("get the listener's address"));
    let stream = Stream::connect(&address)
        .await
        .expect("connect to the listener");
    let (server, _) = listener.accept().expect("accept the connection");
    let metered = MeteredStream::new(stream, Rc::default());
    metered
        .progress
        .begin(&Counter::default(), &MemoryBudget::new(0));
    (metered, server)
}

/// Bytes that arrive before the first byte of a request, and that the event loop has not reported yet, would be taken
/// for its response. The request must not be written, so that it cannot have run.
#[tokio::test]
async fn request_behind_unsolicited_bytes_is_not_written() {
    let (mut metered, mut server) = connected_stream().await;
    server
        .write_all(b"HTTP/1.1 200 OK\r\n")
        .expect("write to the connection");
    // The event loop runs on this thread and is not polled before the write, so it cannot have reported the bytes.
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
        "nothing of the request may be written"
    );
    assert!(metered.progress.has_unsolicited_bytes());
}

/// Guards against writing the last byte of a request behind a response that has already arrived: the request would run,
/// and the response would be taken for its own.
#[tokio::test]
async fn request_is_not_continued_once_bytes_have_arrived() {
    let (mut metered, mut server) = connected_stream().await;
    metered.progress.set_end_withheld(true);
    let mut cx = Context::from_waker(Waker::noop());
    let first = Pin::new(&mut metered).poll_write(&mut cx, b"POST / HTTP/1.1\r\n");
    assert!(matches!(first, Poll::Ready(Ok(_))), "{first:?}");
    server
        .write_all(b"HTTP/1.1 200 OK\r\n")
        .expect("write to the connection");
    testkit::wait_until("the bytes have arrived", || {
        metered.stream.pending_input() == PendingInput::Bytes
    });
    metered.progress.set_end_withheld(false);
    let waiting = Pin::new(&mut metered).poll_write(&mut cx, b"\r\n");
    assert!(
        waiting.is_pending(),
        "{waiting:?} before the bytes were read"
    );
    let mut storage = [0; 64];
    let mut buffer = ReadBuf::new(&mut storage);
    let read = poll_fn(|cx| Pin::new(&mut metered).poll_read(cx, &mut buffer));
    read.await.expect("read the bytes that have arrived");
    let last = Pin::new(&mut metered).poll_write(&mut cx, b"\r\n");
    assert!(matches!(last, Poll::Ready(Err(_))), "{last:?}");
    assert_eq!(metered.progress.bytes_sent(), BytesSent::Partial);
    assert!(metered.progress.has_unsolicited_bytes());
    drop(metered);
    let mut received = Vec::new();
    server
        .read_to_end(&mut received)
        .expect("read what the server got");
    assert_eq!(received, b"POST / HTTP/1.1\r\n");
}
