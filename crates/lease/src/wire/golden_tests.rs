//! The exact bytes of one message of every kind, as version 45ea4e8 writes them. Nodes of that version may run in the same
//! fleet, so what is recorded here must be written and read for ever.

use super::*;

const SHARD: Shard = 0x21;
const TOKEN: Fence = Fence(0x0102_0304_0506_0708);

fn one_configuration() -> Sets {
    Sets {
        now: 0x1112_1314_1516_1718,
        before: 0,
    }
}

fn two_configurations() -> Sets {
    Sets {
        now: 0x1112_1314_1516_1718,
        before: 0x2122_2324_2526_2728,
    }
}

fn lease_requests() -> Vec<Wanted> {
    vec![
        Wanted {
            shard: SHARD,
            fence: TOKEN,
            given: false,
        },
        Wanted {
            shard: 0x7f,
            fence: Fence(2),
            given: true,
        },
    ]
}

fn shard_statuses() -> Vec<Held> {
    vec![
        Held {
            shard: SHARD,
            highest: TOKEN,
            owner: Some(NodeId(0x3132_3334_3536_3738)),
            left_ms: 0x4142,
        },
        Held {
            shard: 0x7f,
            highest: Fence(2),
            owner: None,
            left_ms: 0,
        },
    ]
}

fn status(is_sealed: bool, is_alone: bool, is_next: bool) -> Word {
    Word::Stands(Stand {
        set: 0x1112_1314_1516_1718,
        is_sealed,
        is_alone,
        is_next,
        highest: TOKEN,
    })
}

fn shard_tokens() -> Vec<(Shard, Fence)> {
    vec![(SHARD, TOKEN), (0x7f, Fence(2))]
}

fn recorded_messages() -> Vec<(&'static str, Word)> {
    vec![
        ("011817161514131211545352516261210008070605040302017f010200000000000000", Word::Want { sets: one_configuration(), ask: 0x5152_5354, ttl_ms: 0x6162, shards: lease_requests() }),
        ("0d18171615141312112827262524232221545352516261210008070605040302017f010200000000000000", Word::Want { sets: two_configurations(), ask: 0x5152_5354, ttl_ms: 0x6162, shards: lease_requests() }),
        ("02545352512108070605040302017f0200000000000000", Word::Granted { ask: 0x5152_5354, shards: shard_tokens() }),
        ("03210807060504030201383736353433323142417f020000000000000000000000000000000000", Word::Refused { shards: shard_statuses() }),
        ("042108070605040302017f0200000000000000", Word::Release { shards: shard_tokens() }),
        ("05210807060504030201", Word::Take { shard: SHARD, fence: TOKEN }),
        ("0b210807060504030201", Word::Offer { shard: SHARD, fence: TOKEN }),
        ("0c210807060504030201", Word::Ready { shard: SHARD, fence: TOKEN }),
        ("0618171615141312117271000000000000", Word::Who { sets: one_configuration(), since: 0x7172 }),
        ("0e181716151413121128272625242322217271000000000000", Word::Who { sets: two_configurations(), since: 0x7172 }),
        ("077271000000000000210807060504030201383736353433323142417f020000000000000000000000000000000000", Word::Table { version: 0x7172, shards: shard_statuses() }),
        ("081817161514131211", Word::Highest { set: 0x1112_1314_1516_1718 }),
        ("090807060504030201", Word::HighestIs(TOKEN)),
        ("0a54535251", Word::OtherSet(0x5152_5354)),
        ("0f18171615141312110000000000000000", Word::Decides { sets: one_configuration() }),
        ("0f18171615141312112827262524232221", Word::Decides { sets: two_configurations() }),
        ("101817161514131211010807060504030201", status(true, false, false)),
        ("101817161514131211020807060504030201", status(false, true, false)),
        ("101817161514131211040807060504030201", status(false, false, true)),
        ("11210807060504030201646f6e65", Word::Effect { shard: SHARD, fence: TOKEN, bytes: b"done".to_vec() }),
    ]
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits"))
        .collect()
}

#[test]
fn message_of_every_kind_keeps_its_recorded_bytes() {
    for (recorded, message) in recorded_messages() {
        assert_eq!(to_hex(&message.write()), recorded, "{message:?}");
    }
}

#[test]
fn recorded_message_of_every_kind_is_still_read() {
    for (recorded, message) in recorded_messages() {
        assert_eq!(Word::read(&from_hex(recorded)), Some(message));
    }
}
