//! Arbitrary data from an agent causes no panic, and an invalid response is not reported as
//! current.

use consul::{Action, Api, Event, Instance, Mapping, Query, Watch, WatchSettings};
use proptest::prelude::*;

const VALID: &str = r#"[{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"a","Port":80,"Weights":{"Passing":1,"Warning":1},"Meta":{"k":"v"}},"Checks":[{"CheckID":"c","Status":"passing"}]}]"#;

fn watch() -> Watch {
    let mut watch = Watch::new(
        WatchSettings::new(Query::health("holds"), Mapping::default(), 2),
        3,
    );
    watch.handle(0.0, Event::TimerExpired, &mut Vec::new());
    watch
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_body_is_reported_only_if_it_is_a_json_array(
        pieces in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..60), 0..8),
        index in ".{0,20}",
        age in ".{0,8}",
    ) {
        let (mut watch, mut actions) = (watch(), Vec::new());
        let headers = [("X-Consul-Index", index.as_str()), ("Age", age.as_str()), ("X-Cache", "HIT")];
        watch.handle(1.0, Event::Head { status: 200, headers: &headers }, &mut actions);
        for piece in &pieces {
            watch.handle(1.0, Event::Body(piece), &mut actions);
        }
        watch.handle(1.0, Event::End, &mut actions);
        let body: Vec<u8> = pieces.concat();
        let is_json_array = serde_json::from_slice::<Vec<serde::de::IgnoredAny>>(&body).is_ok();
        let is_reported = actions.iter().any(|action| matches!(action, Action::Report(report) if report.is_current));
        prop_assert!(is_json_array || !is_reported, "reported, but not a JSON array: {body:?}");
    }

    /// A corrupted response is reported, rejected, or reported as not current.
    #[test]
    fn corrupted_response_is_reported_only_if_it_is_json(changes in proptest::collection::vec((0..VALID.len(), any::<u8>()), 1..4)) {
        let mut bytes = VALID.as_bytes().to_vec();
        for (position, byte) in changes {
            bytes[position] = byte;
        }
        let (mut watch, mut actions) = (watch(), Vec::new());
        watch.handle(1.0, Event::Head { status: 200, headers: &[("X-Consul-Index", "5")] }, &mut actions);
        watch.handle(1.0, Event::Body(&bytes), &mut actions);
        watch.handle(1.0, Event::End, &mut actions);
        let is_reported = actions.iter().any(|action| matches!(action, Action::Report(report) if report.is_current));
        prop_assert!(!is_reported || serde_json::from_slice::<serde::de::IgnoredAny>(&bytes).is_ok());
    }

    #[test]
    fn arbitrary_text_is_parsed_as_an_instance_without_panic(text in "[\\{\\}\\[\\],:\"a-zA-Z0-9 ]{0,120}") {
        let _ = Instance::parse(Api::Health, text.as_bytes());
        let _ = Instance::parse(Api::Catalog, text.as_bytes());
    }

    #[test]
    fn events_in_any_order_send_one_query_at_a_time(events in proptest::collection::vec(0..6_u8, 1..60)) {
        let (mut watch, mut now_ms, mut is_in_flight) = (watch(), 0.0, true);
        for event in events {
            let mut actions = Vec::new();
            now_ms += 50.0;
            let event = match event {
                0 => Event::TimerExpired,
                1 => Event::Head { status: 200, headers: &[("X-Consul-Index", "5")] },
                2 => Event::Head { status: 500, headers: &[] },
                3 => Event::Body(VALID.as_bytes()),
                4 => Event::End,
                _ => Event::ConnectionFailed("reset".into()),
            };
            let ends_query = matches!(event, Event::End | Event::ConnectionFailed(_) | Event::Head { status: 500, .. });
            watch.handle(now_ms, event, &mut actions);
            for action in &actions {
                match action {
                    Action::SendQuery { .. } => {
                        prop_assert!(!is_in_flight, "a query was sent while one is in flight");
                        is_in_flight = true;
                    }
                    Action::CloseConnection | Action::Report(_) | Action::ReportUnreachable => is_in_flight = false,
                    Action::SetTimer(at_ms) => prop_assert!(*at_ms >= now_ms),
                    Action::LogError { .. } => {}
                }
            }
            if ends_query && !actions.is_empty() {
                is_in_flight = false;
            }
        }
    }
}
