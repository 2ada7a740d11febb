//! Word of bad servers: what this node says of them, and what it makes of what others say.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use crate::tally::Tally;
use crate::wire::{Entry, Kind, Report, ServerKey, MOST_ENTRIES};

/// A node, by a number that its name comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub u64);

/// Servers that are kept in mind: the largest list that the node takes.
const MOST_SERVERS: usize = 8_192;
/// Reporters that are kept of one server: many times what it takes, so the oldest may go.
const MOST_REPORTERS: usize = 24;
/// A report that is not repeated for so many turns says nothing any more.
const REPORT_TURNS: f64 = 3.5;
/// What one reporter can weigh of a server, in attempts: a busy one, or one that lies, does not decide alone.
const MOST_WEIGHT: f64 = 4.0;
/// The least that is worth saying, in attempts.
const LEAST: f64 = 0.5;
/// The part of its ordinary share that a suspect server still has: so that many nodes hear when it gets well. Few do by what
/// they forget. With 0.05 more was spent on it than by nodes that find out each for itself (`measured.md`).
/// It is what all nodes together try, so the more there are the less is each one's.
const FLOOR: f64 = 0.9;
const LEAST_FLOOR: f64 = 0.003;
/// For how many turns nobody is believed once too many would be bad: long enough that no server comes and goes by it.
const PANIC_TURNS: f64 = 30.0;
/// By how much that grows in a turn in which more of the attempts of all who speak ended well than failed: not all at once, as
/// all nodes hear it at the same time. Where nobody says anything it grows as much in so many turns, as few may try it.
const GROWTH: f64 = 1.6;
/// With less than this part of its share a server counts as spared.
const SPARED: f64 = 0.5;
const UNHEARD_TURNS: f64 = 10.0;
/// For how many turns it stays suspect at least: the first time, and at most where it fell back again and again.
const HELD_TURNS: [f64; 2] = [2.0, 32.0];
/// By then it is as long as it gets.
const MOST_TIMES: i32 = 8;
/// One that has been well for so many turns begins anew.
const FORGIVEN_TURNS: f64 = 120.0;

/// How word is made and believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How often what there is to say is said, and judged.
    pub turn_ms: f64,
    /// What failed counts for half as much after this.
    pub half_life_ms: f64,
    /// How many different nodes have to complain of a server; fewer where there are not twice as many.
    pub reporters: usize,
    /// What part of the attempts of those who speak has to have failed.
    pub share: f64,
    /// The part of its ordinary share that a suspect server still has at the most: with many nodes it is less.
    pub floor: f64,
    /// Of no more than this part of the servers word is believed, and a node that complains of more is not.
    pub panic_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            turn_ms: 1_000.0,
            half_life_ms: 10_000.0,
            reporters: 3,
            share: 0.5,
            floor: 0.05,
            panic_share: 0.3,
        }
    }
}

/// Settings that make no sense: which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsError(&'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is out of range", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether they make sense.
    ///
    /// # Errors
    ///
    /// Names the first that does not.
    pub fn check(&self) -> Result<(), SettingsError> {
        let need = |ok: bool, key| if ok { Ok(()) } else { Err(SettingsError(key)) };
        need((100.0..=60_000.0).contains(&self.turn_ms), "turn_ms")?;
        need(
            (1_000.0..=600_000.0).contains(&self.half_life_ms),
            "half_life_ms",
        )?;
        need((2..=16).contains(&self.reporters), "reporters")?;
        need((0.1..=1.0).contains(&self.share), "share")?;
        need((0.0001..=0.5).contains(&self.floor), "floor")?;
        need((0.0..=0.5).contains(&self.panic_share), "panic_share")
    }
}

/// What happens.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// All servers that this node's own list names now.
    Servers(&'a [ServerKey]),
    /// An attempt of this node's ended: how it failed, if it did.
    Ended(ServerKey, Option<Kind>),
    /// A word of another node's.
    Said(NodeKey, &'a [u8]),
    /// So many nodes are believed to be there, this one among them.
    Nodes(usize),
    /// The time that was asked for has come.
    Due,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Say this to all other nodes.
    Tell(Vec<u8>),
    /// The part of its ordinary share that a server should have from here on; 1: there is nothing against it.
    Hint(ServerKey, f64),
    /// Come again at this time at the latest.
    WakeAt(f64),
}

/// What is said of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hint {
    /// Which one.
    pub server: ServerKey,
    /// How most of what is complained of failed.
    pub kind: Kind,
    /// How many complain.
    pub reporters: usize,
    /// For how long it has been so, in milliseconds.
    pub age_ms: f64,
    /// The part of its ordinary share that it should have.
    pub weight: f64,
}

/// Counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Reports that this node has made.
    pub told: u64,
    /// Reports that were taken.
    pub heard: u64,
    /// Reports, or servers in them, that say nothing: no report, or nobody of this node's list.
    pub unknown: u64,
    /// Reports of nodes that complain of too many, and turns in which this one did.
    pub void: u64,
    /// Servers that became suspect.
    pub suspected: u64,
    /// Turns in which too many would have been.
    pub panics: u64,
}

#[derive(Clone, Copy, Debug)]
struct Said {
    by: NodeKey,
    at_ms: f64,
    failed: f64,
    ok: f64,
    /// When the last of them ended well.
    ok_ms: f64,
    kind: Kind,
}

#[derive(Clone, Debug)]
struct Server {
    own: Tally,
    said: Vec<Said>,
    weight: f64,
    /// How it stands by all that is said.
    kind: Kind,
    complain: usize,
    /// Whether more ended well than failed, by all who speak of it, and whether anybody does.
    is_well: bool,
    is_heard: bool,
    grown_ms: f64,
    /// When somebody began to complain: what went well before says nothing against that.
    accused_ms: f64,
    since_ms: f64,
    /// Until when it is suspect at least, and how often it has been of late.
    held_until_ms: f64,
    times: i32,
    well_since_ms: f64,
}

impl Server {
    fn new(now: f64) -> Self {
        Self {
            own: Tally::default(),
            said: Vec::new(),
            weight: 1.0,
            kind: Kind::Error,
            complain: 0,
            is_well: true,
            is_heard: false,
            grown_ms: now,
            accused_ms: f64::NEG_INFINITY,
            since_ms: now,
            held_until_ms: f64::NEG_INFINITY,
            times: 0,
            well_since_ms: now,
        }
    }
}

/// What a node says and believes. See the crate's page.
#[derive(Clone, Debug)]
pub struct Word {
    settings: Settings,
    now: f64,
    next_turn: f64,
    nodes: usize,
    servers: BTreeMap<ServerKey, Server>,
    /// Those against which something is or was said: the others need no judging.
    spoken_of: BTreeSet<ServerKey>,
    /// When this node spoke last, and whether its own attempts fail at so many that it is likely its own fault.
    told_ms: f64,
    own_is_void: bool,
    panic_until_ms: f64,
    figures: Figures,
    out: Vec<Action>,
}

impl Word {
    /// One that has heard nothing. `phase` is 0 to 1: when in a turn it speaks, so that not all do at once.
    ///
    /// # Errors
    ///
    /// The settings make no sense.
    pub fn new(now: f64, settings: Settings, phase: f64) -> Result<Self, SettingsError> {
        settings.check()?;
        let next_turn = now + settings.turn_ms * phase;
        Ok(Self {
            settings,
            now,
            next_turn,
            nodes: 1,
            servers: BTreeMap::new(),
            spoken_of: BTreeSet::new(),
            told_ms: f64::NEG_INFINITY,
            own_is_void: false,
            panic_until_ms: f64::NEG_INFINITY,
            figures: Figures::default(),
            out: Vec::new(),
        })
    }

    /// Takes an event at a time and says what is to be done. Times never go back.
    pub fn handle(&mut self, now: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Servers(keys) => self.list(keys),
            Event::Ended(server, failed) => {
                let (now, half_life) = (self.now, self.settings.half_life_ms);
                if let Some(held) = self.servers.get_mut(&server) {
                    held.own.add(now, half_life, failed);
                    if failed.is_some() {
                        self.spoken_of.insert(server);
                        // The first of them cannot wait, or all others go on to find out each for itself.
                        if now - self.told_ms >= self.settings.turn_ms {
                            self.own_is_void = self.tell();
                            self.judge(false);
                        }
                    }
                }
            }
            Event::Said(by, bytes) => match Report::read(bytes) {
                Some(report) => self.said(by, &report),
                None => self.figures.unknown += 1,
            },
            Event::Nodes(nodes) => self.nodes = nodes.max(1),
            Event::Due => {}
        }
        if self.now >= self.next_turn {
            // One that stood still has one turn, not all that it missed.
            self.next_turn = self.now + self.settings.turn_ms;
            self.own_is_void = self.tell();
            self.judge(true);
        }
        actions.append(&mut self.out);
        actions.push(Action::WakeAt(self.next_turn));
    }

    /// What is said of servers against which there is something.
    pub fn hints(&self) -> impl Iterator<Item = Hint> + '_ {
        let now = self.now;
        let against = self
            .servers
            .iter()
            .filter(|(_, server)| server.weight < 1.0 || server.complain > 0);
        against.map(move |(key, server)| Hint {
            server: *key,
            kind: server.kind,
            reporters: server.complain,
            age_ms: now - server.since_ms,
            weight: server.weight,
        })
    }

    /// Its counts.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures
    }

    fn list(&mut self, keys: &[ServerKey]) {
        let listed: BTreeSet<_> = keys.iter().take(MOST_SERVERS).copied().collect();
        self.servers.retain(|key, _| listed.contains(key));
        self.spoken_of.retain(|key| listed.contains(key));
        let now = self.now;
        for key in listed {
            self.servers.entry(key).or_insert_with(|| Server::new(now));
        }
    }

    /// Whether complaints of so many of so many say more of who complains than of servers. One may always be bad.
    fn is_void(&self, complaints: usize, of: usize) -> bool {
        complaints as f64 > (self.settings.panic_share * of as f64).max(1.0)
    }

    fn said(&mut self, by: NodeKey, report: &Report) {
        let complaints = report
            .entries
            .iter()
            .filter(|entry| entry.failed >= entry.ok && entry.failed > 0)
            .count();
        // What it says of how many it tried is bounded by what there is.
        let tried = usize::from(report.tried).min(self.servers.len());
        if self.is_void(complaints, tried) {
            self.figures.void += 1;
            return;
        }
        self.figures.heard += 1;
        let now = self.now;
        for entry in &report.entries {
            // Whoever its list does not name it knows nothing of, whatever others say.
            let Some(server) = self.servers.get_mut(&entry.server) else {
                self.figures.unknown += 1;
                continue;
            };
            self.spoken_of.insert(entry.server);
            let [failed, ok] = [entry.failed, entry.ok].map(|count| f64::from(count) / 4.0);
            let ok_ms = now - f64::from(entry.ok_age) * 100.0;
            let said = Said {
                by,
                at_ms: now,
                failed,
                ok,
                ok_ms,
                kind: entry.kind,
            };
            match server.said.iter_mut().find(|held| held.by == by) {
                Some(held) => *held = said,
                None => {
                    if server.said.len() >= MOST_REPORTERS {
                        let oldest = (0..server.said.len())
                            .min_by(|a, b| server.said[*a].at_ms.total_cmp(&server.said[*b].at_ms));
                        oldest.map(|at| server.said.swap_remove(at));
                    }
                    server.said.push(said);
                }
            }
        }
        self.judge(false);
    }

    /// Says what this node's own attempts came to at servers that fail, here or elsewhere. Tells whether they fail at so
    /// many that it is likely its own fault.
    fn tell(&mut self) -> bool {
        let (now, half_life) = (self.now, self.settings.half_life_ms);
        let own: Vec<_> = self
            .servers
            .iter()
            .map(|(key, server)| (*key, server.own.at(now, half_life)))
            .collect();
        let tried = own
            .iter()
            .filter(|(_, (ok, failed, _))| ok + failed >= LEAST)
            .count();
        let complaints = own
            .iter()
            .filter(|(_, (ok, failed, _))| *failed >= LEAST && failed >= ok)
            .count();
        if self.is_void(complaints, tried) {
            self.figures.void += 1;
            return true;
        }
        let is_accused = |key: &ServerKey| {
            let complains = |said: &Said| said.failed >= said.ok;
            self.servers
                .get(key)
                .is_some_and(|server| server.weight < 1.0 || server.said.iter().any(complains))
        };
        let worth = |(key, (ok, failed, _)): &(ServerKey, (f64, f64, Kind))| {
            *failed >= LEAST || (*ok >= LEAST && is_accused(key))
        };
        let mut said: Vec<_> = own.into_iter().filter(worth).collect();
        said.sort_by(|a, b| b.1 .1.total_cmp(&a.1 .1));
        if said.is_empty() {
            return false;
        }
        let quarters = |count: f64| (count * 4.0).round().min(f64::from(u8::MAX)) as u8;
        let age = |server: &ServerKey| {
            let ok_ms = self
                .servers
                .get(server)
                .map_or(f64::NEG_INFINITY, |server| server.own.ok_ms());
            ((now - ok_ms) / 100.0).min(f64::from(u8::MAX)) as u8
        };
        let entry = |(server, (ok, failed, kind)): (ServerKey, (f64, f64, Kind))| Entry {
            server,
            failed: quarters(failed),
            ok: quarters(ok),
            kind,
            ok_age: age(&server),
        };
        let entries = said.into_iter().take(MOST_ENTRIES).map(entry).collect();
        let report = Report {
            tried: tried.min(usize::from(u16::MAX)) as u16,
            entries,
        };
        self.figures.told += 1;
        self.told_ms = now;
        self.out.push(Action::Tell(report.write()));
        false
    }

    /// Who is bad by all that is said. What was bad gets its share back in turns alone.
    fn judge(&mut self, is_turn: bool) {
        let own_is_void = self.own_is_void;
        let Settings {
            turn_ms,
            half_life_ms,
            share,
            reporters,
            floor,
            panic_share,
        } = self.settings;
        let now = self.now;
        let needed = reporters.min(self.nodes.div_ceil(2)).max(2);
        let mut bad = BTreeSet::new();
        for key in &self.spoken_of {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            server
                .said
                .retain(|said| now - said.at_ms < REPORT_TURNS * turn_ms);
            let (ok, failed, kind) = if own_is_void {
                (0.0, 0.0, Kind::Error)
            } else {
                server.own.at(now, half_life_ms)
            };
            let own = [(ok, server.own.ok_ms(), failed, kind)].into_iter();
            let own = own.filter(|(ok, _, failed, _)| ok + failed >= LEAST);
            let said = server
                .said
                .iter()
                .map(|said| (said.ok, said.ok_ms, said.failed, said.kind));
            let is_new = server.complain == 0 && server.weight >= 1.0;
            let accused_ms = if is_new { now } else { server.accused_ms };
            let (mut all_ok, mut all_failed, mut complain, mut kinds) =
                (0.0, 0.0, 0, [0.0; Kind::ALL.len()]);
            for (ok, ok_ms, failed, kind) in own.chain(said) {
                complain += usize::from(failed >= ok && failed >= LEAST);
                let ok = if ok_ms >= accused_ms { ok } else { 0.0 };
                if ok + failed < LEAST {
                    continue;
                }
                let part = (MOST_WEIGHT / (ok + failed)).min(1.0);
                (all_ok, all_failed) = (all_ok + ok * part, all_failed + failed * part);
                kinds[kind as usize] += failed * part;
            }
            let most = Kind::ALL
                .into_iter()
                .max_by(|a, b| kinds[*a as usize].total_cmp(&kinds[*b as usize]));
            if (complain > 0) != (server.complain > 0) && server.weight >= 1.0 {
                server.since_ms = now;
            }
            if is_new && complain > 0 {
                server.accused_ms = now;
            }
            (server.complain, server.kind) = (complain, most.unwrap_or(Kind::Error));
            (server.is_well, server.is_heard) = (all_ok > all_failed, all_ok + all_failed >= LEAST);
            if complain >= needed && all_failed >= share * (all_ok + all_failed) {
                bad.insert(*key);
            }
        }
        // Those that are spared already have hardly anybody left who could complain.
        let spared = |key: &&ServerKey| {
            self.servers
                .get(*key)
                .is_some_and(|server| server.weight < SPARED)
        };
        let spared = self
            .spoken_of
            .iter()
            .filter(spared)
            .filter(|key| !bad.contains(*key))
            .count();
        if (bad.len() + spared) as f64 > (panic_share * self.servers.len() as f64).max(1.0) {
            self.figures.panics += 1;
            self.panic_until_ms = now + PANIC_TURNS * turn_ms;
        }
        let is_panic = now < self.panic_until_ms;
        if is_panic {
            bad.clear();
        }
        let floor = (FLOOR / self.nodes as f64).max(LEAST_FLOOR).min(floor);
        let mut over = Vec::new();
        for key in &self.spoken_of {
            let Some(server) = self.servers.get_mut(key) else {
                continue;
            };
            let before = server.weight;
            if bad.contains(key) {
                if server.weight > floor && server.held_until_ms <= now {
                    self.figures.suspected += 1;
                    let held = HELD_TURNS[0] * 2.0_f64.powi(server.times);
                    server.held_until_ms = now + turn_ms * held.min(HELD_TURNS[1]);
                    server.times = (server.times + 1).min(MOST_TIMES);
                    server.since_ms = now;
                }
                server.weight = floor;
                server.well_since_ms = now;
                server.grown_ms = now;
            } else if is_panic {
                server.weight = 1.0;
            } else if is_turn && server.weight < 1.0 && now >= server.held_until_ms {
                let is_unheard =
                    !server.is_heard && now - server.grown_ms >= UNHEARD_TURNS * turn_ms;
                if server.is_well && server.is_heard || is_unheard {
                    server.weight = (server.weight * GROWTH).min(1.0);
                    server.grown_ms = now;
                }
            }
            if now - server.well_since_ms >= FORGIVEN_TURNS * turn_ms {
                server.times = 0;
            }
            let (_, failed, _) = server.own.at(now, half_life_ms);
            if server.weight >= 1.0 && server.times == 0 && server.said.is_empty() && failed < LEAST
            {
                over.push(*key);
            }
            if server.weight != before {
                self.out.push(Action::Hint(*key, server.weight));
            }
        }
        over.iter().for_each(|key| _ = self.spoken_of.remove(key));
    }
}
