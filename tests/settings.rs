//! Two customers' settings: a process uses those that it was started with, and no others.

use std::time::Duration;

use testkit::*;

/// How long the clients of the other customer wait.
const OTHERS_DEADLINE: Duration = Duration::from_millis(150);

/// Settings with other names, idempotency, times and tenants than [`settings`].
fn settings_of_another_customer() -> String {
    settings(OTHERS_DEADLINE.as_millis() as u64)
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

/// One configuration after the other is loaded by SIGHUP, and nothing of it takes effect but the address of discovery.
/// Names keep their meaning, as do idempotency, deadlines, attempts and the retry budget, so that no customer is served
/// by another's settings.
#[test]
fn reloaded_process_keeps_the_settings_that_it_was_started_with() {
    let failing = Server::start(|_| Reply::Close);
    let budget = |free: f64| {
        format!(
            "\"free_resends\":{free:?},\"extra_per_request\":0.0,\"budget_span_ms\":60000.0,\"cold_from\""
        )
    };
    let own = settings(15_000).replace("\"cold_from\"", &budget(1_000.0));
    let other = settings_of_another_customer().replace("\"cold_from\"", &budget(0.0));
    assert_ne!(own, other);
    let known = endpoint_list(1, true, &[failing.endpoint_entry("s-0", "ready")]);
    let discoveries: Vec<_> = (0..4).map(|_| Discovery::start()).collect();
    let node = Node::start(&config(discoveries[0].address, &known, &own));
    let mut watches = vec![discoveries[0].watch()];
    for (round, discovery) in discoveries.iter().enumerate() {
        if round > 0 {
            let text = [&own, &other][round % 2];
            node.reload(&config(
                discovery.address,
                &endpoint_list(1, true, &[]),
                text,
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
        // This request is not idempotent and may have run; by the other settings it is idempotent.
        let answer = node.request(&post_request(&id("pay"), "pay", "", "x"));
        assert_eq!(
            (answer.status(), attempts_of(&id("pay"))),
            (502, 1),
            "round {round}"
        );
        // A request with an idempotency key and an idempotent one are both attempted again.
        for (kind, request) in [
            (
                "hold",
                post_request(&id("hold"), "hold", "Idempotency-Key: 5c0f\r\n", "x"),
            ),
            ("read", read_request(&id("read"), "15000m")),
        ] {
            let answer = node.request(&request);
            assert_eq!(answer.status(), 503, "{kind} in round {round}");
            assert_eq!(
                attempts_of(&id(kind)),
                3,
                "{kind} in round {round}: as often as the own settings allow"
            );
        }
        // A name of the other settings has no meaning here.
        let unknown =
            read_request(&id("search"), "15000m").replace("Req-Kind: read", "Req-Kind: search");
        assert_eq!(node.request(&unknown).status(), 400, "round {round}");
    }
    // The deadline is that of the own settings; the other's would have passed.
    let slow = Server::start(|_| {
        std::thread::sleep(4 * OTHERS_DEADLINE);
        Reply::ok("slow")
    });
    let said = endpoint_list(2, true, &[slow.endpoint_entry("s-1", "ready")]) + "\n";
    watches.last_mut().expect("one is open").send(&said);
    wait_until("the slow one is known", || {
        node.request(&read_request("slow", "15000m")).body == b"slow"
    });
}
