//! A watch in virtual time, with agents that lag, send wrong data, restart or disappear.

use consul::{
    Action, Event, Lifecycle, Mapping, PollError, Query, ServiceUpdate, Watch, WatchSettings,
};

/// An instance in the JSON of the health API.
fn instance(id: &str, status: &str) -> String {
    format!(
        r#"{{"Node":{{"Node":"n","Address":"10.0.0.1"}},"Service":{{"ID":"{id}","Service":"holds","Port":80}},
            "Checks":[{{"CheckID":"c","Status":"{status}"}}]}}"#
    )
}

fn list(instances: &[String]) -> String {
    format!("[{}]", instances.join(","))
}

/// A watch with its current time and the actions of its last events.
struct WatchHarness {
    watch: Watch,
    now_ms: f64,
    actions: Vec<Action>,
}

impl WatchHarness {
    fn new(agent_count: usize) -> Self {
        let settings = WatchSettings::new(Query::health("holds"), Mapping::default(), agent_count);
        let mut harness = Self {
            watch: Watch::new(settings, 1),
            now_ms: 0.0,
            actions: Vec::new(),
        };
        harness.handle(Event::TimerExpired);
        harness
    }

    fn handle(&mut self, event: Event<'_>) {
        self.actions.clear();
        self.watch.handle(self.now_ms, event, &mut self.actions);
    }

    /// Advances the time to the timer, and expires it.
    fn expire_timer(&mut self) {
        self.now_ms = self.timer_ms();
        self.handle(Event::TimerExpired);
    }

    fn timer_ms(&self) -> f64 {
        let at_ms = self.actions.iter().rev().find_map(|action| match action {
            Action::SetTimer(at_ms) => Some(*at_ms),
            _ => None,
        });
        at_ms.expect("every step sets a timer")
    }

    /// The agent and path of the query that was sent.
    fn sent_query(&self) -> (usize, String) {
        let query = self.actions.iter().find_map(|action| match action {
            Action::SendQuery { agent, path } => Some((*agent, path.clone())),
            _ => None,
        });
        query.unwrap_or_else(|| panic!("no query sent: {:?}", self.actions))
    }

    /// The update that was reported.
    fn report(&self) -> &ServiceUpdate {
        let report = self.actions.iter().find_map(|action| match action {
            Action::Report(report) => Some(report),
            _ => None,
        });
        report.unwrap_or_else(|| panic!("nothing reported: {:?}", self.actions))
    }

    /// Receives a complete response; `actions` then holds the resulting actions.
    fn respond(&mut self, index: u64, body: &str) {
        self.respond_with_headers(
            &[
                ("X-Consul-Index", &index.to_string()),
                ("X-Consul-KnownLeader", "true"),
            ],
            body,
        );
    }

    fn respond_with_headers(&mut self, headers: &[(&str, &str)], body: &str) {
        self.actions.clear();
        for event in [
            Event::Head {
                status: 200,
                headers,
            },
            Event::Body(body.as_bytes()),
            Event::End,
        ] {
            self.watch.handle(self.now_ms, event, &mut self.actions);
        }
    }

    /// The errors that were logged.
    fn errors(&self) -> Vec<&PollError> {
        let mut errors = Vec::new();
        for action in &self.actions {
            if let Action::LogError { error, .. } = action {
                errors.push(error);
            }
        }
        errors
    }

    fn reports_unreachable(&self) -> bool {
        self.actions.contains(&Action::ReportUnreachable)
    }
}

#[test]
fn query_blocks_on_the_index_of_the_previous_response() {
    let mut harness = WatchHarness::new(1);
    assert_eq!(harness.sent_query(), (0, "/v1/health/service/holds".into()));
    harness.respond(
        41,
        &list(&[instance("a", "passing"), instance("b", "warning")]),
    );
    assert_eq!(
        (
            harness.report().updated.len(),
            harness.report().index,
            harness.report().is_current
        ),
        (2, 41, true)
    );
    harness.expire_timer();
    assert_eq!(
        harness.sent_query().1,
        "/v1/health/service/holds?index=41&wait=60s"
    );
    assert!(
        (harness.timer_ms() - harness.now_ms - 63_750.0 - 5_000.0).abs() < 1.0,
        "the timeout includes Consul's jitter"
    );
    harness.now_ms += 30_000.0;
    harness.respond(
        43,
        &list(&[instance("a", "critical"), instance("b", "warning")]),
    );
    let report = harness.report();
    assert_eq!(
        (
            report.updated.len(),
            report.updated[0].key.as_str(),
            report.updated[0].lifecycle
        ),
        (1, "a", Lifecycle::Gone)
    );
    harness.expire_timer();
    harness.now_ms += 30_000.0;
    harness.respond(44, &list(&[instance("b", "warning")]));
    assert_eq!(
        (
            harness.report().updated.len(),
            harness.report().removed.as_slice()
        ),
        (0, ["a".to_owned()].as_slice())
    );
}

#[test]
fn unchanged_response_is_reported_as_empty() {
    let mut harness = WatchHarness::new(1);
    let body = list(&[instance("a", "passing")]);
    harness.respond(41, &body);
    harness.expire_timer();
    harness.now_ms += 61_000.0;
    harness.respond(41, &body);
    assert!(
        harness.report().is_current
            && harness.report().updated.is_empty()
            && harness.report().removed.is_empty()
    );
    assert_eq!(harness.report().epoch, 0);
}

#[test]
fn decreased_index_begins_a_new_epoch_without_blocking() {
    let mut harness = WatchHarness::new(1);
    harness.respond(41, &list(&[instance("a", "critical")]));
    harness.expire_timer();
    harness.respond(7, &list(&[instance("a", "passing")]));
    assert_eq!((harness.report().epoch, harness.report().index), (1, 7));
    assert_eq!(harness.errors(), [&PollError::InvalidIndex]);
    harness.expire_timer();
    assert_eq!(harness.sent_query().1, "/v1/health/service/holds");
    harness.respond(8, &list(&[instance("a", "passing")]));
    assert_eq!(harness.report().epoch, 1);
    harness.expire_timer();
    assert!(harness.sent_query().1.contains("index=8&"));
}

#[test]
fn change_with_an_unchanged_index_begins_a_new_epoch() {
    let mut harness = WatchHarness::new(1);
    for round in 0..4 {
        harness.respond(
            41,
            &list(&[instance("a", ["passing", "critical"][round % 2])]),
        );
        assert_eq!(harness.report().epoch, round as u64);
        harness.expire_timer();
    }
}

#[test]
fn index_that_jumps_up_and_decreases_begins_a_new_epoch() {
    let mut harness = WatchHarness::new(1);
    harness.respond(41, &list(&[]));
    harness.expire_timer();
    harness.respond(u64::MAX, &list(&[instance("a", "passing")]));
    assert_eq!(
        (harness.report().epoch, harness.report().updated.len()),
        (0, 1)
    );
    harness.expire_timer();
    harness.respond(43, &list(&[]));
    assert_eq!(
        (harness.report().epoch, harness.report().removed.len()),
        (1, 1),
        "epoch and number of removed endpoints"
    );
}

/// Guards against a busy loop of queries to an agent that responds immediately.
#[test]
fn agent_that_does_not_block_is_queried_less_often() {
    for index in ["41", "0", "none", "-3"] {
        let mut harness = WatchHarness::new(1);
        let mut queries = 0;
        while harness.now_ms < 60_000.0 {
            harness.respond_with_headers(
                &[("X-Consul-Index", index)],
                &list(&[instance("a", "passing")]),
            );
            harness.expire_timer();
            queries += 1;
        }
        assert!(
            (20..50).contains(&queries),
            "{queries} queries in a minute with index {index}"
        );
    }
}

/// Guards against a busy loop of queries whose responses change each time.
#[test]
fn constant_changes_are_rate_limited() {
    let mut harness = WatchHarness::new(1);
    let (mut queries, mut index) = (0, 1);
    while harness.now_ms < 10_000.0 {
        index += 1;
        harness.respond(index, &list(&[instance(&format!("a{index}"), "passing")]));
        harness.expire_timer();
        queries += 1;
    }
    assert!(
        (90..=110).contains(&queries),
        "{queries} queries in ten seconds at an interval of 100 ms"
    );
}

#[test]
fn burst_of_changes_after_a_pause_is_not_delayed() {
    let mut harness = WatchHarness::new(1);
    harness.respond(1, "[]");
    harness.expire_timer();
    harness.now_ms += 10_000.0;
    let started_at_ms = harness.now_ms;
    for index in 2..6 {
        harness.respond(index, &list(&[instance(&format!("a{index}"), "passing")]));
        harness.expire_timer();
    }
    assert!(harness.now_ms - started_at_ms < 1.0);
}

#[test]
fn agent_that_is_stale_repeatedly_is_replaced_by_the_next() {
    for header in [
        ("X-Consul-KnownLeader", "false"),
        ("X-Consul-LastContact", "60000"),
    ] {
        let mut harness = WatchHarness::new(2);
        for round in 0..3 {
            assert_eq!(harness.sent_query().0, 0, "round {round}");
            harness.respond_with_headers(
                &[("X-Consul-Index", "41"), header],
                &list(&[instance("a", "passing")]),
            );
            assert!(!harness.report().is_current);
            harness.expire_timer();
        }
        // The next agent may have no newer data, and a blocking query would then leave the source
        // stale for the whole wait.
        assert_eq!(harness.sent_query(), (1, "/v1/health/service/holds".into()));
    }
}

#[test]
fn failing_agents_are_queried_in_rotation_and_with_backoff() {
    let mut harness = WatchHarness::new(3);
    harness.respond(41, &list(&[instance("a", "passing")]));
    harness.expire_timer();
    let mut unreachable_reports = 0;
    for agent in [0, 1, 2] {
        assert_eq!(harness.sent_query().0, agent);
        harness.handle(Event::ConnectionFailed("refused".into()));
        assert_eq!(
            harness.reports_unreachable(),
            agent == 2,
            "the source is unreachable only once every agent has failed"
        );
        unreachable_reports += usize::from(harness.reports_unreachable());
        harness.expire_timer();
    }
    assert!(harness.now_ms < 1_000.0);
    let mut delays_ms = Vec::new();
    for _ in 0..40 {
        harness.handle(Event::ConnectionFailed("refused".into()));
        unreachable_reports += usize::from(harness.reports_unreachable());
        delays_ms.push(harness.timer_ms() - harness.now_ms);
        harness.expire_timer();
    }
    assert_eq!(
        unreachable_reports, 1,
        "number of reports that the source is unreachable"
    );
    assert!(
        delays_ms
            .iter()
            .all(|delay_ms| (125.0..=30_000.0).contains(delay_ms)),
        "delays in ms: {delays_ms:?}"
    );
    assert!(
        delays_ms[30..].iter().all(|delay_ms| *delay_ms >= 15_000.0),
        "delays in ms: {delays_ms:?}"
    );
    let distinct: std::collections::HashSet<_> = delays_ms[30..]
        .iter()
        .map(|delay_ms| *delay_ms as u64)
        .collect();
    assert!(distinct.len() > 5, "the delays have jitter: {distinct:?}");
    // The first response after the failures is reported, and the next query blocks again.
    harness.respond(41, &list(&[instance("a", "passing")]));
    assert!(harness.report().is_current);
    harness.expire_timer();
    assert!(harness.sent_query().1.contains("index=41"));
}

/// An error that continues for an hour is logged once per agent, and once more if it occurs again
/// after a pause.
#[test]
fn error_that_continues_is_logged_only_when_it_begins() {
    let mut harness = WatchHarness::new(2);
    let mut logged = 0;
    while harness.now_ms < 3_600_000.0 {
        harness.handle(Event::ConnectionFailed("refused".into()));
        logged += harness.errors().len();
        harness.expire_timer();
    }
    assert_eq!(logged, 2);
    harness.handle(Event::Head {
        status: 403,
        headers: &[],
    });
    assert_eq!(
        harness.errors(),
        [&PollError::Unauthorized],
        "an error of another kind is logged"
    );
    harness.expire_timer();
    for _ in 0..2 {
        harness.respond(41, "[]");
        harness.expire_timer();
        harness.now_ms += 60_000.0;
    }
    harness.handle(Event::ConnectionFailed("refused".into()));
    assert_eq!(harness.errors().len(), 1);
}

/// Guards against one log line per response, at ten responses per second.
#[test]
fn index_that_is_always_invalid_is_logged_once() {
    for (first, second) in [(41, 7), (41, 41), (0, 0)] {
        let (mut harness, mut logged) = (WatchHarness::new(1), 0);
        for round in 0..100 {
            let index = if round % 2 == 0 { first } else { second };
            harness.respond(
                index,
                &list(&[instance("a", ["passing", "critical"][round % 2])]),
            );
            logged += harness.errors().len();
            harness.expire_timer();
        }
        assert_eq!(
            logged, 1,
            "log lines for the alternating indexes {first} and {second}"
        );
    }
}

#[test]
fn error_status_discards_no_known_instance() {
    for status in [429, 403, 500, 503, 302, 204] {
        let mut harness = WatchHarness::new(1);
        harness.respond(41, &list(&[instance("a", "passing")]));
        harness.expire_timer();
        harness.handle(Event::Head {
            status,
            headers: &[("X-Consul-Index", "50")],
        });
        assert!(
            harness.actions.contains(&Action::CloseConnection) && harness.reports_unreachable()
        );
        harness.handle(Event::Body(b"[]"));
        harness.handle(Event::End);
        assert!(
            harness.actions.is_empty(),
            "an abandoned response is ignored"
        );
        assert_eq!(harness.watch.instance_count(), 1);
    }
}

#[test]
fn response_truncated_anywhere_changes_nothing() {
    let body = list(&[instance("a", "critical"), instance("b", "passing")]);
    for length in 0..body.len() {
        for ends_normally in [true, false] {
            let mut harness = WatchHarness::new(1);
            harness.respond(
                41,
                &list(&[instance("a", "passing"), instance("c", "passing")]),
            );
            harness.expire_timer();
            harness.handle(Event::Head {
                status: 200,
                headers: &[("X-Consul-Index", "50")],
            });
            harness.handle(Event::Body(&body.as_bytes()[..length]));
            harness.handle(if ends_normally {
                Event::End
            } else {
                Event::ConnectionFailed("reset".into())
            });
            assert!(harness.reports_unreachable(), "truncated to {length} bytes");
            assert!(!harness
                .actions
                .iter()
                .any(|action| matches!(action, Action::Report(_))));
            harness.expire_timer();
            harness.respond(51, &body);
            assert_eq!(
                (
                    harness.report().updated.len(),
                    harness.report().removed.len()
                ),
                (2, 1)
            );
        }
    }
}

#[test]
fn response_that_is_missing_or_stalls_is_abandoned() {
    let mut harness = WatchHarness::new(2);
    harness.respond(41, "[]");
    harness.expire_timer();
    let sent_at_ms = harness.now_ms;
    harness.expire_timer();
    assert!(harness.now_ms - sent_at_ms > 60_000.0 && harness.now_ms - sent_at_ms < 70_000.0);
    assert!(harness.actions.contains(&Action::CloseConnection));
    assert_eq!(harness.errors(), [&PollError::Timeout]);
    harness.expire_timer();
    harness.handle(Event::Head {
        status: 200,
        headers: &[],
    });
    let head_at_ms = harness.now_ms;
    harness.handle(Event::Body(b"["));
    harness.expire_timer();
    assert_eq!(
        (
            harness.now_ms - head_at_ms,
            harness.actions.contains(&Action::CloseConnection)
        ),
        (5_000.0, true)
    );
}

/// Guards against a source that stays live while a response trickles in indefinitely.
#[test]
fn response_that_trickles_in_is_abandoned() {
    let mut harness = WatchHarness::new(1);
    harness.handle(Event::Head {
        status: 200,
        headers: &[],
    });
    let mut pieces = 0;
    loop {
        let timer_ms = harness.timer_ms();
        harness.now_ms += 4_000.0;
        if timer_ms <= harness.now_ms {
            harness.now_ms = timer_ms;
            harness.handle(Event::TimerExpired);
            break;
        }
        harness.handle(Event::Body(b" "));
        pieces += 1;
        assert!(pieces < 20, "not abandoned after {pieces} pieces");
    }
    assert!(harness.reports_unreachable() && harness.actions.contains(&Action::CloseConnection));
}

#[test]
fn response_without_an_end_is_abandoned() {
    let mut harness = WatchHarness::new(1);
    harness.handle(Event::Head {
        status: 200,
        headers: &[("X-Consul-Index", "1")],
    });
    harness.handle(Event::Body(b"["));
    let mut sent_bytes = 0;
    let piece = format!("{},", instance("a", "passing")).repeat(100);
    while !harness.reports_unreachable() {
        harness.handle(Event::Body(piece.as_bytes()));
        sent_bytes += piece.len();
        assert!(
            sent_bytes < 50_000_000,
            "not abandoned after {sent_bytes} bytes"
        );
    }
    assert_eq!(harness.watch.instance_count(), 0);
}

#[test]
fn malformed_response_is_rejected_and_instance_skipped() {
    for body in ["", "null", "{}", "\"[]\"", "[1,", "<html>", "[] trailing"] {
        let mut harness = WatchHarness::new(1);
        harness.respond(41, body);
        assert!(harness.reports_unreachable(), "body {body:?} is rejected");
    }
    let malformed_instances = [
        "7",
        "{}",
        r#"{"Node":{},"Service":{}}"#,
        r#"{"Node":{"Node":"n"},"Service":{"ID":"x","Port":99999}}"#,
        r#"{"Node":{"Node":"n"},"Service":{"ID":"x"},"Checks":[{"Status":"odd"}]}"#,
    ];
    for malformed in malformed_instances {
        let mut harness = WatchHarness::new(1);
        harness.respond(
            40,
            &list(&[instance("a", "passing"), instance("b", "passing")]),
        );
        harness.expire_timer();
        harness.respond(
            41,
            &list(&[malformed.to_owned(), instance("a", "critical")]),
        );
        let report = harness.report();
        assert!(
            !report.is_current,
            "a response with the malformed instance {malformed} is not current"
        );
        assert_eq!(
            (report.updated.len(), report.updated[0].key.as_str()),
            (1, "a")
        );
        assert!(
            matches!(harness.errors()[..], [PollError::MalformedInstances { .. }]),
            "{:?}",
            harness.errors()
        );
    }
}

#[test]
fn unidentified_instances_are_logged_and_remove_nothing() {
    let mapping = Mapping {
        key: consul::KeySource::Address,
        ..Mapping::default()
    };
    let settings = WatchSettings::new(Query::health("holds"), mapping, 1);
    let mut harness = WatchHarness {
        watch: Watch::new(settings, 1),
        now_ms: 0.0,
        actions: Vec::new(),
    };
    harness.handle(Event::TimerExpired);
    let by_host_name = instance("b", "passing").replace("10.0.0.1", "host.example");
    for index in [41, 42] {
        harness.respond(
            index,
            &list(&[instance("a", "passing"), by_host_name.clone()]),
        );
        assert!(harness.report().is_current);
        if index == 41 {
            assert_eq!(harness.report().updated[0].key, "10.0.0.1:80");
            assert_eq!(harness.errors(), [&PollError::UnidentifiedInstances(1)]);
        }
        harness.expire_timer();
    }
}

#[test]
fn later_registration_of_an_endpoint_takes_precedence() {
    let registered = |status: &str, index: u64| {
        instance("a", status).replace(
            "\"Port\":80",
            &format!("\"Port\":80,\"ModifyIndex\":{index}"),
        )
    };
    for (first, second, lifecycle) in [
        (
            registered("critical", 5),
            registered("passing", 9),
            Lifecycle::Ready,
        ),
        (
            registered("passing", 5),
            registered("critical", 9),
            Lifecycle::Gone,
        ),
        (
            registered("passing", 5),
            registered("critical", 5),
            Lifecycle::Gone,
        ),
    ] {
        for body in [
            list(&[first.clone(), second.clone()]),
            list(&[second, first]),
        ] {
            let mut harness = WatchHarness::new(1);
            harness.respond(41, &body);
            assert_eq!(
                (
                    harness.report().updated.len(),
                    harness.report().updated[0].lifecycle
                ),
                (1, lifecycle)
            );
        }
    }
}

#[test]
fn one_change_among_five_thousand_instances_is_reported_alone() {
    let mut harness = WatchHarness::new(1);
    let mut all: Vec<_> = (0..5_000)
        .map(|n| instance(&format!("s-{n}"), "passing"))
        .collect();
    harness.respond(1, &list(&all));
    assert_eq!(harness.report().updated.len(), 5_000);
    for round in 0..20 {
        harness.expire_timer();
        harness.now_ms += 1_000.0;
        all[round * 7] = instance(&format!("s-{}", round * 7), "critical");
        harness.respond(round as u64 + 2, &list(&all));
        assert_eq!(
            (
                harness.report().updated.len(),
                harness.report().removed.len()
            ),
            (1, 0)
        );
        assert_eq!(harness.report().updated[0].key, format!("s-{}", round * 7));
    }
}
