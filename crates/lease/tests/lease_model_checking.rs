//! Every order of events within bounds, and mistakes that are made on purpose: see `testkit::model`.

use lease::InjectedFault;
use testkit::model::{search, Bounds, Reach, Search, MISTAKES};

/// Many times what any of these searches takes: nothing is left out.
const MOST: usize = 4_000_000;
const THREADS: usize = 4;

fn played(injected_fault: InjectedFault, is_owned: bool, reach: Reach) -> Search {
    search(Bounds::of(injected_fault, is_owned, reach), MOST, THREADS)
}

#[test]
fn no_order_of_events_makes_two_owners() {
    let mut hands = 0;
    for (is_owned, bounds) in [
        (false, [8, 0, 0, 0]),
        (true, [5, 1, 0, 0]),
        (true, [6, 0, 1, 0]),
        (true, [3, 1, 0, 1]),
    ] {
        let found = played(InjectedFault::None, is_owned, bounds);
        assert!(
            found.is_whole && found.broken.is_none(),
            "{bounds:?}: {found:?}"
        );
        hands += usize::from(found.changed_hands);
    }
    assert!(hands > 0, "owners follow each other in some of them");
}

#[test]
fn each_mistake_is_found() {
    for (injected_fault, is_owned, bounds) in MISTAKES {
        let found = played(injected_fault, is_owned, bounds);
        assert!(found.broken.is_some(), "{injected_fault:?}: {found:?}");
    }
}
