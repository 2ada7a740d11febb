//! Keeping the server list up to date: updates, subscriptions, and removal of records.

mod common;
use common::*;

use balancer::*;

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..3));
    let mut entry = ServerEntry::new(ServerId(0), Availability::Draining);
    node.feed(Event::ServerList(ServerListUpdate::Changes(vec![
        entry.clone()
    ])));
    entry.server = ServerId(1);
    entry.availability = Availability::Gone;
    node.feed(Event::ServerList(ServerListUpdate::Changes(vec![entry])));
    assert!((0..20).all(|id| node.dispatch(id) == 2));
    // A complete list without the last server removes it, too.
    node.set_servers(ready_servers(3..4));
    assert!((20..40).all(|id| node.dispatch(id) == 3));
}

#[test]
fn subscription_is_renewed_with_backoff_after_failures() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.discovery = DiscoveryMode::Subscribe;
    settings.max_poll_interval_ms = 10_000.0;
    let mut node = Node::new(settings, 1);
    let actions = node.feed(Event::ServerList(ServerListUpdate::Cached(ready_servers(
        0..2,
    ))));
    assert_eq!(actions, [Action::Subscribe]);
    let mut delays_ms = Vec::new();
    for poll in 0..8 {
        let actions = node.feed(Event::ServerList(ServerListUpdate::Failed));
        let log_lines = actions
            .iter()
            .filter(|a| matches!(a, Action::Log(_)))
            .count();
        assert_eq!(
            log_lines,
            usize::from(poll == 0),
            "only the first failure must be logged: {actions:?}"
        );
        let [.., Action::SetTimer { timer, after_ms }] = actions[..] else {
            panic!("a failure must set a timer: {actions:?}")
        };
        assert!(
            node.feed(Event::ServerList(ServerListUpdate::Failed))
                .is_empty(),
            "a failure must not set a second timer"
        );
        delays_ms.push(after_ms);
        node.now += after_ms;
        assert_eq!(node.feed(Event::Timer(timer)), [Action::Subscribe]);
        assert!(
            node.feed(Event::Timer(timer)).is_empty(),
            "a timer must not have an effect twice"
        );
    }
    assert!(
        delays_ms[0] < delays_ms[4] && delays_ms.iter().all(|ms| *ms <= MAX_RESUBSCRIBE_DELAY_MS),
        "the delays must grow up to {MAX_RESUBSCRIBE_DELAY_MS} ms: {delays_ms:?}"
    );
    let list = || Event::ServerList(ServerListUpdate::Full(ready_servers(0..2)));
    let logged = node.feed(list());
    assert!(
        matches!(logged[..], [Action::Log(_)]),
        "the end of the failure must be logged: {logged:?}"
    );
    assert!(
        node.feed(list()).is_empty(),
        "the end of the failure must be logged once"
    );
}

/// Memory is bounded by the number of current servers; a removed one with an attempt in flight is kept until
/// the attempt ends.
#[test]
fn record_of_removed_server_is_dropped_after_its_last_attempt() {
    let mut node = Node::new(settings_with_one_class(Idempotency::Idempotent), 1);
    for n in 0..100 {
        node.now += 10.0;
        let entry = |availability| vec![ServerEntry::new(ServerId(n), availability)];
        node.feed(Event::ServerList(ServerListUpdate::Changes(entry(
            Availability::Ready,
        ))));
        let id = n as u64;
        assert_eq!(node.dispatch(id), n);
        node.feed(Event::ServerList(ServerListUpdate::Changes(entry(
            Availability::Gone,
        ))));
        assert_eq!(
            node.balancer.servers_known(),
            1,
            "the record must be kept while a result is outstanding"
        );
        assert!(!is_rejected(&node.end_attempt(
            id,
            0,
            5.0,
            AttemptResult::Served
        )));
        assert_eq!(node.balancer.servers_known(), 0);
    }
}

/// All nodes detect an outage of discovery at the same time, and each failed poll immediately. Each time the
/// polls of 300 nodes must be spread over the backoff, and no delay may exceed the maximum.
#[test]
fn resubscriptions_of_many_nodes_are_spread_over_time() {
    const NODES: usize = 300;
    const WITHIN_MS: f64 = 100.0;
    let resubscribe = |node: &mut Node| {
        let actions = node.feed(Event::ServerList(ServerListUpdate::Failed));
        let timer = actions.iter().find_map(|action| match action {
            Action::SetTimer { timer, after_ms } => Some((*timer, *after_ms)),
            _ => None,
        });
        let (timer, after_ms) = timer.expect("a failure sets a timer");
        node.now += after_ms;
        assert!(node.feed(Event::Timer(timer)).contains(&Action::Subscribe));
        after_ms
    };
    let mut delays_ms = vec![Vec::new(); 8];
    for seed in 0..NODES {
        let mut settings = settings_with_one_class(Idempotency::Idempotent);
        (settings.discovery, settings.max_poll_interval_ms) = (DiscoveryMode::Subscribe, 10_000.0);
        (settings.nodes, settings.node_index) = (NODES, seed);
        let mut node = Node::new(settings, seed as u64);
        node.set_servers(ready_servers(0..4));
        for delays_ms in &mut delays_ms {
            delays_ms.push(resubscribe(&mut node));
        }
    }
    for (poll, delays_ms) in delays_ms.iter_mut().enumerate() {
        delays_ms.sort_by(f64::total_cmp);
        let (shortest, longest) = (delays_ms[0], delays_ms[NODES - 1]);
        assert!(
            longest <= MAX_RESUBSCRIBE_DELAY_MS && longest >= 1.8 * shortest,
            "delays of poll {poll}: {shortest} to {longest} ms, expected {MAX_RESUBSCRIBE_DELAY_MS} ms at most and a ratio of 1.8 or more"
        );
        let count_from = |from: f64| {
            delays_ms
                .iter()
                .filter(|at| (from..from + WITHIN_MS).contains(*at))
                .count()
        };
        let max_concurrent = delays_ms
            .iter()
            .map(|from| count_from(*from))
            .max()
            .expect("there are delays");
        // The first delays are short, as most subscriptions break one at a time. From the fifth poll on, at most a
        // quarter of the nodes may poll at the same time.
        assert!(
            poll < 4 || max_concurrent * 4 <= NODES,
            "poll {poll}: {max_concurrent} of {NODES} nodes poll within {WITHIN_MS} ms, expected a quarter at most"
        );
    }
}
