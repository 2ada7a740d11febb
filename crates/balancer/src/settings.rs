//! The settings of a balancer, and their validation.
//!
//! The platform's own names for them are mapped where they are parsed, in the module `settings` of the
//! root package.

use std::fmt;

use crate::server_list::ServerEntry;

/// The servers that discard repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// Whether and how a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request is idempotent: it may be repeated freely.
    Idempotent,
    /// The request has an idempotency key, by which the servers of a scope discard repeats within a window.
    IdempotencyKey {
        /// The servers that discard repeats.
        scope: KeyScope,
        /// Length of the deduplication window in milliseconds, from the sending of the first attempt
        /// that may have run.
        window_ms: f64,
    },
    /// The request must never be executed twice.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a repeat has no second effect on any server. Only then may a request that may have run be
    /// rejected.
    #[must_use]
    pub fn repeat_is_harmless(self) -> bool {
        matches!(
            self,
            Self::Idempotent
                | Self::IdempotencyKey {
                    scope: KeyScope::All,
                    ..
                }
        )
    }

    /// Whether a request that may have run on `first` may be sent to `other` without a second effect.
    #[must_use]
    pub fn may_retry_on(self, first: &ServerEntry, other: &ServerEntry) -> bool {
        match self {
            Self::Idempotent
            | Self::IdempotencyKey {
                scope: KeyScope::All,
                ..
            } => true,
            Self::IdempotencyKey {
                scope: KeyScope::Zone,
                ..
            } => first.zone == other.zone,
            Self::IdempotencyKey {
                scope: KeyScope::Cell,
                ..
            } => first.cell == other.cell,
            Self::NonIdempotent => false,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective in milliseconds; an answer within it has its full value.
    pub latency_objective_ms: f64,
    /// Time that a client waits over all attempts together, in milliseconds.
    pub deadline_ms: f64,
    /// Whether and how a request of the class may be repeated.
    pub idempotency: Idempotency,
    /// Value of an answer in time, relative to other classes. Under overload the lowest value per unit of
    /// work is shed first.
    pub priority_weight: f64,
    /// Whether requests with the same key run one at a time, in the order in which this node accepted them.
    pub ordered_by_key: bool,
}

impl Class {
    /// Creates a class of priority weight one whose requests may run in any order.
    #[must_use]
    pub fn new(latency_objective_ms: f64, deadline_ms: f64, idempotency: Idempotency) -> Self {
        Self {
            latency_objective_ms,
            deadline_ms,
            idempotency,
            priority_weight: 1.0,
            ordered_by_key: false,
        }
    }
}

/// Mode in which the server list reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive without a subscription.
    Push,
    /// Changes arrive only at a node that has subscribed.
    Subscribe,
}

/// Where the servers' load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Every response, and responses to health checks.
    Inline,
    /// Responses to health checks only.
    HealthCheck,
    /// Servers report no load.
    Off,
}

/// Limit on the number of retries that a node sends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any window, regardless of the number of accepted requests.
    pub min_retries: f64,
    /// Additional retries for each request that the node accepted in the window.
    pub retries_per_request: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: f64,
}

/// The configuration of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes of requests; a request names one by index.
    pub classes: Vec<Class>,
    /// Requests per second that each tenant may send through all nodes together.
    pub tenant_quotas_per_s: Vec<f64>,
    /// Number of nodes that share the servers.
    pub nodes: usize,
    /// Index of this node among them, from zero.
    pub node_index: usize,
    /// Index of this node's zone.
    pub zone: usize,
    /// Number of machine kinds.
    pub machine_kinds: usize,
    /// Mode in which the server list reaches the node.
    pub discovery: DiscoveryMode,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// Whether health checks may be sent to servers.
    pub health_checks: bool,
    /// Whether a server is reached at an address, where another process may take its place before the
    /// server list tells.
    pub servers_are_addresses: bool,
    /// Time in milliseconds for which the next request of a key is held back after an attempt that may
    /// still be running, in classes that are ordered by key.
    pub key_cooldown_ms: f64,
    /// The retry budget; `None` for the default budget.
    pub retry_budget: Option<RetryBudget>,
    /// Longest interval at which a node without a subscription may poll, in milliseconds.
    pub max_poll_interval_ms: f64,
    /// Maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Minimum fraction of its capacity that a server has when it starts.
    pub slow_start_fraction: f64,
    /// Duration of the slow start, after which a server has its full capacity, in milliseconds.
    pub slow_start_ms: f64,
    /// Multiple of its current capacity beyond which a warming server collapses, if it is sent more for
    /// `collapse_after_ms`.
    pub collapse_multiple: f64,
    /// Time in milliseconds for which a warming server withstands such an overload.
    pub collapse_after_ms: f64,
    /// Price of one health check, as a fraction of the value of a request's result.
    pub health_check_price: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

impl Settings {
    /// Creates settings for a single node with these classes, and defaults for everything else.
    #[must_use]
    pub fn new(classes: Vec<Class>) -> Self {
        Self {
            classes,
            tenant_quotas_per_s: Vec::new(),
            nodes: 1,
            node_index: 0,
            zone: 0,
            machine_kinds: 1,
            discovery: DiscoveryMode::Push,
            report_source: ReportSource::Inline,
            health_checks: false,
            servers_are_addresses: false,
            key_cooldown_ms: 0.0,
            retry_budget: None,
            max_poll_interval_ms: 10_000.0,
            max_attempts: 3,
            cancel: true,
            slow_start_fraction: 1.0,
            slow_start_ms: 0.0,
            collapse_multiple: 2.0,
            collapse_after_ms: 1_000.0,
            health_check_price: 0.0,
        }
    }

    /// Checks that every value is in range.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is out of range, under the name by which previous versions
    /// documented it.
    pub fn validate(&self) -> Result<(), SettingsError> {
        require(!self.classes.is_empty(), "classes")?;
        for class in &self.classes {
            class.validate()?;
        }
        let quotas = &self.tenant_quotas_per_s;
        require(
            quotas.iter().all(|quota| is_non_negative(*quota)),
            "quotas_per_s",
        )?;
        require(self.nodes > 0, "nodes")?;
        require(is_positive(self.max_poll_interval_ms), "ask_within_ms")?;
        require(self.max_attempts > 0, "max_attempts")?;
        let fraction = self.slow_start_fraction;
        require(is_positive(fraction) && fraction <= 1.0, "cold_from")?;
        require(is_non_negative(self.slow_start_ms), "cold_ms")?;
        require(is_positive(self.collapse_multiple), "tip_multiple")?;
        require(is_positive(self.collapse_after_ms), "tip_after_ms")?;
        require(self.node_index < self.nodes, "me")?;
        require(is_non_negative(self.key_cooldown_ms), "key_quiet_ms")?;
        if let Some(budget) = self.retry_budget {
            require(is_non_negative(budget.min_retries), "resends.free")?;
            require(
                is_non_negative(budget.retries_per_request),
                "resends.per_request",
            )?;
            require(is_positive(budget.window_ms), "resends.span_ms")?;
        }
        require(is_non_negative(self.health_check_price), "probe_price")
    }
}

impl Class {
    fn validate(&self) -> Result<(), SettingsError> {
        require(is_positive(self.latency_objective_ms), "classes[].aim_ms")?;
        require(is_positive(self.deadline_ms), "classes[].deadline_ms")?;
        require(is_non_negative(self.priority_weight), "classes[].worth")?;
        if let Idempotency::IdempotencyKey { window_ms, .. } = self.idempotency {
            require(is_non_negative(window_ms), "classes[].window_ms")?;
        }
        Ok(())
    }
}

fn require(holds: bool, key: &'static str) -> Result<(), SettingsError> {
    if holds {
        Ok(())
    } else {
        Err(SettingsError { key })
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_non_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// A setting that is missing or out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    key: &'static str,
}

impl SettingsError {
    /// The name of the setting, unchanged since earlier versions.
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
