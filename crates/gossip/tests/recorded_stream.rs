//! A seeded cluster sends the same datagrams, byte for byte, as were recorded from the version in
//! production.

use gossip::{Action, ClusterKey, Event, Gossip, Settings, State};
use stable_hash::mix;

const NODES: usize = 9;
const STEP_MS: f64 = 10.0;
const STEPS: u32 = 9_000;
const PAUSED_NODE: usize = 3;
const KILLED_NODE: usize = 5;
const LEAVING_NODE: usize = 6;
const LEAVE_MS: f64 = 50_000.0;
const PAYLOAD_MS: f64 = 55_000.0;

struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A hash of every datagram with its sender and receiver, and of every wake-up time.
struct StreamHash(u64);

impl StreamHash {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = mix(self.0 ^ u64::from(*byte));
        }
        self.0 = mix(self.0 ^ bytes.len() as u64);
    }
}

fn is_running(node: usize, now_ms: f64) -> bool {
    match node {
        PAUSED_NODE => !(20_000.0..30_000.0).contains(&now_ms),
        KILLED_NODE => now_ms < 40_000.0,
        _ => true,
    }
}

/// Whether a datagram is lost: one in ten is, and all between node 0 and the other nodes during a
/// partition.
fn is_lost(datagram: &Datagram, now_ms: f64, sent: u64) -> bool {
    let is_partitioned =
        (60_000.0..66_000.0).contains(&now_ms) && (datagram.from == 0 || datagram.to == 0);
    is_partitioned || mix(sent) % 10 == 0
}

/// A cluster whose datagrams arrive one step after they were sent.
struct RecordedCluster {
    nodes: Vec<Gossip>,
    now_ms: f64,
    in_transit: Vec<Datagram>,
    sent: u64,
    payloads: usize,
    hash: StreamHash,
}

impl RecordedCluster {
    fn new() -> Self {
        let key = ClusterKey::new("holds", b"0123456789abcdef");
        let start = |node| {
            let settings = Settings::new(&format!("n{node}"), 100 + node as u64, 7, key.clone());
            Gossip::new(0.0, settings)
        };
        Self {
            nodes: (0..NODES).map(start).collect(),
            now_ms: 0.0,
            in_transit: Vec::new(),
            sent: 0,
            payloads: 0,
            hash: StreamHash(0),
        }
    }

    fn run_step(&mut self, step: u32) {
        self.now_ms = f64::from(step) * STEP_MS;
        let now_ms = self.now_ms;
        let mut emitted = Vec::new();
        self.deliver(&mut emitted);
        for node in (0..NODES).filter(|node| is_running(*node, now_ms)) {
            for event in scheduled_events(node, now_ms) {
                self.handle(node, event, &mut emitted);
            }
        }
        for (node, action) in emitted {
            self.execute(node, action);
        }
    }

    fn deliver(&mut self, emitted: &mut Vec<(usize, Action)>) {
        for datagram in std::mem::take(&mut self.in_transit) {
            let is_received =
                is_running(datagram.to, self.now_ms) && !is_lost(&datagram, self.now_ms, self.sent);
            self.sent += 1;
            if is_received {
                let event = Event::Datagram {
                    from: datagram.from,
                    bytes: &datagram.bytes,
                };
                self.handle(datagram.to, event, emitted);
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event<'_>, emitted: &mut Vec<(usize, Action)>) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now_ms, event, &mut actions);
        emitted.extend(actions.into_iter().map(|action| (node, action)));
    }

    fn execute(&mut self, from: usize, action: Action) {
        match action {
            Action::Send { to, bytes } => {
                self.hash.add(&[from as u8, to as u8]);
                self.hash.add(&bytes);
                self.in_transit.push(Datagram { from, to, bytes });
            }
            Action::WakeAt(at_ms) => self.hash.add(&at_ms.to_bits().to_le_bytes()),
            Action::Payload { .. } => self.payloads += 1,
            _ => {}
        }
    }
}

fn scheduled_events(node: usize, now_ms: f64) -> Vec<Event<'static>> {
    let mut events = Vec::new();
    if now_ms == 0.0 {
        events.push(Event::SetPeers((0..NODES).collect()));
    }
    if now_ms == LEAVE_MS && node == LEAVING_NODE {
        events.push(Event::Leave);
    }
    if now_ms == PAYLOAD_MS && node == 1 {
        events.push(Event::SendPayload {
            to: gossip::MemberId::of("n2"),
            bytes: b"opaque",
        });
    }
    events.push(Event::Timer);
    events
}

#[test]
fn seeded_cluster_sends_recorded_datagrams() {
    let mut cluster = RecordedCluster::new();
    for step in 0..STEPS {
        cluster.run_step(step);
    }
    let nodes = &cluster.nodes;
    let states: Vec<State> = nodes[1].members().map(|member| member.state).collect();
    let count = |state| states.iter().filter(|recorded| **recorded == state).count();
    assert_eq!(
        [State::Alive, State::Dead, State::Left].map(count),
        [7, 1, 1]
    );
    let verdicts: u64 = nodes.iter().map(|node| node.metrics().verdicts).sum();
    let refutations: u64 = nodes.iter().map(|node| node.metrics().refutations).sum();
    assert_eq!((verdicts, refutations), (15, 2));
    assert_eq!((cluster.sent, cluster.payloads), (16_582, 1));
    let hash = cluster.hash.0;
    assert_eq!(
        hash, 0xfa6a_09bd_432c_6467,
        "hash of the datagrams: {hash:#018x}"
    );
}
