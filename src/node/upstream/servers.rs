//! Connections to servers and the attempts on them: [`pool`] decides which connection an attempt has and where another
//! is dialled; here are the sockets, and the loop of one attempt over a server's addresses.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use endpoint_discovery::{Host, State};
use pool::{
    judge, Action, Address, Age, Closed, ConnId, DialId, Holders, Limits, Next, Pool, Route,
    RouteId, ServerKey, Taken, Ticket, Why,
};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::node::admin::log;
use crate::node::clock::{Alarm, Clock};
use crate::node::config::Config;
use crate::node::upstream::addresses::{routes, AllSaid};
use crate::node::upstream::{Conn, Ended, Message, Served};
use balancer::{AttemptResult, ServerId};

/// Turns of one attempt. Each takes away an idle connection that has ended or an address that has broken, so this many
/// are a server that closes what it accepts, again and again.
const MOST_TURNS: usize = 64;

/// An attempt under way: dropping what is in it ends it at once.
pub struct Underway(RefCell<Option<Pin<Box<dyn Future<Output = Ended>>>>>);

impl Underway {
    /// An attempt that has not begun.
    #[must_use]
    pub fn new(attempt: impl Future<Output = Ended> + 'static) -> Self {
        Self(RefCell::new(Some(Box::pin(attempt))))
    }

    /// Gives it up; its connection is closed when this returns.
    pub fn close(&self) {
        let attempt = self.0.borrow_mut().take();
        drop(attempt);
    }

    /// Waits for its end; for ever, if it is given up.
    pub async fn ended(&self) -> Ended {
        let ended = poll_fn(|cx| match &mut *self.0.borrow_mut() {
            Some(attempt) => attempt.as_mut().poll(cx),
            None => std::task::Poll::Pending,
        })
        .await;
        self.close();
        ended
    }
}

/// A server as its connections know it.
struct Server {
    host: Host,
    /// Where membership has it; a list that says nothing of that leaves it where it was.
    listed: Option<SocketAddr>,
    /// When its grace ends, of one that drains.
    closes_at: Option<Instant>,
}

/// A connection that nobody uses.
struct Standing {
    conn: Conn,
    since_ms: f64,
    age: Age,
}

/// What the operators' file says of connections to servers; where it says nothing, [`Limits`] does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// Connections to one server, over all its addresses.
    pub most_per_server: Option<usize>,
    /// Races to one server at a time.
    pub most_dials: Option<usize>,
    /// Dials a second to a server that has just started.
    pub cold_dials_per_s: Option<f64>,
    /// Whether one connection more than needed is dialled under a rising load.
    pub ahead: bool,
}

/// The connections to all servers.
pub struct Servers {
    pool: RefCell<Pool>,
    standing: RefCell<HashMap<ConnId, Standing>>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Result<Lease, Why>>>>,
    dials: RefCell<HashMap<DialId, AbortHandle>>,
    table: RefCell<BTreeMap<ServerId, Server>>,
    holders: RefCell<Holders>,
    said: RefCell<AllSaid>,
    alarm: Alarm,
    cold_ms: f64,
    drain_grace: Duration,
    clock: Clock,
}

impl Servers {
    /// No servers yet. [`Servers::wake_up`] is to be run beside.
    #[must_use]
    pub fn new(config: &Config, said: AllSaid, bounds: Bounds, clock: Clock) -> Rc<Self> {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let most_open = config.limits.server_connections();
        let ordinary = Limits::default();
        let limits = Limits {
            most_open,
            most_per_server: bounds.most_per_server.unwrap_or(most_open).min(most_open),
            most_dials: bounds.most_dials.unwrap_or(ordinary.most_dials),
            cold_dials_per_s: bounds.cold_dials_per_s.unwrap_or(ordinary.cold_dials_per_s),
            ahead: bounds.ahead,
            dial_timeout_ms: ms(config.dial_timeout),
            idle_ms: ms(config.idle_limit),
        };
        Rc::new(Self {
            pool: RefCell::new(Pool::new(limits)),
            standing: RefCell::default(),
            waiting: RefCell::default(),
            dials: RefCell::default(),
            table: RefCell::default(),
            holders: RefCell::default(),
            said: RefCell::new(said),
            alarm: Alarm::new(),
            cold_ms: config.settings.slow_start_ms,
            drain_grace: config.drain_grace,
            clock,
        })
    }

    fn now_ms(&self) -> f64 {
        self.clock.now_ms()
    }

    /// Asks or tells the pool something, and does what it wants done.
    fn with<R>(self: &Rc<Self>, ask: impl FnOnce(&mut Pool, f64, &mut Vec<Action>) -> R) -> R {
        let mut actions = Vec::new();
        let answer = ask(&mut self.pool.borrow_mut(), self.now_ms(), &mut actions);
        for action in actions {
            self.carry_out(action, &mut None);
        }
        answer
    }

    fn carry_out(self: &Rc<Self>, action: Action, fresh: &mut Option<Conn>) {
        match action {
            Action::Dial {
                dial,
                server: _,
                route,
            } => self.dial(dial, route.address),
            Action::Abort { dial } => {
                if let Some(task) = self.dials.borrow_mut().remove(&dial) {
                    task.abort();
                }
            }
            Action::Grant { ticket, conn } => {
                let Some(lease) = self.lease(conn, fresh) else {
                    return;
                };
                self.tell(ticket, Ok(lease));
            }
            Action::Keep { conn } => {
                if let Some(fresh) = fresh.take() {
                    let kept = Standing {
                        conn: fresh,
                        since_ms: self.now_ms(),
                        age: Age::Used,
                    };
                    self.standing.borrow_mut().insert(conn, kept);
                }
            }
            Action::Fail { ticket, why } => self.tell(ticket, Err(why)),
            Action::Close { conn } => {
                let closed = self.standing.borrow_mut().remove(&conn);
                drop(closed);
            }
            Action::Down { server, route } => self.tell_of(server, &route, "does not come up"),
            Action::Up { server, route } => self.tell_of(server, &route, "comes up again"),
            Action::WakeAt(at) => self.alarm.set(at),
        }
    }

    fn tell_of(&self, server: ServerKey, route: &Route, what: &str) {
        let table = self.table.borrow();
        let id = table
            .get(&ServerId(server.0))
            .map_or("a server that is gone", |s| s.host.id.as_str());
        let label = route
            .label
            .as_deref()
            .map(|label| format!(" ({label})"))
            .unwrap_or_default();
        log::line(format_args!("{id}: {}{label} {what}", route.address));
    }

    /// Tells an attempt what it has waited for; one that has left gives the connection back as it drops.
    fn tell(&self, ticket: Ticket, what: Result<Lease, Why>) {
        let waits = self.waiting.borrow_mut().remove(&ticket);
        if let Some(waits) = waits {
            let _ = waits.send(what);
        }
    }

    /// A connection that the pool has handed out: one that stood, or the one that has just come up.
    fn lease(self: &Rc<Self>, id: ConnId, fresh: &mut Option<Conn>) -> Option<Lease> {
        let stood = self.standing.borrow_mut().remove(&id);
        let standing = stood.or_else(|| {
            let conn = fresh.take()?;
            Some(Standing {
                conn,
                since_ms: self.now_ms(),
                age: Age::Fresh,
            })
        })?;
        Some(Lease {
            servers: Rc::clone(self),
            id,
            standing: Some(standing),
            is_begun: false,
        })
    }

    fn dial(self: &Rc<Self>, dial: DialId, address: Address) {
        let servers = Rc::clone(self);
        let task = tokio::task::spawn_local(async move {
            let dialled = Conn::dial(&address).await;
            servers.dialled(dial, dialled);
        });
        self.dials.borrow_mut().insert(dial, task.abort_handle());
    }

    fn dialled(self: &Rc<Self>, dial: DialId, dialled: io::Result<Conn>) {
        self.dials.borrow_mut().remove(&dial);
        let mut actions = Vec::new();
        let now = self.now_ms();
        let kept = self
            .pool
            .borrow_mut()
            .dialled(now, dial, dialled.is_ok(), &mut actions);
        let mut fresh = dialled.ok().filter(|_| kept);
        for action in actions {
            self.carry_out(action, &mut fresh);
        }
    }

    /// Takes what discovery says of servers that are there; idle connections to one that is somewhere else or has
    /// started anew are of no more use. Tells which servers cannot be there any more: there is one at an address, the
    /// one that started last. What is meant for one that is gone must not reach its successor.
    pub fn update(self: &Rc<Self>, hosts: &[(ServerId, &Host)]) -> Vec<ServerId> {
        let mut moved = BTreeSet::new();
        for (at, host) in hosts {
            self.note(*at, host, &mut moved);
        }
        let changed = self.holders.borrow().settle(moved);
        self.moved(&changed.moved);
        changed
            .gone
            .into_iter()
            .map(|gone| ServerId(gone.0))
            .collect()
    }

    fn note(self: &Rc<Self>, at: ServerId, host: &Host, moved: &mut BTreeSet<ServerKey>) {
        let (key, is_ready) = (ServerKey(at.0), host.state == State::Ready);
        let mut table = self.table.borrow_mut();
        let before = table.remove(&at);
        let listed = host
            .address
            .or(before.as_ref().and_then(|before| before.listed));
        let grace = || Instant::now() + self.drain_grace;
        let closes_at = (!is_ready).then(|| {
            before
                .as_ref()
                .and_then(|before| before.closes_at)
                .unwrap_or_else(grace)
        });
        table.insert(
            at,
            Server {
                host: host.clone(),
                listed,
                closes_at,
            },
        );
        drop(table);
        let routes = routes(&self.said.borrow(), host, listed);
        self.holders
            .borrow_mut()
            .name(key, routes, host.started_at_ms, is_ready, moved);
        let is_anew = before.is_some_and(|before| {
            before.host.started_at_ms.to_bits() != host.started_at_ms.to_bits()
        });
        if !is_ready || is_anew {
            self.close_idle(at);
        }
        if self.cold_ms > 0.0 && host.started_at_ms > 0.0 {
            let cold_until = host.started_at_ms + self.cold_ms;
            self.with(|pool, _, _| pool.set_cold(key, cold_until));
        }
    }

    fn moved(self: &Rc<Self>, moved: &BTreeSet<ServerKey>) {
        for server in moved {
            let routes = self.holders.borrow().routes(*server);
            self.with(|pool, now, actions| pool.update(now, *server, routes, actions));
        }
    }

    /// Takes what the operators' file says of addresses now; tells the servers as they are known, of which some may be
    /// reached in another way.
    #[must_use]
    pub fn say(&self, said: AllSaid) -> Vec<Host> {
        if *self.said.borrow() == said {
            return Vec::new();
        }
        *self.said.borrow_mut() = said;
        self.table
            .borrow()
            .values()
            .map(|server| server.host.clone())
            .collect()
    }

    /// Forgets a server that is gone: nothing goes there any more, and the connections that are in use are closed
    /// with their answers.
    pub fn forget(self: &Rc<Self>, at: ServerId) {
        self.table.borrow_mut().remove(&at);
        self.with(|pool, now, actions| pool.forget(now, ServerKey(at.0), actions));
        let moved = self.holders.borrow_mut().forget(ServerKey(at.0));
        self.moved(&moved);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(self: &Rc<Self>, at: ServerId) {
        self.with(|pool, _, actions| pool.close_idle(ServerKey(at.0), actions));
    }

    /// Closes connections that have stood idle too long or that their servers have closed.
    pub fn retire(self: &Rc<Self>) {
        let mut ended = HashMap::new();
        for (id, standing) in self.standing.borrow_mut().iter_mut() {
            if let Some(how) = standing.conn.look() {
                ended.insert(*id, how);
            }
        }
        self.standing
            .borrow_mut()
            .retain(|id, _| !ended.contains_key(id));
        self.with(|pool, now, actions| {
            if !ended.is_empty() {
                pool.ended(now, &ended, actions);
            }
            pool.sweep(now, actions);
        });
    }

    /// Calls the pool when it wants to be called.
    pub async fn wake_up(self: Rc<Self>) {
        loop {
            self.alarm.rings(|| self.now_ms()).await;
            self.with(pool::Pool::due);
            tokio::task::yield_now().await; // Whatever the pool asks for, others have their turn.
        }
    }

    /// Whether a send to a server may begin now.
    fn is_open(&self, at: ServerId) -> bool {
        let table = self.table.borrow();
        table
            .get(&at)
            .is_some_and(|s| s.closes_at.is_none_or(|closes| Instant::now() < closes))
    }

    /// A connection by none of the addresses to avoid: one that stands idle, or whichever comes first of one that is
    /// given back and one that is dialled.
    async fn take(self: &Rc<Self>, at: ServerId, avoid: &[RouteId]) -> Result<Lease, Why> {
        let taken = self.with(|pool, now, actions| pool.take(now, ServerKey(at.0), avoid, actions));
        match taken {
            Taken::Now(conn) => self.lease(conn, &mut None).ok_or(Why::Nowhere),
            Taken::Later(ticket) => {
                let (tell, told) = oneshot::channel();
                self.waiting.borrow_mut().insert(ticket, tell);
                Waits {
                    servers: self,
                    ticket,
                    told,
                }
                .told()
                .await
            }
            Taken::Never(why) => Err(why),
        }
    }

    /// Makes one attempt and tells how it ended; dropping it gives it up and closes its connection. An answer that is too
    /// long to be held goes to `begin` as it comes, and the attempt ends with its last byte.
    ///
    /// To whoever chose the server this is one attempt, whatever the addresses: only one exchange in it has ever had
    /// the request's last byte go out.
    pub async fn attempt(
        self: Rc<Self>,
        at: ServerId,
        message: Rc<Message>,
        deadline: Instant,
        begin: impl Fn(Served),
    ) -> Ended {
        let mut avoid = Vec::new();
        let mut gone = AttemptResult::NotSent;
        for _ in 0..MOST_TURNS {
            let mut lease = match self.take(at, &avoid).await {
                Ok(lease) => lease,
                Err(Why::Full) if avoid.is_empty() => {
                    log::line("all connections to servers are in use");
                    return AttemptResult::NotSent.into();
                }
                Err(_) => return AttemptResult::Unreachable.into(),
            };
            if !message.can_go() {
                return gone.into(); // Its last byte never went out, and shall not.
            }
            // The last look before anything is written: the list may have changed while the connection came up.
            let now = Instant::now();
            if !self.is_open(at) || now >= deadline {
                return AttemptResult::NotSent.into();
            }
            match lease.exchange(&message, deadline - now, &begin).await {
                Ok(ended) => {
                    lease.done(at);
                    return ended;
                }
                Err((Next::Again, _)) => {}
                Err((Next::Elsewhere, by)) => {
                    avoid.extend(by);
                    gone = AttemptResult::Unreachable;
                }
                Err((Next::Reset, _)) => return AttemptResult::Reset.into(),
                Err((Next::Spoilt, _)) => return AttemptResult::Malformed.into(),
            }
        }
        AttemptResult::Unreachable.into()
    }
}

/// An attempt that waits for a connection.
struct Waits<'a> {
    servers: &'a Rc<Servers>,
    ticket: Ticket,
    told: oneshot::Receiver<Result<Lease, Why>>,
}

impl Waits<'_> {
    async fn told(mut self) -> Result<Lease, Why> {
        (&mut self.told).await.unwrap_or(Err(Why::Nowhere))
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.servers.waiting.borrow_mut().remove(&self.ticket);
        self.servers
            .with(|pool, now, actions| pool.cancel(now, self.ticket, actions));
    }
}

/// A connection that an attempt has. Dropped before anything is written it goes back; later it is closed.
struct Lease {
    servers: Rc<Servers>,
    id: ConnId,
    standing: Option<Standing>,
    is_begun: bool,
}

impl Lease {
    fn stale(&mut self, how: Closed) {
        let Some(standing) = self.standing.take() else {
            return;
        };
        let id = self.id;
        self.servers
            .with(|pool, now, actions| pool.stale(now, id, how, now - standing.since_ms, actions));
    }

    /// Makes the exchange. A connection that broke is closed, the pool is told, and by which address it went.
    async fn exchange(
        &mut self,
        message: &Rc<Message>,
        left: Duration,
        begin: &dyn Fn(Served),
    ) -> Result<Ended, (Next, Option<RouteId>)> {
        self.is_begun = true;
        let Some(standing) = &mut self.standing else {
            return Err((Next::Again, None));
        };
        let exchanged = standing.conn.exchange(message, left, begin).await;
        let age = standing.age;
        exchanged.map_err(|broken| {
            let next = judge(age, broken.sent, broken.broke);
            let by = self.servers.pool.borrow().route_of(self.id);
            match next {
                _ if broken.is_odd => self.closed(Closed::Odd),
                Next::Again => self.stale(Closed::ByPeer),
                Next::Elsewhere => self.closed(Closed::Broken),
                Next::Reset | Next::Spoilt => self.closed(Closed::Spent),
            }
            (next, by)
        })
    }

    fn closed(&mut self, how: Closed) {
        let closed = self.standing.take();
        if closed.is_some() {
            let id = self.id;
            self.servers
                .with(|pool, now, actions| pool.closed(now, id, how, actions));
        }
    }

    /// An answer has come; the connection goes back if it is fit for another.
    fn done(mut self, at: ServerId) {
        let how = self
            .standing
            .as_mut()
            .and_then(|standing| standing.conn.look());
        let drains = || {
            self.servers
                .table
                .borrow()
                .get(&at)
                .is_none_or(|server| server.closes_at.is_some())
        };
        match how {
            Some(how) => self.closed(how),
            None if drains() => self.closed(Closed::Spent),
            None => self.give_back(),
        }
    }

    fn give_back(&mut self) {
        let Some(Standing { conn, .. }) = self.standing.take() else {
            return;
        };
        let stands = Standing {
            conn,
            since_ms: self.servers.now_ms(),
            age: Age::Used,
        };
        self.servers.standing.borrow_mut().insert(self.id, stands);
        let id = self.id;
        self.servers
            .with(|pool, now, actions| pool.give_back(now, id, actions));
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.is_begun {
            self.closed(Closed::Spent);
        } else {
            self.give_back();
        }
    }
}

#[cfg(test)]
mod tests;
