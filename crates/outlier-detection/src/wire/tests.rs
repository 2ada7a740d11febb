use super::*;
use proptest::prelude::*;

fn entry((server, failed, succeeded, kind): (u64, u8, u8, u8)) -> ReportEntry {
    ReportEntry {
        server: ServerKey(server),
        failed_quarters: failed,
        succeeded_quarters: succeeded,
        failure_kind: FailureKind::ALL[usize::from(kind % 4)],
        success_age_tenths: kind,
    }
}

proptest! {
    #[test]
    fn encoded_report_decodes_to_itself(
        tried_servers: u16,
        entries in proptest::collection::vec(any::<(u64, u8, u8, u8)>(), 0..=MAX_ENTRIES),
    ) {
        let report = Report { tried_servers, entries: entries.into_iter().map(entry).collect() };
        let bytes = encode_report(&report);
        prop_assert!(bytes.len() <= MAX_REPORT_BYTES && is_report(&bytes), "should be a report: {bytes:02x?}");
        prop_assert_eq!(decode_report(&bytes), Some(report));
    }

    #[test]
    fn arbitrary_bytes_decode_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode_report(&bytes);
    }
}
