//! Generated scripts that are checked against the platform's rules, with changing server lists, results
//! of every kind and clients that disconnect.

mod common;
use common::*;

#[path = "common/checker.rs"]
mod checker;
use checker::Checker;

use balancer::*;

const REQUESTS: u64 = 1_500;
const SERVERS: usize = 10;

/// An attempt without a result so far.
struct InFlight {
    ends_at: f64,
    request: u64,
    attempt: usize,
    result: AttemptResult,
}

struct PendingTimer {
    at: f64,
    timer: u64,
}

struct PendingHealthCheck {
    at: f64,
    server: usize,
}

fn generated_settings(seed: u64, random: &mut fastrand::Rng) -> Settings {
    let scopes = [KeyScope::All, KeyScope::Zone, KeyScope::Cell];
    let keyed = Idempotency::IdempotencyKey {
        scope: scopes[seed as usize % 3],
        window_ms: 500.0,
    };
    let mut settings = Settings::new(vec![
        Class::new(200.0, 600.0, Idempotency::Idempotent),
        Class::new(400.0, 900.0, keyed),
        Class::new(600.0, 2_000.0, Idempotency::NonIdempotent),
    ]);
    settings.nodes = 1 + random.usize(..4);
    settings.health_checks = random.bool();
    settings.key_cooldown_ms = [0.0, 100.0][random.usize(..2)];
    settings.classes[0].ordered_by_key = random.bool();
    settings.classes[2].ordered_by_key = random.bool();
    if random.bool() {
        settings.retry_budget = Some(RetryBudget {
            min_retries: random.usize(..4) as f64,
            retries_per_request: random.f64() * 0.2,
            window_ms: 2_000.0,
        });
    }
    settings.machine_kinds = 2;
    settings.cancel = random.bool();
    settings.max_attempts = 1 + random.usize(..5);
    (settings.slow_start_fraction, settings.slow_start_ms) = (0.3, 5_000.0);
    if random.bool() {
        settings.discovery = DiscoveryMode::Subscribe;
    }
    settings
}

struct Script {
    random: fastrand::Rng,
    checker: Checker,
    node: Node,
    in_flight: Vec<InFlight>,
    timers: Vec<PendingTimer>,
    health_checks: Vec<PendingHealthCheck>,
    sends: usize,
}

impl Script {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let settings = generated_settings(seed, &mut random);
        Self {
            random,
            checker: Checker::new(settings.clone()),
            node: Node::new(settings, seed),
            in_flight: Vec::new(),
            timers: Vec::new(),
            health_checks: Vec::new(),
            sends: 0,
        }
    }

    /// Feeds the events that are due and one request, and checks and follows the resulting actions.
    fn step(&mut self, id: u64) {
        self.node.now += self.random.f64() * 20.0;
        let mut events = Vec::new();
        if self.random.u32(..30) == 0 || id == 0 {
            events.push(self.server_list());
        }
        if self.random.u32(..60) == 0 {
            events.push(Event::ServerList(ServerListUpdate::Failed));
        }
        self.due_outcomes(&mut events);
        self.due_timers(&mut events);
        self.due_health_checks(&mut events);
        if self.random.u32(..40) == 0 && id > 20 {
            let disconnected = id - 1 - self.random.u64(..20);
            events.push(Event::ClientGone(RequestId(disconnected)));
        }
        events.push(self.request(id));
        for mut event in events {
            self.checker.observe(self.node.now, &mut event);
            for action in self.node.feed(event) {
                self.checker.check(self.node.now, &action);
                self.follow(&action);
            }
        }
        self.checker.check_deadlines(self.node.now);
    }

    fn server_list(&mut self) -> Event {
        let states = [
            Availability::Ready,
            Availability::Draining,
            Availability::Gone,
        ];
        let mut entries = Vec::new();
        for i in 0..SERVERS {
            if self.random.u32(..5) == 0 {
                continue;
            }
            let starts = self.random.u32(..4) == 0;
            let state = states[self.random.usize(..5).saturating_sub(2)];
            entries.push(ServerEntry {
                started_at_ms: starts.then_some(self.node.now - 1_000.0),
                cell: i / 3,
                zone: i % 3,
                machine_kind: i % 3,
                ..ServerEntry::new(ServerId(i), state)
            });
        }
        let complete = self.random.bool();
        self.checker.list(self.node.now, &entries, complete);
        Event::ServerList(if complete {
            ServerListUpdate::Full(entries)
        } else {
            ServerListUpdate::Changes(entries)
        })
    }

    fn due_outcomes(&mut self, events: &mut Vec<Event>) {
        let now = self.node.now;
        self.in_flight
            .sort_by(|a, b| a.ends_at.total_cmp(&b.ends_at));
        while self.in_flight.first().is_some_and(|o| o.ends_at <= now) {
            let ended = self.in_flight.remove(0);
            let attempt = &self.checker.requests[&ended.request].attempts[ended.attempt];
            events.push(Event::Outcome(Outcome {
                request: RequestId(ended.request),
                attempt: ended.attempt,
                elapsed_ms: now - attempt.sent_at,
                result: ended.result,
                complete: ended.result == AttemptResult::Served,
                report: self.random.bool().then(|| LoadReport {
                    in_flight: Some(self.random.f64() * 9.0),
                    queued: None,
                }),
            }));
        }
    }

    fn due_timers(&mut self, events: &mut Vec<Event>) {
        let now = self.node.now;
        let (due, later) = std::mem::take(&mut self.timers)
            .into_iter()
            .partition(|timer| timer.at <= now);
        self.timers = later;
        let due: Vec<PendingTimer> = due;
        events.extend(due.into_iter().map(|timer| Event::Timer(timer.timer)));
    }

    fn due_health_checks(&mut self, events: &mut Vec<Event>) {
        let now = self.node.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.health_checks)
            .into_iter()
            .partition(|check| check.at <= now);
        self.health_checks = later;
        for check in due {
            let served = self.random.u32(..8) > 0;
            let in_flight = (self.random.f64() * 4.0).floor();
            events.push(Event::HealthChecked {
                server: ServerId(check.server),
                elapsed_ms: 1.0,
                result: if served {
                    AttemptResult::Served
                } else {
                    AttemptResult::TimedOut
                },
                report: served.then_some(LoadReport {
                    in_flight: Some(in_flight),
                    queued: None,
                }),
            });
        }
    }

    fn request(&mut self, id: u64) -> Event {
        let class = self.random.usize(..3);
        let deadline_ms = self.checker.settings.classes[class].deadline_ms;
        let timeout_ms = deadline_ms * (0.3 + 0.7 * self.random.f64());
        let has_key = self.random.u32(..4) > 0;
        let key = has_key.then(|| format!("k{}", self.random.u32(..12)).into());
        let request = Request {
            key,
            ..Request::new(RequestId(id), class, timeout_ms)
        };
        self.checker.accept(self.node.now, &request);
        Event::Request(request)
    }

    /// Schedules the events that an action leads to.
    fn follow(&mut self, action: &Action) {
        let now = self.node.now;
        match *action {
            Action::Send { request, .. } => self.plan_outcome(request.0),
            Action::SetTimer { timer, after_ms } => self.timers.push(PendingTimer {
                at: now + after_ms,
                timer,
            }),
            Action::HealthCheck { server } => self.health_checks.push(PendingHealthCheck {
                at: now + self.random.f64() * 12.0,
                server: server.0,
            }),
            Action::Cancel { request, attempt } => {
                let mut in_flight = self.in_flight.iter_mut();
                let cancelled = in_flight.find(|o| o.request == request.0 && o.attempt == attempt);
                if let Some(cancelled) = cancelled {
                    (cancelled.ends_at, cancelled.result) = (now, AttemptResult::Cancelled);
                }
            }
            _ => {}
        }
    }

    fn plan_outcome(&mut self, request: u64) {
        self.sends += 1;
        let failures = [
            AttemptResult::Error,
            AttemptResult::Overloaded,
            AttemptResult::Unreachable,
            AttemptResult::Reset,
            AttemptResult::TimedOut,
            AttemptResult::NotSent,
        ];
        let served = self.random.u32(..3) > 0;
        let result = if served {
            AttemptResult::Served
        } else {
            failures[self.random.usize(..6)]
        };
        let ends_at = self.node.now + self.random.f64() * self.random.f64() * 900.0;
        let tracked = &self.checker.requests[&request];
        let in_time = ends_at <= tracked.deadline;
        self.in_flight.push(InFlight {
            ends_at: if in_time { ends_at } else { tracked.deadline },
            request,
            attempt: tracked.attempts.len() - 1,
            result: if in_time {
                result
            } else {
                AttemptResult::TimedOut
            },
        });
    }
}

/// Runs a script and returns the number of attempts that it led to.
fn run_generated_script(seed: u64) -> usize {
    let mut script = Script::new(seed);
    for id in 0..REQUESTS {
        script.step(id);
    }
    script.sends
}

#[test]
fn generated_scripts_break_no_rule() {
    let sends: usize = (0..60).map(run_generated_script).sum();
    assert!(
        sends > 20_000,
        "the scripts led to {sends} attempts, too few to cover the rules"
    );
}
