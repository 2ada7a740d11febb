//! The pool against a model, in virtual time, over seeded sequences of everything that can happen.

#![allow(
    clippy::too_many_lines,
    reason = "this file is still to be rewritten: docs/ROADMAP.md, Readability"
)]

use std::collections::{BTreeMap, BTreeSet};

use pool::{
    Action, Closed, ConnId, DialId, Limits, Pool, Route, RouteId, ServerKey, Taken, Ticket,
};
use proptest::prelude::*;

const SERVERS: usize = 3;
const TEXTS: [&str; 4] = [
    "10.0.0.1:80",
    "[2001:db8::1]:80",
    "unix:/run/a",
    "10.0.0.2:80",
];
const MOST_OPEN: usize = 12;
const DIAL_MS: f64 = 1_000.0;

#[derive(Default)]
struct Model {
    dials: BTreeSet<DialId>,
    idle: BTreeSet<ConnId>,
    used: BTreeMap<ConnId, usize>,
    waiting: BTreeMap<Ticket, (usize, Vec<RouteId>)>,
    /// What was granted in the last step, and what it was to avoid.
    granted: Vec<(ConnId, Vec<RouteId>)>,
    wake_at: Option<f64>,
}

impl Model {
    fn note(&mut self, now: f64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Down { .. } | Action::Up { .. } => {}
                Action::Dial { dial, .. } => assert!(self.dials.insert(dial), "dialled twice"),
                Action::Abort { dial } => assert!(self.dials.remove(&dial), "nothing to abort"),
                Action::Grant { ticket, conn } => {
                    let (server, avoid) = self.waiting.remove(&ticket).expect("somebody waits");
                    self.granted.push((conn, avoid));
                    self.idle.remove(&conn);
                    assert!(
                        self.used.insert(conn, server).is_none(),
                        "a connection in two hands"
                    );
                }
                Action::Keep { conn } => assert!(self.idle.insert(conn)),
                Action::Fail { ticket, .. } => {
                    assert!(self.waiting.remove(&ticket).is_some(), "nobody waits");
                }
                Action::Close { conn } => {
                    assert!(
                        self.idle.remove(&conn) || self.used.remove(&conn).is_some(),
                        "closed twice"
                    );
                }
                Action::WakeAt(at) => {
                    assert!(at.is_finite() && at >= now);
                    self.wake_at = Some(at);
                }
            }
        }
    }
}

fn list(bits: u8) -> Vec<Route> {
    let listed = TEXTS
        .iter()
        .enumerate()
        .filter(|(at, _)| bits >> at & 1 == 1);
    listed
        .map(|(_, text)| Route::new(text.parse().expect("an address")))
        .collect()
}

fn play(seed: u64, steps: usize) {
    let mut random = fastrand::Rng::with_seed(seed);
    let limits = Limits {
        most_open: MOST_OPEN,
        most_per_server: 6,
        most_dials: 3,
        dial_timeout_ms: DIAL_MS,
        idle_ms: 5_000.0,
        cold_dials_per_s: 20.0,
        ahead: random.bool(),
    };
    let (mut pool, mut model, mut now) = (Pool::new(limits), Model::default(), 1_000.0);
    let mut there = [0_u8; SERVERS];
    for _ in 0..steps {
        let mut actions = Vec::new();
        let at = random.usize(..SERVERS);
        let server = ServerKey(at);
        match random.u8(..24) {
            0..=7 => {
                let used = model.used.keys().copied().filter(|_| random.u8(..4) == 0);
                let avoid: Vec<_> = used.filter_map(|conn| pool.route_of(conn)).collect();
                match pool.take(now, server, &avoid, &mut actions) {
                    Taken::Now(conn) => {
                        assert!(model.idle.remove(&conn), "not idle");
                        assert!(!avoid.contains(&pool.route_of(conn).expect("in use")));
                        if random.u8(..8) == 0 {
                            let how = if random.bool() {
                                Closed::ByPeer
                            } else {
                                Closed::Odd
                            };
                            pool.stale(now, conn, how, random.f64() * 5_000.0, &mut actions);
                        } else {
                            assert!(
                                model.used.insert(conn, at).is_none(),
                                "a connection in two hands"
                            );
                        }
                    }
                    Taken::Later(ticket) => drop(model.waiting.insert(ticket, (at, avoid))),
                    Taken::Never(_) => {}
                }
            }
            8..=12 => {
                if let Some(dial) = random.choice(model.dials.iter().copied()) {
                    model.dials.remove(&dial);
                    pool.dialled(now, dial, random.u8(..4) > 0, &mut actions);
                }
            }
            13..=16 => {
                if let Some(conn) = random.choice(model.used.keys().copied()) {
                    model.used.remove(&conn);
                    model.idle.insert(conn);
                    pool.give_back(now, conn, &mut actions);
                }
            }
            17 => {
                if let Some(conn) = random.choice(model.used.keys().copied()) {
                    model.used.remove(&conn);
                    let how = [Closed::Odd, Closed::Broken, Closed::Spent][random.usize(..3)];
                    pool.closed(now, conn, how, &mut actions);
                }
            }
            18 => {
                if let Some(conn) = random.choice(model.idle.iter().copied()) {
                    model.idle.remove(&conn);
                    pool.ended(now, &[(conn, Closed::ByPeer)].into(), &mut actions);
                }
            }
            19 => {
                if let Some(ticket) = random.choice(model.waiting.keys().copied()) {
                    model.waiting.remove(&ticket);
                    pool.cancel(now, ticket, &mut actions);
                }
            }
            20 => {
                there[at] = random.u8(..16);
                pool.update(now, server, list(there[at]), &mut actions);
                pool.set_cold(server, now + random.f64() * 500.0);
            }
            21 if random.u8(..4) == 0 => pool.forget(now, server, &mut actions),
            22 => pool.sweep(now, &mut actions),
            _ => now += random.f64() * 60.0,
        }
        model.note(now, actions);
        while let Some(due) = model.wake_at.filter(|at| *at <= now) {
            model.wake_at = None;
            let mut actions = Vec::new();
            pool.due(due.max(now), &mut actions);
            model.note(now, actions);
        }
        for (conn, avoid) in model.granted.drain(..) {
            let route = pool.route_of(conn);
            assert!(
                route.is_none_or(|route| !avoid.contains(&route)),
                "granted by an address to avoid"
            );
        }
        let open = model.dials.len() + model.idle.len() + model.used.len();
        assert_eq!(pool.open(), open, "descriptors leak");
        assert!(open <= MOST_OPEN, "beyond the bound");
        let idle: BTreeSet<_> = pool.all_idle().collect();
        assert_eq!(idle, model.idle);
        for (ticket, (at, _)) in &model.waiting {
            let is_racing = !model.dials.is_empty() || model.wake_at.is_some();
            assert!(is_racing, "{ticket:?} of server {at} waits for nothing");
        }
    }
    // Everyone who waits is served or fails, whatever becomes of the dials.
    let mut rounds = 0;
    while !model.waiting.is_empty() {
        rounds += 1;
        assert!(rounds < 10_000, "somebody waits for ever");
        now = model
            .wake_at
            .take()
            .expect("a time is asked for while somebody waits")
            .max(now);
        let mut actions = Vec::new();
        pool.due(now, &mut actions);
        model.note(now, actions);
    }
    for conn in std::mem::take(&mut model.used).into_keys() {
        let mut actions = Vec::new();
        pool.closed(now, conn, Closed::Spent, &mut actions);
        model.note(now, actions);
    }
    for at in 0..SERVERS {
        let mut actions = Vec::new();
        pool.forget(now, ServerKey(at), &mut actions);
        model.note(now, actions);
    }
    assert_eq!(
        (pool.open(), model.dials.len(), model.idle.len()),
        (0, 0, 0),
        "nothing is left"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_connection_is_in_two_hands_and_none_leaks(seed: u64) {
        play(seed, 400);
    }
}

/// An idle connection that has rested is never passed over for a wait.
#[test]
fn nobody_waits_while_a_connection_stands_idle() {
    let mut random = fastrand::Rng::with_seed(9);
    let mut pool = Pool::new(Limits::default());
    let (server, mut used, mut dials) = (ServerKey(0), Vec::new(), Vec::new());
    let mut actions = Vec::new();
    pool.update(0.0, server, list(3), &mut actions);
    for step in 0..10_000 {
        let now = f64::from(step);
        let idle = pool.idle(server);
        if random.bool() {
            match pool.take(now, server, &[], &mut actions) {
                Taken::Now(conn) => used.push(conn),
                _ => assert_eq!(idle, 0, "it waits beside an idle connection"),
            }
        } else if !used.is_empty() {
            pool.give_back(
                now,
                used.swap_remove(random.usize(..used.len())),
                &mut actions,
            );
        }
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Dial { dial, .. } => dials.push(dial),
                Action::Abort { dial } => dials.retain(|out| *out != dial),
                Action::Grant { conn, .. } => used.push(conn),
                _ => {}
            }
        }
        if let Some(dial) = dials.pop().filter(|_| random.bool()) {
            pool.dialled(now, dial, true, &mut actions);
            for action in std::mem::take(&mut actions) {
                if let Action::Grant { conn, .. } = action {
                    used.push(conn);
                }
            }
        }
    }
}
