//! The balancer's state and its event handler. Each decision is in the module of its subject.

use std::collections::{BTreeMap, HashMap};

use crate::action::Action;
use crate::admission::Admission;
use crate::event::{AttemptResult, Event, LoadReport, RequestId};
use crate::health_check::HealthChecks;
use crate::idle_connections::IdleConnections;
use crate::latency::{initial_class_multiple, LatencyEstimate, LatencyModel};
use crate::queue::KeyQueues;
use crate::request::{Attempt, PendingRequest};
use crate::retry::RetryLimiter;
use crate::sampling::Sampler;
use crate::selection::Scratch;
use crate::server::Server;
use crate::server_list::{Availability, ServerId};
use crate::settings::{Settings, SettingsError};
use crate::slow_start::WarmCapacity;
use crate::subscription::Subscription;
use crate::timer::Timer;
use crate::traffic::Traffic;
use crate::window::SlidingWindow;

/// The decision logic of one node. See the documentation of the [crate] for an example.
///
/// The default value has no classes and fails every request.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: fastrand::Rng,
    /// Time of the event that is being handled, in milliseconds.
    pub(crate) now_ms: f64,
    /// Mean latency objective of the classes, in milliseconds. Most other durations are multiples of it.
    pub(crate) objective_ms: f64,
    /// Actions that result from the event that is being handled.
    pub(crate) actions: Vec<Action>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The ready servers in an order that all nodes share, rotated so that this node's subset is first.
    pub(crate) ring: Vec<ServerId>,
    pub(crate) subscription: Subscription,
    pub(crate) sampler: Sampler,
    pub(crate) warm_capacity: WarmCapacity,
    pub(crate) scratch: Scratch,
    pub(crate) pending: HashMap<RequestId, PendingRequest>,
    /// Emptied attempt lists that later requests reuse.
    pub(crate) spare_attempt_lists: Vec<Vec<Attempt>>,
    pub(crate) key_queues: KeyQueues,
    pub(crate) retries: RetryLimiter,
    pub(crate) admission: Admission,
    pub(crate) latency: LatencyModel,
    pub(crate) traffic: Traffic,
    pub(crate) health_checks: HealthChecks,
    pub(crate) idle_connections: IdleConnections,
    /// Times at which requests were served.
    pub(crate) served: SlidingWindow,
}

impl Balancer {
    /// Creates a balancer without servers. The same settings, seed and events lead to the same actions.
    ///
    /// # Errors
    ///
    /// Returns the name of the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let objectives = settings.classes.iter().map(|c| c.latency_objective_ms);
        let objective_ms = objectives.sum::<f64>() / settings.classes.len() as f64;
        let class_multiples = settings
            .classes
            .iter()
            .map(|class| initial_class_multiple(class.latency_objective_ms / objective_ms));
        Ok(Self {
            random: fastrand::Rng::with_seed(seed),
            retries: RetryLimiter::new(&settings, objective_ms),
            admission: Admission::new(settings.classes.len()),
            latency: LatencyModel {
                by_class: class_multiples.collect(),
                all: LatencyEstimate::default(),
                by_kind: vec![LatencyEstimate::default(); settings.machine_kinds],
            },
            sampler: Sampler::new(settings.machine_kinds),
            traffic: Traffic::new(objective_ms),
            health_checks: HealthChecks::new(&settings),
            objective_ms,
            settings,
            ..Self::default()
        })
    }

    /// Handles an event that happened at `now_ms` and appends the resulting actions, in the order in
    /// which the node must carry them out.
    ///
    /// `now_ms` must not be less than in an earlier call. Events about unknown servers, requests,
    /// attempts and timers are ignored.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        self.now_ms = now_ms;
        match event {
            Event::ServerList(update) => self.update_servers(update),
            Event::Request(request) => self.accept(request),
            Event::Outcome(outcome) => self.attempt_ended(&outcome),
            Event::ClientGone(id) => self.client_gone(id),
            Event::Timer(number) => {
                if let Some(timer) = Timer::from_number(number) {
                    self.timer_expired(timer);
                }
            }
            Event::HealthChecked {
                server,
                elapsed_ms,
                result,
                report,
            } => {
                let report = report.filter(|_| result == AttemptResult::Served);
                self.health_checked(server, elapsed_ms, report);
            }
            Event::Hint { server, weight } => self.apply_hint(server, weight),
            Event::StreamStarted { .. } => {}
        }
        actions.append(&mut self.actions);
    }

    /// Number of servers with a record: those on the list, and removed ones with an attempt in flight.
    #[must_use]
    pub fn servers_known(&self) -> usize {
        self.servers.len()
    }

    /// Number of listed servers that are draining or ejected.
    #[must_use]
    pub fn servers_excluded(&self, now_ms: f64) -> usize {
        let listed = |server: &&Server| server.entry.availability != Availability::Gone;
        self.servers
            .values()
            .filter(listed)
            .filter(|server| !server.is_ready() || server.is_ejected(now_ms))
            .count()
    }

    /// Sets a server's count to its reported load; other servers' counts do not change (HSQ).
    pub(crate) fn apply_report(&mut self, server_id: ServerId, report: Option<LoadReport>) {
        let reading = report.and_then(|report| report.in_flight.or(report.queued));
        if let (Some(server), Some(reading)) = (self.servers.get_mut(&server_id), reading) {
            server.count = Some(reading);
        }
    }

    fn apply_hint(&mut self, server: ServerId, weight: f64) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.withheld_fraction = 1.0 - weight.clamp(0.0, 1.0);
        }
    }
}
