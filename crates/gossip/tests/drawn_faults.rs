//! Faults drawn from seeds, and protocol faults injected into the nodes, which the checker detects.

use gossip::InjectedFault;
use simulation::FaultSchedule;
use testkit::nodes::checker::{run_trial, schedule_limits};
use testkit::nodes::VirtualCluster;

/// As many as run within a minute; `measure -- members` runs more.
const SEEDS: u64 = 300;

#[test]
fn drawn_faults_kill_no_healthy_node_and_all_agree_after_them() {
    let mut declared_dead = 0;
    for seed in 0..SEEDS {
        match run_trial(seed, schedule_limits(seed, 16), InjectedFault::None) {
            Ok(trial) => declared_dead += trial.deaths,
            Err(error) => panic!("{error}"),
        }
    }
    assert!(
        declared_dead > 1_000,
        "the faults have an effect: {declared_dead}"
    );
}

fn assert_detected(fault: InjectedFault) {
    let found =
        (0..SEEDS).find(|seed| run_trial(*seed, schedule_limits(*seed, 16), fault).is_err());
    assert!(found.is_some(), "{fault:?}");
}

#[test]
fn ignored_refutation_is_detected() {
    assert_detected(InjectedFault::RefutationIgnored);
}

#[test]
fn equal_incarnation_counted_as_later_is_detected() {
    assert_detected(InjectedFault::EqualIncarnationAccepted);
}

/// Six of nine nodes pause for ten seconds, receive nothing of what is sent meanwhile and resume at the same moment on lossy
/// links, as the nodes of one suspended machine do. Counts how often one of the three others is declared dead then.
fn deaths_after_most_resume(seed: u64, fault: InjectedFault) -> usize {
    let mut cluster = VirtualCluster::new(seed, 9);
    cluster.injected_fault = fault;
    cluster.start_all(1_000.0);
    cluster.run(10_000.0);
    let before = cluster.simulation.now_ms();
    (0..6).for_each(|node| cluster.simulation.pause(node, 10_000.0));
    cluster.partition(|node| if node < 6 { node } else { 6 });
    cluster.run(9_990.0);
    cluster.set_all_links(simulation::Link {
        loss: 0.6,
        ..simulation::Link::default()
    });
    cluster.run(30_000.0);
    let deaths = cluster.deaths_since(before).into_iter();
    deaths
        .filter(|(_, _, name)| ["n6", "n7", "n8"].contains(&name.as_str()))
        .count()
}

#[test]
fn pause_taken_at_face_value_is_detected() {
    let deaths = |fault| {
        (0..20)
            .map(|seed| deaths_after_most_resume(seed, fault))
            .sum::<usize>()
    };
    assert_eq!(deaths(InjectedFault::None), 0);
    assert!(deaths(InjectedFault::PauseNotDetected) > 0);
}

#[test]
fn vote_of_node_that_receives_nothing_is_detected() {
    assert_detected(InjectedFault::QuorumBypassed);
}

/// Guards the precondition of every reproduction of a failure.
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
