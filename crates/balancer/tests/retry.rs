//! Retries: idempotency, the deduplication window of a key, the deadline and the retry budget.

mod common;
use common::*;

use balancer::*;

/// A non-idempotent request that may have run is neither retried nor rejected.
#[test]
fn non_idempotent_request_is_retried_only_if_it_cannot_have_run() {
    for (result, is_retried) in [
        (AttemptResult::Overloaded, true),
        (AttemptResult::Unreachable, true),
        (AttemptResult::NotSent, true),
        (AttemptResult::Error, false),
        (AttemptResult::TimedOut, false),
        (AttemptResult::Reset, false),
        (AttemptResult::Cancelled, false),
    ] {
        let mut node = Node::new(settings_with_one_class(Idempotency::NonIdempotent), 1);
        node.set_servers(ready_servers(0..3));
        node.dispatch(1);
        node.now += 5.0;
        let actions = node.end_attempt(1, 0, 5.0, result);
        assert_eq!(
            sent_server(&actions).is_some(),
            is_retried,
            "whether the request is retried after an attempt with the result {result:?}"
        );
        assert_eq!(
            is_failed(&actions),
            !is_retried,
            "whether the request fails after an attempt with the result {result:?}"
        );
        assert!(
            !is_rejected(&actions),
            "the request must not be rejected after an attempt with the result {result:?}"
        );
    }
}

#[test]
fn request_with_cell_key_is_retried_within_cell_and_window() {
    let settings = settings_with_one_class(Idempotency::IdempotencyKey {
        scope: KeyScope::Cell,
        window_ms: 500.0,
    });
    for (wait, is_retried) in [(5.0, true), (399.0, true), (401.0, false), (600.0, false)] {
        for seed in 0..20 {
            let mut node = Node::new(settings.clone(), seed);
            let mut entries = ready_servers(0..6);
            for (i, entry) in entries.iter_mut().enumerate() {
                entry.cell = i / 2;
            }
            node.set_servers(entries);
            let first = node.dispatch(1);
            node.now += wait;
            let actions = node.end_attempt(1, 0, wait, AttemptResult::Error);
            assert!(
                !is_rejected(&actions),
                "a request that may have run must not be rejected"
            );
            match sent_server(&actions) {
                Some(server) => assert!(
                    is_retried && server / 2 == first / 2,
                    "retried on server {server} {wait} ms after the attempt on server {first}"
                ),
                None => assert!(
                    !is_retried && is_failed(&actions),
                    "not retried after {wait} ms: {actions:?}"
                ),
            }
        }
    }
}

/// Guards against a retry at a process that has taken the place of a server of the group, which the server list does not tell
/// yet.
#[test]
fn request_with_cell_key_is_not_retried_at_a_server_whose_connection_broke() {
    for (scope, result, is_retried) in [
        (KeyScope::Cell, AttemptResult::Reset, false),
        (KeyScope::Zone, AttemptResult::Reset, false),
        (KeyScope::All, AttemptResult::Reset, true),
        (KeyScope::Cell, AttemptResult::Error, true),
        (KeyScope::Cell, AttemptResult::Malformed, true),
    ] {
        let settings = settings_with_one_class(Idempotency::IdempotencyKey {
            scope,
            window_ms: 500.0,
        });
        for servers_are_addresses in [true, false] {
            let settings = Settings {
                servers_are_addresses,
                ..settings.clone()
            };
            let mut node = Node::new(settings, 1);
            node.set_servers(ready_servers(0..1));
            node.dispatch(1);
            node.now += 5.0;
            let actions = node.end_attempt(1, 0, 5.0, result);
            assert_eq!(
                sent_server(&actions).is_some(),
                is_retried || !servers_are_addresses,
                "{scope:?} after {result:?}, by address: {servers_are_addresses}"
            );
        }
    }
}

#[test]
fn request_with_global_key_may_be_rejected_after_it_ran() {
    let mut settings = settings_with_one_class(Idempotency::IdempotencyKey {
        scope: KeyScope::All,
        window_ms: 500.0,
    });
    settings.max_attempts = 1;
    let mut node = Node::new(settings, 1);
    node.set_servers(ready_servers(0..3));
    node.dispatch(1);
    node.now += 5.0;
    assert!(is_rejected(&node.end_attempt(
        1,
        0,
        5.0,
        AttemptResult::Error
    )));
}

/// The sample of a long list may contain no server of the cell to which a retry is restricted.
#[test]
fn retry_bound_to_a_cell_finds_its_servers_in_a_long_list() {
    let mut node = node_of_large_cluster(5);
    let mut entries = ready_servers(0..180);
    for entry in &mut entries {
        entry.cell = entry.server.0 % 60;
    }
    node.set_servers(entries);
    serve_requests(&mut node, 0..60, [60.0; 3]);
    for id in 100..110 {
        node.now += 60.0;
        let first = sent_server(&node.request(id, 2, 5_000.0)).expect("the request is sent");
        let second = sent_server(&node.end_attempt(id, 0, 50.0, AttemptResult::Error))
            .expect("the request is retried");
        assert!(
            second != first && second % 60 == first % 60,
            "sent to server {first}, then to server {second}, expected another one of the same cell"
        );
    }
}

/// A request that is sent just before its deadline would be answered after it.
#[test]
fn request_near_its_deadline_is_not_sent() {
    let mut node = Node::new(settings_with_polling(Idempotency::Idempotent), 1);
    node.set_servers(ready_servers(0..3));
    assert!(is_rejected(&node.request(1, 0, 20.0)));
}

/// Retries stay within the budget, also just after a start and after traffic has ceased.
#[test]
fn retries_never_exceed_the_budget() {
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.retry_budget = Some(RetryBudget {
        min_retries: 2.0,
        retries_per_request: 0.1,
        window_ms: 1_000.0,
    });
    let mut node = Node::new(settings, 1);
    node.set_servers(ready_servers(0..4));
    let count_retry = |node: &mut Node, id: u64| {
        node.request(id, 0, 800.0);
        usize::from(
            sent_server(&node.end_attempt(id, 0, 1.0, AttemptResult::Unreachable)).is_some(),
        )
    };
    assert_eq!(
        (0..9).map(|id| count_retry(&mut node, id)).sum::<usize>(),
        2,
        "retries just after the start"
    );
    node.now += 2_000.0;
    for id in 20..50 {
        node.request(id, 0, 800.0);
        node.end_attempt(id, 0, 1.0, AttemptResult::Served);
    }
    assert_eq!(
        (50..59).map(|id| count_retry(&mut node, id)).sum::<usize>(),
        5,
        "retries after 30 further requests: 2, and a tenth of all accepted"
    );
    node.now += 990.0;
    assert_eq!(
        (60..69).map(|id| count_retry(&mut node, id)).sum::<usize>(),
        1,
        "retries while the earlier ones are still in the window"
    );
    node.now += 2_000.0;
    assert_eq!(
        (80..89).map(|id| count_retry(&mut node, id)).sum::<usize>(),
        2,
        "retries after a pause in traffic"
    );
}
