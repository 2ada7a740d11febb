//! The I/O around [`lease`]: its messages go in datagrams of [`gossip`], which authenticates and
//! numbers them; its timer and log lines are here, the admin responses and metrics in `admin`.

mod admin;
mod settings;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;

use gossip::{Event as GossipEvent, Health, MemberId, State};
use lease::{
    Action, ConfigurationRequest, Event, FencingToken, LeaseManager, LogEvent, NodeHealth, NodeId,
    OwnershipChange, Permit, ReconfigurationOutcome, Settings, SettingsError, Shard,
};

use super::fence_file::{self, FenceFileReadError};
use super::{boot_ms, Cluster};
use crate::node::admin::log;
use crate::node::clock::Timer;
use settings::{node_id, node_ids};

pub use settings::LeaseSettings;

/// Why a node cannot take part in leases.
#[derive(Debug)]
pub enum LeaseStartError {
    /// Its fence file cannot be used.
    FenceFile(FenceFileReadError),
    /// Its settings are out of bounds.
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

/// What a node that takes part in leases has beside the sockets.
pub struct LeaseParticipant {
    /// `None`: another process has this node's name.
    manager: RefCell<Option<LeaseManager>>,
    timer: Timer,
    /// The names of the node ids, as far as they are known.
    names: RefCell<BTreeMap<NodeId, String>>,
    /// The latest effect of each shard's owners.
    effects: RefCell<BTreeMap<Shard, Vec<u8>>>,
    fence_file: Option<PathBuf>,
}

impl LeaseParticipant {
    /// The participant of a process that starts at `unix_ms` by the wall clock.
    ///
    /// # Errors
    ///
    /// The fence file cannot be used, or the settings are out of bounds.
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
            fence_file: lease_settings.fence_file.clone(),
        };
        participant.learn_acceptor_names(lease_settings);
        participant
            .names
            .borrow_mut()
            .insert(node_id(node), node.to_owned());
        Ok(participant)
    }

    fn learn_acceptor_names(&self, settings: &LeaseSettings) {
        let names = settings
            .acceptors
            .iter()
            .chain(&settings.previous_acceptors);
        self.names
            .borrow_mut()
            .extend(names.map(|name| (node_id(name), name.clone())));
    }

    /// The number of the configuration of acceptors; 0 where this process takes no part any more.
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
                "leases: the acceptors of set {number} decide alone from now on"
            )),
            LogEvent::ConfigurationMismatch {
                acceptor,
                configuration,
            } => {
                let (acceptor, own) = (self.name_of(acceptor), self.configuration_number());
                log::line(format_args!(
                    "leases: acceptor {acceptor} has another configuration (keepers, shards or times), \
                     its set is {configuration} and this node's {own}"
                ));
            }
        }
    }
}

impl Cluster {
    /// Passes an event to the leases, and does what they ask for.
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
                if let Some(path) = participant.fence_file.clone() {
                    let reserved = fence_file::reserve_tokens(Rc::clone(self), path, token);
                    tokio::task::spawn_local(reserved);
                }
            }
            Action::Effect { shard, payload, .. } => {
                participant.effects.borrow_mut().insert(shard, payload);
            }
        }
    }

    /// Wakes the leases whenever they are due, for as long as it is polled.
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

    /// Tells the leases which nodes are believed to be alive, and how healthy this one is.
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
                let is_fit = !member.is_self || health == NodeHealth::Healthy;
                if is_fit && matches!(member.state, State::Alive | State::Suspect) {
                    candidates.push(id);
                }
                names.entry(id).or_insert(member.name);
            }
        }
        self.handle_lease_event(Event::Candidates(&candidates, health));
    }

    /// Another process has this node's name: this one grants and owns nothing from now on.
    pub(super) fn stop_leases(self: &Rc<Self>) {
        let Some(participant) = &self.leases else {
            return;
        };
        self.handle_lease_event(Event::Leave);
        if participant.manager.borrow_mut().take().is_some() {
            log::line(
                "leases: this process takes no part any more, another process has this node's name",
            );
        }
    }

    /// Replaces the acceptors by those that the operators' file names now, if that is safe.
    pub(super) fn reconfigure_leases(&self, settings: &LeaseSettings) {
        let Some(participant) = &self.leases else {
            return;
        };
        participant.learn_acceptor_names(settings);
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
                    "leases: reconfiguration to keepers {names} (set {}) started, at first together with \
                     the previous ones",
                    settings.configuration
                ));
                participant.timer.set(0.0);
            }
            Err(error) => log::line(format_args!("leases: reconfiguration rejected: {error}")),
        }
    }

    /// Publishes to all nodes what was done as the owner of a shard.
    pub(super) fn publish_effect(self: &Rc<Self>, shard: Shard, payload: &[u8]) {
        self.handle_lease_event(Event::PublishEffect { shard, payload });
    }

    /// The latest effect that an owner of a shard has published.
    pub(super) fn latest_effect(&self, shard: Shard) -> Option<Vec<u8>> {
        self.leases.as_ref()?.effects.borrow().get(&shard).cloned()
    }

    /// Calls `act` with a permit to act on a shard and the time, in milliseconds, if this process
    /// owns the shard now.
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

    /// How many shards there are; 0 where this node takes no part in leases.
    #[must_use]
    pub fn shards(&self) -> Shard {
        let Some(participant) = &self.leases else {
            return 0;
        };
        let manager = participant.manager.borrow();
        // At most 128.
        manager
            .as_ref()
            .map_or(0, |manager| manager.owners(0.0).count()) as Shard
    }
}
