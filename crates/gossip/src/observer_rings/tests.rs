//! The relation between observers and subjects.

use super::*;

#[test]
fn observers_are_inverse_of_subjects_and_enough_for_quorum() {
    let members: Vec<_> = (0..600).map(|n| MemberId::of(&format!("n{n}"))).collect();
    for (count, min_observers) in [(9, 6), (50, 6), (600, 5)] {
        let rings = ObserverRings::new(&members[..count], 6);
        for id in &members[..count] {
            let observers = rings.observers(*id);
            assert!(
                !observers.contains(id) && observers.len() >= min_observers,
                "{id:?} of {count} nodes has observers {observers:?}"
            );
            assert!(observers
                .iter()
                .all(|observer| rings.subjects(*observer).contains(id)));
            let subjects = rings.subjects(*id);
            assert!(subjects
                .iter()
                .all(|subject| rings.observers(*subject).contains(id)));
        }
    }
    assert_eq!(
        ObserverRings::new(&members[..1], 8).observers(members[0]),
        []
    );
}
