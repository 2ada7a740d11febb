//! Golden tests of the reports between nodes: nodes of different versions have to understand each other.

use outlier_detection::{is_report, Action, Event, Kind, NodeKey, ServerKey, Settings, Word};

const SERVER: ServerKey = ServerKey(0x0102_0304_0506_0708);
const OTHER: ServerKey = ServerKey(0x1112_1314_1516_1718);

/// One report per kind of failure, as version 45ea4e8 writes it: the server failed once at 900 ms, after a success at
/// 0 ms.
const REPORTS: [(Kind, &str, &str); 4] = [
    (Kind::Error, "error", "800100080706050403020104020009"),
    (
        Kind::Unreachable,
        "unreachable",
        "800100080706050403020104020109",
    ),
    (Kind::Broken, "broken", "800100080706050403020104020209"),
    (Kind::Silent, "silent", "800100080706050403020104020309"),
];

fn detector() -> Word {
    let mut detector = Word::new(0.0, Settings::default(), 1.0).expect("sound");
    detector.handle(0.0, Event::Servers(&[SERVER, OTHER]), &mut Vec::new());
    detector.handle(0.0, Event::Nodes(4), &mut Vec::new());
    detector
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}"); // Writing to a string cannot fail.
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits"))
        .collect()
}

#[test]
fn report_of_each_failure_kind_has_these_bytes() {
    for (kind, _, expected) in REPORTS {
        let mut detector = detector();
        let mut actions = Vec::new();
        detector.handle(0.0, Event::Ended(SERVER, None), &mut actions);
        detector.handle(900.0, Event::Ended(SERVER, Some(kind)), &mut actions);
        let reports = actions.iter().filter_map(|action| match action {
            Action::Tell(bytes) => Some(hex(bytes)),
            _ => None,
        });
        assert_eq!(reports.collect::<Vec<_>>(), [expected], "{kind:?}");
    }
}

#[test]
fn recorded_reports_of_each_failure_kind_are_decoded() {
    for (kind, name, report) in REPORTS {
        let report = bytes(report);
        assert!(is_report(&report));
        let mut detector = detector();
        for node in 1..=2 {
            detector.handle(
                1_000.0,
                Event::Said(NodeKey(node), &report),
                &mut Vec::new(),
            );
        }
        let hints: Vec<_> = detector.hints().collect();
        assert_eq!(hints.len(), 1, "{kind:?}");
        assert_eq!((hints[0].server, hints[0].kind), (SERVER, kind));
        assert_eq!((hints[0].kind.name(), hints[0].reporters), (name, 2));
    }
}

#[test]
fn report_that_cannot_be_decoded_is_counted_as_unknown() {
    let sound = bytes(REPORTS[0].2);
    let too_long = [sound.clone(), vec![0; 12 * 14]].concat();
    let other_first_byte = [&[0x7f], &sound[1..]].concat();
    for malformed in [
        &[][..],
        &sound[..2],
        &sound[..sound.len() - 1],
        &too_long,
        &other_first_byte,
    ] {
        let mut detector = detector();
        detector.handle(1.0, Event::Said(NodeKey(1), malformed), &mut Vec::new());
        let figures = detector.figures();
        assert_eq!((figures.unknown, figures.heard), (1, 0), "{malformed:02x?}");
    }
    let unknown_kind = bytes("800100080706050403020104020409");
    let mut detector = detector();
    detector.handle(1.0, Event::Said(NodeKey(1), &unknown_kind), &mut Vec::new());
    assert_eq!(detector.figures().heard, 1, "the entry alone is skipped");
    assert_eq!(detector.hints().count(), 0);
}
