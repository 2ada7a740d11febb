//! Two customers' settings: a process goes by those that it was started with, and by no others.

use std::time::Duration;

use testkit::*;

/// How long the clients of the other customer wait.
const OTHERS_DEADLINE: Duration = Duration::from_millis(150);

/// Other names, effects, times and tenants than [`settings`] has.
fn of_another_customer() -> String {
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

/// Guards against a customer that sees another's settings: one configuration after the other comes by SIGHUP, and of it
/// nothing holds but where discovery answers. Names keep what they stand for, as do effects, deadlines, attempts and the
/// budget of further ones.
#[test]
fn a_process_goes_by_the_settings_that_it_was_started_with() {
    let failing = Server::start(|_| Reply::Close);
    let budget = |free: f64| {
        format!(
            "\"free_resends\":{free:?},\"extra_per_request\":0.0,\"budget_span_ms\":60000.0,\"cold_from\""
        )
    };
    let own = settings(15_000).replace("\"cold_from\"", &budget(1_000.0));
    let other = of_another_customer().replace("\"cold_from\"", &budget(0.0));
    assert_ne!(own, other);
    let known = list(1, true, &[failing.entry("s-0", "ready")]);
    let discoveries: Vec<_> = (0..4).map(|_| Discovery::start()).collect();
    let node = Node::start(&config(discoveries[0].address, &known, &own));
    let mut held = vec![discoveries[0].watch()];
    for (round, discovery) in discoveries.iter().enumerate() {
        if round > 0 {
            let text = [&own, &other][round % 2];
            node.reload(&config(discovery.address, &list(1, true, &[]), text));
            held.push(discovery.watch());
            held[round].say(&(list(1, true, &[failing.entry("s-0", "ready")]) + "\n"));
        }
        let id = |kind: &str| format!("{kind}-{round}");
        let had = |id: &str| {
            failing
                .requests()
                .iter()
                .filter(|request| request.header("req-id") == Some(id))
                .count()
        };
        // An unsafe one may have run, and is the other's safe one.
        let answer = node.ask(&post(&id("pay"), "pay", "", "x"));
        assert_eq!(
            (answer.status(), had(&id("pay"))),
            (502, 1),
            "round {round}"
        );
        // A keyed one goes by its key, a safe one without, and both more than once.
        for (kind, request) in [
            (
                "hold",
                post(&id("hold"), "hold", "Idempotency-Key: 5c0f\r\n", "x"),
            ),
            ("read", read(&id("read"), "15000m")),
        ] {
            let answer = node.ask(&request);
            assert_eq!(answer.status(), 503, "{kind} in round {round}");
            assert_eq!(
                had(&id(kind)),
                3,
                "{kind} in round {round}: as often as the own settings allow"
            );
        }
        // What the other one has a name for means nothing here.
        let unknown = read(&id("search"), "15000m").replace("Req-Kind: read", "Req-Kind: search");
        assert_eq!(node.ask(&unknown).status(), 400, "round {round}");
    }
    // A deadline is its class's own; the other's would be over.
    let slow = Server::start(|_| {
        std::thread::sleep(4 * OTHERS_DEADLINE);
        Reply::ok("slow")
    });
    let said = list(2, true, &[slow.entry("s-1", "ready")]) + "\n";
    held.last_mut().expect("one is open").say(&said);
    until("the slow one is known", || {
        node.ask(&read("slow", "15000m")).body == b"slow"
    });
}
