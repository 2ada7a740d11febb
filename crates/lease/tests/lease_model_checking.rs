//! Every order of events within bounds, without a fault and with each injected one: see
//! `testkit::lease_model`.

use lease::InjectedFault;
use testkit::lease_model::{search, Bounds, Search, SearchDepth, INJECTED_FAULTS};

/// Many times what any of these searches visits, so that all of them are exhaustive.
const MAX_STATES: usize = 4_000_000;
const THREADS: usize = 4;

fn search_within(injected_fault: InjectedFault, is_owned: bool, reach: SearchDepth) -> Search {
    search(
        Bounds::of(injected_fault, is_owned, reach),
        MAX_STATES,
        THREADS,
    )
}

#[test]
fn bounded_search_finds_no_two_owners() {
    let mut searches_with_successors = 0;
    for (is_owned, bounds) in [
        (false, [8, 0, 0, 0]),
        (true, [5, 1, 0, 0]),
        (true, [6, 0, 1, 0]),
        (true, [3, 1, 0, 1]),
    ] {
        let found = search_within(InjectedFault::None, is_owned, bounds);
        assert!(
            found.is_exhaustive && found.violation.is_none(),
            "{bounds:?}: {found:?}"
        );
        searches_with_successors += usize::from(found.changed_owners);
    }
    assert!(
        searches_with_successors > 0,
        "in some of them the shard changes owners"
    );
}

#[test]
fn bounded_search_finds_each_injected_fault() {
    for (injected_fault, is_owned, bounds) in INJECTED_FAULTS {
        let found = search_within(injected_fault, is_owned, bounds);
        assert!(found.violation.is_some(), "{injected_fault:?}: {found:?}");
    }
}
