//! Checkouts and dial races in virtual time: black holes, refused dials, address lists that change during a
//! race, limits and closes.

use pool::{
    Action, Checkout, CheckoutError, CheckoutId, CloseReason, ConnectionId, DialId, Limits, Pool,
    Route, ServerKey,
};

const SERVER: ServerKey = ServerKey(0);
const V6: &str = "[2001:db8::1]:80";
const V4: &str = "10.0.0.1:80";
const UNIX: &str = "unix:/run/server.sock";

struct Harness {
    pool: Pool,
    now_ms: f64,
    actions: Vec<Action>,
    /// Outstanding dials, oldest first.
    dials: Vec<(DialId, String)>,
    granted: Vec<(CheckoutId, ConnectionId)>,
    failed: Vec<(CheckoutId, CheckoutError)>,
    closed: Vec<ConnectionId>,
    route_reports: Vec<String>,
    wake_at_ms: f64,
}

fn routes(texts: &[&str]) -> Vec<Route> {
    texts
        .iter()
        .map(|text| Route::new(text.parse().expect("parse a valid address")))
        .collect()
}

impl Harness {
    fn new(texts: &[&str]) -> Self {
        Self::with_limits(texts, Limits::default())
    }

    fn with_limits(texts: &[&str], limits: Limits) -> Self {
        let mut harness = Self {
            pool: Pool::new(limits),
            now_ms: 1_000_000.0,
            actions: Vec::new(),
            dials: Vec::new(),
            granted: Vec::new(),
            failed: Vec::new(),
            closed: Vec::new(),
            route_reports: Vec::new(),
            wake_at_ms: f64::INFINITY,
        };
        harness.update(texts);
        harness
    }

    fn update(&mut self, texts: &[&str]) {
        self.pool
            .update_routes(self.now_ms, SERVER, routes(texts), &mut self.actions);
        self.apply_actions();
    }

    fn apply_actions(&mut self) {
        for action in self.actions.drain(..) {
            match action {
                Action::Dial { dial, route, .. } => {
                    self.dials.push((dial, route.address.to_string()));
                }
                Action::AbortDial { dial } => self.dials.retain(|(other, _)| *other != dial),
                Action::Grant {
                    checkout,
                    connection,
                } => self.granted.push((checkout, connection)),
                Action::Fail { checkout, error } => self.failed.push((checkout, error)),
                Action::Close { connection } => self.closed.push(connection),
                Action::WakeAt(at_ms) => self.wake_at_ms = at_ms,
                Action::RouteDown { route, .. } => {
                    self.route_reports.push(format!("down {}", route.address));
                }
                Action::RouteUp { route, .. } => {
                    self.route_reports.push(format!("up {}", route.address));
                }
                Action::KeepIdle { .. } => {}
            }
        }
    }

    fn check_out(&mut self) -> Checkout {
        let result = self
            .pool
            .check_out(self.now_ms, SERVER, &[], &mut self.actions);
        self.apply_actions();
        result
    }

    fn pending_checkout(&mut self) -> CheckoutId {
        match self.check_out() {
            Checkout::Pending(checkout) => checkout,
            other => panic!("expected a pending checkout, got {other:?}"),
        }
    }

    /// Finishes the dial to an address; returns whether the pool uses the connection.
    fn finish_dial(&mut self, text: &str, is_connected: bool) -> bool {
        let index = self.dials.iter().position(|(_, address)| address == text);
        let (dial, _) = self.dials.remove(
            index.unwrap_or_else(|| panic!("{text} is not being dialed: {:?}", self.dials)),
        );
        let is_used = if is_connected {
            self.pool
                .dial_succeeded(self.now_ms, dial, &mut self.actions)
        } else {
            self.pool.dial_failed(self.now_ms, dial, &mut self.actions);
            false
        };
        self.apply_actions();
        is_used
    }

    fn advance(&mut self, duration_ms: f64) {
        let end_ms = self.now_ms + duration_ms;
        while self.wake_at_ms <= end_ms {
            self.now_ms = self.now_ms.max(self.wake_at_ms);
            self.wake_at_ms = f64::INFINITY;
            self.pool.handle_timer(self.now_ms, &mut self.actions);
            self.apply_actions();
        }
        self.now_ms = end_ms;
    }

    fn dialing(&self) -> Vec<&str> {
        self.dials
            .iter()
            .map(|(_, address)| address.as_str())
            .collect()
    }

    fn check_in(&mut self, connection: ConnectionId) {
        self.pool
            .check_in_unused(self.now_ms, connection, &mut self.actions);
        self.apply_actions();
    }

    fn close(&mut self, connection: ConnectionId, reason: CloseReason) {
        if self.pool.route_of(connection).is_some() {
            self.pool
                .connection_closed(self.now_ms, connection, reason, &mut self.actions);
        } else {
            self.pool.idle_closed(
                self.now_ms,
                &[(connection, reason)].into(),
                &mut self.actions,
            );
        }
        self.apply_actions();
    }

    /// Establishes a connection over this address; returns it granted and in use.
    fn connect(&mut self, text: &str) -> ConnectionId {
        self.pending_checkout();
        for _ in 0..8 {
            if self.dialing().contains(&text) {
                break;
            }
            self.advance(250.0);
        }
        self.finish_dial(text, true);
        self.granted.pop().expect("the new connection is granted").1
    }
}

#[test]
fn dials_start_one_stagger_apart_and_first_to_connect_is_used() {
    let mut harness = Harness::new(&[V4, V6, UNIX]);
    let checkout = harness.pending_checkout();
    assert_eq!(harness.dialing(), [UNIX]);
    harness.advance(249.0);
    assert_eq!(harness.dialing(), [UNIX]);
    harness.advance(1.0);
    assert_eq!(harness.dialing(), [UNIX, V6]);
    harness.advance(250.0);
    assert_eq!(harness.dialing(), [UNIX, V6, V4]);
    assert!(harness.finish_dial(V6, true));
    assert_eq!(harness.granted[0].0, checkout);
    assert!(harness.dials.is_empty(), "the other dials must be aborted");
    assert_eq!(harness.pool.open_connections(), 1);
}

#[test]
fn failed_dial_is_followed_by_the_next_address_immediately() {
    let mut harness = Harness::new(&[V4, V6, UNIX]);
    harness.pending_checkout();
    harness.finish_dial(UNIX, false);
    assert_eq!(harness.dialing(), [V6]);
    harness.finish_dial(V6, false);
    assert_eq!(harness.dialing(), [V4]);
    harness.finish_dial(V4, false);
    assert_eq!(harness.failed.len(), 1);
    assert_eq!(
        (harness.failed[0].1, harness.pool.open_connections()),
        (CheckoutError::Unreachable, 0)
    );
}

#[test]
fn black_holes_fail_the_checkout_at_the_dial_timeout() {
    let mut harness = Harness::new(&[V4, V6]);
    let checkout = harness.pending_checkout();
    harness.advance(999.0);
    assert!(harness.failed.is_empty());
    harness.advance(1.0);
    assert_eq!(
        (harness.failed.as_slice(), harness.pool.open_connections()),
        ([(checkout, CheckoutError::Unreachable)].as_slice(), 0)
    );
    assert!(harness.dials.is_empty());
}

/// Each new connection would otherwise wait one stagger for a black hole.
#[test]
fn black_hole_is_dialed_last_and_tested_with_short_stagger() {
    let mut harness = Harness::new(&[V4, V6]);
    harness.pending_checkout();
    harness.advance(250.0);
    harness.finish_dial(V4, true);
    harness.pending_checkout();
    assert_eq!(
        harness.dialing(),
        [V4],
        "the failed address must be dialed last"
    );
    harness.finish_dial(V4, true);
    harness.advance(1_000.0);
    harness.pending_checkout();
    harness.pending_checkout();
    assert_eq!(
        harness.dialing(),
        [V6, V4],
        "exactly one race must test the failed address"
    );
    harness.advance(20.0);
    assert_eq!(
        harness.dialing(),
        [V6, V4, V4],
        "the race that tests the failed address must dial the next address after the short stagger"
    );
    harness.finish_dial(V4, true);
    harness.finish_dial(V6, true);
    assert_eq!(harness.granted.len(), 4);
    harness.pending_checkout();
    assert_eq!(
        harness.dialing(),
        [V6],
        "the recovered address must be dialed first"
    );
}

#[test]
fn second_connection_of_a_race_in_the_same_instant_is_not_used() {
    let mut harness = Harness::new(&[V4, V6]);
    harness.pending_checkout();
    harness.advance(250.0);
    let dials = harness.dials.clone();
    assert!(harness.finish_dial(V6, true));
    let is_used = harness
        .pool
        .dial_succeeded(harness.now_ms, dials[1].0, &mut harness.actions);
    assert!(!is_used, "a second connection of the race must not be used");
    assert_eq!(
        (harness.pool.open_connections(), harness.granted.len()),
        (1, 1)
    );
}

#[test]
fn dial_of_a_canceled_checkout_becomes_an_idle_connection() {
    let mut harness = Harness::new(&[V4, V6]);
    let checkout = harness.pending_checkout();
    harness
        .pool
        .cancel(harness.now_ms, checkout, &mut harness.actions);
    harness.apply_actions();
    harness.advance(300.0);
    assert_eq!(
        harness.dialing(),
        [V6],
        "no further address may be dialed without a checkout"
    );
    harness.finish_dial(V6, true);
    assert_eq!(
        (harness.pool.idle_count(SERVER), harness.granted.len()),
        (1, 0)
    );
    assert!(matches!(harness.check_out(), Checkout::Ready(_)));
}

/// A server must not spend work on connections that nobody uses: each checkout that finds all connections in
/// use starts a dial, and most are granted a checked-in connection before their dial connects.
#[test]
fn dial_without_a_checkout_is_reused_by_the_next_checkout() {
    let mut harness = Harness::new(&[V4]);
    let connection = harness.connect(V4);
    for round in 0..100 {
        let checkout = harness.pending_checkout();
        harness.check_in(connection);
        assert_eq!(
            harness.granted.last(),
            Some(&(checkout, connection)),
            "round {round}: the checked-in connection must be granted"
        );
        assert_eq!(
            harness.dialing(),
            [V4],
            "round {round}: one dial must be outstanding"
        );
    }
    assert_eq!(harness.pool.open_connections(), 2);
    harness.finish_dial(V4, false);
    assert_eq!(
        (harness.pool.open_connections(), harness.failed.len()),
        (1, 0),
        "the failure of a dial without a checkout must fail no checkout"
    );
}

#[test]
fn dial_of_a_canceled_checkout_serves_a_pending_one() {
    let limits = Limits {
        max_races_per_server: 1,
        ..Limits::default()
    };
    let mut harness = Harness::with_limits(&[V4], limits);
    let (first, second) = (harness.pending_checkout(), harness.pending_checkout());
    assert_eq!(harness.dialing(), [V4]);
    harness
        .pool
        .cancel(harness.now_ms, first, &mut harness.actions);
    harness.apply_actions();
    harness.finish_dial(V4, true);
    assert_eq!(harness.granted[0].0, second);
}

#[test]
fn idle_connection_over_the_first_address_is_preferred() {
    let mut harness = Harness::new(&[V4, V6]);
    let v6 = harness.connect(V6);
    let v4 = harness.connect(V4);
    harness.check_in(v6);
    harness.advance(1.0);
    harness.check_in(v4);
    assert_eq!(harness.check_out(), Checkout::Ready(v6));
    assert_eq!(harness.check_out(), Checkout::Ready(v4));
}

#[test]
fn checkout_does_not_use_avoided_routes() {
    let mut harness = Harness::new(&[V4, V6]);
    let v6 = harness.connect(V6);
    let route = harness
        .pool
        .route_of(v6)
        .expect("a connection in use has a route");
    harness.check_in(v6);
    let result = harness
        .pool
        .check_out(harness.now_ms, SERVER, &[route], &mut harness.actions);
    harness.apply_actions();
    assert!(matches!(result, Checkout::Pending(_)));
    assert_eq!(harness.dialing(), [V4]);
    let mut single_route = Harness::new(&[V4]);
    let connection = single_route.connect(V4);
    let route = single_route
        .pool
        .route_of(connection)
        .expect("a connection in use has a route");
    let result = single_route.pool.check_out(
        single_route.now_ms,
        SERVER,
        &[route],
        &mut single_route.actions,
    );
    assert_eq!(result, Checkout::Failed(CheckoutError::NoRoute));
}

/// An address changes its family between two lists while one connection is in use and another is idle.
#[test]
fn unlisted_route_closes_idle_now_and_in_use_at_check_in() {
    let mut harness = Harness::new(&[V4]);
    let (idle, in_use) = (harness.connect(V4), harness.connect(V4));
    harness.check_in(idle);
    harness.update(&[V6]);
    assert_eq!(harness.closed, [idle]);
    harness.check_in(in_use);
    assert_eq!(harness.closed, [idle, in_use]);
    assert_eq!(harness.pool.open_connections(), 0);
    harness.pending_checkout();
    assert_eq!(harness.dialing(), [V6]);
}

#[test]
fn checkout_of_an_unlisted_route_is_dialed_over_the_new_one() {
    let mut harness = Harness::new(&[V4]);
    let checkout = harness.pending_checkout();
    harness.update(&[V6]);
    assert_eq!(harness.dialing(), [V6]);
    harness.finish_dial(V6, true);
    assert_eq!(harness.granted[0].0, checkout);
    let checkout = harness.pending_checkout();
    harness.update(&[]);
    assert_eq!(harness.failed, [(checkout, CheckoutError::Unreachable)]);
    assert!(matches!(
        harness.check_out(),
        Checkout::Failed(CheckoutError::NoRoute)
    ));
}

#[test]
fn route_health_is_kept_while_the_address_is_listed() {
    let mut harness = Harness::new(&[V4, V6]);
    harness.pending_checkout();
    harness.finish_dial(V6, false);
    harness.finish_dial(V4, true);
    harness.update(&[V6, V4, UNIX]);
    let statuses = harness.pool.route_statuses(harness.now_ms, SERVER);
    let failures: Vec<_> = statuses
        .iter()
        .map(|status| (status.route.address.to_string(), status.failures))
        .collect();
    assert_eq!(
        failures,
        [(UNIX.to_owned(), 0), (V4.to_owned(), 0), (V6.to_owned(), 1)]
    );
}

#[test]
fn addresses_beyond_the_maximum_are_ignored_in_dial_order() {
    let texts: Vec<_> = (0..12).map(|n| format!("10.0.0.{n}:80")).collect();
    let mut texts: Vec<_> = texts.iter().map(String::as_str).collect();
    texts.push(UNIX);
    let harness = Harness::new(&texts);
    let statuses = harness.pool.route_statuses(harness.now_ms, SERVER);
    assert_eq!(
        (statuses.len(), statuses[0].route.address.to_string()),
        (pool::MAX_ADDRESSES, UNIX.to_owned())
    );
}

#[test]
fn removed_server_fails_pending_checkouts_and_leaks_nothing() {
    let mut harness = Harness::new(&[V4]);
    let (idle, in_use) = (harness.connect(V4), harness.connect(V4));
    harness.check_in(idle);
    let _ready = harness.check_out();
    let checkout = harness.pending_checkout();
    harness
        .pool
        .remove_server(harness.now_ms, SERVER, &mut harness.actions);
    harness.apply_actions();
    assert_eq!(harness.failed, [(checkout, CheckoutError::NoRoute)]);
    harness.check_in(in_use);
    harness.check_in(idle);
    assert_eq!(harness.pool.open_connections(), 0);
}

#[test]
fn connection_limit_evicts_the_longest_idle_or_fails_checkout() {
    let limits = Limits {
        max_connections: 2,
        ..Limits::default()
    };
    let mut harness = Harness::with_limits(&[V4], limits);
    let other = ServerKey(1);
    harness
        .pool
        .update_routes(harness.now_ms, other, routes(&[V6]), &mut harness.actions);
    let (a, b) = (harness.connect(V4), harness.connect(V4));
    assert_eq!(
        harness
            .pool
            .check_out(harness.now_ms, other, &[], &mut harness.actions),
        Checkout::Failed(CheckoutError::LimitReached)
    );
    harness.check_in(a);
    harness.advance(1.0);
    harness.check_in(b);
    assert!(matches!(
        harness
            .pool
            .check_out(harness.now_ms, other, &[], &mut harness.actions),
        Checkout::Pending(_)
    ));
    harness.apply_actions();
    assert_eq!(harness.closed, [a]);
    assert_eq!(harness.pool.open_connections(), 2);
}

#[test]
fn per_server_limit_counts_all_addresses() {
    let limits = Limits {
        max_connections_per_server: 2,
        ..Limits::default()
    };
    let mut harness = Harness::with_limits(&[V4, V6], limits);
    let (_a, _b) = (harness.connect(V6), harness.connect(V6));
    assert_eq!(
        harness.check_out(),
        Checkout::Failed(CheckoutError::LimitReached)
    );
}

#[test]
fn server_that_warms_up_is_dialed_at_the_slow_start_rate() {
    let limits = Limits {
        slow_start_dials_per_s: 10.0,
        dial_timeout_ms: 10_000.0,
        ..Limits::default()
    };
    let mut harness = Harness::with_limits(&[V4], limits);
    harness
        .pool
        .set_warming_up(SERVER, harness.now_ms + 60_000.0);
    for _ in 0..40 {
        harness.pending_checkout();
    }
    assert_eq!(
        harness.dials.len(),
        8,
        "the burst must be dialed immediately"
    );
    let mut dialed = 8;
    for _ in 0..20 {
        while let Some((_, address)) = harness.dials.first().cloned() {
            harness.finish_dial(&address, true);
        }
        harness.advance(100.0);
        dialed += harness.dials.len();
    }
    assert!(
        (26..=30).contains(&dialed),
        "expected 26 to 30 dials in two seconds, got {dialed}"
    );
}

/// Attempts must not wait at a server until their deadline while another server has capacity.
#[test]
fn checkout_without_a_race_fails_at_the_dial_timeout() {
    let limits = Limits {
        max_races_per_server: 1,
        ..Limits::default()
    };
    let mut harness = Harness::with_limits(&[V4], limits);
    let (first, second) = (harness.pending_checkout(), harness.pending_checkout());
    harness.advance(999.0);
    assert!(
        harness.failed.is_empty(),
        "failed before the timeout: {:?}",
        harness.failed
    );
    harness.advance(2.0);
    assert_eq!(
        harness.failed,
        [
            (first, CheckoutError::Unreachable),
            (second, CheckoutError::LimitReached)
        ]
    );
}

/// The log must not grow with each dial to an address that is down.
#[test]
fn route_is_reported_down_once_and_up_once() {
    let mut harness = Harness::new(&[V4]);
    for is_connected in [false, false, false, true, true, false] {
        harness.pending_checkout();
        harness.finish_dial(V4, is_connected);
        harness.advance(100_000.0);
    }
    let [down, up] = ["down", "up"].map(|state| format!("{state} {V4}"));
    assert_eq!(harness.route_reports, [down.clone(), up, down]);
}

#[test]
fn empty_list_fails_pending_checkouts_and_closes_connections() {
    let mut harness = Harness::new(&[V4, V6]);
    let (idle, in_use) = (harness.connect(V6), harness.connect(V6));
    harness.check_in(idle);
    assert_eq!(harness.check_out(), Checkout::Ready(idle));
    let checkout = harness.pending_checkout();
    harness.check_in(in_use);
    let unserved = harness.pending_checkout();
    harness.update(&[]);
    assert_eq!(harness.failed, [(unserved, CheckoutError::Unreachable)]);
    assert_eq!(harness.granted.last(), Some(&(checkout, in_use)));
    assert_eq!(
        harness.check_out(),
        Checkout::Failed(CheckoutError::NoRoute)
    );
    harness.check_in(idle);
    assert!(
        harness.closed.contains(&idle),
        "a connection in use must be closed at check-in"
    );
    // A race without a checkout does not dial new addresses.
    let mut harness = Harness::new(&[V6]);
    let checkout = harness.pending_checkout();
    harness
        .pool
        .cancel(harness.now_ms, checkout, &mut harness.actions);
    harness.apply_actions();
    harness.update(&[V4]);
    assert!(
        harness.dials.is_empty(),
        "dialed without a checkout: {:?}",
        harness.dialing()
    );
    assert_eq!(harness.pool.open_connections(), 0);
}

/// Guards against a second exchange on a connection, which could take a late response to the first one for its own.
#[test]
fn connection_that_has_carried_an_exchange_is_never_granted_again() {
    for reason in [
        CloseReason::Finished,
        CloseReason::Broken,
        CloseReason::UnsolicitedBytes,
    ] {
        let mut harness = Harness::new(&[V4]);
        let used = harness.connect(V4);
        let waiting = harness.pending_checkout();
        harness.close(used, reason);
        assert!(
            harness.granted.is_empty(),
            "{reason:?}: {:?}",
            harness.granted
        );
        harness.finish_dial(V4, true);
        let (checkout, connection) = harness.granted[0];
        assert_eq!(checkout, waiting);
        assert_ne!(connection, used);
        harness.close(connection, reason);
        assert!(matches!(harness.check_out(), Checkout::Pending(_)));
        assert_eq!(harness.pool.idle_count(SERVER), 0);
    }
}

#[test]
fn unsolicited_bytes_on_an_idle_connection_count_against_its_address() {
    let mut harness = Harness::new(&[V4, V6]);
    let first = harness.connect(V6);
    harness.check_in(first);
    harness.close(first, CloseReason::UnsolicitedBytes);
    assert_eq!(harness.pool.idle_count(SERVER), 0);
    harness.pending_checkout();
    assert_eq!(harness.dialing(), [V4], "the other address is dialed first");
}

#[test]
fn burst_of_closes_keeps_the_idle_timeout_and_leaks_nothing() {
    let limits = Limits {
        max_connections: 4_000,
        max_connections_per_server: 4_000,
        max_races_per_server: 4_000,
        ..Limits::default()
    };
    let mut harness = Harness::with_limits(&[V4], limits);
    let all: Vec<_> = (0..3_000).map(|_| harness.connect(V4)).collect();
    for connection in &all {
        harness.check_in(*connection);
    }
    harness.advance(2_000.0);
    let ended = all
        .into_iter()
        .map(|connection| (connection, CloseReason::ByPeer))
        .collect();
    harness
        .pool
        .idle_closed(harness.now_ms, &ended, &mut harness.actions);
    assert_eq!(
        (
            harness.pool.idle_count(SERVER),
            harness.pool.open_connections()
        ),
        (0, 0)
    );
    assert_eq!(
        harness.pool.route_statuses(harness.now_ms, SERVER)[0].failures,
        0,
        "closes by the peer must not count as failures"
    );
    let connection = harness.connect(V4);
    harness.check_in(connection);
    harness.advance(10_000.0);
    assert_eq!(harness.check_out(), Checkout::Ready(connection));
}

#[test]
fn idle_connections_are_closed_before_the_server_closes_them() {
    let mut harness = Harness::new(&[V4]);
    let connection = harness.connect(V4);
    harness.check_in(connection);
    harness.advance(10_000.0);
    harness.close(connection, CloseReason::ByPeer);
    let connection = harness.connect(V4);
    harness.check_in(connection);
    harness.advance(9_000.0);
    harness
        .pool
        .close_expired(harness.now_ms, &mut harness.actions);
    harness.apply_actions();
    assert_eq!(harness.closed, [connection]);
}

#[test]
fn rising_load_dials_one_connection_ahead_if_enabled() {
    for is_enabled in [false, true] {
        let mut harness = Harness::with_limits(
            &[V4],
            Limits {
                dial_ahead: is_enabled,
                ..Limits::default()
            },
        );
        for _ in 0..6 {
            harness.pending_checkout();
        }
        assert_eq!(harness.dials.len(), if is_enabled { 7 } else { 6 });
    }
}
