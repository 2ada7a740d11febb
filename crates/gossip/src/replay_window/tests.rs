//! Replay protection for sequence numbers that arrive in any order.

use std::collections::BTreeSet;

use proptest::prelude::*;

use super::ReplayWindow;

proptest! {
    #[test]
    fn sequence_number_in_any_order_is_accepted_at_most_once(
        numbers in proptest::collection::vec(0..200_u32, 0..400)
    ) {
        let (mut window, mut accepted) = (ReplayWindow::default(), BTreeSet::new());
        for number in numbers {
            if window.accept(number) {
                prop_assert!(accepted.insert(number));
            }
        }
    }
}
