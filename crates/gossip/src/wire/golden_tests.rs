//! Recorded bytes of every kind of record, and recorded external names. Nodes of different versions
//! share a cluster, so the layout of datagrams must not change.

use std::fmt::Write;

use super::*;
use crate::member_id::MemberId;

fn datagram(records: &[Record]) -> String {
    let key = ClusterKey::new("holds", b"0123456789abcdef");
    let header = Header {
        from_process: 0x1122_3344_5566_7788,
        to_process: 0x99aa_bbcc_ddee_ff00,
        sequence: 0x0102_0304,
    };
    let mut writer = DatagramWriter::new(&key, header);
    for record in records {
        assert!(writer.push(record), "{record:?} does not fit");
    }
    let mut hex = String::new();
    for byte in writer.seal(&key) {
        write!(hex, "{byte:02x}").expect("write to a string");
    }
    hex
}

#[test]
fn datagram_of_every_kind_has_the_recorded_bytes() {
    let id = MemberId::of("n7");
    let recorded: [(&[Record], &str); 18] = [
        (
            &[],
            "01d885c397887766554433221100ffeeddccbbaa9904030201b42d0eb7ad698a9df5f052f3e420e621",
        ),
        (
            &[Record::Hello { incarnation: 1_796_162_400_000, name: "n1".into() }],
            "01d885c397887766554433221100ffeeddccbbaa9904030201010a002f9f33a20100006e31462f5839e1f9c2580351306dc8ec9728",
        ),
        (
            &[Record::Probe { ack_requested: false, to_observer: false }],
            "01d885c397887766554433221100ffeeddccbbaa99040302010201002fde8388ab770eac01e7a7d32a81ddb7",
        ),
        (
            &[Record::Probe { ack_requested: true, to_observer: false }],
            "01d885c397887766554433221100ffeeddccbbaa990403020102010143d7990ec71316dc0bc7e4b81b1a4d06",
        ),
        (
            &[Record::Probe { ack_requested: false, to_observer: true }],
            "01d885c397887766554433221100ffeeddccbbaa99040302010201023d21ec09f0786d181c84dc8b08506af4",
        ),
        (
            &[Record::Probe { ack_requested: true, to_observer: true }],
            "01d885c397887766554433221100ffeeddccbbaa9904030201020103e0ce5122b7cfa23f1ff8c0b78b3d3892",
        ),
        (
            &[Record::Ack { sequence: 0x0a0b_0c0d, hello_requested: false }],
            "01d885c397887766554433221100ffeeddccbbaa990403020103050d0c0b0a00da7dfbdd020aafc3a3ddf34b6f723da6",
        ),
        (
            &[Record::Ack { sequence: 0x0a0b_0c0d, hello_requested: true }],
            "01d885c397887766554433221100ffeeddccbbaa990403020103050d0c0b0a017cee2948a436c5b60b30258804f1089d",
        ),
        (
            &[Record::Alive { incarnation: 5, process_id: 0x77, name: "n7".into() }],
            "01d885c397887766554433221100ffeeddccbbaa99040302010412050000000000000077000000000000006e37442f54a996796d521025da00dca9b529",
        ),
        (
            &[Record::Dead(DeathNotice { member: id, incarnation: 6, age_quarter_seconds: 9 })],
            "01d885c397887766554433221100ffeeddccbbaa9904030201051144e625cdc9d9f17306000000000000000996b2d835681746f46d9498449a56b4f4",
        ),
        (
            &[Record::Left { member: id, incarnation: 7 }],
            "01d885c397887766554433221100ffeeddccbbaa9904030201061044e625cdc9d9f173070000000000000026576ea98380495a0a747bff28a3a353",
        ),
        (
            &[Record::IndirectProbe { member: id, incarnation: 8 }],
            "01d885c397887766554433221100ffeeddccbbaa9904030201071044e625cdc9d9f1730800000000000000c7b00c74c30415d8b90c0e76169b6c69",
        ),
        (
            &[Record::Vote { member: id, incarnation: 9, is_reachable: true }],
            "01d885c397887766554433221100ffeeddccbbaa9904030201081144e625cdc9d9f17309000000000000000186c7000e28d19dfba612b8ed18bd8592",
        ),
        (
            &[Record::Vote { member: id, incarnation: 9, is_reachable: false }],
            "01d885c397887766554433221100ffeeddccbbaa9904030201081144e625cdc9d9f173090000000000000000faaf7ab8451915a4c67f6c257de7dd51",
        ),
        (
            &[Record::Digest(0xfedc_ba98_7654_3210)],
            "01d885c397887766554433221100ffeeddccbbaa990403020109081032547698badcfe6b2000c069fafaa176d91f49a15667b5",
        ),
        (
            &[Record::BucketDigests(std::array::from_fn(|bucket| 0x1000 + bucket as u16))],
            "01d885c397887766554433221100ffeeddccbbaa99040302010a2000100110021003100410051006100710081009100a100b100c100d100e100f10638ebfa62d6855a309c2783be8d52160",
        ),
        (
            &[Record::Payload(b"opaque".to_vec())],
            "01d885c397887766554433221100ffeeddccbbaa99040302010b066f706171756504eb34c04a16aff9c133148084ecf84a",
        ),
        (
            &[Record::Probe { ack_requested: true, to_observer: true }, Record::Dead(DeathNotice { member: id, incarnation: 6, age_quarter_seconds: 9 }), Record::Payload(vec![0, 255])],
            "01d885c397887766554433221100ffeeddccbbaa9904030201020103051144e625cdc9d9f1730600000000000000090b0200ff4168672cfab5362caa5d5ec342b2ea86",
        ),
    ];
    for (records, hex) in recorded {
        assert_eq!(datagram(records), hex, "{records:?}");
        let bytes: Vec<u8> = (0..hex.len())
            .step_by(2)
            .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("parse recorded hex"))
            .collect();
        let key = ClusterKey::new("holds", b"0123456789abcdef");
        let datagram = open_datagram(&key, &bytes).expect("open a recorded datagram");
        assert_eq!(datagram.records, records);
    }
}

/// These names are the last parts of the metrics `edge_router.fleet_refused.*`.
#[test]
fn rejection_metric_names_and_order_are_stable() {
    let positions: Vec<_> = RejectReason::ALL
        .iter()
        .map(|reason| *reason as usize)
        .collect();
    assert_eq!(
        positions,
        [0, 1, 2, 3, 4, 5, 6, 7, 8],
        "the order of RejectReason::ALL is that of its discriminants, which index the counters"
    );
    assert_eq!(
        RejectReason::ALL.map(RejectReason::metric_name),
        [
            "malformed",
            "version",
            "fleet",
            "seal",
            "replayed",
            "other_life",
            "stranger",
            "flood",
            "full"
        ]
    );
}

/// `MEMBERS` and `members --json` show these names, and `edge_router.fleet_health` these numbers.
#[test]
fn state_and_health_values_are_stable() {
    use crate::member::{Health, State};
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    assert_eq!(
        states.map(|state| state.to_string()),
        ["alive", "suspect", "gone", "left"]
    );
    let health = [Health::Isolated, Health::Degraded, Health::Well];
    assert_eq!(
        health.map(|health| (health as u64, health.to_string())),
        [
            (0, "isolated".into()),
            (1, "degraded".into()),
            (2, "well".into())
        ]
    );
}
