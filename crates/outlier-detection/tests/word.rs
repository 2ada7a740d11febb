//! Word among many nodes in virtual time: who is spared, who is not believed, and how one that is well comes back.

use fastrand::Rng;
use outlier_detection::{Action, Event, Kind, NodeKey, ServerKey, Settings, Word};

const SERVERS: u64 = 20;

fn key(server: u64) -> ServerKey {
    ServerKey(server * 7 + 1)
}

/// Nodes that hear each other in the same turn, each trying servers at random as their hints let it.
struct World {
    nodes: Vec<Word>,
    rng: Rng,
    now: f64,
    /// By node and server: its weight.
    weights: Vec<Vec<f64>>,
    /// Attempts at each server.
    tried: Vec<u64>,
    /// Turns of one node: it says nothing of its own, but this.
    lie: Option<(usize, Vec<u64>)>,
}

impl World {
    fn new(nodes: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let keys: Vec<_> = (0..SERVERS).map(key).collect();
        let node = |_| {
            let mut word = Word::new(0.0, Settings::default(), rng.f64()).expect("sound");
            word.handle(0.0, Event::Servers(&keys), &mut Vec::new());
            word.handle(0.0, Event::Nodes(nodes), &mut Vec::new());
            word
        };
        let all = (0..nodes).map(node).collect();
        let weights = vec![vec![1.0; SERVERS as usize]; nodes];
        Self {
            nodes: all,
            rng,
            now: 0.0,
            weights,
            tried: vec![0; SERVERS as usize],
            lie: None,
        }
    }

    /// Each node makes so many attempts a second; `fails` tells how one ends.
    fn run(&mut self, ms: f64, each: f64, mut fails: impl FnMut(usize, u64) -> Option<Kind>) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 100.0;
            let mut said = Vec::new();
            for node in 0..self.nodes.len() {
                let mut actions = Vec::new();
                if self.rng.f64() < each / 10.0 {
                    let server = self.choose(node);
                    self.tried[server as usize] += 1;
                    self.nodes[node].handle(
                        self.now,
                        Event::Ended(key(server), fails(node, server)),
                        &mut actions,
                    );
                }
                if let Some((liar, of)) = self.lie.as_ref().filter(|(liar, _)| *liar == node) {
                    for server in of {
                        let event = Event::Ended(key(*server), Some(Kind::Error));
                        self.nodes[*liar].handle(self.now, event, &mut actions);
                    }
                }
                self.nodes[node].handle(self.now, Event::Due, &mut actions);
                self.carry_out(node, actions, &mut said);
            }
            for (from, bytes) in said {
                for node in (0..self.nodes.len()).filter(|node| *node != from) {
                    let mut actions = Vec::new();
                    let event = Event::Said(NodeKey(from as u64), &bytes);
                    self.nodes[node].handle(self.now, event, &mut actions);
                    self.carry_out(node, actions, &mut Vec::new());
                }
            }
        }
    }

    fn choose(&mut self, node: usize) -> u64 {
        loop {
            let server = self.rng.u64(..SERVERS);
            if self.rng.f64() < self.weights[node][server as usize] {
                return server;
            }
        }
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>, said: &mut Vec<(usize, Vec<u8>)>) {
        for action in actions {
            match action {
                Action::Tell(bytes) => {
                    assert!(bytes.len() <= outlier_detection::MOST_REPORT);
                    said.push((node, bytes));
                }
                Action::Hint(server, weight) => {
                    self.weights[node][(server.0 / 7) as usize] = weight;
                }
                Action::WakeAt(_) => {}
            }
        }
    }

    /// How many nodes spare a server.
    fn spare(&self, server: u64) -> usize {
        self.weights
            .iter()
            .filter(|weights| weights[server as usize] < 0.1)
            .count()
    }

    fn nobody_spares_any(&self) -> bool {
        (0..SERVERS).all(|server| self.spare(server) == 0)
    }
}

#[test]
fn a_bad_server_is_spared_by_all_within_seconds_and_comes_back_bit_by_bit() {
    for (nodes, each) in [(5, 10.0), (30, 2.0), (300, 0.3)] {
        let mut world = World::new(nodes, 1);
        world.run(10_000.0, each, |_, _| None);
        assert!(world.nobody_spares_any());
        // Three that try it are enough, and what went well before does not hold against them.
        let soon = 2_000.0 + 3_000.0 * SERVERS as f64 / (nodes as f64 * each);
        world.run(soon, each, |_, server| (server == 3).then_some(Kind::Error));
        assert!(
            world.spare(3) * 10 >= nodes * 9,
            "{nodes} nodes: {} spare it",
            world.spare(3)
        );
        let before = world.tried[3];
        world.run(20_000.0, each, |_, server| {
            (server == 3).then_some(Kind::Error)
        });
        let (tried, fair) = (
            world.tried[3] - before,
            nodes as f64 * each * 20.0 / SERVERS as f64,
        );
        assert!(
            (tried as f64) < fair / 5.0,
            "{nodes} nodes: {tried} attempts of {fair:.0}"
        );
        // It is well again: no second sees a multiple of its fair share, nor all nodes come back at once.
        let mut whole = mean_weight(&world);
        for _ in 0..90 {
            let before = world.tried[3];
            world.run(1_000.0, each, |_, _| None);
            let tried = (world.tried[3] - before) as f64;
            let fair = nodes as f64 * each / SERVERS as f64;
            assert!(
                tried <= 3.0 * fair + 6.0,
                "{nodes} nodes: {tried} at once, fair is {fair}"
            );
            let now = mean_weight(&world);
            assert!(
                now <= 2.0 * whole + 0.02,
                "{nodes} nodes: from {whole} to {now} in a second"
            );
            whole = now;
        }
        assert!(
            whole > 0.95,
            "{nodes} nodes: {whole} of its share after a minute and a half"
        );
    }
}

/// The part of its share that the bad server has on average.
fn mean_weight(world: &World) -> f64 {
    world.weights.iter().map(|weights| weights[3]).sum::<f64>() / world.weights.len() as f64
}

/// A report as it goes over the wire: servers, with failures and successes in quarters.
fn report(tried: u16, of: &[(u64, u8, u8)]) -> Vec<u8> {
    let mut bytes = vec![0x80];
    bytes.extend(tried.to_le_bytes());
    for (server, failed, ok) in of {
        bytes.extend(key(*server).0.to_le_bytes());
        bytes.extend([*failed, *ok, Kind::Error as u8, 0]);
    }
    bytes
}

/// A node of twelve that hears reports of others, each under a name of its own.
fn hears(reports: &[Vec<u8>]) -> Word {
    let keys: Vec<_> = (0..SERVERS).map(key).collect();
    let mut word = Word::new(0.0, Settings::default(), 0.5).expect("sound");
    word.handle(0.0, Event::Servers(&keys), &mut Vec::new());
    word.handle(0.0, Event::Nodes(12), &mut Vec::new());
    for (by, bytes) in reports.iter().enumerate() {
        word.handle(1.0, Event::Said(NodeKey(by as u64), bytes), &mut Vec::new());
    }
    word.handle(1_001.0, Event::Due, &mut Vec::new());
    word
}

fn spared(word: &Word) -> usize {
    word.hints().filter(|hint| hint.weight < 1.0).count()
}

/// Three that shout are three: their word weighs no more than a few attempts each.
#[test]
fn who_shouts_is_heard_like_others() {
    let well = report(20, &[(3, 0, 8)]);
    let bad = report(20, &[(3, 8, 0)]);
    let shouted = report(20, &[(3, 255, 0)]);
    assert_eq!(spared(&hears(&[bad.clone(), bad.clone(), bad])), 1);
    let others = vec![well; 7];
    let word = hears(&[&others[..], &vec![shouted; 3]].concat());
    assert_eq!(
        (spared(&word), word.hints().map(|hint| hint.reporters).max()),
        (0, Some(3))
    );
}

/// What went well before anybody complained says nothing against it; what goes well since does.
#[test]
fn successes_of_before_the_complaint_do_not_count() {
    let bad = report(20, &[(3, 8, 0)]);
    let well = |tenths: u8| {
        let mut bytes = report(20, &[(3, 0, 8)]);
        *bytes.last_mut().expect("an age") = tenths;
        bytes
    };
    for (tenths, expected) in [(200, 1), (0, 0)] {
        let word = hears(&[vec![well(tenths); 7], vec![bad.clone(); 3]].concat());
        assert_eq!(spared(&word), expected, "{tenths} tenths of a second ago");
    }
}

/// Who complains of two of the five servers that it tried is likely cut off itself, and says nothing worth hearing.
#[test]
fn complaints_of_too_many_are_passed_over() {
    let two = report(5, &[(3, 8, 0), (4, 8, 0), (5, 0, 8)]);
    let word = hears(&vec![two; 4]);
    assert_eq!(
        (spared(&word), word.figures().void, word.figures().heard),
        (0, 4, 0)
    );
}

/// What three nodes say of server 3, turn by turn, and what a fourth makes of it.
struct Listener {
    word: Word,
    now: f64,
}

impl Listener {
    fn new() -> Self {
        Self {
            word: hears(&[]),
            now: 1_001.0,
        }
    }

    /// A turn in which they say this, or nothing; and the weight that comes of it.
    fn turn(&mut self, said: Option<(u8, u8)>) -> f64 {
        self.now += 1_000.0;
        if let Some((failed, ok)) = said {
            let bytes = report(20, &[(3, failed, ok)]);
            for by in 0..3 {
                self.word
                    .handle(self.now, Event::Said(NodeKey(by), &bytes), &mut Vec::new());
            }
        }
        self.word.handle(self.now, Event::Due, &mut Vec::new());
        self.word.hints().next().map_or(1.0, |hint| hint.weight)
    }

    /// It fails, and is well from then on: how many turns it has hardly anything, and until it has all.
    fn falls(&mut self) -> (usize, usize) {
        let floor = self.turn(Some((8, 0)));
        assert!(floor <= 0.05);
        let weights: Vec<_> = std::iter::from_fn(|| Some(self.turn(Some((0, 8)))))
            .take(100)
            .collect();
        let first = |is_so: &dyn Fn(f64) -> bool| {
            weights
                .iter()
                .position(|w| is_so(*w))
                .expect("it comes back")
        };
        (
            first(&|weight| weight > floor),
            first(&|weight| weight >= 1.0),
        )
    }
}

#[test]
fn one_that_falls_back_is_spared_for_longer_each_time_and_is_forgiven_in_the_end() {
    let mut listener = Listener::new();
    let turns = [(); 5].map(|()| listener.falls());
    let held = turns.map(|(held, _)| held);
    assert!(
        held.windows(2).all(|pair| pair[1] >= 2 * pair[0] - 1),
        "{held:?}"
    );
    assert!(held[0] <= 2 && held[4] >= 24, "{held:?}");
    assert!(
        turns.iter().all(|(held, whole)| whole - held >= 5),
        "bit by bit: {turns:?}"
    );
    (0..130).for_each(|_| _ = listener.turn(Some((0, 8))));
    assert!(listener.falls().0 <= 2, "forgiven");
}

/// What nobody tries shows nothing; so it comes back, as somebody has to try it, but slowly.
#[test]
fn one_of_which_nobody_speaks_comes_back_slowly() {
    let mut listener = Listener::new();
    let floor = listener.turn(Some((8, 0)));
    let weights: Vec<_> = (0..100).map(|_| listener.turn(None)).collect();
    assert!(
        weights[..8].iter().all(|weight| *weight == floor),
        "{weights:?}"
    );
    let grown = weights.windows(2).filter(|pair| pair[1] > pair[0]).count();
    assert!(
        (5..=10).contains(&grown) && weights[99] > floor,
        "{weights:?}"
    );
    // While as many fail as end well it has shown nothing either.
    let mut listener = Listener::new();
    listener.turn(Some((8, 0)));
    let weights: Vec<_> = (0..40).map(|_| listener.turn(Some((3, 3)))).collect();
    assert!(weights.iter().all(|weight| *weight <= floor), "{weights:?}");
}

/// Whoever takes a server out after its first failure has one failure and all that went well before.
#[test]
fn one_failure_after_many_successes_is_a_complaint() {
    let keys: Vec<_> = (0..SERVERS).map(key).collect();
    let told = |_| {
        let mut word = Word::new(0.0, Settings::default(), 0.5).expect("sound");
        word.handle(0.0, Event::Servers(&keys), &mut Vec::new());
        (0..50).for_each(|_| word.handle(1.0, Event::Ended(key(3), None), &mut Vec::new()));
        let mut actions = Vec::new();
        word.handle(2.0, Event::Ended(key(3), Some(Kind::Error)), &mut actions);
        let tell = actions.into_iter().find_map(|action| match action {
            Action::Tell(bytes) => Some(bytes),
            _ => None,
        });
        tell.expect("said at once")
    };
    assert_eq!(spared(&hears(&[0, 1, 2].map(told))), 1);
}

#[test]
fn who_is_cut_off_from_half_of_the_servers_poisons_nobody() {
    for cut in [1, 3] {
        let mut world = World::new(30, 2);
        world.run(40_000.0, 5.0, |node, server| {
            (node < cut && server % 2 == 0).then_some(Kind::Unreachable)
        });
        assert!(world.nobody_spares_any(), "{cut} cut off");
        assert!(
            world.nodes[0].figures().void > 10,
            "it says nothing, as it is likely its own fault"
        );
    }
}

#[test]
fn one_that_lies_is_not_believed() {
    for of in [vec![4], vec![4, 5, 6], (0..SERVERS).collect::<Vec<_>>()] {
        let mut world = World::new(30, 3);
        world.lie = Some((7, of.clone()));
        world.run(40_000.0, 5.0, |_, _| None);
        let spared: usize = (0..SERVERS).map(|server| world.spare(server)).sum();
        assert_eq!(spared, 0, "{of:?}");
    }
}

/// Slow for a third of the nodes: the others' word holds against it.
#[test]
fn what_only_some_see_is_left_to_them() {
    let mut world = World::new(30, 4);
    world.run(40_000.0, 5.0, |node, server| {
        (server == 3 && node % 3 == 0).then_some(Kind::Silent)
    });
    assert!(world.spare(3) < 3, "{} spare it", world.spare(3));
}

#[test]
fn more_bad_servers_than_may_be_are_left_to_each_node() {
    let mut world = World::new(30, 5);
    world.run(40_000.0, 5.0, |_, server| {
        (server < 12).then_some(Kind::Error)
    });
    assert!(world.nobody_spares_any());
}

/// A server that is replaced under its name is another: nothing that was said holds for it.
#[test]
fn word_does_not_outlive_a_server() {
    let mut world = World::new(5, 6);
    world.run(20_000.0, 10.0, |_, server| {
        (server == 3).then_some(Kind::Error)
    });
    assert!(world.spare(3) >= 4);
    let mut keys: Vec<_> = (0..SERVERS).map(key).collect();
    keys[3] = ServerKey(1_000_003);
    let node = &mut world.nodes[0];
    node.handle(world.now, Event::Servers(&keys), &mut Vec::new());
    assert_eq!(node.hints().count(), 0);
    // What others say of the old one names nobody.
    let before = node.figures().unknown;
    world.run(60_000.0, 10.0, |node, server| {
        (node > 0 && server == 3).then_some(Kind::Error)
    });
    assert!(world.nodes[0].figures().unknown > before && world.nodes[0].hints().count() == 0);
}

/// A reporter that is restarted ten times a minute is one reporter, under one name.
#[test]
fn one_reporter_stays_one() {
    let mut world = World::new(12, 7);
    let keys: Vec<_> = (0..SERVERS).map(key).collect();
    for _ in 0..10 {
        world.run(6_000.0, 5.0, |node, server| {
            (node == 0 && server == 3).then_some(Kind::Error)
        });
        let mut word = Word::new(world.now, Settings::default(), 0.5).expect("sound");
        word.handle(world.now, Event::Servers(&keys), &mut Vec::new());
        world.nodes[0] = word;
        assert!(world.nobody_spares_any());
    }
}
