use super::*;

fn id(text: &'static str) -> HeaderValue {
    HeaderValue::from_static(text)
}

#[test]
fn open_id_is_reserved_until_its_last_holder_drops_it() {
    let ids = Rc::<RequestIds>::default();
    let open = ids.reserve(&id("a")).expect("the id is new");
    let second_holder = Rc::clone(&open);
    drop(open);
    assert!(ids.reserve(&id("a")).is_none());
    assert!(ids.reserve(&id("b")).is_some());
    drop(second_holder);
    assert!(ids.reserve(&id("a")).is_some());
}

#[test]
fn id_stays_reserved_after_its_request_unless_the_response_was_written() {
    let ids = Rc::<RequestIds>::default();
    for (name, is_served, is_written) in [("b", false, true), ("c", true, false), ("d", true, true)]
    {
        let open = ids.reserve(&id(name)).expect("the id is new");
        open.record_possible_run();
        if is_served {
            open.record_served();
        }
        if is_written {
            open.record_written();
        }
        drop(open);
        let is_free = ids.reserve(&id(name)).is_some();
        assert_eq!(is_free, is_served && is_written, "{name}");
    }
    let open = ids.reserve(&id("a")).expect("the id is new");
    open.record_possible_run();
    drop(open);
    assert!(ids.reserve(&id("a")).is_none());
    for (at, _) in &mut ids.retained.borrow_mut().by_age {
        *at -= RETENTION;
    }
    assert!(ids.reserve(&id("a")).is_some());
    assert!(ids.retained.borrow().ids.is_empty());
}

#[test]
fn number_of_retained_ids_is_bounded() {
    let ids = Rc::<RequestIds>::default();
    for number in 0..=MAX_RETAINED_IDS {
        let id = HeaderValue::from_str(&number.to_string()).expect("digits are valid");
        let open = ids.reserve(&id).expect("the id is new");
        open.record_possible_run();
    }
    assert_eq!(ids.retained.borrow().by_age.len(), MAX_RETAINED_IDS);
    assert_eq!(ids.retained.borrow().ids.len(), MAX_RETAINED_IDS);
    assert!(ids.reserve(&id("0")).is_some());
    assert!(ids.reserve(&id("1")).is_none());
}
