//! One node among scripted peers: its limits, and datagrams that no correct node sends.

use crate::wire::{DatagramWriter, DeathNotice, Header, Record};
use crate::{
    Action, ClusterKey, Event, Gossip, LogEvent, MemberId, RejectReason, Settings, State,
    MAX_MEMBERS,
};

const OWN_PROCESS: u64 = 77;
const OWN_INCARNATION: u64 = 5;
const PEER_INCARNATION: u64 = 9;
const TIMER_STEP_MS: f64 = 250.0;
const HOUR_MS: f64 = 3_600_000.0;

struct Node {
    gossip: Gossip,
    now_ms: f64,
    sequences: Vec<u32>,
    log: Vec<LogEvent>,
}

impl Node {
    /// A node with `peers` peers. The process id of peer `n` is `1_000 + n`.
    fn new(peers: usize) -> Self {
        let settings = Settings::new("me", OWN_PROCESS, OWN_INCARNATION, key());
        let mut node = Self {
            gossip: Gossip::new(0.0, settings),
            now_ms: 0.0,
            sequences: vec![0; peers],
            log: Vec::new(),
        };
        node.handle(Event::SetPeers((0..peers).collect()));
        node
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.gossip.handle(self.now_ms, event, &mut actions);
        let log_events = actions.into_iter().filter_map(|action| match action {
            Action::Log(event) => Some(event),
            _ => None,
        });
        self.log.extend(log_events);
    }

    fn run(&mut self, ms: f64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms += TIMER_STEP_MS;
            self.handle(Event::Timer);
        }
    }

    /// Delivers a datagram from a peer with the peer's next sequence number.
    fn receive(&mut self, peer: usize, records: &[Record]) {
        self.sequences[peer] += 1;
        self.receive_with_sequence(peer, self.sequences[peer], records);
    }

    fn receive_with_sequence(&mut self, peer: usize, sequence: u32, records: &[Record]) {
        let header = Header {
            from_process: 1_000 + peer as u64,
            to_process: OWN_PROCESS,
            sequence,
        };
        let mut writer = DatagramWriter::new(&key(), header);
        for record in records {
            assert!(writer.push(record), "{record:?} does not fit");
        }
        let bytes = writer.seal(&key());
        self.handle(Event::Datagram {
            from: peer,
            bytes: &bytes,
        });
    }

    fn introduce(&mut self, peer: usize) {
        self.receive(peer, &[hello(peer, PEER_INCARNATION)]);
    }

    fn state(&self, name: &str) -> Option<State> {
        self.gossip
            .members()
            .find(|member| member.name == name)
            .map(|member| member.state)
    }

    fn own_incarnation(&self) -> u64 {
        self.gossip
            .members()
            .find(|member| member.is_self)
            .map(|own| own.incarnation)
            .expect("the member table has the node itself")
    }

    fn rejected(&self, reason: RejectReason) -> u64 {
        let index = RejectReason::ALL
            .iter()
            .position(|listed| *listed == reason)
            .expect("RejectReason::ALL has every reason");
        self.gossip.metrics().rejected[index]
    }
}

fn key() -> ClusterKey {
    ClusterKey::new("holds", b"0123456789abcdef")
}

fn hello(peer: usize, incarnation: u64) -> Record {
    Record::Hello {
        incarnation,
        name: format!("p{peer}"),
    }
}

fn alive(name: &str, incarnation: u64) -> Record {
    Record::Alive {
        incarnation,
        process_id: 3,
        name: name.into(),
    }
}

fn dead(name: &str, incarnation: u64) -> Record {
    Record::Dead(DeathNotice {
        member: MemberId::of(name),
        incarnation,
        age_quarter_seconds: 0,
    })
}

fn left(name: &str, incarnation: u64) -> Record {
    Record::Left {
        member: MemberId::of(name),
        incarnation,
    }
}

/// Guards against a member table that grows with every reported name, and against a full table that
/// rejects new nodes forever.
#[test]
fn full_member_table_rejects_new_nodes_until_one_leaves() {
    let mut node = Node::new(2);
    node.introduce(0);
    for n in 0..MAX_MEMBERS + 500 {
        node.receive(0, &[alive(&format!("n{n}"), 1)]);
    }
    assert_eq!(node.gossip.members().count(), MAX_MEMBERS);
    assert_eq!(
        node.rejected(RejectReason::TableFull),
        502,
        "502 of the reported nodes must be rejected, as this node and the peer take two entries"
    );
    let logged = node
        .log
        .iter()
        .filter(|event| **event == LogEvent::TableFull);
    assert_eq!(logged.count(), 1, "the full table must be logged once");
    node.introduce(1);
    assert_eq!(
        node.state("p1"),
        None,
        "a node that introduces itself to a full table must be rejected"
    );
    node.receive(0, &[left("n3", 1)]);
    node.receive(1, &[hello(1, PEER_INCARNATION)]);
    assert_eq!(
        (node.state("p1"), node.state("n3")),
        (Some(State::Alive), None),
        "a new node must replace the one that has left"
    );
    assert_eq!(node.gossip.members().count(), MAX_MEMBERS);
}

/// Guards against a node that can never rejoin at nodes whose member entry of it has expired while
/// its process is still bound to its address.
#[test]
fn expired_member_rejoins_and_its_old_datagrams_are_rejected() {
    let mut node = Node::new(2);
    node.introduce(0);
    node.introduce(1);
    node.receive(0, &[left("p1", PEER_INCARNATION)]);
    assert_eq!(node.state("p1"), Some(State::Left));
    node.receive(
        1,
        &[Record::Probe {
            ack_requested: true,
            to_observer: false,
        }],
    );
    assert_eq!(
        node.state("p1"),
        Some(State::Left),
        "a datagram of the incarnation that has left must not change the state"
    );
    node.run(HOUR_MS + 120_000.0);
    assert_eq!(node.state("p1"), None, "the member entry must have expired");
    node.receive_with_sequence(1, 1, &[hello(1, PEER_INCARNATION)]);
    assert_eq!(
        node.rejected(RejectReason::Replayed),
        1,
        "a datagram from before the expiry must be rejected as replayed"
    );
    assert_eq!(node.state("p1"), None);
    node.receive(1, &[hello(1, PEER_INCARNATION + 1)]);
    assert_eq!(node.state("p1"), Some(State::Alive));
}

/// Guards against an incarnation that cannot be incremented: the node would panic, or wrap around
/// to 0.
#[test]
fn highest_incarnations_are_rejected_or_refuted() {
    let mut node = Node::new(2);
    node.introduce(0);
    for incarnation in [u64::MAX, u64::MAX - 1, (1 << 62) + 1] {
        node.receive(0, &[alive("me", incarnation), alive("other", incarnation)]);
        node.receive(0, &[dead("me", incarnation)]);
        node.receive(0, &[left("p0", incarnation)]);
    }
    assert_eq!(
        (node.state("other"), node.state("p0")),
        (None, Some(State::Alive)),
        "records with too high incarnations must be skipped"
    );
    assert_eq!(node.own_incarnation(), OWN_INCARNATION);
    for _ in 0..20 {
        node.receive(0, &[alive("me", 1 << 62)]);
        node.receive(0, &[dead("me", 1 << 62)]);
        node.run(1_000.0);
    }
    assert!(node.own_incarnation() > OWN_INCARNATION);
}

/// Guards against a suspicion without candidates for the quorum, after all nodes were asked and
/// none answered in time.
#[test]
fn unresponsive_voters_are_asked_again_and_confirm_the_death() {
    let mut node = Node::new(4);
    for peer in 0..4 {
        node.introduce(peer);
    }
    node.run(1_000.0);
    // The last peer stops sending. The other peers are alive, but answer no indirect probe for a
    // long time.
    let suspect = MemberId::of("p3");
    let probe = Record::Probe {
        ack_requested: false,
        to_observer: true,
    };
    for _ in 0..80 {
        for peer in 0..3 {
            node.receive(peer, std::slice::from_ref(&probe));
        }
        node.run(TIMER_STEP_MS);
    }
    assert_eq!(
        node.state("p3"),
        Some(State::Suspect),
        "without votes the death must not be confirmed"
    );
    let vote = Record::Vote {
        member: suspect,
        incarnation: PEER_INCARNATION,
        is_reachable: false,
    };
    for _ in 0..20 {
        for peer in 0..3 {
            node.receive(peer, std::slice::from_ref(&vote));
        }
        node.run(TIMER_STEP_MS);
    }
    assert_eq!(node.state("p3"), Some(State::Dead));
}
