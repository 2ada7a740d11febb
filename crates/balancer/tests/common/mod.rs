//! Helpers of the tests: short ways to build events, and to feed a balancer.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use balancer::*;

/// A balancer and the time of its next event, in milliseconds.
pub struct Node {
    pub balancer: Balancer,
    pub now: f64,
}

impl Node {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            balancer: Balancer::new(settings, seed).expect("valid settings"),
            now: 1_000.0,
        }
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn servers(&mut self, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.feed(Event::ServerList(ServerListUpdate::Full(entries)))
    }

    pub fn request(&mut self, id: u64, class: usize, timeout_ms: f64) -> Vec<Action> {
        self.feed(Event::Request(Request::new(
            RequestId(id),
            class,
            timeout_ms,
        )))
    }

    /// The server that a request is sent to; it must be sent.
    pub fn sent_to(&mut self, id: u64) -> usize {
        let actions = self.request(id, 0, 80_000.0);
        sent_server(&actions).unwrap_or_else(|| panic!("request {id} was not sent: {actions:?}"))
    }

    pub fn end(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        result: AttemptResult,
    ) -> Vec<Action> {
        self.report(id, attempt, elapsed_ms, result, None)
    }

    pub fn report(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        result: AttemptResult,
        held: Option<f64>,
    ) -> Vec<Action> {
        self.feed(Event::Outcome(Outcome {
            request: RequestId(id),
            attempt,
            elapsed_ms,
            result,
            complete: result == AttemptResult::Served,
            report: held.map(|n| LoadReport {
                in_flight: Some(n),
                queued: None,
            }),
        }))
    }
}

pub fn ready_servers(servers: std::ops::Range<usize>) -> Vec<ServerEntry> {
    servers
        .map(|i| ServerEntry::new(ServerId(i), Availability::Ready))
        .collect()
}

pub fn sent_server(actions: &[Action]) -> Option<usize> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(server.0),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

pub fn one_class(idempotency: Idempotency) -> Settings {
    Settings::new(vec![Class::new(400.0, 800.0, idempotency)])
}

/// Settings whose latency objective is so distant that nothing is shed.
pub fn settings_with_distant_objective() -> Settings {
    Settings::new(vec![Class::new(
        40_000.0,
        80_000.0,
        Idempotency::Idempotent,
    )])
}

pub fn node_of_many(me: usize) -> Node {
    let idempotency = Idempotency::IdempotencyKey {
        scope: KeyScope::Cell,
        window_ms: 6_000.0,
    };
    let mut settings = one_class(Idempotency::Idempotent);
    settings.classes = vec![
        Class::new(300.0, 750.0, Idempotency::Idempotent),
        Class::new(500.0, 1_500.0, Idempotency::Idempotent),
        Class::new(1_200.0, 6_000.0, idempotency),
    ];
    (settings.nodes, settings.node_index) = (300, me);
    (settings.slow_start_fraction, settings.slow_start_ms) = (0.35, 8_000.0);
    (settings.collapse_multiple, settings.collapse_after_ms) = (3.0, 1_500.0);
    let mut node = Node::new(settings, me as u64);
    node.servers(ready_servers(0..180));
    node
}

/// Sends requests of the node's classes in turn, each answered after its class's time. Returns the servers that
/// they were sent to, and how many were rejected.
pub fn serve_in_turn(
    node: &mut Node,
    ids: std::ops::Range<u64>,
    took: [f64; 3],
) -> (Vec<usize>, usize) {
    let (mut sent, mut rejections) = (Vec::new(), 0);
    for id in ids {
        node.now += 60.0;
        let class = (id % 3) as usize;
        let actions = node.request(id, class, 700.0);
        rejections += usize::from(is_rejected(&actions));
        if let Some(server) = sent_server(&actions) {
            sent.push(server);
            node.now += 1.0;
            node.end(id, 0, took[class], AttemptResult::Served);
        }
    }
    (sent, rejections)
}

/// Settings under which servers are polled for their load before each send.
pub fn polling_settings(idempotency: Idempotency) -> Settings {
    let mut settings = one_class(idempotency);
    (settings.health_checks, settings.report_source) = (true, ReportSource::HealthCheck);
    settings
}

/// Expires the timer of one kind that was set for a request, at its time.
pub fn expire_timer(node: &mut Node, actions: &[Action], kind: u64) -> Vec<Action> {
    let due = actions.iter().find_map(|a| match a {
        Action::SetTimer { timer, after_ms } if timer & 7 == kind => Some((*timer, *after_ms)),
        _ => None,
    });
    let (timer, after_ms) = due.expect("a timer of that kind");
    node.now += after_ms;
    node.feed(Event::Timer(timer))
}

/// FNV-1a of 64 bits, with its bits mixed once more.
pub fn digest(text: &str) -> u64 {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The log's text at the time of the recording.
pub fn recorded_log_text(event: LogEvent) -> String {
    match event {
        LogEvent::ServerListUnavailable => "the list of servers does not come".to_owned(),
        LogEvent::ServerListAvailable => "the list of servers comes again".to_owned(),
        LogEvent::ServerEjected(server) => format!("server {} is taken out", server.0),
        LogEvent::ServerRecovered(server) => format!("server {} is back", server.0),
    }
}
