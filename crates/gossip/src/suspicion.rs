//! The state of a suspicion against one node, and the quorum rule that confirms its death.

use std::collections::BTreeMap;

use crate::member_id::MemberId;

#[cfg(test)]
mod tests;

/// Maximum number of nodes outside the quorum whose votes are stored. Few are needed: in a quorum
/// of seven, two reachable votes keep the death from being confirmed, and lengthen the interval
/// between polls.
const MAX_EXTRA_VOTES: usize = 16;

/// A node in the quorum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Voter {
    pub member: MemberId,
    /// Time at which the node was added to the quorum.
    pub asked_since_ms: f64,
}

/// The latest vote of a node in the quorum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vote {
    pub received_ms: f64,
    pub is_reachable: bool,
}

/// An open suspicion: this node receives nothing from the suspect, and asks a quorum for votes.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// The quorum, without this node.
    pub quorum: Vec<Voter>,
    /// Votes of nodes in the quorum.
    pub votes: BTreeMap<MemberId, Vote>,
    /// Nodes that were removed from the quorum because they did not answer in time.
    pub unresponsive: Vec<MemberId>,
    /// Nodes outside the quorum that can reach the suspect, with the time of each one's latest
    /// vote.
    extra_reachable_votes: BTreeMap<MemberId, f64>,
    /// Time of the latest vote of any node that it can reach the suspect.
    pub last_reachable_ms: f64,
    pub next_poll_ms: f64,
    /// Interval between two polls of the quorum. It grows while other nodes can reach the suspect.
    pub poll_interval_ms: f64,
}

/// Number of votes for and against a death; the unreachable votes include this node's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteCount {
    pub unreachable: usize,
    pub reachable: usize,
}

impl Suspicion {
    pub fn new(now_ms: f64, poll_interval_ms: f64) -> Self {
        Self {
            quorum: Vec::new(),
            votes: BTreeMap::new(),
            unresponsive: Vec::new(),
            extra_reachable_votes: BTreeMap::new(),
            last_reachable_ms: f64::NEG_INFINITY,
            next_poll_ms: now_ms,
            poll_interval_ms,
        }
    }

    fn is_in_quorum(&self, member: MemberId) -> bool {
        self.quorum.iter().any(|voter| voter.member == member)
    }

    /// Counts the votes that are at most `max_age_ms` old.
    pub fn count_votes(&self, now_ms: f64, max_age_ms: f64) -> VoteCount {
        let recent = self
            .votes
            .values()
            .filter(|vote| now_ms - vote.received_ms <= max_age_ms);
        let reachable = recent.clone().filter(|vote| vote.is_reachable).count();
        let extra_reachable = self
            .extra_reachable_votes
            .values()
            .filter(|received| now_ms - **received <= max_age_ms)
            .count();
        VoteCount {
            unreachable: 1 + recent.count() - reachable,
            reachable: reachable + extra_reachable,
        }
    }

    /// Records a vote. The vote of a node outside the quorum counts only if it can reach the
    /// suspect.
    pub fn record_vote(&mut self, now_ms: f64, by: MemberId, is_reachable: bool) {
        if is_reachable {
            self.last_reachable_ms = now_ms;
        }
        if self.is_in_quorum(by) {
            let vote = Vote {
                received_ms: now_ms,
                is_reachable,
            };
            self.votes.insert(by, vote);
            return;
        }
        let has_room = self.extra_reachable_votes.len() < MAX_EXTRA_VOTES
            || self.extra_reachable_votes.contains_key(&by);
        if is_reachable && has_room {
            self.extra_reachable_votes.insert(by, now_ms);
        }
    }

    /// Drops votes of nodes outside the quorum that are older than `max_age_ms`.
    pub fn expire_extra_votes(&mut self, now_ms: f64, max_age_ms: f64) {
        self.extra_reachable_votes
            .retain(|_, received| now_ms - *received <= max_age_ms);
    }

    /// Removes voters that have not voted within `voter_timeout_ms`, and voters that `is_available`
    /// rejects.
    pub fn drop_unresponsive_voters(
        &mut self,
        now_ms: f64,
        voter_timeout_ms: f64,
        is_available: impl Fn(MemberId) -> bool,
    ) {
        let timed_out = self.quorum.iter().filter(|voter| {
            now_ms - voter.asked_since_ms >= voter_timeout_ms
                && !self.votes.contains_key(&voter.member)
        });
        self.unresponsive
            .extend(timed_out.map(|voter| voter.member));
        let unresponsive = &self.unresponsive;
        self.quorum
            .retain(|voter| is_available(voter.member) && !unresponsive.contains(&voter.member));
    }

    /// Fills the quorum up to `size` with the first candidates that are neither in it nor
    /// unresponsive, and drops votes of nodes that are no longer in the quorum.
    pub fn fill_quorum(
        &mut self,
        now_ms: f64,
        size: usize,
        candidates: impl Iterator<Item = MemberId>,
    ) {
        for member in candidates {
            let is_new = !self.unresponsive.contains(&member) && !self.is_in_quorum(member);
            if self.quorum.len() < size && is_new {
                self.quorum.push(Voter {
                    member,
                    asked_since_ms: now_ms,
                });
            }
        }
        let quorum = &self.quorum;
        self.votes
            .retain(|by, _| quorum.iter().any(|voter| voter.member == *by));
    }
}

/// Whether the votes confirm that a node is dead. `quorum_size` is the size of a full quorum,
/// including this node; `silence_ms` is the time since any node is known to have received a
/// datagram from the suspect.
///
/// At least two thirds of the quorum must vote that the node is unreachable, and at most one
/// seventh that it is reachable: a node that is partitioned from only a few others is not dead. If
/// many voters do not answer at all, as when most of a cluster dies at once, two unanimous votes
/// are enough after twice the suspicion timeout. A single vote is never enough: a node cannot tell
/// its own partition from the death of the other.
pub fn is_death_confirmed(
    votes: VoteCount,
    quorum_size: usize,
    silence_ms: f64,
    suspicion_timeout_ms: f64,
) -> bool {
    let two_thirds = (2 * quorum_size).div_ceil(3).max(2);
    let by_quorum = votes.unreachable >= two_thirds && votes.reachable <= quorum_size / 7;
    let by_few_survivors =
        votes.unreachable >= 2 && votes.reachable == 0 && silence_ms >= 2.0 * suspicion_timeout_ms;
    by_quorum || by_few_survivors
}
