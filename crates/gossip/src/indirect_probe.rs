//! Answers to indirect probes: a vote on a node that the requester suspects. If this node does not
//! observe the suspect, it probes it first.

use std::collections::BTreeMap;

use crate::event::PeerId;
use crate::failure_detector::plain_probe;
use crate::member_id::MemberId;
use crate::node::Gossip;
use crate::quorum::VOTER_TIMEOUT_IN_PROBES;
use crate::wire::Record;

/// Maximum number of nodes that are probed on behalf of other nodes at a time. An indirect probe
/// that would need one more is not answered.
const MAX_DELEGATED_PROBES: usize = 64;
/// Maximum number of requesters per probed node that receive a vote as soon as a datagram arrives
/// from that node.
const MAX_WAITING_REQUESTERS: usize = 8;
/// Minimum interval between two probes of one node on behalf of other nodes, and time after which a
/// delegated probe that no requester repeats is discarded, in milliseconds.
const DELEGATED_PROBE_INTERVAL_MS: f64 = 100.0;
const DELEGATED_PROBE_EXPIRY_MS: f64 = 4_000.0;
/// Time, in probe intervals, for which a node that does not observe the suspect probes it before it
/// votes that the suspect is unreachable.
const DELEGATED_PROBE_TIMEOUT_IN_PROBES: f64 = 1.5;

/// Probes on behalf of other nodes, by the probed node.
pub(crate) type DelegatedProbes = BTreeMap<MemberId, DelegatedProbe>;

/// A series of probes of one node, which this node does not observe, on behalf of other nodes.
#[derive(Debug)]
pub(crate) struct DelegatedProbe {
    since_ms: f64,
    last_probe_ms: f64,
    requesters: Vec<PeerId>,
}

impl Gossip {
    /// Handles a request for this node's vote on a node from which the requester receives nothing.
    pub(crate) fn receive_indirect_probe(
        &mut self,
        requester: PeerId,
        suspect: MemberId,
        incarnation: u64,
    ) {
        if suspect == self.id {
            self.send(requester, &[plain_probe(false)]);
            return;
        }
        let (now_ms, suspicion_timeout_ms) = (self.now_ms, self.settings.suspicion_timeout_ms);
        let Some(entry) = self.table.get(suspect) else {
            return;
        };
        if entry.incarnation > incarnation || !entry.is_alive() {
            // The requester has missed an update about the suspect.
            if let Some(record) = self.table.record(suspect, now_ms) {
                self.send(requester, &[record]);
            }
            return;
        }
        let is_reachable = entry.was_received_within(now_ms, suspicion_timeout_ms)
            && entry.pending_death.is_none();
        let is_silent_subject = self
            .silence_ms(entry)
            .is_some_and(|silence_ms| silence_ms >= suspicion_timeout_ms);
        let suspected_until_ms = now_ms + self.probe_intervals_ms(VOTER_TIMEOUT_IN_PROBES);
        if let Some(entry) = self.table.get_mut(suspect) {
            entry.suspected_until_ms = suspected_until_ms;
        }
        if is_reachable {
            self.send_vote(requester, suspect, incarnation, true);
            return;
        }
        let was_paused = now_ms - self.detector.running_since_ms < suspicion_timeout_ms;
        if was_paused || !self.receives_from_any() {
            return; // That this node receives nothing from the suspect may be its own failure.
        }
        if is_silent_subject || self.is_delegated_probe_unanswered(requester, suspect) {
            self.send_vote(requester, suspect, incarnation, false);
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

    /// Probes a node that this one does not observe, on behalf of `requester`. Returns whether the
    /// node has left the probes unanswered for [`DELEGATED_PROBE_TIMEOUT_IN_PROBES`].
    fn is_delegated_probe_unanswered(&mut self, requester: PeerId, suspect: MemberId) -> bool {
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
            requesters: Vec::new(),
        });
        if probe.requesters.len() < MAX_WAITING_REQUESTERS && !probe.requesters.contains(&requester)
        {
            probe.requesters.push(requester);
        }
        let since_ms = probe.since_ms;
        if now_ms - probe.last_probe_ms >= DELEGATED_PROBE_INTERVAL_MS {
            probe.last_probe_ms = now_ms;
            self.send(peer, &[plain_probe(true)]);
        }
        now_ms - since_ms >= self.probe_intervals_ms(DELEGATED_PROBE_TIMEOUT_IN_PROBES)
    }

    /// Sends a vote that `member` is reachable, after a datagram from it, to the requesters that
    /// wait for one.
    pub(crate) fn answer_waiting_requesters(&mut self, member: MemberId) {
        let Some(probe) = self.detector.delegated_probes.remove(&member) else {
            return;
        };
        let Some(entry) = self.table.get(member) else {
            return;
        };
        if !entry.is_alive() || entry.pending_death.is_some() {
            return;
        }
        let incarnation = entry.incarnation;
        for requester in probe.requesters {
            self.send_vote(requester, member, incarnation, true);
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
