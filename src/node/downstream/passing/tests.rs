use super::*;
use std::cell::Cell;
use std::rc::Rc;

use http_body_util::BodyExt;

fn outgoing(told: Option<u64>) -> (Feeder, Outgoing, Rc<Cell<Option<Passed>>>) {
    let (feeder, passing) = passing(told);
    let how = Rc::<Cell<Option<Passed>>>::default();
    let tell = Rc::clone(&how);
    (
        feeder,
        Outgoing::passing(passing, move |end| tell.set(Some(end))),
        how,
    )
}

/// Guards against a client that takes a part of an answer for all of it.
#[tokio::test]
async fn an_answer_that_is_cut_has_no_end_for_its_client() {
    for told in [None, Some(4), Some(2)] {
        let (mut feeder, mut outgoing, how) = outgoing(told);
        feeder
            .feed(Bytes::from_static(b"ab"))
            .await
            .expect("it is read");
        assert!(outgoing.frame().await.expect("a piece").is_ok());
        drop(feeder);
        assert_eq!(
            outgoing.frame().await.expect("an error").err(),
            Some(Unfinished),
            "{told:?}"
        );
        assert_eq!(how.get(), Some(Passed::Cut));
    }
    // More or less than was told is cut, too.
    for pieces in [&b"abc"[..], b"a"] {
        let (mut feeder, mut outgoing, how) = outgoing(Some(2));
        feeder
            .feed(Bytes::from_static(pieces))
            .await
            .expect("it is read");
        let fed = tokio::spawn(feeder.end());
        let collected = (&mut outgoing).collect().await;
        assert!(collected.is_err());
        assert_eq!(how.get(), Some(Passed::Cut));
        fed.await.expect("it ends").expect("in order");
    }
}

#[tokio::test]
async fn a_whole_answer_is_told_so_however_its_end_is_seen() {
    let (mut feeder, outgoing, how) = outgoing(None);
    let feeding = async {
        feeder
            .feed(Bytes::from_static(b"ab"))
            .await
            .expect("it is read");
        feeder.feed(Bytes::new()).await.expect("it is read");
        feeder.end().await.expect("it is read");
    };
    let (body, ()) = tokio::join!(outgoing.collect(), feeding);
    assert_eq!(
        (body.expect("whole").to_bytes().as_ref(), how.get()),
        (&b"ab"[..], Some(Passed::Whole))
    );
    // Nobody asks for the end of a body whose length has come.
    let (mut feeder, mut outgoing, how) = self::outgoing(Some(2));
    feeder
        .feed(Bytes::from_static(b"ab"))
        .await
        .expect("it is read");
    assert!(outgoing.frame().await.expect("a piece").is_ok());
    drop(outgoing);
    assert_eq!(how.get(), Some(Passed::Whole));
    assert!(feeder.end().await.is_ok());
}

/// Guards against a server that is read on for a client that has left, and against memory that a slow client grows.
#[tokio::test(start_paused = true)]
async fn a_piece_waits_for_its_client_and_ends_with_it() {
    let (mut feeder, outgoing, how) = outgoing(Some(9));
    feeder
        .feed(Bytes::from_static(b"ab"))
        .await
        .expect("there is room for one");
    let second = feeder.feed(Bytes::from_static(b"cd"));
    let waits = tokio::time::timeout(Duration::from_secs(4), second).await;
    assert!(waits.is_err(), "and for no more");
    drop(outgoing);
    assert_eq!(how.get(), Some(Passed::Left));
    assert_eq!(
        feeder.feed(Bytes::from_static(b"ef")).await,
        Err(Cut::ClientLeft)
    );
}

/// Guards against a peer that takes a little now and then for as long as it likes, and against blaming it for the
/// time in which there was nothing to take.
#[tokio::test(start_paused = true)]
async fn who_takes_too_little_is_given_up_and_who_is_given_nothing_is_not() {
    let (mut feeder, mut passing) = passing(None);
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_secs(60)).await;
        feeder
            .feed(Bytes::from_static(b"x"))
            .await
            .expect("it is taken at once");
        assert!(std::future::poll_fn(|cx| passing.poll(cx)).await.is_some());
    }
    let drips = async {
        while std::future::poll_fn(|cx| passing.poll(cx))
            .await
            .is_some_and(|next| next.is_ok())
        {
            tokio::time::sleep(Duration::from_secs(4)).await;
        }
    };
    let feeding = async move {
        let mut fed = 0;
        while feeder.feed(Bytes::from_static(b"xx")).await.is_ok() && fed < 1_000 {
            fed += 1;
        }
        fed
    };
    let ((), fed) = tokio::join!(drips, feeding);
    assert!(fed < 10, "{fed} pieces in 4 s each");
}
