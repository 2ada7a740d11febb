//! The I/O around the state machine of [`lease`]: its messages are payloads of the datagrams of
//! [`gossip`], which authenticates and numbers them. The timer and the log lines are here, the
//! admin responses and metrics in `admin`.

mod admin;
mod settings;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use gossip::{Event as GossipEvent, Health, MemberId, State};
use lease::{
    Action, ConfigurationRequest, Event, FencingToken, LeaseManager, LogEvent, NodeHealth, NodeId,
    OwnershipChange, Permit, ReconfigurationOutcome, Settings, SettingsError, Shard,
};

use super::fence_file::{self, FenceFile, FenceFileReadError};
use super::{boot_ms, Cluster};
use crate::node::admin::log;
use crate::node::clock::Timer;
use settings::{node_id, node_ids};

pub use settings::LeaseSettings;

/// An error that prevents a node from taking part in leases.
#[derive(Debug)]
pub enum LeaseStartError {
    /// Its fence file cannot be used.
    FenceFile(FenceFileReadError),
    /// A setting is out of range.
    Settings(SettingsError),
}

impl fmt::Display for LeaseStartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FenceFile(error) => error.fmt(f),
            Self::Settings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for LeaseStartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::FenceFile(error) => Some(error),
            Self::Settings(error) => Some(error),
        }
    }
}

/// State of a node that takes part in leases.
pub struct LeaseParticipant {
    /// `None` once another process of the same name has superseded this one.
    manager: RefCell<Option<LeaseManager>>,
    timer: Timer,
    /// Names of the nodes that are configured as acceptors or were members of the cluster.
    names: RefCell<BTreeMap<NodeId, String>>,
    /// Payload of the latest effect that an owner of each shard has published.
    effects: RefCell<BTreeMap<Shard, Vec<u8>>>,
    fence_file: Option<Rc<FenceFile>>,
}

impl LeaseParticipant {
    /// Creates the participant of a process that starts at `unix_ms` of the wall clock.
    ///
    /// # Errors
    ///
    /// The fence file cannot be used, or a setting is out of range.
    pub fn new(
        now_ms: f64,
        lease_settings: &LeaseSettings,
        node: &str,
        process_id: u64,
        unix_ms: u64,
    ) -> Result<Self, LeaseStartError> {
        let reserved_token = lease_settings
            .fence_file
            .as_ref()
            .map(|path| fence_file::read(path, node))
            .transpose()
            .map_err(LeaseStartError::FenceFile)?;
        let settings = Settings {
            token_floor: FencingToken::floor(unix_ms),
            reserved_token,
            ..lease_settings.for_process(node, process_id)
        };
        let manager = LeaseManager::new(now_ms, settings).map_err(LeaseStartError::Settings)?;
        let participant = Self {
            manager: RefCell::new(Some(manager)),
            timer: Timer::new(),
            names: RefCell::default(),
            effects: RefCell::default(),
            fence_file: lease_settings
                .fence_file
                .clone()
                .map(|path| FenceFile::new(path, node)),
        };
        participant.add_acceptor_names(lease_settings);
        participant
            .names
            .borrow_mut()
            .insert(node_id(node), node.to_owned());
        Ok(participant)
    }

    fn add_acceptor_names(&self, settings: &LeaseSettings) {
        let names = settings
            .acceptors
            .iter()
            .chain(&settings.previous_acceptors);
        self.names
            .borrow_mut()
            .extend(names.map(|name| (node_id(name), name.clone())));
    }

    /// The number of the configuration of acceptors; 0 if this process no longer takes part.
    fn configuration_number(&self) -> u32 {
        self.manager
            .borrow()
            .as_ref()
            .map_or(0, |manager| manager.configuration().number)
    }

    fn name_of(&self, node: NodeId) -> String {
        self.names
            .borrow()
            .get(&node)
            .cloned()
            .unwrap_or_else(|| format!("{:016x}", node.0))
    }

    fn log_ownership_change(&self, shard: Shard, token: FencingToken, change: OwnershipChange) {
        match change {
            OwnershipChange::Transferred(to) => {
                let to = self.name_of(to);
                log::line(format_args!(
                    "leases: shard {shard} transferred to {to}, fencing token {token}"
                ));
            }
            change => log::line(format_args!(
                "leases: shard {shard} {change}, fencing token {token}"
            )),
        }
    }

    fn log_event(&self, event: LogEvent) {
        match event {
            LogEvent::AcceptorReady => {
                log::line("leases: this acceptor grants leases from now on");
            }
            LogEvent::ConfigurationSettled(number) => log::line(format_args!(
                "leases: reconfiguration completed, only the acceptors of set {number} decide from \
                 now on"
            )),
            LogEvent::ConfigurationMismatch {
                acceptor,
                configuration,
            } => {
                let (acceptor, own) = (self.name_of(acceptor), self.configuration_number());
                log::line(format_args!(
                    "leases: acceptor {acceptor} has a different configuration (keepers, shards or \
                     lease times), its set is {configuration} and this node's {own}"
                ));
            }
        }
    }
}

impl Cluster {
    /// Passes an event to the lease manager and executes the resulting actions.
    pub(super) fn handle_lease_event(self: &Rc<Self>, event: Event<'_>) {
        let Some(participant) = &self.leases else {
            return;
        };
        let mut actions = Vec::new();
        if let Some(manager) = participant.manager.borrow_mut().as_mut() {
            manager.handle(boot_ms(), event, &mut actions);
        }
        for action in actions {
            self.execute_lease_action(participant, action);
        }
    }

    fn execute_lease_action(self: &Rc<Self>, participant: &LeaseParticipant, action: Action) {
        match action {
            Action::Send { to, bytes } => self.handle_gossip_event(GossipEvent::SendPayload {
                to: MemberId(to.0),
                bytes: &bytes,
            }),
            Action::WakeAt(at_ms) => participant.timer.set(at_ms),
            Action::OwnershipChanged {
                shard,
                token,
                change,
            } => participant.log_ownership_change(shard, token, change),
            Action::Log(event) => participant.log_event(event),
            Action::ReserveTokens(token) => {
                if let Some(fence_file) = &participant.fence_file {
                    let cluster = Rc::clone(self);
                    let confirm =
                        move |token| cluster.handle_lease_event(Event::TokensReserved(token));
                    fence_file.reserve(token, confirm);
                }
            }
            Action::Effect { shard, payload, .. } => {
                participant.effects.borrow_mut().insert(shard, payload);
            }
        }
    }

    /// Passes timer expiries to the lease manager, for as long as the future is polled.
    pub(super) async fn run_lease_timer(self: Rc<Self>) {
        let Some(participant) = &self.leases else {
            return;
        };
        participant.timer.set(0.0);
        loop {
            participant.timer.wait(boot_ms).await;
            self.handle_lease_event(Event::TimerExpired);
        }
    }

    /// Passes the nodes that are candidates for owning shards, and this node's health, to the lease
    /// manager.
    pub(super) fn update_lease_candidates(self: &Rc<Self>) {
        let Some(participant) = &self.leases else {
            return;
        };
        let mut candidates = Vec::new();
        let health;
        {
            let gossip = self.gossip.borrow();
            health = match gossip.health() {
                Health::Well => NodeHealth::Healthy,
                Health::Degraded => NodeHealth::Degraded,
                Health::Isolated => NodeHealth::Isolated,
            };
            let mut names = participant.names.borrow_mut();
            for member in gossip.members() {
                let id = node_id(&member.name);
                let is_eligible = !member.is_self || health == NodeHealth::Healthy;
                if is_eligible && matches!(member.state, State::Alive | State::Suspect) {
                    candidates.push(id);
                }
                names.entry(id).or_insert(member.name);
            }
        }
        self.handle_lease_event(Event::Candidates(&candidates, health));
    }

    /// Stops taking part in leases, because another process of the same name has superseded this
    /// one. From now on this process grants and owns nothing.
    pub(super) fn stop_leases(self: &Rc<Self>) {
        let Some(participant) = &self.leases else {
            return;
        };
        self.handle_lease_event(Event::Leave);
        if participant.manager.borrow_mut().take().is_some() {
            log::line(
                "leases: this process no longer takes part, another process has this node's name",
            );
        }
    }

    /// Starts to replace the acceptors with those that the operators' file names now, if that is
    /// safe.
    pub(super) fn reconfigure_leases(&self, settings: &LeaseSettings) {
        let Some(participant) = &self.leases else {
            return;
        };
        participant.add_acceptor_names(settings);
        let request = ConfigurationRequest {
            number: settings.configuration,
            acceptors: &node_ids(&settings.acceptors),
            previous_acceptors: &node_ids(&settings.previous_acceptors),
        };
        let outcome = match participant.manager.borrow_mut().as_mut() {
            Some(manager) => manager.reconfigure(boot_ms(), request),
            None => return,
        };
        match outcome {
            Ok(ReconfigurationOutcome::Unchanged) => {}
            Ok(ReconfigurationOutcome::Started) => {
                let names = settings.acceptors.join(", ");
                log::line(format_args!(
                    "leases: reconfiguration to keepers {names} (set {}) started, jointly with \
                     the previous ones until it completes",
                    settings.configuration
                ));
                participant.timer.set(0.0);
            }
            Err(error) => log::line(format_args!("leases: reconfiguration rejected: {error}")),
        }
    }

    /// Publishes an effect to all nodes, as the owner of the shard.
    pub(super) fn publish_effect(self: &Rc<Self>, shard: Shard, payload: &[u8]) {
        self.handle_lease_event(Event::PublishEffect { shard, payload });
    }

    /// The payload of the latest effect that an owner of a shard has published.
    pub(super) fn latest_effect(&self, shard: Shard) -> Option<Vec<u8>> {
        self.leases.as_ref()?.effects.borrow().get(&shard).cloned()
    }

    /// Calls `act` with a permit for a shard and the current time, in milliseconds since boot, if
    /// this process owns the shard now.
    pub fn with_permit<T>(
        &self,
        shard: Shard,
        act: impl FnOnce(&Permit<'_>, f64) -> T,
    ) -> Option<T> {
        let participant = self.leases.as_ref()?;
        let manager = participant.manager.borrow();
        let now_ms = boot_ms();
        let permit = manager.as_ref()?.permit(now_ms, shard)?;
        Some(act(&permit, now_ms))
    }

    /// The number of shards; 0 if this node does not take part in leases.
    #[must_use]
    pub fn shards(&self) -> Shard {
        let Some(participant) = &self.leases else {
            return 0;
        };
        let manager = participant.manager.borrow();
        // The cast does not truncate: there are at most 128 shards.
        manager
            .as_ref()
            .map_or(0, |manager| manager.owners(0.0).count()) as Shard
    }
}
