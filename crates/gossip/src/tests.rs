//! One node among scripted peers: what it does at its bounds, and with what nobody sound would send.

use crate::core::Gossip;
use crate::kinds::{Action, Event, Note, Settings, State};
use crate::wire::{Head, MemberId, Record, Refused, Seal, Writer};
use crate::MOST_MEMBERS;

const OWN: u64 = 77;
const HOUR: f64 = 3_600_000.0;

struct Node {
    gossip: Gossip,
    now: f64,
    numbers: Vec<u32>,
    notes: Vec<Note>,
}

impl Node {
    /// A node with so many peers, whose processes are 1000 and up.
    fn new(peers: usize) -> Self {
        let mut node = Self {
            gossip: Gossip::new(0.0, Settings::new("me", OWN, 5, seal())),
            now: 0.0,
            numbers: vec![0; peers],
            notes: Vec::new(),
        };
        node.handle(Event::Peers((0..peers).collect()));
        node
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.gossip.handle(self.now, event, &mut actions);
        self.notes
            .extend(actions.into_iter().filter_map(|action| match action {
                Action::Note(note) => Some(note),
                _ => None,
            }));
    }

    fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 250.0;
            self.handle(Event::Due);
        }
    }

    /// A datagram of a peer's, with its next number.
    fn hear(&mut self, peer: usize, records: &[Record]) {
        self.numbers[peer] += 1;
        self.hear_numbered(peer, self.numbers[peer], records);
    }

    fn hear_numbered(&mut self, peer: usize, number: u32, records: &[Record]) {
        let mut writer = Writer::new(
            &seal(),
            Head {
                from: 1_000 + peer as u64,
                to: OWN,
                number,
            },
        );
        records
            .iter()
            .for_each(|record| assert!(writer.push(record), "it fits"));
        let bytes = writer.seal(&seal());
        self.handle(Event::Datagram {
            from: peer,
            bytes: &bytes,
        });
    }

    fn meet(&mut self, peer: usize) {
        self.hear(peer, &[hello(peer, 9)]);
    }

    fn state(&self, name: &str) -> Option<State> {
        self.gossip
            .members()
            .find(|member| member.name == name)
            .map(|member| member.state)
    }

    fn refused(&self, why: Refused) -> u64 {
        let at = Refused::ALL
            .iter()
            .position(|one| *one == why)
            .expect("one of them");
        self.gossip.figures().refused[at]
    }
}

fn seal() -> Seal {
    Seal::new("holds", b"0123456789abcdef")
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
        process: 3,
        name: name.into(),
    }
}

/// Guards against a node that grows with whatever names it is told, and against one that turns everybody away for ever.
#[test]
fn no_more_nodes_are_held_than_the_bound_and_gone_ones_make_room() {
    let mut node = Node::new(2);
    node.meet(0);
    for n in 0..MOST_MEMBERS + 500 {
        node.hear(0, &[alive(&format!("n{n}"), 1)]);
    }
    assert_eq!(node.gossip.members().count(), MOST_MEMBERS);
    assert_eq!(
        node.refused(Refused::Full),
        502,
        "with this node and the peer"
    );
    assert_eq!(
        node.notes
            .iter()
            .filter(|note| **note == Note::Full)
            .count(),
        1,
        "it says so once"
    );
    node.meet(1);
    assert_eq!(node.state("p1"), None, "a newcomer is turned away");
    node.hear(0, &[Record::Left(MemberId::of("n3"), 1)]);
    node.hear(1, &[hello(1, 9)]);
    assert_eq!(
        (node.state("p1"), node.state("n3")),
        (Some(State::Alive), None),
        "one that left makes room"
    );
    assert_eq!(node.gossip.members().count(), MOST_MEMBERS);
}

/// Guards against a node that is lost for good to whoever has forgotten it but not its address.
#[test]
fn one_that_was_forgotten_is_met_anew_and_nothing_old_of_it_is_taken() {
    let mut node = Node::new(2);
    node.meet(0);
    node.meet(1);
    node.hear(0, &[Record::Left(MemberId::of("p1"), 9)]);
    assert_eq!(node.state("p1"), Some(State::Left));
    node.hear(
        1,
        &[Record::Ping {
            answer: true,
            observer: false,
        }],
    );
    assert_eq!(
        node.state("p1"),
        Some(State::Left),
        "in the same incarnation it does not come back"
    );
    node.run(HOUR + 120_000.0);
    assert_eq!(node.state("p1"), None, "it is forgotten");
    node.hear_numbered(1, 1, &[hello(1, 9)]);
    assert_eq!(
        node.refused(Refused::Replayed),
        1,
        "what was said before is not taken again"
    );
    assert_eq!(node.state("p1"), None);
    node.hear(1, &[hello(1, 10)]);
    assert_eq!(node.state("p1"), Some(State::Alive));
}

/// Guards against a number that cannot be counted on from: the node would panic, or begin again at nothing.
#[test]
fn the_highest_incarnations_do_no_harm() {
    let mut node = Node::new(2);
    node.meet(0);
    for incarnation in [u64::MAX, u64::MAX - 1, (1 << 62) + 1] {
        node.hear(0, &[alive("me", incarnation), alive("other", incarnation)]);
        node.hear(0, &[Record::Gone(MemberId::of("me"), incarnation, 0)]);
        node.hear(0, &[Record::Left(MemberId::of("p0"), incarnation)]);
    }
    assert_eq!(
        (node.state("other"), node.state("p0")),
        (None, Some(State::Alive)),
        "they are not read"
    );
    let own = |node: &Node| {
        node.gossip
            .members()
            .find(|member| member.is_self)
            .map(|own| own.incarnation)
    };
    assert_eq!(own(&node), Some(5));
    for _ in 0..20 {
        node.hear(0, &[alive("me", 1 << 62)]);
        node.hear(0, &[Record::Gone(MemberId::of("me"), 1 << 62, 0)]);
        node.run(1_000.0);
    }
    assert!(own(&node).is_some_and(|at| at > 5));
}

/// Guards against a doubt that nobody is left to be asked about, as all were asked and none answered in time.
#[test]
fn who_did_not_answer_once_is_asked_again() {
    let mut node = Node::new(4);
    for peer in 0..4 {
        node.meet(peer);
    }
    node.run(1_000.0);
    // The last falls silent; the others are heard, and answer no question for a long time.
    let gone = MemberId::of("p3");
    for _ in 0..80 {
        (0..3).for_each(|peer| {
            node.hear(
                peer,
                &[Record::Ping {
                    answer: false,
                    observer: true,
                }],
            );
        });
        node.run(250.0);
    }
    assert_eq!(node.state("p3"), Some(State::Suspect), "nobody agrees");
    for _ in 0..20 {
        (0..3).for_each(|peer| node.hear(peer, &[Record::Vote(gone, 9, false)]));
        node.run(250.0);
    }
    assert_eq!(node.state("p3"), Some(State::Gone));
}
