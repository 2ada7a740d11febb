use super::*;
use crate::identity::ShardToken;
use crate::message::{ConfigurationStatus, LeaseRequest, ShardStatus};

const NODE: NodeId = NodeId(9);

fn node_ids(numbers: &[u64]) -> Vec<NodeId> {
    numbers.iter().copied().map(NodeId).collect()
}

fn manager(configuration: u32, acceptors: &[u64], previous_acceptors: &[u64]) -> LeaseManager {
    let settings = Settings {
        configuration,
        previous_acceptors: node_ids(previous_acceptors),
        shards: 1,
        ..Settings::new(NODE, 1, node_ids(acceptors))
    };
    LeaseManager::new(0.0, settings).expect("valid settings")
}

/// Handles an event, and returns the messages that were sent.
fn handle(manager: &mut LeaseManager, now_ms: f64, event: Event<'_>) -> Vec<(NodeId, Message)> {
    let mut actions = Vec::new();
    manager.handle(now_ms, event, &mut actions);
    let sent = |action| match action {
        Action::Send { to, bytes } => Some((to, Message::decode(&bytes).ok()?)),
        _ => None,
    };
    actions.into_iter().filter_map(sent).collect()
}

/// Receives a message, and returns the messages that were sent.
fn receive(
    manager: &mut LeaseManager,
    now_ms: f64,
    from: u64,
    message: &Message,
) -> Vec<(NodeId, Message)> {
    let event = Event::Message {
        from: NodeId(from),
        process_id: from,
        bytes: &message.encode(),
    };
    handle(manager, now_ms, event)
}

/// The status of shard 0 at an acceptor.
fn status(highest_token: u64, owner: Option<NodeId>, remaining_ms: u16) -> ShardStatus {
    ShardStatus {
        shard: 0,
        highest_token: FencingToken(highest_token),
        owner,
        remaining_ms,
    }
}

fn free_shard_table(highest_token: u64) -> Message {
    Message::Table {
        version: 1,
        shards: vec![status(highest_token, None, 0)],
    }
}

/// The response of an acceptor that grants every lease requested from it.
fn grant_response(sent: &[(NodeId, Message)], acceptor: u64) -> Option<Message> {
    sent.iter().find_map(|(to, message)| match message {
        Message::LeaseRequest {
            request_id,
            requests,
            ..
        } if *to == NodeId(acceptor) => {
            let ownership = |request: &LeaseRequest| ShardToken {
                shard: request.shard,
                token: request.token,
            };
            Some(Message::Granted {
                request_id: *request_id,
                granted: requests.iter().map(ownership).collect(),
            })
        }
        _ => None,
    })
}

/// Claims the shard and receives the grants of these acceptors. Returns whether the process then
/// owns the shard.
fn acquire(manager: &mut LeaseManager, acceptors: &[u64]) -> bool {
    let candidates = Event::Candidates(&[NODE], NodeHealth::Healthy);
    let mut sent = handle(manager, 1.0, candidates);
    sent.extend(receive(manager, 100.0, acceptors[0], &free_shard_table(5)));
    sent.extend(handle(manager, 200.0, Event::TimerExpired));
    for acceptor in acceptors {
        let message =
            grant_response(&sent, *acceptor).expect("the shard is requested from each acceptor");
        receive(manager, 210.0, *acceptor, &message);
    }
    manager.permit(210.0, 0).is_some()
}

fn reconfigure(
    manager: &mut LeaseManager,
    now_ms: f64,
    acceptors: &[u64],
) -> Result<ReconfigurationOutcome, ReconfigurationError> {
    let request = ConfigurationRequest {
        number: 2,
        acceptors: &node_ids(acceptors),
        previous_acceptors: &node_ids(&[1, 2, 3]),
    };
    manager.reconfigure(now_ms, request)
}

/// Guards against grants that count for other acceptors once a reconfiguration changes the indices.
#[test]
fn grants_after_reconfiguration_count_for_their_acceptors() {
    let mut kept = manager(1, &[1, 2, 3], &[]);
    assert!(acquire(&mut kept, &[1, 2]));
    assert_eq!(
        reconfigure(&mut kept, 220.0, &[0, 1, 2]),
        Ok(ReconfigurationOutcome::Started)
    );
    assert!(
        kept.permit(220.0, 0).is_some(),
        "the shard must stay owned: 1 and 2 are a majority of both configurations"
    );
    let mut lost = manager(1, &[1, 2, 3], &[]);
    assert!(acquire(&mut lost, &[1, 2]));
    assert_eq!(
        reconfigure(&mut lost, 220.0, &[0, 4, 1]),
        Ok(ReconfigurationOutcome::Started)
    );
    assert!(
        lost.permit(220.0, 0).is_none(),
        "the shard must not stay owned: of the new acceptors only 1 has granted it"
    );
}

/// Guards against a permit for a process that resumes after its lease has expired and has not
/// handled an event yet.
#[test]
fn permit_after_lease_expiry_is_refused_without_an_event() {
    let mut manager = manager(1, &[1, 2, 3], &[]);
    assert!(acquire(&mut manager, &[1, 2]));
    let expires_ms = manager
        .permit(210.0, 0)
        .expect("the process owns the shard")
        .expires_ms();
    assert!(
        expires_ms < 200.0 + 625.0,
        "the lease must count from its request at 200 ms, but expires at {expires_ms} ms"
    );
    let is_permitted = |now_ms| {
        manager
            .permit(now_ms, 0)
            .is_some_and(|permit| permit.is_valid_at(now_ms))
    };
    assert!(is_permitted(expires_ms - 1.0) && !is_permitted(expires_ms) && !is_permitted(60_000.0));
    assert!(
        manager.permit(expires_ms, 0).is_none()
            && manager
                .owners(60_000.0)
                .all(|owner| owner.remaining_ms == 0.0)
    );
}

/// Guards against tokens that fall because new acceptors have no record of the previous acceptors'
/// grants.
#[test]
fn settled_configuration_continues_above_previous_tokens() {
    let mut manager = manager(1, &[1, 2, 3], &[]);
    assert_eq!(
        reconfigure(&mut manager, 10.0, &[9, 4, 5]),
        Ok(ReconfigurationOutcome::Started)
    );
    let configuration_id = manager.quorum.ids().current;
    let sealed = |highest_token| {
        Message::ConfigurationStatus(ConfigurationStatus {
            configuration_id,
            is_sealed: true,
            is_settled: false,
            is_previous_settled: false,
            highest_token: FencingToken(highest_token),
        })
    };
    let configuration = |is_settled| ConfigurationState {
        number: 2,
        is_settled,
    };
    receive(&mut manager, 20.0, 1, &sealed(70));
    assert_eq!(manager.configuration(), configuration(false));
    receive(&mut manager, 20.0, 2, &sealed(900));
    assert_eq!(manager.configuration(), configuration(true));
    assert_eq!(
        manager.shards[0].highest_token,
        FencingToken(900),
        "the node must claim above the tokens of the previous configuration"
    );
    assert_eq!(
        manager.acceptor.as_ref().map(Acceptor::highest_token),
        Some(FencingToken(900)),
        "the acceptor must grant above the tokens of the previous configuration"
    );
}

fn has_lease_request(sent: &[(NodeId, Message)]) -> bool {
    sent.iter()
        .any(|(_, message)| matches!(message, Message::LeaseRequest { .. }))
}

/// Guards against claims, even to transferred shards, by a node that does not know the phase of a
/// reconfiguration: they would block other nodes.
#[test]
fn node_with_unknown_quorum_requests_no_lease() {
    for previous in [&[][..], &[1, 2, 4]] {
        let may_request = previous.is_empty();
        let mut manager = manager(2, &[1, 2, 3], previous);
        let transfer = Message::Transfer(ShardToken {
            shard: 0,
            token: FencingToken(7),
        });
        let sent = receive(&mut manager, 10.0, 1, &transfer);
        assert_eq!(has_lease_request(&sent), may_request);
        let candidates = Event::Candidates(&[NODE], NodeHealth::Healthy);
        let mut sent = handle(&mut manager, 20.0, candidates);
        sent.extend(receive(&mut manager, 3_000.0, 1, &free_shard_table(9)));
        sent.extend(handle(&mut manager, 3_100.0, Event::TimerExpired));
        assert_eq!(has_lease_request(&sent), may_request);
    }
}

/// An owner that claims its shard under a new token, as an acceptor reported a higher one than its
/// own. Also returns the messages that it sent since that report.
fn owner_with_new_token() -> (LeaseManager, Vec<(NodeId, Message)>) {
    let mut manager = manager(1, &[1, 2, 3], &[]);
    assert!(acquire(&mut manager, &[1, 2]));
    let mut sent = handle(&mut manager, 1_000.0 / 3.0, Event::TimerExpired);
    sent.extend(handle(&mut manager, 600.0, Event::TimerExpired));
    for acceptor in [1, 2] {
        let message =
            grant_response(&sent, acceptor).expect("the renewal is requested from each acceptor");
        receive(&mut manager, 610.0, acceptor, &message);
    }
    let higher_token = Message::Rejected {
        shards: vec![status(40, None, 0)],
    };
    let mut sent = receive(&mut manager, 700.0, 3, &higher_token);
    sent.extend(handle(&mut manager, 760.0, Event::TimerExpired));
    (manager, sent)
}

/// The lengths of the leases that were requested under a token, one for each message.
fn requested_ttls(sent: &[(NodeId, Message)], token: u64) -> Vec<u16> {
    let ttl = |(_, message): &(NodeId, Message)| match message {
        Message::LeaseRequest {
            ttl_ms, requests, ..
        } if requests[0].token == FencingToken(token) => Some(*ttl_ms),
        _ => None,
    };
    sent.iter().filter_map(ttl).collect()
}

/// Guards against a claim that is abandoned because an acceptor that has granted the new token
/// rejects renewals under the old one.
#[test]
fn rejection_of_old_token_does_not_end_claim_of_new_one() {
    let (mut manager, sent) = owner_with_new_token();
    assert_eq!(
        requested_ttls(&sent, 41),
        [2_500; 3],
        "the claim must request leases of the full length, as they block no other node"
    );
    for acceptor in [1, 2] {
        let rejected = Message::Rejected {
            shards: vec![status(41, Some(NODE), 2_000)],
        };
        receive(&mut manager, 770.0, acceptor, &rejected);
    }
    let sent = handle(&mut manager, 1_100.0, Event::TimerExpired);
    assert!(
        !requested_ttls(&sent, 41).is_empty(),
        "the claim must be requested again"
    );
}

/// Guards against a node whose messages arrive while it receives none: it would block a shard for a
/// full lease after its own lease has expired.
#[test]
fn owner_without_answers_requests_short_leases_only() {
    let (mut manager, _) = owner_with_new_token();
    let sent = handle(&mut manager, 610.0 + 1_400.0, Event::TimerExpired);
    let ttls = requested_ttls(&sent, 41);
    assert!(
        !ttls.is_empty() && ttls.iter().all(|ttl| *ttl == 625),
        "only leases of 625 ms must be requested, but got {ttls:?}"
    );
}
