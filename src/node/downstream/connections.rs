//! The table of clients' connections: how far each is, how long it may stay so, and which one makes room for another.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::ConnectionPolicy;
use tokio::sync::Notify;

/// How long a client may take over a request's head, from its first byte (of the first on a connection: from
/// connecting) to the last. Slow clients take 2 s; one that takes more holds its room for nothing.
const HEAD_TIME: Duration = Duration::from_millis(2_400);
/// How long a client may take nothing of its answer. Slow ones take seconds over one.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// How long a connection is kept from one request to the next: many clients never send another.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// How often the times are looked over.
const LOOK: Duration = Duration::from_millis(100);
/// A request is there as good as at once; a connection that is without a whole one for longer goes before those
/// that stand between requests.
const PROMPT: Duration = Duration::from_millis(100);
/// A head of which nothing has come for so long has stopped; one that is written slowly goes on sooner.
const STOPPED: Duration = Duration::from_millis(500);
/// How long a new connection waits for another to make room before one more is asked to.
const ROOM_AGAIN: Duration = Duration::from_millis(5);
/// A connection that has stood between requests for so long makes room without a word. Sooner its client may be about to
/// ask again, and its request would cross the close; it is told in an answer instead.
const STOOD: Duration = Duration::from_secs(1);

/// One in so many of the connections that clients have is kept free for the next request: several times what is on its way
/// in either direction at a time. While a node hands over, clients get no further ones; at all times they get no more
/// than their share of the descriptors.
const KEPT_FREE: usize = 6;
/// The same where those that stand there have asked once only: most of them never will again, and what they hold limits how
/// many can ask at a time.
const KEPT_FREE_OF_ONCE: usize = 2;
/// Weight of one more connection in the share of those that ask again: about the last sixteen count.
const GAIN: f64 = 1.0 / 16.0;
/// Where fewer come back, an answer that ends its connection makes room; where more do, their clients would only connect
/// anew, and nothing is gained.
const MOST_RETURN: f64 = 0.5;
/// Clients hold this part of a node's descriptors at the most for requests; the table has half of them.
const SHARE_OF_PLACES: (usize, usize) = (2, 3);

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing has come on it.
    Silent,
    /// A part of a request's head has come.
    Head,
    /// A request is on it: its body is read, or it is served. It ends in a time of its own and is never put out.
    Request,
    /// An answer is on its way out.
    Answer,
    /// It stands between requests.
    Idle,
    /// Nothing more is owed; what its client still sends is passed over.
    Lingering,
}

/// A connection of the table.
#[derive(Debug)]
pub struct TrackedConnection {
    stage: Cell<Stage>,
    since: Cell<Instant>,
    /// When the last bytes of a head came.
    moved: Cell<Instant>,
    asked: Cell<bool>,
    /// Whether more of its answer is to come than has been written.
    passing: Cell<bool>,
    /// How many requests have been on it.
    requests: Cell<u64>,
    /// Whether it is known if its client asks a second time.
    judged: Cell<bool>,
    leave: Notify,
}

impl TrackedConnection {
    /// How far its connection is.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Notes how far its connection is now.
    pub fn enter(&self, stage: Stage) {
        // The first request's time counts from connecting: silence ahead of it does not prolong it.
        let now = Instant::now();
        if (self.stage.replace(stage), stage) != (Stage::Silent, Stage::Head) {
            self.since.set(now);
        }
        self.moved.set(now);
        self.asked.set(false);
    }

    /// Bytes have come from its client.
    pub fn hears(&self) {
        match self.stage.get() {
            Stage::Silent | Stage::Idle => self.enter(Stage::Head),
            Stage::Head => self.moved.set(Instant::now()),
            Stage::Request | Stage::Answer | Stage::Lingering => {}
        }
    }

    /// Its client has taken some of what it is written.
    pub fn goes_on(&self) {
        if self.stage.get() == Stage::Answer {
            self.since.set(Instant::now());
        }
    }

    /// Whether more of its answer is to come than has been written.
    pub fn set_passing(&self, passing: bool) {
        self.passing.set(passing);
    }

    /// Whether it should end, as it stands now: one that has gone on since it was asked may stay.
    #[must_use]
    pub fn should_leave(&self) -> bool {
        self.asked.get()
    }

    /// Waits until the connection should end. It may have gone on meanwhile: look again whether it should.
    pub async fn asked_to_leave(&self) {
        self.leave.notified().await;
    }

    fn ask_to_leave(&self) {
        self.asked.set(true);
        self.leave.notify_one();
    }

    fn may_stay(&self, policy: ConnectionPolicy) -> Duration {
        match self.stage.get() {
            Stage::Silent | Stage::Idle if policy == ConnectionPolicy::CloseIdle => PROMPT,
            Stage::Silent | Stage::Head => HEAD_TIME,
            Stage::Answer => ANSWER_TIME,
            Stage::Idle => IDLE_TIME,
            Stage::Request | Stage::Lingering => Duration::MAX,
        }
    }

    /// The least goes first. What a client may still want comes last, and never a request.
    fn rank(&self, now: Instant) -> Option<(u8, Instant)> {
        let since = self.since.get();
        let rank = match self.stage.get() {
            _ if self.asked.get() => return None,
            Stage::Request => return None,
            Stage::Lingering => 0,
            Stage::Silent if now - since >= PROMPT => 1,
            Stage::Head if now - self.moved.get() >= STOPPED => 1,
            Stage::Idle if self.requests.get() <= 1 => 2,
            Stage::Idle => 3,
            Stage::Silent => 4,
            // Guards clients that write slowly against a crowd that says nothing, or stops half way.
            Stage::Head => 5,
            Stage::Answer => 6,
        };
        Some((rank, since))
    }
}

/// Connections that stand between requests, the longest first, each with the time since when. Others may be among them, and
/// are passed over.
#[derive(Default)]
struct Idle(VecDeque<(Rc<TrackedConnection>, Instant)>);

impl Idle {
    /// Takes one more; `most` bounds what is kept of those that have gone on since.
    fn push(&mut self, tracked: &Rc<TrackedConnection>, most: usize) {
        if self.0.len() >= 2 * most {
            self.0.retain(|(tracked, since)| tracked.has_idled(*since));
        }
        self.0.push_back((Rc::clone(tracked), tracked.since.get()));
    }

    /// The one that has stood for longest, if it has stood for long, and has not been asked to leave.
    fn longest(&mut self, now: Instant) -> Option<Rc<TrackedConnection>> {
        while let Some((tracked, since)) = self.0.front() {
            let stands = tracked.has_idled(*since) && !tracked.asked.get();
            if stands && now.saturating_duration_since(*since) < STOOD {
                return None;
            }
            let (tracked, _) = self.0.pop_front()?;
            if stands {
                return Some(tracked);
            }
        }
        None
    }
}

/// All connections of clients.
pub struct ConnectionTable {
    most: usize,
    next: Cell<u64>,
    taken: RefCell<HashMap<u64, Rc<TrackedConnection>>>,
    /// Those that stand between requests: after their first, and after a later one.
    idle: [RefCell<Idle>; 2],
    /// Whether clients get no further connections for those that are ended.
    holds: Cell<bool>,
    /// Those that have had an answer, or are about to.
    known: Cell<usize>,
    /// The share of connections, of late, on which a second request came before they had stood for long.
    returning: Cell<f64>,
    /// Whether a new connection waits for room.
    waits: Cell<bool>,
    freed: Notify,
}

impl ConnectionTable {
    /// So many at the most.
    #[must_use]
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Self {
            most,
            next: Cell::new(0),
            taken: RefCell::default(),
            idle: Default::default(),
            holds: Cell::new(false),
            known: Cell::new(0),
            returning: Cell::new(0.0),
            waits: Cell::new(false),
            freed: Notify::new(),
        })
    }

    /// Room for a new connection. Guards the limit on descriptors: where all are taken, the connection that is
    /// worth least makes room, whoever came first, or the next answer tells its client to go.
    pub async fn take(self: &Rc<Self>) -> ConnectionGuard {
        while self.taken.borrow().len() >= self.most {
            self.waits.set(true);
            self.ask_least();
            let _ = tokio::time::timeout(ROOM_AGAIN, self.freed.notified()).await;
        }
        self.waits.set(false);
        let number = self.next.replace(self.next.get() + 1);
        let tracked = Rc::new(TrackedConnection {
            stage: Cell::new(Stage::Silent),
            since: Cell::new(Instant::now()),
            moved: Cell::new(Instant::now()),
            asked: Cell::new(false),
            passing: Cell::new(false),
            requests: Cell::new(0),
            judged: Cell::new(false),
            leave: Notify::new(),
        });
        self.taken.borrow_mut().insert(number, Rc::clone(&tracked));
        ConnectionGuard {
            table: Rc::clone(self),
            number,
            tracked,
        }
    }

    /// From now on clients get no further connections: those that they have are kept for whoever wants one.
    pub fn hold(&self) {
        self.holds.set(true);
    }

    /// A request is on a connection.
    fn knows(&self, tracked: &TrackedConnection) {
        tracked.requests.set(tracked.requests.get() + 1);
        match tracked.requests.get() {
            1 => self.known.set(self.known.get() + 1),
            2 if !tracked.judged.replace(true) => self.judge(1.0),
            _ => {}
        }
    }

    fn judge(&self, returned: f64) {
        self.returning
            .set(self.returning.get() + (returned - self.returning.get()) * GAIN);
    }

    /// How many may stand, of those that have asked, before clients' next connections find too few free: where some have
    /// asked once only, and at all.
    fn thresholds(&self) -> (usize, usize) {
        let share = self.most * SHARE_OF_PLACES.0 / SHARE_OF_PLACES.1;
        (share - share / KEPT_FREE_OF_ONCE, share - share / KEPT_FREE)
    }

    /// Whether the answer that is about to go out should be the last on its connection. Guards against clients that ask
    /// once and keep their connection: together they have all that clients may hold, and the next ones find none. Told in
    /// an answer, nobody loses a request by it. Where a new connection waits for room, the first to ask this makes room
    /// for it, and the next do so again only while it still waits.
    #[must_use]
    pub fn wants_room(&self, tracked: &TrackedConnection) -> bool {
        if self.holds.get() {
            return false;
        }
        let crowded = self.known.get() > self.thresholds().0 && self.returning.get() < MOST_RETURN;
        self.waits.take() || (crowded && tracked.requests.get() <= 1)
    }

    /// A connection stands between requests from now on.
    fn idles(&self, tracked: &Rc<TrackedConnection>) {
        let [once, again] = &self.idle;
        let own = if tracked.requests.get() > 1 {
            again
        } else {
            once
        };
        own.borrow_mut().push(tracked, self.most);
    }

    /// Asks those to leave that have stood for long, the longest first, where too few connections are free. Those that
    /// have asked again before are likelier to, and go last.
    fn make_room(&self, now: Instant) {
        for tracked in self.taken.borrow().values() {
            let stood = tracked.stage.get() == Stage::Idle && tracked.requests.get() == 1;
            let long = now.saturating_duration_since(tracked.since.get()) >= STOOD;
            if stood && long && !tracked.judged.replace(true) {
                self.judge(0.0);
            }
        }
        if self.holds.get() {
            return;
        }
        let (few, many) = self.thresholds();
        let mut known = self.known.get();
        for (idle, most) in self.idle.iter().zip([few, many]) {
            while known > most {
                let Some(longest) = idle.borrow_mut().longest(now) else {
                    break;
                };
                longest.ask_to_leave();
                known -= 1;
            }
        }
    }

    /// Asks the one that is worth least to leave. One that stands between requests, but not for long, is waited for.
    fn ask_least(&self) {
        let (taken, now) = (self.taken.borrow(), Instant::now());
        let least = taken
            .values()
            .filter_map(|p| Some((p.rank(now)?, p)))
            .min_by_key(|(rank, _)| *rank);
        let Some(((_, since), tracked)) = least else {
            return;
        };
        if tracked.stage.get() != Stage::Idle || now.saturating_duration_since(since) >= STOOD {
            tracked.ask_to_leave();
        }
    }

    /// Whether so many of the connections on which clients have asked are in use that the next client may find none
    /// free. Guards against clients that give a node up while it serves: once it is on its way out they get no further
    /// connection to it, and whoever wants one then takes it for gone, with all that stand open. It holds for any
    /// clients whose connections cannot grow in number: behind a front that drains, or at a limit of their own. It
    /// could hurt where each client has a connection to itself and will never want another: a few are then sent away
    /// that could have been served.
    #[must_use]
    pub fn few_free(&self) -> bool {
        let (mut busy, mut free) = (0, 0);
        for tracked in self.taken.borrow().values() {
            match tracked.stage.get() {
                Stage::Request | Stage::Answer => busy += 1,
                Stage::Idle => free += 1,
                Stage::Silent | Stage::Head | Stage::Lingering => {}
            }
        }
        free < (busy + free) / KEPT_FREE
    }

    /// Asks those to leave that have been where they are for too long, for as long as it is polled. `policy` says how
    /// long clients' connections may stay open at all.
    pub async fn look_over(&self, policy: impl Fn() -> ConnectionPolicy) {
        let mut ticks = tokio::time::interval(LOOK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let now = ticks.tick().await.into_std();
            self.make_room(now);
            let policy = policy();
            for tracked in self.taken.borrow().values() {
                if now.saturating_duration_since(tracked.since.get()) > tracked.may_stay(policy) {
                    tracked.ask_to_leave();
                }
            }
        }
    }

    /// Waits until there is none.
    pub async fn all_left(&self) {
        while !self.taken.borrow().is_empty() {
            self.freed.notified().await;
        }
    }
}

impl TrackedConnection {
    /// Whether it has stood between requests since then.
    fn has_idled(&self, since: Instant) -> bool {
        self.stage.get() == Stage::Idle && self.since.get() == since
    }
}

/// Keeps a connection in the table until this is dropped.
pub struct ConnectionGuard {
    table: Rc<ConnectionTable>,
    number: u64,
    /// The connection.
    pub tracked: Rc<TrackedConnection>,
}

impl ConnectionGuard {
    /// A request is on it.
    pub fn asks(&self) {
        self.tracked.enter(Stage::Request);
        self.table.knows(&self.tracked);
    }

    /// All that there was to write has gone out; tells whether that was the end of an answer.
    pub fn is_flushed(&self) -> bool {
        let ends = self.tracked.stage() == Stage::Answer && !self.tracked.passing.get();
        if ends {
            self.tracked.enter(Stage::Idle);
            self.table.idles(&self.tracked);
        }
        ends
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if self.tracked.requests.get() > 0 {
            self.table.known.set(self.table.known.get() - 1);
        }
        self.table.taken.borrow_mut().remove(&self.number);
        self.table.freed.notify_one();
    }
}
