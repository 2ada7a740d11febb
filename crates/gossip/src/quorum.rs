//! Evaluation of a suspicion: a quorum, normally the suspect's other observers, votes on the
//! suspect, and further random nodes are asked whether they can reach it.

use crate::event::ChangeCause;
use crate::failure_detector::plain_probe;
use crate::member_id::MemberId;
use crate::node::Gossip;
use crate::settings::InjectedFault;
use crate::suspicion::{is_death_confirmed, Suspicion, VoteCount};
use crate::wire::Record;

/// Number of random nodes that are asked in addition to the quorum. The quorum is the same few
/// nodes each time, and all of them may be partitioned from the suspect. A vote of an extra voter
/// counts only if it can reach the suspect.
const RANDOM_EXTRA_VOTERS: usize = 6;
/// Number of random candidates for each place in the quorum, in addition to the suspect's
/// observers.
const CANDIDATES_PER_VOTER: usize = 2;
/// Number of reachable votes at which the interval between polls starts to grow.
const REACHABLE_VOTES_TO_BACK_OFF: usize = 2;

// The following constants are in probe intervals, so that they scale with the interval that
// operators configure.

/// Time for which a vote counts, in probe intervals. Three intervals allow two of three votes to be
/// lost.
const VOTE_MAX_AGE_IN_PROBES: f64 = 3.0;
/// Time after which a voter without a vote is replaced, in probe intervals. It exceeds the timeout
/// of a delegated probe, because a voter is asked once in a probe interval, and votes only when it
/// is asked again after that timeout.
pub(crate) const VOTER_TIMEOUT_IN_PROBES: f64 = 2.5;
/// Maximum interval between two polls about a node that other nodes can reach, in probe intervals.
const MAX_POLL_INTERVAL_IN_PROBES: f64 = 8.0;

impl Gossip {
    /// Declares a suspect dead if the votes confirm it; otherwise polls the quorum when the next
    /// poll is due.
    pub(crate) fn evaluate_suspicion(&mut self, subject: MemberId, silence_ms: f64) {
        let Some(entry) = self.table.get_mut(subject) else {
            return;
        };
        let incarnation = entry.incarnation;
        let Some(mut suspicion) = entry.suspicion.take() else {
            return;
        };
        let quorum_size = self.refresh_quorum(subject, &mut suspicion);
        let votes = self.count_recent_votes(&mut suspicion);
        let is_dead = self.is_death_decided(&suspicion, votes, quorum_size, silence_ms);
        if !is_dead && self.now_ms >= suspicion.next_poll_ms {
            self.schedule_next_poll(&mut suspicion, votes);
            self.poll_quorum(subject, incarnation, &suspicion);
        }
        // Restored even if the suspect is dead: the reported change must have `Suspect` as the
        // previous state.
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
        quorum_size: usize,
        silence_ms: f64,
    ) -> bool {
        if self.has_fault(InjectedFault::QuorumBypassed) {
            return true;
        }
        let suspicion_timeout_ms = self.settings.suspicion_timeout_ms;
        // For the rule of few survivors, silence counts from the last time at which any node could
        // reach the suspect.
        let cluster_silence_ms = silence_ms.min(self.now_ms - suspicion.last_reachable_ms);
        let has_waited = silence_ms >= suspicion_timeout_ms + self.settings.probe_interval_ms;
        has_waited
            && is_death_confirmed(votes, quorum_size, cluster_silence_ms, suspicion_timeout_ms)
    }

    /// Doubles the interval between polls while several nodes can reach the suspect: the failure is
    /// then between the suspect and this node.
    fn schedule_next_poll(&self, suspicion: &mut Suspicion, votes: VoteCount) {
        let max_interval_ms = self.probe_intervals_ms(MAX_POLL_INTERVAL_IN_PROBES);
        suspicion.poll_interval_ms = if votes.reachable >= REACHABLE_VOTES_TO_BACK_OFF {
            (suspicion.poll_interval_ms * 2.0).min(max_interval_ms)
        } else {
            self.settings.probe_interval_ms
        };
        suspicion.next_poll_ms = self.now_ms + suspicion.poll_interval_ms;
    }

    /// Sends indirect probes to the quorum and to random extra voters, and a probe to the suspect
    /// itself.
    fn poll_quorum(&mut self, suspect: MemberId, incarnation: u64, suspicion: &Suspicion) {
        let quorum: Vec<_> = suspicion.quorum.iter().map(|voter| voter.member).collect();
        let mut receivers = self.peers_of(&quorum);
        let candidates = self.recently_received_except(suspect);
        let extra_voters = self.random_choice(&candidates, RANDOM_EXTRA_VOTERS);
        receivers.extend(self.peers_of(&extra_voters));
        receivers.sort_unstable();
        receivers.dedup();
        let indirect_probe = Record::IndirectProbe {
            member: suspect,
            incarnation,
        };
        for peer in receivers {
            self.send(peer, std::slice::from_ref(&indirect_probe));
        }
        if let Some(peer) = self.table.peer_of(suspect) {
            self.send(peer, &[plain_probe(true)]);
        }
    }

    /// Replaces voters that did not answer in time. The quorum consists of the suspect's other
    /// observers, and of random nodes in place of those that did not answer. Returns the size of a
    /// full quorum, including this node.
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
            // No other candidate is left: nodes that did not answer in time are eligible again.
            suspicion.unresponsive.clear();
        }
        let available = candidates.into_iter().filter(|id| is_available(*id));
        suspicion.fill_quorum(self.now_ms, size, available);
        size + 1
    }
}
