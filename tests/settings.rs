//! Settings of two customers: a process uses only the settings that it was started with.

use std::time::Duration;

use testkit::*;

/// Deadline in the settings of the other customer.
const OTHER_DEADLINE: Duration = Duration::from_millis(150);

/// Settings whose request kinds, idempotency, deadlines and tenants differ from those of [`settings`].
fn settings_of_another_customer() -> String {
    settings(OTHER_DEADLINE.as_millis() as u64)
        .replace("\"read\"", "\"search\"")
        .replace("\"hold\"", "\"read\"")
        .replace("\"pay\"", "\"hold\"")
        .replace("\"fragile\"", "\"retryable\"")
        .replace(
            "\"classes\"",
            "\"parties\":[{\"name\":\"other\",\"quota\":1.0}],\"classes\"",
        )
        .replace("\"max_attempts\":3", "\"max_attempts\":1")
}

/// Several configurations are loaded by SIGHUP one after another, and only the address of the endpoint discovery takes
/// effect. Request kinds, idempotency, deadlines, attempts and the retry budget stay as at the start, so that no customer
/// is served by the settings of another.
#[test]
fn reloaded_process_keeps_the_settings_that_it_was_started_with() {
    let failing = Server::start(|_| Reply::Close);
    let retry_budget = |free_resends: f64| {
        format!(
            "\"free_resends\":{free_resends:?},\"extra_per_request\":0.0,\"budget_span_ms\":60000.0,\"cold_from\""
        )
    };
    let own = settings(15_000).replace("\"cold_from\"", &retry_budget(1_000.0));
    let other = settings_of_another_customer().replace("\"cold_from\"", &retry_budget(0.0));
    assert_ne!(own, other, "the two settings differ");
    let known_servers = endpoint_list(1, true, &[failing.endpoint_entry("s-0", "ready")]);
    let discoveries: Vec<_> = (0..4).map(|_| Discovery::start()).collect();
    let node = Node::start(&config(discoveries[0].address, &known_servers, &own));
    let mut watches = vec![discoveries[0].watch()];
    for (round, discovery) in discoveries.iter().enumerate() {
        if round > 0 {
            let reloaded = [&own, &other][round % 2];
            node.reload(&config(
                discovery.address,
                &endpoint_list(1, true, &[]),
                reloaded,
            ));
            watches.push(discovery.watch());
            watches[round]
                .send(&(endpoint_list(1, true, &[failing.endpoint_entry("s-0", "ready")]) + "\n"));
        }
        let id = |kind: &str| format!("{kind}-{round}");
        let attempts_of = |id: &str| {
            failing
                .requests()
                .iter()
                .filter(|request| request.header("req-id") == Some(id))
                .count()
        };
        // This request is not idempotent and may have run, so it is not retried; the other settings make it idempotent.
        let response = node.request(&post_request(&id("pay"), "pay", "", "x"));
        assert_eq!(
            (response.status(), attempts_of(&id("pay"))),
            (502, 1),
            "round {round}"
        );
        // A request with an idempotency key and an idempotent one are both retried.
        for (kind, request) in [
            (
                "hold",
                post_request(&id("hold"), "hold", "Idempotency-Key: 5c0f\r\n", "x"),
            ),
            ("read", read_request(&id("read"), "15000m")),
        ] {
            let response = node.request(&request);
            assert_eq!(response.status(), 503, "{kind} in round {round}");
            assert_eq!(
                attempts_of(&id(kind)),
                3,
                "{kind} in round {round}: attempts that the own settings allow"
            );
        }
        // A request kind of the other settings is unknown to this process.
        let unknown_kind =
            read_request(&id("search"), "15000m").replace("Req-Kind: read", "Req-Kind: search");
        assert_eq!(node.request(&unknown_kind).status(), 400, "round {round}");
    }
    // The deadline of the own settings applies: the response arrives after the deadline of the other settings.
    let slow = Server::start(|_| {
        std::thread::sleep(4 * OTHER_DEADLINE);
        Reply::ok("slow")
    });
    let update = endpoint_list(2, true, &[slow.endpoint_entry("s-1", "ready")]) + "\n";
    watches.last_mut().expect("a watch is open").send(&update);
    wait_until("the slow server serves a request", || {
        node.request(&read_request("slow", "15000m")).body == b"slow"
    });
}
