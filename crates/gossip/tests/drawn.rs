//! Troubles drawn from seeds, and mistakes that are made on purpose: the judge finds them.

use gossip::Planted;
use testkit::nodes::judge::{bounds, trial};
use testkit::nodes::Fleet;

/// As many as run within a minute here; `measure -- members` plays more.
const SEEDS: u64 = 300;

#[test]
fn drawn_troubles_end_nobody_that_is_well_and_all_agree_after_them() {
    let mut gone = 0;
    for seed in 0..SEEDS {
        match trial(seed, bounds(seed, 16), Planted::None) {
            Ok(trial) => gone += trial.gone,
            Err(error) => panic!("{error}"),
        }
    }
    assert!(gone > 1_000, "the troubles are some: {gone}");
}

fn is_found(planted: Planted) {
    let found = (0..SEEDS).find(|seed| trial(*seed, bounds(*seed, 16), planted).is_err());
    assert!(found.is_some(), "{planted:?}");
}

#[test]
fn a_refutation_that_is_ignored_is_found() {
    is_found(Planted::RefutationIgnored);
}

#[test]
fn an_incarnation_that_wins_by_being_the_same_is_found() {
    is_found(Planted::SameIncarnationWins);
}

/// Six of nine stand still for ten seconds, hear nothing of what is sent meanwhile and wake at the same moment, as the nodes
/// of one machine do that was suspended, on links that lose most: who of the three others is gone to somebody then.
fn gone_when_most_wake(seed: u64, planted: Planted) -> usize {
    let mut fleet = Fleet::new(seed, 9);
    fleet.planted = planted;
    fleet.start_all(1_000.0);
    fleet.run(10_000.0);
    let before = fleet.world.now_ms();
    (0..6).for_each(|node| fleet.world.pause(node, 10_000.0));
    fleet.split(|node| if node < 6 { node } else { 6 });
    fleet.run(9_990.0);
    fleet.all_links(simulation::Link {
        loss: 0.6,
        ..simulation::Link::default()
    });
    fleet.run(30_000.0);
    let gone = fleet.gone_since(before).into_iter();
    gone.filter(|(_, _, name)| ["n6", "n7", "n8"].contains(&name.as_str()))
        .count()
}

#[test]
fn a_pause_that_is_taken_at_face_value_is_found() {
    let all = |planted| {
        (0..20)
            .map(|seed| gone_when_most_wake(seed, planted))
            .sum::<usize>()
    };
    assert_eq!(all(Planted::None), 0);
    assert!(all(Planted::PauseAtFaceValue) > 0);
}

#[test]
fn a_deaf_node_that_is_believed_is_found() {
    is_found(Planted::DeafBelieved);
}

/// Guards what every failure rests on: that it can be played again.
#[test]
fn the_same_seed_says_the_same() {
    let said = |seed| {
        let bounds = bounds(seed, 16);
        let mut fleet = Fleet::started(seed, bounds.nodes);
        fleet.play(&simulation::draw(seed, bounds));
        format!("{:?}{:?}", fleet.said(), fleet.world.totals())
    };
    assert_eq!(said(5), said(5));
}
