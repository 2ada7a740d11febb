//! The table of `docs/endpoint-discovery/design.md`, cell by cell.

use endpoint_discovery::{merge, Age, Said, State, Verdict};

const WORDS: [Option<State>; 4] = [
    None,
    Some(State::Ready),
    Some(State::Draining),
    Some(State::Gone),
];
const AGES: [Age; 3] = [Age::Fresh, Age::Held, Age::Aged];

/// Rows: the roster's word. Columns: the other's word (nothing, ready, draining, gone), fresh or held.
/// R ready, D draining, U unnamed, X removed, V removed and vouched for by the other.
const ADVISOR: [&str; 4] = ["UUUU", "RRDV", "DDDD", "XVXX"];
/// The same where the other's word has aged out.
const ADVISOR_AGED: [&str; 4] = ["UUUU", "RRDR", "DDDD", "XXXX"];
/// Where the other may name servers by itself.
const NAMING: [&str; 4] = ["URDX", "RRDV", "DDDX", "XVXX"];
const NAMING_AGED: [&str; 4] = ["URDU", "RRDR", "DDDD", "XXXX"];
/// Where a newer start has outlived the other's word.
const ADVISOR_OUTLIVED: [&str; 4] = ["UUUU", "RRRR", "DDDD", "XVVX"];

fn letter(verdict: Verdict) -> char {
    match verdict {
        Verdict::Ready => 'R',
        Verdict::Draining => 'D',
        Verdict::Unnamed => 'U',
        Verdict::Removed { vouched: false } => 'X',
        Verdict::Removed { vouched: true } => 'V',
    }
}

fn check(table: &[&str; 4], other: impl Fn(Option<State>) -> Said, roster_age: Age) {
    for (row, roster) in table.iter().zip(WORDS) {
        let roster = Said {
            state: roster,
            age: roster_age,
            names: true,
            outlived: false,
        };
        for (want, word) in row.chars().zip(WORDS) {
            let other = other(word);
            assert_eq!(
                letter(merge(&[roster, other])),
                want,
                "{roster:?} beside {other:?}"
            );
            assert_eq!(
                letter(merge(&[other, roster])),
                want,
                "the order of sources decides nothing"
            );
        }
    }
}

#[test]
fn every_cell_is_as_written() {
    for roster_age in [Age::Fresh, Age::Held] {
        for age in AGES {
            let said = |names: bool, outlived: bool| {
                move |state: Option<State>| Said {
                    state,
                    age,
                    names,
                    outlived,
                }
            };
            let is_aged = age == Age::Aged;
            check(
                if is_aged { &ADVISOR_AGED } else { &ADVISOR },
                said(false, false),
                roster_age,
            );
            check(
                if is_aged { &NAMING_AGED } else { &NAMING },
                said(true, false),
                roster_age,
            );
            if !is_aged {
                check(&ADVISOR_OUTLIVED, said(false, true), roster_age);
            }
        }
    }
}

/// What `source` rests on: a source that goes out of touch and comes back changes no verdict until it has aged.
#[test]
fn held_is_as_good_as_fresh() {
    for (a, b) in WORDS.into_iter().flat_map(|a| WORDS.map(|b| (a, b))) {
        for (names, outlived) in [(false, false), (false, true), (true, false), (true, true)] {
            let roster = Said {
                state: a,
                age: Age::Fresh,
                names: true,
                outlived: false,
            };
            let at = |age| {
                merge(&[
                    roster,
                    Said {
                        state: b,
                        age,
                        names,
                        outlived,
                    },
                ])
            };
            assert_eq!(at(Age::Fresh), at(Age::Held), "{a:?}, {b:?}");
        }
    }
}

/// With three sources, too: no word of ready makes up for a drain, and none but a naming source names.
#[test]
fn any_further_source_can_drain_and_none_can_undo_it() {
    let said = |state, names| Said {
        state: Some(state),
        age: Age::Fresh,
        names,
        outlived: false,
    };
    for word in WORDS.into_iter().flatten() {
        for names in [false, true] {
            let all = [
                said(State::Ready, true),
                said(State::Draining, false),
                said(word, names),
            ];
            assert_ne!(merge(&all), Verdict::Ready, "{word:?}");
            let all = [said(State::Ready, false), said(word, false)];
            assert_eq!(merge(&all), Verdict::Unnamed);
        }
    }
    assert_eq!(merge(&[]), Verdict::Unnamed);
}
