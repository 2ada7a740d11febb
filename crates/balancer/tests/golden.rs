//! Golden test of determinism: the same settings, seed and events give the recorded actions.
//!
//! The actions are rendered by this file, not by `Debug`, so that a renamed type does not change a
//! digest. A different digest means that a decision, or the order or number of random draws, changed.

mod common;
use common::{digest, recorded_log_text};

use std::fmt::Write as _;

use balancer::{
    Action, AttemptResult, Availability, Balancer, Class, DiscoveryMode, Event, Idempotency,
    KeyScope, LoadReport, Outcome, ReportSource, Request, RequestId, RetryBudget, ServerEntry,
    ServerId, ServerListUpdate, Settings,
};

/// Appends one line for each action, with every field.
fn render(now: f64, actions: &[Action], out: &mut String) {
    for action in actions {
        let written = match action {
            Action::Send { request, server } => {
                writeln!(out, "{now} send {} {}", request.0, server.0)
            }
            Action::HealthCheck { server } => writeln!(out, "{now} probe {}", server.0),
            Action::CloseIdle { server } => writeln!(out, "{now} close {}", server.0),
            Action::Cancel { request, attempt } => {
                writeln!(out, "{now} cancel {} {attempt}", request.0)
            }
            Action::Reject {
                request,
                retry_after_ms,
            } => {
                writeln!(out, "{now} reject {} {retry_after_ms:?}", request.0)
            }
            Action::Fail { request } => writeln!(out, "{now} fail {}", request.0),
            Action::Subscribe => writeln!(out, "{now} subscribe"),
            Action::SetTimer { timer, after_ms } => {
                writeln!(out, "{now} timer {timer} {after_ms:?}")
            }
            Action::Log(event) => writeln!(out, "{now} log {}", recorded_log_text(*event)),
        };
        written.expect("writing to a string cannot fail");
    }
}

/// A scheduled event.
enum Pending {
    Attempt {
        request: u64,
        attempt: usize,
        sent_at: f64,
        attempt_result: AttemptResult,
    },
    Timer(u64),
    HealthCheck(usize),
}

struct Script {
    random: fastrand::Rng,
    balancer: Balancer,
    now: f64,
    pending: Vec<(f64, Pending)>,
    attempts: std::collections::BTreeMap<u64, usize>,
    text: String,
}

const FAILURES: [AttemptResult; 9] = [
    AttemptResult::Error,
    AttemptResult::Overloaded,
    AttemptResult::TimedOut,
    AttemptResult::Unreachable,
    AttemptResult::Reset,
    AttemptResult::Malformed,
    AttemptResult::ClientError,
    AttemptResult::Cancelled,
    AttemptResult::NotSent,
];

impl Script {
    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        render(self.now, &actions, &mut self.text);
        for action in actions {
            self.follow(&action);
        }
    }

    /// Schedules the event that an action leads to.
    fn follow(&mut self, action: &Action) {
        match *action {
            Action::Send { request, .. } => {
                let attempt = self.attempts.entry(request.0).or_default();
                let planned = Pending::Attempt {
                    request: request.0,
                    attempt: *attempt,
                    sent_at: self.now,
                    attempt_result: FAILURES
                        .get(self.random.usize(0..40))
                        .copied()
                        .unwrap_or(AttemptResult::Served),
                };
                *attempt += 1;
                let duration_ms = 15.0 + self.random.f64().powi(3) * 500.0;
                self.pending.push((self.now + duration_ms, planned));
            }
            Action::SetTimer { timer, after_ms } => {
                self.pending
                    .push((self.now + after_ms, Pending::Timer(timer)));
            }
            Action::HealthCheck { server } => {
                let duration_ms = self.random.f64() * 9.0;
                self.pending
                    .push((self.now + duration_ms, Pending::HealthCheck(server.0)));
            }
            Action::Cancel { request, attempt } => {
                let cancelled = self.pending.iter_mut().find(|(_, pending)| {
                    matches!(pending, Pending::Attempt { request: r, attempt: a, .. }
                        if *r == request.0 && *a == attempt)
                });
                if let Some((at, Pending::Attempt { attempt_result, .. })) = cancelled {
                    (*at, *attempt_result) = (self.now, AttemptResult::Cancelled);
                }
            }
            _ => {}
        }
    }

    fn report(&mut self) -> Option<LoadReport> {
        let value = self.random.usize(0..7) as f64;
        match self.random.usize(0..4) {
            0 => None,
            1 => Some(LoadReport {
                in_flight: None,
                queued: Some(value),
            }),
            _ => Some(LoadReport {
                in_flight: Some(value),
                queued: None,
            }),
        }
    }

    /// Delivers the events that are due up to `until`, in order of time.
    fn run_until(&mut self, until: f64) {
        loop {
            let next = (0..self.pending.len())
                .min_by(|a, b| self.pending[*a].0.total_cmp(&self.pending[*b].0));
            let Some(next) = next.filter(|next| self.pending[*next].0 <= until) else {
                break;
            };
            let (at, pending) = self.pending.remove(next);
            self.now = self.now.max(at);
            match pending {
                Pending::Timer(timer) => self.feed(Event::Timer(timer)),
                Pending::HealthCheck(server) => {
                    let report = self.report();
                    let attempt_result = if self.random.usize(0..9) == 0 {
                        AttemptResult::TimedOut
                    } else {
                        AttemptResult::Served
                    };
                    let elapsed_ms = self.random.f64() * 5.0;
                    self.feed(Event::HealthChecked {
                        server: ServerId(server),
                        elapsed_ms,
                        result: attempt_result,
                        report,
                    });
                }
                Pending::Attempt {
                    request,
                    attempt,
                    sent_at,
                    attempt_result,
                } => {
                    if attempt_result == AttemptResult::Served && self.random.usize(0..5) == 0 {
                        self.feed(Event::StreamStarted {
                            request: RequestId(request),
                            attempt,
                        });
                    }
                    let report = self.report();
                    self.feed(Event::Outcome(Outcome {
                        request: RequestId(request),
                        attempt,
                        elapsed_ms: self.now - sent_at,
                        result: attempt_result,
                        complete: matches!(
                            attempt_result,
                            AttemptResult::Served | AttemptResult::ClientError
                        ),
                        report,
                    }));
                }
            }
        }
        self.now = until;
    }

    /// Changes one server, and sends the change, the whole list or a failure to fetch it.
    fn change_list(&mut self, entries: &mut [ServerEntry]) {
        let changed = self.random.usize(0..entries.len());
        let entry = &mut entries[changed];
        entry.availability = [
            Availability::Ready,
            Availability::Ready,
            Availability::Draining,
            Availability::Gone,
        ][self.random.usize(0..4)];
        if self.random.bool() {
            entry.started_at_ms = Some(self.now);
        }
        let update = match self.random.usize(0..6) {
            0 => ServerListUpdate::Full(entries.to_vec()),
            1 => ServerListUpdate::Cached(entries[1..].to_vec()),
            2 | 3 => ServerListUpdate::Failed,
            _ => ServerListUpdate::Changes(vec![entries[changed].clone()]),
        };
        self.feed(Event::ServerList(update));
    }

    fn step(&mut self, id: u64, gap_ms: f64, classes: usize, entries: &mut [ServerEntry]) {
        let until = self.now + self.random.f64() * 2.0 * gap_ms;
        self.run_until(until);
        if self.random.usize(0..25) == 0 {
            self.change_list(entries);
        }
        if self.random.usize(0..30) == 0 {
            let server = ServerId(self.random.usize(0..entries.len()));
            let weight = [0.0, 0.3, 1.0][self.random.usize(0..3)];
            self.feed(Event::Hint { server, weight });
        }
        if id > 4 && self.random.usize(0..20) == 0 {
            let disconnected = id - 1 - self.random.u64(0..4);
            self.feed(Event::ClientGone(RequestId(disconnected)));
        }
        let class = self.random.usize(0..classes);
        let mut request = Request::new(RequestId(id), class, 150.0 + self.random.f64() * 2_000.0);
        request.tenant = self.random.usize(0..2);
        request.key = self
            .random
            .bool()
            .then(|| format!("key-{}", self.random.usize(0..6)).into());
        self.feed(Event::Request(request));
    }
}

fn classes() -> Vec<Class> {
    let keyed = |scope| Idempotency::IdempotencyKey {
        scope,
        window_ms: 1_500.0,
    };
    let mut classes = vec![
        Class::new(200.0, 600.0, Idempotency::Idempotent),
        Class::new(400.0, 1_200.0, keyed(KeyScope::All)),
        Class::new(400.0, 1_200.0, keyed(KeyScope::Zone)),
        Class::new(900.0, 2_400.0, keyed(KeyScope::Cell)),
        Class::new(300.0, 900.0, Idempotency::NonIdempotent),
    ];
    classes[0].priority_weight = 3.0;
    classes[3].priority_weight = 0.4;
    classes[2].ordered_by_key = true;
    classes[4].ordered_by_key = true;
    classes
}

fn settings() -> Settings {
    let mut settings = Settings::new(classes());
    (
        settings.nodes,
        settings.node_index,
        settings.zone,
        settings.machine_kinds,
    ) = (4, 1, 1, 2);
    (settings.slow_start_fraction, settings.slow_start_ms) = (0.35, 4_000.0);
    settings.key_cooldown_ms = 60.0;
    settings
}

/// Plays a script of 700 requests. Returns the digest of the rendered actions and their number of lines.
fn play(settings: Settings, seed: u64, servers: usize, gap_ms: f64) -> (u64, usize) {
    let classes = settings.classes.len();
    let mut script = Script {
        random: fastrand::Rng::with_seed(seed ^ 0x5eed),
        balancer: Balancer::new(settings, seed).expect("the settings are in range"),
        now: 1_000.0,
        pending: Vec::new(),
        attempts: std::collections::BTreeMap::new(),
        text: String::new(),
    };
    let mut entries: Vec<ServerEntry> = (0..servers)
        .map(|i| ServerEntry {
            ring_position: digest(&format!("s-{i}")),
            cell: i / 3,
            zone: i % 3,
            machine_kind: i % 2,
            ..ServerEntry::new(ServerId(i), Availability::Ready)
        })
        .collect();
    script.feed(Event::ServerList(ServerListUpdate::Cached(entries.clone())));
    for id in 0..700 {
        // Every ninth request may be of an unknown class.
        script.step(id, gap_ms, classes + usize::from(id % 9 == 0), &mut entries);
    }
    let end = script.now + 20_000.0;
    script.run_until(end);
    let excluded = script.balancer.servers_excluded(script.now);
    let known = script.balancer.servers_known();
    writeln!(script.text, "{known} known, {excluded} excluded")
        .expect("writing to a string cannot fail");
    (digest(&script.text), script.text.lines().count())
}

#[test]
fn actions_of_a_seeded_script_are_as_recorded() {
    let plain = settings();
    let subscribed = Settings {
        discovery: DiscoveryMode::Subscribe,
        tenant_quotas_per_s: vec![100.0, 50.0],
        retry_budget: Some(RetryBudget {
            min_retries: 3.0,
            retries_per_request: 0.1,
            window_ms: 2_000.0,
        }),
        ..settings()
    };
    let polling = Settings {
        health_checks: true,
        report_source: ReportSource::HealthCheck,
        ..settings()
    };
    let polling_in_large_cluster = Settings {
        nodes: 300,
        max_attempts: 5,
        ..polling.clone()
    };
    let without_cancel = Settings {
        cancel: false,
        report_source: ReportSource::Off,
        ..settings()
    };
    let large_cluster = Settings {
        nodes: 300,
        node_index: 17,
        ..settings()
    };
    let played = [
        play(plain.clone(), 1, 3, 10.0),
        play(plain.clone(), 2, 12, 4.0),
        play(plain, 3, 40, 60.0),
        play(subscribed, 4, 8, 8.0),
        play(polling.clone(), 5, 6, 6.0),
        play(polling, 6, 70, 20.0),
        play(polling_in_large_cluster, 7, 200, 60.0),
        play(without_cancel, 8, 10, 3.0),
        play(large_cluster.clone(), 9, 200, 60.0),
        play(large_cluster, 10, 100, 8.0),
    ];
    assert_eq!(played, RECORDED, "{played:#x?}");
}

/// Digest and number of lines of each script, recorded before the decisions were split into modules.
const RECORDED: [(u64, usize); 10] = [
    (0xeda9_f5ec_0c07_ace5, 753),
    (0x3fdb_1eee_397a_2c19, 884),
    (0xda47_7dc1_dca5_713c, 823),
    (0xc241_83f0_d430_dd0d, 854),
    (0x11ae_a920_3e49_1f17, 2_883),
    (0x13bd_45a2_7a61_ae5e, 5_750),
    (0x7a6d_b1c9_1ee2_db26, 5_874),
    (0x115b_d258_1274_0623, 858),
    (0xced7_ea8c_b394_7d36, 835),
    (0x3909_3cfe_c0eb_3bcc, 910),
];
