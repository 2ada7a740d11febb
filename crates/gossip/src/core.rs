//! The node's own half: what it does with what it hears, and when it speaks.

use std::collections::BTreeMap;

use fastrand::Rng;

use crate::kinds::{
    Action, Cause, Change, Event, Figures, Health, Member, Note, PeerId, Planted, Settings, State,
};
use crate::ring::Rings;
use crate::table::{Doom, Entry, Table};
use crate::verdict::{is_gone, Case};
use crate::wire::{open, Head, MemberId, Record, Refused, Window, Writer, PARTS};

/// Ticks of a probe: silence is looked at that much more often than a node speaks.
const TICKS_A_PROBE: u64 = 2;
/// Addresses that are tried in a tick while they are not known yet: a node of 300 is through in some seconds, and sends
/// no more than a few hundred datagrams in any of them.
const CONTACTS: usize = 16;
/// How often an address is tried in a row at first, and how long between, in milliseconds; later it has its turn among
/// those that are not known to be there.
const FIRST_TRIES: u32 = 4;
const FIRST_AGAIN_MS: f64 = 1_000.0;
/// Earlier processes of an address that are remembered, so that nothing of theirs is taken again.
const MOST_PAST: usize = 8;
/// Questions about nodes that this one does not listen to, at a time; more are not answered. And how many who asked about
/// one are answered as soon as it is heard.
const MOST_CHECKS: usize = 64;
const MOST_ASKERS: usize = 8;
/// How many of all that are heard are asked each time beside the judges: the judges are the same few each time, and all of
/// them may be on the side that does not hear it. They speak only for it.
const WITNESSES: usize = 6;
/// Floods of news in a row, and how many a second come back: with 12 neighbours some hundred datagrams a second.
const FLOODS: f64 = 8.0;
const FLOODS_PER_S: f64 = 8.0;
/// How often an address is answered at the most that does not know this process, in milliseconds: an answer is no longer
/// than the question, so what is replayed here makes no more of it.
const ANSWER_AGAIN_MS: f64 = 50.0;
/// How often one that is gone here is told so, in milliseconds.
const TOLD_AGAIN_MS: f64 = 200.0;
/// How often all that is gone is told to one that comes back from a split, in milliseconds.
const HEAL_AGAIN_MS: f64 = 1_000.0;
/// Datagrams of that.
const HEAL_DATAGRAMS: usize = 6;
/// For how long after its start a process may put itself above another of its name: later it is the older of two.
const JOINING_MS: f64 = 10_000.0;
/// How often it may.
const MOST_JUMPS: u32 = 4;
/// How soon a node that this one does not listen to is tried again for somebody who asks, and for how long a question is
/// remembered that is asked no more, in milliseconds.
const CHECK_AGAIN_MS: f64 = 100.0;
const CHECK_HELD_MS: f64 = 4_000.0;
/// Datagrams in which two that differ tell each other what they know: so many in a row, and so many a second.
const SYNCS: f64 = 8.0;
const SYNCS_PER_S: f64 = 3.0;
/// For how many ticks after a start or a pause others are spoken to in each.
const HURRY_TICKS: u32 = 8;
/// How often gone nodes are looked over for those that went too long ago, in ticks.
const SWEEP_TICKS: u64 = 256;
/// How often an observer has to answer, in probes: this one does not want an answer to each.
const ANSWER_EVERY: u64 = 2;
/// Every how many probes an address is tried, in turn, that is known to be there.
const CONTACT_EVERY: u64 = 4;
/// Addresses that are looked at for one to try: where all are known to be there a fleet of thousands would be gone through for
/// nothing, several times a second. The next look goes on from there, so 4,096 are gone through in four probes.
const MOST_LOOKS: usize = 512;

// What follows is counted in probes, so that it goes with the pace that the operators choose.

/// For how long a vote counts: two of three may be lost.
const VOTE_PROBES: f64 = 3.0;
/// How long one that does not listen tries before it says that it hears nothing, and how long a judge may take to answer:
/// longer, as it is asked once a probe, and says so when it is asked again.
const CHECK_PROBES: f64 = 1.5;
const PATIENCE_PROBES: f64 = 2.5;
/// The longest pause between two questions about a node that others hear.
const ASK_PROBES: f64 = 8.0;
/// For how long an answer shows a node that wants to come back that it is heard.
const RETURN_PROBES: f64 = 4.0;
/// Within these a node must have been heard, and must have answered, to count for how well this one hears.
const HEARD_PROBES: f64 = 5.0;
const ANSWERED_PROBES: f64 = 8.0;
/// What part of both is needed to be well.
const WELL: f64 = 0.75;
/// Coming back again and again takes longer each time: from the third in a minute on, in milliseconds.
const HOLD_MS: [f64; 2] = [2_000.0, 30_000.0];
const HOLD_WINDOW_MS: f64 = 60_000.0;
/// For how long a node must have been better before it says so, in milliseconds.
const BETTER_MS: f64 = 1_000.0;

/// An address, and the process that is there.
#[derive(Debug, Default)]
struct Peer {
    /// 0: not known.
    process: u64,
    past: Vec<u64>,
    member: Option<MemberId>,
    window: Window,
    /// Datagrams that have gone to this process.
    number: u32,
    /// Whether the process there knows this one by name.
    knows_me: bool,
    is_self: bool,
    tried_ms: Option<f64>,
    tries: u32,
    answered_ms: Option<f64>,
    told_ms: Option<f64>,
}

/// The highest first incarnation, whatever a wall clock says: there is room above it for any number of returns.
const MOST_FIRST: u64 = 1 << 61;

/// So many in a row, and so many a second.
#[derive(Debug)]
struct Budget {
    left: f64,
    at: f64,
    most: f64,
    per_s: f64,
}

impl Budget {
    fn new(now: f64, most: f64, per_s: f64) -> Self {
        Self {
            left: most,
            at: now,
            most,
            per_s,
        }
    }

    /// Takes one, if there is one.
    fn take(&mut self, now: f64) -> bool {
        self.left = (self.left + (now - self.at) / 1e3 * self.per_s).min(self.most);
        self.at = now;
        let has_one = self.left >= 1.0;
        self.left -= f64::from(u8::from(has_one));
        has_one
    }
}

/// A node that others ask about, and that is not listened to here.
#[derive(Debug)]
struct Check {
    since_ms: f64,
    last_ms: f64,
    askers: Vec<PeerId>,
}

/// How this node comes back.
#[derive(Clone, Debug, PartialEq)]
enum Own {
    There,
    /// The others take it for gone, in an incarnation, and since when it knows.
    Gone(u64, f64),
    /// A later process has its name.
    Superseded(u64),
    Leaving,
}

/// A node of the fleet. See the crate's page.
#[derive(Debug)]
pub struct Gossip {
    settings: Settings,
    id: MemberId,
    rng: Rng,
    now: f64,
    born: f64,
    tick: u64,
    next_tick: f64,
    table: Table,
    peers: BTreeMap<PeerId, Peer>,
    /// Whom it tries next, of all addresses and of those that are not known to be there.
    cursors: [PeerId; 2],
    /// Whether there may be addresses that have not been tried often enough to say that nobody is there.
    has_untried: bool,
    rings: Rings,
    is_stale: bool,
    observers: Vec<MemberId>,
    subjects: Vec<MemberId>,
    /// Since when it has listened without a break.
    ears_from: f64,
    /// What it has been asked about nodes that it does not listen to.
    checks: BTreeMap<MemberId, Check>,
    floods: Budget,
    syncs: Budget,
    hurry: u32,
    last_heal: f64,
    /// Those whose end its own ears speak against.
    doomed: Vec<MemberId>,
    own: Own,
    jumps: u32,
    rival_noted: f64,
    returned: Vec<f64>,
    /// Since when most of its observers have answered without a break.
    answered_since: Option<f64>,
    health: Health,
    better_since: Option<f64>,
    full_noted: bool,
    figures: Figures,
    out: Vec<Action>,
}

impl Gossip {
    /// A node that knows nobody yet.
    #[must_use]
    pub fn new(now: f64, settings: Settings) -> Self {
        let id = MemberId::of(&settings.name);
        let mut rng = Rng::with_seed(settings.seed);
        let mut table = Table::default();
        let incarnation = settings.incarnation.min(MOST_FIRST);
        let own = Entry::new(settings.name.clone(), incarnation, settings.process, now);
        let _ = table.insert(id, own); // An empty table has room.
        let phase = rng.f64();
        let tick_ms = settings.probe_ms / TICKS_A_PROBE as f64;
        Self {
            id,
            rng,
            now,
            born: now,
            tick: 0,
            next_tick: now + tick_ms * phase,
            table,
            peers: BTreeMap::new(),
            cursors: [0; 2],
            has_untried: true,
            rings: Rings::default(),
            is_stale: true,
            observers: Vec::new(),
            subjects: Vec::new(),
            ears_from: now,
            checks: BTreeMap::new(),
            floods: Budget::new(now, FLOODS, FLOODS_PER_S),
            syncs: Budget::new(now, SYNCS, SYNCS_PER_S),
            hurry: HURRY_TICKS,
            last_heal: f64::NEG_INFINITY,
            doomed: Vec::new(),
            own: Own::There,
            jumps: 0,
            rival_noted: f64::NEG_INFINITY,
            returned: Vec::new(),
            answered_since: None,
            health: Health::Isolated,
            better_since: None,
            full_noted: false,
            figures: Figures::default(),
            out: Vec::new(),
            settings,
        }
    }

    /// Takes an event at a time and says what is to be done. Times are milliseconds since boot, suspend included, and
    /// never go back.
    pub fn handle(&mut self, now: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.notice_pause();
        match event {
            Event::Datagram { from, bytes } => self.datagram(from, bytes),
            Event::Due => {}
            Event::Peers(peers) => self.set_peers(&peers),
            Event::Timings {
                probe_ms,
                suspect_ms,
            } => {
                (self.settings.probe_ms, self.settings.suspect_ms) = (probe_ms, suspect_ms);
            }
            Event::Leave => self.leave(),
            Event::Say { to, bytes } => {
                if let Some(slot) = self.table.get(to).and_then(|entry| entry.slot) {
                    self.send(slot, &[Record::Word(bytes.to_vec())]);
                }
            }
        }
        if self.now >= self.next_tick {
            // One tick, however many were missed: what was due meanwhile is not made up for.
            self.on_tick();
            self.next_tick = self.now + self.tick_ms();
        }
        self.flood();
        actions.append(&mut self.out);
        actions.push(Action::WakeAt(self.next_tick));
    }

    /// All nodes that it knows, itself among them, in no order that means anything.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.table.iter().map(|(id, entry)| Member {
            name: entry.name.clone(),
            is_self: id == self.id,
            state: self.state_of(id, entry),
            incarnation: entry.incarnation,
            since_ms: entry.since_ms,
            heard_ms: entry.heard_ms,
            address: entry.slot,
        })
    }

    /// How well it hears and is heard.
    #[must_use]
    pub fn health(&self) -> Health {
        self.health
    }

    /// Its counts.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Counts bytes that the driver did not bring here.
    pub fn refuse(&mut self, why: Refused) {
        self.figures.refuse(why);
    }

    fn state_of(&self, id: MemberId, entry: &Entry) -> State {
        if id == self.id {
            return match self.own {
                Own::There => State::Alive,
                Own::Gone(..) | Own::Superseded(_) => State::Gone,
                Own::Leaving => State::Left,
            };
        }
        let suspected = entry.case.is_some() || entry.accused_until_ms > self.now;
        if entry.is_there() && suspected {
            State::Suspect
        } else {
            entry.state
        }
    }

    fn tick_ms(&self) -> f64 {
        self.settings.probe_ms / TICKS_A_PROBE as f64
    }

    fn probes(&self, count: f64) -> f64 {
        count * self.settings.probe_ms
    }

    fn is_planted(&self, mistake: Planted) -> bool {
        cfg!(feature = "planted") && self.settings.planted == mistake
    }

    fn incarnation(&self) -> u64 {
        self.table.get(self.id).map_or(0, |own| own.incarnation)
    }

    /// A process that stood still believes nothing of what it missed: silence counts from now on, and questions that were
    /// under way are dropped.
    fn notice_pause(&mut self) {
        let late = self.now - self.next_tick;
        if late <= self.settings.probe_ms || self.is_planted(Planted::PauseAtFaceValue) {
            return;
        }
        self.ears_from = self.now;
        self.answered_since = None;
        self.checks.clear();
        self.doomed.clear();
        self.hurry = HURRY_TICKS;
        let ids: Vec<_> = self.table.iter().map(|(id, _)| id).collect();
        for id in ids {
            if let Some(entry) = self.table.get_mut(id) {
                entry.case = None;
                entry.accused_until_ms = f64::NEG_INFINITY;
                entry.doomed = None; // What is still so will be said again.
            }
        }
        self.out.push(Action::Note(Note::Woke { ms: late }));
    }

    // ---- what comes in ----

    fn datagram(&mut self, from: PeerId, bytes: &[u8]) {
        let opened = open(&self.settings.seal, bytes);
        let taken = opened
            .and_then(|(head, records)| self.admit(from, head, &records).map(|()| (head, records)));
        match taken {
            Ok((head, records)) => {
                self.figures.received.0 += 1;
                self.figures.received.1 += bytes.len() as u64;
                self.take(from, head, records);
            }
            Err(why) => self.figures.refuse(why),
        }
    }

    /// Whether a datagram is one of this life, and has not come before.
    fn admit(&mut self, from: PeerId, head: Head, records: &[Record]) -> Result<(), Refused> {
        let own = self.settings.process;
        let Some(peer) = self.peers.get_mut(&from) else {
            return Err(Refused::Stranger);
        };
        if head.from == own {
            peer.is_self = true;
            return Err(Refused::OtherLife);
        }
        if head.to != own {
            // It does not know this process, or takes it for the one before: it is told. Nothing that it says is taken,
            // as anybody may have kept it from earlier.
            self.answer_stranger(from, head);
            return if head.to == 0 {
                Ok(())
            } else {
                Err(Refused::OtherLife)
            };
        }
        if peer.past.contains(&head.from) {
            return Err(Refused::OtherLife);
        }
        let is_bound = peer.process == head.from;
        if is_bound && !peer.window.take(head.number) {
            return Err(Refused::Replayed);
        }
        // Of one that is bound and has been forgotten, too: it is met anew.
        if (!is_bound || peer.member.is_none()) && !self.meet(from, head, records) {
            return Err(Refused::OtherLife);
        }
        if let Some(peer) = self.peers.get_mut(&from).filter(|_| !is_bound) {
            peer.window.take(head.number);
        }
        Ok(())
    }

    fn answer_stranger(&mut self, from: PeerId, head: Head) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if peer
            .answered_ms
            .is_some_and(|at| now - at < ANSWER_AGAIN_MS)
        {
            return;
        }
        peer.answered_ms = Some(now);
        let introduce = peer.process != head.from;
        let hello = self.hello();
        self.send_to(
            from,
            Some(head.from),
            &[
                Record::Ack {
                    number: head.number,
                    introduce,
                },
                hello,
            ],
        );
    }

    /// A process that is new at an address, and knows this one: so what it says was made in this life. `false`: it does
    /// not say who it is, or is an earlier process of a node.
    fn meet(&mut self, from: PeerId, head: Head, records: &[Record]) -> bool {
        let said = records.iter().find_map(|record| match record {
            Record::Hello { incarnation, name } => Some((*incarnation, name.clone())),
            _ => None,
        });
        let Some((incarnation, name)) = said else {
            self.send_to(
                from,
                Some(head.from),
                &[Record::Ack {
                    number: head.number,
                    introduce: true,
                }],
            );
            return false;
        };
        let id = MemberId::of(&name);
        if id == self.id {
            self.rival(incarnation, head.from, true);
            return false;
        }
        let held = self
            .table
            .get(id)
            .map(|held| (held.incarnation, held.process));
        if held.is_some_and(|(at, process)| {
            incarnation < at || (incarnation == at && process != head.from && process != 0)
        }) {
            // An earlier process of this name, or the lesser of two: it is told of the other.
            if let Some(record) = self.table.record(id, self.now) {
                self.send_to(from, Some(head.from), &[record]);
            }
            return false;
        }
        if held.is_none()
            && !self.admit_member(
                id,
                Entry::new(name, incarnation, head.from, self.now),
                &Cause::Heard,
            )
        {
            return false;
        }
        self.bind(from, head.from, id);
        self.alive(id, incarnation, head.from, &Cause::Heard);
        true
    }

    /// An address has this process, of this node.
    fn bind(&mut self, from: PeerId, process: u64, id: MemberId) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let before = peer.member.replace(id).filter(|before| *before != id);
        if peer.process != process {
            if peer.process != 0 {
                peer.past.push(peer.process);
                if peer.past.len() > MOST_PAST {
                    peer.past.remove(0);
                }
            }
            peer.process = process;
            peer.window = Window::default();
            peer.number = 0;
            peer.knows_me = false;
        }
        if let Some(entry) = before.and_then(|before| self.table.get_mut(before)) {
            entry.slot = entry.slot.filter(|slot| *slot != from);
        }
        if let Some(entry) = self.table.get_mut(id) {
            entry.slot = Some(from);
        }
    }

    fn admit_member(&mut self, id: MemberId, entry: Entry, cause: &Cause) -> bool {
        let change = (entry.name.clone(), entry.incarnation, entry.state);
        if let Some(forgotten) = self.table.insert(id, entry) {
            forgotten.into_iter().for_each(|id| self.forgotten(id));
        } else {
            self.figures.refuse(Refused::Full);
            if !std::mem::replace(&mut self.full_noted, true) {
                self.out.push(Action::Note(Note::Full));
            }
            return false;
        }
        self.is_stale = true;
        let (name, incarnation, to) = change;
        self.out.push(Action::Changed(Change {
            name,
            from: None,
            to,
            incarnation,
            cause: cause.clone(),
        }));
        true
    }

    /// A node that had gone is remembered no more: one that speaks there is met anew. Its process and what it said last are
    /// kept, so that nothing of that is taken again.
    fn forgotten(&mut self, id: MemberId) {
        for peer in self
            .peers
            .values_mut()
            .filter(|peer| peer.member == Some(id))
        {
            peer.member = None;
        }
    }

    fn take(&mut self, from: PeerId, head: Head, records: Vec<Record>) {
        let is_known = head.to == self.settings.process;
        if !is_known {
            return; // It has been answered; what it says is taken once it knows this process.
        }
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        // Only who knows a process by name numbers what it sends there; an answer may yet say otherwise.
        peer.knows_me |= head.number > 0;
        let Some(id) = peer.member else { return };
        let was_there = self.table.get(id).is_some_and(Entry::is_there);
        if let Some(entry) = self.table.get_mut(id) {
            entry.heard_ms = Some(self.now);
        }
        self.dismiss(id);
        self.answer_for(id);
        let by = self
            .table
            .get(id)
            .map(|entry| entry.name.clone())
            .unwrap_or_default();
        for record in records {
            self.record(from, id, &by, head, record);
        }
        let is_there = self.table.get(id).is_some_and(Entry::is_there);
        if !was_there && !is_there {
            self.heal(from);
        }
    }

    /// Somebody asked about a node that is heard now.
    fn answer_for(&mut self, id: MemberId) {
        let Some(check) = self.checks.remove(&id) else {
            return;
        };
        let held = self
            .table
            .get(id)
            .filter(|entry| entry.is_there() && entry.doomed.is_none());
        let Some(incarnation) = held.map(|entry| entry.incarnation) else {
            return;
        };
        check
            .askers
            .into_iter()
            .for_each(|at| self.send(at, &[Record::Vote(id, incarnation, true)]));
    }

    fn record(&mut self, from: PeerId, id: MemberId, by: &str, head: Head, record: Record) {
        let told = || Cause::Told { by: by.to_owned() };
        match record {
            Record::Hello { incarnation, .. } => {
                self.alive(id, incarnation, head.from, &Cause::Heard);
            }
            Record::Ping { answer, observer } => {
                if let Some(entry) = self.table.get_mut(id).filter(|_| observer) {
                    entry.counted_ms = Some(self.now);
                }
                if answer {
                    self.send(
                        from,
                        &[Record::Ack {
                            number: head.number,
                            introduce: false,
                        }],
                    );
                }
            }
            Record::Ack { introduce, .. } => self.acked(from, id, introduce),
            Record::Alive {
                incarnation,
                process,
                name,
            } => {
                let of = MemberId::of(&name);
                if of == self.id {
                    self.rival(incarnation, process, false);
                } else if self.table.get(of).is_some() {
                    self.alive(of, incarnation, process, &told());
                } else {
                    self.admit_member(
                        of,
                        Entry::new(name, incarnation, process, self.now),
                        &told(),
                    );
                }
            }
            Record::Gone(of, incarnation, ago) => self.gone(of, incarnation, ago, by),
            Record::Left(of, incarnation) => self.left(of, incarnation, by),
            Record::Ask(of, incarnation) => self.asked(from, of, incarnation),
            Record::Vote(of, incarnation, hears) => self.vote(id, of, incarnation, hears),
            Record::Digest(digest) => {
                if digest != self.table.digest() && self.syncs.take(self.now) {
                    let parts = Record::Parts(self.table.parts());
                    self.send(from, &[parts]);
                }
            }
            Record::Parts(theirs) => self.sync(from, &theirs),
            Record::Word(bytes) => self.out.push(Action::Word {
                from: id,
                process: head.from,
                bytes,
            }),
        }
    }

    /// Another knows something else: it is told what is known here where that differs, and answers in kind, until it does
    /// not or both have said enough for now.
    fn sync(&mut self, from: PeerId, theirs: &[u16; PARTS]) {
        let own = self.table.parts();
        if own == *theirs || !self.syncs.take(self.now) {
            return;
        }
        let mut records = vec![Record::Parts(own)];
        records.extend(self.table.where_it_differs(theirs, self.now, &mut self.rng));
        self.send(from, &records);
    }

    fn acked(&mut self, from: PeerId, id: MemberId, introduce: bool) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let knew = std::mem::replace(&mut peer.knows_me, !introduce);
        if let Some(entry) = self.table.get_mut(id) {
            entry.acked_ms = Some(self.now);
        }
        if introduce || !knew {
            // So that both know each other at once, and not with the next round.
            self.send(
                from,
                &[Record::Ping {
                    answer: introduce,
                    observer: false,
                }],
            );
        }
        self.try_return();
    }

    /// Somebody says that a node is there in an incarnation.
    fn alive(&mut self, id: MemberId, incarnation: u64, process: u64, cause: &Cause) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let (before, at, same) = (entry.state, entry.incarnation, entry.process == process);
        let is_later = incarnation > at
            || (self.is_planted(Planted::SameIncarnationWins) && incarnation == at);
        if self.is_planted(Planted::RefutationIgnored) && before == State::Gone && same {
            return;
        }
        if !is_later {
            return;
        }
        self.table.set(id, self.now, State::Alive, incarnation);
        if let Some(entry) = self.table.get_mut(id) {
            if !same {
                // What was heard was another process.
                entry.process = process;
                entry.since_ms = self.now;
                (entry.heard_ms, entry.acked_ms, entry.counted_ms) = (None, None, None);
                entry.watched_ms = entry.watched_ms.map(|_| self.now);
            }
        }
        if before != State::Alive || !same {
            self.is_stale |= before != State::Alive;
            self.say(id, Some(before), cause.clone());
        }
    }

    fn say(&mut self, id: MemberId, from: Option<State>, cause: Cause) {
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let to = self.state_of(id, entry);
        let change = Change {
            name: entry.name.clone(),
            from,
            to,
            incarnation: entry.incarnation,
            cause,
        };
        self.out.push(Action::Changed(change));
    }

    fn gone(&mut self, id: MemberId, incarnation: u64, ago: u8, by: &str) {
        if id == self.id {
            return self.self_gone(incarnation, by);
        }
        let (now, suspect) = (self.now, self.settings.suspect_ms);
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if incarnation < entry.incarnation {
            // Who believes that has missed something.
            return self.table.tell(id);
        }
        if entry.state != State::Alive {
            if incarnation > entry.incarnation {
                let state = entry.state;
                self.table.end(id, now, state, incarnation);
            }
            return;
        }
        if entry.doomed.is_some() {
            return;
        }
        // It goes on being told at once, and is believed a little later: the node itself may have an answer to it. What was
        // found some time ago and comes only now is the word of the other side of a split, to which many have an answer,
        // over links that may be slow. Its own ears count for more, as a node that enough hear comes back by itself; and
        // who has just woken up reads what was said long ago, of which the rest may be next.
        let is_heard = entry.heard_within(now, suspect);
        let verdict_ms = now - f64::from(ago) * 250.0;
        let is_old = now - verdict_ms > suspect;
        let has_woken = now - self.ears_from < suspect;
        let hold = match (is_old, is_heard, has_woken) {
            (true, ..) => 2.0 * suspect,
            (_, true, _) => suspect,
            (.., true) => 2.0 * self.settings.probe_ms,
            _ => self.settings.probe_ms,
        };
        let slot = entry.slot.filter(|_| is_heard);
        let doom = Doom {
            due_ms: now + hold,
            incarnation,
            by: by.to_owned(),
            verdict_ms,
        };
        entry.doomed = Some(Box::new(doom));
        self.doomed.push(id);
        self.table.tell(id);
        if let Some(slot) = slot {
            self.send(
                slot,
                &[
                    Record::Gone(id, incarnation, ago),
                    Record::Ping {
                        answer: true,
                        observer: false,
                    },
                ],
            );
        }
    }

    fn set_gone(&mut self, id: MemberId, incarnation: u64, verdict_ms: f64, cause: Cause) {
        let before = self.table.get(id).map(|entry| self.state_of(id, entry));
        self.table.end(id, self.now, State::Gone, incarnation);
        if let Some(entry) = self.table.get_mut(id) {
            entry.verdict_ms = verdict_ms;
        }
        self.is_stale = true;
        self.say(id, before, cause);
    }

    fn left(&mut self, id: MemberId, incarnation: u64, by: &str) {
        if id == self.id {
            return self.self_gone(incarnation, by);
        }
        let Some(entry) = self.table.get(id) else {
            return;
        };
        let before = self.state_of(id, entry);
        if incarnation < entry.incarnation || entry.state == State::Left {
            return;
        }
        self.table.end(id, self.now, State::Left, incarnation);
        self.is_stale = true;
        self.say(id, Some(before), Cause::Told { by: by.to_owned() });
    }

    // ---- its own end ----

    fn self_gone(&mut self, incarnation: u64, by: &str) {
        let own = self.incarnation();
        match self.own {
            Own::Leaving => {}
            Own::Superseded(theirs) if incarnation >= theirs => {
                self.own = Own::Gone(incarnation, self.now);
            }
            Own::Superseded(_) => {}
            Own::Gone(at, since) => self.own = Own::Gone(at.max(incarnation), since),
            Own::There if incarnation > own && self.is_joining() => {
                // It is an earlier process that is gone, whose clock was ahead.
                self.jumps += 1;
                self.table
                    .set(self.id, self.now, State::Alive, incarnation + 1);
            }
            Own::There if incarnation >= own => {
                self.own = Own::Gone(incarnation, self.now);
                self.out
                    .push(Action::Note(Note::SelfGone { by: by.to_owned() }));
                self.set_health(Health::Isolated);
                // It may come back once they answer: the sooner they are asked the fewer believe the word.
                self.ping_observers(true);
            }
            Own::There => self.table.tell(self.id),
        }
        self.try_return();
    }

    /// Comes back once most of its observers answer it: one that is heard by a few alone would come and go for ever.
    fn try_return(&mut self) {
        let Own::Gone(at, since) = self.own else {
            return;
        };
        self.returned
            .retain(|returned| self.now - returned < HOLD_WINDOW_MS);
        let often = self.returned.len() as i32;
        // One that has been answered for longer than any verdict takes was never silent: what it hears is the word of the
        // other side of a split, and nothing to wait for.
        let was_silent = self
            .answered_since
            .is_none_or(|at| since - at < 2.0 * self.settings.suspect_ms);
        let hold = match often {
            0 | 1 => 0.0,
            _ if !was_silent => 0.0,
            _ => (HOLD_MS[0] * 2_f64.powi(often - 2)).min(HOLD_MS[1]),
        };
        if self.now < since + hold || !self.is_answered() {
            return;
        }
        if was_silent {
            self.returned.push(self.now);
        }
        self.own = Own::There;
        self.figures.refutations += 1;
        let incarnation = at.max(self.incarnation()) + 1;
        self.table.set(self.id, self.now, State::Alive, incarnation);
        self.out.push(Action::Note(Note::Returns { incarnation }));
    }

    /// Whether at least half of its observers have answered lately.
    fn is_answered(&self) -> bool {
        let fresh = self.probes(RETURN_PROBES);
        let answered = |id: &&MemberId| {
            let acked = self.table.get(**id).and_then(|entry| entry.acked_ms);
            acked.is_some_and(|at| self.now - at < fresh && at >= self.ears_from)
        };
        let answered = self.observers.iter().filter(answered).count();
        answered > 0 && 2 * answered >= self.observers.len()
    }

    /// Another process says, or is said, to have this node's name.
    fn rival(&mut self, incarnation: u64, process: u64, is_heard: bool) {
        let own = self.incarnation();
        if process == self.settings.process {
            // Its own word comes back; one of a later incarnation than its own can only be of an earlier clock's making.
            return;
        }
        if incarnation < own {
            self.table.tell(self.id);
            if is_heard {
                self.note_rival(incarnation, false);
            }
            return;
        }
        if self.is_joining() && self.own != Own::Leaving {
            // A process before it, whose clock was ahead; or one that goes on beside it, which gives way.
            self.jumps += 1;
            self.table
                .set(self.id, self.now, State::Alive, incarnation + 1);
            if is_heard {
                self.note_rival(incarnation, false);
            }
        } else if matches!(self.own, Own::There | Own::Gone(..)) {
            self.own = Own::Superseded(incarnation);
            self.note_rival(incarnation, true);
            self.set_health(Health::Isolated);
        } else if let Own::Superseded(theirs) = &mut self.own {
            *theirs = incarnation.max(*theirs);
        }
    }

    fn is_joining(&self) -> bool {
        self.now - self.born < JOINING_MS && self.jumps < MOST_JUMPS
    }

    fn note_rival(&mut self, theirs: u64, yields: bool) {
        if yields || self.now - self.rival_noted > HOLD_WINDOW_MS {
            self.rival_noted = self.now;
            self.out.push(Action::Note(Note::Rival {
                theirs,
                own: self.incarnation(),
                yields,
            }));
        }
    }

    fn leave(&mut self) {
        self.own = Own::Leaving;
        let incarnation = self.incarnation();
        self.table.set(self.id, self.now, State::Left, incarnation);
        self.floods = Budget::new(self.now, FLOODS, FLOODS_PER_S);
        let mut to = self.neighbours();
        let others: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.process != 0)
            .map(|(at, _)| *at)
            .collect();
        to.extend((0..others.len().min(CONTACTS)).map(|_| others[self.rng.usize(..others.len())]));
        to.sort_unstable();
        to.dedup();
        to.into_iter()
            .for_each(|at| self.send(at, &[Record::Left(self.id, incarnation)]));
    }

    // ---- silence and verdicts ----

    /// For how long an observer has not heard a node that it has been listening to.
    fn silence(&self, entry: &Entry) -> Option<f64> {
        // One that has just come under its ears may not know it yet.
        let watched = entry.watched_ms?;
        let is_known = entry.counted_ms.is_some_and(|counted| counted >= watched);
        let listening = if is_known {
            watched
        } else {
            watched + self.settings.suspect_ms
        };
        let heard = entry.heard_ms.unwrap_or(f64::NEG_INFINITY);
        let ears = if self.is_planted(Planted::PauseAtFaceValue) {
            f64::NEG_INFINITY
        } else {
            self.ears_from
        };
        Some(self.now - heard.max(listening).max(ears))
    }

    /// Whether it hears anybody: one that does not is no judge of others.
    fn hears_somebody(&self) -> bool {
        if self.is_planted(Planted::DeafBelieved) {
            return true;
        }
        let heard = |(id, entry): &(MemberId, &Entry)| {
            *id != self.id
                && entry.is_there()
                && entry.heard_ms.is_some_and(|at| at >= self.ears_from)
                && entry.heard_within(self.now, self.settings.suspect_ms)
        };
        self.table.iter().any(|held| heard(&held))
    }

    /// A node is heard: nothing that was held against it stands.
    fn dismiss(&mut self, id: MemberId) {
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if entry.case.take().is_some() {
            self.say(id, Some(State::Suspect), Cause::Heard);
        }
    }

    fn judge(&mut self) {
        let hears = self.hears_somebody();
        for id in self.subjects.clone() {
            let Some(entry) = self.table.get(id).filter(|entry| entry.is_there()) else {
                continue;
            };
            let Some(silence) = self.silence(entry) else {
                continue;
            };
            if silence < self.settings.suspect_ms {
                self.dismiss(id);
                continue;
            }
            if entry.case.is_none() {
                let case = Case::new(self.now, self.settings.probe_ms);
                if let Some(entry) = self.table.get_mut(id) {
                    entry.case = Some(Box::new(case));
                }
                self.say(id, Some(State::Alive), Cause::Silent { ms: silence });
            }
            if hears {
                self.look_into(id, silence);
            }
        }
    }

    fn look_into(&mut self, id: MemberId, silence: f64) {
        let (now, fresh) = (self.now, self.probes(VOTE_PROBES));
        let Some(mut case) = self.table.get_mut(id).and_then(|entry| entry.case.take()) else {
            return;
        };
        let judges = self.panel(id, &mut case);
        let fresh = fresh.max(case.pause_ms + self.settings.probe_ms);
        case.forget(now, fresh);
        let count = case.count(now, fresh);
        // Silence counts from when anybody last heard it, where few are left to say so.
        let unheard = silence.min(now - case.heard_ms);
        let is_late = silence >= self.settings.suspect_ms + self.settings.probe_ms;
        let believed = self.is_planted(Planted::DeafBelieved);
        if believed || (is_late && is_gone(count, judges, unheard, self.settings.suspect_ms)) {
            self.figures.verdicts += 1;
            let Some(incarnation) = self.table.get(id).map(|entry| entry.incarnation) else {
                return;
            };
            if let Some(entry) = self.table.get_mut(id) {
                entry.case = Some(case); // What it was is said with the change.
            }
            let cause = Cause::Agreed {
                ms: silence,
                silent: count.silent,
                hear: count.hear,
            };
            return self.set_gone(id, incarnation, now, cause);
        }
        if now >= case.next_ask_ms {
            // Where others hear it, this one alone is cut off from it, and asks less and less.
            let longest = self.probes(ASK_PROBES);
            case.pause_ms = if count.hear >= 2 {
                (case.pause_ms * 2.0).min(longest)
            } else {
                self.settings.probe_ms
            };
            case.next_ask_ms = now + case.pause_ms;
            let incarnation = self.table.get(id).map_or(0, |entry| entry.incarnation);
            let mut slots: Vec<_> = case
                .panel
                .iter()
                .filter_map(|(of, _)| self.table.get(*of)?.slot)
                .collect();
            slots.extend(self.witnesses(id));
            slots.sort_unstable();
            slots.dedup();
            slots
                .into_iter()
                .for_each(|slot| self.send(slot, &[Record::Ask(id, incarnation)]));
            if let Some(slot) = self.table.get(id).and_then(|entry| entry.slot) {
                self.send(
                    slot,
                    &[Record::Ping {
                        answer: true,
                        observer: false,
                    }],
                );
            }
        }
        if let Some(entry) = self.table.get_mut(id) {
            entry.case = Some(case);
        }
    }

    /// Some of all that are heard, drawn anew each time.
    fn witnesses(&mut self, id: MemberId) -> Vec<PeerId> {
        let heard = self.heard(id);
        let drawn: Vec<_> = (0..heard.len().min(WITNESSES))
            .map(|_| heard[self.rng.usize(..heard.len())])
            .collect();
        self.slots(&drawn)
    }

    /// Others that are there and have been heard lately, without one.
    fn heard(&self, without: MemberId) -> Vec<MemberId> {
        let is_heard = |(of, entry): &(MemberId, &Entry)| {
            *of != without
                && entry.is_there()
                && entry.heard_within(self.now, self.settings.suspect_ms)
        };
        self.table
            .iter()
            .filter(is_heard)
            .map(|(of, _)| of)
            .collect()
    }

    /// Who is asked about a node: its other observers, and for those that do not answer others that are heard. Tells how
    /// many judges there are, with this node.
    fn panel(&mut self, id: MemberId, case: &mut Case) -> usize {
        let (now, patience) = (self.now, self.probes(PATIENCE_PROBES));
        let is_there = |of: MemberId| {
            self.table
                .get(of)
                .is_some_and(|entry| entry.is_there() && entry.slot.is_some())
        };
        let mute =
            |(of, asked): &(MemberId, f64)| now - asked >= patience && !case.votes.contains_key(of);
        case.mute.extend(
            case.panel
                .iter()
                .filter(|asked| mute(asked))
                .map(|(of, _)| *of),
        );
        case.panel
            .retain(|(of, _)| is_there(*of) && !case.mute.contains(of));
        let others = self.table.there().saturating_sub(2);
        let wanted = self.settings.observers.min(others);
        let mut candidates = self.observers_of(id);
        let heard = self.heard(id);
        candidates
            .extend((0..heard.len().min(2 * wanted)).map(|_| heard[self.rng.usize(..heard.len())]));
        if candidates
            .iter()
            .all(|of| *of == self.id || *of == id || case.mute.contains(of))
        {
            // All that are there have been asked: who did not answer once may now.
            case.mute.clear();
        }
        for of in candidates {
            let fits = of != self.id && of != id && is_there(of) && !case.mute.contains(&of);
            if case.panel.len() < wanted && fits && case.panel.iter().all(|(held, _)| *held != of) {
                case.panel.push((of, now));
            }
        }
        let panel = &case.panel;
        case.votes
            .retain(|of, _| panel.iter().any(|(held, _)| held == of));
        wanted + 1
    }

    /// Another node does not hear one, and asks.
    fn asked(&mut self, from: PeerId, id: MemberId, incarnation: u64) {
        let (now, suspect) = (self.now, self.settings.suspect_ms);
        if id == self.id {
            return self.send(
                from,
                &[Record::Ping {
                    answer: false,
                    observer: false,
                }],
            );
        }
        let Some(entry) = self.table.get(id) else {
            return;
        };
        if entry.incarnation > incarnation || !entry.is_there() {
            if let Some(record) = self.table.record(id, self.now) {
                self.send(from, &[record]);
            }
            return;
        }
        let is_heard = entry.heard_within(now, suspect) && entry.doomed.is_none();
        let patience = self.probes(PATIENCE_PROBES);
        let listens = self
            .silence(entry)
            .is_some_and(|silence| silence >= suspect);
        if let Some(entry) = self.table.get_mut(id) {
            entry.accused_until_ms = now + patience;
        }
        if is_heard {
            return self.send(from, &[Record::Vote(id, incarnation, true)]);
        }
        if now - self.ears_from < suspect || !self.hears_somebody() {
            return; // No judge of others.
        }
        if listens || self.has_checked(from, id) {
            self.send(from, &[Record::Vote(id, incarnation, false)]);
        }
    }

    /// Tries to reach a node that it does not listen to; `true` once it has tried for long enough in vain.
    fn has_checked(&mut self, asker: PeerId, id: MemberId) -> bool {
        let Some(slot) = self.table.get(id).and_then(|entry| entry.slot) else {
            return false;
        };
        let now = self.now;
        self.checks
            .retain(|_, check| now - check.last_ms < CHECK_HELD_MS);
        if !self.checks.contains_key(&id) && self.checks.len() >= MOST_CHECKS {
            return false;
        }
        let check = self.checks.entry(id).or_insert_with(|| Check {
            since_ms: now,
            last_ms: f64::NEG_INFINITY,
            askers: Vec::new(),
        });
        if check.askers.len() < MOST_ASKERS && !check.askers.contains(&asker) {
            check.askers.push(asker);
        }
        let since_ms = check.since_ms;
        if now - check.last_ms >= CHECK_AGAIN_MS {
            check.last_ms = now;
            self.send(
                slot,
                &[Record::Ping {
                    answer: true,
                    observer: false,
                }],
            );
        }
        now - since_ms >= self.probes(CHECK_PROBES)
    }

    fn vote(&mut self, by: MemberId, id: MemberId, incarnation: u64, hears: bool) {
        let now = self.now;
        let entry = self
            .table
            .get_mut(id)
            .filter(|entry| entry.incarnation == incarnation);
        if let Some(case) = entry.and_then(|entry| entry.case.as_mut()) {
            case.vote(now, by, hears);
        }
    }

    // ---- what it does by itself ----

    fn on_tick(&mut self) {
        self.tick += 1;
        if std::mem::take(&mut self.is_stale) {
            self.arrange();
        }
        if matches!(self.own, Own::There | Own::Gone(..)) {
            if self.tick % TICKS_A_PROBE == 0 {
                let answer = self.tick % (ANSWER_EVERY * TICKS_A_PROBE) == 0
                    || self.own != Own::There
                    || self.health != Health::Well;
                self.ping_observers(answer);
            }
            self.judge();
        }
        self.doom();
        if self.own != Own::Leaving {
            self.contact();
        }
        self.answered_since = if self.is_answered() {
            self.answered_since.or(Some(self.now))
        } else {
            None
        };
        self.try_return();
        self.take_pulse();
        if self.tick % SWEEP_TICKS == 0 {
            let forgotten = self.table.sweep(self.now);
            forgotten.into_iter().for_each(|id| self.forgotten(id));
        }
    }

    fn ping_observers(&mut self, answer: bool) {
        let slots = self.slots(&self.observers);
        slots.into_iter().for_each(|slot| {
            self.send(
                slot,
                &[Record::Ping {
                    answer,
                    observer: true,
                }],
            );
        });
    }

    /// Makes the rings anew.
    fn arrange(&mut self) {
        let there: Vec<_> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.is_there())
            .map(|(id, _)| id)
            .collect();
        self.rings = Rings::new(&there, self.settings.observers);
        self.observers = self.observers_of(self.id);
        self.subjects = if self.table.there() <= self.settings.observers + 1 {
            self.observers.clone()
        } else {
            self.rings.subjects(self.id)
        };
        let now = self.now;
        let ids: Vec<_> = self.table.iter().map(|(id, _)| id).collect();
        for id in ids {
            let watched = self.subjects.binary_search(&id).is_ok();
            if let Some(entry) = self.table.get_mut(id) {
                entry.watched_ms = watched.then(|| entry.watched_ms.unwrap_or(now));
                entry.case = entry.case.take().filter(|_| watched);
            }
        }
    }

    /// Who listens to a node. In a small fleet all others do.
    fn observers_of(&self, id: MemberId) -> Vec<MemberId> {
        if self.table.there() <= self.settings.observers + 1 {
            return self
                .table
                .iter()
                .filter(|(of, entry)| *of != id && entry.is_there())
                .map(|(of, _)| of)
                .collect();
        }
        self.rings.observers(id)
    }

    fn slots(&self, of: &[MemberId]) -> Vec<PeerId> {
        of.iter()
            .filter_map(|id| self.table.get(*id)?.slot)
            .collect()
    }

    fn neighbours(&self) -> Vec<PeerId> {
        let mut slots = self.slots(&self.observers);
        slots.extend(self.slots(&self.subjects));
        slots.sort_unstable();
        slots.dedup();
        slots
    }

    /// Speaks to addresses that it does not know yet, and now and then to others: so restarted and healed ones are found.
    fn contact(&mut self) {
        let mut new = Vec::new();
        if self.has_untried {
            let untried = |(_, peer): &(&PeerId, &Peer)| {
                peer.process == 0 && !peer.is_self && peer.tries < FIRST_TRIES
            };
            let all: Vec<_> = self.peers.iter().filter(untried).collect();
            self.has_untried = !all.is_empty();
            let again = |peer: &Peer| {
                peer.tried_ms
                    .is_none_or(|tried| self.now - tried >= FIRST_AGAIN_MS)
            };
            new.extend(
                all.into_iter()
                    .filter(|(_, peer)| again(peer))
                    .map(|(at, _)| *at),
            );
        }
        let mut tried: Vec<_> = if new.len() > CONTACTS {
            (0..CONTACTS)
                .map(|_| new[self.rng.usize(..new.len())])
                .collect()
        } else {
            new
        };
        if self.tick % TICKS_A_PROBE == 0 {
            let unsure = |peer: &Peer, table: &Table| {
                peer.member
                    .and_then(|id| table.get(id))
                    .is_none_or(|entry| !entry.is_there())
            };
            tried.extend(self.next_peer(1, unsure));
            tried.extend(self.next_peer(1, unsure));
        }
        if self.hurry > 0 || self.tick % (CONTACT_EVERY * TICKS_A_PROBE) == 0 {
            self.hurry = self.hurry.saturating_sub(1);
            tried.extend(self.next_peer(0, |peer, _| peer.process != 0));
        }
        tried.sort_unstable();
        tried.dedup();
        let digest = Record::Digest(self.table.digest());
        for at in tried {
            if let Some(peer) = self.peers.get_mut(&at) {
                peer.tried_ms = Some(self.now);
                peer.tries += 1;
            }
            self.send(
                at,
                &[
                    Record::Ping {
                        answer: true,
                        observer: false,
                    },
                    digest.clone(),
                ],
            );
        }
    }

    /// The next address behind the one that was looked at last.
    fn next_peer(
        &mut self,
        cursor: usize,
        wanted: impl Fn(&Peer, &Table) -> bool,
    ) -> Option<PeerId> {
        let after = self.cursors[cursor];
        let all = self
            .peers
            .range(after + 1..)
            .chain(self.peers.range(..=after));
        for (at, peer) in all.take(MOST_LOOKS) {
            self.cursors[cursor] = *at;
            if !peer.is_self && wanted(peer, &self.table) {
                return Some(*at);
            }
        }
        None
    }

    /// Word of ends that its own ears speak against is believed after a while.
    fn doom(&mut self) {
        for id in std::mem::take(&mut self.doomed) {
            let Some(entry) = self.table.get(id) else {
                continue;
            };
            let Some(doom) = entry.doomed.clone() else {
                continue;
            };
            let Doom {
                due_ms,
                incarnation,
                by,
                verdict_ms,
            } = *doom;
            if self.now < due_ms {
                self.doomed.push(id);
            } else if entry.is_there() && entry.incarnation <= incarnation {
                self.set_gone(id, incarnation, verdict_ms, Cause::Told { by });
            }
        }
    }

    /// One that is gone here speaks: it is told, and with it all that went when the two sides parted.
    fn heal(&mut self, from: PeerId) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        // Two that take each other for gone would answer each other without end.
        if peer.told_ms.is_some_and(|at| now - at < TOLD_AGAIN_MS) {
            return;
        }
        peer.told_ms = Some(now);
        self.send(from, &[]); // With what is held of it.
        if self.now - self.last_heal < HEAL_AGAIN_MS {
            return;
        }
        self.last_heal = self.now;
        let mut gone: Vec<_> = self
            .table
            .iter()
            .filter(|(_, entry)| entry.state == State::Gone)
            .collect();
        gone.sort_by(|(_, a), (_, b)| b.since_ms.total_cmp(&a.since_ms));
        let gone: Vec<_> = gone.into_iter().map(|(id, _)| id).collect();
        let records: Vec<_> = gone
            .into_iter()
            .filter_map(|id| self.table.record(id, now))
            .collect();
        let mut rest = records.as_slice();
        for _ in 0..HEAL_DATAGRAMS {
            if rest.is_empty() {
                break;
            }
            let sent = self.send_to(from, None, rest);
            rest = &rest[sent.max(1).min(rest.len())..];
        }
    }

    fn take_pulse(&mut self) {
        let others = self.peers.values().filter(|peer| !peer.is_self).count();
        let heard = |id: &&MemberId| {
            self.table
                .get(**id)
                .is_some_and(|entry| entry.heard_within(self.now, self.probes(HEARD_PROBES)))
        };
        let answered = |id: &&MemberId| {
            let acked = self.table.get(**id).and_then(|entry| entry.acked_ms);
            acked.is_some_and(|at| self.now - at < self.probes(ANSWERED_PROBES))
        };
        // One that is missing is most likely that one's own matter, however few there are.
        let part = |count: usize, of: usize| match count {
            0 => 0.0,
            _ if of - count <= 1 => 1.0,
            _ => count as f64 / of as f64,
        };
        let hears = part(
            self.subjects.iter().filter(heard).count(),
            self.subjects.len(),
        );
        let is_heard = part(
            self.observers.iter().filter(answered).count(),
            self.observers.len(),
        );
        let worse = hears.min(is_heard);
        let now = match self.own {
            _ if others == 0 => Health::Well,
            Own::There if worse > WELL => Health::Well,
            Own::There if worse > 0.0 => Health::Degraded,
            _ => Health::Isolated,
        };
        if now <= self.health {
            self.better_since = None;
            return self.set_health(now);
        }
        let since = *self.better_since.get_or_insert(self.now);
        if self.now - since >= BETTER_MS {
            self.better_since = None;
            self.set_health(now);
        }
    }

    fn set_health(&mut self, health: Health) {
        if std::mem::replace(&mut self.health, health) != health {
            self.out.push(Action::Health(health));
        }
    }

    fn set_peers(&mut self, peers: &[PeerId]) {
        let gone: Vec<_> = self
            .peers
            .keys()
            .filter(|at| !peers.contains(at))
            .copied()
            .collect();
        for at in gone {
            if let Some(entry) = self
                .peers
                .remove(&at)
                .and_then(|peer| self.table.get_mut(peer.member?))
            {
                entry.slot = entry.slot.filter(|slot| *slot != at);
            }
        }
        for at in peers {
            self.peers.entry(*at).or_default();
        }
        self.has_untried = true;
    }

    // ---- what goes out ----

    fn hello(&self) -> Record {
        Record::Hello {
            incarnation: self.incarnation(),
            name: self.settings.name.clone(),
        }
    }

    /// What is new goes to all neighbours at once, as long as that has not been often of late.
    fn flood(&mut self) {
        if !self.table.has_untold() || !self.floods.take(self.now) {
            return;
        }
        self.neighbours()
            .into_iter()
            .for_each(|at| self.send(at, &[]));
    }

    fn send(&mut self, to: PeerId, records: &[Record]) {
        self.send_to(to, None, records);
    }

    /// Sends these records, as many as fit, and news with what room is left. Tells how many of the records went.
    fn send_to(&mut self, to: PeerId, process: Option<u64>, records: &[Record]) -> usize {
        let hello = self.hello();
        let seal = self.settings.seal.clone();
        let from = self.settings.process;
        let Some(peer) = self.peers.get_mut(&to).filter(|peer| !peer.is_self) else {
            return 0;
        };
        let head = match process.filter(|process| *process != peer.process) {
            // One that is not known here: it only has to see that this is for it. Nothing else has this number.
            Some(process) => Head {
                from,
                to: process,
                number: 0,
            },
            None => {
                peer.number = peer.number.wrapping_add(1);
                Head {
                    from,
                    to: peer.process,
                    number: peer.number,
                }
            }
        };
        let introduces = head.to == 0 || !peer.knows_me || process.is_some();
        let member = peer.member.filter(|_| head.to == peer.process);
        let mut writer = Writer::new(&seal, head);
        if introduces && !records.contains(&hello) {
            writer.push(&hello);
        }
        let gone = member.filter(|id| self.table.get(*id).is_some_and(|entry| !entry.is_there()));
        if let Some(record) = gone.and_then(|id| self.table.record(id, self.now)) {
            writer.push(&record);
        }
        let sent = records
            .iter()
            .take_while(|record| writer.push(record))
            .count();
        if head.to != 0 && head.to == peer_process(&self.peers, to) {
            self.table.fill(self.now, |record| writer.push(record));
        }
        let bytes = writer.seal(&seal);
        self.figures.sent.0 += 1;
        self.figures.sent.1 += bytes.len() as u64;
        self.out.push(Action::Send { to, bytes });
        sent
    }
}

fn peer_process(peers: &BTreeMap<PeerId, Peer>, at: PeerId) -> u64 {
    peers.get(&at).map_or(0, |peer| peer.process)
}
