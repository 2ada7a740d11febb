//! Observers and subjects agree.

use super::*;

#[test]
fn observers_and_subjects_are_inverse_and_numerous_enough() {
    let members: Vec<_> = (0..600).map(|n| MemberId::of(&format!("n{n}"))).collect();
    for (count, min_observers) in [(9, 6), (50, 6), (600, 5)] {
        let rings = ObserverRings::new(&members[..count], 6);
        for id in &members[..count] {
            let observers = rings.observers(*id);
            assert!(
                !observers.contains(id) && observers.len() >= min_observers,
                "{observers:?}"
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
