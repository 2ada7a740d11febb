//! Golden tests of the encoded reports between nodes: nodes of different versions have to decode each other's reports.

use outlier_detection::{
    is_report, Action, Event, FailureKind, NodeKey, OutlierDetector, ServerKey, Settings,
};

const SERVER: ServerKey = ServerKey(0x0102_0304_0506_0708);
const OTHER: ServerKey = ServerKey(0x1112_1314_1516_1718);

/// One report for each kind of failure, with the kind's name, as encoded by commit 45ea4e8: the server failed once at
/// 900 ms, after a success at 0 ms.
const REPORTS: [(FailureKind, &str, &str); 4] = [
    (
        FailureKind::ErrorResponse,
        "error",
        "800100080706050403020104020009",
    ),
    (
        FailureKind::Unreachable,
        "unreachable",
        "800100080706050403020104020109",
    ),
    (
        FailureKind::ConnectionBroken,
        "broken",
        "800100080706050403020104020209",
    ),
    (
        FailureKind::TimedOut,
        "silent",
        "800100080706050403020104020309",
    ),
];

fn detector() -> OutlierDetector {
    let mut detector = OutlierDetector::new(0.0, Settings::default(), 1.0).expect("valid settings");
    detector.handle(
        0.0,
        Event::ServersChanged(&[SERVER, OTHER]),
        &mut Vec::new(),
    );
    detector.handle(0.0, Event::ClusterSize(4), &mut Vec::new());
    detector
}

fn attempt_ended(failure: Option<FailureKind>) -> Event<'static> {
    Event::AttemptEnded {
        server: SERVER,
        failure,
    }
}

fn receive(detector: &mut OutlierDetector, now_ms: f64, node: u64, bytes: &[u8]) {
    let from = NodeKey(node);
    detector.handle(
        now_ms,
        Event::ReportReceived { from, bytes },
        &mut Vec::new(),
    );
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
        .map(|offset| u8::from_str_radix(&hex[offset..offset + 2], 16).expect("hexadecimal digits"))
        .collect()
}

#[test]
fn report_of_each_failure_kind_encodes_to_recorded_bytes() {
    for (kind, _, expected) in REPORTS {
        let mut detector = detector();
        let mut actions = Vec::new();
        detector.handle(0.0, attempt_ended(None), &mut actions);
        detector.handle(900.0, attempt_ended(Some(kind)), &mut actions);
        let reports = actions.iter().filter_map(|action| match action {
            Action::Broadcast(bytes) => Some(hex(bytes)),
            _ => None,
        });
        assert_eq!(reports.collect::<Vec<_>>(), [expected], "{kind:?}");
    }
}

#[test]
fn recorded_report_of_each_failure_kind_is_decoded() {
    for (kind, name, report) in REPORTS {
        let report = bytes(report);
        assert!(is_report(&report), "should be a report: {report:02x?}");
        let mut detector = detector();
        for node in 1..=2 {
            receive(&mut detector, 1_000.0, node, &report);
        }
        let servers: Vec<_> = detector.reported_servers().collect();
        assert_eq!(servers.len(), 1, "{kind:?}");
        assert_eq!((servers[0].server, servers[0].failure_kind), (SERVER, kind));
        assert_eq!(
            (servers[0].failure_kind.name(), servers[0].reporters),
            (name, 2)
        );
    }
}

#[test]
fn report_that_cannot_be_decoded_is_counted_as_unknown() {
    let valid = bytes(REPORTS[0].2);
    let too_long = [valid.clone(), vec![0; 12 * 14]].concat();
    let other_first_byte = [&[0x7f], &valid[1..]].concat();
    for malformed in [
        &[][..],
        &valid[..2],
        &valid[..valid.len() - 1],
        &too_long,
        &other_first_byte,
    ] {
        let mut detector = detector();
        receive(&mut detector, 1.0, 1, malformed);
        let counters = detector.counters();
        assert_eq!(
            (counters.unknown, counters.reports_accepted),
            (1, 0),
            "{malformed:02x?}"
        );
    }
    let unknown_kind = bytes("800100080706050403020104020409");
    let mut detector = detector();
    receive(&mut detector, 1.0, 1, &unknown_kind);
    assert_eq!(
        detector.counters().reports_accepted,
        1,
        "only the entry with the unknown kind should be skipped"
    );
    assert_eq!(detector.reported_servers().count(), 0);
}
