//! Nothing that an agent sends panics, and what is no sound answer tells nothing.

use consul::{Action, Api, Event, Instance, Mapping, Query, Watch, WatchSettings};
use proptest::prelude::*;

const SOUND: &str = r#"[{"Node":{"Node":"n","Address":"10.0.0.1"},"Service":{"ID":"a","Port":80,"Weights":{"Passing":1,"Warning":1},"Meta":{"k":"v"}},"Checks":[{"CheckID":"c","Status":"passing"}]}]"#;

fn watch() -> Watch {
    let mut watch = Watch::new(
        WatchSettings::new(Query::health("holds"), Mapping::default(), 2),
        3,
    );
    watch.handle(0.0, Event::Due, &mut Vec::new());
    watch
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_in_any_pieces(
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
        let whole: Vec<u8> = pieces.concat();
        let is_list = serde_json::from_slice::<Vec<serde::de::IgnoredAny>>(&whole).is_ok();
        let told = actions.iter().any(|action| matches!(action, Action::Tell(news) if news.fresh));
        prop_assert!(is_list || !told, "told from {whole:?}");
    }

    /// A sound answer with some bytes changed: it is read, or refused, or told as not whole.
    #[test]
    fn a_sound_answer_with_bytes_changed(changes in proptest::collection::vec((0..SOUND.len(), any::<u8>()), 1..4)) {
        let mut bytes = SOUND.as_bytes().to_vec();
        for (at, byte) in changes {
            bytes[at] = byte;
        }
        let (mut watch, mut actions) = (watch(), Vec::new());
        watch.handle(1.0, Event::Head { status: 200, headers: &[("X-Consul-Index", "5")] }, &mut actions);
        watch.handle(1.0, Event::Body(&bytes), &mut actions);
        watch.handle(1.0, Event::End, &mut actions);
        let told = actions.iter().any(|action| matches!(action, Action::Tell(news) if news.fresh));
        prop_assert!(!told || serde_json::from_slice::<serde::de::IgnoredAny>(&bytes).is_ok());
    }

    #[test]
    fn any_json_as_an_instance(text in "[\\{\\}\\[\\],:\"a-zA-Z0-9 ]{0,120}") {
        let _ = Instance::read(Api::Health, text.as_bytes());
        let _ = Instance::read(Api::Catalog, text.as_bytes());
    }

    /// Events in any order: a time is always asked for, and a query is never out twice.
    #[test]
    fn any_order_of_events(events in proptest::collection::vec(0..6_u8, 1..60)) {
        let (mut watch, mut now, mut out) = (watch(), 0.0, true);
        for event in events {
            let mut actions = Vec::new();
            now += 50.0;
            let event = match event {
                0 => Event::Due,
                1 => Event::Head { status: 200, headers: &[("X-Consul-Index", "5")] },
                2 => Event::Head { status: 500, headers: &[] },
                3 => Event::Body(SOUND.as_bytes()),
                4 => Event::End,
                _ => Event::Broken("reset".into()),
            };
            let ends = matches!(event, Event::End | Event::Broken(_) | Event::Head { status: 500, .. });
            watch.handle(now, event, &mut actions);
            for action in &actions {
                match action {
                    Action::Ask { .. } => {
                        prop_assert!(!out, "one is out");
                        out = true;
                    }
                    Action::HangUp | Action::Tell(_) | Action::Lost => out = false,
                    Action::WakeAt(at) => prop_assert!(*at >= now),
                    Action::Trouble { .. } => {}
                }
            }
            if ends && !actions.is_empty() {
                out = false;
            }
        }
    }
}
