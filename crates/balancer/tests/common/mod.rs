//! Test helpers that build events and feed them to a balancer.
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
            balancer: Balancer::new(settings, seed).expect("the settings are in range"),
            now: 1_000.0,
        }
    }

    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn set_servers(&mut self, entries: Vec<ServerEntry>) -> Vec<Action> {
        self.feed(Event::ServerList(ServerListUpdate::Full(entries)))
    }

    pub fn request(&mut self, id: u64, class: usize, timeout_ms: f64) -> Vec<Action> {
        self.feed(Event::Request(Request::new(
            RequestId(id),
            class,
            timeout_ms,
        )))
    }

    /// Feeds a request that must be sent at once, and returns the server that it is sent to.
    pub fn dispatch(&mut self, id: u64) -> usize {
        let actions = self.request(id, 0, 80_000.0);
        sent_server(&actions).unwrap_or_else(|| panic!("request {id} was not sent: {actions:?}"))
    }

    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        result: AttemptResult,
    ) -> Vec<Action> {
        self.end_attempt_with_report(id, attempt, elapsed_ms, result, None)
    }

    pub fn end_attempt_with_report(
        &mut self,
        id: u64,
        attempt: usize,
        elapsed_ms: f64,
        result: AttemptResult,
        in_flight: Option<f64>,
    ) -> Vec<Action> {
        self.feed(Event::Outcome(Outcome {
            request: RequestId(id),
            attempt,
            elapsed_ms,
            result,
            complete: result == AttemptResult::Served,
            report: in_flight.map(|n| LoadReport {
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

pub fn settings_with_one_class(idempotency: Idempotency) -> Settings {
    Settings::new(vec![Class::new(400.0, 800.0, idempotency)])
}

/// Settings whose latency objective is so long that nothing is shed.
pub fn settings_with_long_objective() -> Settings {
    Settings::new(vec![Class::new(
        40_000.0,
        80_000.0,
        Idempotency::Idempotent,
    )])
}

/// One of 300 nodes that share 180 servers, with slow start and three classes.
pub fn node_of_large_cluster(node_index: usize) -> Node {
    let idempotency = Idempotency::IdempotencyKey {
        scope: KeyScope::Cell,
        window_ms: 6_000.0,
    };
    let mut settings = settings_with_one_class(Idempotency::Idempotent);
    settings.classes = vec![
        Class::new(300.0, 750.0, Idempotency::Idempotent),
        Class::new(500.0, 1_500.0, Idempotency::Idempotent),
        Class::new(1_200.0, 6_000.0, idempotency),
    ];
    (settings.nodes, settings.node_index) = (300, node_index);
    (settings.slow_start_fraction, settings.slow_start_ms) = (0.35, 8_000.0);
    (settings.collapse_multiple, settings.collapse_after_ms) = (3.0, 1_500.0);
    let mut node = Node::new(settings, node_index as u64);
    node.set_servers(ready_servers(0..180));
    node
}

/// Feeds requests of the node's classes in rotation, each answered with the latency of its class. Returns the
/// servers that they were sent to, and the number of rejections.
pub fn serve_requests(
    node: &mut Node,
    ids: std::ops::Range<u64>,
    latencies_ms: [f64; 3],
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
            node.end_attempt(id, 0, latencies_ms[class], AttemptResult::Served);
        }
    }
    (sent, rejections)
}

/// Settings under which servers are polled for their load before each send.
pub fn settings_with_polling(idempotency: Idempotency) -> Settings {
    let mut settings = settings_with_one_class(idempotency);
    (settings.health_checks, settings.report_source) = (true, ReportSource::HealthCheck);
    settings
}

/// Advances the time to the expiry of the timer of one kind that `actions` set, and feeds the expiry.
pub fn expire_timer(node: &mut Node, actions: &[Action], kind: u64) -> Vec<Action> {
    let set_timer = actions.iter().find_map(|a| match a {
        Action::SetTimer { timer, after_ms } if timer & 7 == kind => Some((*timer, *after_ms)),
        _ => None,
    });
    let (timer, after_ms) = set_timer.expect("the actions set a timer of this kind");
    node.now += after_ms;
    node.feed(Event::Timer(timer))
}

/// The 64-bit FNV-1a hash with an additional mixing step.
pub fn digest(text: &str) -> u64 {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

/// The text of a log event when the digests were recorded; it stays although the log line was reworded.
pub fn recorded_log_text(event: LogEvent) -> String {
    match event {
        LogEvent::ServerListUnavailable => "the list of servers does not come".to_owned(),
        LogEvent::ServerListAvailable => "the list of servers comes again".to_owned(),
        LogEvent::ServerEjected(server) => format!("server {} is taken out", server.0),
        LogEvent::ServerRecovered(server) => format!("server {} is back", server.0),
    }
}
