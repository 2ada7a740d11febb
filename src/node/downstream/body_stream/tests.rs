use super::*;
use std::cell::Cell;
use std::rc::Rc;

use http_body_util::BodyExt;

fn response_stream(
    total_bytes: Option<u64>,
) -> (BodySender, ResponseStream, Rc<Cell<Option<StreamEnd>>>) {
    let (sender, receiver) = body_stream(total_bytes);
    let stream_end = Rc::<Cell<Option<StreamEnd>>>::default();
    let reported_end = Rc::clone(&stream_end);
    (
        sender,
        ResponseStream::streamed(receiver, move |end| reported_end.set(Some(end))),
        stream_end,
    )
}

/// Guards against a client that mistakes a truncated response for a complete one.
#[tokio::test]
async fn truncated_response_yields_error_to_client() {
    for total_bytes in [None, Some(4), Some(2)] {
        let (mut sender, mut response, stream_end) = response_stream(total_bytes);
        sender
            .send(Bytes::from_static(b"ab"))
            .await
            .expect("the receiver is open");
        assert!(response
            .frame()
            .await
            .expect("the body has a first frame")
            .is_ok());
        drop(sender);
        assert_eq!(
            response
                .frame()
                .await
                .expect("truncation yields a frame")
                .err(),
            Some(Truncated),
            "second frame with announced length {total_bytes:?}"
        );
        assert_eq!(stream_end.get(), Some(StreamEnd::Truncated));
    }
    // A body that is longer or shorter than announced is truncated, too.
    for body in [&b"abc"[..], b"a"] {
        let (mut sender, mut response, stream_end) = response_stream(Some(2));
        sender
            .send(Bytes::from_static(body))
            .await
            .expect("the receiver is open");
        let finish_task = tokio::spawn(sender.finish());
        let collected = (&mut response).collect().await;
        assert!(
            collected.is_err(),
            "a body of {} bytes must fail: 2 were announced",
            body.len()
        );
        assert_eq!(stream_end.get(), Some(StreamEnd::Truncated));
        finish_task
            .await
            .expect("the finish task ends without a panic")
            .expect("finish reports no error");
    }
}

#[tokio::test]
async fn complete_response_is_reported_with_or_without_polled_end() {
    let (mut sender, response, stream_end) = response_stream(None);
    let sending = async {
        sender
            .send(Bytes::from_static(b"ab"))
            .await
            .expect("the receiver is open");
        sender
            .send(Bytes::new())
            .await
            .expect("an empty chunk is skipped");
        sender.finish().await.expect("finish reports no error");
    };
    let (body, ()) = tokio::join!(response.collect(), sending);
    assert_eq!(
        (
            body.expect("the response is complete").to_bytes().as_ref(),
            stream_end.get()
        ),
        (&b"ab"[..], Some(StreamEnd::Complete))
    );
    // hyper does not poll for the end once all announced bytes have been read.
    let (mut sender, mut response, stream_end) = self::response_stream(Some(2));
    sender
        .send(Bytes::from_static(b"ab"))
        .await
        .expect("the receiver is open");
    assert!(response
        .frame()
        .await
        .expect("the body has a first frame")
        .is_ok());
    drop(response);
    assert_eq!(stream_end.get(), Some(StreamEnd::Complete));
    assert!(
        sender.finish().await.is_ok(),
        "finish succeeds after the receiver is dropped"
    );
}

/// Guards against reading a server's response for a client that has disconnected, and against buffering without bound for a
/// slow client.
#[tokio::test(start_paused = true)]
async fn chunk_waits_for_client_and_fails_once_it_disconnects() {
    let (mut sender, response, stream_end) = response_stream(Some(9));
    sender
        .send(Bytes::from_static(b"ab"))
        .await
        .expect("one chunk is buffered");
    let second = sender.send(Bytes::from_static(b"cd"));
    let result = tokio::time::timeout(Duration::from_secs(4), second).await;
    assert!(result.is_err(), "the second chunk waits for the client");
    drop(response);
    assert_eq!(stream_end.get(), Some(StreamEnd::ClientDisconnected));
    assert_eq!(
        sender.send(Bytes::from_static(b"ef")).await,
        Err(StreamError::ReceiverGone)
    );
}

/// Guards against a peer that occupies a connection indefinitely by reading a few bytes at a time. Time in which there is
/// nothing to read does not count against the receiver.
#[tokio::test(start_paused = true)]
async fn slow_receiver_is_abandoned_but_waiting_receiver_is_not() {
    let (mut sender, mut receiver) = body_stream(None);
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_secs(60)).await;
        sender
            .send(Bytes::from_static(b"x"))
            .await
            .expect("a chunk after a pause is accepted at once");
        assert!(
            std::future::poll_fn(|cx| receiver.poll(cx)).await.is_some(),
            "the receiver yields the chunk"
        );
    }
    let slow_reading = async {
        while std::future::poll_fn(|cx| receiver.poll(cx))
            .await
            .is_some_and(|next| next.is_ok())
        {
            tokio::time::sleep(Duration::from_secs(4)).await;
        }
    };
    let sending = async move {
        let mut sent = 0;
        while sender.send(Bytes::from_static(b"xx")).await.is_ok() && sent < 1_000 {
            sent += 1;
        }
        sent
    };
    let ((), sent) = tokio::join!(slow_reading, sending);
    assert!(
        sent < 10,
        "expected fewer than 10 chunks to a receiver that reads one per 4 s, got {sent}"
    );
}
