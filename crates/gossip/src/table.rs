//! The nodes that are known, and which of what is known of them is yet to be told.

use std::collections::{BTreeMap, BTreeSet};

use stable_hash::mix;

use crate::kinds::{PeerId, State};
use crate::verdict::Case;
use crate::wire::{MemberId, Record, PARTS};
use crate::MOST_MEMBERS;

/// How long a node that has gone is remembered, so that older news cannot bring it back, in milliseconds. News travel
/// for seconds; this is many times a partition that operators would wait out.
const TOMBSTONE_MS: f64 = 3_600_000.0;

/// How often something is told: an epidemic needs a few times the logarithm to reach all, and some are lost.
const TOLD: u32 = 4;
const TOLD_BY_DOUBLING: u32 = 3;
/// How often it is told that there is somebody new: everybody speaks to every address by itself, and only who cannot has to
/// be told. In a start of all this would be nearly all that is said.
const NEW_TOLD: u32 = 4;

/// Word of a node's end.
#[derive(Clone, Debug)]
pub struct Doom {
    /// When it is believed.
    pub due_ms: f64,
    pub incarnation: u64,
    pub by: String,
    /// When it was found.
    pub verdict_ms: f64,
}

/// Records that are tried for one datagram where two differ: more never fit.
const MOST_TOLD: usize = 12;

/// A node as the table holds it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub state: State,
    pub incarnation: u64,
    pub process: u64,
    pub since_ms: f64,
    pub heard_ms: Option<f64>,
    pub acked_ms: Option<f64>,
    /// When it last counted on this node as one of its observers.
    pub counted_ms: Option<f64>,
    pub slot: Option<PeerId>,
    /// Since when this node is one of its observers.
    pub watched_ms: Option<f64>,
    /// The silence that is being looked into.
    pub case: Option<Box<Case>>,
    /// Until when it counts as suspected by somebody else.
    pub accused_until_ms: f64,
    /// Word of its end that is not believed yet.
    pub doomed: Option<Box<Doom>>,
    /// When it was found gone, by whomever.
    pub verdict_ms: f64,
    /// How often the latest news of it have been sent; none: often enough.
    sends: Option<u32>,
}

impl Entry {
    pub fn new(name: String, incarnation: u64, process: u64, now: f64) -> Self {
        Self {
            name,
            state: State::Alive,
            incarnation,
            process,
            since_ms: now,
            heard_ms: None,
            acked_ms: None,
            counted_ms: None,
            slot: None,
            watched_ms: None,
            case: None,
            accused_until_ms: f64::NEG_INFINITY,
            doomed: None,
            verdict_ms: now,
            sends: None,
        }
    }

    pub fn is_there(&self) -> bool {
        self.state == State::Alive
    }

    pub fn heard_within(&self, now: f64, ms: f64) -> bool {
        self.heard_ms.is_some_and(|heard| now - heard < ms)
    }
}

/// All nodes, this one among them.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<MemberId, Entry>,
    /// What is to be told, the least often told first.
    queue: BTreeSet<(u32, MemberId)>,
    there: usize,
    digests: [u64; PARTS],
}

/// The part that a node belongs to.
fn part(MemberId(id): MemberId) -> usize {
    (id % PARTS as u64) as usize
}

fn digest_of(id: MemberId, entry: &Entry) -> u64 {
    mix(id.0 ^ mix(entry.incarnation ^ ((entry.state as u64) << 62)))
}

impl Table {
    pub fn get(&self, id: MemberId) -> Option<&Entry> {
        self.entries.get(&id)
    }

    /// To change anything but state and incarnation.
    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut Entry> {
        self.entries.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Entry)> {
        self.entries.iter().map(|(id, entry)| (*id, entry))
    }

    /// How many are there, this one among them.
    pub fn there(&self) -> usize {
        self.there
    }

    /// What all that is known comes to; equal at nodes that know the same.
    pub fn digest(&self) -> u64 {
        self.digests.iter().fold(0, |all, part| mix(all ^ part))
    }

    /// The same, part by part, cut short.
    pub fn parts(&self) -> [u16; PARTS] {
        self.digests.map(|part| mix(part) as u16)
    }

    /// Takes one that is not known. `None`: there is no room. Tells which one was forgotten for it, if one was.
    pub fn insert(&mut self, id: MemberId, entry: Entry) -> Option<Option<MemberId>> {
        let mut forgotten = None;
        if self.entries.len() >= MOST_MEMBERS {
            let oldest = self.entries.iter().filter(|(_, entry)| !entry.is_there());
            let (oldest, _) = oldest.min_by(|(_, a), (_, b)| a.since_ms.total_cmp(&b.since_ms))?;
            forgotten = Some(*oldest);
            self.forget(*oldest);
        }
        self.there += usize::from(entry.is_there());
        self.digests[part(id)] ^= digest_of(id, &entry);
        self.entries.insert(id, entry);
        self.tell_from(id, self.often().saturating_sub(NEW_TOLD).max(1));
        Some(forgotten)
    }

    fn forget(&mut self, id: MemberId) {
        let Some(entry) = self.entries.remove(&id) else {
            return;
        };
        self.there -= usize::from(entry.is_there());
        self.digests[part(id)] ^= digest_of(id, &entry);
        if let Some(sends) = entry.sends {
            self.queue.remove(&(sends, id));
        }
    }

    /// Changes what is known of a node, and has it told.
    pub fn set(&mut self, id: MemberId, now: f64, state: State, incarnation: u64) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        self.there -= usize::from(entry.is_there());
        self.digests[part(id)] ^= digest_of(id, entry);
        if entry.state != state {
            entry.since_ms = now;
        }
        entry.state = state;
        entry.incarnation = incarnation;
        entry.case = None;
        entry.doomed = None;
        entry.accused_until_ms = f64::NEG_INFINITY;
        self.there += usize::from(entry.is_there());
        self.digests[part(id)] ^= digest_of(id, entry);
        self.tell(id);
    }

    /// The same for word of an end, which does not say of which process: in a later incarnation it need not be the one that
    /// is held here.
    pub fn end(&mut self, id: MemberId, now: f64, state: State, incarnation: u64) {
        if let Some(entry) = self
            .entries
            .get_mut(&id)
            .filter(|entry| entry.incarnation < incarnation)
        {
            entry.process = 0;
        }
        self.set(id, now, state, incarnation);
    }

    /// Has what is known of a node told, from the start.
    pub fn tell(&mut self, id: MemberId) {
        self.tell_from(id, 0);
    }

    fn tell_from(&mut self, id: MemberId, told: u32) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if let Some(sends) = entry.sends.replace(told) {
            self.queue.remove(&(sends, id));
        }
        self.queue.insert((told, id));
    }

    fn often(&self) -> u32 {
        TOLD + TOLD_BY_DOUBLING * usize::BITS.saturating_sub(self.entries.len().leading_zeros())
    }

    /// Whether anything has not been told at all.
    pub fn has_untold(&self) -> bool {
        self.queue.first().is_some_and(|(sends, _)| *sends == 0)
    }

    pub fn record(&self, id: MemberId, now: f64) -> Option<Record> {
        let entry = self.entries.get(&id)?;
        // Quarters of a second, as the datagrams have it.
        let ago =
            |verdict_ms: f64| ((now - verdict_ms) / 250.0).clamp(0.0, f64::from(u8::MAX)) as u8;
        Some(match entry.state {
            State::Gone => Record::Gone(id, entry.incarnation, ago(entry.verdict_ms)),
            State::Left => Record::Left(id, entry.incarnation),
            State::Alive | State::Suspect => match &entry.doomed {
                // It is passed on before it is believed.
                Some(doom) => Record::Gone(id, doom.incarnation, ago(doom.verdict_ms)),
                None => Record::Alive {
                    incarnation: entry.incarnation,
                    process: entry.process,
                    name: entry.name.clone(),
                },
            },
        })
    }

    /// Fills a datagram with what has been told least often; `push` says whether it fitted.
    pub fn fill(&mut self, now: f64, mut push: impl FnMut(&Record) -> bool) {
        let often = self.often();
        let mut told = Vec::new();
        for (sends, id) in &self.queue {
            let Some(record) = self.record(*id, now) else {
                continue;
            };
            if !push(&record) {
                break;
            }
            told.push((*sends, *id));
        }
        for (sends, id) in told {
            self.queue.remove(&(sends, id));
            let again = Some(sends + 1).filter(|sends| *sends < often);
            if let Some(sends) = again {
                self.queue.insert((sends, id));
            }
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.sends = again;
            }
        }
    }

    /// What is known where another's parts differ, in an order of chance.
    pub fn where_it_differs(
        &self,
        theirs: &[u16; PARTS],
        now: f64,
        rng: &mut fastrand::Rng,
    ) -> Vec<Record> {
        let own = self.parts();
        let differs = |id: &&MemberId| own[part(**id)] != theirs[part(**id)];
        let mut ids: Vec<_> = self.entries.keys().filter(differs).copied().collect();
        rng.shuffle(&mut ids);
        ids.truncate(MOST_TOLD);
        ids.into_iter()
            .filter_map(|id| self.record(id, now))
            .collect()
    }

    /// Forgets those that went long ago, and tells which.
    pub fn sweep(&mut self, now: f64) -> Vec<MemberId> {
        let old = |(id, entry): (&MemberId, &Entry)| {
            (!entry.is_there() && now - entry.since_ms > TOMBSTONE_MS).then_some(*id)
        };
        let old: Vec<_> = self.entries.iter().filter_map(old).collect();
        old.iter().for_each(|id| self.forget(*id));
        old
    }
}
