//! Simulation of leases in virtual time: random faults in this file, specific and injected faults
//! in its modules.

mod faults;
mod injected_faults;
mod reconfiguration;
mod transfer;

use lease::{InjectedFault, Shard};
use simulation::Fault;
use testkit::lease_simulation::{run_trial, SimulatedFleet, SHARDS};

#[test]
fn random_faults_never_cause_two_owners_and_shards_recover() {
    let (mut acquired, mut rejected) = (0, 0);
    for seed in 0..300 {
        let outcome =
            run_trial(seed, InjectedFault::None).unwrap_or_else(|error| panic!("{error}"));
        acquired += outcome.acquired;
        rejected += outcome.rejected_effects;
    }
    assert!(
        acquired > 4_000 && rejected > 100,
        "expected over 4000 acquisitions and 100 rejected effects, got {acquired} and {rejected}"
    );
}

/// Cuts the links between two nodes, in both directions.
fn partition(fleet: &mut SimulatedFleet, one: usize, other: usize) {
    fleet.apply(&Fault::Cut {
        from: one,
        to: other,
    });
    fleet.apply(&Fault::Cut {
        from: other,
        to: one,
    });
}

/// Cuts all links of a node, in both directions.
fn isolate(fleet: &mut SimulatedFleet, node: usize) {
    (0..fleet.clocks.len())
        .filter(|other| *other != node)
        .for_each(|other| partition(fleet, node, other));
}

/// A fleet of seven nodes with three acceptors, the owner of one of its shards, which is not an
/// acceptor, and that shard.
fn owned_by_non_acceptor(
    seed: u64,
    injected_fault: InjectedFault,
) -> (SimulatedFleet, usize, Shard) {
    for seed in seed * 1_000.. {
        let fleet = SimulatedFleet::started(seed, 7, 3, injected_fault);
        let found = (0..SHARDS).find_map(|shard| Some((fleet.owner[usize::from(shard)]?, shard)));
        if let Some((owner, shard)) = found.filter(|(owner, _)| *owner >= 3) {
            return (fleet, owner, shard);
        }
    }
    unreachable!("some seed has a shard whose owner is not an acceptor")
}
