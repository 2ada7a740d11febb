//! A node: it asks for what it should own, renews what it owns, and keeps, where it is a keeper.

use std::collections::VecDeque;
use std::marker::PhantomData;

use fastrand::Rng;
use stable_hash::mix;

use crate::claims::{Claim, MOST_KEEPERS};
use crate::council::Council;
use crate::keeper::Keeper;
use crate::kinds::{
    sorted, Action, Change, ChangeError, Event, Fence, Figures, NodeId, Note, Owner, Planted,
    Settings, SettingsError, Shard, Standing,
};
use crate::wire::{Held, Sets, Stand, Wanted, Word, MOST_EFFECT, MOST_HELD, MOST_WANTED};

/// How often it looks at what is due, in milliseconds.
const TICK_MS: f64 = 50.0;
/// How often it asks a keeper, in turn, who owns what.
const POLL_MS: f64 = 500.0;
/// Who has not heard another keeper for so long asks for nothing: it may be heard itself, and would keep others from it.
const DEAF_MS: f64 = 4.0 * POLL_MS;
/// How much later each next node asks for a free shard than the one before it in the shard's order.
const RANK_MS: f64 = 200.0;
/// How many nodes ask for one at all.
const RANKS: usize = 5;
/// How much later those ask that hear badly.
const LAST_MS: f64 = 1_000.0;
/// For how long an offer is good.
const OFFERED_MS: f64 = 2_000.0;
/// How often a keeper that has restarted asks the others what they granted.
const LEARN_MS: f64 = 200.0;
/// For how long another has to be the first in a shard's order before it is given the shard, and how often one is given
/// away, so that what comes and goes moves nothing.
const SETTLED_MS: f64 = 10_000.0;
const MOVE_MS: f64 = 500.0;
/// Questions whose answers are waited for, at a time: one a tick to each keeper, for the longest lease.
const MOST_ASKS: usize = 2_048;
/// How often it says that a keeper has another set.
const NOTE_MS: f64 = 60_000.0;

// Parts of a lease.

/// A first grant is short, so that those who share the grants of one shard do not block it for long.
const OFFER: f64 = 1.0 / 4.0;
/// When a lease is renewed, and when it is asked again without an answer.
const RENEW: f64 = 1.0 / 3.0;
const AGAIN: f64 = 1.0 / 10.0;
/// With less than this left it is asked again; and without an answer for so long no longer for the whole time, as this node
/// may be heard and hear nothing, and the next one has to wait for what was granted.
const LOW: f64 = 1.0 / 2.0;

/// A question that went to a keeper: its number, to whom, when and for how long.
#[derive(Clone, Copy, Debug)]
struct Ask {
    number: u32,
    keeper: usize,
    sent_ms: f64,
    ttl_ms: f64,
}

#[derive(Clone, Debug)]
struct Slot {
    /// The highest fence that was heard of.
    known: Fence,
    owner: Option<NodeId>,
    since_ms: f64,
    /// Since when a keeper says that nobody owns it.
    free_ms: Option<f64>,
    try_at_ms: f64,
    /// What this process owns it under.
    own: Option<Claim>,
    /// What it asks for.
    claim: Option<Claim>,
    /// This node's place among those that should have it.
    rank: Option<usize>,
    first: Option<NodeId>,
    first_since_ms: f64,
    /// To whom it has been offered, and when.
    offered: Option<(NodeId, f64)>,
    /// To whom it was given.
    given: Option<Given>,
    /// The highest fence under which somebody said that it did something.
    done: Fence,
}

/// A shard that was given away: said again for a while, as word of it may be lost.
#[derive(Clone, Copy, Debug)]
struct Given {
    to: NodeId,
    fence: Fence,
    at_ms: f64,
    said_ms: f64,
}

impl Slot {
    /// Asks under the next number. No number is used again, even where nothing came of it: word that it was given up may be
    /// on its way yet.
    fn begin(&mut self, now: f64, given: bool) {
        self.known = self.known.next();
        self.claim = Some(Claim::new(now, self.known, given));
    }
}

/// Leave to act on a shard, at this moment: it is asked for anew at each step that has an effect.
///
/// It cannot be made outside of this crate, and lives no longer than the borrow of what gave it, so nothing that happens to
/// the leases can happen while one is held.
///
/// ```compile_fail,E0502
/// fn act(leases: &mut lease::Leases) {
///     let permit = leases.permit(0.0, 0);
///     leases.handle(1.0, lease::Event::Due, &mut Vec::new());
///     drop(permit); // It would outlast what may have ended it.
/// }
/// ```
///
/// ```compile_fail,E0451
/// let permit = lease::Permit { shard: 0, fence: lease::Fence(1), until_ms: 1e9, of: std::marker::PhantomData };
/// ```
#[derive(Debug)]
pub struct Permit<'a> {
    shard: Shard,
    fence: Fence,
    until_ms: f64,
    of: PhantomData<&'a Leases>,
}

impl Permit<'_> {
    /// For which shard.
    #[must_use]
    pub fn shard(&self) -> Shard {
        self.shard
    }

    /// The number that the effect has to carry.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// By when the effect has to be over, by this node's clock in milliseconds.
    #[must_use]
    pub fn until_ms(&self) -> f64 {
        self.until_ms
    }

    /// Whether there is time left, by this node's clock: asked again right before what cannot be taken back.
    #[must_use]
    pub fn holds_at(&self, now: f64) -> bool {
        now < self.until_ms
    }
}

/// What a node owns and keeps. See the crate's page.
#[derive(Clone, Debug)]
pub struct Leases {
    settings: Settings,
    council: Council,
    rng: Rng,
    now: f64,
    keeper: Option<Keeper>,
    grants: bool,
    /// How far each keeper's table is known.
    seen: [u64; MOST_KEEPERS],
    slots: Vec<Slot>,
    asks: VecDeque<Ask>,
    next_ask: u32,
    next_poll: f64,
    polled: usize,
    next_learn: f64,
    next_move: f64,
    next_tick: f64,
    noted_ms: f64,
    /// When another keeper was heard last.
    heard_ms: f64,
    leaving: bool,
    standing: Standing,
    candidates: Vec<NodeId>,
    figures: Figures,
    out: Vec<Action>,
}

impl Leases {
    /// A node that owns nothing and knows of no owner.
    ///
    /// # Errors
    ///
    /// The settings make no sense.
    pub fn new(now: f64, mut settings: Settings) -> Result<Self, SettingsError> {
        settings.check()?;
        if !cfg!(feature = "planted") {
            settings.planted = Planted::None;
        }
        let council = Council::new(now, &settings, false);
        let mut rng = Rng::with_seed(settings.seed);
        let keeper = council
            .all
            .contains(&settings.me)
            .then(|| Keeper::new(now, &settings));
        let slot = Slot {
            known: Fence(0),
            owner: None,
            since_ms: now,
            free_ms: None,
            try_at_ms: now,
            own: None,
            claim: None,
            rank: None,
            first: None,
            first_since_ms: now,
            offered: None,
            given: None,
            done: Fence(0),
        };
        let polled = rng.usize(..council.all.len());
        Ok(Self {
            council,
            slots: vec![slot; usize::from(settings.shards)],
            now,
            keeper,
            grants: false,
            seen: [0; MOST_KEEPERS],
            asks: VecDeque::new(),
            next_ask: rng.u32(..),
            next_poll: now + rng.f64() * POLL_MS,
            polled,
            next_learn: now,
            next_move: now,
            next_tick: now + rng.f64() * TICK_MS,
            noted_ms: f64::NEG_INFINITY,
            heard_ms: f64::NEG_INFINITY,
            leaving: false,
            standing: Standing::Isolated,
            candidates: Vec::new(),
            figures: Figures::default(),
            out: Vec::new(),
            rng,
            settings,
        })
    }

    /// Takes an event at a time and says what is to be done. Times never go back.
    pub fn handle(&mut self, now: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.lapse();
        match event {
            Event::Word {
                from,
                process,
                bytes,
            } => match Word::read(bytes) {
                Some(word) => self.word((from, process), word),
                None => self.figures.malformed += 1,
            },
            Event::Due => {}
            Event::Candidates(candidates, standing) => self.set_candidates(candidates, standing),
            Event::Give(shard, to) => self.offer(shard, to),
            Event::Tell(shard, bytes) => self.tell(shard, bytes),
            Event::Reserved(fence) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.reserved(fence);
                }
            }
            Event::Leave => self.leave(),
        }
        if self.now >= self.next_tick {
            self.on_tick();
            self.next_tick = self.now + TICK_MS;
        }
        actions.append(&mut self.out);
        actions.push(Action::WakeAt(self.next_tick));
    }

    /// Leave to act on a shard now, if this process owns it.
    #[must_use]
    pub fn permit(&self, now: f64, shard: Shard) -> Option<Permit<'_>> {
        let own = self.slots.get(usize::from(shard))?.own.as_ref()?;
        let until_ms = own.until_ms(self.council.quorum());
        let holds = now.max(self.now) < until_ms;
        holds.then_some(Permit {
            shard,
            fence: own.fence,
            until_ms,
            of: PhantomData,
        })
    }

    /// Who owns what, as far as this node knows.
    pub fn owners(&self, now: f64) -> impl Iterator<Item = Owner> + '_ {
        self.slots.iter().enumerate().map(move |(shard, slot)| {
            let shard = shard as Shard;
            let permit = self.permit(now, shard);
            Owner {
                shard,
                node: permit.as_ref().map(|_| self.settings.me).or(slot.owner),
                fence: permit.as_ref().map_or(slot.known, Permit::fence),
                left_ms: permit.map_or(0.0, |permit| permit.until_ms - now),
                since_ms: slot.since_ms,
            }
        })
    }

    /// Its counts.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// The keepers.
    #[must_use]
    pub fn keepers(&self) -> &[NodeId] {
        &self.council.all
    }

    /// The number of the set of keepers that it goes by, and whether that one decides alone: until then keepers do not
    /// change again.
    #[must_use]
    pub fn set(&self) -> (u32, bool) {
        (self.settings.set, self.council.is_alone())
    }

    /// Goes by other keepers from now on, the next set, with `before` the ones that it goes by now. Tells whether anything
    /// changed.
    ///
    /// # Errors
    ///
    /// The step is not safe here and now. It goes on with what it has.
    pub fn change(
        &mut self,
        now: f64,
        set: u32,
        keepers: &[NodeId],
        before: &[NodeId],
    ) -> Result<bool, ChangeError> {
        let has = self.settings.set;
        let (is_alone, same) = (self.council.is_alone(), sorted(&self.settings.keepers));
        if set == has && same == sorted(keepers) {
            let is_same = sorted(before) == sorted(&self.settings.before);
            return if is_same || is_alone {
                Ok(false)
            } else {
                Err(ChangeError::Unsettled(has))
            };
        }
        if set == has {
            return Err(ChangeError::SameNumber(set));
        }
        if has.checked_add(1) != Some(set) {
            return Err(ChangeError::NotNext { has, wanted: set });
        }
        if !is_alone {
            return Err(ChangeError::Unsettled(has));
        }
        if sorted(before) != same {
            return Err(ChangeError::NotBefore);
        }
        let settings = Settings {
            set,
            keepers: keepers.to_vec(),
            before: before.to_vec(),
            ..self.settings.clone()
        };
        settings.check().map_err(ChangeError::Settings)?;
        self.now = self.now.max(now);
        self.follow(settings);
        Ok(true)
    }

    /// Goes by these keepers, and keeps what the ones before have granted.
    fn follow(&mut self, settings: Settings) {
        let council = Council::new(self.now, &settings, true);
        let was: Vec<_> = council
            .all
            .iter()
            .map(|keeper| self.council.all.iter().position(|held| held == keeper))
            .collect();
        let mut seen = [0; MOST_KEEPERS];
        for (to, from) in was.iter().enumerate() {
            seen[to] = from.map_or(0, |from| self.seen[from]);
        }
        for slot in &mut self.slots {
            // Asked of all at once: a new keeper has granted nothing yet.
            slot.own = slot.own.take().map(|own| own.moved(&was));
            slot.claim = slot.claim.take().map(|claim| claim.moved(&was));
        }
        self.asks.clear();
        if self.keeper.is_none() && council.all.contains(&settings.me) {
            self.keeper = Some(Keeper::new(self.now, &settings));
        }
        (self.seen, self.polled, self.council, self.settings) = (seen, 0, council, settings);
    }

    /// Whether it is a keeper that grants.
    #[must_use]
    pub fn grants(&self) -> bool {
        self.keeper
            .as_ref()
            .is_some_and(|keeper| !keeper.is_silent(self.now))
    }

    /// The highest fence that this node has granted or heard of: what a keeper writes down where there is a disk.
    #[must_use]
    pub fn highest(&self) -> Fence {
        let known = self
            .slots
            .iter()
            .map(|slot| slot.known)
            .max()
            .unwrap_or_default();
        self.keeper
            .as_ref()
            .map_or(known, |keeper| keeper.highest().max(known))
    }

    /// All that decides what it does next, but for what chances it will draw: for a search through states.
    #[cfg(feature = "planted")]
    pub fn state(&self, to: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        let parts = (
            &self.council,
            &self.keeper,
            &self.slots,
            &self.asks,
            self.leaving,
            self.heard_ms,
        );
        format!("{parts:?}").hash(to);
    }

    /// The word by which a keeper is asked how things stand.
    #[cfg(feature = "planted")]
    #[must_use]
    pub fn who_word(&self) -> Vec<u8> {
        Word::Who {
            sets: self.council.sets(),
            since: 0,
        }
        .write()
    }

    fn part(&self, of_a_lease: f64) -> f64 {
        self.settings.lease_ms * of_a_lease
    }

    // ---- words ----

    fn word(&mut self, from: (NodeId, u64), word: Word) {
        let keeper = self.council.all.iter().position(|keeper| *keeper == from.0);
        if keeper.is_some() {
            self.heard_ms = self.now;
        }
        match (word, keeper) {
            (
                Word::Want {
                    sets,
                    ask,
                    ttl_ms,
                    shards,
                },
                _,
            ) => self.wanted(from, sets, ask, ttl_ms, &shards),
            (Word::Release { shards }, _) => {
                if let Some(own) = &mut self.keeper {
                    shards
                        .iter()
                        .for_each(|(shard, fence)| own.release(*shard, from, *fence));
                }
            }
            (Word::Take { shard, fence }, _) => self.taken(shard, fence),
            (Word::Offer { shard, fence }, _)
                if !self.leaving && self.standing == Standing::Well =>
            {
                self.send(from.0, &Word::Ready { shard, fence });
            }
            (Word::Ready { shard, fence }, _) => self.is_ready(from.0, shard, fence),
            (Word::Who { sets, since }, _) => self.who(from.0, sets, since),
            (Word::Highest { .. }, _) => {
                // Whatever set it is asked for: a number that is too high does no harm.
                if let Some(own) = &self.keeper {
                    let word = Word::HighestIs(own.highest());
                    self.send(from.0, &word);
                }
            }
            (Word::Decides { sets }, _) => {
                if let Some(stand) = self.stand(sets) {
                    self.send(from.0, &Word::Stands(stand));
                }
            }
            (Word::Stands(stand), _) => self.stands(from.0, stand),
            (
                Word::Effect {
                    shard,
                    fence,
                    bytes,
                },
                _,
            ) => self.effect(from.0, shard, fence, bytes),
            (Word::Granted { ask, shards }, Some(keeper)) => self.granted(keeper, ask, &shards),
            (Word::Refused { shards }, Some(keeper)) => {
                shards.iter().for_each(|held| self.refused(keeper, *held));
            }
            (Word::Table { version, shards }, Some(keeper)) => self.table(keeper, version, &shards),
            (Word::HighestIs(fence), Some(_)) => {
                if let Some(own) = self.keeper.as_mut().filter(|own| own.is_silent(self.now)) {
                    own.learn(fence);
                }
            }
            (Word::OtherSet(set), Some(_)) if self.now - self.noted_ms >= NOTE_MS => {
                self.noted_ms = self.now;
                self.out.push(Action::Note(Note::OtherSet {
                    keeper: from.0,
                    set,
                }));
            }
            _ => {}
        }
    }

    fn send(&mut self, to: NodeId, word: &Word) {
        let bytes = word.write();
        self.figures.sent.0 += 1;
        self.figures.sent.1 += bytes.len() as u64;
        self.out.push(Action::Send { to, bytes });
    }

    // ---- as a keeper ----

    fn wanted(&mut self, by: (NodeId, u64), sets: Sets, ask: u32, ttl_ms: u16, shards: &[Wanted]) {
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        if !self.council.serves(sets) {
            let number = self.settings.set;
            return self.send(by.0, &Word::OtherSet(number));
        }
        if keeper.is_silent(self.now) {
            return;
        }
        let ttl = f64::from(ttl_ms).min(self.settings.lease_ms);
        let (mut granted, mut refused) = (Vec::new(), Vec::new());
        for wanted in shards {
            if keeper.want(self.now, by, *wanted, ttl) {
                granted.push((wanted.shard, wanted.fence));
            } else {
                refused.push(keeper.held(self.now, wanted.shard));
            }
        }
        self.figures.grants += granted.len() as u64;
        self.figures.refusals += refused.len() as u64;
        if !granted.is_empty() {
            self.send(
                by.0,
                &Word::Granted {
                    ask,
                    shards: granted,
                },
            );
        }
        refused.chunks(MOST_HELD).for_each(|held| {
            self.send(
                by.0,
                &Word::Refused {
                    shards: held.to_vec(),
                },
            );
        });
    }

    fn who(&mut self, by: NodeId, sets: Sets, since: u64) {
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        if !self.council.serves(sets) {
            let number = self.settings.set;
            return self.send(by, &Word::OtherSet(number));
        }
        if keeper.is_silent(self.now) {
            return;
        }
        let (version, shards) = keeper.since(self.now, since, MOST_HELD);
        self.send(by, &Word::Table { version, shards });
    }

    // ---- which keepers decide ----

    fn stand(&self, by: Sets) -> Option<Stand> {
        let (me, longest) = (self.settings.me, self.settings.longest_ms());
        self.council
            .stand(self.now, longest, me, by, self.highest())
    }

    fn stands(&mut self, from: NodeId, stand: Stand) {
        // What was owned by an earlier set alone is not above this.
        self.slots
            .iter_mut()
            .for_each(|slot| slot.known = slot.known.max(stand.highest));
        if self.council.hear(from, stand) {
            let highest = self.highest();
            if let Some(keeper) = &mut self.keeper {
                keeper.learn(highest);
            }
            self.out.push(Action::Note(Note::Alone(self.settings.set)));
        }
    }

    /// Asks the keepers, and somebody else each time, how far a change of keepers is.
    fn ask_how_far(&mut self) {
        if self.council.is_alone() {
            return;
        }
        let (me, sets) = (self.settings.me, self.council.sets());
        if let Some(own) = self.stand(sets) {
            self.stands(me, own);
        }
        let other = self.rng.usize(..self.candidates.len().max(1));
        let other = self.candidates.get(other).copied();
        let others: Vec<_> = self
            .council
            .all
            .iter()
            .copied()
            .chain(other)
            .filter(|to| *to != me)
            .collect();
        others
            .into_iter()
            .for_each(|to| self.send(to, &Word::Decides { sets }));
    }

    // ---- what is done for all ----

    fn tell(&mut self, shard: Shard, bytes: &[u8]) {
        let me = self.settings.me;
        let Some(fence) = self.permit(self.now, shard).map(|permit| permit.fence()) else {
            return;
        };
        if bytes.len() > MOST_EFFECT {
            return;
        }
        self.effect(me, shard, fence, bytes.to_vec());
        let word = Word::Effect {
            shard,
            fence,
            bytes: bytes.to_vec(),
        };
        let others: Vec<_> = self
            .candidates
            .iter()
            .copied()
            .filter(|node| *node != me)
            .collect();
        others.into_iter().for_each(|to| self.send(to, &word));
    }

    fn effect(&mut self, from: NodeId, shard: Shard, fence: Fence, bytes: Vec<u8>) {
        let Some(slot) = self.slots.get_mut(usize::from(shard)) else {
            return;
        };
        if fence < slot.done {
            self.figures.stale += 1;
            return;
        }
        slot.done = fence;
        slot.known = slot.known.max(fence);
        self.figures.effects += 1;
        self.out.push(Action::Effect {
            from,
            shard,
            fence,
            bytes,
        });
    }

    // ---- as one that asks ----

    /// Asks all keepers for some shards under what is claimed of each.
    fn ask(&mut self, ttl_ms: f64, shards: &[Wanted]) {
        let own = (self.settings.me, self.settings.process);
        for keeper in 0..self.council.all.len() {
            let to = self.council.all[keeper];
            if to == self.settings.me {
                for wanted in shards {
                    let Some(memory) = &mut self.keeper else {
                        continue;
                    };
                    if memory.is_silent(self.now) {
                        continue;
                    }
                    if memory.want(self.now, own, *wanted, ttl_ms) {
                        self.figures.grants += 1;
                        self.grant(keeper, wanted.shard, wanted.fence, self.now, ttl_ms);
                    } else {
                        let held = memory.held(self.now, wanted.shard);
                        self.refused(keeper, held);
                    }
                }
                continue;
            }
            for some in shards.chunks(MOST_WANTED) {
                self.next_ask = self.next_ask.wrapping_add(1);
                if self.asks.len() >= MOST_ASKS {
                    self.asks.pop_front();
                }
                self.asks.push_back(Ask {
                    number: self.next_ask,
                    keeper,
                    sent_ms: self.now,
                    ttl_ms,
                });
                let (sets, ask) = (self.council.sets(), self.next_ask);
                // No longer than the longest lease, 10 s.
                let word = Word::Want {
                    sets,
                    ask,
                    ttl_ms: ttl_ms as u16,
                    shards: some.to_vec(),
                };
                self.send(to, &word);
            }
        }
    }

    fn granted(&mut self, keeper: usize, number: u32, shards: &[(Shard, Fence)]) {
        let ask = self
            .asks
            .iter()
            .find(|ask| ask.number == number && ask.keeper == keeper)
            .copied();
        let Some(Ask {
            sent_ms, ttl_ms, ..
        }) = ask
        else {
            return;
        };
        // As the word had it.
        let ttl_ms = ttl_ms.trunc();
        shards
            .iter()
            .for_each(|(shard, fence)| self.grant(keeper, *shard, *fence, sent_ms, ttl_ms));
    }

    /// A keeper has granted what was asked at a time.
    fn grant(&mut self, keeper: usize, shard: Shard, fence: Fence, sent_ms: f64, ttl_ms: f64) {
        let (now, quorum) = (self.now, self.council.quorum());
        let from = if self.settings.planted == Planted::FromAnswer {
            now
        } else {
            sent_ms
        };
        // By the slower clock of the two the time is shorter.
        let until_ms = from + ttl_ms / (1.0 + self.settings.drift);
        let Some(slot) = self.slots.get_mut(usize::from(shard)) else {
            return;
        };
        if let Some(own) = slot.own.as_mut().filter(|own| own.fence == fence) {
            own.granted(keeper, until_ms);
            if self.council.all[keeper] != self.settings.me {
                own.answered_ms = now;
            }
            return;
        }
        let Some(claim) = slot.claim.as_mut().filter(|claim| claim.fence == fence) else {
            return;
        };
        claim.granted(keeper, until_ms);
        if claim.until_ms(quorum) <= now {
            return;
        }
        if slot.own.is_none() {
            slot.since_ms = now;
        }
        claim.answered_ms = now;
        slot.own = slot.claim.take();
        slot.owner = Some(self.settings.me);
        slot.free_ms = None;
        slot.known = slot.known.max(fence);
        slot.first_since_ms = now;
        self.figures.won += 1;
        self.out.push(Action::Changed(shard, fence, Change::Won));
    }

    fn refused(&mut self, keeper: usize, held: Held) {
        let (now, quorum, me) = (self.now, self.council.quorum(), self.settings.me);
        let Some(slot) = self.slots.get_mut(usize::from(held.shard)) else {
            return;
        };
        slot.known = slot.known.max(held.highest);
        let other = held.owner.filter(|owner| *owner != me);
        if let Some(claim) = &mut slot.claim {
            // A keeper that has granted it refuses to renew what is owned under the number before: that says nothing of it.
            let is_granted = held.highest == claim.fence && held.owner == Some(me);
            if is_granted || !claim.refused(keeper, quorum) {
                return;
            }
            let fence = claim.fence;
            slot.claim = None;
            // Those who share the grants try again at different times; who finds an owner waits for its end.
            let again = self.rng.f64() * self.settings.lease_ms * OFFER;
            slot.try_at_ms = now
                + if other.is_some() {
                    f64::from(held.left_ms).min(again)
                } else {
                    again / 4.0
                };
            if slot.own.is_none() {
                if other.is_some() {
                    (slot.owner, slot.free_ms) = (other, None);
                }
                return self.release(held.shard, fence);
            }
            return;
        }
        // A keeper that has forgotten this ownership takes it back under a new number alone.
        let is_forgotten = slot
            .own
            .as_ref()
            .is_some_and(|own| held.highest >= own.fence)
            && other.is_none();
        if is_forgotten && now >= slot.try_at_ms {
            slot.begin(now, false);
            slot.try_at_ms = now + self.settings.lease_ms;
        }
    }

    fn release(&mut self, shard: Shard, fence: Fence) {
        let own = (self.settings.me, self.settings.process);
        for keeper in 0..self.council.all.len() {
            let to = self.council.all[keeper];
            match &mut self.keeper {
                Some(memory) if to == own.0 => memory.release(shard, own, fence),
                _ => self.send(
                    to,
                    &Word::Release {
                        shards: vec![(shard, fence)],
                    },
                ),
            }
        }
    }

    fn table(&mut self, keeper: usize, version: u64, shards: &[Held]) {
        self.seen[keeper] = version;
        for held in shards {
            let now = self.now;
            let Some(slot) = self.slots.get_mut(usize::from(held.shard)) else {
                continue;
            };
            slot.known = slot.known.max(held.highest);
            if slot.own.is_some() {
                continue;
            }
            if let Some(owner) = held.owner {
                if slot.owner != Some(owner) {
                    slot.since_ms = now;
                }
                (slot.owner, slot.free_ms) = (Some(owner), None);
            } else {
                if slot.owner.take().is_some() {
                    slot.since_ms = now;
                }
                slot.free_ms = slot.free_ms.or(Some(now));
            }
        }
        if shards.len() >= MOST_HELD {
            // There is more.
            let word = Word::Who {
                sets: self.council.sets(),
                since: version,
            };
            let to = self.council.all[keeper];
            self.send(to, &word);
        }
    }

    /// The owner gives a shard to this node.
    fn taken(&mut self, shard: Shard, fence: Fence) {
        let (now, leaving) = (self.now, self.leaving);
        let Some(slot) = self.slots.get_mut(usize::from(shard)) else {
            return;
        };
        if leaving || !self.council.is_known() || slot.own.is_some() || slot.known > fence {
            return;
        }
        slot.known = fence;
        slot.begin(now, true);
        self.ask_claimed();
    }

    // ---- what is due ----

    /// What was not renewed in time is owned no more.
    fn lapse(&mut self) {
        let (now, quorum) = (self.now, self.council.quorum());
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            let Some(own) = slot.own.as_ref().filter(|own| own.until_ms(quorum) <= now) else {
                continue;
            };
            let fence = own.fence;
            slot.own = None;
            slot.owner = None;
            slot.since_ms = now;
            slot.free_ms = Some(now);
            self.figures.unheard += 1;
            self.out
                .push(Action::Changed(shard as Shard, fence, Change::Unheard));
        }
    }

    fn on_tick(&mut self) {
        self.keep();
        let oldest = self.now - self.settings.lease_ms;
        while self.asks.front().is_some_and(|ask| ask.sent_ms < oldest) {
            self.asks.pop_front();
        }
        self.say_given();
        if self.leaving {
            return;
        }
        self.claim();
        self.ask_claimed();
        self.renew();
        self.move_one();
        if self.now >= self.next_poll {
            self.next_poll = self.now + POLL_MS;
            self.polled = (self.polled + 1) % self.council.all.len();
            self.poll();
            self.ask_how_far();
        }
    }

    fn poll(&mut self) {
        let to = self.council.all[self.polled];
        let since = self.seen[self.polled];
        if to != self.settings.me {
            return self.send(
                to,
                &Word::Who {
                    sets: self.council.sets(),
                    since,
                },
            );
        }
        if let Some(memory) = self
            .keeper
            .as_mut()
            .filter(|memory| !memory.is_silent(self.now))
        {
            let (version, shards) = memory.since(self.now, since, usize::MAX);
            self.table(self.polled, version, &shards);
        }
    }

    fn keep(&mut self) {
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        if let Some(fence) = keeper.reserves() {
            self.out.push(Action::Reserve(fence));
        }
        if !keeper.is_silent(self.now) {
            if !std::mem::replace(&mut self.grants, true) {
                self.out.push(Action::Note(Note::Grants));
            }
            return;
        }
        if self.now >= self.next_learn {
            self.next_learn = self.now + LEARN_MS;
            let word = Word::Highest {
                set: self.council.sets().now,
            };
            let me = self.settings.me;
            let others: Vec<_> = self
                .council
                .all
                .iter()
                .copied()
                .filter(|keeper| *keeper != me)
                .collect();
            others
                .into_iter()
                .for_each(|keeper| self.send(keeper, &word));
        }
    }

    /// Begins to ask for what is free and is this node's turn, and gives up what came to nothing.
    fn claim(&mut self) {
        let (now, offer) = (self.now, self.part(OFFER));
        let is_deaf = now - self.heard_ms >= DEAF_MS
            || self.standing == Standing::Isolated
            || !self.council.is_known();
        let last = if self.standing == Standing::Well {
            0.0
        } else {
            LAST_MS
        };
        let mut lost = Vec::new();
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            // Who owns it goes on to ask: keepers that have granted the new number renew the old one no more.
            let is_late = |claim: &&Claim| slot.own.is_none() && now - claim.began_ms >= offer;
            if let Some(claim) = slot.claim.as_ref().filter(is_late) {
                lost.push((shard as Shard, claim.fence));
                slot.claim = None;
                slot.try_at_ms = now + self.rng.f64() * offer;
                continue;
            }
            let turn = slot.free_ms.zip(slot.rank.filter(|rank| *rank < RANKS));
            let is_turn =
                turn.is_some_and(|(free, rank)| now >= free + last + rank as f64 * RANK_MS);
            if !is_deaf
                && slot.own.is_none()
                && slot.claim.is_none()
                && is_turn
                && now >= slot.try_at_ms
            {
                slot.begin(now, false);
            }
        }
        lost.into_iter()
            .for_each(|(shard, fence)| self.release(shard, fence));
    }

    /// Asks for what has not been asked for yet, or not for a while: for a whole lease what is owned and answered for, as it
    /// is in nobody's way.
    fn ask_claimed(&mut self) {
        let (now, again, low) = (self.now, self.part(AGAIN), self.part(LOW));
        let (mut new, mut owned) = (Vec::new(), Vec::new());
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            let Some(claim) = slot
                .claim
                .as_mut()
                .filter(|claim| now - claim.asked_ms >= again)
            else {
                continue;
            };
            claim.asked_ms = now;
            let is_heard = slot
                .own
                .as_ref()
                .is_some_and(|own| now - own.answered_ms < low);
            let of = if is_heard { &mut owned } else { &mut new };
            of.push(Wanted {
                shard: shard as Shard,
                fence: claim.fence,
                given: claim.given,
            });
        }
        for (ttl, wanted) in [(OFFER, new), (1.0, owned)] {
            if !wanted.is_empty() {
                self.ask(self.part(ttl), &wanted);
            }
        }
    }

    fn renew(&mut self) {
        let (now, quorum) = (self.now, self.council.quorum());
        let (renew, again, low) = (self.part(RENEW), self.part(AGAIN), self.part(LOW));
        let (mut whole, mut short) = (Vec::new(), Vec::new());
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            let Some(own) = &mut slot.own else { continue };
            let left = own.until_ms(quorum) - now;
            let passed = now - own.asked_ms;
            if passed >= renew || (left < low && passed >= again) {
                own.asked_ms = now;
                let wanted = Wanted {
                    shard: shard as Shard,
                    fence: own.fence,
                    given: false,
                };
                let of = if now - own.answered_ms < low {
                    &mut whole
                } else {
                    &mut short
                };
                of.push(wanted);
            }
        }
        for (ttl, wanted) in [(1.0, whole), (OFFER, short)] {
            if !wanted.is_empty() {
                self.ask(self.part(ttl), &wanted);
            }
        }
    }

    // ---- who should have what ----

    fn set_candidates(&mut self, candidates: &[NodeId], standing: Standing) {
        let (now, me) = (self.now, self.settings.me);
        self.candidates = candidates.to_vec();
        self.standing = standing;
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            // Rendezvous: each node draws a number for each shard, and the highest have it.
            let draw = |node: NodeId| (mix(node.0 ^ mix(shard as u64 + 1)), node);
            let own = draw(me);
            slot.rank = Some(candidates.iter().filter(|node| draw(**node) > own).count());
            let first = candidates.iter().copied().max_by_key(|node| draw(*node));
            if slot.first != first {
                (slot.first, slot.first_since_ms) = (first, now);
            }
        }
    }

    /// Gives a shard to the node that should have it, if it has been so for long enough.
    fn move_one(&mut self) {
        if self.now < self.next_move {
            return;
        }
        let (now, me) = (self.now, self.settings.me);
        let settled = |slot: &Slot| slot.own.is_some() && now - slot.first_since_ms >= SETTLED_MS;
        let moves = |(shard, slot): (usize, &Slot)| {
            let first = slot.first.filter(|first| *first != me && settled(slot))?;
            Some((shard as Shard, first))
        };
        if let Some((shard, to)) = self.slots.iter().enumerate().find_map(moves) {
            self.next_move = now + MOVE_MS;
            self.offer(shard, to);
        }
    }

    /// Asks a node whether it takes a shard: one that does not hear would leave it without an owner.
    fn offer(&mut self, shard: Shard, to: NodeId) {
        let now = self.now;
        let Some(slot) = self
            .slots
            .get_mut(usize::from(shard))
            .filter(|_| to != self.settings.me)
        else {
            return;
        };
        let Some(fence) = slot.own.as_ref().map(|own| own.fence) else {
            return;
        };
        slot.offered = Some((to, now));
        self.send(to, &Word::Offer { shard, fence });
    }

    fn is_ready(&mut self, from: NodeId, shard: Shard, fence: Fence) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(usize::from(shard)) else {
            return;
        };
        let is_offered = slot
            .offered
            .is_some_and(|(to, at)| to == from && now - at < OFFERED_MS);
        if is_offered && slot.own.as_ref().is_some_and(|own| own.fence == fence) {
            slot.offered = None;
            self.give(shard, from);
        }
    }

    /// Gives a shard away: from here on this process does not act on it.
    fn give(&mut self, shard: Shard, to: NodeId) {
        let now = self.now;
        let Some(slot) = self
            .slots
            .get_mut(usize::from(shard))
            .filter(|_| to != self.settings.me)
        else {
            return;
        };
        slot.claim = None;
        let Some(own) = slot.own.take() else { return };
        (slot.owner, slot.since_ms, slot.free_ms) = (Some(to), now, None);
        self.figures.given += 1;
        self.out
            .push(Action::Changed(shard, own.fence, Change::Given(to)));
        slot.given = Some(Given {
            to,
            fence: own.fence,
            at_ms: now,
            said_ms: now,
        });
        self.send(
            to,
            &Word::Take {
                shard,
                fence: own.fence,
            },
        );
        self.release(shard, own.fence);
    }

    /// Says again what was given away, until somebody has it.
    fn say_given(&mut self) {
        let (now, again, for_ms) = (self.now, self.part(AGAIN), self.part(LOW));
        let mut said = Vec::new();
        for (shard, slot) in self.slots.iter_mut().enumerate() {
            let Some(given) = slot.given.as_mut() else {
                continue;
            };
            if slot.known > given.fence || now - given.at_ms >= for_ms {
                slot.given = None;
            } else if now - given.said_ms >= again {
                given.said_ms = now;
                said.push((shard as Shard, given.to, given.fence));
            }
        }
        for (shard, to, fence) in said {
            self.send(to, &Word::Take { shard, fence });
            self.release(shard, fence);
        }
    }

    fn leave(&mut self) {
        self.leaving = true;
        let me = self.settings.me;
        for shard in 0..self.settings.shards {
            let draw = |node: &NodeId| mix(node.0 ^ mix(u64::from(shard) + 1));
            let next = self
                .candidates
                .iter()
                .copied()
                .filter(|node| *node != me)
                .max_by_key(draw);
            match next {
                Some(next) => self.give(shard, next),
                None => self.let_go(shard),
            }
        }
    }

    fn let_go(&mut self, shard: Shard) {
        let now = self.now;
        let slot = &mut self.slots[usize::from(shard)];
        let Some(own) = slot.own.take() else { return };
        (slot.owner, slot.since_ms) = (None, now);
        self.figures.given += 1;
        self.out
            .push(Action::Changed(shard, own.fence, Change::Released));
        self.release(shard, own.fence);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ME: NodeId = NodeId(9);

    fn ids(of: &[u64]) -> Vec<NodeId> {
        of.iter().copied().map(NodeId).collect()
    }

    fn node(set: u32, keepers: &[u64], before: &[u64]) -> Leases {
        let settings = Settings {
            set,
            before: ids(before),
            shards: 1,
            ..Settings::new(ME, 1, ids(keepers))
        };
        Leases::new(0.0, settings).expect("sound")
    }

    fn hears(node: &mut Leases, now: f64, from: u64, word: &Word) -> Vec<(NodeId, Word)> {
        let mut actions = Vec::new();
        let event = Event::Word {
            from: NodeId(from),
            process: from,
            bytes: &word.write(),
        };
        node.handle(now, event, &mut actions);
        said(actions)
    }

    fn said(actions: Vec<Action>) -> Vec<(NodeId, Word)> {
        let send = |action| match action {
            Action::Send { to, bytes } => Some((to, Word::read(&bytes)?)),
            _ => None,
        };
        actions.into_iter().filter_map(send).collect()
    }

    /// The answer of a keeper that grants all that it was asked for.
    fn granted(asked: &[(NodeId, Word)], by: u64) -> Option<Word> {
        asked.iter().find_map(|(to, word)| match word {
            Word::Want { ask, shards, .. } if *to == NodeId(by) => {
                let shards = shards
                    .iter()
                    .map(|wanted| (wanted.shard, wanted.fence))
                    .collect();
                Some(Word::Granted { ask: *ask, shards })
            }
            _ => None,
        })
    }

    /// Asks for the shard, and owns it by the grants of these.
    fn owns(node: &mut Leases, by: &[u64]) -> bool {
        let mut actions = Vec::new();
        node.handle(1.0, Event::Candidates(&[ME], Standing::Well), &mut actions);
        let held = Held {
            shard: 0,
            highest: Fence(5),
            owner: None,
            left_ms: 0,
        };
        let mut asked = hears(
            node,
            100.0,
            by[0],
            &Word::Table {
                version: 1,
                shards: vec![held],
            },
        );
        node.handle(200.0, Event::Due, &mut actions);
        asked.extend(said(actions));
        for keeper in by {
            let word = granted(&asked, *keeper).expect("it was asked");
            hears(node, 210.0, *keeper, &word);
        }
        node.permit(210.0, 0).is_some()
    }

    /// Grants stay those of who gave them, wherever keepers stand among the others now.
    #[test]
    fn what_was_granted_holds_for_who_granted_it_when_keepers_change() {
        let mut kept = node(1, &[1, 2, 3], &[]);
        assert!(owns(&mut kept, &[1, 2]));
        assert_eq!(
            kept.change(220.0, 2, &ids(&[0, 1, 2]), &ids(&[1, 2, 3])),
            Ok(true)
        );
        assert!(
            kept.permit(220.0, 0).is_some(),
            "1 and 2 are most of both sets"
        );
        let mut lost = node(1, &[1, 2, 3], &[]);
        assert!(owns(&mut lost, &[1, 2]));
        assert_eq!(
            lost.change(220.0, 2, &ids(&[0, 4, 1]), &ids(&[1, 2, 3])),
            Ok(true)
        );
        assert!(
            lost.permit(220.0, 0).is_none(),
            "of the new set only 1 has granted it"
        );
    }

    /// One that stood still and is asked first thing when it wakes has no leave, though nothing has told it so.
    #[test]
    fn leave_ends_by_itself() {
        let mut node = node(1, &[1, 2, 3], &[]);
        assert!(owns(&mut node, &[1, 2]));
        let until = node.permit(210.0, 0).expect("it owns it").until_ms();
        assert!(until < 200.0 + 625.0, "from when it asked: {until}");
        let held = |now| {
            node.permit(now, 0)
                .is_some_and(|permit| permit.holds_at(now))
        };
        assert!(held(until - 1.0) && !held(until) && !held(60_000.0));
        assert!(
            node.permit(until, 0).is_none()
                && node.owners(60_000.0).all(|owner| owner.left_ms == 0.0)
        );
    }

    /// Guards against numbers that go back where new keepers have never heard of the old ones' grants.
    #[test]
    fn the_new_set_goes_on_above_what_the_old_one_granted() {
        let mut node = node(1, &[1, 2, 3], &[]);
        assert_eq!(
            node.change(10.0, 2, &ids(&[9, 4, 5]), &ids(&[1, 2, 3])),
            Ok(true)
        );
        let set = node.council.sets().now;
        let stand = |highest| {
            let highest = Fence(highest);
            Word::Stands(Stand {
                set,
                is_sealed: true,
                is_alone: false,
                is_next: false,
                highest,
            })
        };
        hears(&mut node, 20.0, 1, &stand(70));
        assert_eq!(node.set(), (2, false));
        hears(&mut node, 20.0, 2, &stand(900));
        assert_eq!(node.set(), (2, true));
        assert_eq!(node.slots[0].known, Fence(900), "it asks above that");
        assert_eq!(
            node.keeper.as_ref().map(Keeper::highest),
            Some(Fence(900)),
            "and grants above that"
        );
    }

    /// Who does not know how far a change is asks for nothing, whatever is offered: it would be in others' way.
    #[test]
    fn one_that_does_not_know_who_decides_asks_for_nothing() {
        for before in [&[][..], &[1, 2, 4]] {
            let mut node = node(2, &[1, 2, 3], before);
            let asked = hears(
                &mut node,
                10.0,
                1,
                &Word::Take {
                    shard: 0,
                    fence: Fence(7),
                },
            );
            let wants = asked
                .iter()
                .filter(|(_, word)| matches!(word, Word::Want { .. }))
                .count();
            assert_eq!(wants > 0, before.is_empty());
            let mut actions = Vec::new();
            node.handle(20.0, Event::Candidates(&[ME], Standing::Well), &mut actions);
            let held = Held {
                shard: 0,
                highest: Fence(9),
                owner: None,
                left_ms: 0,
            };
            let mut asked = hears(
                &mut node,
                3_000.0,
                1,
                &Word::Table {
                    version: 1,
                    shards: vec![held],
                },
            );
            node.handle(3_100.0, Event::Due, &mut actions);
            asked.extend(said(actions));
            let wants = asked
                .iter()
                .filter(|(_, word)| matches!(word, Word::Want { .. }))
                .count();
            assert_eq!(wants > 0, before.is_empty());
        }
    }

    /// An owner that takes a new number, as a keeper has gone ahead of its own.
    fn renumbers() -> (Leases, Vec<(NodeId, Word)>) {
        let mut node = node(1, &[1, 2, 3], &[]);
        assert!(owns(&mut node, &[1, 2]));
        let mut actions = Vec::new();
        node.handle(1_000.0 / 3.0, Event::Due, &mut actions);
        node.handle(600.0, Event::Due, &mut actions);
        let asked = said(actions);
        for keeper in [1, 2] {
            let word = granted(&asked, keeper).expect("renewed");
            hears(&mut node, 610.0, keeper, &word);
        }
        let ahead = Held {
            shard: 0,
            highest: Fence(40),
            owner: None,
            left_ms: 0,
        };
        let mut asked = hears(
            &mut node,
            700.0,
            3,
            &Word::Refused {
                shards: vec![ahead],
            },
        );
        let mut actions = Vec::new();
        node.handle(760.0, Event::Due, &mut actions);
        asked.extend(said(actions));
        (node, asked)
    }

    fn asks_for(asked: &[(NodeId, Word)], fence: u64) -> Vec<u16> {
        let ttl = |(_, word): &(NodeId, Word)| match word {
            Word::Want { ttl_ms, shards, .. } if shards[0].fence == Fence(fence) => Some(*ttl_ms),
            _ => None,
        };
        asked.iter().filter_map(ttl).collect()
    }

    /// A keeper that has granted the new number refuses to renew the old one, which says nothing against the new one.
    #[test]
    fn a_refusal_of_the_old_number_is_none_of_the_new_one() {
        let (mut node, asked) = renumbers();
        assert_eq!(
            asks_for(&asked, 41),
            [2_500; 3],
            "for a whole lease: it is in nobody's way"
        );
        let own = Held {
            shard: 0,
            highest: Fence(41),
            owner: Some(ME),
            left_ms: 2_000,
        };
        [1, 2].into_iter().for_each(|keeper| {
            hears(
                &mut node,
                770.0,
                keeper,
                &Word::Refused { shards: vec![own] },
            );
        });
        let mut actions = Vec::new();
        node.handle(1_100.0, Event::Due, &mut actions);
        assert!(
            !asks_for(&said(actions), 41).is_empty(),
            "it goes on to ask"
        );
    }

    /// One that is heard and hears nothing would keep a shard from others for a whole lease after its own is over.
    #[test]
    fn an_owner_without_answers_asks_for_a_short_time_alone() {
        let (mut node, _) = renumbers();
        let mut actions = Vec::new();
        node.handle(610.0 + 1_400.0, Event::Due, &mut actions);
        let asked = asks_for(&said(actions), 41);
        assert!(
            !asked.is_empty() && asked.iter().all(|ttl| *ttl == 625),
            "{asked:?}"
        );
    }
}
