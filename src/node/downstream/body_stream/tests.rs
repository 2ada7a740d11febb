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

/// A client must not take a part of a response for all of it.
#[tokio::test]
async fn truncated_response_yields_error_to_client() {
    for total_bytes in [None, Some(4), Some(2)] {
        let (mut sender, mut response, stream_end) = response_stream(total_bytes);
        sender
            .send(Bytes::from_static(b"ab"))
            .await
            .expect("it is read");
        assert!(response.frame().await.expect("a piece").is_ok());
        drop(sender);
        assert_eq!(
            response.frame().await.expect("an error").err(),
            Some(Truncated),
            "{total_bytes:?}"
        );
        assert_eq!(stream_end.get(), Some(StreamEnd::Truncated));
    }
    // A body that is longer or shorter than announced is truncated, too.
    for pieces in [&b"abc"[..], b"a"] {
        let (mut sender, mut response, stream_end) = response_stream(Some(2));
        sender
            .send(Bytes::from_static(pieces))
            .await
            .expect("it is read");
        let fed = tokio::spawn(sender.finish());
        let collected = (&mut response).collect().await;
        assert!(collected.is_err());
        assert_eq!(stream_end.get(), Some(StreamEnd::Truncated));
        fed.await.expect("it ends").expect("in order");
    }
}

#[tokio::test]
async fn complete_response_is_reported_with_and_without_polling_its_end() {
    let (mut sender, response, stream_end) = response_stream(None);
    let feeding = async {
        sender
            .send(Bytes::from_static(b"ab"))
            .await
            .expect("it is read");
        sender.send(Bytes::new()).await.expect("it is read");
        sender.finish().await.expect("it is read");
    };
    let (body, ()) = tokio::join!(response.collect(), feeding);
    assert_eq!(
        (body.expect("whole").to_bytes().as_ref(), stream_end.get()),
        (&b"ab"[..], Some(StreamEnd::Complete))
    );
    // hyper does not poll for the end once all announced bytes have been read.
    let (mut sender, mut response, stream_end) = self::response_stream(Some(2));
    sender
        .send(Bytes::from_static(b"ab"))
        .await
        .expect("it is read");
    assert!(response.frame().await.expect("a piece").is_ok());
    drop(response);
    assert_eq!(stream_end.get(), Some(StreamEnd::Complete));
    assert!(sender.finish().await.is_ok());
}

/// Neither may a server be read for a client that has left, nor a slow client grow the memory.
#[tokio::test(start_paused = true)]
async fn chunk_waits_for_client_and_fails_once_client_left() {
    let (mut sender, response, stream_end) = response_stream(Some(9));
    sender
        .send(Bytes::from_static(b"ab"))
        .await
        .expect("there is room for one");
    let second = sender.send(Bytes::from_static(b"cd"));
    let waits = tokio::time::timeout(Duration::from_secs(4), second).await;
    assert!(waits.is_err(), "and for no more");
    drop(response);
    assert_eq!(stream_end.get(), Some(StreamEnd::ClientLeft));
    assert_eq!(
        sender.send(Bytes::from_static(b"ef")).await,
        Err(StreamError::ReceiverGone)
    );
}

/// A peer may not read a little now and then for as long as it likes; time in which there was nothing to read does not count.
#[tokio::test(start_paused = true)]
async fn slow_receiver_is_abandoned_and_waiting_receiver_is_not() {
    let (mut sender, mut receiver) = body_stream(None);
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_secs(60)).await;
        sender
            .send(Bytes::from_static(b"x"))
            .await
            .expect("it is taken at once");
        assert!(std::future::poll_fn(|cx| receiver.poll(cx)).await.is_some());
    }
    let drips = async {
        while std::future::poll_fn(|cx| receiver.poll(cx))
            .await
            .is_some_and(|next| next.is_ok())
        {
            tokio::time::sleep(Duration::from_secs(4)).await;
        }
    };
    let feeding = async move {
        let mut fed = 0;
        while sender.send(Bytes::from_static(b"xx")).await.is_ok() && fed < 1_000 {
            fed += 1;
        }
        fed
    };
    let ((), fed) = tokio::join!(drips, feeding);
    assert!(fed < 10, "{fed} pieces in 4 s each");
}
