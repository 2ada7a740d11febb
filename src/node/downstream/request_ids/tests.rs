use super::*;

const CAPACITY: usize = 3;

fn id(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("the text is a valid header value")
}

fn table() -> Rc<RequestIds> {
    Rc::new(RequestIds::with_capacity(CAPACITY))
}

async fn reserve(ids: &Rc<RequestIds>, text: &str) -> Result<Rc<OpenRequestId>, RejectedId> {
    ids.reserve(&id(text), RepeatPolicy::RunOnce).await
}

#[tokio::test]
async fn open_id_is_reserved_until_its_last_holder_drops_it() {
    let ids = table();
    let open = reserve(&ids, "a").await.expect("the id is new");
    let second_holder = Rc::clone(&open);
    drop(open);
    assert_eq!(reserve(&ids, "a").await.err(), Some(RejectedId::InUse));
    assert!(reserve(&ids, "b").await.is_ok());
    drop(second_holder);
    assert!(reserve(&ids, "a").await.is_ok());
}

#[tokio::test]
async fn id_stays_reserved_after_its_request_unless_the_response_was_written() {
    let ids = table();
    for (name, is_served, is_written) in [("b", false, true), ("c", true, false), ("d", true, true)]
    {
        let open = reserve(&ids, name).await.expect("the id is new");
        open.record_possible_run();
        if is_served {
            open.record_served();
        }
        if is_written {
            open.record_written();
        }
        drop(open);
        let is_free = reserve(&ids, name).await.is_ok();
        assert_eq!(is_free, is_served && is_written, "{name}");
    }
}

/// Guards against dropping retained ids in favor of new ones.
#[tokio::test]
async fn full_table_refuses_new_ids_and_drops_none() {
    let ids = table();
    for number in 0..CAPACITY {
        let open = reserve(&ids, &number.to_string()).await;
        open.expect("the id is new").record_possible_run();
    }
    assert_eq!(reserve(&ids, "x").await.err(), Some(RejectedId::TableFull));
    let repeatable = ids.reserve(&id("x"), RepeatPolicy::Repeatable).await;
    assert!(repeatable.is_ok(), "it needs no record");
    for number in 0..CAPACITY {
        let text = number.to_string();
        assert_eq!(reserve(&ids, &text).await.err(), Some(RejectedId::InUse));
        let repeatable = ids.reserve(&id(&text), RepeatPolicy::Repeatable).await;
        assert_eq!(repeatable.err(), Some(RejectedId::InUse));
    }
}
