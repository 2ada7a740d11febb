//! Dialling several addresses, in virtual time: black holes, refusals, lists that change midway.

use pool::{Action, Closed, ConnId, DialId, Limits, Pool, Route, ServerKey, Taken, Ticket, Why};

const SERVER: ServerKey = ServerKey(0);
const V6: &str = "[2001:db8::1]:80";
const V4: &str = "10.0.0.1:80";
const UNIX: &str = "unix:/run/holds.sock";

struct Play {
    pool: Pool,
    now: f64,
    actions: Vec<Action>,
    /// What is being dialled, oldest first.
    out: Vec<(DialId, String)>,
    granted: Vec<(Ticket, ConnId)>,
    failed: Vec<(Ticket, Why)>,
    closed: Vec<ConnId>,
    told: Vec<String>,
    wake_at: f64,
}

fn routes(texts: &[&str]) -> Vec<Route> {
    texts
        .iter()
        .map(|text| Route::new(text.parse().expect("an address")))
        .collect()
}

impl Play {
    fn new(texts: &[&str]) -> Self {
        Self::with(texts, Limits::default())
    }

    fn with(texts: &[&str], limits: Limits) -> Self {
        let mut play = Self {
            pool: Pool::new(limits),
            now: 1_000_000.0,
            actions: Vec::new(),
            out: Vec::new(),
            granted: Vec::new(),
            failed: Vec::new(),
            closed: Vec::new(),
            told: Vec::new(),
            wake_at: f64::INFINITY,
        };
        play.update(texts);
        play
    }

    fn update(&mut self, texts: &[&str]) {
        self.pool
            .update(self.now, SERVER, routes(texts), &mut self.actions);
        self.note();
    }

    fn note(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                Action::Dial { dial, route, .. } => {
                    self.out.push((dial, route.address.to_string()));
                }
                Action::Abort { dial } => self.out.retain(|(out, _)| *out != dial),
                Action::Grant { ticket, conn } => self.granted.push((ticket, conn)),
                Action::Fail { ticket, why } => self.failed.push((ticket, why)),
                Action::Close { conn } => self.closed.push(conn),
                Action::WakeAt(at) => self.wake_at = at,
                Action::Down { route, .. } => self.told.push(format!("down {}", route.address)),
                Action::Up { route, .. } => self.told.push(format!("up {}", route.address)),
                Action::Keep { .. } => {}
            }
        }
    }

    fn take(&mut self) -> Taken {
        let taken = self.pool.take(self.now, SERVER, &[], &mut self.actions);
        self.note();
        taken
    }

    fn ticket(&mut self) -> Ticket {
        match self.take() {
            Taken::Later(ticket) => ticket,
            other => panic!("{other:?}"),
        }
    }

    /// The dial to an address comes up, or fails.
    fn comes(&mut self, text: &str, up: bool) -> bool {
        let at = self.out.iter().position(|(_, to)| to == text);
        let (dial, _) = self
            .out
            .remove(at.unwrap_or_else(|| panic!("{text} is not dialled: {:?}", self.out)));
        let taken = self.pool.dialled(self.now, dial, up, &mut self.actions);
        self.note();
        taken
    }

    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.wake_at <= end {
            self.now = self.now.max(self.wake_at);
            self.wake_at = f64::INFINITY;
            self.pool.due(self.now, &mut self.actions);
            self.note();
        }
        self.now = end;
    }

    fn dialled(&self) -> Vec<&str> {
        self.out.iter().map(|(_, to)| to.as_str()).collect()
    }

    fn give_back(&mut self, conn: ConnId) {
        self.pool.give_back(self.now, conn, &mut self.actions);
        self.note();
    }

    fn ended(&mut self, conn: ConnId, how: Closed) {
        if self.pool.route_of(conn).is_some() {
            self.pool.closed(self.now, conn, how, &mut self.actions);
        } else {
            self.pool
                .ended(self.now, &[(conn, how)].into(), &mut self.actions);
        }
        self.note();
    }

    /// A server that has been odd, with one idle connection that has not rested.
    fn odd() -> (Self, ConnId) {
        let mut play = Self::new(&[V4]);
        let conn = play.conn(V4);
        play.ended(conn, Closed::Odd);
        let conn = play.conn(V4);
        play.give_back(conn);
        (play, conn)
    }

    /// A connection by this address, granted and in use.
    fn conn(&mut self, text: &str) -> ConnId {
        self.ticket();
        for _ in 0..8 {
            if self.dialled().contains(&text) {
                break;
            }
            self.pass(250.0);
        }
        self.comes(text, true);
        self.granted.pop().expect("granted").1
    }
}

#[test]
fn addresses_are_started_a_stagger_apart_and_the_first_that_comes_up_is_kept() {
    let mut play = Play::new(&[V4, V6, UNIX]);
    let ticket = play.ticket();
    assert_eq!(play.dialled(), [UNIX]);
    play.pass(249.0);
    assert_eq!(play.dialled(), [UNIX]);
    play.pass(1.0);
    assert_eq!(play.dialled(), [UNIX, V6]);
    play.pass(250.0);
    assert_eq!(play.dialled(), [UNIX, V6, V4]);
    assert!(play.comes(V6, true));
    assert_eq!(play.granted[0].0, ticket);
    assert!(play.out.is_empty(), "the others are given up");
    assert_eq!(play.pool.open(), 1);
}

#[test]
fn one_that_fails_is_followed_by_the_next_at_once() {
    let mut play = Play::new(&[V4, V6, UNIX]);
    play.ticket();
    play.comes(UNIX, false);
    assert_eq!(play.dialled(), [V6]);
    play.comes(V6, false);
    assert_eq!(play.dialled(), [V4]);
    play.comes(V4, false);
    assert_eq!(play.failed.len(), 1);
    assert_eq!((play.failed[0].1, play.pool.open()), (Why::Unreachable, 0));
}

#[test]
fn all_black_holes_end_with_the_time_for_dialling() {
    let mut play = Play::new(&[V4, V6]);
    let ticket = play.ticket();
    play.pass(999.0);
    assert!(play.failed.is_empty());
    play.pass(1.0);
    assert_eq!(
        (play.failed.as_slice(), play.pool.open()),
        ([(ticket, Why::Unreachable)].as_slice(), 0)
    );
    assert!(play.out.is_empty());
}

/// Guards against a stagger that every new connection pays for a black hole.
#[test]
fn a_black_hole_is_remembered_and_tested_by_one_dial_that_costs_little() {
    let mut play = Play::new(&[V4, V6]);
    play.ticket();
    play.pass(250.0);
    play.comes(V4, true);
    play.ticket();
    assert_eq!(play.dialled(), [V4], "the one that failed goes last");
    play.comes(V4, true);
    play.pass(1_000.0);
    play.ticket();
    play.ticket();
    assert_eq!(play.dialled(), [V6, V4], "one tests it, the other does not");
    play.pass(20.0);
    assert_eq!(play.dialled(), [V6, V4, V4], "and waits no stagger for it");
    play.comes(V4, true);
    play.comes(V6, true);
    assert_eq!(play.granted.len(), 4);
    play.ticket();
    assert_eq!(play.dialled(), [V6], "it is back");
}

#[test]
fn two_that_come_up_in_the_same_instant_leave_one() {
    let mut play = Play::new(&[V4, V6]);
    play.ticket();
    play.pass(250.0);
    let both = play.out.clone();
    assert!(play.comes(V6, true));
    let taken = play
        .pool
        .dialled(play.now, both[1].0, true, &mut play.actions);
    assert!(!taken, "whoever dialled closes it");
    assert_eq!((play.pool.open(), play.granted.len()), (1, 1));
}

#[test]
fn a_dial_that_comes_up_after_its_attempt_was_cancelled_waits_for_the_next() {
    let mut play = Play::new(&[V4, V6]);
    let ticket = play.ticket();
    play.pool.cancel(play.now, ticket, &mut play.actions);
    play.note();
    play.pass(300.0);
    assert_eq!(
        play.dialled(),
        [V6],
        "no further address is tried for nobody"
    );
    play.comes(V6, true);
    assert_eq!((play.pool.idle(SERVER), play.granted.len()), (1, 0));
    assert!(matches!(play.take(), Taken::Now(_)));
}

/// Guards against a server that pays for connections that nobody uses: each attempt that finds all in use dials, and
/// most have one that is given back before theirs is up.
#[test]
fn a_dial_that_nobody_waits_for_any_more_serves_the_next_who_waits() {
    let mut play = Play::new(&[V4]);
    let conn = play.conn(V4);
    for round in 0..100 {
        let ticket = play.ticket();
        play.give_back(conn);
        assert_eq!(play.granted.last(), Some(&(ticket, conn)), "{round}");
        assert_eq!(play.dialled(), [V4], "one dial is on its way, {round}");
    }
    assert_eq!(play.pool.open(), 2);
    play.comes(V4, false);
    assert_eq!(
        (play.pool.open(), play.failed.len()),
        (1, 0),
        "its failure is nobody's"
    );
}

#[test]
fn a_cancelled_attempts_dial_goes_to_another_who_waits() {
    let limits = Limits {
        most_dials: 1,
        ..Limits::default()
    };
    let mut play = Play::with(&[V4], limits);
    let (first, second) = (play.ticket(), play.ticket());
    assert_eq!(play.dialled(), [V4]);
    play.pool.cancel(play.now, first, &mut play.actions);
    play.note();
    play.comes(V4, true);
    assert_eq!(play.granted[0].0, second);
}

#[test]
fn an_idle_connection_by_the_first_address_is_taken_first() {
    let mut play = Play::new(&[V4, V6]);
    let six = play.conn(V6);
    let four = play.conn(V4);
    play.give_back(six);
    play.pass(1.0);
    play.give_back(four);
    assert_eq!(play.take(), Taken::Now(six));
    assert_eq!(play.take(), Taken::Now(four));
}

#[test]
fn an_attempt_goes_by_no_address_that_it_is_to_avoid() {
    let mut play = Play::new(&[V4, V6]);
    let six = play.conn(V6);
    let route = play.pool.route_of(six).expect("in use");
    play.give_back(six);
    let taken = play
        .pool
        .take(play.now, SERVER, &[route], &mut play.actions);
    play.note();
    assert!(matches!(taken, Taken::Later(_)));
    assert_eq!(play.dialled(), [V4]);
    let mut alone = Play::new(&[V4]);
    let conn = alone.conn(V4);
    let route = alone.pool.route_of(conn).expect("in use");
    let taken = alone
        .pool
        .take(alone.now, SERVER, &[route], &mut alone.actions);
    assert_eq!(taken, Taken::Never(Why::Nowhere));
}

/// An address changes its family between two lists, with a request in flight and a connection idle.
#[test]
fn what_is_idle_at_an_address_that_is_gone_is_closed_and_what_is_in_use_once_it_is_done() {
    let mut play = Play::new(&[V4]);
    let (idle, used) = (play.conn(V4), play.conn(V4));
    play.give_back(idle);
    play.update(&[V6]);
    assert_eq!(play.closed, [idle]);
    play.give_back(used);
    assert_eq!(play.closed, [idle, used]);
    assert_eq!(play.pool.open(), 0);
    play.ticket();
    assert_eq!(play.dialled(), [V6]);
}

#[test]
fn who_waits_for_an_address_that_goes_is_tried_at_the_one_that_comes() {
    let mut play = Play::new(&[V4]);
    let ticket = play.ticket();
    play.update(&[V6]);
    assert_eq!(play.dialled(), [V6]);
    play.comes(V6, true);
    assert_eq!(play.granted[0].0, ticket);
    let ticket = play.ticket();
    play.update(&[]);
    assert_eq!(play.failed, [(ticket, Why::Unreachable)]);
    assert!(matches!(play.take(), Taken::Never(Why::Nowhere)));
}

#[test]
fn what_is_remembered_of_an_address_stays_while_it_is_listed() {
    let mut play = Play::new(&[V4, V6]);
    play.ticket();
    play.comes(V6, false);
    play.comes(V4, true);
    play.update(&[V6, V4, UNIX]);
    let all = play.pool.routes(play.now, SERVER);
    let all: Vec<_> = all
        .iter()
        .map(|(route, failures)| (route.address.to_string(), *failures))
        .collect();
    assert_eq!(
        all,
        [(UNIX.to_owned(), 0), (V4.to_owned(), 0), (V6.to_owned(), 1)]
    );
}

#[test]
fn of_too_many_addresses_the_first_in_their_order_count() {
    let texts: Vec<_> = (0..12).map(|n| format!("10.0.0.{n}:80")).collect();
    let mut texts: Vec<_> = texts.iter().map(String::as_str).collect();
    texts.push(UNIX);
    let play = Play::new(&texts);
    let all = play.pool.routes(play.now, SERVER);
    assert_eq!(
        (all.len(), all[0].0.address.to_string()),
        (pool::MOST_ADDRESSES, UNIX.to_owned())
    );
}

#[test]
fn a_server_that_is_forgotten_fails_who_waits_and_leaks_nothing() {
    let mut play = Play::new(&[V4]);
    let (idle, used) = (play.conn(V4), play.conn(V4));
    play.give_back(idle);
    let _now = play.take();
    let ticket = play.ticket();
    play.pool.forget(play.now, SERVER, &mut play.actions);
    play.note();
    assert_eq!(play.failed, [(ticket, Why::Nowhere)]);
    play.give_back(used);
    play.give_back(idle);
    assert_eq!(play.pool.open(), 0);
}

#[test]
fn at_its_limit_the_longest_idle_makes_room_and_where_none_is_idle_there_is_none() {
    let limits = Limits {
        most_open: 2,
        ..Limits::default()
    };
    let mut play = Play::with(&[V4], limits);
    let other = ServerKey(1);
    play.pool
        .update(play.now, other, routes(&[V6]), &mut play.actions);
    let (a, b) = (play.conn(V4), play.conn(V4));
    assert_eq!(
        play.pool.take(play.now, other, &[], &mut play.actions),
        Taken::Never(Why::Full)
    );
    play.give_back(a);
    play.pass(1.0);
    play.give_back(b);
    assert!(matches!(
        play.pool.take(play.now, other, &[], &mut play.actions),
        Taken::Later(_)
    ));
    play.note();
    assert_eq!(play.closed, [a]);
    assert_eq!(play.pool.open(), 2);
}

#[test]
fn one_server_takes_no_more_than_its_own_limit_over_all_its_addresses() {
    let limits = Limits {
        most_per_server: 2,
        ..Limits::default()
    };
    let mut play = Play::with(&[V4, V6], limits);
    let (_a, _b) = (play.conn(V6), play.conn(V6));
    assert_eq!(play.take(), Taken::Never(Why::Full));
}

#[test]
fn a_cold_server_is_dialled_no_faster_than_it_may_be() {
    let limits = Limits {
        cold_dials_per_s: 10.0,
        dial_timeout_ms: 10_000.0,
        ..Limits::default()
    };
    let mut play = Play::with(&[V4], limits);
    play.pool.set_cold(SERVER, play.now + 60_000.0);
    for _ in 0..40 {
        play.ticket();
    }
    assert_eq!(play.out.len(), 8, "the burst");
    let mut dialled = 8;
    for _ in 0..20 {
        while let Some((_, to)) = play.out.first().cloned() {
            play.comes(&to, true);
        }
        play.pass(100.0);
        dialled += play.out.len();
    }
    assert!((26..=30).contains(&dialled), "{dialled} in two seconds");
}

/// Guards against attempts that wait at a server until their requests' time is out, where another has room.
#[test]
fn who_finds_no_dial_free_waits_no_longer_than_a_dial_may_take() {
    let limits = Limits {
        most_dials: 1,
        ..Limits::default()
    };
    let mut play = Play::with(&[V4], limits);
    let (first, second) = (play.ticket(), play.ticket());
    play.pass(999.0);
    assert!(play.failed.is_empty(), "{:?}", play.failed);
    play.pass(2.0);
    assert_eq!(
        play.failed,
        [(first, Why::Unreachable), (second, Why::Full)]
    );
}

/// Guards against a log that grows with each dial to an address that is down.
#[test]
fn an_address_is_told_down_once_and_up_once() {
    let mut play = Play::new(&[V4]);
    for up in [false, false, false, true, true, false] {
        play.ticket();
        play.comes(V4, up);
        play.pass(100_000.0);
    }
    let [down, up] = ["down", "up"].map(|what| format!("{what} {V4}"));
    assert_eq!(play.told, [down.clone(), up, down]);
}

#[test]
fn a_list_that_shrinks_to_none_fails_who_waits_and_closes_what_is_idle() {
    let mut play = Play::new(&[V4, V6]);
    let (idle, used) = (play.conn(V6), play.conn(V6));
    play.give_back(idle);
    assert_eq!(play.take(), Taken::Now(idle));
    let ticket = play.ticket();
    play.give_back(used);
    let waits = play.ticket();
    play.update(&[]);
    assert_eq!(play.failed, [(waits, Why::Unreachable)]);
    assert_eq!(play.granted.last(), Some(&(ticket, used)));
    assert_eq!(play.take(), Taken::Never(Why::Nowhere));
    play.give_back(idle);
    assert!(
        play.closed.contains(&idle),
        "what is in use is closed once it is done"
    );
    // A dial that goes on for nobody takes no new address.
    let mut play = Play::new(&[V6]);
    let ticket = play.ticket();
    play.pool.cancel(play.now, ticket, &mut play.actions);
    play.note();
    play.update(&[V4]);
    assert!(play.out.is_empty(), "{:?}", play.dialled());
    assert_eq!(play.pool.open(), 0);
}

#[test]
fn an_odd_server_is_waited_for_and_the_others_are_not() {
    let (mut play, conn) = Play::odd();
    let ticket = play.ticket();
    assert!(play.out.is_empty(), "a rest is shorter than a dial");
    play.pass(4.9);
    assert!(play.granted.is_empty());
    play.pass(0.2);
    assert_eq!(play.granted, [(ticket, conn)]);
    play.give_back(conn);
    play.pass(600_000.0);
    let conn = play.conn(V4);
    play.give_back(conn);
    assert_eq!(play.take(), Taken::Now(conn), "forgotten in the end");
}

#[test]
fn who_waits_for_a_rest_is_dialled_for_if_the_connection_ends() {
    let (mut play, conn) = Play::odd();
    let ticket = play.ticket();
    play.ended(conn, Closed::Odd);
    assert_eq!(play.dialled(), [V4]);
    play.comes(V4, true);
    assert_eq!(play.granted[0].0, ticket);
}

#[test]
fn three_thousand_idle_connections_closed_at_once_teach_nothing_and_leak_nothing() {
    let limits = Limits {
        most_open: 4_000,
        most_per_server: 4_000,
        most_dials: 4_000,
        ..Limits::default()
    };
    let mut play = Play::with(&[V4], limits);
    let all: Vec<_> = (0..3_000).map(|_| play.conn(V4)).collect();
    for conn in &all {
        play.give_back(*conn);
    }
    play.pass(2_000.0);
    let ended = all.into_iter().map(|conn| (conn, Closed::ByPeer)).collect();
    play.pool.ended(play.now, &ended, &mut play.actions);
    assert_eq!((play.pool.idle(SERVER), play.pool.open()), (0, 0));
    assert_eq!(
        play.pool.routes(play.now, SERVER)[0].1,
        0,
        "the address is as good as before"
    );
    let conn = play.conn(V4);
    play.give_back(conn);
    play.pass(10_000.0);
    assert_eq!(play.take(), Taken::Now(conn));
}

#[test]
fn idle_connections_are_closed_before_the_server_does_it() {
    let mut play = Play::new(&[V4]);
    let conn = play.conn(V4);
    play.give_back(conn);
    play.pass(10_000.0);
    play.ended(conn, Closed::ByPeer);
    let conn = play.conn(V4);
    play.give_back(conn);
    play.pass(9_000.0);
    play.pool.sweep(play.now, &mut play.actions);
    play.note();
    assert_eq!(play.closed, [conn]);
}

#[test]
fn one_more_is_dialled_ahead_under_a_rising_load_where_that_is_on() {
    for ahead in [false, true] {
        let mut play = Play::with(
            &[V4],
            Limits {
                ahead,
                ..Limits::default()
            },
        );
        for _ in 0..6 {
            play.ticket();
        }
        assert_eq!(play.out.len(), if ahead { 7 } else { 6 });
    }
}
