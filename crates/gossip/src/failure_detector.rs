//! Failure detection: probing observers, and suspecting subjects that are silent.
//!
//! Each node probes its observers, a few other nodes (see [`ObserverRings`]). An observer that
//! receives nothing from a subject for the suspicion timeout suspects it. `quorum` then asks the
//! other observers for their votes, and `indirect_probe` answers such requests.

use crate::event::ChangeCause;
use crate::indirect_probe::DelegatedProbes;
use crate::member::State;
use crate::member_id::MemberId;
use crate::member_table::MemberEntry;
use crate::node::Gossip;
use crate::observer_rings::ObserverRings;
use crate::settings::InjectedFault;
use crate::suspicion::Suspicion;
use crate::transport::Sender;
use crate::wire::Record;

/// The observers and subjects of this node, and the state of its failure detection.
#[derive(Debug)]
pub(crate) struct FailureDetector {
    rings: ObserverRings,
    /// Whether the set of live nodes has changed since the rings were built.
    pub are_rings_stale: bool,
    /// The nodes that observe this one, sorted.
    pub observers: Vec<MemberId>,
    /// The nodes that this one observes, sorted.
    pub subjects: Vec<MemberId>,
    /// Time since which this process has run without a pause, in milliseconds since boot.
    pub running_since_ms: f64,
    pub delegated_probes: DelegatedProbes,
}

impl FailureDetector {
    pub fn new(now_ms: f64) -> Self {
        Self {
            rings: ObserverRings::default(),
            are_rings_stale: true,
            observers: Vec::new(),
            subjects: Vec::new(),
            running_since_ms: now_ms,
            delegated_probes: DelegatedProbes::new(),
        }
    }

    /// Makes the silence of subjects count from now, after a pause of this process.
    pub fn reset_after_pause(&mut self, now_ms: f64) {
        self.running_since_ms = now_ms;
        self.delegated_probes.clear();
    }
}

/// A probe that is not addressed to the receiver as an observer of the sender.
pub(crate) fn plain_probe(ack_requested: bool) -> Record {
    Record::Probe {
        ack_requested,
        to_observer: false,
    }
}

// Observers and subjects.
impl Gossip {
    /// Recomputes observers and subjects if the set of live nodes has changed.
    pub(crate) fn rebuild_rings_if_stale(&mut self) {
        if !std::mem::take(&mut self.detector.are_rings_stale) {
            return;
        }
        let alive: Vec<_> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.is_alive())
            .map(|(id, _)| id)
            .collect();
        self.detector.rings = ObserverRings::new(&alive, self.settings.observer_count);
        self.detector.observers = self.observers_of(self.id);
        self.detector.subjects = if self.is_fully_observed() {
            self.detector.observers.clone()
        } else {
            self.detector.rings.subjects(self.id)
        };
        let now_ms = self.now_ms;
        for (id, entry) in self.table.iter_mut() {
            if self.detector.subjects.binary_search(&id).is_ok() {
                entry.observed_since_ms.get_or_insert(now_ms);
            } else {
                entry.observed_since_ms = None;
                entry.suspicion = None;
            }
        }
    }

    /// Whether the cluster is so small that every node observes all other nodes.
    fn is_fully_observed(&self) -> bool {
        self.table.alive_count() <= self.settings.observer_count + 1
    }

    pub(crate) fn observers_of(&self, subject: MemberId) -> Vec<MemberId> {
        if !self.is_fully_observed() {
            return self.detector.rings.observers(subject);
        }
        self.table
            .iter()
            .filter(|(id, entry)| *id != subject && entry.is_alive())
            .map(|(id, _)| id)
            .collect()
    }

    pub(crate) fn probe_observers(&mut self, ack_requested: bool) {
        let probe = Record::Probe {
            ack_requested,
            to_observer: true,
        };
        for observer in self.peers_of(&self.detector.observers) {
            self.send(observer, std::slice::from_ref(&probe));
        }
    }

    pub(crate) fn record_observer_probe(&mut self, from: MemberId) {
        if let Some(entry) = self.table.get_mut(from) {
            entry.last_observer_probe_ms = Some(self.now_ms);
        }
    }

    pub(crate) fn receive_ack(&mut self, sender: &Sender, hello_requested: bool) {
        let Some(peer) = self.peers.get_mut(&sender.peer) else {
            return;
        };
        let was_hello_accepted = std::mem::replace(&mut peer.is_hello_accepted, !hello_requested);
        if let Some(entry) = self.table.get_mut(sender.member) {
            entry.last_ack_ms = Some(self.now_ms);
        }
        if hello_requested || !was_hello_accepted {
            // Completes the introduction in both directions at once, not only with the next probe.
            self.send(sender.peer, &[plain_probe(hello_requested)]);
        }
        self.try_refute();
    }
}

// Silence and suspicion.
impl Gossip {
    /// Time for which this node has received nothing from a subject, in milliseconds; `None` if it
    /// does not observe the node. It counts from the last datagram, the start of the observation or
    /// the end of this process's last pause, whichever is latest.
    pub(crate) fn silence_ms(&self, entry: &MemberEntry) -> Option<f64> {
        let observed_since_ms = entry.observed_since_ms?;
        // A new subject may not count this node among its observers yet. Until it has probed this
        // node as one, it gets the suspicion timeout in addition.
        let is_known_as_observer = entry
            .last_observer_probe_ms
            .is_some_and(|probed| probed >= observed_since_ms);
        let expected_since_ms = if is_known_as_observer {
            observed_since_ms
        } else {
            observed_since_ms + self.settings.suspicion_timeout_ms
        };
        let running_since_ms = if self.has_fault(InjectedFault::PauseNotDetected) {
            f64::NEG_INFINITY
        } else {
            self.detector.running_since_ms
        };
        let last_received_ms = entry.last_received_ms.unwrap_or(f64::NEG_INFINITY);
        let silent_since_ms = last_received_ms
            .max(expected_since_ms)
            .max(running_since_ms);
        Some(self.now_ms - silent_since_ms)
    }

    /// Whether this node has received a datagram from any live node within the suspicion timeout
    /// and since its last pause. If not, the failure may be its own, and it must not vote on other
    /// nodes.
    pub(crate) fn receives_from_any(&self) -> bool {
        if self.has_fault(InjectedFault::QuorumBypassed) {
            return true;
        }
        let running_since_ms = self.detector.running_since_ms;
        let window_ms = self.settings.suspicion_timeout_ms;
        self.table.iter().any(|(id, entry)| {
            let is_after_pause = entry
                .last_received_ms
                .is_some_and(|received| received >= running_since_ms);
            id != self.id
                && entry.is_alive()
                && is_after_pause
                && entry.was_received_within(self.now_ms, window_ms)
        })
    }

    /// Drops this node's suspicion against a node that is no longer silent.
    pub(crate) fn dismiss_suspicion(&mut self, member: MemberId) {
        let suspicion = self
            .table
            .get_mut(member)
            .and_then(|entry| entry.suspicion.take());
        if suspicion.is_some() {
            self.report_change(member, Some(State::Suspect), ChangeCause::Received);
        }
    }

    /// Suspects subjects that have been silent for the suspicion timeout, and evaluates open
    /// suspicions.
    pub(crate) fn check_subjects(&mut self) {
        let may_vote = self.receives_from_any();
        for subject in self.detector.subjects.clone() {
            let Some(entry) = self.table.get(subject).filter(|entry| entry.is_alive()) else {
                continue;
            };
            let Some(silence_ms) = self.silence_ms(entry) else {
                continue;
            };
            if silence_ms < self.settings.suspicion_timeout_ms {
                self.dismiss_suspicion(subject);
                continue;
            }
            if entry.suspicion.is_none() {
                self.start_suspicion(subject, silence_ms);
            }
            if may_vote {
                self.evaluate_suspicion(subject, silence_ms);
            }
        }
    }

    fn start_suspicion(&mut self, subject: MemberId, silence_ms: f64) {
        let suspicion = Suspicion::new(self.now_ms, self.settings.probe_interval_ms);
        if let Some(entry) = self.table.get_mut(subject) {
            entry.suspicion = Some(Box::new(suspicion));
        }
        let cause = ChangeCause::Silent { silence_ms };
        self.report_change(subject, Some(State::Alive), cause);
    }
}
