//! Random fault schedules, generated from seeds, and protocol faults that are injected into the
//! nodes to verify that the checker detects them.

use gossip::InjectedFault;
use simulation::FaultSchedule;
use testkit::nodes::checker::{run_trial, schedule_limits};
use testkit::nodes::VirtualCluster;

/// Number of seeds; they run within a minute. `measure -- members` runs more.
const SEEDS: u64 = 300;

#[test]
fn random_faults_cause_no_false_death_and_views_converge() {
    let mut declared_dead = 0;
    for seed in 0..SEEDS {
        match run_trial(seed, schedule_limits(seed, 16), InjectedFault::None) {
            Ok(trial) => declared_dead += trial.deaths,
            Err(error) => panic!("{error}"),
        }
    }
    assert!(
        declared_dead > 1_000,
        "expected more than 1000 deaths from the faults, got {declared_dead}"
    );
}

fn assert_detected(fault: InjectedFault) {
    let detecting_seed =
        (0..SEEDS).find(|seed| run_trial(*seed, schedule_limits(*seed, 16), fault).is_err());
    assert!(
        detecting_seed.is_some(),
        "none of {SEEDS} seeds detects {fault:?}"
    );
}

#[test]
fn ignored_refutation_is_detected() {
    assert_detected(InjectedFault::RefutationIgnored);
}

#[test]
fn equal_incarnation_accepted_as_later_is_detected() {
    assert_detected(InjectedFault::EqualIncarnationAccepted);
}

/// Six of nine nodes are paused for ten seconds, lose all datagrams that are sent meanwhile, and
/// resume at the same time on lossy links, like the nodes of one suspended machine. Returns how
/// often one of the other three nodes is declared dead.
fn deaths_after_most_resume(seed: u64, fault: InjectedFault) -> usize {
    let mut cluster = VirtualCluster::new(seed, 9);
    cluster.injected_fault = fault;
    cluster.start_all(1_000.0);
    cluster.run(10_000.0);
    let since_ms = cluster.simulation.now_ms();
    (0..6).for_each(|node| cluster.simulation.pause(node, 10_000.0));
    cluster.partition(|node| if node < 6 { node } else { 6 });
    cluster.run(9_990.0);
    cluster.set_all_links(simulation::Link {
        loss: 0.6,
        ..simulation::Link::default()
    });
    cluster.run(30_000.0);
    let deaths = cluster.deaths_since(since_ms).into_iter();
    deaths
        .filter(|(_, _, name)| ["n6", "n7", "n8"].contains(&name.as_str()))
        .count()
}

#[test]
fn pause_counted_as_silence_is_detected() {
    let deaths = |fault| {
        (0..20)
            .map(|seed| deaths_after_most_resume(seed, fault))
            .sum::<usize>()
    };
    assert_eq!(deaths(InjectedFault::None), 0);
    assert!(deaths(InjectedFault::PauseNotDetected) > 0);
}

#[test]
fn bypassed_quorum_is_detected() {
    assert_detected(InjectedFault::QuorumBypassed);
}

/// Guards against a simulation that is not deterministic: a failure could not be reproduced from
/// its seed.
#[test]
fn same_seed_gives_same_run() {
    let run = |seed| {
        let limits = schedule_limits(seed, 16);
        let mut cluster = VirtualCluster::started(seed, limits.nodes);
        cluster.apply_schedule(&FaultSchedule::generate(seed, limits));
        format!("{:?}{:?}", cluster.outputs(), cluster.simulation.totals())
    };
    assert_eq!(run(5), run(5));
}
