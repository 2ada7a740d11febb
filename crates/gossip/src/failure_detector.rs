//! Failure detection: probing observers, suspecting silent subjects, and asking a quorum about them.
//!
//! Each node is observed by a few others (see [`ObserverRings`]). An observer that receives nothing from a subject for the
//! suspicion timeout suspects it and asks the other observers with indirect probes. Their votes decide; see
//! [`is_death_confirmed`].

use std::collections::BTreeMap;

use crate::event::{ChangeCause, PeerId};
use crate::member::State;
use crate::member_table::MemberEntry;
use crate::node::Gossip;
use crate::observer_rings::ObserverRings;
use crate::settings::InjectedFault;
use crate::suspicion::{is_death_confirmed, Suspicion, VoteCount};
use crate::transport::Sender;
use crate::wire::{MemberId, Record};

/// Nodes that are probed on behalf of others at a time; further indirect probes are not answered.
const MAX_DELEGATED_PROBES: usize = 64;
/// Nodes that are answered about one of them as soon as something is received from it.
const MAX_WAITING_ASKERS: usize = 8;
/// How often a node is probed on behalf of others, and for how long an indirect probe that is not repeated is remembered,
/// in milliseconds.
const DELEGATED_PROBE_INTERVAL_MS: f64 = 100.0;
const DELEGATED_PROBE_EXPIRY_MS: f64 = 4_000.0;
/// Random witnesses that are asked beside the quorum. The quorum is the same few nodes each time, and all of them may be
/// partitioned from the suspect. Witnesses count only if they reach it.
const RANDOM_WITNESSES: usize = 6;
/// Candidates for a quorum that are drawn for each voter, beside the suspect's observers.
const CANDIDATES_PER_VOTER: usize = 2;

// The following are in probe intervals, so that they scale with the interval that operators configure.

/// For how long a vote counts: two of three may be lost.
const VOTE_PROBES: f64 = 3.0;
/// For how long a node that does not observe the suspect probes it before it votes that it is unreachable.
const DELEGATED_PROBES: f64 = 1.5;
/// For how long a voter may take to answer: longer, as it is asked once in a probe interval and answers when it is asked
/// again.
const VOTER_PATIENCE_PROBES: f64 = 2.5;
/// The longest interval between two questions about a node that others reach.
const MAX_QUESTION_INTERVAL_PROBES: f64 = 8.0;
/// How many nodes must reach a suspect for the interval between questions to grow.
const REACHABLE_VOTES_TO_BACK_OFF: usize = 2;

/// A node that is probed on behalf of others, which this node does not observe.
#[derive(Debug)]
struct DelegatedProbe {
    since_ms: f64,
    last_probe_ms: f64,
    askers: Vec<PeerId>,
}

/// Who observes whom, and what is being examined.
#[derive(Debug)]
pub(crate) struct FailureDetector {
    rings: ObserverRings,
    /// Whether the set of live nodes has changed since the rings were built.
    pub is_stale: bool,
    /// The nodes that observe this one, sorted.
    pub observers: Vec<MemberId>,
    /// The nodes that this one observes, sorted.
    pub subjects: Vec<MemberId>,
    /// Since when this process has been receiving without a pause.
    pub listening_since_ms: f64,
    delegated_probes: BTreeMap<MemberId, DelegatedProbe>,
}

impl FailureDetector {
    pub fn new(now_ms: f64) -> Self {
        Self {
            rings: ObserverRings::default(),
            is_stale: true,
            observers: Vec::new(),
            subjects: Vec::new(),
            listening_since_ms: now_ms,
            delegated_probes: BTreeMap::new(),
        }
    }

    /// After a pause of the process: silence counts from now.
    pub fn restart_listening(&mut self, now_ms: f64) {
        self.listening_since_ms = now_ms;
        self.delegated_probes.clear();
    }
}

/// A probe that only shows that the sender is alive, or asks the receiver to show it.
fn plain_probe(ack_requested: bool) -> Record {
    Record::Probe {
        ack_requested,
        to_observer: false,
    }
}

// Observers and subjects.
impl Gossip {
    /// Recomputes observers and subjects if the set of live nodes has changed.
    pub(crate) fn rebuild_rings_if_stale(&mut self) {
        if !std::mem::take(&mut self.detector.is_stale) {
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

    /// Whether the cluster is so small that every node observes all others.
    fn is_fully_observed(&self) -> bool {
        self.table.alive_count() <= self.settings.observer_count + 1
    }

    fn observers_of(&self, subject: MemberId) -> Vec<MemberId> {
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

    pub(crate) fn note_observer_probe(&mut self, from: MemberId) {
        if let Some(entry) = self.table.get_mut(from) {
            entry.last_observer_probe_ms = Some(self.now_ms);
        }
    }

    pub(crate) fn receive_ack(&mut self, sender: &Sender, hello_requested: bool) {
        let Some(peer) = self.peers.get_mut(&sender.peer) else {
            return;
        };
        let knew_this_node = std::mem::replace(&mut peer.knows_this_node, !hello_requested);
        if let Some(entry) = self.table.get_mut(sender.member) {
            entry.last_ack_ms = Some(self.now_ms);
        }
        if hello_requested || !knew_this_node {
            // Both know each other at once, and not only after the next probe interval.
            self.send(sender.peer, &[plain_probe(hello_requested)]);
        }
        self.try_refute();
    }
}

// Silence and suspicion.
impl Gossip {
    /// For how long this node has received nothing from one that it observes; `None` if it does not observe it.
    fn silence_ms(&self, entry: &MemberEntry) -> Option<f64> {
        let observed_since_ms = entry.observed_since_ms?;
        // A new subject may not know yet that this node observes it.
        let is_acquainted = entry
            .last_observer_probe_ms
            .is_some_and(|probed| probed >= observed_since_ms);
        let expected_since_ms = if is_acquainted {
            observed_since_ms
        } else {
            observed_since_ms + self.settings.suspicion_timeout_ms
        };
        let listening_since_ms = if self.has_fault(InjectedFault::PauseAtFaceValue) {
            f64::NEG_INFINITY
        } else {
            self.detector.listening_since_ms
        };
        let last_received_ms = entry.last_received_ms.unwrap_or(f64::NEG_INFINITY);
        let silent_since_ms = last_received_ms
            .max(expected_since_ms)
            .max(listening_since_ms);
        Some(self.now_ms - silent_since_ms)
    }

    /// Whether this node receives datagrams from any node: one that does not cannot vote on others.
    fn receives_from_any(&self) -> bool {
        if self.has_fault(InjectedFault::DeafBelieved) {
            return true;
        }
        let listening_since_ms = self.detector.listening_since_ms;
        let window_ms = self.settings.suspicion_timeout_ms;
        self.table.iter().any(|(id, entry)| {
            let is_since_pause = entry
                .last_received_ms
                .is_some_and(|received| received >= listening_since_ms);
            id != self.id
                && entry.is_alive()
                && is_since_pause
                && entry.was_received_within(self.now_ms, window_ms)
        })
    }

    /// Drops this node's suspicion against one from which something was received.
    pub(crate) fn dismiss_suspicion(&mut self, member: MemberId) {
        let suspicion = self
            .table
            .get_mut(member)
            .and_then(|entry| entry.suspicion.take());
        if suspicion.is_some() {
            self.report_change(member, Some(State::Suspect), ChangeCause::Received);
        }
    }

    /// Suspects subjects that have been silent for too long, and pursues open suspicions.
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
                self.suspect(subject, silence_ms);
            }
            if may_vote {
                self.pursue_suspicion(subject, silence_ms);
            }
        }
    }

    fn suspect(&mut self, subject: MemberId, silence_ms: f64) {
        let suspicion = Suspicion::new(self.now_ms, self.settings.probe_interval_ms);
        if let Some(entry) = self.table.get_mut(subject) {
            entry.suspicion = Some(Box::new(suspicion));
        }
        let cause = ChangeCause::Silent { silence_ms };
        self.report_change(subject, Some(State::Alive), cause);
    }

    /// Declares a suspect dead if the votes confirm it; else asks the quorum when that is due.
    fn pursue_suspicion(&mut self, subject: MemberId, silence_ms: f64) {
        let Some(entry) = self.table.get_mut(subject) else {
            return;
        };
        let incarnation = entry.incarnation;
        let Some(mut suspicion) = entry.suspicion.take() else {
            return;
        };
        let voters = self.refresh_quorum(subject, &mut suspicion);
        let votes = self.count_recent_votes(&mut suspicion);
        let is_dead = self.is_verdict_reached(&suspicion, votes, voters, silence_ms);
        if !is_dead && self.now_ms >= suspicion.next_question_ms {
            self.schedule_next_question(&mut suspicion, votes);
            self.ask_quorum(subject, incarnation, &suspicion);
        }
        // Also with a verdict: the state that the change is reported from is `Suspect`.
        if let Some(entry) = self.table.get_mut(subject) {
            entry.suspicion = Some(suspicion);
        }
        if is_dead {
            self.metrics.verdicts += 1;
            let cause = ChangeCause::Confirmed {
                silence_ms,
                unreachable_votes: votes.unreachable,
                reachable_votes: votes.reachable,
            };
            self.mark_dead(subject, incarnation, self.now_ms, cause);
        }
    }

    fn count_recent_votes(&self, suspicion: &mut Suspicion) -> VoteCount {
        let between_questions_ms = suspicion.question_interval_ms + self.settings.probe_interval_ms;
        let max_age_ms = self
            .probe_intervals_ms(VOTE_PROBES)
            .max(between_questions_ms);
        suspicion.expire_witnesses(self.now_ms, max_age_ms);
        suspicion.count_votes(self.now_ms, max_age_ms)
    }

    fn is_verdict_reached(
        &self,
        suspicion: &Suspicion,
        votes: VoteCount,
        voters: usize,
        silence_ms: f64,
    ) -> bool {
        if self.has_fault(InjectedFault::DeafBelieved) {
            return true;
        }
        let suspicion_timeout_ms = self.settings.suspicion_timeout_ms;
        // Where few are left to vote, silence counts from the last time that any node reached the suspect.
        let silence_to_all_ms = silence_ms.min(self.now_ms - suspicion.last_reachable_ms);
        let has_waited = silence_ms >= suspicion_timeout_ms + self.settings.probe_interval_ms;
        has_waited && is_death_confirmed(votes, voters, silence_to_all_ms, suspicion_timeout_ms)
    }

    /// If others reach the suspect, this node alone is partitioned from it, and asks less and less often.
    fn schedule_next_question(&self, suspicion: &mut Suspicion, votes: VoteCount) {
        let max_interval_ms = self.probe_intervals_ms(MAX_QUESTION_INTERVAL_PROBES);
        suspicion.question_interval_ms = if votes.reachable >= REACHABLE_VOTES_TO_BACK_OFF {
            (suspicion.question_interval_ms * 2.0).min(max_interval_ms)
        } else {
            self.settings.probe_interval_ms
        };
        suspicion.next_question_ms = self.now_ms + suspicion.question_interval_ms;
    }

    /// Sends an indirect probe to the quorum and to random witnesses, and a probe to the suspect itself.
    fn ask_quorum(&mut self, suspect: MemberId, incarnation: u64, suspicion: &Suspicion) {
        let quorum: Vec<_> = suspicion.quorum.iter().map(|voter| voter.member).collect();
        let mut asked = self.peers_of(&quorum);
        let candidates = self.recently_received_except(suspect);
        let witnesses = self.random_choice(&candidates, RANDOM_WITNESSES);
        asked.extend(self.peers_of(&witnesses));
        asked.sort_unstable();
        asked.dedup();
        let question = Record::IndirectProbe {
            member: suspect,
            incarnation,
        };
        for peer in asked {
            self.send(peer, std::slice::from_ref(&question));
        }
        if let Some(peer) = self.table.peer_of(suspect) {
            self.send(peer, &[plain_probe(true)]);
        }
    }

    /// Replaces voters that do not answer: the quorum consists of the suspect's other observers, and of random nodes in
    /// place of those that do not answer. Returns the size of the full quorum with this node.
    fn refresh_quorum(&mut self, suspect: MemberId, suspicion: &mut Suspicion) -> usize {
        let size = {
            let others = self.table.alive_count().saturating_sub(2);
            self.settings.observer_count.min(others)
        };
        let mut candidates = self.observers_of(suspect);
        let recent = self.recently_received_except(suspect);
        candidates.extend(self.random_choice(&recent, CANDIDATES_PER_VOTER * size));
        candidates.retain(|id| *id != self.id && *id != suspect);

        let patience_ms = self.probe_intervals_ms(VOTER_PATIENCE_PROBES);
        let table = &self.table;
        let is_available = |id: MemberId| {
            table
                .get(id)
                .is_some_and(|entry| entry.is_alive() && entry.peer.is_some())
        };
        suspicion.drop_silent_voters(self.now_ms, patience_ms, is_available);
        if candidates
            .iter()
            .all(|id| suspicion.unresponsive.contains(id))
        {
            // All nodes have been asked: those that did not answer once may now.
            suspicion.unresponsive.clear();
        }
        let available = candidates.into_iter().filter(|id| is_available(*id));
        suspicion.fill_quorum(self.now_ms, size, available);
        size + 1
    }
}

// Answering for others.
impl Gossip {
    /// Another node receives nothing from one and asks for this node's vote.
    pub(crate) fn receive_indirect_probe(
        &mut self,
        asker: PeerId,
        suspect: MemberId,
        incarnation: u64,
    ) {
        if suspect == self.id {
            self.send(asker, &[plain_probe(false)]);
            return;
        }
        let (now_ms, suspicion_timeout_ms) = (self.now_ms, self.settings.suspicion_timeout_ms);
        let Some(entry) = self.table.get(suspect) else {
            return;
        };
        if entry.incarnation > incarnation || !entry.is_alive() {
            // The asker has missed an update.
            if let Some(record) = self.table.record(suspect, now_ms) {
                self.send(asker, &[record]);
            }
            return;
        }
        let is_reachable = entry.was_received_within(now_ms, suspicion_timeout_ms)
            && entry.pending_removal.is_none();
        let is_silent_subject = self
            .silence_ms(entry)
            .is_some_and(|silence_ms| silence_ms >= suspicion_timeout_ms);
        let suspected_until_ms = now_ms + self.probe_intervals_ms(VOTER_PATIENCE_PROBES);
        if let Some(entry) = self.table.get_mut(suspect) {
            entry.suspected_until_ms = suspected_until_ms;
        }
        if is_reachable {
            self.send_vote(asker, suspect, incarnation, true);
            return;
        }
        let was_paused = now_ms - self.detector.listening_since_ms < suspicion_timeout_ms;
        if was_paused || !self.receives_from_any() {
            return; // Its own silence says nothing about the suspect.
        }
        if is_silent_subject || self.has_probed_in_vain(asker, suspect) {
            self.send_vote(asker, suspect, incarnation, false);
        }
    }

    fn send_vote(&mut self, to: PeerId, member: MemberId, incarnation: u64, is_reachable: bool) {
        let vote = Record::Vote {
            member,
            incarnation,
            is_reachable,
        };
        self.send(to, &[vote]);
    }

    /// Probes a node that this one does not observe, on behalf of `asker`. Returns whether it has been probed for long
    /// enough without an answer.
    fn has_probed_in_vain(&mut self, asker: PeerId, suspect: MemberId) -> bool {
        let Some(peer) = self.table.peer_of(suspect) else {
            return false;
        };
        let now_ms = self.now_ms;
        let probes = &mut self.detector.delegated_probes;
        probes.retain(|_, probe| now_ms - probe.last_probe_ms < DELEGATED_PROBE_EXPIRY_MS);
        if !probes.contains_key(&suspect) && probes.len() >= MAX_DELEGATED_PROBES {
            return false;
        }
        let probe = probes.entry(suspect).or_insert_with(|| DelegatedProbe {
            since_ms: now_ms,
            last_probe_ms: f64::NEG_INFINITY,
            askers: Vec::new(),
        });
        if probe.askers.len() < MAX_WAITING_ASKERS && !probe.askers.contains(&asker) {
            probe.askers.push(asker);
        }
        let since_ms = probe.since_ms;
        if now_ms - probe.last_probe_ms >= DELEGATED_PROBE_INTERVAL_MS {
            probe.last_probe_ms = now_ms;
            self.send(peer, &[plain_probe(true)]);
        }
        now_ms - since_ms >= self.probe_intervals_ms(DELEGATED_PROBES)
    }

    /// Votes for a node from which something was just received, at those that asked about it.
    pub(crate) fn answer_waiting_askers(&mut self, member: MemberId) {
        let Some(probe) = self.detector.delegated_probes.remove(&member) else {
            return;
        };
        let Some(entry) = self.table.get(member) else {
            return;
        };
        if !entry.is_alive() || entry.pending_removal.is_some() {
            return;
        }
        let incarnation = entry.incarnation;
        for asker in probe.askers {
            self.send_vote(asker, member, incarnation, true);
        }
    }

    pub(crate) fn receive_vote(
        &mut self,
        by: MemberId,
        suspect: MemberId,
        incarnation: u64,
        is_reachable: bool,
    ) {
        let now_ms = self.now_ms;
        let Some(entry) = self.table.get_mut(suspect) else {
            return;
        };
        if entry.incarnation != incarnation {
            return;
        }
        if let Some(suspicion) = &mut entry.suspicion {
            suspicion.record_vote(now_ms, by, is_reachable);
        }
    }
}
