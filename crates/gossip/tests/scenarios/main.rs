//! Failure scenarios, each by itself, in virtual time.

mod hostile_input;
mod links;
mod partitions;
mod pauses;
mod restarts;

use gossip::State;
use testkit::nodes::VirtualCluster;

/// Within this time all nodes detect a kill.
const DETECTION_MS: f64 = 5_000.0;
/// Within this time all nodes agree after a partition has healed.
const CONVERGENCE_MS: f64 = 5_000.0;
/// Within this time a resumed node has refuted its death.
const REFUTATION_MS: f64 = 3_000.0;
/// The default of the settings.
const SUSPICION_TIMEOUT_MS: f64 = 2_500.0;

fn assert_none_declared_dead(cluster: &VirtualCluster, since_ms: f64) {
    let deaths = cluster.deaths_since(since_ms);
    assert!(deaths.is_empty(), "seed {}: {deaths:?}", cluster.seed);
}

/// Runs until all other nodes have declared a node dead, and returns how long it took.
fn run_until_dead_to_all(cluster: &mut VirtualCluster, node: usize, within_ms: f64) -> f64 {
    let start = cluster.simulation.now_ms();
    let others: Vec<_> = (0..cluster.names.len())
        .filter(|of| *of != node && cluster.simulation.is_up(*of))
        .collect();
    while !others
        .iter()
        .all(|of| cluster.state(*of, node) == Some(State::Dead))
    {
        cluster.run(50.0);
        let passed = cluster.simulation.now_ms() - start;
        let holds: Vec<_> = others.iter().map(|of| cluster.state(*of, node)).collect();
        assert!(
            passed < within_ms,
            "seed {}: n{node} is {holds:?} after {passed} ms",
            cluster.seed
        );
    }
    cluster.simulation.now_ms() - start
}
