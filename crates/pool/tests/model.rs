//! Property tests of the pool against a model, in virtual time, over seeded sequences of all events.

use std::collections::{BTreeMap, BTreeSet};

use pool::{
    Action, Checkout, CheckoutId, CloseReason, ConnectionId, DialId, Limits, Pool, Route, RouteId,
    ServerKey,
};
use proptest::prelude::*;

const SERVERS: usize = 3;
const ADDRESSES: [&str; 4] = [
    "10.0.0.1:80",
    "[2001:db8::1]:80",
    "unix:/run/a",
    "10.0.0.2:80",
];
const MAX_CONNECTIONS: usize = 12;
const DIAL_TIMEOUT_MS: f64 = 1_000.0;

/// A checkout that the pool has not answered yet.
struct PendingCheckout {
    server: usize,
    avoid: Vec<RouteId>,
}

/// State of the pool's caller: the outstanding dials, and the connections, each either idle or in use.
#[derive(Default)]
struct Model {
    dials: BTreeSet<DialId>,
    idle: BTreeSet<ConnectionId>,
    in_use: BTreeMap<ConnectionId, usize>,
    pending: BTreeMap<CheckoutId, PendingCheckout>,
    /// Connections that were granted in the last step, with the routes that their checkouts avoid.
    granted: Vec<(ConnectionId, Vec<RouteId>)>,
    wake_at_ms: Option<f64>,
}

impl Model {
    fn apply(&mut self, now_ms: f64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::RouteDown { .. } | Action::RouteUp { .. } => {}
                Action::Dial { dial, .. } => assert!(self.dials.insert(dial), "dial started twice"),
                Action::AbortDial { dial } => {
                    assert!(self.dials.remove(&dial), "{dial:?} is not outstanding");
                }
                Action::Grant {
                    checkout,
                    connection,
                } => self.grant(checkout, connection),
                Action::KeepIdle { connection } => assert!(self.idle.insert(connection)),
                Action::Fail { checkout, .. } => {
                    assert!(
                        self.pending.remove(&checkout).is_some(),
                        "{checkout:?} is not pending"
                    );
                }
                Action::Close { connection } => assert!(
                    self.idle.remove(&connection) || self.in_use.remove(&connection).is_some(),
                    "{connection:?} is not open"
                ),
                Action::WakeAt(at_ms) => {
                    assert!(at_ms.is_finite() && at_ms >= now_ms);
                    self.wake_at_ms = Some(at_ms);
                }
            }
        }
    }

    fn grant(&mut self, checkout: CheckoutId, connection: ConnectionId) {
        let pending = self
            .pending
            .remove(&checkout)
            .expect("a granted checkout is pending");
        self.granted.push((connection, pending.avoid));
        self.idle.remove(&connection);
        self.begin_use(connection, pending.server);
    }

    fn begin_use(&mut self, connection: ConnectionId, server: usize) {
        assert!(
            self.in_use.insert(connection, server).is_none(),
            "{connection:?} was already in use"
        );
    }
}

fn routes(bits: u8) -> Vec<Route> {
    ADDRESSES
        .iter()
        .enumerate()
        .filter(|(index, _)| bits >> index & 1 == 1)
        .map(|(_, text)| Route::new(text.parse().expect("parse a valid address")))
        .collect()
}

/// The pool and its model, driven by a seeded sequence of steps.
struct Run {
    random: fastrand::Rng,
    pool: Pool,
    model: Model,
    now_ms: f64,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let limits = Limits {
            max_connections: MAX_CONNECTIONS,
            max_connections_per_server: 6,
            max_races_per_server: 3,
            dial_timeout_ms: DIAL_TIMEOUT_MS,
            idle_timeout_ms: 5_000.0,
            slow_start_dials_per_s: 20.0,
            dial_ahead: random.bool(),
        };
        Self {
            random,
            pool: Pool::new(limits),
            model: Model::default(),
            now_ms: 1_000.0,
        }
    }

    fn step(&mut self) {
        let mut actions = Vec::new();
        let index = self.random.usize(..SERVERS);
        let server = ServerKey(index);
        match self.random.u8(..24) {
            0..=7 => self.check_out(index, &mut actions),
            8..=12 => self.finish_dial(&mut actions),
            13..=16 => self.check_in(&mut actions),
            17 => self.close_in_use(&mut actions),
            18 => self.close_idle_by_peer(&mut actions),
            19 => self.cancel(&mut actions),
            20 => {
                let bits = self.random.u8(..16);
                self.pool
                    .update_routes(self.now_ms, server, routes(bits), &mut actions);
                let until_ms = self.now_ms + self.random.f64() * 500.0;
                self.pool.set_warming_up(server, until_ms);
            }
            21 if self.random.u8(..4) == 0 => {
                self.pool.remove_server(self.now_ms, server, &mut actions);
            }
            22 => self.pool.close_expired(self.now_ms, &mut actions),
            _ => self.now_ms += self.random.f64() * 60.0,
        }
        self.model.apply(self.now_ms, actions);
        self.handle_due_timers();
    }

    fn check_out(&mut self, index: usize, actions: &mut Vec<Action>) {
        let mut avoid = Vec::new();
        for connection in self.model.in_use.keys() {
            if self.random.u8(..4) == 0 {
                avoid.extend(self.pool.route_of(*connection));
            }
        }
        match self
            .pool
            .check_out(self.now_ms, ServerKey(index), &avoid, actions)
        {
            Checkout::Ready(connection) => {
                assert!(
                    self.model.idle.remove(&connection),
                    "{connection:?} was not idle"
                );
                let route = self
                    .pool
                    .route_of(connection)
                    .expect("a connection in use has a route");
                assert!(!avoid.contains(&route));
                if self.random.u8(..8) == 0 {
                    self.report_stale(connection, actions);
                } else {
                    self.model.begin_use(connection, index);
                }
            }
            Checkout::Pending(checkout) => {
                let pending = PendingCheckout {
                    server: index,
                    avoid,
                };
                self.model.pending.insert(checkout, pending);
            }
            Checkout::Failed(_) => {}
        }
    }

    fn report_stale(&mut self, connection: ConnectionId, actions: &mut Vec<Action>) {
        let reason = if self.random.bool() {
            CloseReason::ByPeer
        } else {
            CloseReason::UnsolicitedBytes
        };
        let idle_ms = self.random.f64() * 5_000.0;
        self.pool
            .found_stale(self.now_ms, connection, reason, idle_ms, actions);
    }

    fn finish_dial(&mut self, actions: &mut Vec<Action>) {
        let Some(dial) = self.random.choice(self.model.dials.iter().copied()) else {
            return;
        };
        self.model.dials.remove(&dial);
        if self.random.u8(..4) > 0 {
            let _is_used = self.pool.dial_succeeded(self.now_ms, dial, actions);
        } else {
            self.pool.dial_failed(self.now_ms, dial, actions);
        }
    }

    fn check_in(&mut self, actions: &mut Vec<Action>) {
        let Some(connection) = self.random.choice(self.model.in_use.keys().copied()) else {
            return;
        };
        self.model.in_use.remove(&connection);
        self.model.idle.insert(connection);
        self.pool.check_in_unused(self.now_ms, connection, actions);
    }

    fn close_in_use(&mut self, actions: &mut Vec<Action>) {
        let Some(connection) = self.random.choice(self.model.in_use.keys().copied()) else {
            return;
        };
        self.model.in_use.remove(&connection);
        let reasons = [
            CloseReason::UnsolicitedBytes,
            CloseReason::Broken,
            CloseReason::Finished,
        ];
        let reason = reasons[self.random.usize(..3)];
        self.pool
            .connection_closed(self.now_ms, connection, reason, actions);
    }

    fn close_idle_by_peer(&mut self, actions: &mut Vec<Action>) {
        let Some(connection) = self.random.choice(self.model.idle.iter().copied()) else {
            return;
        };
        self.model.idle.remove(&connection);
        let closed = [(connection, CloseReason::ByPeer)].into();
        self.pool.idle_closed(self.now_ms, &closed, actions);
    }

    fn cancel(&mut self, actions: &mut Vec<Action>) {
        let Some(checkout) = self.random.choice(self.model.pending.keys().copied()) else {
            return;
        };
        self.model.pending.remove(&checkout);
        self.pool.cancel(self.now_ms, checkout, actions);
    }

    fn handle_due_timers(&mut self) {
        while let Some(due_ms) = self.model.wake_at_ms.filter(|at_ms| *at_ms <= self.now_ms) {
            self.model.wake_at_ms = None;
            let mut actions = Vec::new();
            self.pool
                .handle_timer(due_ms.max(self.now_ms), &mut actions);
            self.model.apply(self.now_ms, actions);
        }
    }

    fn check(&mut self) {
        for (connection, avoid) in self.model.granted.drain(..) {
            let route = self.pool.route_of(connection);
            assert!(
                route.is_none_or(|route| !avoid.contains(&route)),
                "{connection:?} was granted over a route to avoid"
            );
        }
        let open = self.model.dials.len() + self.model.idle.len() + self.model.in_use.len();
        assert_eq!(
            self.pool.open_connections(),
            open,
            "the pool's count of open connections is wrong"
        );
        assert!(
            open <= MAX_CONNECTIONS,
            "{open} connections exceed the limit of {MAX_CONNECTIONS}"
        );
        let idle: BTreeSet<_> = self.pool.idle_connections().collect();
        assert_eq!(idle, self.model.idle);
        for (checkout, pending) in &self.model.pending {
            let has_progress = !self.model.dials.is_empty() || self.model.wake_at_ms.is_some();
            let server = pending.server;
            assert!(
                has_progress,
                "{checkout:?} of server {server} waits without a dial or a timer"
            );
        }
    }

    /// Checks that every pending checkout is granted or fails, even if no dial ever finishes.
    fn finish_pending(&mut self) {
        let mut rounds = 0;
        while !self.model.pending.is_empty() {
            rounds += 1;
            assert!(
                rounds < 10_000,
                "a checkout is still pending after 10,000 timers"
            );
            self.now_ms = self
                .model
                .wake_at_ms
                .take()
                .expect("a timer is set while a checkout waits")
                .max(self.now_ms);
            let mut actions = Vec::new();
            self.pool.handle_timer(self.now_ms, &mut actions);
            self.model.apply(self.now_ms, actions);
        }
    }

    fn close_everything(&mut self) {
        for connection in std::mem::take(&mut self.model.in_use).into_keys() {
            let mut actions = Vec::new();
            self.pool.connection_closed(
                self.now_ms,
                connection,
                CloseReason::Finished,
                &mut actions,
            );
            self.model.apply(self.now_ms, actions);
        }
        for index in 0..SERVERS {
            let mut actions = Vec::new();
            self.pool
                .remove_server(self.now_ms, ServerKey(index), &mut actions);
            self.model.apply(self.now_ms, actions);
        }
        assert_eq!(self.pool.open_connections(), 0, "connections leaked");
        assert!(self.model.dials.is_empty(), "dials were not aborted");
        assert!(
            self.model.idle.is_empty(),
            "idle connections were not closed"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn connection_has_one_user_and_never_leaks(seed: u64) {
        let mut run = Run::new(seed);
        for _ in 0..400 {
            run.step();
            run.check();
        }
        run.finish_pending();
        run.close_everything();
    }
}

/// A checkout must get an idle connection instead of waiting.
#[test]
fn checkout_never_waits_while_a_connection_is_idle() {
    let mut random = fastrand::Rng::with_seed(9);
    let mut pool = Pool::new(Limits::default());
    let (server, mut in_use, mut dials) = (ServerKey(0), Vec::new(), Vec::new());
    let mut actions = Vec::new();
    pool.update_routes(0.0, server, routes(3), &mut actions);
    for step in 0..10_000 {
        let now_ms = f64::from(step);
        let idle = pool.idle_count(server);
        if random.bool() {
            match pool.check_out(now_ms, server, &[], &mut actions) {
                Checkout::Ready(connection) => in_use.push(connection),
                _ => assert_eq!(
                    idle, 0,
                    "a checkout waits while {idle} connections are idle"
                ),
            }
        } else if !in_use.is_empty() {
            let connection = in_use.swap_remove(random.usize(..in_use.len()));
            pool.check_in_unused(now_ms, connection, &mut actions);
        }
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Dial { dial, .. } => dials.push(dial),
                Action::AbortDial { dial } => dials.retain(|outstanding| *outstanding != dial),
                Action::Grant { connection, .. } => in_use.push(connection),
                _ => {}
            }
        }
        if let Some(dial) = dials.pop().filter(|_| random.bool()) {
            let _is_used = pool.dial_succeeded(now_ms, dial, &mut actions);
            for action in std::mem::take(&mut actions) {
                if let Action::Grant { connection, .. } = action {
                    in_use.push(connection);
                }
            }
        }
    }
}
