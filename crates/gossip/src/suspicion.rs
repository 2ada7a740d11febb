//! A suspicion against one node, and the quorum rule that turns it into a death.

use std::collections::BTreeMap;

use crate::member_id::MemberId;

#[cfg(test)]
mod tests;

/// How many witnesses outside the quorum are remembered. One would do; two lengthen the interval between questions.
const MAX_EXTRA_VOTES: usize = 16;

/// A node whose vote is requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Voter {
    pub member: MemberId,
    pub asked_since_ms: f64,
}

/// A vote and when it was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Vote {
    pub received_ms: f64,
    pub is_reachable: bool,
}

/// An open suspicion: this node receives nothing from another and asks a quorum.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// The nodes whose votes count, besides this node's.
    pub quorum: Vec<Voter>,
    pub votes: BTreeMap<MemberId, Vote>,
    /// Nodes that were in the quorum and did not answer in time.
    pub unresponsive: Vec<MemberId>,
    /// Nodes outside the quorum that reported when that they reach the suspect.
    witnesses: BTreeMap<MemberId, f64>,
    /// When any node last reported that it reaches the suspect.
    pub last_reachable_ms: f64,
    pub next_poll_ms: f64,
    /// Interval between two questions to the quorum. Grows while others reach the suspect.
    pub poll_interval_ms: f64,
}

/// Votes for and against a death, this node's own among the first.
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
            witnesses: BTreeMap::new(),
            last_reachable_ms: f64::NEG_INFINITY,
            next_poll_ms: now_ms,
            poll_interval_ms,
        }
    }

    fn is_in_quorum(&self, member: MemberId) -> bool {
        self.quorum.iter().any(|voter| voter.member == member)
    }

    /// Counts the votes that are no older than `max_age_ms`.
    pub fn count_votes(&self, now_ms: f64, max_age_ms: f64) -> VoteCount {
        let recent = self
            .votes
            .values()
            .filter(|vote| now_ms - vote.received_ms <= max_age_ms);
        let reachable = recent.clone().filter(|vote| vote.is_reachable).count();
        let witnesses = self
            .witnesses
            .values()
            .filter(|received| now_ms - **received <= max_age_ms)
            .count();
        VoteCount {
            unreachable: 1 + recent.count() - reachable,
            reachable: reachable + witnesses,
        }
    }

    /// Records a vote. A node outside the quorum counts only if it reaches the suspect.
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
        let has_room = self.witnesses.len() < MAX_EXTRA_VOTES || self.witnesses.contains_key(&by);
        if is_reachable && has_room {
            self.witnesses.insert(by, now_ms);
        }
    }

    /// Forgets witnesses whose report is older than `max_age_ms`.
    pub fn expire_extra_votes(&mut self, now_ms: f64, max_age_ms: f64) {
        self.witnesses
            .retain(|_, received| now_ms - *received <= max_age_ms);
    }

    /// Removes voters that did not answer within `voter_timeout_ms`, or that `is_available` rejects.
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

    /// Fills the quorum up to `size` with the first suitable candidates, and drops votes of nodes that are no longer in
    /// it.
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

/// Whether the votes confirm that a node is dead. `voters` is the size of the quorum with this node; `silence_ms` is for
/// how long nobody is known to have received anything from it.
///
/// Two thirds must not reach it and at most one seventh may: a node that is partitioned from a few is not dead. If many
/// voters do not answer at all, as when most of a cluster dies at once, two unanimous votes are enough after twice the
/// suspicion timeout. One vote alone never is: the node cannot tell its own partition from the other's death.
pub fn is_death_confirmed(
    votes: VoteCount,
    voters: usize,
    silence_ms: f64,
    suspicion_timeout_ms: f64,
) -> bool {
    let two_thirds = (2 * voters).div_ceil(3).max(2);
    let by_quorum = votes.unreachable >= two_thirds && votes.reachable <= voters / 7;
    let by_few_survivors =
        votes.unreachable >= 2 && votes.reachable == 0 && silence_ms >= 2.0 * suspicion_timeout_ms;
    by_quorum || by_few_survivors
}
