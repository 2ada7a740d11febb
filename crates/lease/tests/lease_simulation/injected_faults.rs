//! Each injected fault has to be detected, and the same scenario without it has to pass.

use lease::InjectedFault;
use simulation::{Fault, Link};
use testkit::lease_simulation::{
    run_trial, OwnershipError, SimulatedFleet, Violation, LEASE_MS, RECOVERY_MS,
};

use crate::{isolate, owned_by_non_acceptor};

/// An owner is isolated, and all acceptors restart while its lease is valid.
fn restart_all_acceptors(injected_fault: InjectedFault) -> Result<(), OwnershipError> {
    for seed in 0..5 {
        let (mut fleet, owner, _) = owned_by_non_acceptor(seed, injected_fault);
        isolate(&mut fleet, owner);
        for acceptor in 0..3 {
            fleet.kill(acceptor);
            fleet.start(acceptor);
        }
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.check()?;
        fleet.wait_until_owned(0.0)?;
    }
    Ok(())
}

/// An owner that receives responses late is isolated.
fn partition_owner_with_slow_responses(
    injected_fault: InjectedFault,
) -> Result<(), OwnershipError> {
    for seed in 0..10 {
        let (mut fleet, owner, _) = owned_by_non_acceptor(seed, injected_fault);
        let slow_link = Link {
            delay_ms: 580.0,
            ..Link::default()
        };
        for other in (0..7).filter(|other| *other != owner) {
            fleet.apply(&Fault::Link {
                from: other,
                to: owner,
                link: slow_link.clone(),
            });
        }
        fleet.run(10_000.0);
        isolate(&mut fleet, owner);
        fleet.run(LEASE_MS + RECOVERY_MS);
        fleet.check()?;
    }
    Ok(())
}

/// All nodes restart at the same time. No shard may have an owner for the length of a lease, and
/// the tokens must then continue to rise.
fn restart_all_nodes(injected_fault: InjectedFault) -> Result<(), OwnershipError> {
    let mut fleet = SimulatedFleet::started(1, 5, 3, injected_fault);
    for node in 0..5 {
        fleet.kill(node);
    }
    fleet.run(100.0);
    for node in 0..5 {
        fleet.start(node);
    }
    fleet.run(LEASE_MS);
    if fleet.owner.iter().any(Option::is_some) {
        return Err(fleet.error(Violation::OwnedDuringQuarantine));
    }
    fleet.wait_until_owned(RECOVERY_MS)?;
    fleet.check()
}

fn assert_detected(injected_fault: InjectedFault) {
    let found = (0..300).find_map(|seed| run_trial(seed, injected_fault).err());
    assert!(
        found.is_some(),
        "{injected_fault:?} must be detected within 300 seeds"
    );
}

#[test]
fn missing_quarantine_is_detected() {
    restart_all_acceptors(InjectedFault::None).expect("no violation without the fault");
    restart_all_acceptors(InjectedFault::NoQuarantine).expect_err("the fault is detected");
}

#[test]
fn lease_counted_from_the_response_is_detected() {
    partition_owner_with_slow_responses(InjectedFault::None)
        .expect("no violation without the fault");
    partition_owner_with_slow_responses(InjectedFault::LeaseFromResponse)
        .expect_err("the fault is detected");
}

#[test]
fn missing_token_floor_is_detected() {
    restart_all_nodes(InjectedFault::None).expect("no violation without the fault");
    restart_all_nodes(InjectedFault::NoTokenFloor).expect_err("the fault is detected");
}

#[test]
fn grant_of_an_equal_token_is_detected() {
    assert_detected(InjectedFault::EqualToken);
}

#[test]
fn forgotten_token_is_detected() {
    assert_detected(InjectedFault::ForgottenToken);
}

#[test]
fn stale_renewal_is_detected() {
    assert_detected(InjectedFault::StaleRenewal);
}
