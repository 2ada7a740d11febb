//! The pool: connections, tickets and races between addresses.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::address::{order, Route};
use crate::memory::{IdleMemory, Memory, Standing};
use crate::odd::Oddness;

/// The most addresses of a server: three kinds, each twice, and some to spare. Of more the first in their order count.
pub const MOST_ADDRESSES: usize = 8;
/// RFC 8305, section 5: the recommended delay between two attempts.
const STAGGER_MS: f64 = 250.0;
/// The delay behind an address that has failed and is tested: a request must not pay for the test.
const TEST_STAGGER_MS: f64 = 20.0;
/// Dials in a row to a server that has just started; the rate after them is in [`Limits`].
const COLD_BURST: f64 = 8.0;
/// A cold server that may not be dialled yet is looked at again no sooner than after this part of a dial's time, and
/// dialled no more seldom than at this rate, whatever the limit says.
const LEAST_ALLOWANCE: f64 = 0.01;
const LEAST_COLD_DIALS_PER_S: f64 = 0.1;
/// Waits within this time are a rising load ...
const RISING_MS: f64 = 100.0;
/// ... from so many on.
const RISING: f64 = 4.0;

/// A server, as whoever embeds the pool numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey(pub usize);

/// A connection; a number is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// A dial; a number is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DialId(pub u64);

/// An attempt that waits for a connection; a number is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// One of a server's addresses, for as long as it is on its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteId(pub u64);

/// What the pool may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Connections, with those that are being dialled.
    pub most_open: usize,
    /// Of them to one server, over all its addresses.
    pub most_per_server: usize,
    /// Races to one server at a time.
    pub most_dials: usize,
    /// How long the addresses of a server may take to be reached, together.
    pub dial_timeout_ms: f64,
    /// How long a connection may stand idle.
    pub idle_ms: f64,
    /// Dials a second to a server that has just started: each costs it work.
    pub cold_dials_per_s: f64,
    /// Whether one connection more than needed is dialled under a rising load.
    pub ahead: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            most_open: 1_024,
            most_per_server: 1_024,
            most_dials: 256,
            dial_timeout_ms: 1_000.0,
            idle_ms: 60_000.0,
            cold_dials_per_s: 100.0,
            ahead: false,
        }
    }
}

/// What an attempt has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// A connection.
    Now(ConnId),
    /// A ticket, which is granted a connection or fails in its time.
    Later(Ticket),
    /// Nothing.
    Never(Why),
}

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The server is not there, or has no address that may be tried.
    Nowhere,
    /// None of its addresses could be reached.
    Unreachable,
    /// All connections that there may be are in use.
    Full,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// The other side closed it while it stood idle.
    ByPeer,
    /// It brought bytes that nobody had asked for.
    Odd,
    /// It broke before a request was out to its last byte.
    Broken,
    /// It was used up, given up, or broke later.
    Spent,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Connect to an address, and tell [`Pool::dialled`].
    Dial {
        /// The dial.
        dial: DialId,
        /// The server.
        server: ServerKey,
        /// The address.
        route: Route,
    },
    /// Give a dial up.
    Abort {
        /// The dial.
        dial: DialId,
    },
    /// A ticket has its connection.
    Grant {
        /// The ticket.
        ticket: Ticket,
        /// The connection.
        conn: ConnId,
    },
    /// A dial came up for nobody who waits: keep it, it stands idle.
    Keep {
        /// The connection.
        conn: ConnId,
    },
    /// A ticket has failed.
    Fail {
        /// The ticket.
        ticket: Ticket,
        /// Why.
        why: Why,
    },
    /// Close a connection, which stands idle or was just given back.
    Close {
        /// The connection.
        conn: ConnId,
    },
    /// An address has stopped coming up; told once, until it comes up again.
    Down {
        /// The server.
        server: ServerKey,
        /// The address.
        route: Route,
    },
    /// An address that had stopped comes up again.
    Up {
        /// The server.
        server: ServerKey,
        /// The address.
        route: Route,
    },
    /// Call [`Pool::due`] at this time, unless a later action names another.
    WakeAt(f64),
}

#[derive(Clone, Debug)]
struct Known {
    id: RouteId,
    route: Route,
    memory: Memory,
    idle: IdleMemory,
    /// Whether it has been told that it is down.
    is_down: bool,
}

#[derive(Clone, Copy, Debug)]
struct Idle {
    conn: ConnId,
    route: RouteId,
    since: f64,
}

/// A connection in use, and by which of the servers that have had the key.
#[derive(Clone, Copy, Debug)]
struct Busy {
    server: ServerKey,
    route: RouteId,
    incarnation: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    /// Until when, at the longest.
    ends_at: f64,
    /// Whether a race is run for it.
    races: bool,
    avoid: Vec<RouteId>,
}

#[derive(Debug)]
struct Race {
    ticket: Option<Ticket>,
    plan: VecDeque<RouteId>,
    out: Vec<(DialId, RouteId, f64)>,
    next_at: f64,
    ends_at: f64,
}

#[derive(Debug)]
struct Server {
    incarnation: u64,
    routes: Vec<Known>,
    /// The freshest last.
    idle: Vec<Idle>,
    busy: usize,
    waiting: VecDeque<Waiting>,
    races: Vec<Race>,
    odd: Oddness,
    cold_until: f64,
    allowance: (f64, f64),
    waits: (f64, f64),
}

/// Connections to all servers. See the [crate] page.
#[derive(Debug)]
pub struct Pool {
    limits: Limits,
    servers: HashMap<ServerKey, Server>,
    /// Connections in use, and whose they are.
    busy: HashMap<ConnId, Busy>,
    dials: HashMap<DialId, ServerKey>,
    tickets: HashMap<Ticket, ServerKey>,
    /// Servers with a race or somebody who waits.
    active: BTreeSet<ServerKey>,
    open: usize,
    next: u64,
    waking: f64,
}

impl Pool {
    /// No server yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            servers: HashMap::new(),
            busy: HashMap::new(),
            dials: HashMap::new(),
            tickets: HashMap::new(),
            active: BTreeSet::new(),
            open: 0,
            next: 0,
            waking: f64::INFINITY,
        }
    }

    /// Connections that are open or being dialled.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open
    }

    /// Idle connections to a server.
    #[must_use]
    pub fn idle(&self, server: ServerKey) -> usize {
        self.servers.get(&server).map_or(0, |held| held.idle.len())
    }

    /// The addresses of a server as they stand, in the order in which they would be tried, with their failures in a
    /// row.
    #[must_use]
    pub fn routes(&self, now: f64, server: ServerKey) -> Vec<(Route, u32)> {
        let Some(held) = self.servers.get(&server) else {
            return Vec::new();
        };
        let known = |id: RouteId| held.routes.iter().find(move |known| known.id == id);
        let plan = held.plan(now, &[]).into_iter().filter_map(known);
        plan.map(|known| (known.route.clone(), known.memory.failures()))
            .collect()
    }

    /// The address that a connection in use goes to.
    #[must_use]
    pub fn route_of(&self, conn: ConnId) -> Option<RouteId> {
        self.busy.get(&conn).map(|busy| busy.route)
    }

    /// A server is there, at these addresses. Idle connections to others are closed; what is in use goes on, and is
    /// closed when it is given back. What is remembered of an address stays while it is on the list.
    pub fn update(
        &mut self,
        now: f64,
        server: ServerKey,
        routes: Vec<Route>,
        actions: &mut Vec<Action>,
    ) {
        let idle_ms = self.limits.idle_ms;
        self.next += 1;
        let held = self.servers.entry(server).or_insert(Server::new(self.next));
        if held.routes.iter().map(|known| &known.route).eq(&routes) {
            return;
        }
        let mut before = std::mem::take(&mut held.routes);
        let old: Vec<_> = before.iter().map(|known| known.id).collect();
        let mut listed: Vec<Route> = Vec::new();
        for route in routes {
            if listed.iter().all(|other| other.address != route.address) {
                listed.push(route);
            }
        }
        for at in order(&listed).into_iter().take(MOST_ADDRESSES) {
            let route = listed[at].clone();
            let same = before
                .iter()
                .position(|known| known.route.address == route.address);
            held.routes.push(if let Some(same) = same {
                Known {
                    route,
                    ..before.remove(same)
                }
            } else {
                self.next += 1;
                let (id, idle) = (RouteId(self.next), IdleMemory::new(idle_ms));
                Known {
                    id,
                    route,
                    memory: Memory::default(),
                    idle,
                    is_down: false,
                }
            });
        }
        let routes = &held.routes;
        let is_listed = |id: RouteId| routes.iter().any(|known| known.id == id);
        let mut closed = 0;
        held.idle.retain(|idle| {
            let stays = is_listed(idle.route);
            if !stays {
                closed += 1;
                actions.push(Action::Close { conn: idle.conn });
            }
            stays
        });
        for race in &mut held.races {
            race.plan.retain(|id| is_listed(*id));
            race.out.retain(|(dial, id, _)| {
                let stays = is_listed(*id);
                if !stays {
                    closed += 1;
                    self.dials.remove(dial);
                    actions.push(Action::Abort { dial: *dial });
                }
                stays
            });
            // Whoever waits for an address that is gone is tried at one that has come.
            if race.ticket.is_some() {
                race.plan.extend(
                    held.routes
                        .iter()
                        .map(|known| known.id)
                        .filter(|id| !old.contains(id)),
                );
            }
            if race.out.is_empty() {
                race.next_at = now;
            }
        }
        self.open -= closed;
        self.serve(now, server, actions);
    }

    /// A server started at a time that leaves it cold until `until`: it is dialled no faster than its limit.
    pub fn set_cold(&mut self, server: ServerKey, until: f64) {
        self.next += 1;
        self.servers
            .entry(server)
            .or_insert(Server::new(self.next))
            .cold_until = until;
    }

    /// A server is gone: what is idle is closed, what waits fails, and what is in use is closed when it is given back.
    pub fn forget(&mut self, now: f64, server: ServerKey, actions: &mut Vec<Action>) {
        self.close_idle(server, actions);
        let Some(held) = self.servers.remove(&server) else {
            return;
        };
        for race in held.races {
            self.abort(race, actions);
        }
        for Waiting { ticket, .. } in held.waiting {
            self.tickets.remove(&ticket);
            actions.push(Action::Fail {
                ticket,
                why: Why::Nowhere,
            });
        }
        self.active.remove(&server);
        self.wake(now, actions);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: ServerKey, actions: &mut Vec<Action>) {
        let Some(held) = self.servers.get_mut(&server) else {
            return;
        };
        self.open -= held.idle.len();
        actions.extend(
            held.idle
                .drain(..)
                .map(|idle| Action::Close { conn: idle.conn }),
        );
    }

    /// An attempt needs a connection to a server, by none of the addresses in `avoid`.
    pub fn take(
        &mut self,
        now: f64,
        server: ServerKey,
        avoid: &[RouteId],
        actions: &mut Vec<Action>,
    ) -> Taken {
        let Some(held) = self.servers.get_mut(&server) else {
            return Taken::Never(Why::Nowhere);
        };
        if held.waiting.is_empty() {
            if let Some(idle) = held.take_idle(now, avoid, &mut self.open, actions) {
                held.busy += 1;
                self.busy.insert(idle.conn, held.in_use(server, idle.route));
                return Taken::Now(idle.conn);
            }
        }
        if held.routes.iter().all(|known| avoid.contains(&known.id)) {
            return Taken::Never(Why::Nowhere);
        }
        let rests = held.idle.iter().any(|idle| !avoid.contains(&idle.route));
        if !rests && !self.has_room(server, actions) {
            return Taken::Never(Why::Full);
        }
        self.next += 1;
        let ticket = Ticket(self.next);
        self.tickets.insert(ticket, server);
        if let Some(held) = self.servers.get_mut(&server) {
            let ends_at = now + self.limits.dial_timeout_ms;
            held.waiting.push_back(Waiting {
                ticket,
                ends_at,
                races: false,
                avoid: avoid.to_vec(),
            });
            held.note_wait(now);
        }
        self.serve(now, server, actions);
        Taken::Later(ticket)
    }

    /// An attempt waits no more. One that has been granted a connection gives that back instead.
    pub fn cancel(&mut self, now: f64, ticket: Ticket, actions: &mut Vec<Action>) {
        let Some(server) = self.tickets.remove(&ticket) else {
            return;
        };
        let Some(held) = self.servers.get_mut(&server) else {
            return;
        };
        held.waiting.retain(|waiting| waiting.ticket != ticket);
        self.release(server, ticket);
        self.serve(now, server, actions);
    }

    /// A dial has come up, or failed. `true`: the pool has taken the connection up, and a [`Action::Grant`] or
    /// [`Action::Keep`] names it; otherwise whoever dialled closes it.
    pub fn dialled(&mut self, now: f64, dial: DialId, up: bool, actions: &mut Vec<Action>) -> bool {
        let Some(server) = self.dials.remove(&dial) else {
            return false;
        };
        let Some(held) = self.servers.get_mut(&server) else {
            return false;
        };
        let is_of = |race: &Race| race.out.iter().any(|(out, ..)| *out == dial);
        let Some(at) = held.races.iter().position(is_of) else {
            return false;
        };
        let race = &mut held.races[at];
        let out = race
            .out
            .iter()
            .position(|(out, ..)| *out == dial)
            .unwrap_or(0);
        let (_, route, _) = race.out.remove(out);
        if !up {
            self.open -= 1;
            held.dial_failed(now, server, route, actions);
            held.races[at].next_at = now; // The next address at once.
            self.serve(now, server, actions);
            return false;
        }
        held.dial_worked(server, route, actions);
        let race = held.races.remove(at);
        // An address that has not come up while a later one has is slow, or a black hole.
        for (_, slow, _) in race
            .out
            .iter()
            .filter(|(_, _, since)| now - since >= STAGGER_MS)
        {
            held.dial_failed(now, server, *slow, actions);
        }
        let ticket = race.ticket;
        self.abort(race, actions);
        self.next += 1;
        let conn = ConnId(self.next);
        let held = self.servers.get_mut(&server).expect("it was there");
        if let Some(waiting) = held.waiting.iter_mut().find(|w| Some(w.ticket) == ticket) {
            waiting.races = false; // Whoever takes the connection leaves it a race, if that has one.
        }
        let taker = held
            .waiting
            .iter()
            .position(|waiting| !waiting.avoid.contains(&route));
        if let Some(Waiting { ticket, .. }) = taker.and_then(|taker| held.waiting.remove(taker)) {
            held.busy += 1;
            self.busy.insert(conn, held.in_use(server, route));
            self.tickets.remove(&ticket);
            self.release(server, ticket);
            actions.push(Action::Grant { ticket, conn });
        } else {
            held.idle.push(Idle {
                conn,
                route,
                since: now,
            });
            actions.push(Action::Keep { conn });
        }
        self.serve(now, server, actions);
        true
    }

    /// An attempt is done with its connection, which is fit for another.
    pub fn give_back(&mut self, now: f64, conn: ConnId, actions: &mut Vec<Action>) {
        let Some(Busy {
            server,
            route,
            incarnation,
        }) = self.busy.remove(&conn)
        else {
            return;
        };
        let mut held = self
            .servers
            .get_mut(&server)
            .filter(|held| held.incarnation == incarnation);
        if let Some(held) = &mut held {
            held.busy -= 1;
        }
        let Some(held) = held.filter(|held| held.routes.iter().any(|known| known.id == route))
        else {
            self.open -= 1;
            return actions.push(Action::Close { conn });
        };
        held.idle.push(Idle {
            conn,
            route,
            since: now,
        });
        if !held.waiting.is_empty() {
            self.serve(now, server, actions);
        }
    }

    /// A connection in use has ended; whoever holds it closes it.
    pub fn closed(&mut self, now: f64, conn: ConnId, how: Closed, actions: &mut Vec<Action>) {
        self.end_use(now, conn, how, None, actions);
    }

    /// A connection that [`Pool::take`] handed out has turned out to be closed, or odd, before anything was written on
    /// it: it had stood idle since `idle_ms` ago.
    pub fn stale(
        &mut self,
        now: f64,
        conn: ConnId,
        how: Closed,
        idle_ms: f64,
        actions: &mut Vec<Action>,
    ) {
        self.end_use(now, conn, how, Some(idle_ms), actions);
    }

    fn end_use(
        &mut self,
        now: f64,
        conn: ConnId,
        how: Closed,
        idle_ms: Option<f64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(Busy {
            server,
            route,
            incarnation,
        }) = self.busy.remove(&conn)
        else {
            return;
        };
        self.open -= 1;
        let held = self
            .servers
            .get_mut(&server)
            .filter(|held| held.incarnation == incarnation);
        let Some(held) = held else { return };
        held.busy -= 1;
        held.note_end(now, route, how, idle_ms);
        self.serve(now, server, actions);
    }

    /// Idle connections have ended, many at once where a server is restarted; whoever holds them closes them.
    pub fn ended(&mut self, now: f64, ended: &HashMap<ConnId, Closed>, actions: &mut Vec<Action>) {
        for held in self.servers.values_mut() {
            let (gone, idle) = std::mem::take(&mut held.idle)
                .into_iter()
                .partition::<Vec<_>, _>(|idle| ended.contains_key(&idle.conn));
            held.idle = idle;
            self.open -= gone.len();
            for idle in gone {
                held.note_end(now, idle.route, ended[&idle.conn], Some(now - idle.since));
            }
        }
        for server in self.active.clone() {
            self.serve(now, server, actions);
        }
    }

    /// The time that was asked for has come.
    pub fn due(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.waking = f64::INFINITY;
        for server in self.active.clone() {
            self.serve(now, server, actions);
        }
        self.wake(now, actions);
    }

    /// Closes what has stood idle for too long.
    pub fn sweep(&mut self, now: f64, actions: &mut Vec<Action>) {
        for held in self.servers.values_mut() {
            let routes = &held.routes;
            held.idle.retain(|idle| {
                let stays = !is_expired(routes, idle, now);
                if !stays {
                    self.open -= 1;
                    actions.push(Action::Close { conn: idle.conn });
                }
                stays
            });
        }
    }

    /// The idle connections of all servers.
    pub fn all_idle(&self) -> impl Iterator<Item = ConnId> + '_ {
        self.servers
            .values()
            .flat_map(|held| held.idle.iter().map(|idle| idle.conn))
    }

    /// Whether one more may be dialled; a connection that has stood idle longest makes room.
    fn has_room(&mut self, server: ServerKey, actions: &mut Vec<Action>) -> bool {
        let own = self.servers.get(&server).map_or(0, Server::open);
        if own >= self.limits.most_per_server {
            return false;
        }
        if self.open < self.limits.most_open {
            return true;
        }
        let oldest = self
            .servers
            .values_mut()
            .filter(|held| !held.idle.is_empty());
        let oldest = oldest.min_by(|a, b| a.idle[0].since.total_cmp(&b.idle[0].since));
        let Some(held) = oldest else { return false };
        actions.push(Action::Close {
            conn: held.idle.remove(0).conn,
        });
        self.open -= 1;
        true
    }

    fn abort(&mut self, race: Race, actions: &mut Vec<Action>) {
        for (dial, route, _) in race.out {
            let server = self.dials.remove(&dial);
            if let Some(held) = server.and_then(|server| self.servers.get_mut(&server)) {
                held.remember(route, |memory| memory.tests(false));
            }
            self.open -= 1;
            actions.push(Action::Abort { dial });
        }
    }

    /// A ticket has no more use for its race, as it has its connection by another way or waits no more: the race goes on
    /// for another who waits without one, or for nobody.
    fn release(&mut self, server: ServerKey, ticket: Ticket) {
        let Some(held) = self.servers.get_mut(&server) else {
            return;
        };
        let Some(at) = held
            .races
            .iter()
            .position(|race| race.ticket == Some(ticket))
        else {
            return;
        };
        match held
            .waiting
            .iter_mut()
            .find(|waiting| !waiting.races && waiting.ticket != ticket)
        {
            Some(heir) => {
                heir.races = true;
                held.races[at].ticket = Some(heir.ticket);
            }
            // The server has paid for what is being dialled: it comes up for the next, and no further address is tried.
            None if !held.races[at].out.is_empty() => {
                held.races[at].ticket = None;
                held.races[at].plan.clear();
            }
            None => drop(held.races.remove(at)),
        }
    }

    /// Gives those who wait what is there, and sees to it that what is not there comes.
    fn serve(&mut self, now: f64, server: ServerKey, actions: &mut Vec<Action>) {
        self.grant(now, server, actions);
        self.run_races(now, server, actions);
        self.end_waits(now, server, actions);
        self.start_races(now, server, actions);
        let held = self.servers.get(&server);
        if held.is_some_and(|held| !held.races.is_empty() || !held.waiting.is_empty()) {
            self.active.insert(server);
        } else {
            self.active.remove(&server);
        }
        self.wake(now, actions);
    }

    fn grant(&mut self, now: f64, server: ServerKey, actions: &mut Vec<Action>) {
        let mut at = 0;
        loop {
            let Some(held) = self.servers.get_mut(&server) else {
                return;
            };
            let Some(avoid) = held.waiting.get(at).map(|waiting| waiting.avoid.clone()) else {
                return;
            };
            let Some(idle) = held.take_idle(now, &avoid, &mut self.open, actions) else {
                at += 1;
                continue;
            };
            let Some(Waiting { ticket, .. }) = held.waiting.remove(at) else {
                return;
            };
            held.busy += 1;
            self.busy.insert(idle.conn, held.in_use(server, idle.route));
            self.tickets.remove(&ticket);
            self.release(server, ticket);
            actions.push(Action::Grant {
                ticket,
                conn: idle.conn,
            });
        }
    }

    /// Starts what is due in the races, and ends those that are out of addresses or time.
    fn run_races(&mut self, now: f64, server: ServerKey, actions: &mut Vec<Action>) {
        let mut at = 0;
        while let Some(held) = self.servers.get_mut(&server) {
            let Some(race) = held.races.get_mut(at) else {
                return;
            };
            let is_over = now >= race.ends_at || (race.plan.is_empty() && race.out.is_empty());
            if is_over {
                let race = held.races.remove(at);
                for (_, route, _) in &race.out {
                    held.dial_failed(now, server, *route, actions);
                }
                let ticket = race.ticket;
                self.abort(race, actions);
                let Some(ticket) = ticket.filter(|ticket| self.tickets.remove(ticket).is_some())
                else {
                    continue;
                };
                if let Some(held) = self.servers.get_mut(&server) {
                    held.waiting.retain(|waiting| waiting.ticket != ticket);
                }
                actions.push(Action::Fail {
                    ticket,
                    why: Why::Unreachable,
                });
                continue;
            }
            if now >= race.next_at && !race.plan.is_empty() {
                self.dial_next(now, server, at, actions);
                continue; // A plan of addresses that are gone ends here, too.
            }
            at += 1;
        }
    }

    /// Who has waited for as long as a race may take, and has none yet, waits no longer: elsewhere there may be room.
    fn end_waits(&mut self, now: f64, server: ServerKey, actions: &mut Vec<Action>) {
        let Some(held) = self.servers.get_mut(&server) else {
            return;
        };
        let tickets = &mut self.tickets;
        held.waiting.retain(|waiting| {
            let stays = now < waiting.ends_at || waiting.races;
            if !stays {
                tickets.remove(&waiting.ticket);
                actions.push(Action::Fail {
                    ticket: waiting.ticket,
                    why: Why::Full,
                });
            }
            stays
        });
    }

    fn dial_next(&mut self, now: f64, server: ServerKey, at: usize, actions: &mut Vec<Action>) {
        let is_full = self.open >= self.limits.most_open;
        let Some(held) = self.servers.get_mut(&server) else {
            return;
        };
        let race = &mut held.races[at];
        if is_full {
            // A second address of a race takes no room that is not there, and a race that has lost its own ends.
            if race.out.is_empty() {
                race.plan.clear();
            }
            race.next_at = now + STAGGER_MS;
            return;
        }
        let Some(route) = race.plan.pop_front() else {
            return;
        };
        let Some(known) = held.routes.iter_mut().find(|known| known.id == route) else {
            return;
        };
        let tests = known.memory.standing(now) == Standing::Due;
        if tests {
            known.memory.tests(true);
        }
        self.next += 1;
        let dial = DialId(self.next);
        race.out.push((dial, route, now));
        race.next_at = now + if tests { TEST_STAGGER_MS } else { STAGGER_MS };
        actions.push(Action::Dial {
            dial,
            server,
            route: known.route.clone(),
        });
        self.dials.insert(dial, server);
        self.open += 1;
    }

    /// Starts a race for each who waits and has none, as far as the limits go.
    fn start_races(&mut self, now: f64, server: ServerKey, actions: &mut Vec<Action>) {
        loop {
            let limits = self.limits;
            let Some(held) = self.servers.get_mut(&server) else {
                return;
            };
            if held.races.len() >= limits.most_dials || !held.may_dial(now, limits.cold_dials_per_s)
            {
                return;
            }
            let idle = &held.idle;
            let rests = |avoid: &[RouteId]| {
                idle.iter()
                    .filter(|idle| !avoid.contains(&idle.route))
                    .count()
            };
            let needy = held.waiting.iter().enumerate();
            let needy = needy.filter(|(_, waiting)| !waiting.races);
            let needy = { needy }.find(|(nth, waiting)| *nth >= rests(&waiting.avoid));
            let ahead = limits.ahead
                && needy.is_none()
                && !held.routes.is_empty()
                && held.wants_one_ahead(now);
            let (ticket, avoid) = match needy {
                Some((_, waiting)) => (Some(waiting.ticket), waiting.avoid.clone()),
                None if ahead => (None, Vec::new()),
                None => return,
            };
            let mut plan: VecDeque<_> = held.plan(now, &avoid).into();
            // A race that goes on for nobody serves as well as a new one.
            let adopted = held.races.iter_mut().find(|race| {
                race.ticket.is_none() && race.out.iter().all(|(_, route, _)| !avoid.contains(route))
            });
            if let (Some(race), Some(_)) = (adopted, ticket) {
                plan.retain(|route| race.out.iter().all(|(_, out, _)| out != route));
                (race.ticket, race.plan) = (ticket, plan);
                if let Some(waiting) = held.waiting.iter_mut().find(|w| Some(w.ticket) == ticket) {
                    waiting.races = true;
                }
                continue;
            }
            let ends_at = now + limits.dial_timeout_ms;
            if !self.has_room(server, actions) {
                let Some(ticket) = ticket else { return };
                self.tickets.remove(&ticket);
                if let Some(held) = self.servers.get_mut(&server) {
                    held.waiting.retain(|waiting| waiting.ticket != ticket);
                }
                actions.push(Action::Fail {
                    ticket,
                    why: Why::Full,
                });
                continue;
            }
            if let Some(held) = self.servers.get_mut(&server) {
                held.allowance.0 -= 1.0;
                if let Some(waiting) = held.waiting.iter_mut().find(|w| Some(w.ticket) == ticket) {
                    waiting.races = true;
                }
                held.races.push(Race {
                    ticket,
                    plan,
                    out: Vec::new(),
                    next_at: now,
                    ends_at,
                });
            }
            self.run_races(now, server, actions);
        }
    }

    fn wake(&mut self, now: f64, actions: &mut Vec<Action>) {
        let rate = self.limits.cold_dials_per_s;
        let most_dials = self.limits.most_dials;
        let busy = self
            .active
            .iter()
            .filter_map(|server| self.servers.get(server));
        let next = busy
            .map(|held| held.next_due(now, rate, most_dials))
            .fold(f64::INFINITY, f64::min);
        // A time that has passed is another server's, which has not been looked at yet.
        let next = next.max(now);
        if next < self.waking || (next.is_finite() && self.waking <= now) {
            self.waking = next;
            actions.push(Action::WakeAt(next));
        }
    }
}

fn is_expired(routes: &[Known], idle: &Idle, now: f64) -> bool {
    let known = routes.iter().find(|known| known.id == idle.route);
    known.is_none_or(|known| now - idle.since >= known.idle.limit_ms(now))
}

impl Server {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            routes: Vec::new(),
            idle: Vec::new(),
            busy: 0,
            waiting: VecDeque::new(),
            races: Vec::new(),
            odd: Oddness::default(),
            cold_until: f64::NEG_INFINITY,
            allowance: (COLD_BURST, f64::NEG_INFINITY),
            waits: (0.0, f64::NEG_INFINITY),
        }
    }

    fn in_use(&self, server: ServerKey, route: RouteId) -> Busy {
        Busy {
            server,
            route,
            incarnation: self.incarnation,
        }
    }

    fn open(&self) -> usize {
        self.idle.len() + self.busy + self.races.iter().map(|race| race.out.len()).sum::<usize>()
    }

    fn remember(&mut self, route: RouteId, event: impl FnOnce(&mut Memory)) {
        if let Some(known) = self.routes.iter_mut().find(|known| known.id == route) {
            event(&mut known.memory);
        }
    }

    /// What the end of a connection tells; `idle_ms` of one that stood idle.
    fn note_end(&mut self, now: f64, route: RouteId, how: Closed, idle_ms: Option<f64>) {
        match (how, idle_ms) {
            (Closed::Odd, _) => self.odd.note(now),
            (Closed::Broken, _) => self.remember(route, |memory| memory.failed(now)),
            (Closed::ByPeer, Some(idle_ms)) => {
                if let Some(known) = self.routes.iter_mut().find(|known| known.id == route) {
                    known.idle.closed(now, idle_ms);
                }
            }
            (Closed::ByPeer, None) | (Closed::Spent, _) => {}
        }
    }

    fn dial_failed(
        &mut self,
        now: f64,
        server: ServerKey,
        route: RouteId,
        actions: &mut Vec<Action>,
    ) {
        let Some(known) = self.routes.iter_mut().find(|known| known.id == route) else {
            return;
        };
        known.memory.failed(now);
        if !std::mem::replace(&mut known.is_down, true) {
            actions.push(Action::Down {
                server,
                route: known.route.clone(),
            });
        }
    }

    fn dial_worked(&mut self, server: ServerKey, route: RouteId, actions: &mut Vec<Action>) {
        let Some(known) = self.routes.iter_mut().find(|known| known.id == route) else {
            return;
        };
        known.memory.worked();
        if std::mem::take(&mut known.is_down) {
            actions.push(Action::Up {
                server,
                route: known.route.clone(),
            });
        }
    }

    /// The addresses in the order in which they are tried now: those that failed of late last.
    fn plan(&self, now: f64, avoid: &[RouteId]) -> Vec<RouteId> {
        let failed = |known: &&Known| known.memory.standing(now) == Standing::Failed;
        let allowed = || {
            self.routes
                .iter()
                .filter(|known| !avoid.contains(&known.id))
        };
        let sound = allowed().filter(|known| !failed(known));
        sound
            .chain(allowed().filter(failed))
            .map(|known| known.id)
            .collect()
    }

    /// The freshest idle connection that has rested, of the address that is tried first among those that have one.
    fn take_idle(
        &mut self,
        now: f64,
        avoid: &[RouteId],
        open: &mut usize,
        actions: &mut Vec<Action>,
    ) -> Option<Idle> {
        let rest_ms = self.odd.rest_ms(now);
        loop {
            let mut best: Option<(usize, usize)> = None;
            for (at, idle) in self.idle.iter().enumerate().rev() {
                if now < idle.since + rest_ms || avoid.contains(&idle.route) {
                    continue;
                }
                let rank = self
                    .routes
                    .iter()
                    .position(|known| known.id == idle.route)
                    .unwrap_or(usize::MAX);
                if best.is_none_or(|(least, _)| rank < least) {
                    best = Some((rank, at));
                }
                if rank == 0 {
                    break;
                }
            }
            let idle = self.idle.remove(best?.1);
            if !is_expired(&self.routes, &idle, now) {
                return Some(idle);
            }
            *open -= 1;
            actions.push(Action::Close { conn: idle.conn });
        }
    }

    /// Guards a server that has just started: a connection costs it work.
    fn may_dial(&mut self, now: f64, per_s: f64) -> bool {
        if now >= self.cold_until {
            return true;
        }
        let (left, at) = self.allowance;
        let regained = if at.is_finite() {
            (now - at).max(0.0) * per_s.max(LEAST_COLD_DIALS_PER_S) / 1e3
        } else {
            0.0
        };
        self.allowance = ((left + regained).min(COLD_BURST), now);
        self.allowance.0 >= 1.0
    }

    fn note_wait(&mut self, now: f64) {
        let (count, at) = self.waits;
        self.waits = (count * (-(now - at) / RISING_MS).exp2() + 1.0, now);
    }

    fn wants_one_ahead(&self, now: f64) -> bool {
        let (count, at) = self.waits;
        let is_rising = count * (-(now - at) / RISING_MS).exp2() >= RISING;
        is_rising
            && now >= self.cold_until
            && self.idle.is_empty()
            && self.races.iter().all(|r| r.ticket.is_some())
    }

    fn next_due(&self, now: f64, cold_per_s: f64, most_dials: usize) -> f64 {
        let races = self.races.iter().map(|race| {
            if race.plan.is_empty() {
                race.ends_at
            } else {
                race.next_at.min(race.ends_at)
            }
        });
        let rest_ms = self.odd.rest_ms(now);
        let rested = self
            .idle
            .iter()
            .map(|idle| idle.since + rest_ms)
            .filter(|at| *at > now);
        let rested = rested.fold(f64::INFINITY, f64::min);
        // Who waits without a race waits for a rest, or until a cold server may be dialled again.
        let is_held_back = now < self.cold_until
            && self.waiting.len() > self.races.len()
            && self.races.len() < most_dials;
        let allowed = now
            + (1.0 - self.allowance.0).max(LEAST_ALLOWANCE) * 1e3
                / cold_per_s.max(LEAST_COLD_DIALS_PER_S);
        let rested = if self.waiting.is_empty() {
            f64::INFINITY
        } else {
            rested
        };
        // They wait in the order in which their time ends.
        let ends = self
            .waiting
            .iter()
            .map(|waiting| waiting.ends_at)
            .find(|ends_at| *ends_at > now);
        let rested = rested.min(ends.unwrap_or(f64::INFINITY));
        races
            .fold(rested, f64::min)
            .min(if is_held_back { allowed } else { f64::INFINITY })
    }
}
