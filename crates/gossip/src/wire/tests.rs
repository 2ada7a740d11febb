//! Properties of the datagram format.

use proptest::prelude::*;

use super::record::kind;
use super::*;
use crate::member_id::MemberId;

fn record() -> impl Strategy<Value = Record> {
    let incarnation = || 0..=MAX_INCARNATION;
    let member = || (any::<u64>().prop_map(MemberId), incarnation());
    prop_oneof![
        (incarnation(), "[!-~]{1,64}")
            .prop_map(|(incarnation, name)| Record::Hello { incarnation, name }),
        any::<(bool, bool)>().prop_map(|(ack_requested, to_observer)| Record::Probe {
            ack_requested,
            to_observer
        }),
        (any::<u32>(), any::<bool>()).prop_map(|(sequence, hello_requested)| Record::Ack {
            sequence,
            hello_requested
        }),
        (incarnation(), any::<u64>(), "[!-~]{1,64}").prop_map(|(incarnation, process_id, name)| {
            Record::Alive {
                incarnation,
                process_id,
                name,
            }
        }),
        (member(), any::<u8>()).prop_map(|((member, incarnation), age_quarter_seconds)| {
            Record::Dead(DeathNotice {
                member,
                incarnation,
                age_quarter_seconds,
            })
        }),
        member().prop_map(|(member, incarnation)| Record::Left {
            member,
            incarnation
        }),
        member().prop_map(|(member, incarnation)| Record::IndirectProbe {
            member,
            incarnation
        }),
        (member(), any::<bool>()).prop_map(|((member, incarnation), is_reachable)| Record::Vote {
            member,
            incarnation,
            is_reachable
        }),
        any::<u64>().prop_map(Record::Digest),
        any::<[u16; DIGEST_BUCKETS]>().prop_map(Record::BucketDigests),
        proptest::collection::vec(any::<u8>(), 0..=MAX_PAYLOAD_BYTES).prop_map(Record::Payload),
    ]
}

fn key() -> ClusterKey {
    ClusterKey::new("holds", b"0123456789abcdef")
}

const HEADER: Header = Header {
    from_process: 1,
    to_process: 2,
    sequence: 3,
};

proptest! {
    #[test]
    fn encoded_records_are_decoded_and_fit_the_longest_datagram(
        (from_process, to_process, sequence) in any::<(u64, u64, u32)>(),
        records in proptest::collection::vec(record(), 0..30),
    ) {
        let header = Header { from_process, to_process, sequence };
        let mut writer = DatagramWriter::new(&key(), header);
        let records: Vec<_> = records.into_iter().filter(|record| writer.push(record)).collect();
        let bytes = writer.seal(&key());
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(open_datagram(&key(), &bytes), Ok(Datagram { header, records }));
    }

    #[test]
    fn datagram_with_any_changed_byte_is_rejected(position in 0..60_usize, mask in 1..=255_u8) {
        let mut writer = DatagramWriter::new(&key(), HEADER);
        writer.push(&Record::Dead(DeathNotice {
            member: MemberId(7),
            incarnation: 8,
            age_quarter_seconds: 9,
        }));
        let mut bytes = writer.seal(&key());
        let index = position % bytes.len();
        bytes[index] ^= mask;
        prop_assert!(open_datagram(&key(), &bytes).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(open_datagram(&key(), &bytes).is_err());
    }
}

/// Guards against a cluster whose nodes cannot communicate while some of them run a later version.
#[test]
fn unknown_records_and_trailing_fields_are_skipped() {
    let probe = Record::Probe {
        ack_requested: true,
        to_observer: false,
    };
    let mut writer = DatagramWriter::new(&key(), HEADER);
    writer.push(&probe);
    writer
        .bytes
        .extend_from_slice(&[200, 3, 1, 2, 3, kind::PROBE, 4, 1, 9, 9, 9]);
    let datagram = open_datagram(&key(), &writer.seal(&key()))
        .expect("open a datagram with unknown records and fields");
    assert_eq!(datagram.records, [probe.clone(), probe]);
}

#[test]
fn other_key_and_other_cluster_are_rejected_with_their_reason() {
    let bytes = DatagramWriter::new(&key(), HEADER).seal(&key());
    let other_key = ClusterKey::new("holds", b"another key of 16");
    let other_cluster = ClusterKey::new("other", b"0123456789abcdef");
    assert_eq!(
        open_datagram(&other_key, &bytes),
        Err(RejectReason::BadSeal)
    );
    assert_eq!(
        open_datagram(&other_cluster, &bytes),
        Err(RejectReason::WrongCluster)
    );
}
