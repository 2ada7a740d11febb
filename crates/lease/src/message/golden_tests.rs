//! The exact bytes of one message of every kind, as version 45ea4e8 encodes them. Nodes of that
//! version may run in the same cluster, so these bytes never change.

use super::*;

const SHARD: Shard = 0x21;
const TOKEN: FencingToken = FencingToken(0x0102_0304_0506_0708);
const OWNERSHIP: ShardToken = ShardToken {
    shard: SHARD,
    token: TOKEN,
};

fn settled_configuration() -> ConfigurationIds {
    ConfigurationIds {
        current: 0x1112_1314_1516_1718,
        previous: None,
    }
}

fn joint_configurations() -> ConfigurationIds {
    ConfigurationIds {
        current: 0x1112_1314_1516_1718,
        previous: Some(0x2122_2324_2526_2728),
    }
}

fn lease_requests() -> Vec<LeaseRequest> {
    vec![
        LeaseRequest {
            shard: SHARD,
            token: TOKEN,
            is_transfer: false,
        },
        LeaseRequest {
            shard: 0x7f,
            token: FencingToken(2),
            is_transfer: true,
        },
    ]
}

fn shard_statuses() -> Vec<ShardStatus> {
    vec![
        ShardStatus {
            shard: SHARD,
            highest_token: TOKEN,
            owner: Some(NodeId(0x3132_3334_3536_3738)),
            remaining_ms: 0x4142,
        },
        ShardStatus {
            shard: 0x7f,
            highest_token: FencingToken(2),
            owner: None,
            remaining_ms: 0,
        },
    ]
}

fn status(is_sealed: bool, is_settled: bool, is_previous_settled: bool) -> Message {
    Message::ConfigurationStatus(ConfigurationStatus {
        configuration_id: 0x1112_1314_1516_1718,
        is_sealed,
        is_settled,
        is_previous_settled,
        highest_token: TOKEN,
    })
}

fn shard_tokens() -> Vec<ShardToken> {
    vec![
        OWNERSHIP,
        ShardToken {
            shard: 0x7f,
            token: FencingToken(2),
        },
    ]
}

/// The recorded bytes of each of [`messages`], in hexadecimal.
const RECORDED: [&str; 20] = [
    "011817161514131211545352516261210008070605040302017f010200000000000000",
    "0d18171615141312112827262524232221545352516261210008070605040302017f010200000000000000",
    "02545352512108070605040302017f0200000000000000",
    "03210807060504030201383736353433323142417f020000000000000000000000000000000000",
    "042108070605040302017f0200000000000000",
    "05210807060504030201",
    "0b210807060504030201",
    "0c210807060504030201",
    "0618171615141312117271000000000000",
    "0e181716151413121128272625242322217271000000000000",
    "077271000000000000210807060504030201383736353433323142417f020000000000000000000000000000000000",
    "081817161514131211",
    "090807060504030201",
    "0a54535251",
    "0f18171615141312110000000000000000",
    "0f18171615141312112827262524232221",
    "101817161514131211010807060504030201",
    "101817161514131211020807060504030201",
    "101817161514131211040807060504030201",
    "11210807060504030201646f6e65",
];

fn messages() -> [Message; 20] {
    [
        Message::LeaseRequest {
            configurations: settled_configuration(),
            request_id: 0x5152_5354,
            ttl_ms: 0x6162,
            requests: lease_requests(),
        },
        Message::LeaseRequest {
            configurations: joint_configurations(),
            request_id: 0x5152_5354,
            ttl_ms: 0x6162,
            requests: lease_requests(),
        },
        Message::Granted {
            request_id: 0x5152_5354,
            granted: shard_tokens(),
        },
        Message::Rejected {
            shards: shard_statuses(),
        },
        Message::Release {
            released: shard_tokens(),
        },
        Message::Transfer(OWNERSHIP),
        Message::TransferOffer(OWNERSHIP),
        Message::TransferAccepted(OWNERSHIP),
        Message::TableRequest {
            configurations: settled_configuration(),
            since_version: 0x7172,
        },
        Message::TableRequest {
            configurations: joint_configurations(),
            since_version: 0x7172,
        },
        Message::Table {
            version: 0x7172,
            shards: shard_statuses(),
        },
        Message::HighestTokenRequest {
            configuration_id: 0x1112_1314_1516_1718,
        },
        Message::HighestToken(TOKEN),
        Message::ConfigurationMismatch(0x5152_5354),
        Message::ConfigurationStatusRequest {
            configurations: settled_configuration(),
        },
        Message::ConfigurationStatusRequest {
            configurations: joint_configurations(),
        },
        status(true, false, false),
        status(false, true, false),
        status(false, false, true),
        Message::Effect {
            ownership: OWNERSHIP,
            payload: b"done".to_vec(),
        },
    ]
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len())
        .step_by(2)
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).expect("hexadecimal digits"))
        .collect()
}

#[test]
fn message_of_every_kind_is_encoded_to_its_recorded_bytes() {
    for (recorded, message) in RECORDED.iter().zip(messages()) {
        assert_eq!(message.encode(), from_hex(recorded), "{message:?}");
    }
}

#[test]
fn recorded_message_of_every_kind_is_decoded() {
    for (recorded, message) in RECORDED.iter().zip(messages()) {
        assert_eq!(Message::decode(&from_hex(recorded)), Ok(message));
    }
}
