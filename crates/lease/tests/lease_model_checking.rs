//! Model checking of leases: explores every order of events within bounds, without a fault and
//! with each injected fault. See `testkit::lease_model`.

use lease::InjectedFault;
use testkit::lease_model::{search, Bounds, Search, SearchDepth, INJECTED_FAULTS};

/// Maximum number of states of a search: many times what any of these searches visits, so that all
/// of them are exhaustive.
const MAX_STATES: usize = 4_000_000;
const THREADS: usize = 4;

fn search_within(injected_fault: InjectedFault, is_owned: bool, depth: SearchDepth) -> Search {
    search(
        Bounds::of(injected_fault, is_owned, depth),
        MAX_STATES,
        THREADS,
    )
}

#[test]
fn bounded_search_without_fault_finds_no_violation() {
    let mut searches_with_owner_changes = 0;
    for (is_owned, depth) in [
        (false, [8, 0, 0, 0]),
        (true, [5, 1, 0, 0]),
        (true, [6, 0, 1, 0]),
        (true, [3, 1, 0, 1]),
    ] {
        let found = search_within(InjectedFault::None, is_owned, depth);
        assert!(
            found.is_exhaustive && found.violation.is_none(),
            "search of depth {depth:?} must be exhaustive and find no violation: {found:?}"
        );
        searches_with_owner_changes += usize::from(found.changed_owners);
    }
    assert!(
        searches_with_owner_changes > 0,
        "the shard must change owners in at least one search"
    );
}

#[test]
fn bounded_search_finds_each_injected_fault() {
    for (injected_fault, is_owned, depth) in INJECTED_FAULTS {
        let found = search_within(injected_fault, is_owned, depth);
        assert!(
            found.violation.is_some(),
            "{injected_fault:?} must be detected: {found:?}"
        );
    }
}
