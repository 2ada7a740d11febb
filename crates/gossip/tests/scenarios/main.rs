//! Failure scenarios, each by itself, in virtual time.

mod hostile_input;
mod links;
mod partitions;
mod pauses;
mod restarts;

use gossip::State;
use testkit::nodes::Fleet;

/// Within this time all nodes detect a kill.
const DETECTION_MS: f64 = 5_000.0;
/// Within this time all nodes agree after a partition has healed.
const CONVERGENCE_MS: f64 = 5_000.0;
/// Within this time a resumed node has refuted its death.
const REFUTATION_MS: f64 = 3_000.0;
/// The default of the settings.
const SUSPICION_TIMEOUT_MS: f64 = 2_500.0;

fn assert_none_declared_dead(fleet: &Fleet, since_ms: f64) {
    let gone = fleet.gone_since(since_ms);
    assert!(gone.is_empty(), "seed {}: {gone:?}", fleet.seed);
}

/// Runs until all other nodes have declared a node dead, and returns how long it took.
fn run_until_dead_to_all(fleet: &mut Fleet, node: usize, within_ms: f64) -> f64 {
    let start = fleet.world.now_ms();
    let others: Vec<_> = (0..fleet.names.len())
        .filter(|of| *of != node && fleet.world.is_up(*of))
        .collect();
    while !others
        .iter()
        .all(|of| fleet.state(*of, node) == Some(State::Dead))
    {
        fleet.run(50.0);
        let passed = fleet.world.now_ms() - start;
        let holds: Vec<_> = others.iter().map(|of| fleet.state(*of, node)).collect();
        assert!(
            passed < within_ms,
            "seed {}: n{node} is {holds:?} after {passed} ms",
            fleet.seed
        );
    }
    fleet.world.now_ms() - start
}
