//! Failure scenarios in virtual time, one kind of fault in each.

mod hostile_input;
mod links;
mod partitions;
mod pauses;
mod restarts;

use gossip::State;
use testkit::nodes::VirtualCluster;

/// Maximum time in which all nodes detect a kill.
const DETECTION_MS: f64 = 5_000.0;
/// Maximum time in which all nodes agree after a partition has healed.
const CONVERGENCE_MS: f64 = 5_000.0;
/// Maximum time in which all nodes agree after a node has resumed or restarted.
const REFUTATION_MS: f64 = 3_000.0;
/// The default of [`gossip::Settings::suspicion_timeout_ms`].
const SUSPICION_TIMEOUT_MS: f64 = 2_500.0;

fn assert_none_declared_dead(cluster: &VirtualCluster, since_ms: f64) {
    let deaths = cluster.deaths_since(since_ms);
    assert!(
        deaths.is_empty(),
        "unexpected deaths with seed {}: {deaths:?}",
        cluster.seed
    );
}

/// Runs until a node is dead in the views of all other running nodes, and returns the elapsed time
/// in milliseconds.
fn run_until_dead_to_all(cluster: &mut VirtualCluster, node: usize, within_ms: f64) -> f64 {
    let start_ms = cluster.simulation.now_ms();
    let others: Vec<_> = (0..cluster.names.len())
        .filter(|viewer| *viewer != node && cluster.simulation.is_up(*viewer))
        .collect();
    while !others
        .iter()
        .all(|viewer| cluster.state(*viewer, node) == Some(State::Dead))
    {
        cluster.run(50.0);
        let elapsed_ms = cluster.simulation.now_ms() - start_ms;
        let states: Vec<_> = others
            .iter()
            .map(|viewer| cluster.state(*viewer, node))
            .collect();
        assert!(
            elapsed_ms < within_ms,
            "seed {}: n{node} is {states:?} in the other views after {elapsed_ms} ms",
            cluster.seed
        );
    }
    cluster.simulation.now_ms() - start_ms
}
