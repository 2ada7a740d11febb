//! Tests of the recovery from a failed exchange.

use super::*;

/// Covers each cell of the recovery table of the design page.
#[test]
fn recovery_matches_every_cell_of_the_design_table() {
    use BytesSent::{Complete, None, Partial};
    use ConnectionAge::{Idle, New};
    use ConnectionError::{Closed, InvalidResponse, Stalled};
    use Recovery::{AnyConnection, Malformed, OtherAddress, Reset};

    let table = [
        (None, Closed, New, OtherAddress),
        (None, Closed, Idle, AnyConnection),
        (None, Stalled, New, OtherAddress),
        (None, Stalled, Idle, OtherAddress),
        (None, InvalidResponse, New, OtherAddress),
        (None, InvalidResponse, Idle, AnyConnection),
        (Partial, Closed, New, OtherAddress),
        (Partial, Closed, Idle, OtherAddress),
        (Partial, Stalled, New, OtherAddress),
        (Partial, Stalled, Idle, OtherAddress),
        (Partial, InvalidResponse, New, OtherAddress),
        (Partial, InvalidResponse, Idle, OtherAddress),
        (Complete, Closed, New, Reset),
        (Complete, Closed, Idle, Reset),
        (Complete, Stalled, New, Malformed),
        (Complete, Stalled, Idle, Malformed),
        (Complete, InvalidResponse, New, Malformed),
        (Complete, InvalidResponse, Idle, Malformed),
    ];
    for (sent, error, age, expected) in table {
        assert_eq!(
            recovery(age, sent, error),
            expected,
            "{sent:?}, {error:?}, {age:?}"
        );
        assert_eq!(
            expected.may_have_run(),
            sent == Complete,
            "a request may have run if and only if it was sent completely"
        );
    }
    let cells: std::collections::HashSet<_> = table
        .iter()
        .map(|(sent, error, age, _)| (*sent, *error, *age))
        .collect();
    assert_eq!(cells.len(), 18, "each combination is in the table once");
}
