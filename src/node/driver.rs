//! The driver: it owns the balancer, brings it every event with its time, and carries out each action.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::{Metrics, ServerGauges};
use endpoint_discovery::{Endpoint, Lifecycle};
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

use crate::node::admin::log;
use crate::node::clock::Clock;
use crate::node::config::{Config, ConfigError, Names};
use crate::node::discovery::endpoint_list::decode::decode_endpoints;
use crate::node::upstream::addresses::ConfiguredAddresses;
use crate::node::upstream::servers::{PoolLimits, RunningAttempt, Servers};
use crate::node::upstream::{AttemptOutcome, RequestBody, UpstreamRequest, UpstreamResponse};
use crate::settings::SettingsFormatError;
use balancer::{
    Action, AttemptResult, Availability, Balancer, Class, Event, Idempotency, Outcome, Request,
    RequestId, ServerEntry, ServerId, ServerListUpdate,
};

/// An answer must reach the client within its time: this much before its end the node stops waiting.
const MARGIN: Duration = Duration::from_millis(10);
/// The longest time that a timer is set for.
const LONGEST_TIMER: Duration = Duration::from_secs(71 * 60);
/// A wake-up that is so late is told to the operators at once: answers are late by as much.
const LATE: Duration = Duration::from_millis(20);
/// How long a request may take to come, at the least pace, that is taken before its last byte.
const LONGEST_COMING: Duration = Duration::from_secs(20 * 60);
/// So many of the requests that a node ends with no answer to are told one by one.
const MOST_TOLD: usize = 20;
/// The part of a window for repeats in which one may begin to go out: it has to arrive in it, too.
const REPEAT_PART: f64 = 0.9;
/// How often idle connections are looked over.
const SWEEP: Duration = Duration::from_secs(1);

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// A server's own.
    Served(UpstreamResponse),
    /// Rejected: a retry is harmless.
    Rejected {
        /// When the client should, where the balancer names a time.
        after_ms: Option<f64>,
    },
    /// Failed.
    Failed,
}

/// An attempt that is out.
struct Out {
    number: usize,
    server: ServerId,
    sent: Instant,
    underway: Rc<RunningAttempt>,
    task: AbortHandle,
    /// When its answer began to be passed on, counted from when it was sent: from then on it is the client's.
    passing: Option<Duration>,
}

/// A request that is owed an answer or has an attempt out.
struct Open {
    answer: Option<oneshot::Sender<Answer>>,
    message: Rc<UpstreamRequest>,
    deadline: Instant,
    /// Its time, counted from its last byte, while that is yet to come.
    coming: Option<Duration>,
    attempts: usize,
    out: Option<Out>,
    /// From when on it may not be sent again, counted from the first attempt that may have run.
    repeats_until: Option<Instant>,
    /// How long servers drop repeats of it, where they do.
    window: Option<Duration>,
}

/// Whether a server's answer is the request's.
fn is_final(ending: AttemptResult) -> bool {
    matches!(ending, AttemptResult::Served | AttemptResult::ClientError)
}

fn availability(lifecycle: Lifecycle) -> Availability {
    match lifecycle {
        Lifecycle::Ready => Availability::Ready,
        Lifecycle::Draining => Availability::Draining,
        Lifecycle::Gone => Availability::Gone,
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Deadline(u64),
}

/// Hears of the server, by the key that other nodes know it by, and how an attempt there ended.
type Watcher = Rc<dyn Fn(u64, AttemptResult)>;

/// What all nodes know a server by in this life of it: one that is replaced under its name is another.
fn key_of(host: &Endpoint) -> u64 {
    stable_hash::hash_name(&host.id) ^ stable_hash::mix(host.started_at_ms.to_bits())
}

/// Owns the balancer. See the module's page.
pub struct Driver {
    balancer: RefCell<Balancer>,
    clock: Clock,
    /// What became of requests.
    pub metrics: Metrics,
    /// The names of the settings.
    pub names: SettingNames,
    servers: Rc<Servers>,
    /// The servers that discovery names now, by their ids. One that is gone is forgotten, and gets another number
    /// if it comes back: what is still under way to the first cannot be taken for the second's.
    numbers: RefCell<HashMap<String, ServerId>>,
    next_server: Cell<usize>,
    max_attempts: usize,
    most_held: usize,
    next_request: Cell<u64>,
    open: RefCell<HashMap<u64, Open>>,
    events: RefCell<VecDeque<Event>>,
    handling: Cell<bool>,
    /// What is to be done when; the deadline of a request that is over is taken out.
    due: RefCell<BTreeSet<(Instant, Due)>>,
    earlier: Notify,
    /// Tells discovery that the balancer asks for the list's changes.
    pub subscribe: Notify,
    /// Which list there is now, and what each server is to other nodes.
    lists: Cell<u64>,
    keys: RefCell<HashMap<ServerId, u64>>,
    /// Who wants to know how attempts end.
    watcher: RefCell<Option<Watcher>>,
    latest: Cell<Duration>,
    /// By when all must be answered, of a node that is told to stop.
    ends_by: Cell<Option<Instant>>,
}

/// The names that requests and lists use for what the settings number.
pub struct SettingNames {
    /// Classes.
    pub classes: Names,
    /// What holds for each class.
    pub rules: Vec<ClassRule>,
    /// Tenants.
    pub tenants: Names,
    /// Zones.
    pub zones: Names,
    /// Machine kinds.
    pub kinds: Names,
}

/// What holds for the requests of a class.
pub struct ClassRule {
    /// What running one twice does.
    pub effect: Idempotency,
    /// How long a client waits at the most.
    pub longest: Duration,
}

impl Driver {
    /// A driver that knows the list of servers that the configuration names.
    ///
    /// # Errors
    ///
    /// The module does not take the settings.
    pub fn start(config: &Config) -> Result<Rc<Self>, ConfigError> {
        Self::start_with(config, ConfiguredAddresses::new(), PoolLimits::default())
    }

    /// The same, with what the operators say of servers' addresses and of connections to them.
    ///
    /// # Errors
    ///
    /// The module does not take the settings.
    pub fn start_with(
        config: &Config,
        configured_addresses: ConfiguredAddresses,
        pool_limits: PoolLimits,
    ) -> Result<Rc<Self>, ConfigError> {
        let settings = config.settings.clone();
        let rules = |class: &Class| ClassRule {
            effect: class.idempotency,
            longest: Duration::from_secs_f64(class.deadline_ms.min(1e9) / 1e3),
        };
        let names = SettingNames {
            classes: config.classes.clone(),
            rules: settings.classes.iter().map(rules).collect(),
            tenants: config.tenants.clone(),
            zones: config.zones.clone(),
            kinds: config.kinds.clone(),
        };
        let max_attempts = settings.max_attempts;
        let balancer = Balancer::new(settings, config.seed)
            .map_err(|error| ConfigError::Settings(SettingsFormatError::OutOfRange(error)))?;
        let clock = Clock::new();
        let driver = Rc::new(Self {
            balancer: RefCell::new(balancer),
            clock,
            metrics: Metrics::new(names.classes.in_order()),
            names,
            servers: Servers::new(config, configured_addresses, pool_limits, clock),
            numbers: RefCell::default(),
            next_server: Cell::new(0),
            max_attempts,
            most_held: config.most_held,
            next_request: Cell::new(0),
            open: RefCell::default(),
            events: RefCell::default(),
            handling: Cell::new(false),
            due: RefCell::default(),
            earlier: Notify::new(),
            subscribe: Notify::new(),
            lists: Cell::new(0),
            keys: RefCell::default(),
            watcher: RefCell::default(),
            latest: Cell::default(),
            ends_by: Cell::default(),
        });
        driver.listing(&decode_endpoints(&config.known), ServerListUpdate::Cached);
        tokio::task::spawn_local(Rc::clone(&driver).wake_up());
        tokio::task::spawn_local(Rc::clone(&driver).sweep());
        tokio::task::spawn_local(Rc::clone(&driver.servers).run_timer());
        Ok(driver)
    }

    /// Takes the whole list of servers.
    pub fn list(self: &Rc<Self>, hosts: &[Endpoint]) {
        self.listing(hosts, ServerListUpdate::Full);
    }

    /// Has somebody told how attempts end, from here on.
    pub fn watch(&self, watcher: impl Fn(u64, AttemptResult) + 'static) {
        self.watcher.replace(Some(Rc::new(watcher)));
    }

    /// The number of the list that there is now: another list has another.
    #[must_use]
    pub fn list_number(&self) -> u64 {
        self.lists.get()
    }

    /// All servers of the list, with what other nodes know them by.
    #[must_use]
    pub fn server_keys(&self) -> Vec<(ServerId, u64)> {
        self.keys
            .borrow()
            .iter()
            .map(|(number, key)| (*number, *key))
            .collect()
    }

    /// The name of a server of the list.
    #[must_use]
    pub fn server_name(&self, server: ServerId) -> Option<String> {
        let numbers = self.numbers.borrow();
        numbers
            .iter()
            .find(|(_, number)| **number == server)
            .map(|(name, _)| name.clone())
    }

    /// What other nodes say of a server: see [`Event::Hint`].
    pub fn hint(self: &Rc<Self>, server: ServerId, weight: f64) {
        self.feed(Event::Hint { server, weight });
    }

    /// Takes the servers that changed.
    pub fn changes(self: &Rc<Self>, hosts: &[Endpoint]) {
        self.listing(hosts, ServerListUpdate::Changes);
    }

    /// Replaces the servers' configured addresses.
    pub fn set_configured_addresses(self: &Rc<Self>, configured: ConfiguredAddresses) {
        let hosts = self.servers.set_configured_addresses(configured);
        if !hosts.is_empty() {
            self.changes(&hosts);
        }
    }

    /// The time by the driver's clock, in milliseconds of Unix time; it never runs backwards.
    #[must_use]
    pub fn now_ms(&self) -> f64 {
        self.clock.now_ms()
    }

    /// How many servers there are, and how many of them are avoided.
    #[must_use]
    pub fn server_gauges(&self) -> ServerGauges {
        ServerGauges {
            known: self.numbers.borrow().len(),
            excluded: self.balancer.borrow().servers_excluded(self.now_ms()),
        }
    }

    /// The list could not be had, or its changes come no more.
    pub fn list_failed(self: &Rc<Self>) {
        self.feed(Event::ServerList(ServerListUpdate::Failed));
    }

    fn listing(
        self: &Rc<Self>,
        hosts: &[Endpoint],
        kind: fn(Vec<ServerEntry>) -> ServerListUpdate,
    ) {
        if !matches!(kind(Vec::new()), ServerListUpdate::Changes(_)) {
            self.forget_missing(hosts);
        }
        let entries = self.entries(hosts);
        self.feed(Event::ServerList(kind(entries)));
    }

    /// A server that a full list does not name is gone.
    fn forget_missing(&self, hosts: &[Endpoint]) {
        let listed: HashSet<&str> = hosts.iter().map(|host| host.id.as_str()).collect();
        self.numbers.borrow_mut().retain(|id, number| {
            let stays = listed.contains(id.as_str());
            if !stays {
                self.keys.borrow_mut().remove(number);
                self.servers.remove(*number);
            }
            stays
        });
    }

    /// What the balancer is told of hosts: that they are there, or gone, or that others are gone for them.
    fn entries(&self, hosts: &[Endpoint]) -> Vec<ServerEntry> {
        let mut numbers = self.numbers.borrow_mut();
        let (gone, there): (Vec<_>, Vec<_>) = hosts
            .iter()
            .partition(|host| host.lifecycle == Lifecycle::Gone);
        let mut gone: Vec<_> = gone
            .into_iter()
            .filter_map(|host| numbers.remove(&host.id))
            .collect();
        gone.iter().for_each(|number| self.servers.remove(*number));
        let mut numbered: Vec<(ServerId, &Endpoint)> = Vec::with_capacity(there.len());
        for host in there {
            let number = numbers.entry(host.id.clone()).or_insert_with(|| {
                let next = self.next_server.get();
                self.next_server.set(next + 1);
                ServerId(next)
            });
            numbered.push((*number, host));
        }
        let replaced = self.servers.update(&numbered);
        numbers.retain(|_, at| !replaced.contains(at));
        replaced
            .iter()
            .for_each(|number| self.servers.remove(*number));
        gone.extend(&replaced);
        {
            let mut keys = self.keys.borrow_mut();
            gone.iter().for_each(|number| _ = keys.remove(number));
            let there = numbered
                .iter()
                .filter(|(number, _)| !replaced.contains(number));
            keys.extend(there.map(|(number, host)| (*number, key_of(host))));
            self.lists.set(self.lists.get() + 1);
        }
        let gone = gone
            .into_iter()
            .map(|number| ServerEntry::new(number, Availability::Gone));
        let there = numbered
            .into_iter()
            .filter(|(number, _)| !replaced.contains(number));
        gone.chain(there.map(|(number, host)| self.entry(number, host)))
            .collect()
    }

    fn entry(&self, server: ServerId, host: &Endpoint) -> ServerEntry {
        ServerEntry {
            server,
            ring_position: stable_hash::hash_name(&host.id),
            availability: availability(host.lifecycle),
            started_at_ms: Some(host.started_at_ms).filter(|t| *t > 0.0),
            cell: host.cell.unwrap_or(0),
            zone: self.names.zones.get(&host.zone).unwrap_or(0),
            machine_kind: self.names.kinds.get(&host.machine_type).unwrap_or(0),
        }
    }

    /// Takes a request that arrived at `arrived`. `None`: the node holds as many as it may.
    pub fn take(
        self: &Rc<Self>,
        class: usize,
        tenant: usize,
        item: Option<Box<str>>,
        message: UpstreamRequest,
        arrived: Instant,
        time: Duration,
    ) -> Option<Taken> {
        if self.open.borrow().len() >= self.most_held {
            return None;
        }
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        let coming = Some(time).filter(|_| matches!(message.body, RequestBody::Streamed(_)));
        let time = coming.map_or(time, |_| LONGEST_COMING);
        let deadline = self.before_the_end(arrived + time.saturating_sub(MARGIN));
        let (answer, answered) = oneshot::channel();
        let message = Rc::new(message);
        let window = match self.names.rules[class].effect {
            Idempotency::IdempotencyKey { window_ms, .. } => {
                Duration::try_from_secs_f64(window_ms * REPEAT_PART / 1e3).ok()
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        };
        let open = Open {
            answer: Some(answer),
            message,
            deadline,
            coming,
            attempts: 0,
            out: None,
            repeats_until: None,
            window,
        };
        self.open.borrow_mut().insert(number, open);
        self.wake_at(deadline, Due::Deadline(number));
        let budget = coming.unwrap_or_else(|| deadline.saturating_duration_since(Instant::now()));
        let budget_ms = budget.as_secs_f64() * 1e3;
        self.feed(Event::Request(Request {
            id: RequestId(number),
            class,
            tenant,
            key: item,
            timeout_ms: budget_ms,
        }));
        Some(Taken {
            driver: Rc::clone(self),
            number,
            answered,
        })
    }

    /// From now on no request has longer than until then, those that were taken before among them. Guards against a node
    /// that ends with requests unanswered: their clients may wait for longer than its end does.
    pub fn end_by(&self, by: Instant) {
        self.ends_by.set(Some(by));
        for (number, request) in self.open.borrow_mut().iter_mut() {
            self.set_deadline(*number, request, request.deadline);
        }
    }

    fn before_the_end(&self, at: Instant) -> Instant {
        self.ends_by.get().map_or(at, |by| at.min(by))
    }

    fn set_deadline(&self, number: u64, request: &mut Open, at: Instant) {
        let at = self.before_the_end(at);
        self.due
            .borrow_mut()
            .remove(&(request.deadline, Due::Deadline(number)));
        request.deadline = at;
        self.wake_at(at, Due::Deadline(number));
    }

    /// Brings an event to the balancer, now or as soon as it is done with the one before.
    fn feed(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else {
                break;
            };
            self.balancer
                .borrow_mut()
                .handle(self.clock.now_ms(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
        self.handling.set(false);
    }

    fn carry_out(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, server } => self.send(request.0, server),
            Action::Cancel { request, attempt } => self.cancel(request.0, attempt),
            Action::Reject {
                request,
                retry_after_ms: after_ms,
            } => {
                self.answer(request.0, Answer::Rejected { after_ms });
            }
            Action::Fail { request } => self.answer(request.0, Answer::Failed),
            Action::SetTimer { timer, after_ms } => {
                let after =
                    Duration::try_from_secs_f64(after_ms.max(0.0) / 1e3).unwrap_or(LONGEST_TIMER);
                self.wake_at(Instant::now() + after.min(LONGEST_TIMER), Due::Timer(timer));
            }
            Action::CloseIdle { server } => self.servers.close_idle(server),
            Action::Subscribe => self.subscribe.notify_one(),
            Action::HealthCheck { server } => self.refuse_probe(server),
            Action::Log(event) => log::line(event),
        }
    }

    fn send(self: &Rc<Self>, number: u64, server: ServerId) {
        let mut open = self.open.borrow_mut();
        let Some(request) = open.get_mut(&number) else {
            return;
        };
        let (attempt, now) = (request.attempts, Instant::now());
        request.attempts += 1;
        // Guards the rules whatever the balancer says: no send for a request that is over or of which a part is
        // gone, none beyond the attempts allowed, and never two at once.
        let over =
            request.answer.is_none() || now >= request.deadline || !request.message.may_be_sent();
        if over || attempt >= self.max_attempts || request.out.is_some() {
            drop(open);
            return self.outcome(
                number,
                attempt,
                Duration::ZERO,
                AttemptResult::NotSent.into(),
            );
        }
        let message = Rc::clone(&request.message);
        // Guards against a repeat whose connection comes up late: what counts is when it goes out.
        message.send_deadline.set(request.repeats_until);
        let deadline = request.coming.map_or(request.deadline, |time| now + time);
        let driver = Rc::clone(self);
        let begin = move |served| driver.begun(number, attempt, served);
        let attempting = Rc::clone(&self.servers).attempt(server, message, deadline, begin);
        let underway = Rc::new(RunningAttempt::new(attempting));
        let (driver, held) = (Rc::clone(self), Rc::clone(&underway));
        let task = tokio::task::spawn_local(async move {
            let ended = held.outcome().await;
            driver.tell(server, ended.result);
            driver.ended(number, attempt, ended);
        });
        let task = task.abort_handle();
        request.out = Some(Out {
            number: attempt,
            server,
            sent: now,
            underway,
            task,
            passing: None,
        });
    }

    /// Tells whoever wants to know how an attempt ended.
    fn tell(&self, server: ServerId, ending: AttemptResult) {
        let watcher = self.watcher.borrow().clone();
        let key = watcher
            .as_ref()
            .and_then(|_| self.keys.borrow().get(&server).copied());
        if let (Some(watcher), Some(key)) = (watcher, key) {
            watcher(key, ending);
        }
    }

    /// The last byte of a request has come that was taken before.
    fn is_whole(&self, number: u64, arrived: Instant) {
        let mut open = self.open.borrow_mut();
        let Some(request) = open.get_mut(&number) else {
            return;
        };
        let Some(time) = request.coming.take() else {
            return;
        };
        // What its server takes counts from here, too: until now it waited for the client.
        if let Some(out) = &mut request.out {
            out.sent = arrived;
        }
        self.set_deadline(number, request, arrived + time.saturating_sub(MARGIN));
    }

    /// An answer begins that is passed on as it comes.
    fn begun(self: &Rc<Self>, number: u64, attempt: usize, served: UpstreamResponse) {
        {
            let mut open = self.open.borrow_mut();
            let Some(request) = open.get_mut(&number) else {
                return;
            };
            let Some(out) = request.out.as_mut().filter(|out| out.number == attempt) else {
                return;
            };
            out.passing = Some(out.sent.elapsed());
            if let Some(answer) = request.answer.take() {
                let _ = answer.send(Answer::Served(served)); // A client that has left takes nothing.
            }
        }
        self.feed(Event::StreamStarted {
            request: RequestId(number),
            attempt,
        });
    }

    /// An attempt came to its own end.
    fn ended(self: &Rc<Self>, number: u64, attempt: usize, mut ended: AttemptOutcome) {
        let elapsed = {
            let mut open = self.open.borrow_mut();
            let Some(request) = open.get_mut(&number) else {
                return;
            };
            let Some(out) = request.out.take_if(|out| out.number == attempt) else {
                return;
            };
            let served = ended.response.take();
            if let (Some(served), Some(answer)) =
                (served, request.answer.take_if(|_| is_final(ended.result)))
            {
                let _ = answer.send(Answer::Served(served)); // A client that has left is an event of its own.
            }
            out.passing.unwrap_or_else(|| out.sent.elapsed())
        };
        self.outcome(number, attempt, elapsed, ended);
    }

    fn outcome(
        self: &Rc<Self>,
        number: u64,
        attempt: usize,
        elapsed: Duration,
        ended: AttemptOutcome,
    ) {
        let complete = {
            let mut open = self.open.borrow_mut();
            let request = open.get_mut(&number);
            if let Some(request) = request.filter(|_| ended.result.may_have_run()) {
                let until = request
                    .window
                    .and_then(|window| (Instant::now() - elapsed).checked_add(window));
                request.repeats_until = request.repeats_until.or(until);
            }
            open.get(&number)
                .is_none_or(|request| request.answer.is_none())
        };
        self.forget(number);
        self.feed(Event::Outcome(Outcome {
            request: RequestId(number),
            attempt,
            elapsed_ms: elapsed.as_secs_f64() * 1e3,
            result: ended.result,
            complete,
            report: ended.report,
        }));
    }

    /// Gives up the attempt that is out; its connection is closed when this returns. One whose answer is being passed on
    /// stays.
    fn give_up(&self, number: u64, attempt: Option<usize>) -> Option<Out> {
        let mut open = self.open.borrow_mut();
        let out = &mut open.get_mut(&number)?.out;
        let may_go = |out: &mut Out| {
            out.passing.is_none() && attempt.is_none_or(|wanted| out.number == wanted)
        };
        let out = out.take_if(may_go)?;
        out.task.abort();
        out.underway.abort();
        Some(out)
    }

    fn cancel(self: &Rc<Self>, number: u64, attempt: usize) {
        if let Some(out) = self.give_up(number, Some(attempt)) {
            self.outcome(
                number,
                attempt,
                out.sent.elapsed(),
                AttemptResult::Cancelled.into(),
            );
        }
    }

    /// A request is out of time: its attempt has timed out, and what the balancer has not answered by then
    /// has failed.
    fn out_of_time(self: &Rc<Self>, number: u64) {
        if let Some(out) = self.give_up(number, None) {
            self.tell(out.server, AttemptResult::TimedOut);
            self.outcome(
                number,
                out.number,
                out.sent.elapsed(),
                AttemptResult::TimedOut.into(),
            );
        }
        let late = self
            .open
            .borrow()
            .get(&number)
            .is_some_and(|request| request.answer.is_some());
        if late {
            log::line("a request was still held at its deadline");
            self.answer(number, Answer::Failed);
            self.feed(Event::ClientGone(RequestId(number)));
        }
    }

    fn answer(&self, number: u64, answer: Answer) {
        let owed = self
            .open
            .borrow_mut()
            .get_mut(&number)
            .and_then(|request| request.answer.take());
        if let Some(owed) = owed {
            let _ = owed.send(answer); // A client that has left is an event of its own.
        }
        self.forget(number);
    }

    /// Forgets a request that is owed nothing and has nothing out.
    fn forget(&self, number: u64) {
        let mut open = self.open.borrow_mut();
        if let Entry::Occupied(entry) = open.entry(number) {
            if entry.get().answer.is_none() && entry.get().out.is_none() {
                let over = entry.remove();
                self.due
                    .borrow_mut()
                    .remove(&(over.deadline, Due::Deadline(number)));
            }
        }
    }

    fn client_gone(self: &Rc<Self>, number: u64) {
        let owed = self.open.borrow_mut().get_mut(&number).and_then(|request| {
            // Its attempt may still wait for a connection, where settings allow none to be cancelled.
            request.message.send_deadline.set(Some(Instant::now()));
            request.answer.take()
        });
        if owed.is_some() {
            self.forget(number);
            self.feed(Event::ClientGone(RequestId(number)));
        }
    }

    /// A node that is told of no probes gets none to make; one that is asked for all the same was not sent.
    fn refuse_probe(&self, server: ServerId) {
        let ending = AttemptResult::NotSent;
        self.events.borrow_mut().push_back(Event::HealthChecked {
            server,
            elapsed_ms: 0.0,
            result: ending,
            report: None,
        });
    }

    fn wake_at(&self, at: Instant, due: Due) {
        let mut all = self.due.borrow_mut();
        if all.first().is_none_or(|(first, _)| at < *first) {
            self.earlier.notify_one();
        }
        all.insert((at, due));
    }

    async fn wake_up(self: Rc<Self>) {
        loop {
            let first = self.due.borrow().first().map(|(at, _)| *at);
            match first {
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {}
                    () = self.earlier.notified() => {}
                },
                None => self.earlier.notified().await,
            }
            while let Some((at, due)) = self.next_due() {
                self.latest.set(self.latest.get().max(at.elapsed()));
                match due {
                    Due::Timer(timer) => self.feed(Event::Timer(timer)),
                    Due::Deadline(number) => self.out_of_time(number),
                }
            }
        }
    }

    fn next_due(&self) -> Option<(Instant, Due)> {
        let mut all = self.due.borrow_mut();
        let is_due = all.first().is_some_and(|(at, _)| *at <= Instant::now());
        is_due.then(|| all.pop_first()).flatten()
    }

    async fn sweep(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(SWEEP);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.servers.close_expired();
            if self.latest.get() >= LATE {
                self.report_lateness();
            }
        }
    }

    /// Tells the operators of requests that the node ends with no answer to, by the ids that clients gave them: at the
    /// most `MOST_TOLD` of them, and how many there are.
    pub fn report_unanswered(&self) {
        let (open, now) = (self.open.borrow(), Instant::now());
        let mut owed: Vec<_> = open
            .iter()
            .filter(|(_, request)| request.answer.is_some())
            .collect();
        owed.sort_by_key(|(number, _)| **number);
        for (_, request) in owed.iter().take(MOST_TOLD) {
            let id = request
                .message
                .headers
                .get("req-id")
                .and_then(|id| id.to_str().ok())
                .unwrap_or("-");
            let left = request.deadline.saturating_duration_since(now).as_millis();
            let out = request.out.as_ref().map_or_else(
                || "none out".to_owned(),
                |out| {
                    format!(
                        "one out to server {} for {} ms",
                        out.server.0,
                        out.sent.elapsed().as_millis()
                    )
                },
            );
            log::line(format_args!(
                "request {id} is not answered: {left} ms left, {} attempts, {out}",
                request.attempts
            ));
        }
        if owed.len() > MOST_TOLD {
            log::line(format_args!("{} requests are not answered", owed.len()));
        }
    }

    /// Tells the operators how late the latest wake-up since the last report was.
    pub fn report_lateness(&self) {
        let latest = self.latest.take();
        log::line(format_args!(
            "the latest wake-up was {:.1} ms late",
            latest.as_secs_f64() * 1e3
        ));
    }
}

/// A request that the driver has taken. Dropping it means that its client has gone.
pub struct Taken {
    driver: Rc<Driver>,
    number: u64,
    answered: oneshot::Receiver<Answer>,
}

impl Taken {
    /// Its last byte has come, where it was taken without.
    pub fn is_whole(&self, arrived: Instant) {
        self.driver.is_whole(self.number, arrived);
    }

    /// Waits for the final answer.
    ///
    /// It comes once; dropping this midway loses nothing.
    pub async fn answer(&mut self) -> Answer {
        (&mut self.answered).await.unwrap_or(Answer::Failed)
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.driver.client_gone(self.number);
    }
}
