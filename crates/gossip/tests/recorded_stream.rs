//! A seeded cluster sends, byte for byte, the datagrams that were recorded from the version that nodes in service run.

use gossip::{Action, ClusterKey, Event, Gossip, Settings, State};
use stable_hash::mix;

const NODES: usize = 9;
const STEP_MS: f64 = 10.0;
const STEPS: u32 = 9_000;
const PAUSED: usize = 3;
const KILLED: usize = 5;
const LEAVING: usize = 6;

struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Folds every datagram, its receiver and each wake-up time into one number.
struct StreamHash(u64);

impl StreamHash {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = mix(self.0 ^ u64::from(*byte));
        }
        self.0 = mix(self.0 ^ bytes.len() as u64);
    }
}

fn is_running(node: usize, now: f64) -> bool {
    match node {
        PAUSED => !(20_000.0..30_000.0).contains(&now),
        KILLED => now < 40_000.0,
        _ => true,
    }
}

/// One datagram in ten is lost, and node 0 is cut off from all others for a while.
fn is_lost(datagram: &Datagram, now: f64, sent: u64) -> bool {
    let is_partitioned =
        (60_000.0..66_000.0).contains(&now) && (datagram.from == 0 || datagram.to == 0);
    is_partitioned || mix(sent) % 10 == 0
}

#[test]
fn seeded_cluster_sends_recorded_datagrams() {
    let key = ClusterKey::new("holds", b"0123456789abcdef");
    let mut nodes: Vec<Gossip> = (0..NODES)
        .map(|node| {
            let settings = Settings::new(&format!("n{node}"), 100 + node as u64, 7, key.clone());
            Gossip::new(0.0, settings)
        })
        .collect();
    let (mut hash, mut sent, mut payloads) = (StreamHash(0), 0_u64, 0);
    let mut in_transit: Vec<Datagram> = Vec::new();
    let mut actions = Vec::new();
    for step in 0..STEPS {
        let now = f64::from(step) * STEP_MS;
        let arrived = std::mem::take(&mut in_transit);
        let mut emitted: Vec<(usize, Action)> = Vec::new();
        for datagram in arrived {
            let is_received = is_running(datagram.to, now) && !is_lost(&datagram, now, sent);
            sent += 1;
            if is_received {
                let event = Event::Datagram {
                    from: datagram.from,
                    bytes: &datagram.bytes,
                };
                nodes[datagram.to].handle(now, event, &mut actions);
                emitted.extend(actions.drain(..).map(|action| (datagram.to, action)));
            }
        }
        for (node, gossip) in nodes.iter_mut().enumerate() {
            if !is_running(node, now) {
                continue;
            }
            if step == 0 {
                gossip.handle(now, Event::SetPeers((0..NODES).collect()), &mut actions);
            }
            if now == 50_000.0 && node == LEAVING {
                gossip.handle(now, Event::Leave, &mut actions);
            }
            if now == 55_000.0 && node == 1 {
                let to = gossip::MemberId::of("n2");
                let bytes = b"opaque".as_slice();
                gossip.handle(now, Event::SendPayload { to, bytes }, &mut actions);
            }
            gossip.handle(now, Event::Timer, &mut actions);
            emitted.extend(actions.drain(..).map(|action| (node, action)));
        }
        for (from, action) in emitted {
            match action {
                Action::Send { to, bytes } => {
                    hash.add(&[from as u8, to as u8]);
                    hash.add(&bytes);
                    in_transit.push(Datagram { from, to, bytes });
                }
                Action::WakeAt(at) => hash.add(&at.to_bits().to_le_bytes()),
                Action::Payload { .. } => payloads += 1,
                _ => {}
            }
        }
    }
    let states: Vec<State> = nodes[1].members().map(|member| member.state).collect();
    let count = |state| states.iter().filter(|held| **held == state).count();
    assert_eq!(
        [State::Alive, State::Dead, State::Left].map(count),
        [7, 1, 1]
    );
    let returned: u64 = nodes.iter().map(|node| node.metrics().refutations).sum();
    let verdicts: u64 = nodes.iter().map(|node| node.metrics().verdicts).sum();
    assert_eq!((verdicts, returned), (15, 2));
    assert_eq!((sent, payloads), (16_582, 1));
    assert_eq!(hash.0, 0xfa6a_09bd_432c_6467, "{:#018x}", hash.0);
}
