//! Agents that lag, lie, forget and vanish, in virtual time.

use consul::{Action, Event, Mapping, News, Query, State, Trouble, Watch, WatchSettings};

/// An instance as the health API words it.
fn instance(id: &str, status: &str) -> String {
    format!(
        r#"{{"Node":{{"Node":"n","Address":"10.0.0.1"}},"Service":{{"ID":"{id}","Service":"holds","Port":80}},
            "Checks":[{{"CheckID":"c","Status":"{status}"}}]}}"#
    )
}

fn list(instances: &[String]) -> String {
    format!("[{}]", instances.join(","))
}

struct Play {
    watch: Watch,
    now: f64,
    actions: Vec<Action>,
}

impl Play {
    fn new(agents: usize) -> Self {
        let settings = WatchSettings::new(Query::health("holds"), Mapping::default(), agents);
        let mut play = Self {
            watch: Watch::new(settings, 1),
            now: 0.0,
            actions: Vec::new(),
        };
        play.feed(Event::Due);
        play
    }

    fn feed(&mut self, event: Event<'_>) {
        self.actions.clear();
        self.watch.handle(self.now, event, &mut self.actions);
    }

    /// Goes on to the next time that was asked for.
    fn wake(&mut self) {
        self.now = self.wake_at();
        self.feed(Event::Due);
    }

    fn wake_at(&self) -> f64 {
        let at = self.actions.iter().rev().find_map(|action| match action {
            Action::WakeAt(at) => Some(*at),
            _ => None,
        });
        at.expect("a time is always asked for")
    }

    fn asked(&self) -> (usize, String) {
        let asked = self.actions.iter().find_map(|action| match action {
            Action::Ask { agent, path } => Some((*agent, path.clone())),
            _ => None,
        });
        asked.unwrap_or_else(|| panic!("nothing asked: {:?}", self.actions))
    }

    fn news(&self) -> &News {
        let news = self.actions.iter().find_map(|action| match action {
            Action::Tell(news) => Some(news),
            _ => None,
        });
        news.unwrap_or_else(|| panic!("nothing told: {:?}", self.actions))
    }

    /// A whole answer; what came of its end is left in `actions`.
    fn answer(&mut self, index: u64, body: &str) {
        self.answer_with(
            &[
                ("X-Consul-Index", &index.to_string()),
                ("X-Consul-KnownLeader", "true"),
            ],
            body,
        );
    }

    fn answer_with(&mut self, headers: &[(&str, &str)], body: &str) {
        self.actions.clear();
        for event in [
            Event::Head {
                status: 200,
                headers,
            },
            Event::Body(body.as_bytes()),
            Event::End,
        ] {
            self.watch.handle(self.now, event, &mut self.actions);
        }
    }

    fn troubles(&self) -> Vec<&Trouble> {
        let mut troubles = Vec::new();
        for action in &self.actions {
            if let Action::Trouble { trouble, .. } = action {
                troubles.push(trouble);
            }
        }
        troubles
    }

    fn is_lost(&self) -> bool {
        self.actions.contains(&Action::Lost)
    }
}

#[test]
fn each_answer_is_waited_for_with_the_index_of_the_one_before() {
    let mut play = Play::new(1);
    assert_eq!(play.asked(), (0, "/v1/health/service/holds".into()));
    play.answer(
        41,
        &list(&[instance("a", "passing"), instance("b", "warning")]),
    );
    assert_eq!(
        (
            play.news().words.len(),
            play.news().index,
            play.news().fresh
        ),
        (2, 41, true)
    );
    play.wake();
    assert_eq!(play.asked().1, "/v1/health/service/holds?index=41&wait=60s");
    assert!(
        (play.wake_at() - play.now - 63_750.0 - 5_000.0).abs() < 1.0,
        "Consul's jitter is waited for"
    );
    play.now += 30_000.0;
    play.answer(
        43,
        &list(&[instance("a", "critical"), instance("b", "warning")]),
    );
    let news = play.news();
    assert_eq!(
        (
            news.words.len(),
            news.words[0].key.as_str(),
            news.words[0].state
        ),
        (1, "a", State::Gone)
    );
    play.wake();
    play.now += 30_000.0;
    play.answer(44, &list(&[instance("b", "warning")]));
    assert_eq!(
        (play.news().words.len(), play.news().left.as_slice()),
        (0, ["a".to_owned()].as_slice())
    );
}

#[test]
fn an_answer_that_confirms_all_is_told_with_nothing_in_it() {
    let mut play = Play::new(1);
    let body = list(&[instance("a", "passing")]);
    play.answer(41, &body);
    play.wake();
    play.now += 61_000.0;
    play.answer(41, &body);
    assert!(play.news().fresh && play.news().words.is_empty() && play.news().left.is_empty());
    assert_eq!(play.news().history, 0);
}

#[test]
fn an_index_that_goes_back_begins_a_new_history_and_is_not_waited_on() {
    let mut play = Play::new(1);
    play.answer(41, &list(&[instance("a", "critical")]));
    play.wake();
    play.answer(7, &list(&[instance("a", "passing")]));
    assert_eq!((play.news().history, play.news().index), (1, 7));
    assert_eq!(play.troubles(), [&Trouble::Index]);
    play.wake();
    assert_eq!(play.asked().1, "/v1/health/service/holds");
    play.answer(8, &list(&[instance("a", "passing")]));
    assert_eq!(play.news().history, 1);
    play.wake();
    assert!(play.asked().1.contains("index=8&"));
}

#[test]
fn a_content_that_changes_under_one_index_is_a_new_history() {
    let mut play = Play::new(1);
    for turn in 0..4 {
        play.answer(
            41,
            &list(&[instance("a", ["passing", "critical"][turn % 2])]),
        );
        assert_eq!(play.news().history, turn as u64);
        play.wake();
    }
}

#[test]
fn an_index_that_jumps_is_taken_and_so_is_what_comes_after() {
    let mut play = Play::new(1);
    play.answer(41, &list(&[]));
    play.wake();
    play.answer(u64::MAX, &list(&[instance("a", "passing")]));
    assert_eq!((play.news().history, play.news().words.len()), (0, 1));
    play.wake();
    play.answer(43, &list(&[]));
    assert_eq!(
        (play.news().history, play.news().left.len()),
        (1, 1),
        "doubted, and told"
    );
}

/// Guards against a loop that asks as fast as it is answered.
#[test]
fn an_agent_that_does_not_block_is_asked_seldom() {
    for index in ["41", "0", "none", "-3"] {
        let mut play = Play::new(1);
        let mut asked = 0;
        while play.now < 60_000.0 {
            play.answer_with(
                &[("X-Consul-Index", index)],
                &list(&[instance("a", "passing")]),
            );
            play.wake();
            asked += 1;
        }
        assert!(
            (20..50).contains(&asked),
            "{asked} times in a minute with index {index}"
        );
    }
}

/// Guards against the same with a content that changes each time.
#[test]
fn changes_without_end_are_read_at_a_pace() {
    let mut play = Play::new(1);
    let (mut asked, mut index) = (0, 1);
    while play.now < 10_000.0 {
        index += 1;
        play.answer(index, &list(&[instance(&format!("a{index}"), "passing")]));
        play.wake();
        asked += 1;
    }
    assert!(
        (90..=110).contains(&asked),
        "{asked} in ten seconds at a pace of 100 ms"
    );
}

/// A change after a quiet while is asked for at once.
#[test]
fn a_few_changes_in_a_row_are_read_without_a_pause() {
    let mut play = Play::new(1);
    play.answer(1, "[]");
    play.wake();
    play.now += 10_000.0;
    let start = play.now;
    for index in 2..6 {
        play.answer(index, &list(&[instance(&format!("a{index}"), "passing")]));
        play.wake();
    }
    assert!(play.now - start < 1.0);
}

#[test]
fn what_has_no_leader_or_is_of_long_ago_is_stale_and_another_agent_is_asked() {
    for header in [
        ("X-Consul-KnownLeader", "false"),
        ("X-Consul-LastContact", "60000"),
    ] {
        let mut play = Play::new(2);
        for turn in 0..3 {
            assert_eq!(play.asked().0, 0, "turn {turn}");
            play.answer_with(
                &[("X-Consul-Index", "41"), header],
                &list(&[instance("a", "passing")]),
            );
            assert!(!play.news().fresh);
            play.wake();
        }
        // What it has may be no newer: a query that waits for a change would leave the source stale for a whole wait.
        assert_eq!(play.asked(), (1, "/v1/health/service/holds".into()));
    }
}

#[test]
fn agents_are_tried_in_turn_and_then_more_and_more_seldom() {
    let mut play = Play::new(3);
    play.answer(41, &list(&[instance("a", "passing")]));
    play.wake();
    let mut lost = 0;
    for agent in [0, 1, 2] {
        assert_eq!(play.asked().0, agent);
        play.feed(Event::Broken("refused".into()));
        assert_eq!(
            play.is_lost(),
            agent == 2,
            "lost once every agent has failed"
        );
        lost += usize::from(play.is_lost());
        play.wake();
    }
    assert!(play.now < 1_000.0);
    let mut waits = Vec::new();
    for _ in 0..40 {
        play.feed(Event::Broken("refused".into()));
        lost += usize::from(play.is_lost());
        waits.push(play.wake_at() - play.now);
        play.wake();
    }
    assert_eq!(lost, 1, "told once");
    assert!(
        waits.iter().all(|wait| (125.0..=30_000.0).contains(wait)),
        "{waits:?}"
    );
    assert!(
        waits[30..].iter().all(|wait| *wait >= 15_000.0),
        "{waits:?}"
    );
    let spread: std::collections::HashSet<_> =
        waits[30..].iter().map(|wait| *wait as u64).collect();
    assert!(spread.len() > 5, "with jitter");
    // One that answers again is asked for all, and what it says is told.
    play.answer(41, &list(&[instance("a", "passing")]));
    assert!(play.news().fresh);
    play.wake();
    assert!(play.asked().1.contains("index=41"));
}

/// Lost for an hour: one line for each agent, and one more when it fails again after a quiet while.
#[test]
fn trouble_is_told_when_it_begins_and_not_while_it_goes_on() {
    let mut play = Play::new(2);
    let mut told = 0;
    while play.now < 3_600_000.0 {
        play.feed(Event::Broken("refused".into()));
        told += play.troubles().len();
        play.wake();
    }
    assert_eq!(told, 2);
    play.feed(Event::Head {
        status: 403,
        headers: &[],
    });
    assert_eq!(play.troubles(), [&Trouble::Forbidden], "of another kind");
    play.wake();
    for _ in 0..2 {
        play.answer(41, "[]");
        play.wake();
        play.now += 60_000.0;
    }
    play.feed(Event::Broken("refused".into()));
    assert_eq!(play.troubles().len(), 1);
}

/// Guards against a log line for each of ten answers a second.
#[test]
fn an_index_that_never_makes_sense_is_told_of_once() {
    for (first, second) in [(41, 7), (41, 41), (0, 0)] {
        let (mut play, mut told) = (Play::new(1), 0);
        for turn in 0..100 {
            let index = if turn % 2 == 0 { first } else { second };
            play.answer(
                index,
                &list(&[instance("a", ["passing", "critical"][turn % 2])]),
            );
            told += play.troubles().len();
            play.wake();
        }
        assert_eq!(told, 1, "{first}, {second}");
    }
}

#[test]
fn statuses_that_are_no_answer_lose_nothing_of_what_is_known() {
    for status in [429, 403, 500, 503, 302, 204] {
        let mut play = Play::new(1);
        play.answer(41, &list(&[instance("a", "passing")]));
        play.wake();
        play.feed(Event::Head {
            status,
            headers: &[("X-Consul-Index", "50")],
        });
        assert!(play.actions.contains(&Action::HangUp) && play.is_lost());
        play.feed(Event::Body(b"[]"));
        play.feed(Event::End);
        assert!(
            play.actions.is_empty(),
            "what is given up counts for nothing"
        );
        assert_eq!(play.watch.instances(), 1);
    }
}

#[test]
fn an_answer_cut_anywhere_counts_for_nothing() {
    let body = list(&[instance("a", "critical"), instance("b", "passing")]);
    for at in 0..body.len() {
        for in_order in [true, false] {
            let mut play = Play::new(1);
            play.answer(
                41,
                &list(&[instance("a", "passing"), instance("c", "passing")]),
            );
            play.wake();
            play.feed(Event::Head {
                status: 200,
                headers: &[("X-Consul-Index", "50")],
            });
            play.feed(Event::Body(&body.as_bytes()[..at]));
            play.feed(if in_order {
                Event::End
            } else {
                Event::Broken("reset".into())
            });
            assert!(play.is_lost(), "cut at {at}");
            assert!(!play
                .actions
                .iter()
                .any(|action| matches!(action, Action::Tell(_))));
            play.wake();
            play.answer(51, &body);
            assert_eq!((play.news().words.len(), play.news().left.len()), (2, 1));
        }
    }
}

#[test]
fn an_answer_that_never_comes_or_stands_still_is_given_up() {
    let mut play = Play::new(2);
    play.answer(41, "[]");
    play.wake();
    let asked = play.now;
    play.wake();
    assert!(play.now - asked > 60_000.0 && play.now - asked < 70_000.0);
    assert!(play.actions.contains(&Action::HangUp));
    assert_eq!(play.troubles(), [&Trouble::Silent]);
    play.wake();
    play.feed(Event::Head {
        status: 200,
        headers: &[],
    });
    let begun = play.now;
    play.feed(Event::Body(b"["));
    play.wake();
    assert_eq!(
        (play.now - begun, play.actions.contains(&Action::HangUp)),
        (5_000.0, true)
    );
}

/// Guards against a source that looks fresh while its answer trickles in for ever.
#[test]
fn an_answer_that_trickles_is_given_up() {
    let mut play = Play::new(1);
    play.feed(Event::Head {
        status: 200,
        headers: &[],
    });
    let mut pieces = 0;
    loop {
        let woken = play.wake_at();
        play.now += 4_000.0;
        if woken <= play.now {
            play.now = woken;
            play.feed(Event::Due);
            break;
        }
        play.feed(Event::Body(b" "));
        pieces += 1;
        assert!(pieces < 20, "it is never given up");
    }
    assert!(play.is_lost() && play.actions.contains(&Action::HangUp));
}

#[test]
fn an_answer_without_an_end_is_given_up() {
    let mut play = Play::new(1);
    play.feed(Event::Head {
        status: 200,
        headers: &[("X-Consul-Index", "1")],
    });
    play.feed(Event::Body(b"["));
    let mut fed = 0;
    let piece = format!("{},", instance("a", "passing")).repeat(100);
    while !play.is_lost() {
        play.feed(Event::Body(piece.as_bytes()));
        fed += piece.len();
        assert!(fed < 50_000_000, "it is never given up");
    }
    assert_eq!(play.watch.instances(), 0);
}

#[test]
fn what_is_no_list_of_instances_is_refused_and_an_instance_that_makes_no_sense_hides_no_other() {
    for body in ["", "null", "{}", "\"[]\"", "[1,", "<html>", "[] trailing"] {
        let mut play = Play::new(1);
        play.answer(41, body);
        assert!(play.is_lost(), "{body}");
    }
    let odd = [
        "7",
        "{}",
        r#"{"Node":{},"Service":{}}"#,
        r#"{"Node":{"Node":"n"},"Service":{"ID":"x","Port":99999}}"#,
        r#"{"Node":{"Node":"n"},"Service":{"ID":"x"},"Checks":[{"Status":"odd"}]}"#,
    ];
    for odd in odd {
        let mut play = Play::new(1);
        play.answer(
            40,
            &list(&[instance("a", "passing"), instance("b", "passing")]),
        );
        play.wake();
        play.answer(41, &list(&[odd.to_owned(), instance("a", "critical")]));
        let news = play.news();
        assert!(!news.fresh, "what could not be read may be a server: {odd}");
        assert_eq!((news.words.len(), news.words[0].key.as_str()), (1, "a"));
        assert!(
            matches!(play.troubles()[..], [Trouble::Instances(_)]),
            "{:?}",
            play.troubles()
        );
    }
}

#[test]
fn instances_that_name_no_server_are_told_of_and_take_nothing_away() {
    let mapping = Mapping {
        named: consul::Named::Address,
        ..Mapping::default()
    };
    let settings = WatchSettings::new(Query::health("holds"), mapping, 1);
    let mut play = Play {
        watch: Watch::new(settings, 1),
        now: 0.0,
        actions: Vec::new(),
    };
    play.feed(Event::Due);
    let by_name = instance("b", "passing").replace("10.0.0.1", "host.example");
    for index in [41, 42] {
        play.answer(index, &list(&[instance("a", "passing"), by_name.clone()]));
        assert!(play.news().fresh);
        if index == 41 {
            assert_eq!(play.news().words[0].key, "10.0.0.1:80");
            assert_eq!(play.troubles(), [&Trouble::Nameless(1)]);
        }
        play.wake();
    }
}

#[test]
fn of_two_registrations_of_one_server_the_later_speaks() {
    let at = |status: &str, index: u64| {
        instance("a", status).replace(
            "\"Port\":80",
            &format!("\"Port\":80,\"ModifyIndex\":{index}"),
        )
    };
    for (first, second, state) in [
        (at("critical", 5), at("passing", 9), State::Ready),
        (at("passing", 5), at("critical", 9), State::Gone),
        (at("passing", 5), at("critical", 5), State::Gone),
    ] {
        for body in [
            list(&[first.clone(), second.clone()]),
            list(&[second, first]),
        ] {
            let mut play = Play::new(1);
            play.answer(41, &body);
            assert_eq!(
                (play.news().words.len(), play.news().words[0].state),
                (1, state)
            );
        }
    }
}

#[test]
fn five_thousand_instances_of_which_one_changes() {
    let mut play = Play::new(1);
    let mut all: Vec<_> = (0..5_000)
        .map(|n| instance(&format!("s-{n}"), "passing"))
        .collect();
    play.answer(1, &list(&all));
    assert_eq!(play.news().words.len(), 5_000);
    for turn in 0..20 {
        play.wake();
        play.now += 1_000.0;
        all[turn * 7] = instance(&format!("s-{}", turn * 7), "critical");
        play.answer(turn as u64 + 2, &list(&all));
        assert_eq!((play.news().words.len(), play.news().left.len()), (1, 0));
        assert_eq!(play.news().words[0].key, format!("s-{}", turn * 7));
    }
}
