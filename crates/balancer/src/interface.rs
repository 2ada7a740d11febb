//! The interface of the decision module: its settings, events and actions.
//!
//! Times are milliseconds. Events carry durations; the instant they happened at is given to
//! [`Balancer::handle`](crate::Balancer::handle) beside them.

use std::fmt;

/// A server, numbered by the embedding node; a number is never used again for another server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub usize);

/// A client's request, numbered by the embedding node and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The servers that discard repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What running a request twice does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing: it may be repeated freely.
    Safe,
    /// Repeats are discarded by the servers of a group, for a while.
    Keyed {
        /// The servers that discard repeats.
        group: Group,
        /// For how long, from the sending of the first attempt that may have run.
        window_ms: f64,
    },
    /// It must never run twice.
    Unsafe,
}

impl Effect {
    /// Whether a refusal is true of a request that may have run: its repeat has no second effect anywhere.
    #[must_use]
    pub fn may_be_refused(self) -> bool {
        matches!(
            self,
            Self::Safe
                | Self::Keyed {
                    group: Group::All,
                    ..
                }
        )
    }

    /// Whether a request that may have run on `first` may be sent to `other` without a second effect.
    #[must_use]
    pub fn may_move(self, first: &ServerEntry, other: &ServerEntry) -> bool {
        match self {
            Self::Safe
            | Self::Keyed {
                group: Group::All, ..
            } => true,
            Self::Keyed {
                group: Group::Zone, ..
            } => first.zone == other.zone,
            Self::Keyed {
                group: Group::Cell, ..
            } => first.cell == other.cell,
            Self::Unsafe => false,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time have the full worth.
    pub aim_ms: f64,
    /// What a client waits in all, over every try.
    pub deadline_ms: f64,
    /// What running a request twice does.
    pub effect: Effect,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Whether its requests with one key run one at a time, in the order this node took them.
    pub in_order: bool,
}

impl Class {
    /// A class of worth one whose requests may run in any order.
    #[must_use]
    pub fn new(aim_ms: f64, deadline_ms: f64, effect: Effect) -> Self {
        Self {
            aim_ms,
            deadline_ms,
            effect,
            worth: 1.0,
            in_order: false,
        }
    }
}

/// How the list of servers reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Push,
    /// Changes come only to a node that has subscribed.
    Subscribe,
}

/// Where the servers' load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With every outcome, and with probes.
    Inline,
    /// With probes only.
    OnProbe,
    /// Nowhere.
    Off,
}

/// How many attempts beyond each request's first a node may send.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResendBudget {
    /// This many in any span, however few requests it took ...
    pub free: f64,
    /// ... and so many more for each request it took in the span.
    pub per_request: f64,
    /// Length of the span.
    pub span_ms: f64,
}

/// All that a balancer is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests; a request names one by index.
    pub classes: Vec<Class>,
    /// Requests per second that each tenant may send through all nodes together.
    pub quotas_per_s: Vec<f64>,
    /// Number of nodes that share the servers.
    pub nodes: usize,
    /// The node's own number among them, from zero.
    pub me: usize,
    /// The node's own zone.
    pub zone: usize,
    /// Number of machine kinds.
    pub kinds: usize,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// Where load reports come.
    pub reports: Reports,
    /// Whether servers may be probed.
    pub probes: bool,
    /// How long a key rests after an attempt that may still be running, where classes run in order.
    pub key_quiet_ms: f64,
    /// The budget of further attempts, where one is set.
    pub resends: Option<ResendBudget>,
    /// A node with no subscription must ask again within this time.
    pub ask_within_ms: f64,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// A server starts with at least this fraction of its capacity.
    pub cold_from: f64,
    /// And has all of it after this time.
    pub cold_ms: f64,
    /// A cold server falls over when sent more than this multiple of its capacity ...
    pub tip_multiple: f64,
    /// ... for this long.
    pub tip_after_ms: f64,
    /// Price of one probe for each request, as a fraction of the result.
    pub probe_price: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

impl Settings {
    /// Settings for one node with these classes; the rest is what an unrestricted site would say.
    #[must_use]
    pub fn new(classes: Vec<Class>) -> Self {
        Self {
            classes,
            quotas_per_s: Vec::new(),
            nodes: 1,
            me: 0,
            zone: 0,
            kinds: 1,
            discovery: Discovery::Push,
            reports: Reports::Inline,
            probes: false,
            key_quiet_ms: 0.0,
            resends: None,
            ask_within_ms: 10_000.0,
            max_attempts: 3,
            cancel: true,
            cold_from: 1.0,
            cold_ms: 0.0,
            tip_multiple: 2.0,
            tip_after_ms: 1_000.0,
            probe_price: 0.0,
        }
    }

    /// Checks that every figure makes sense.
    ///
    /// # Errors
    ///
    /// Names the first setting that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let need = |ok: bool, key: &'static str| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError { key })
            }
        };
        let some = |x: f64| x.is_finite() && x > 0.0;
        let zero_up = |x: f64| x.is_finite() && x >= 0.0;
        need(!self.classes.is_empty(), "classes")?;
        for class in &self.classes {
            need(some(class.aim_ms), "classes[].aim_ms")?;
            need(some(class.deadline_ms), "classes[].deadline_ms")?;
            need(zero_up(class.worth), "classes[].worth")?;
            if let Effect::Keyed { window_ms, .. } = class.effect {
                need(zero_up(window_ms), "classes[].window_ms")?;
            }
        }
        need(
            self.quotas_per_s.iter().all(|q| zero_up(*q)),
            "quotas_per_s",
        )?;
        need(self.nodes > 0, "nodes")?;
        need(some(self.ask_within_ms), "ask_within_ms")?;
        need(self.max_attempts > 0, "max_attempts")?;
        need(some(self.cold_from) && self.cold_from <= 1.0, "cold_from")?;
        need(zero_up(self.cold_ms), "cold_ms")?;
        need(some(self.tip_multiple), "tip_multiple")?;
        need(some(self.tip_after_ms), "tip_after_ms")?;
        need(self.me < self.nodes, "me")?;
        need(zero_up(self.key_quiet_ms), "key_quiet_ms")?;
        if let Some(budget) = self.resends {
            need(zero_up(budget.free), "resends.free")?;
            need(zero_up(budget.per_request), "resends.per_request")?;
            need(some(budget.span_ms), "resends.span_ms")?;
        }
        need(zero_up(self.probe_price), "probe_price")
    }
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    key: &'static str,
}

impl SettingsError {
    /// The name of the setting.
    #[must_use]
    pub fn key(&self) -> &str {
        self.key
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}` is missing or out of range", self.key)
    }
}

impl std::error::Error for SettingsError {}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It takes requests.
    Ready,
    /// It finishes its work; nothing new may be sent.
    Draining,
    /// It has been removed, or was never there.
    #[default]
    Gone,
}

/// One server of a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// A number that every node derives alike from its address, and spread out, such as a hash.
    pub place: u64,
    /// Whether it takes requests.
    pub availability: Availability,
    /// When it last started; `None` means long ago.
    pub started_at: Option<f64>,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: usize,
    /// Its machine kind.
    pub kind: usize,
}

impl ServerEntry {
    /// A server of the first zone, cell and kind that started long ago.
    #[must_use]
    pub fn new(server: ServerId, availability: Availability) -> Self {
        Self {
            server,
            place: server.0 as u64,
            availability,
            started_at: None,
            cell: 0,
            zone: 0,
            kind: 0,
        }
    }
}

/// News from discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// Only the servers that changed.
    Changes(Vec<ServerEntry>),
    /// The complete list: a server that is absent is gone.
    Full(Vec<ServerEntry>),
    /// The complete list as last held, perhaps long ago.
    Cached(Vec<ServerEntry>),
    /// A call failed or the subscription broke; the previous list stands.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Its key, if it has one.
    pub item: Option<Box<str>>,
    /// Time until the client gives this try up.
    pub budget_ms: f64,
}

impl Request {
    /// A first try of the first tenant.
    #[must_use]
    pub fn new(id: RequestId, class: usize, budget_ms: f64) -> Self {
        Self {
            id,
            class,
            tenant: 0,
            item: None,
            budget_ms,
        }
    }
}

/// A server's own account of its load; what it does not tell is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests waiting there.
    pub queued: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Served,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    Reset,
    /// An answer came that cannot be read or has no end; it may have run.
    Spoilt,
    /// The server objects to the request itself, as any other would; the client has that as its answer.
    Rejected,
    /// Cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl Ending {
    /// Whether the request may have taken effect.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Full | Self::Unreachable | Self::NotSent)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt, numbered from zero in the order of sending.
    pub attempt: usize,
    /// Time since it was sent.
    pub elapsed_ms: f64,
    /// How it ended.
    pub ending: Ending,
    /// Whether the request is finished, by this outcome or before it.
    pub complete: bool,
    /// The server's load report, if the answer carried one.
    pub report: Option<Report>,
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News from discovery.
    Servers(Listing),
    /// A client's request, which is now owed one final answer.
    Request(Request),
    /// A streamed answer has begun; the attempt belongs to the client from now on.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// What other nodes say of a server: the part, 0 to 1, of its ordinary share that it should have; 1 takes
    /// back what was said before. It restricts, and a server that is alone is used all the same.
    Hint {
        /// The server.
        server: ServerId,
        /// The part.
        weight: f64,
    },
    /// The client left; nothing more is owed.
    ClientGone(RequestId),
    /// A timer came due.
    Timer(u64),
    /// A probe was answered, or not.
    Probed {
        /// The server.
        server: ServerId,
        /// Time since it was sent.
        elapsed_ms: f64,
        /// How it went.
        ending: Ending,
        /// The server's load report, if there was one.
        report: Option<Report>,
    },
}

/// What the node is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
    },
    /// Ask a server for its load report.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    Close {
        /// The server.
        server: ServerId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: not taken, a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it tries again, where there is a time to name.
        after_ms: Option<f64>,
    },
    /// Final answer: failed, perhaps with an effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Subscribe to the changes of the server list.
    Subscribe,
    /// Ask for a [`Event::Timer`].
    SetTimer {
        /// Returned with the event.
        timer: u64,
        /// Time from now.
        after_ms: f64,
    },
    /// A line for the operators.
    Note(String),
}
