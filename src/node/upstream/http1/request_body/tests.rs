use super::*;
use std::cell::Cell;

use admin::Counter;
use flow_control::MemoryBudget;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Uri};
use pool::BytesSent;

use crate::node::downstream::body_stream::{body_stream, BodySender, Upload};

fn request(body: RequestBody) -> Rc<UpstreamRequest> {
    Rc::new(UpstreamRequest {
        method: Method::POST,
        uri: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body,
        sent_attempts: Counter::default(),
        deadline: Cell::default(),
        send_deadline: Cell::default(),
        head_memory: None,
        open_id: None,
    })
}

/// The body of a request with this prefix and rest, the progress of its exchange, and the sender of the rest.
fn streamed_body(
    prefix: &'static [u8],
    rest_bytes: Option<u64>,
) -> (AttemptBody, Rc<ExchangeProgress>, BodySender) {
    let (sender, rest) = body_stream(rest_bytes);
    let memory = MemoryBudget::new(1);
    let reservation = memory.try_reserve(1).expect("the budget is unused");
    let upload = Upload::new(Bytes::from_static(prefix), rest, Rc::new(reservation));
    let progress = Rc::<ExchangeProgress>::default();
    progress.begin(&Counter::default(), &MemoryBudget::new(0));
    let body = AttemptBody::new(&request(RequestBody::Streamed(upload)), &progress);
    (body, progress, sender)
}

async fn next_frame(body: &mut AttemptBody) -> usize {
    let frame = body.frame().await.expect("the body has a frame");
    let frame = frame.expect("the body is not truncated");
    frame.data_ref().map_or(0, Bytes::len)
}

/// The amount sent once the socket has accepted everything that hyper has.
fn sent_after_write(progress: &ExchangeProgress) -> BytesSent {
    progress.record_written(100, 100);
    progress.bytes_sent()
}

/// Guards against a request that counts as never sent although its last byte is on its way: its prefix is the whole
/// body, and hyper does not poll for more.
#[tokio::test]
async fn body_whose_prefix_is_complete_counts_as_sent() {
    let (mut body, progress, _sender) = streamed_body(b"whole", Some(0));
    assert_eq!(sent_after_write(&progress), BytesSent::Partial, "the head");
    assert_eq!(next_frame(&mut body).await, 5);
    assert_eq!(sent_after_write(&progress), BytesSent::Complete);
}

/// Guards against a request that counts as sent, and so is not repeated, before its last byte can have been written.
#[tokio::test]
async fn streamed_body_counts_as_sent_with_its_last_byte_only() {
    for rest_bytes in [Some(4), None] {
        let (mut body, progress, mut sender) = streamed_body(b"pre", rest_bytes);
        assert_eq!(next_frame(&mut body).await, 3);
        assert_eq!(sent_after_write(&progress), BytesSent::Partial);
        for chunk in [&b"re"[..], b"st"] {
            assert_eq!(sent_after_write(&progress), BytesSent::Partial);
            let chunk = Bytes::from_static(chunk);
            sender.send(chunk).await.expect("the receiver is open");
            assert_eq!(next_frame(&mut body).await, 2);
        }
        if rest_bytes.is_none() {
            assert_eq!(sent_after_write(&progress), BytesSent::Partial);
            sender.finish().await.expect("finish reports no error");
            assert!(body.frame().await.is_none(), "the body has ended");
        }
        assert_eq!(sent_after_write(&progress), BytesSent::Complete);
    }
}

/// Guards against a request that counts as never sent because the body of an exchange has recorded nothing.
#[test]
fn request_counts_as_sent_unless_its_body_withholds_the_end() {
    let progress = ExchangeProgress::default();
    progress.begin(&Counter::default(), &MemoryBudget::new(0));
    assert_eq!(progress.bytes_sent(), BytesSent::None);
    assert_eq!(sent_after_write(&progress), BytesSent::Complete);
}

/// Guards against taking a write that the socket accepted in part for the complete request.
#[tokio::test]
async fn partly_accepted_write_is_no_complete_request() {
    let progress = Rc::<ExchangeProgress>::default();
    progress.begin(&Counter::default(), &MemoryBudget::new(0));
    let body = RequestBody::Buffered(Bytes::from_static(b"body"));
    let mut body = AttemptBody::new(&request(body), &progress);
    assert_eq!(next_frame(&mut body).await, 4);
    progress.record_written(103, 104);
    assert_eq!(progress.bytes_sent(), BytesSent::Partial);
    progress.record_written(1, 1);
    assert_eq!(progress.bytes_sent(), BytesSent::Complete);
}

/// Guards against a truncated body that counts as sent completely.
#[tokio::test]
async fn truncated_body_never_counts_as_sent() {
    for rest_bytes in [Some(4), None] {
        let (mut body, progress, sender) = streamed_body(b"pre", rest_bytes);
        assert_eq!(next_frame(&mut body).await, 3);
        drop(sender);
        let frame = body.frame().await.expect("truncation yields a frame");
        assert_eq!(frame.err(), Some(Truncated));
        assert_eq!(sent_after_write(&progress), BytesSent::Partial);
    }
}
