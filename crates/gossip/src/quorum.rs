//! Pursuing a suspicion: a quorum of the suspect's observers votes on it, and random witnesses may speak for it.

use crate::event::ChangeCause;
use crate::failure_detector::plain_probe;
use crate::member_id::MemberId;
use crate::node::Gossip;
use crate::settings::InjectedFault;
use crate::suspicion::{is_death_confirmed, Suspicion, VoteCount};
use crate::wire::Record;

/// Random witnesses that are asked beside the quorum. The quorum is the same few nodes each time, and all of them may be
/// partitioned from the suspect. Witnesses count only if they reach it.
const RANDOM_EXTRA_VOTERS: usize = 6;
/// Random candidates for each place in the quorum, beside the suspect's observers.
const CANDIDATES_PER_VOTER: usize = 2;
/// How many nodes must reach a suspect for the interval between questions to grow.
const REACHABLE_VOTES_TO_BACK_OFF: usize = 2;

// The following are in probe intervals, so that they scale with the interval that operators configure.

/// For how long a vote counts: two of three may be lost.
const VOTE_MAX_AGE_IN_PROBES: f64 = 3.0;
/// For how long a voter may take to answer. Longer than a delegated probe takes, as the voter is asked once in a probe
/// interval and answers when it is asked again.
pub(crate) const VOTER_TIMEOUT_IN_PROBES: f64 = 2.5;
/// The longest interval between two questions about a node that others reach.
const MAX_POLL_INTERVAL_IN_PROBES: f64 = 8.0;

impl Gossip {
    /// Declares a suspect dead if the votes confirm it; else asks the quorum when that is due.
    pub(crate) fn evaluate_suspicion(&mut self, subject: MemberId, silence_ms: f64) {
        let Some(entry) = self.table.get_mut(subject) else {
            return;
        };
        let incarnation = entry.incarnation;
        let Some(mut suspicion) = entry.suspicion.take() else {
            return;
        };
        let voters = self.refresh_quorum(subject, &mut suspicion);
        let votes = self.count_recent_votes(&mut suspicion);
        let is_dead = self.is_death_decided(&suspicion, votes, voters, silence_ms);
        if !is_dead && self.now_ms >= suspicion.next_poll_ms {
            self.schedule_next_poll(&mut suspicion, votes);
            self.poll_quorum(subject, incarnation, &suspicion);
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
        let poll_period_ms = suspicion.poll_interval_ms + self.settings.probe_interval_ms;
        let max_age_ms = self
            .probe_intervals_ms(VOTE_MAX_AGE_IN_PROBES)
            .max(poll_period_ms);
        suspicion.expire_extra_votes(self.now_ms, max_age_ms);
        suspicion.count_votes(self.now_ms, max_age_ms)
    }

    fn is_death_decided(
        &self,
        suspicion: &Suspicion,
        votes: VoteCount,
        voters: usize,
        silence_ms: f64,
    ) -> bool {
        if self.has_fault(InjectedFault::QuorumBypassed) {
            return true;
        }
        let suspicion_timeout_ms = self.settings.suspicion_timeout_ms;
        // Where few are left to vote, silence counts from the last time that any node reached the suspect.
        let silence_to_all_ms = silence_ms.min(self.now_ms - suspicion.last_reachable_ms);
        let has_waited = silence_ms >= suspicion_timeout_ms + self.settings.probe_interval_ms;
        has_waited && is_death_confirmed(votes, voters, silence_to_all_ms, suspicion_timeout_ms)
    }

    /// If others reach the suspect, this node alone is partitioned from it, and asks less and less often.
    fn schedule_next_poll(&self, suspicion: &mut Suspicion, votes: VoteCount) {
        let max_interval_ms = self.probe_intervals_ms(MAX_POLL_INTERVAL_IN_PROBES);
        suspicion.poll_interval_ms = if votes.reachable >= REACHABLE_VOTES_TO_BACK_OFF {
            (suspicion.poll_interval_ms * 2.0).min(max_interval_ms)
        } else {
            self.settings.probe_interval_ms
        };
        suspicion.next_poll_ms = self.now_ms + suspicion.poll_interval_ms;
    }

    /// Sends an indirect probe to the quorum and to random witnesses, and a probe to the suspect itself.
    fn poll_quorum(&mut self, suspect: MemberId, incarnation: u64, suspicion: &Suspicion) {
        let quorum: Vec<_> = suspicion.quorum.iter().map(|voter| voter.member).collect();
        let mut asked = self.peers_of(&quorum);
        let candidates = self.recently_received_except(suspect);
        let witnesses = self.random_choice(&candidates, RANDOM_EXTRA_VOTERS);
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

        let voter_timeout_ms = self.probe_intervals_ms(VOTER_TIMEOUT_IN_PROBES);
        let table = &self.table;
        let is_available = |id: MemberId| {
            table
                .get(id)
                .is_some_and(|entry| entry.is_alive() && entry.peer.is_some())
        };
        suspicion.drop_unresponsive_voters(self.now_ms, voter_timeout_ms, is_available);
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
