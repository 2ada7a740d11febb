//! The table of a single process.

use request_ids::{HashKey, LocalTable, RequestEnd, ReserveError, RETENTION_MS};

const KEY: HashKey = HashKey([1, 2]);
const CAPACITY: usize = 100;

#[test]
fn retained_id_is_rejected_exactly_for_the_retention_time() {
    let mut table = LocalTable::new(CAPACITY);
    let id = KEY.hash(b"a");
    table.reserve(id, 0).expect("the id is new");
    assert_eq!(table.reserve(id, 1_000_000), Err(ReserveError::InUse));
    table.end(id, RequestEnd::MayHaveRun, 5);
    let expires_at_ms = 5 + RETENTION_MS;
    assert_eq!(
        table.reserve(id, expires_at_ms - 1),
        Err(ReserveError::InUse)
    );
    assert_eq!(table.reserve(id, expires_at_ms), Ok(()));
    table.end(id, RequestEnd::Released, expires_at_ms);
    assert!(table.is_empty());
}

/// Guards against dropping retained ids in favor of new ones.
#[test]
fn full_table_refuses_new_ids_until_retained_ones_expire() {
    let mut table = LocalTable::new(CAPACITY);
    let ids: Vec<_> = (0..=CAPACITY)
        .map(|number| KEY.hash(number.to_string().as_bytes()))
        .collect();
    for (number, id) in ids[..CAPACITY].iter().enumerate() {
        table
            .reserve(*id, number as u64)
            .expect("the table is not full");
        table.end(*id, RequestEnd::MayHaveRun, number as u64);
    }
    let newcomer = ids[CAPACITY];
    assert_eq!(
        table.reserve(newcomer, RETENTION_MS - 1),
        Err(ReserveError::Full)
    );
    for id in &ids[..CAPACITY] {
        assert_eq!(
            table.reserve(*id, RETENTION_MS - 1),
            Err(ReserveError::InUse)
        );
    }
    assert_eq!(table.reserve(newcomer, RETENTION_MS), Ok(()));
    assert_eq!(table.len(), CAPACITY);
}

#[test]
fn ids_that_differ_in_case_or_length_are_different() {
    let mut table = LocalTable::new(CAPACITY);
    let long = "a".repeat(256);
    for id in ["", "a", "A", "aa", "a ", &long, &long[1..]] {
        assert_eq!(
            table.reserve(KEY.hash(id.as_bytes()), 0),
            Ok(()),
            "{}",
            id.len()
        );
    }
}
