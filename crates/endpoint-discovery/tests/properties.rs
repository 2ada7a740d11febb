//! What holds for every sequence of words.

mod common;
use common::*;

use endpoint_discovery::*;
use proptest::prelude::*;

const SERVERS: usize = 5;

fn state() -> impl Strategy<Value = State> {
    prop_oneof![3 => Just(State::Ready), 1 => Just(State::Draining), 1 => Just(State::Gone)]
}

/// A source's words of some servers, each with a version of its own.
fn said(source: SourceId) -> impl Strategy<Value = Vec<(SourceId, Word)>> {
    proptest::collection::vec((0..SERVERS, state()), 0..20).prop_map(move |all| {
        let word = |(index, (id, state)): (usize, (usize, State))| {
            (source, word(&format!("s-{id}"), state, index as u64 + 1))
        };
        all.into_iter().enumerate().map(word).collect()
    })
}

/// Anything that a source may do.
#[derive(Clone, Debug)]
enum Deed {
    Say(Authority, u64, Vec<(usize, State)>),
    Leave(Vec<usize>),
    Lose,
    Pass(f64),
}

fn deed() -> impl Strategy<Value = Deed> {
    let some = proptest::collection::vec((0..SERVERS, state()), 1..8);
    let authority = prop_oneof![4 => Just(Authority::Fresh), 1 => Just(Authority::Stale)];
    prop_oneof![
        4 => (authority, 0..3u64, some).prop_map(|(authority, history, some)| Deed::Say(authority, history, some)),
        2 => proptest::collection::vec(0..SERVERS, 1..SERVERS).prop_map(Deed::Leave),
        1 => Just(Deed::Lose),
        3 => (0.0..100_000.0).prop_map(Deed::Pass),
    ]
}

fn do_it(play: &mut Play, source: SourceId, index: u64, deed: Deed) {
    match deed {
        Deed::Say(authority, history, some) => {
            let words = some
                .into_iter()
                .map(|(id, state)| word(&format!("s-{id}"), state, index))
                .collect();
            play.list(source, authority, history, words);
        }
        Deed::Leave(ids) => {
            drop(play.leave(source, index, ids.into_iter().map(|id| format!("s-{id}"))));
        }
        Deed::Lose => drop(play.feed(Event::Lost { source })),
        Deed::Pass(ms) => play.pass(ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any order and any duplication of the same words ends in the same view.
    #[test]
    fn order_and_duplication_make_no_difference(
        words in (said(ROSTER), said(CONSUL)).prop_map(|(a, b)| [a, b].concat()),
        seed: u64,
        names: bool,
    ) {
        let play = |words: &[(SourceId, Word)]| {
            let mut play = Play::new(Trust { names, ..Trust::advisor("consul") });
            for (source, word) in words {
                play.say(*source, vec![word.clone()]);
                play.pass(10.0);
            }
            play.pass(600_000.0);
            play.driver
        };
        let mut random = fastrand::Rng::with_seed(seed);
        let mut mixed: Vec<_> = words.iter().flat_map(|word| vec![word.clone(); random.usize(1..3)]).collect();
        random.shuffle(&mut mixed);
        prop_assert_eq!(play(&words), play(&mixed));
    }

    /// No sequence of one source's words, drains apart, empties the view against another that is in touch.
    #[test]
    fn no_source_empties_the_view(
        deeds in proptest::collection::vec(deed(), 1..40),
        by in prop_oneof![Just(ROSTER), Just(CONSUL)],
    ) {
        let mut play = Play::new(Trust::advisor("consul"));
        // The other source names them all to the end; the one that misbehaves has named them once.
        play.say(ROSTER, words(0..SERVERS, State::Ready, 1));
        play.say(CONSUL, words(0..SERVERS, State::Ready, 1));
        for (index, deed) in deeds.into_iter().enumerate() {
            let deed = match deed {
                Deed::Say(authority, history, some) => {
                    let some = some.into_iter().map(|(id, state)| match state {
                        State::Draining => (id, State::Gone),
                        state => (id, state),
                    });
                    Deed::Say(authority, history, some.collect())
                }
                deed => deed,
            };
            do_it(&mut play, by, index as u64 + 2, deed);
            prop_assert!(play.ready() > 0, "nothing is left");
        }
    }

    /// A drain ends only by a newer word of the source that said it.
    #[test]
    fn no_other_source_undoes_a_drain(
        deeds in proptest::collection::vec((prop_oneof![Just(ROSTER), Just(CONSUL)], deed()), 1..40),
        by in prop_oneof![Just(ROSTER), Just(CONSUL)],
    ) {
        let mut play = Play::new(Trust { names: true, ..Trust::advisor("consul") });
        play.say(ROSTER, words(0..SERVERS, State::Ready, 1));
        play.say(CONSUL, words(0..SERVERS, State::Ready, 1));
        play.say(by, vec![word("s-0", State::Draining, 1_000)]);
        for (index, (source, deed)) in deeds.into_iter().enumerate() {
            // Of the source that drained it only what is older or of other servers.
            let deed = match deed {
                Deed::Say(authority, _, some) if source == by => Deed::Say(authority, 0, some),
                deed => deed,
            };
            do_it(&mut play, source, index as u64 + 2, deed);
            prop_assert!(play.state("s-0") != State::Ready);
        }
    }

    /// The view as told change by change is the view as a whole, and no change is told that changes nothing.
    #[test]
    fn what_is_told_adds_up_to_the_view(
        deeds in proptest::collection::vec((prop_oneof![Just(ROSTER), Just(CONSUL)], deed()), 1..40),
        names: bool,
    ) {
        let mut play = Play::new(Trust { names, ..Trust::advisor("consul") });
        for (index, (source, deed)) in deeds.into_iter().enumerate() {
            do_it(&mut play, source, index as u64 + 1, deed);
            let mut hosts: Vec<_> = play.membership.hosts().cloned().collect();
            hosts.sort_by(|a, b| a.id.cmp(&b.id));
            prop_assert_eq!(&hosts, &play.driver.values().cloned().collect::<Vec<_>>());
        }
    }
}
