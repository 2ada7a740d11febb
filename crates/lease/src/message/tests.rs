use super::*;
use proptest::prelude::*;

fn token() -> impl Strategy<Value = FencingToken> {
    any::<u64>().prop_map(FencingToken)
}

fn ownership() -> impl Strategy<Value = ShardToken> {
    (any::<Shard>(), token()).prop_map(|(shard, token)| ShardToken { shard, token })
}

fn ownerships() -> impl Strategy<Value = Vec<ShardToken>> {
    proptest::collection::vec(ownership(), 0..=MAX_LEASE_REQUESTS)
}

fn lease_requests() -> impl Strategy<Value = Vec<LeaseRequest>> {
    let request = (ownership(), any::<bool>()).prop_map(|(ownership, is_transfer)| LeaseRequest {
        shard: ownership.shard,
        token: ownership.token,
        is_transfer,
    });
    proptest::collection::vec(request, 0..=MAX_LEASE_REQUESTS)
}

fn shard_statuses() -> impl Strategy<Value = Vec<ShardStatus>> {
    let status = (ownership(), any::<u64>(), any::<u16>());
    let status = status.prop_map(|(ownership, owner, remaining_ms)| ShardStatus {
        shard: ownership.shard,
        highest_token: ownership.token,
        owner: Some(NodeId(owner)).filter(|owner| owner.0 != 0),
        remaining_ms,
    });
    proptest::collection::vec(status, 0..=MAX_SHARD_STATUSES)
}

fn configurations() -> impl Strategy<Value = ConfigurationIds> {
    let previous = prop_oneof![Just(None), (1..=u64::MAX).prop_map(Some)];
    (any::<u64>(), previous).prop_map(|(current, previous)| ConfigurationIds { current, previous })
}

fn configuration_status() -> impl Strategy<Value = ConfigurationStatus> {
    let parts = (any::<u64>(), any::<[bool; 3]>(), token());
    parts.prop_map(|(configuration_id, flags, highest_token)| {
        let [is_sealed, is_settled, is_previous_settled] = flags;
        ConfigurationStatus {
            configuration_id,
            is_sealed,
            is_settled,
            is_previous_settled,
            highest_token,
        }
    })
}

fn lease_request_message() -> impl Strategy<Value = Message> {
    let parts = (
        configurations(),
        any::<u32>(),
        any::<u16>(),
        lease_requests(),
    );
    parts.prop_map(
        |(configurations, request_id, ttl_ms, requests)| Message::LeaseRequest {
            configurations,
            request_id,
            ttl_ms,
            requests,
        },
    )
}

fn effect() -> impl Strategy<Value = Message> {
    let payload = proptest::collection::vec(any::<u8>(), 0..=MAX_EFFECT_BYTES);
    (ownership(), payload).prop_map(|(ownership, payload)| Message::Effect { ownership, payload })
}

fn message() -> impl Strategy<Value = Message> {
    prop_oneof![
        lease_request_message(),
        (any::<u32>(), ownerships()).prop_map(|(request_id, granted)| Message::Granted {
            request_id,
            granted
        }),
        shard_statuses().prop_map(|shards| Message::Rejected { shards }),
        ownerships().prop_map(|released| Message::Release { released }),
        ownership().prop_map(Message::Transfer),
        ownership().prop_map(Message::TransferOffer),
        ownership().prop_map(Message::TransferAccepted),
        (configurations(), any::<u64>()).prop_map(|(configurations, since_version)| {
            Message::TableRequest {
                configurations,
                since_version,
            }
        }),
        configurations()
            .prop_map(|configurations| Message::ConfigurationStatusRequest { configurations }),
        configuration_status().prop_map(Message::ConfigurationStatus),
        effect(),
        (any::<u64>(), shard_statuses())
            .prop_map(|(version, shards)| Message::Table { version, shards }),
        any::<u64>().prop_map(|configuration_id| Message::HighestTokenRequest { configuration_id }),
        token().prop_map(Message::HighestToken),
        any::<u32>().prop_map(Message::ConfigurationMismatch),
    ]
}

proptest! {
    #[test]
    fn encoded_message_fits_and_is_decoded_to_itself(message in message()) {
        let bytes = message.encode();
        prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        prop_assert_eq!(Message::decode(&bytes), Ok(message));
    }

    #[test]
    fn arbitrary_bytes_are_decoded_without_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = Message::decode(&bytes);
    }
}
