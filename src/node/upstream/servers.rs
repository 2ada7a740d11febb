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

use endpoint_discovery::{Endpoint, Lifecycle};
use pool::{
    recovery, Action, Address, AddressOwners, Checkout, CheckoutError, CheckoutId, CloseReason,
    ConnectionAge, ConnectionId, DialId, Limits, Pool, Recovery, Route, RouteId, ServerKey,
};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::node::admin::log;
use crate::node::clock::{Alarm, Clock};
use crate::node::config::Config;
use crate::node::upstream::addresses::{routes, ConfiguredAddresses};
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
    host: Endpoint,
    /// Where membership has it; a list that says nothing of that leaves it where it was.
    listed: Option<SocketAddr>,
    /// When its grace ends, of one that drains.
    closes_at: Option<Instant>,
}

/// A connection that nobody uses.
struct Standing {
    conn: Conn,
    since_ms: f64,
    age: ConnectionAge,
}

/// Limits on connections to servers in the operators' file; [`Limits`] has the defaults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLimits {
    /// Connections to one server, over all its addresses.
    pub max_connections_per_server: Option<usize>,
    /// Races to one server at a time.
    pub max_concurrent_dials: Option<usize>,
    /// Dials a second to a server that has just started.
    pub cold_dials_per_s: Option<f64>,
    /// Whether one connection more than needed is dialled under a rising load.
    pub dial_ahead: bool,
}

/// The connections to all servers.
pub struct Servers {
    pool: RefCell<Pool>,
    standing: RefCell<HashMap<ConnectionId, Standing>>,
    waiting: RefCell<HashMap<CheckoutId, oneshot::Sender<Result<Lease, CheckoutError>>>>,
    dials: RefCell<HashMap<DialId, AbortHandle>>,
    table: RefCell<BTreeMap<ServerId, Server>>,
    address_owners: RefCell<AddressOwners>,
    configured_addresses: RefCell<ConfiguredAddresses>,
    alarm: Alarm,
    cold_ms: f64,
    drain_grace: Duration,
    clock: Clock,
}

impl Servers {
    /// No servers yet. [`Servers::wake_up`] is to be run beside.
    #[must_use]
    pub fn new(
        config: &Config,
        configured_addresses: ConfiguredAddresses,
        pool_limits: PoolLimits,
        clock: Clock,
    ) -> Rc<Self> {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let max_connections = config.limits.server_connections();
        let defaults = Limits::default();
        let limits = Limits {
            max_connections,
            max_connections_per_server: pool_limits
                .max_connections_per_server
                .unwrap_or(max_connections)
                .min(max_connections),
            max_races_per_server: pool_limits
                .max_concurrent_dials
                .unwrap_or(defaults.max_races_per_server),
            slow_start_dials_per_s: pool_limits
                .cold_dials_per_s
                .unwrap_or(defaults.slow_start_dials_per_s),
            dial_ahead: pool_limits.dial_ahead,
            dial_timeout_ms: ms(config.dial_timeout),
            idle_timeout_ms: ms(config.idle_timeout),
        };
        Rc::new(Self {
            pool: RefCell::new(Pool::new(limits)),
            standing: RefCell::default(),
            waiting: RefCell::default(),
            dials: RefCell::default(),
            table: RefCell::default(),
            address_owners: RefCell::default(),
            configured_addresses: RefCell::new(configured_addresses),
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
            Action::AbortDial { dial } => {
                if let Some(task) = self.dials.borrow_mut().remove(&dial) {
                    task.abort();
                }
            }
            Action::Grant {
                checkout,
                connection,
            } => {
                let Some(lease) = self.lease(connection, fresh) else {
                    return;
                };
                self.tell(checkout, Ok(lease));
            }
            Action::KeepIdle { connection } => {
                if let Some(fresh) = fresh.take() {
                    let kept = Standing {
                        conn: fresh,
                        since_ms: self.now_ms(),
                        age: ConnectionAge::Reused,
                    };
                    self.standing.borrow_mut().insert(connection, kept);
                }
            }
            Action::Fail { checkout, error } => self.tell(checkout, Err(error)),
            Action::Close { connection } => {
                let closed = self.standing.borrow_mut().remove(&connection);
                drop(closed);
            }
            Action::RouteDown { server, route } => self.tell_of(server, &route, "does not come up"),
            Action::RouteUp { server, route } => self.tell_of(server, &route, "comes up again"),
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
    fn tell(&self, checkout: CheckoutId, what: Result<Lease, CheckoutError>) {
        let waits = self.waiting.borrow_mut().remove(&checkout);
        if let Some(waits) = waits {
            let _ = waits.send(what);
        }
    }

    /// A connection that the pool has handed out: one that stood, or the one that has just come up.
    fn lease(self: &Rc<Self>, id: ConnectionId, fresh: &mut Option<Conn>) -> Option<Lease> {
        let stood = self.standing.borrow_mut().remove(&id);
        let standing = stood.or_else(|| {
            let conn = fresh.take()?;
            Some(Standing {
                conn,
                since_ms: self.now_ms(),
                age: ConnectionAge::New,
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
        let mut fresh = None;
        if let Ok(conn) = dialled {
            let is_used = self
                .pool
                .borrow_mut()
                .dial_succeeded(now, dial, &mut actions);
            fresh = is_used.then_some(conn);
        } else {
            self.pool.borrow_mut().dial_failed(now, dial, &mut actions);
        }
        for action in actions {
            self.carry_out(action, &mut fresh);
        }
    }

    /// Takes what discovery says of servers that are there; idle connections to one that is somewhere else or has
    /// started anew are of no more use. Tells which servers cannot be there any more: there is one at an address, the
    /// one that started last. What is meant for one that is gone must not reach its successor.
    pub fn update(self: &Rc<Self>, hosts: &[(ServerId, &Endpoint)]) -> Vec<ServerId> {
        let mut moved = BTreeSet::new();
        for (at, host) in hosts {
            self.note(*at, host, &mut moved);
        }
        let changed = self.address_owners.borrow().resolve(moved);
        self.moved(&changed.rerouted);
        changed
            .displaced
            .into_iter()
            .map(|gone| ServerId(gone.0))
            .collect()
    }

    fn note(self: &Rc<Self>, at: ServerId, host: &Endpoint, moved: &mut BTreeSet<ServerKey>) {
        let (key, is_ready) = (ServerKey(at.0), host.lifecycle == Lifecycle::Ready);
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
        let routes = routes(&self.configured_addresses.borrow(), host, listed);
        self.address_owners
            .borrow_mut()
            .claim(key, routes, host.started_at_ms, is_ready, moved);
        let is_anew = before.is_some_and(|before| {
            before.host.started_at_ms.to_bits() != host.started_at_ms.to_bits()
        });
        if !is_ready || is_anew {
            self.close_idle(at);
        }
        if self.cold_ms > 0.0 && host.started_at_ms > 0.0 {
            let cold_until = host.started_at_ms + self.cold_ms;
            self.with(|pool, _, _| pool.set_warming_up(key, cold_until));
        }
    }

    fn moved(self: &Rc<Self>, moved: &BTreeSet<ServerKey>) {
        for server in moved {
            let routes = self.address_owners.borrow().routes(*server);
            self.with(|pool, now, actions| pool.update_routes(now, *server, routes, actions));
        }
    }

    /// Replaces the configured addresses. Returns the known servers if anything changed: the routes of any of them may
    /// have.
    #[must_use]
    pub fn set_configured_addresses(&self, configured: ConfiguredAddresses) -> Vec<Endpoint> {
        if *self.configured_addresses.borrow() == configured {
            return Vec::new();
        }
        *self.configured_addresses.borrow_mut() = configured;
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
        self.with(|pool, now, actions| pool.remove_server(now, ServerKey(at.0), actions));
        let moved = self.address_owners.borrow_mut().remove(ServerKey(at.0));
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
                pool.idle_closed(now, &ended, actions);
            }
            pool.close_expired(now, actions);
        });
    }

    /// Calls the pool when it wants to be called.
    pub async fn wake_up(self: Rc<Self>) {
        loop {
            self.alarm.rings(|| self.now_ms()).await;
            self.with(pool::Pool::handle_timer);
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
    async fn take(
        self: &Rc<Self>,
        at: ServerId,
        avoid: &[RouteId],
    ) -> Result<Lease, CheckoutError> {
        let taken =
            self.with(|pool, now, actions| pool.check_out(now, ServerKey(at.0), avoid, actions));
        match taken {
            Checkout::Ready(connection) => self
                .lease(connection, &mut None)
                .ok_or(CheckoutError::NoRoute),
            Checkout::Pending(checkout) => {
                let (tell, told) = oneshot::channel();
                self.waiting.borrow_mut().insert(checkout, tell);
                Waits {
                    servers: self,
                    checkout,
                    told,
                }
                .told()
                .await
            }
            Checkout::Failed(error) => Err(error),
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
                Err(CheckoutError::LimitReached) if avoid.is_empty() => {
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
                Err((Recovery::AnyConnection, _)) => {}
                Err((Recovery::OtherAddress, by)) => {
                    avoid.extend(by);
                    gone = AttemptResult::Unreachable;
                }
                Err((Recovery::Reset, _)) => return AttemptResult::Reset.into(),
                Err((Recovery::Malformed, _)) => return AttemptResult::Malformed.into(),
            }
        }
        AttemptResult::Unreachable.into()
    }
}

/// An attempt that waits for a connection.
struct Waits<'a> {
    servers: &'a Rc<Servers>,
    checkout: CheckoutId,
    told: oneshot::Receiver<Result<Lease, CheckoutError>>,
}

impl Waits<'_> {
    async fn told(mut self) -> Result<Lease, CheckoutError> {
        (&mut self.told)
            .await
            .unwrap_or(Err(CheckoutError::NoRoute))
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.servers.waiting.borrow_mut().remove(&self.checkout);
        self.servers
            .with(|pool, now, actions| pool.cancel(now, self.checkout, actions));
    }
}

/// A connection that an attempt has. Dropped before anything is written it goes back; later it is closed.
struct Lease {
    servers: Rc<Servers>,
    id: ConnectionId,
    standing: Option<Standing>,
    is_begun: bool,
}

impl Lease {
    fn stale(&mut self, how: CloseReason) {
        let Some(standing) = self.standing.take() else {
            return;
        };
        let id = self.id;
        self.servers.with(|pool, now, actions| {
            pool.found_stale(now, id, how, now - standing.since_ms, actions);
        });
    }

    /// Makes the exchange. A connection that broke is closed, the pool is told, and by which address it went.
    async fn exchange(
        &mut self,
        message: &Rc<Message>,
        left: Duration,
        begin: &dyn Fn(Served),
    ) -> Result<Ended, (Recovery, Option<RouteId>)> {
        self.is_begun = true;
        let Some(standing) = &mut self.standing else {
            return Err((Recovery::AnyConnection, None));
        };
        let exchanged = standing.conn.exchange(message, left, begin).await;
        let age = standing.age;
        exchanged.map_err(|broken| {
            let next = recovery(age, broken.sent, broken.error);
            let by = self.servers.pool.borrow().route_of(self.id);
            match next {
                _ if broken.has_unsolicited_bytes => self.closed(CloseReason::UnsolicitedBytes),
                Recovery::AnyConnection => self.stale(CloseReason::ByPeer),
                Recovery::OtherAddress => self.closed(CloseReason::Broken),
                Recovery::Reset | Recovery::Malformed => self.closed(CloseReason::Finished),
            }
            (next, by)
        })
    }

    fn closed(&mut self, how: CloseReason) {
        let closed = self.standing.take();
        if closed.is_some() {
            let id = self.id;
            self.servers
                .with(|pool, now, actions| pool.connection_closed(now, id, how, actions));
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
            None if drains() => self.closed(CloseReason::Finished),
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
            age: ConnectionAge::Reused,
        };
        self.servers.standing.borrow_mut().insert(self.id, stands);
        let id = self.id;
        self.servers
            .with(|pool, now, actions| pool.check_in(now, id, actions));
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.is_begun {
            self.closed(CloseReason::Finished);
        } else {
            self.give_back();
        }
    }
}

#[cfg(test)]
mod tests;
