//! Outlier detection among many nodes in virtual time: which servers are ejected, which reports are rejected, and how a
//! server recovers.

use fastrand::Rng;
use outlier_detection::{
    Action, Event, FailureKind, NodeKey, OutlierDetector, ServerKey, Settings, MAX_REPORT_BYTES,
};

const SERVERS: u64 = 20;

fn key(server: u64) -> ServerKey {
    ServerKey(server * 7 + 1)
}

/// Nodes that receive each other's reports within a step of 100 ms. Each selects servers at random, in proportion to
/// their weights.
struct Cluster {
    nodes: Vec<OutlierDetector>,
    rng: Rng,
    now_ms: f64,
    /// Weight of each server on each node, indexed by node and server.
    weights: Vec<Vec<f64>>,
    /// Number of attempts at each server.
    attempts: Vec<u64>,
    lying_node: Option<LyingNode>,
}

/// A node that records a failed attempt at each of these servers in every step, so that it reports them as failing.
struct LyingNode {
    node: usize,
    servers: Vec<u64>,
}

impl Cluster {
    fn new(nodes: usize, seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let keys: Vec<_> = (0..SERVERS).map(key).collect();
        let node = |_| {
            let mut detector =
                OutlierDetector::new(0.0, Settings::default(), rng.f64()).expect("valid settings");
            detector.handle(0.0, Event::ServersChanged(&keys), &mut Vec::new());
            detector.handle(0.0, Event::ClusterSize(nodes), &mut Vec::new());
            detector
        };
        let detectors = (0..nodes).map(node).collect();
        let weights = vec![vec![1.0; SERVERS as usize]; nodes];
        Self {
            nodes: detectors,
            rng,
            now_ms: 0.0,
            weights,
            attempts: vec![0; SERVERS as usize],
            lying_node: None,
        }
    }

    /// Runs for a time in which each node makes `attempts_per_s` attempts per second on average. `failure` returns how
    /// an attempt of a node at a server fails, or `None` if it succeeds.
    fn run(
        &mut self,
        ms: f64,
        attempts_per_s: f64,
        mut failure: impl FnMut(usize, u64) -> Option<FailureKind>,
    ) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += 100.0;
            let mut reports = Vec::new();
            for node in 0..self.nodes.len() {
                let mut actions = Vec::new();
                if self.rng.f64() < attempts_per_s / 10.0 {
                    let server = self.choose(node);
                    self.attempts[server as usize] += 1;
                    let event = Event::AttemptEnded {
                        server: key(server),
                        failure: failure(node, server),
                    };
                    self.nodes[node].handle(self.now_ms, event, &mut actions);
                }
                if let Some(lying) = self.lying_node.as_ref().filter(|lying| lying.node == node) {
                    for server in &lying.servers {
                        let event = Event::AttemptEnded {
                            server: key(*server),
                            failure: Some(FailureKind::ErrorResponse),
                        };
                        self.nodes[node].handle(self.now_ms, event, &mut actions);
                    }
                }
                self.nodes[node].handle(self.now_ms, Event::TimerFired, &mut actions);
                self.execute(node, actions, &mut reports);
            }
            for (from, bytes) in reports {
                for node in (0..self.nodes.len()).filter(|node| *node != from) {
                    let mut actions = Vec::new();
                    let event = Event::ReportReceived {
                        from: NodeKey(from as u64),
                        bytes: &bytes,
                    };
                    self.nodes[node].handle(self.now_ms, event, &mut actions);
                    self.execute(node, actions, &mut Vec::new());
                }
            }
        }
    }

    fn choose(&mut self, node: usize) -> u64 {
        loop {
            let server = self.rng.u64(..SERVERS);
            if self.rng.f64() < self.weights[node][server as usize] {
                return server;
            }
        }
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>, reports: &mut Vec<(usize, Vec<u8>)>) {
        for action in actions {
            match action {
                Action::Broadcast(bytes) => {
                    assert!(
                        bytes.len() <= MAX_REPORT_BYTES,
                        "a report has at most {MAX_REPORT_BYTES} bytes, not {}",
                        bytes.len()
                    );
                    reports.push((node, bytes));
                }
                Action::SetWeight { server, weight } => {
                    self.weights[node][(server.0 / 7) as usize] = weight;
                }
                Action::WakeAt(_) => {}
            }
        }
    }

    /// Number of nodes on which a server has a weight below 0.1.
    fn ejecting_nodes(&self, server: u64) -> usize {
        self.weights
            .iter()
            .filter(|weights| weights[server as usize] < 0.1)
            .count()
    }

    fn no_server_is_ejected(&self) -> bool {
        (0..SERVERS).all(|server| self.ejecting_nodes(server) == 0)
    }
}

#[test]
fn failing_server_is_ejected_in_seconds_and_recovers_gradually() {
    for (nodes, attempts_per_s) in [(5, 10.0), (30, 2.0), (300, 0.3)] {
        let mut cluster = Cluster::new(nodes, 1);
        cluster.run(10_000.0, attempts_per_s, |_, _| None);
        assert!(
            cluster.no_server_is_ejected(),
            "{nodes} nodes: no server should be ejected without failures"
        );
        // Three nodes whose attempts fail are enough; earlier successes are not evidence against their reports.
        let detection_ms = 2_000.0 + 3_000.0 * SERVERS as f64 / (nodes as f64 * attempts_per_s);
        cluster.run(detection_ms, attempts_per_s, |_, server| {
            (server == 3).then_some(FailureKind::ErrorResponse)
        });
        assert!(
            cluster.ejecting_nodes(3) * 10 >= nodes * 9,
            "{nodes} nodes: at least 90 % of them should eject the failing server, but {} did",
            cluster.ejecting_nodes(3)
        );
        let before = cluster.attempts[3];
        cluster.run(20_000.0, attempts_per_s, |_, server| {
            (server == 3).then_some(FailureKind::ErrorResponse)
        });
        let attempts = cluster.attempts[3] - before;
        let usual_attempts = nodes as f64 * attempts_per_s * 20.0 / SERVERS as f64;
        assert!(
            (attempts as f64) < usual_attempts / 5.0,
            "{nodes} nodes: an ejected server should get under a fifth of {usual_attempts:.0} attempts, not {attempts}"
        );
        assert_gradual_recovery(&mut cluster, attempts_per_s);
    }
}

/// Asserts that server 3, whose attempts succeed from now on, recovers gradually: in each second it gets at most 6
/// attempts more than three times its usual number, its mean weight at most doubles, plus 0.02,
/// and after 90 s that exceeds 0.95.
fn assert_gradual_recovery(cluster: &mut Cluster, attempts_per_s: f64) {
    let nodes = cluster.nodes.len();
    let usual_attempts = nodes as f64 * attempts_per_s / SERVERS as f64;
    let mut weight = mean_weight(cluster);
    for _ in 0..90 {
        let before = cluster.attempts[3];
        cluster.run(1_000.0, attempts_per_s, |_, _| None);
        let attempts = (cluster.attempts[3] - before) as f64;
        assert!(
            attempts <= 3.0 * usual_attempts + 6.0,
            "{nodes} nodes: the server should get at most 3 * {usual_attempts} + 6 attempts in 1 s, not {attempts}"
        );
        let next = mean_weight(cluster);
        assert!(
            next <= 2.0 * weight + 0.02,
            "{nodes} nodes: mean weight should rise gradually, not from {weight} to {next} in 1 s"
        );
        weight = next;
    }
    assert!(
        weight > 0.95,
        "{nodes} nodes: mean weight after 90 s should exceed 0.95, not be {weight}"
    );
}

/// The weight of server 3, averaged over all nodes.
fn mean_weight(cluster: &Cluster) -> f64 {
    cluster
        .weights
        .iter()
        .map(|weights| weights[3])
        .sum::<f64>()
        / cluster.weights.len() as f64
}

/// An encoded report. Each entry is a server with its failed and succeeded attempts, in quarters of an attempt.
fn report(tried: u16, entries: &[(u64, u8, u8)]) -> Vec<u8> {
    let mut bytes = vec![0x80];
    bytes.extend(tried.to_le_bytes());
    for (server, failed, succeeded) in entries {
        bytes.extend(key(*server).0.to_le_bytes());
        bytes.extend([*failed, *succeeded, FailureKind::ErrorResponse as u8, 0]);
    }
    bytes
}

/// The detector of a node in a cluster of twelve that has received these reports, each from a different node.
fn detector_with_reports(reports: &[Vec<u8>]) -> OutlierDetector {
    let keys: Vec<_> = (0..SERVERS).map(key).collect();
    let mut detector = OutlierDetector::new(0.0, Settings::default(), 0.5).expect("valid settings");
    detector.handle(0.0, Event::ServersChanged(&keys), &mut Vec::new());
    detector.handle(0.0, Event::ClusterSize(12), &mut Vec::new());
    for (node, bytes) in reports.iter().enumerate() {
        let from = NodeKey(node as u64);
        detector.handle(1.0, Event::ReportReceived { from, bytes }, &mut Vec::new());
    }
    detector.handle(1_001.0, Event::TimerFired, &mut Vec::new());
    detector
}

fn outliers(detector: &OutlierDetector) -> usize {
    detector
        .reported_servers()
        .filter(|reported| reported.weight < 1.0)
        .count()
}

/// Three reporters with very many failures do not outweigh seven with successes: each reporter counts for no more than
/// a few attempts.
#[test]
fn reporter_with_many_failures_counts_like_others() {
    let succeeding = report(20, &[(3, 0, 8)]);
    let failing = report(20, &[(3, 8, 0)]);
    let many_failures = report(20, &[(3, 255, 0)]);
    assert_eq!(outliers(&detector_with_reports(&vec![failing; 3])), 1);
    let reports = [vec![succeeding; 7], vec![many_failures; 3]].concat();
    let detector = detector_with_reports(&reports);
    let reporters = detector.reported_servers().map(|server| server.reporters);
    assert_eq!((outliers(&detector), reporters.max()), (0, Some(3)));
}

/// A success before the first report of failures is not evidence against that report; a later one is.
#[test]
fn success_before_the_first_failure_report_does_not_count() {
    let failing = report(20, &[(3, 8, 0)]);
    let succeeding = |tenths: u8| {
        let mut bytes = report(20, &[(3, 0, 8)]);
        *bytes.last_mut().expect("a report is not empty") = tenths;
        bytes
    };
    for (tenths, expected) in [(200, 1), (0, 0)] {
        let reports = [vec![succeeding(tenths); 7], vec![failing.clone(); 3]].concat();
        let detector = detector_with_reports(&reports);
        assert_eq!(
            outliers(&detector),
            expected,
            "last success {tenths} tenths of a second ago"
        );
    }
}

/// A node that reports two of the five servers that it tried as failing is likely at fault itself.
#[test]
fn report_of_too_many_failing_servers_is_rejected() {
    let report = report(5, &[(3, 8, 0), (4, 8, 0), (5, 0, 8)]);
    let detector = detector_with_reports(&vec![report; 4]);
    let counters = detector.counters();
    assert_eq!(outliers(&detector), 0);
    assert_eq!(
        (counters.implausible_reports, counters.reports_accepted),
        (4, 0)
    );
}

/// A node that receives reports of three other nodes about server 3, one interval after the other.
struct Receiver {
    detector: OutlierDetector,
    now_ms: f64,
}

impl Receiver {
    fn new() -> Self {
        Self {
            detector: detector_with_reports(&[]),
            now_ms: 1_001.0,
        }
    }

    /// Runs an interval in which each of the three nodes reports these failed and succeeded attempts, in quarters of an
    /// attempt, or nothing. Returns the weight at its end.
    fn interval(&mut self, reported: Option<(u8, u8)>) -> f64 {
        self.now_ms += 1_000.0;
        if let Some((failed, succeeded)) = reported {
            let bytes = &report(20, &[(3, failed, succeeded)]);
            for from in (0..3).map(NodeKey) {
                let event = Event::ReportReceived { from, bytes };
                self.detector.handle(self.now_ms, event, &mut Vec::new());
            }
        }
        self.detector
            .handle(self.now_ms, Event::TimerFired, &mut Vec::new());
        let mut reported = self.detector.reported_servers();
        reported.next().map_or(1.0, |server| server.weight)
    }

    /// Runs an interval in which the server fails, and 100 in which it succeeds. Returns the index of the interval in
    /// which its weight begins to rise, and of that in which it has its full weight again.
    fn relapse(&mut self) -> (usize, usize) {
        let reduced_weight = self.interval(Some((8, 0)));
        assert!(
            reduced_weight <= 0.05,
            "a failing server should have a weight of at most 0.05, not {reduced_weight}"
        );
        let weights: Vec<_> = std::iter::from_fn(|| Some(self.interval(Some((0, 8)))))
            .take(100)
            .collect();
        let first = |is_reached: &dyn Fn(f64) -> bool| {
            weights
                .iter()
                .position(|weight| is_reached(*weight))
                .expect("the weight rises to 1 within 100 intervals")
        };
        (
            first(&|weight| weight > reduced_weight),
            first(&|weight| weight >= 1.0),
        )
    }
}

#[test]
fn ejection_of_relapsing_server_lengthens_until_history_expires() {
    let mut receiver = Receiver::new();
    let relapses = [(); 5].map(|()| receiver.relapse());
    let ejected = relapses.map(|(ejected, _)| ejected);
    assert!(
        ejected.windows(2).all(|pair| pair[1] >= 2 * pair[0] - 1),
        "each ejection should last about twice as many intervals as the previous one: {ejected:?}"
    );
    assert!(
        ejected[0] <= 2 && ejected[4] >= 24,
        "the first ejection should last 2 intervals at most, the fifth 24 at least: {ejected:?}"
    );
    assert!(
        relapses
            .iter()
            .all(|(ejected, full_weight)| full_weight - ejected >= 5),
        "the weight should take at least 5 intervals to rise: {relapses:?}"
    );
    for _ in 0..130 {
        receiver.interval(Some((0, 8)));
    }
    assert!(
        receiver.relapse().0 <= 2,
        "earlier ejections should not count after 130 intervals"
    );
}

/// Without attempts there is no evidence of a server's recovery, so its weight rises without it, but slowly.
#[test]
fn server_without_reports_recovers_slowly() {
    let mut receiver = Receiver::new();
    let reduced_weight = receiver.interval(Some((8, 0)));
    let weights: Vec<_> = (0..100).map(|_| receiver.interval(None)).collect();
    assert!(
        weights[..8].iter().all(|weight| *weight == reduced_weight),
        "the weight should not rise within 8 intervals: {weights:?}"
    );
    let increases = weights.windows(2).filter(|pair| pair[1] > pair[0]).count();
    assert!(
        (5..=10).contains(&increases) && weights[99] > reduced_weight,
        "the weight should rise in 5 to 10 intervals, not {increases}: {weights:?}"
    );
    // While as many attempts fail as succeed, the weight does not rise.
    let mut receiver = Receiver::new();
    receiver.interval(Some((8, 0)));
    let weights: Vec<_> = (0..40).map(|_| receiver.interval(Some((3, 3)))).collect();
    assert!(
        weights.iter().all(|weight| *weight <= reduced_weight),
        "the weight should not rise while half of the attempts fail: {weights:?}"
    );
}

/// A balancer stops using a server after its first failure. That single failure has to count for more than the many
/// successes before it.
#[test]
fn first_failure_after_many_successes_is_reported_as_failing() {
    let keys: Vec<_> = (0..SERVERS).map(key).collect();
    let report_of_first_failure = |_| {
        let mut detector =
            OutlierDetector::new(0.0, Settings::default(), 0.5).expect("valid settings");
        detector.handle(0.0, Event::ServersChanged(&keys), &mut Vec::new());
        let attempt_ended = |failure| Event::AttemptEnded {
            server: key(3),
            failure,
        };
        for _ in 0..50 {
            detector.handle(1.0, attempt_ended(None), &mut Vec::new());
        }
        let mut actions = Vec::new();
        let failure = Some(FailureKind::ErrorResponse);
        detector.handle(2.0, attempt_ended(failure), &mut actions);
        let report = actions.into_iter().find_map(|action| match action {
            Action::Broadcast(bytes) => Some(bytes),
            _ => None,
        });
        report.expect("the first failure is reported at once")
    };
    let reports = [0, 1, 2].map(report_of_first_failure);
    assert_eq!(outliers(&detector_with_reports(&reports)), 1);
}

#[test]
fn node_partitioned_from_half_of_the_servers_ejects_none() {
    for partitioned in [1, 3] {
        let mut cluster = Cluster::new(30, 2);
        cluster.run(40_000.0, 5.0, |node, server| {
            (node < partitioned && server % 2 == 0).then_some(FailureKind::Unreachable)
        });
        assert!(
            cluster.no_server_is_ejected(),
            "no node should eject a server while {partitioned} of 30 nodes are partitioned"
        );
        assert!(
            cluster.nodes[0].counters().implausible_reports > 10,
            "a partitioned node should withhold its implausible reports"
        );
    }
}

#[test]
fn single_lying_node_ejects_no_server() {
    for servers in [vec![4], vec![4, 5, 6], (0..SERVERS).collect::<Vec<_>>()] {
        let mut cluster = Cluster::new(30, 3);
        cluster.lying_node = Some(LyingNode {
            node: 7,
            servers: servers.clone(),
        });
        cluster.run(40_000.0, 5.0, |_, _| None);
        let ejections: usize = (0..SERVERS)
            .map(|server| cluster.ejecting_nodes(server))
            .sum();
        assert_eq!(
            ejections, 0,
            "no node should eject a server while one node falsely reports {servers:?}"
        );
    }
}

/// The successes of the other nodes are evidence against the reports of those that fail.
#[test]
fn failures_of_a_third_of_the_nodes_eject_no_server() {
    let mut cluster = Cluster::new(30, 4);
    cluster.run(40_000.0, 5.0, |node, server| {
        (server == 3 && node % 3 == 0).then_some(FailureKind::TimedOut)
    });
    assert!(
        cluster.ejecting_nodes(3) < 3,
        "fewer than 3 nodes should eject the server, not {}",
        cluster.ejecting_nodes(3)
    );
}

#[test]
fn more_failing_servers_than_allowed_are_not_ejected() {
    let mut cluster = Cluster::new(30, 5);
    cluster.run(40_000.0, 5.0, |_, server| {
        (server < 12).then_some(FailureKind::ErrorResponse)
    });
    assert!(
        cluster.no_server_is_ejected(),
        "no server should be ejected while 12 of {SERVERS} fail"
    );
}

/// A server that is replaced under the same name is another incarnation: reports about the previous one do not apply to
/// it.
#[test]
fn reports_about_a_previous_incarnation_are_ignored() {
    let mut cluster = Cluster::new(5, 6);
    cluster.run(20_000.0, 10.0, |_, server| {
        (server == 3).then_some(FailureKind::ErrorResponse)
    });
    assert!(
        cluster.ejecting_nodes(3) >= 4,
        "at least 4 nodes should eject the failing server, not {}",
        cluster.ejecting_nodes(3)
    );
    let mut keys: Vec<_> = (0..SERVERS).map(key).collect();
    keys[3] = ServerKey(1_000_003);
    let node = &mut cluster.nodes[0];
    node.handle(
        cluster.now_ms,
        Event::ServersChanged(&keys),
        &mut Vec::new(),
    );
    assert_eq!(
        node.reported_servers().count(),
        0,
        "no report should apply to the new incarnation"
    );
    // Other nodes go on reporting the previous incarnation.
    let before = node.counters().unknown;
    cluster.run(60_000.0, 10.0, |node, server| {
        (node > 0 && server == 3).then_some(FailureKind::ErrorResponse)
    });
    let node = &cluster.nodes[0];
    assert!(
        node.counters().unknown > before && node.reported_servers().count() == 0,
        "reports about the previous incarnation should count as unknown"
    );
}

/// A node that is restarted ten times in a minute keeps its name, so it remains one reporter.
#[test]
fn restarted_reporter_counts_as_one() {
    let mut cluster = Cluster::new(12, 7);
    let keys: Vec<_> = (0..SERVERS).map(key).collect();
    for _ in 0..10 {
        cluster.run(6_000.0, 5.0, |node, server| {
            (node == 0 && server == 3).then_some(FailureKind::ErrorResponse)
        });
        let mut restarted =
            OutlierDetector::new(cluster.now_ms, Settings::default(), 0.5).expect("valid settings");
        restarted.handle(
            cluster.now_ms,
            Event::ServersChanged(&keys),
            &mut Vec::new(),
        );
        cluster.nodes[0] = restarted;
        assert!(
            cluster.no_server_is_ejected(),
            "one reporter should not eject a server"
        );
    }
}
