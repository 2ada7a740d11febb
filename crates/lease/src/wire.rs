//! What nodes say to each other of leases. Numbers are little-endian; a word is a kind and what it says.

use bytes::{Buf, BufMut};

use crate::kinds::{Fence, NodeId, Shard};

/// The longest word, in bytes: with the seal, the head and a name round it a datagram has 256.
pub const MOST_WORD: usize = 170;

/// A question for a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wanted {
    pub shard: Shard,
    pub fence: Fence,
    /// Its owner before has given it up, whatever the keeper still holds of it: up to this fence.
    pub given: bool,
}

/// How a shard stands with a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    pub shard: Shard,
    /// The highest that was granted.
    pub highest: Fence,
    /// Nobody: it is free.
    pub owner: Option<NodeId>,
    pub left_ms: u16,
}

/// The set of keepers that a node goes by, and the one before where that still decides with it; 0: it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sets {
    pub now: u64,
    pub before: u64,
}

/// What a node knows of a set of keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stand {
    /// Which set.
    pub set: u64,
    /// The sender is of the set before and has granted nothing under it for longer than any lease, and never will.
    pub is_sealed: bool,
    /// The set decides alone: nobody acts by an earlier one.
    pub is_alone: bool,
    /// Nobody acts by one that is earlier than the set before.
    pub is_next: bool,
    /// The highest fence that the sender knows.
    pub highest: Fence,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// May the sender own these, for so long, from when it asked?
    Want {
        sets: Sets,
        ask: u32,
        ttl_ms: u16,
        shards: Vec<Wanted>,
    },
    /// It may.
    Granted {
        ask: u32,
        shards: Vec<(Shard, Fence)>,
    },
    /// It may not: how they stand.
    Refused { shards: Vec<Held> },
    /// The sender owns these no more.
    Release { shards: Vec<(Shard, Fence)> },
    /// The sender owns this no more, and the receiver may have it.
    Take { shard: Shard, fence: Fence },
    /// May the sender give this to the receiver?
    Offer { shard: Shard, fence: Fence },
    /// It may.
    Ready { shard: Shard, fence: Fence },
    /// What has changed since this version of the keeper's?
    Who { sets: Sets, since: u64 },
    /// This, up to this version.
    Table { version: u64, shards: Vec<Held> },
    /// What is the highest fence?
    Highest { set: u64 },
    /// Does this set decide alone, or does the one before it?
    Decides { sets: Sets },
    /// This is how the sender stands to that set.
    Stands(Stand),
    /// The sender's effect on behalf of the fleet, as the owner of a shard.
    Effect {
        shard: Shard,
        fence: Fence,
        bytes: Vec<u8>,
    },
    /// This.
    HighestIs(Fence),
    /// The receiver has another set than the sender, which has this number.
    OtherSet(u32),
}

fn put_held(to: &mut Vec<u8>, held: &Held) {
    to.push(held.shard);
    to.put_u64_le(held.highest.0);
    to.put_u64_le(held.owner.map_or(0, |owner| owner.0));
    to.put_u16_le(held.left_ms);
}

/// With the set before where it still decides: kinds that nodes of a fleet at rest never see.
fn put_sets(to: &mut Vec<u8>, [alone, with_before]: [u8; 2], sets: &Sets) {
    to.push(if sets.before == 0 { alone } else { with_before });
    to.put_u64_le(sets.now);
    if sets.before != 0 || alone == with_before {
        to.put_u64_le(sets.before);
    }
}

/// The longest effect, in bytes.
pub const MOST_EFFECT: usize = MOST_WORD - 10;
/// Entries of each kind that fit a word.
pub const MOST_WANTED: usize = (MOST_WORD - 23) / 10;
pub const MOST_HELD: usize = (MOST_WORD - 9) / 19;

impl Word {
    pub fn write(&self) -> Vec<u8> {
        let mut to = Vec::with_capacity(MOST_WORD);
        match self {
            Self::Want {
                sets,
                ask,
                ttl_ms,
                shards,
            } => {
                put_sets(&mut to, [1, 13], sets);
                to.put_u32_le(*ask);
                to.put_u16_le(*ttl_ms);
                for wanted in shards {
                    to.extend_from_slice(&[wanted.shard, u8::from(wanted.given)]);
                    to.put_u64_le(wanted.fence.0);
                }
            }
            Self::Granted { ask, shards } => {
                to.push(2);
                to.put_u32_le(*ask);
                for (shard, fence) in shards {
                    to.push(*shard);
                    to.put_u64_le(fence.0);
                }
            }
            Self::Refused { shards } => {
                to.push(3);
                shards.iter().for_each(|held| put_held(&mut to, held));
            }
            Self::Release { shards } => {
                to.push(4);
                for (shard, fence) in shards {
                    to.push(*shard);
                    to.put_u64_le(fence.0);
                }
            }
            Self::Take { shard, fence } => {
                to.extend_from_slice(&[5, *shard]);
                to.put_u64_le(fence.0);
            }
            Self::Who { sets, since } => {
                put_sets(&mut to, [6, 14], sets);
                to.put_u64_le(*since);
            }
            Self::Table { version, shards } => {
                to.push(7);
                to.put_u64_le(*version);
                shards.iter().for_each(|held| put_held(&mut to, held));
            }
            Self::Highest { set } => {
                to.push(8);
                to.put_u64_le(*set);
            }
            Self::HighestIs(fence) => {
                to.push(9);
                to.put_u64_le(fence.0);
            }
            Self::Offer { shard, fence } => {
                to.extend_from_slice(&[11, *shard]);
                to.put_u64_le(fence.0);
            }
            Self::Ready { shard, fence } => {
                to.extend_from_slice(&[12, *shard]);
                to.put_u64_le(fence.0);
            }
            Self::OtherSet(set) => {
                to.push(10);
                to.put_u32_le(*set);
            }
            Self::Decides { sets } => put_sets(&mut to, [15, 15], sets),
            Self::Stands(stand) => {
                to.push(16);
                to.put_u64_le(stand.set);
                let flags = [stand.is_sealed, stand.is_alone, stand.is_next];
                to.push(
                    flags
                        .iter()
                        .rev()
                        .fold(0, |all, flag| all << 1 | u8::from(*flag)),
                );
                to.put_u64_le(stand.highest.0);
            }
            Self::Effect {
                shard,
                fence,
                bytes,
            } => {
                to.extend_from_slice(&[17, *shard]);
                to.put_u64_le(fence.0);
                to.extend_from_slice(bytes);
            }
        }
        to
    }

    /// `None`: a kind that is not known here, or one that stops short.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let (kind, rest) = bytes.split_first().filter(|_| bytes.len() <= MOST_WORD)?;
        let mut body = Body(rest);
        Some(match kind {
            1 | 13 => {
                let sets = body.sets(*kind == 13)?;
                let (ask, ttl_ms) = (body.u32()?, body.u16()?);
                let shards = body.all(|body| {
                    let (shard, given) = (body.u8()?, body.u8()? == 1);
                    Some(Wanted {
                        shard,
                        given,
                        fence: Fence(body.u64()?),
                    })
                })?;
                Self::Want {
                    sets,
                    ask,
                    ttl_ms,
                    shards,
                }
            }
            2 => Self::Granted {
                ask: body.u32()?,
                shards: body.all(Body::fence)?,
            },
            3 => Self::Refused {
                shards: body.all(Body::held)?,
            },
            4 => Self::Release {
                shards: body.all(Body::fence)?,
            },
            5 => {
                let (shard, fence) = body.fence()?;
                Self::Take { shard, fence }
            }
            6 | 14 => Self::Who {
                sets: body.sets(*kind == 14)?,
                since: body.u64()?,
            },
            7 => Self::Table {
                version: body.u64()?,
                shards: body.all(Body::held)?,
            },
            8 => Self::Highest { set: body.u64()? },
            9 => Self::HighestIs(Fence(body.u64()?)),
            10 => Self::OtherSet(body.u32()?),
            11 => {
                let (shard, fence) = body.fence()?;
                Self::Offer { shard, fence }
            }
            12 => {
                let (shard, fence) = body.fence()?;
                Self::Ready { shard, fence }
            }
            15 => Self::Decides {
                sets: body.sets(true)?,
            },
            16 => {
                let (set, flags, highest) = (body.u64()?, body.u8()?, Fence(body.u64()?));
                let [is_sealed, is_alone, is_next] = [1, 2, 4].map(|flag| flags & flag != 0);
                Self::Stands(Stand {
                    set,
                    is_sealed,
                    is_alone,
                    is_next,
                    highest,
                })
            }
            17 => {
                let (shard, fence) = body.fence()?;
                Self::Effect {
                    shard,
                    fence,
                    bytes: body.0.to_vec(),
                }
            }
            _ => return None,
        })
    }
}

struct Body<'a>(&'a [u8]);

impl Body<'_> {
    fn u8(&mut self) -> Option<u8> {
        self.0.try_get_u8().ok()
    }

    fn u16(&mut self) -> Option<u16> {
        self.0.try_get_u16_le().ok()
    }

    fn u32(&mut self) -> Option<u32> {
        self.0.try_get_u32_le().ok()
    }

    fn u64(&mut self) -> Option<u64> {
        self.0.try_get_u64_le().ok()
    }

    fn fence(&mut self) -> Option<(Shard, Fence)> {
        let shard = self.u8()?;
        Some((shard, Fence(self.u64()?)))
    }

    fn sets(&mut self, with_before: bool) -> Option<Sets> {
        let now = self.u64()?;
        Some(Sets {
            now,
            before: if with_before { self.u64()? } else { 0 },
        })
    }

    fn held(&mut self) -> Option<Held> {
        let (shard, highest) = self.fence()?;
        let owner = Some(self.u64()?).filter(|owner| *owner != 0).map(NodeId);
        Some(Held {
            shard,
            highest,
            owner,
            left_ms: self.u16()?,
        })
    }

    fn all<T>(&mut self, mut one: impl FnMut(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        let mut all = Vec::new();
        while !self.0.is_empty() {
            all.push(one(self)?);
        }
        Some(all)
    }
}

#[cfg(test)]
mod golden_tests;

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn fences() -> impl Strategy<Value = Vec<(Shard, Fence)>> {
        proptest::collection::vec((any::<u8>(), any::<u64>().prop_map(Fence)), 0..=MOST_WANTED)
    }

    fn held() -> impl Strategy<Value = Vec<Held>> {
        let one = (any::<u8>(), any::<u64>(), any::<u64>(), any::<u16>());
        let one = one.prop_map(|(shard, highest, owner, left_ms)| {
            let owner = Some(NodeId(owner)).filter(|owner| owner.0 != 0);
            Held {
                shard,
                highest: Fence(highest),
                owner,
                left_ms,
            }
        });
        proptest::collection::vec(one, 0..=MOST_HELD)
    }

    fn sets() -> impl Strategy<Value = Sets> {
        (any::<u64>(), prop_oneof![Just(0), any::<u64>()])
            .prop_map(|(now, before)| Sets { now, before })
    }

    fn word() -> impl Strategy<Value = Word> {
        let wanted = fences().prop_map(|all| {
            let one = |(shard, fence)| Wanted {
                shard,
                fence,
                given: shard % 2 == 0,
            };
            all.into_iter().map(one).collect()
        });
        prop_oneof![
            (sets(), any::<(u32, u16)>(), wanted).prop_map(|(sets, (ask, ttl_ms), shards)| {
                Word::Want {
                    sets,
                    ask,
                    ttl_ms,
                    shards,
                }
            }),
            (any::<u32>(), fences()).prop_map(|(ask, shards)| Word::Granted { ask, shards }),
            held().prop_map(|shards| Word::Refused { shards }),
            fences().prop_map(|shards| Word::Release { shards }),
            any::<(u8, u64)>().prop_map(|(shard, fence)| Word::Take {
                shard,
                fence: Fence(fence)
            }),
            any::<(u8, u64)>().prop_map(|(shard, fence)| Word::Offer {
                shard,
                fence: Fence(fence)
            }),
            any::<(u8, u64)>().prop_map(|(shard, fence)| Word::Ready {
                shard,
                fence: Fence(fence)
            }),
            (sets(), any::<u64>()).prop_map(|(sets, since)| Word::Who { sets, since }),
            sets().prop_map(|sets| Word::Decides { sets }),
            any::<(u64, bool, bool, bool, u64)>().prop_map(
                |(set, is_sealed, is_alone, is_next, highest)| {
                    Word::Stands(Stand {
                        set,
                        is_sealed,
                        is_alone,
                        is_next,
                        highest: Fence(highest),
                    })
                }
            ),
            (
                any::<(u8, u64)>(),
                proptest::collection::vec(any::<u8>(), 0..=MOST_EFFECT)
            )
                .prop_map(|((shard, fence), bytes)| Word::Effect {
                    shard,
                    fence: Fence(fence),
                    bytes
                }),
            (any::<u64>(), held()).prop_map(|(version, shards)| Word::Table { version, shards }),
            any::<u64>().prop_map(|set| Word::Highest { set }),
            any::<u64>().prop_map(|fence| Word::HighestIs(Fence(fence))),
            any::<u32>().prop_map(Word::OtherSet),
        ]
    }

    proptest! {
        #[test]
        fn what_is_written_is_read_and_never_too_long(word in word()) {
            let bytes = word.write();
            prop_assert!(bytes.len() <= MOST_WORD);
            prop_assert_eq!(Word::read(&bytes), Some(word));
        }

        #[test]
        fn no_bytes_are_too_odd(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            let _ = Word::read(&bytes);
        }
    }
}
