//! Who grants: what one keeper knows, and what it answers.

use crate::kinds::{Fence, NodeId, Planted, Settings, Shard};
use crate::wire::{Held, Wanted};

/// The low bits of a version count changes, the others tell one process's from another's. After a million changes the
/// next process's numbers begin, and whoever asks is told all.
const CHANGES_BITS: u32 = 20;

/// Fences that are written down ahead, so that hardly any grant has to wait for a disk: a million, of which half are left when
/// the next are asked for.
const RESERVE: u64 = 1 << 20;

/// A process of a node.
pub type Asker = (NodeId, u64);

/// Until when a grant lasts that is over, once that has been told.
const TOLD_OVER: f64 = f64::NEG_INFINITY;

#[derive(Clone, Copy, Debug)]
struct Grant {
    to: Asker,
    fence: Fence,
    until_ms: f64,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    highest: Fence,
    grant: Option<Grant>,
    /// The version in which it changed last.
    changed: u64,
}

/// A keeper's memory, which ends with its process.
#[derive(Clone, Debug)]
pub struct Keeper {
    slots: Vec<Slot>,
    /// Until when it grants nothing: an earlier process may have.
    silent_until_ms: f64,
    version: u64,
    /// Up to which fence it grants, where that is written down; and up to which it was asked to be.
    reserved: Option<Fence>,
    asked: Fence,
    planted: Planted,
}

impl Keeper {
    /// One that has just started.
    pub fn new(now: f64, settings: &Settings) -> Self {
        let planted = settings.planted;
        let floor = if planted == Planted::NoFloor {
            Fence(0)
        } else {
            settings.floor
        };
        let silent = if planted == Planted::NoQuarantine {
            0.0
        } else {
            settings.longest_ms()
        };
        // So that nobody takes a version of another process for one of this.
        let version = settings.process << CHANGES_BITS;
        // What was reserved may have been granted.
        let highest = settings
            .reserved
            .map_or(floor, |reserved| reserved.max(floor));
        let slot = Slot {
            highest,
            grant: None,
            changed: version,
        };
        Self {
            slots: vec![slot; usize::from(settings.shards)],
            silent_until_ms: now + silent,
            version,
            reserved: settings.reserved,
            asked: settings.reserved.unwrap_or_default(),
            planted,
        }
    }

    /// Up to which fence to write down that it grants, where that is due.
    pub fn reserves(&mut self) -> Option<Fence> {
        let (highest, reserved) = (self.highest(), self.reserved?);
        let needed = Fence(highest.0.saturating_add(RESERVE / 2));
        if reserved >= needed || self.asked >= needed {
            return None;
        }
        self.asked = Fence(highest.0.saturating_add(RESERVE));
        Some(self.asked)
    }

    /// It has been written down.
    pub fn reserved(&mut self, fence: Fence) {
        self.reserved = self.reserved.map(|reserved| reserved.max(fence));
    }

    pub fn is_silent(&self, now: f64) -> bool {
        now < self.silent_until_ms
    }

    /// The highest fence of all shards.
    pub fn highest(&self) -> Fence {
        self.slots
            .iter()
            .map(|slot| slot.highest)
            .max()
            .unwrap_or_default()
    }

    /// Another keeper knows of this fence: nothing up to it is granted anew.
    pub fn learn(&mut self, fence: Fence) {
        self.slots
            .iter_mut()
            .for_each(|slot| slot.highest = slot.highest.max(fence));
    }

    /// Whether a process may own a shard for a time; what it has may be renewed.
    pub fn want(&mut self, now: f64, by: Asker, wanted: Wanted, ttl_ms: f64) -> bool {
        let is_silent = self.is_silent(now);
        let planted = self.planted;
        let Some(slot) = self
            .slots
            .get_mut(usize::from(wanted.shard))
            .filter(|_| !is_silent)
        else {
            return false;
        };
        let is_renewal = slot
            .grant
            .is_some_and(|grant| grant.to == by && grant.fence == wanted.fence);
        let is_old = planted == Planted::OldRenewal && wanted.fence < slot.highest && !wanted.given;
        // The one before gave it up for ever; a later one than that did not.
        let given = |grant: &Grant| wanted.given && grant.fence.next() == wanted.fence;
        let in_the_way = slot
            .grant
            .filter(|grant| grant.until_ms > now && grant.to != by && !given(grant));
        let highest =
            if planted == Planted::ForgetsHighest && slot.grant.is_none_or(|g| g.until_ms <= now) {
                Fence(0)
            } else {
                slot.highest
            };
        let is_higher =
            wanted.fence > highest || (planted == Planted::SameFence && wanted.fence == highest);
        let is_written = self
            .reserved
            .is_none_or(|reserved| wanted.fence <= reserved);
        if !is_renewal && !is_old && (in_the_way.is_some() || !is_higher || !is_written) {
            return false;
        }
        // What this process was promised once is held, whatever it asks now.
        let until_ms = slot
            .grant
            .filter(|grant| grant.to == by)
            .map_or(0.0, |grant| grant.until_ms);
        // One that was over, and told so, is told again.
        if !is_renewal || until_ms <= now {
            self.version += 1;
            slot.changed = self.version;
        }
        slot.highest = slot.highest.max(wanted.fence);
        slot.grant = Some(Grant {
            to: by,
            fence: wanted.fence,
            until_ms: until_ms.max(now + ttl_ms),
        });
        true
    }

    /// A process owns a shard no more, or never did.
    pub fn release(&mut self, shard: Shard, by: Asker, fence: Fence) {
        let Some(slot) = self.slots.get_mut(usize::from(shard)) else {
            return;
        };
        if slot
            .grant
            .is_some_and(|grant| grant.to == by && grant.fence == fence)
        {
            slot.grant = None;
            self.version += 1;
            slot.changed = self.version;
        }
    }

    /// How a shard stands.
    pub fn held(&self, now: f64, shard: Shard) -> Held {
        let slot = self.slots.get(usize::from(shard));
        let grant = slot
            .and_then(|slot| slot.grant)
            .filter(|grant| grant.until_ms > now);
        Held {
            shard,
            highest: slot.map(|slot| slot.highest).unwrap_or_default(),
            owner: grant.map(|grant| grant.to.0),
            // At most the longest lease, 10 s.
            left_ms: grant.map_or(0.0, |grant| (grant.until_ms - now).ceil()) as u16,
        }
    }

    /// What has changed since a version, and up to which. Grants that are over count as changes.
    pub fn since(&mut self, now: f64, version: u64, most: usize) -> (u64, Vec<Held>) {
        for slot in &mut self.slots {
            // It stays for renewals by its owner, as long as nobody else comes, and is told once.
            if slot
                .grant
                .is_some_and(|grant| grant.until_ms <= now && grant.until_ms != TOLD_OVER)
            {
                self.version += 1;
                slot.changed = self.version;
                slot.grant = slot.grant.map(|grant| Grant {
                    until_ms: TOLD_OVER,
                    ..grant
                });
            }
        }
        let is_of_this = version >> CHANGES_BITS == self.version >> CHANGES_BITS;
        let since = if is_of_this { version } else { 0 };
        let mut changed: Vec<_> = self
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.changed > since)
            .collect();
        changed.sort_by_key(|(_, slot)| slot.changed);
        let told: Vec<_> = changed.iter().take(most).collect();
        // All of one version go together or are asked for again.
        let up_to = if changed.len() > most {
            told.last().map_or(since, |(_, slot)| slot.changed)
        } else {
            self.version
        };
        let held = told
            .iter()
            .map(|(shard, _)| self.held(now, *shard as Shard))
            .collect();
        (up_to, held)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: Asker = (NodeId(1), 1);
    const B: Asker = (NodeId(2), 2);

    fn wanted(fence: u64) -> Wanted {
        Wanted {
            shard: 0,
            fence: Fence(fence),
            given: false,
        }
    }

    fn settings() -> Settings {
        let (floor, drift) = (Fence(10), 0.0);
        Settings {
            shards: 2,
            lease_ms: 100.0,
            drift,
            floor,
            ..Settings::new(A.0, 7, vec![A.0])
        }
    }

    fn keeper() -> Keeper {
        Keeper::new(0.0, &settings())
    }

    #[test]
    fn a_grant_is_exclusive_rises_and_is_renewed_by_its_owner_alone() {
        let mut keeper = keeper();
        assert!(
            !keeper.want(99.0, A, wanted(11), 50.0),
            "an earlier process may have granted it"
        );
        assert!(
            !keeper.want(100.0, A, wanted(10), 50.0) && keeper.want(100.0, A, wanted(11), 50.0)
        );
        assert!(!keeper.want(149.0, B, wanted(12), 50.0), "it is granted");
        assert!(
            keeper.want(149.0, A, wanted(11), 50.0) && !keeper.want(198.0, B, wanted(12), 50.0)
        );
        assert!(!keeper.want(199.0, B, wanted(11), 50.0), "no number twice");
        assert!(
            keeper.want(199.0, B, wanted(12), 50.0) && !keeper.want(260.0, A, wanted(11), 50.0)
        );
        assert!(
            !keeper.want(
                260.0,
                A,
                Wanted {
                    shard: 9,
                    ..wanted(99)
                },
                50.0
            ),
            "there is no such shard"
        );
    }

    /// What was promised for long is held for long, though its owner asks for less now.
    #[test]
    fn a_shorter_question_takes_nothing_back() {
        let mut keeper = keeper();
        assert!(
            keeper.want(100.0, A, wanted(11), 100.0) && keeper.want(110.0, A, wanted(12), 10.0)
        );
        assert!(
            !keeper.want(199.0, B, wanted(13), 50.0) && keeper.want(200.0, B, wanted(13), 50.0)
        );
    }

    /// Given away is what was owned under the number before, and nothing later.
    #[test]
    fn only_what_was_given_is_taken_over() {
        let mut keeper = keeper();
        assert!(keeper.want(100.0, A, wanted(12), 100.0));
        let given = |fence| Wanted {
            given: true,
            ..wanted(fence)
        };
        assert!(!keeper.want(110.0, B, given(12), 50.0) && !keeper.want(110.0, B, given(14), 50.0));
        assert!(keeper.want(110.0, B, given(13), 50.0));
    }

    /// Guards against nodes that go on to take a shard for free whose owner was late by a moment.
    #[test]
    fn what_was_over_and_is_renewed_is_told_again() {
        let mut keeper = keeper();
        assert!(keeper.want(100.0, A, wanted(11), 50.0));
        let (version, _) = keeper.since(100.0, 0, 9);
        let (version, told) = keeper.since(160.0, version, 9);
        assert_eq!(
            told.iter().map(|held| held.owner).collect::<Vec<_>>(),
            [None]
        );
        assert!(keeper.want(170.0, A, wanted(11), 50.0));
        let (version, told) = keeper.since(170.0, version, 9);
        assert_eq!(
            told.iter().map(|held| held.owner).collect::<Vec<_>>(),
            [Some(A.0)]
        );
        assert_eq!(keeper.since(171.0, version, 9), (version, vec![]));
    }

    /// Nothing is granted that a crash would let it grant again.
    #[test]
    fn what_is_not_written_down_is_not_granted() {
        let mut keeper = Keeper::new(
            0.0,
            &Settings {
                reserved: Some(Fence(50)),
                ..settings()
            },
        );
        assert!(
            !keeper.want(100.0, A, wanted(50), 50.0),
            "it may have been granted before the crash"
        );
        let first = keeper.reserves().expect("it is due");
        assert!(
            first > Fence(1_000_000) && keeper.reserves().is_none(),
            "asked once"
        );
        assert!(
            !keeper.want(100.0, A, wanted(51), 50.0),
            "not written down yet"
        );
        keeper.reserved(first);
        assert!(keeper.want(100.0, A, wanted(51), 50.0) && keeper.reserves().is_none());
        keeper.learn(Fence(first.0 - 10));
        assert!(
            keeper.reserves().is_some_and(|next| next > first),
            "the next are due"
        );
        assert!(
            !keeper.want(200.0, B, wanted(first.0 + 1), 50.0)
                && keeper.want(200.0, B, wanted(first.0), 50.0)
        );
    }
}
