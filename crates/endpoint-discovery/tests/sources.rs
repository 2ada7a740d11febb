//! Sources that lag, lie, forget and vanish, in virtual time.

mod common;
use common::*;

use endpoint_discovery::*;

fn advised(servers: usize) -> Play {
    let mut play = Play::new(Trust::advisor("consul"));
    play.say(ROSTER, words(0..servers, State::Ready, 1));
    play.say(CONSUL, words(0..servers, State::Ready, 10));
    assert_eq!(play.ready(), servers);
    play
}

#[test]
fn a_drain_by_either_source_is_believed_at_once_and_ended_only_by_that_source() {
    for (by, other) in [(ROSTER, CONSUL), (CONSUL, ROSTER)] {
        let mut play = advised(4);
        let changed = play.say(by, vec![word("s-2", State::Draining, 11)]);
        assert_eq!(changed.len(), 1);
        assert_eq!(
            changed[0],
            Host {
                state: State::Draining,
                ..host("s-2")
            }
        );
        play.say(other, vec![word("s-2", State::Ready, 99)]);
        play.pass(3_600_000.0);
        assert_eq!(play.state("s-2"), State::Draining);
        play.say(by, vec![word("s-2", State::Ready, 12)]);
        assert_eq!(play.state("s-2"), State::Ready);
    }
}

#[test]
fn a_drain_outlives_the_source_that_said_it() {
    let mut play = advised(4);
    play.say(CONSUL, vec![word("s-1", State::Draining, 11)]);
    play.feed(Event::Lost { source: CONSUL });
    play.pass(24.0 * 3_600_000.0);
    assert_eq!(play.membership.age(CONSUL), Some(Age::Aged));
    assert_eq!(play.state("s-1"), State::Draining);
    assert_eq!(play.ready(), 3, "and nothing else is lost");
}

/// Guards against a process that is kept out for what was said of the one before it, and against a drain that ends
/// because word of an earlier start comes late.
#[test]
fn a_newer_start_ends_a_drain_and_an_earlier_one_does_not() {
    let mut play = advised(4);
    play.pass(5_000.0);
    let drained_at = play.now;
    play.say(CONSUL, vec![word("s-1", State::Draining, 11)]);
    play.pass(1_000.0);
    for (started_at_ms, state) in [
        (drained_at - 10.0, State::Draining),
        (drained_at + 10.0, State::Ready),
    ] {
        let mut word = word("s-1", State::Ready, 2);
        word.index = 2 + started_at_ms as u64;
        word.host = Some(Host {
            started_at_ms,
            ..host("s-1")
        });
        play.say(ROSTER, vec![word]);
        assert_eq!(
            play.state("s-1"),
            state,
            "started at {started_at_ms}, drained at {drained_at}"
        );
    }
    // The same word again says nothing new; a changed one does.
    play.say(CONSUL, vec![word("s-1", State::Draining, 11)]);
    assert_eq!(play.state("s-1"), State::Ready);
    play.say(CONSUL, vec![word("s-1", State::Draining, 12)]);
    assert_eq!(play.state("s-1"), State::Draining);
}

#[test]
fn one_server_withdrawn_is_believed_and_many_at_once_are_not_before_their_time() {
    let mut play = advised(10);
    play.say(CONSUL, vec![word("s-0", State::Gone, 11)]);
    assert_eq!(play.ready(), 9);
    play.say(CONSUL, words(0..9, State::Gone, 12));
    assert_eq!(play.ready(), 9, "eight more at once are not believed");
    assert!(play
        .notes
        .iter()
        .any(|note| matches!(note, Note::Withdrawal { of: (9, 10), .. })));
    play.pass(29_999.0);
    assert_eq!(play.ready(), 9);
    play.pass(1.0);
    assert_eq!(play.ready(), 1, "said for long enough");
}

/// Guards against a node that starts while Consul's checks all fail for a reason of its own: nothing was known of the
/// servers then, and all the same others name them.
#[test]
fn the_first_answer_takes_no_more_away_than_any_other() {
    for (authority, critical, ready) in [
        (Authority::Fresh, 1, 9),
        (Authority::Fresh, 9, 10),
        (Authority::Stale, 10, 10),
    ] {
        let mut play = Play::new(Trust::advisor("consul"));
        play.say(ROSTER, words(0..10, State::Ready, 1));
        let mut all = words(0..10, State::Ready, 10);
        all[..critical]
            .iter_mut()
            .for_each(|word| word.state = State::Gone);
        play.list(CONSUL, authority, 0, all);
        assert_eq!(play.ready(), ready, "{critical} of 10, {authority:?}");
        play.pass(29_000.0);
        assert_eq!(play.ready(), ready);
        play.pass(1_000.0);
        assert_eq!(
            play.ready(),
            if authority == Authority::Fresh {
                10 - critical
            } else {
                10
            }
        );
    }
}

/// The roster is believed at once where no other source calls the servers ready, and otherwise once it has stood.
#[test]
fn the_roster_is_doubted_only_against_another_source() {
    let mut play = Play::new(Trust::advisor("consul"));
    play.say(ROSTER, words(0..10, State::Ready, 1));
    play.say(CONSUL, words(0..4, State::Ready, 10));
    play.leave(ROSTER, 2, (0..9).map(|id| format!("s-{id}")));
    assert_eq!(
        play.ready(),
        5,
        "four that Consul vouches for, and the one that is left"
    );
    play.pass(30_000.0);
    assert_eq!(play.ready(), 1);
}

#[test]
fn a_source_that_forgets_all_and_remembers_again_changes_nothing() {
    let mut play = advised(10);
    play.leave(CONSUL, 11, (0..10).map(|id| format!("s-{id}")));
    play.pass(20_000.0);
    assert_eq!(play.ready(), 10);
    play.say(CONSUL, words(0..10, State::Ready, 12));
    play.pass(3_600_000.0);
    assert_eq!(play.ready(), 10);
    assert!(play.notes.contains(&Note::WithdrawalOver {
        source: "consul".into()
    }));
}

/// Guards against an empty view: the roster is in touch and names servers, whatever Consul goes on saying.
#[test]
fn no_source_empties_the_view_alone() {
    for (by, index) in [(CONSUL, 11), (ROSTER, 2)] {
        let mut play = advised(6);
        play.leave(by, index, (0..6).map(|id| format!("s-{id}")));
        play.pass(3_600_000.0);
        assert_eq!(play.ready(), 6, "by source {by}");
        assert!(play.notes.contains(&Note::LastStanding { servers: 6 }));
        play.say(by, vec![word("s-3", State::Ready, index + 1)]);
        play.pass(60_000.0);
        assert_eq!(
            (play.ready(), play.state("s-3")),
            (1, State::Ready),
            "one is back: the word counts again"
        );
        assert!(play.notes.contains(&Note::LastStandingOver));
    }
}

#[test]
fn drains_of_all_at_once_are_kept() {
    let mut play = advised(6);
    play.say(CONSUL, words(0..6, State::Draining, 11));
    assert_eq!((play.ready(), play.driver.len()), (0, 6));
}

#[test]
fn what_only_consul_names_gets_nothing_unless_it_may_name() {
    let mut play = Play::new(Trust::advisor("consul"));
    play.say(CONSUL, words(0..2, State::Ready, 10));
    assert!(play.driver.is_empty());
    let mut play = Play::new(Trust {
        names: true,
        ..Trust::advisor("consul")
    });
    play.say(CONSUL, words(0..2, State::Ready, 10));
    assert_eq!(play.ready(), 2);
    play.feed(Event::Lost { source: CONSUL });
    play.pass(24.0 * 3_600_000.0);
    assert_eq!(
        play.ready(),
        2,
        "lost for a day, and what it last named is served by"
    );
}

#[test]
fn what_a_lost_source_removed_comes_back_when_its_word_has_aged() {
    let mut play = advised(4);
    play.say(CONSUL, vec![word("s-0", State::Gone, 11)]);
    play.feed(Event::Lost { source: CONSUL });
    play.pass(59_000.0);
    assert_eq!(play.state("s-0"), State::Gone, "held");
    play.pass(1_000.0);
    assert_eq!(play.state("s-0"), State::Ready, "aged out");
    play.say(CONSUL, vec![]);
    assert_eq!(
        play.state("s-0"),
        State::Gone,
        "in touch again, and it still says so"
    );
}

#[test]
fn a_stale_answer_drains_and_does_nothing_else() {
    let mut play = advised(4);
    play.say(CONSUL, vec![word("s-0", State::Draining, 11)]);
    let stale = vec![
        word("s-0", State::Ready, 12),
        word("s-1", State::Gone, 12),
        word("s-2", State::Draining, 12),
    ];
    play.list(CONSUL, Authority::Stale, 0, stale);
    play.pass(50_000.0);
    let states = [0, 1, 2].map(|id| play.state(&format!("s-{id}")));
    assert_eq!(states, [State::Draining, State::Ready, State::Draining]);
    play.say(CONSUL, vec![]);
    let states = [0, 1, 2].map(|id| play.state(&format!("s-{id}")));
    assert_eq!(
        states,
        [State::Ready, State::Gone, State::Draining],
        "confirmed by a fresh answer"
    );
}

/// Guards against an agent that was restored from a snapshot: its older world undoes no drain until it has stood.
#[test]
fn an_older_world_is_believed_only_once_it_has_stood() {
    let mut play = advised(10);
    play.say(CONSUL, vec![word("s-0", State::Draining, 50)]);
    play.list(CONSUL, Authority::Fresh, 1, words(0..9, State::Ready, 5));
    let left = vec![("s-9".to_owned(), 5)];
    play.feed(Event::Listed {
        source: CONSUL,
        list: List {
            authority: Authority::Fresh,
            history: 1,
            words: vec![],
            left,
        },
    });
    play.pass(29_000.0);
    assert_eq!(
        (play.state("s-0"), play.state("s-9")),
        (State::Draining, State::Ready)
    );
    play.pass(1_000.0);
    assert_eq!(
        (play.state("s-0"), play.state("s-9")),
        (State::Ready, State::Gone)
    );
}

/// Guards against two agents with different worlds that are asked in turn.
#[test]
fn worlds_that_alternate_never_undo_a_drain() {
    let mut play = advised(4);
    for turn in 0..100 {
        let state = [State::Draining, State::Ready][turn % 2];
        play.list(
            CONSUL,
            Authority::Fresh,
            turn as u64 + 1,
            vec![word("s-0", state, 20 - (turn % 2) as u64)],
        );
        play.pass(5_000.0);
        assert_eq!(play.state("s-0"), State::Draining, "turn {turn}");
    }
}

#[test]
fn a_flap_is_damped_and_a_drain_within_it_does_not_wait() {
    let mut play = advised(10);
    let (mut index, mut waits) = (11, Vec::new());
    for _ in 0..6 {
        play.say(CONSUL, vec![word("s-0", State::Gone, index)]);
        assert_eq!(play.state("s-0"), State::Gone, "taken out at once");
        play.say(CONSUL, vec![word("s-0", State::Ready, index + 1)]);
        let back = play.now;
        while play.state("s-0") != State::Ready {
            play.pass(100.0);
            assert!(play.now - back < 61_000.0, "it comes back");
        }
        waits.push(play.now - back);
        index += 2;
    }
    assert_eq!(waits[0], 0.0, "once is no flap");
    assert!(waits[5] > 4.0 * waits[1] && waits[1] > 1_000.0, "{waits:?}");
    play.say(CONSUL, vec![word("s-0", State::Gone, index)]);
    play.say(CONSUL, vec![word("s-0", State::Ready, index + 1)]);
    play.say(CONSUL, vec![word("s-0", State::Draining, index + 2)]);
    assert_eq!(play.state("s-0"), State::Draining);
}

#[test]
fn a_weight_of_zero_takes_nothing_new() {
    let mut play = advised(2);
    let mut idle = word("s-0", State::Ready, 11);
    idle.host = Some(Host {
        weight: 0.0,
        ..host("s-0")
    });
    play.say(CONSUL, vec![idle]);
    assert_eq!(play.state("s-0"), State::Draining);
    play.say(CONSUL, vec![word("s-0", State::Ready, 12)]);
    assert_eq!(play.state("s-0"), State::Ready);
}

#[test]
fn a_server_that_leaves_and_comes_back_under_its_name_is_served_by_again() {
    let mut play = advised(4);
    play.leave(ROSTER, 2, ["s-0".to_owned()]);
    play.leave(CONSUL, 11, ["s-0".to_owned()]);
    assert_eq!(play.state("s-0"), State::Gone);
    play.pass(10_000.0);
    // The roster is first, and tells the new start: what Consul last said was of the process before.
    let mut back = word("s-0", State::Ready, 3);
    back.host = Some(Host {
        started_at_ms: play.now - 100.0,
        ..host("s-0")
    });
    play.say(ROSTER, vec![back]);
    assert_eq!(play.state("s-0"), State::Ready);
    play.say(CONSUL, vec![word("s-0", State::Ready, 12)]);
    assert_eq!(play.state("s-0"), State::Ready);
}

fn by_address() -> Play {
    let mut play = Play::new(Trust {
        match_by: MatchBy::Address,
        ..Trust::advisor("consul")
    });
    play.say(ROSTER, words(0..3, State::Ready, 1));
    play
}

fn at(id: &str, state: State, index: u64) -> Word {
    Word {
        key: address(id).to_string(),
        state,
        index,
        host: None,
    }
}

#[test]
fn words_by_address_follow_a_server_to_where_the_roster_says_it_is() {
    let mut play = by_address();
    let others = [at("s-1", State::Ready, 10), at("s-2", State::Ready, 10)];
    play.say(
        CONSUL,
        [
            vec![at("s-0", State::Draining, 10), at("s-7", State::Gone, 10)],
            others.into(),
        ]
        .concat(),
    );
    assert_eq!(play.state("s-0"), State::Draining);
    // It moves to an address that Consul calls gone, then to one that Consul says nothing of.
    for (to, state) in [("s-7", State::Gone), ("s-8", State::Ready)] {
        let mut moved = word("s-0", State::Ready, if to == "s-7" { 2 } else { 3 });
        moved.host = Some(Host {
            id: "s-0".into(),
            ..host(to)
        });
        play.say(ROSTER, vec![moved]);
        assert_eq!(play.state("s-0"), state, "at {to}");
    }
    // Another comes to the address that drains.
    let mut other = word("s-1", State::Ready, 4);
    other.host = Some(Host {
        id: "s-1".into(),
        ..host("s-0")
    });
    play.say(ROSTER, vec![other]);
    assert_eq!(play.state("s-1"), State::Draining);
}

#[test]
fn two_names_at_one_address_both_drain() {
    let mut play = by_address();
    let mut twin = word("s-9", State::Ready, 2);
    twin.host = Some(Host {
        id: "s-9".into(),
        ..host("s-0")
    });
    play.say(ROSTER, vec![twin]);
    play.say(CONSUL, vec![at("s-0", State::Draining, 10)]);
    assert_eq!(
        (play.state("s-0"), play.state("s-9")),
        (State::Draining, State::Draining)
    );
}

#[test]
fn the_latest_start_tells_where_a_server_is() {
    let mut play = Play::new(Trust {
        names: true,
        ..Trust::advisor("consul")
    });
    play.say(ROSTER, vec![word("s-0", State::Ready, 1)]);
    let mut moved = word("s-0", State::Ready, 10);
    moved.host = Some(Host {
        id: "s-0".into(),
        started_at_ms: 5.0,
        zone: "b".into(),
        ..host("s-5")
    });
    play.say(CONSUL, vec![moved]);
    assert_eq!(play.driver["s-0"].address, Some(address("s-5")));
    assert_eq!(play.driver["s-0"].zone, "b");
}

#[test]
fn a_source_turned_off_counts_for_nothing() {
    let mut play = advised(4);
    play.say(
        CONSUL,
        vec![
            word("s-0", State::Draining, 11),
            word("s-1", State::Gone, 11),
        ],
    );
    assert_eq!(play.ready(), 2);
    play.feed(Event::Forgotten { source: CONSUL });
    assert_eq!(play.ready(), 4);
}

#[test]
fn a_source_that_names_too_many_is_bounded_and_says_so_once() {
    let mut play = Play::new(Trust {
        names: true,
        ..Trust::advisor("consul")
    });
    play.say(CONSUL, words(0..MOST_SERVERS + 100, State::Ready, 1));
    play.say(CONSUL, words(0..MOST_SERVERS + 100, State::Ready, 2));
    assert_eq!(play.ready(), MOST_SERVERS);
    assert_eq!(
        play.notes
            .iter()
            .filter(|note| matches!(note, Note::TooMany { .. }))
            .count(),
        1
    );
}

/// Guards against a source whose servers come and go under ever new names: what has left is forgotten in the end.
#[test]
fn names_that_never_come_back_do_not_grow_the_view() {
    let mut play = Play::new(Trust {
        names: true,
        panic_share: 1.0,
        ..Trust::advisor("consul")
    });
    for turn in 0..200 {
        let ids = turn * 100..(turn + 1) * 100;
        play.say(
            CONSUL,
            words(ids.clone(), State::Ready, turn as u64 * 2 + 1),
        );
        play.leave(CONSUL, turn as u64 * 2 + 2, ids.map(|id| format!("s-{id}")));
        assert!(play.driver.is_empty());
    }
    // There is room for as many again as the bound leaves beside the tombstones.
    let fresh = 30_000..30_000 + MOST_SERVERS - MOST_TOMBSTONES;
    play.say(CONSUL, words(fresh.clone(), State::Ready, 9_999));
    assert_eq!(play.ready(), fresh.len());
    assert!(!play
        .notes
        .iter()
        .any(|note| matches!(note, Note::TooMany { .. })));
}

#[test]
fn disagreements_are_told_once_and_few_at_a_time() {
    let mut play = advised(40);
    play.say(CONSUL, words(0..19, State::Draining, 11));
    let told = |play: &Play| {
        play.notes
            .iter()
            .filter(|note| matches!(note, Note::Disagreement { .. }))
            .count()
    };
    assert_eq!(told(&play), 8);
    assert!(play.notes.contains(&Note::MoreDisagreements(11)));
    play.say(CONSUL, words(0..19, State::Draining, 12));
    assert_eq!(told(&play), 8, "nothing new, nothing told");
    let line = play
        .notes
        .iter()
        .find(|note| matches!(note, Note::Disagreement { .. }))
        .expect("one");
    assert_eq!(
        line.to_string(),
        "view: \"s-0\" is draining: roster says ready, consul says draining, and the rules decide"
    );
}
