use super::*;
use crate::node::config::{CLIENT_CONNECTION_BYTES, SERVER_CONNECTION_BYTES};
use crate::node::upstream::response::MAX_SHORT_BODY_BYTES;

const MIB: usize = 1024 * 1024;

/// Guards against budgets that are each bounded and together exceed the memory, at any pair of limits.
#[test]
fn connections_and_budgets_stay_below_the_memory_limit() {
    for memory_mb in (32..=192).chain([256, 2_048]) {
        for file_descriptors in [64, 256, 513, 640, 1_024, 4_096, 65_536] {
            let limits = Limits {
                file_descriptors,
                memory_mb,
            };
            let memory = NodeMemory::new(limits, 0);
            let budgets = [
                &memory.short_requests,
                &memory.long_requests,
                &memory.uploads,
                &memory.responses,
                &memory.streamed_responses,
                &memory.heads,
            ];
            let messages: usize = budgets.iter().map(|budget| budget.total()).sum();
            let connections = limits.client_connections() * CLIENT_CONNECTION_BYTES
                + limits.server_connections() * SERVER_CONNECTION_BYTES;
            let process = memory_mb * MIB * 3 / 32;
            assert!(
                process + connections + messages <= memory_mb * MIB,
                "{limits:?}: {connections} bytes for connections, {messages} for messages"
            );
        }
    }
}

/// Guards against a budget that admits no message at all, so that requests of its kind are never served.
#[test]
fn each_budget_admits_a_message_at_the_lowest_limits() {
    for file_descriptors in [64, 256, 1_024, 65_536] {
        let limits = Limits {
            file_descriptors,
            memory_mb: 32,
        };
        let memory = NodeMemory::new(limits, 0);
        assert!(memory.short_requests.total() >= MAX_SHORT_BODY_BYTES);
        assert!(memory.uploads.total() >= STREAM_BYTES);
        assert!(memory.responses.total() >= MAX_SHORT_BODY_BYTES);
        assert!(memory.streamed_responses.total() >= STREAM_BYTES);
        assert!(memory.heads.total() >= LONG_HEAD_BYTES);
    }
}

/// Guards against budgets that leave no memory for the endpoint list of a large fleet, and against none that admits a
/// message.
#[test]
fn large_endpoint_list_leaves_less_for_messages() {
    let limits = Limits {
        file_descriptors: 1_024,
        memory_mb: 32,
    };
    let (small, large) = (NodeMemory::new(limits, 200), NodeMemory::new(limits, 3_200));
    assert!(large.short_requests.total() < small.short_requests.total() / 2);
    assert!(large.short_requests.total() >= MAX_SHORT_BODY_BYTES);
}

/// Guards against connections that the platform's clients need and that the memory limit leaves no room for: clients hold a
/// third of the descriptors at most.
#[test]
fn connections_of_all_clients_fit_the_lowest_limits() {
    for file_descriptors in [256, 640, 1_024] {
        let limits = Limits {
            file_descriptors,
            memory_mb: 32,
        };
        assert!(limits.client_connections() > file_descriptors / 3);
    }
}

/// Guards against a request that spends all of its time waiting for memory.
#[test]
fn wait_for_memory_leaves_time_for_attempts() {
    assert_eq!(
        max_wait(Duration::from_millis(400)),
        Duration::from_millis(100)
    );
    assert_eq!(max_wait(Duration::from_secs(60)), MAX_WAIT);
}

#[test]
fn only_short_slices_are_copied() {
    let buffer = Bytes::from(vec![0; 2 * MAX_UNRESERVED_BYTES]);
    let (short, long) = (buffer.slice(..10), buffer.slice(10..));
    assert_ne!(detach_if_short(short.clone()).as_ptr(), short.as_ptr());
    assert_eq!(detach_if_short(long.clone()).as_ptr(), long.as_ptr());
}
