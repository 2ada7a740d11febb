//! Tests of the shared memory budget.

use proptest::prelude::*;

use super::*;

#[test]
fn reservation_is_released_with_the_last_slice_of_its_body() {
    let budget = MemoryBudget::new(100);
    let reservation = budget.try_reserve(60).expect("reserve 60 of 100 bytes");
    assert!(budget.try_reserve(60).is_none(), "40 bytes are available");
    let body = reservation.attach_to(Bytes::from_static(b"yes"));
    let slice = body.slice(1..);
    drop(body);
    assert!(
        budget.try_reserve(60).is_none(),
        "a slice keeps the reservation alive"
    );
    assert_eq!(slice, "es");
    drop(slice);
    assert!(budget.try_reserve(100).is_some(), "all bytes are available");
}

proptest! {
    /// Reserved and available bytes add up to the budget after every step, whatever the order of steps.
    #[test]
    fn reserved_and_available_bytes_add_up_in_any_order(
        steps in proptest::collection::vec((0..3_u8, 0..50_usize, any::<usize>()), 0..100),
    ) {
        let budget = MemoryBudget::new(200);
        let mut reservations: Vec<Reservation> = Vec::new();
        for (step, bytes, index) in steps {
            match (step, reservations.len()) {
                (0, _) | (_, 0) => reservations.extend(budget.try_reserve(bytes)),
                (1, count) => {
                    let _ = reservations[index % count].try_grow(bytes);
                }
                (_, count) => drop(reservations.swap_remove(index % count)),
            }
            let reserved: usize = reservations.iter().map(Reservation::bytes).sum();
            prop_assert_eq!(budget.available() + reserved, 200);
        }
    }
}

#[test]
fn shrunk_reservation_returns_the_rest() {
    let budget = MemoryBudget::new(100);
    let mut reservation = budget.try_reserve(60).expect("reserve 60 of 100 bytes");
    reservation.shrink_to(80);
    assert_eq!((reservation.bytes(), budget.available()), (60, 40));
    reservation.shrink_to(25);
    assert_eq!((reservation.bytes(), budget.available()), (25, 75));
}

/// Guards against a large reservation that never comes because smaller ones are granted before it, and
/// against one that nobody waits for any more and that keeps its bytes.
#[tokio::test(start_paused = true)]
async fn reservations_are_granted_in_the_order_of_their_requests() {
    const LONG_WAIT: std::time::Duration = std::time::Duration::from_secs(60);
    let budget = MemoryBudget::new(100);
    assert!(budget.reserve(101).await.is_none(), "more than the budget");
    let first = budget.try_reserve(60).expect("reserve 60 of 100 bytes");
    let mut large = std::pin::pin!(budget.reserve(80));
    assert!(tokio::time::timeout(LONG_WAIT, &mut large).await.is_err());
    let small = tokio::time::timeout(LONG_WAIT, budget.reserve(30)).await;
    assert!(small.is_err(), "80 bytes were asked for earlier");
    drop(first);
    let large = large.await.expect("80 of 100 bytes are available");
    assert_eq!((large.bytes(), budget.available()), (80, 20));
}
