//! The cluster of nodes: the socket, clock and timers around the state machine of [`gossip`], which makes all
//! decisions, and the subsystems whose messages are payloads of its datagrams.
//!
//! It runs only if the operators' file has a section `[instances]` and the platform's settings allow it. [`Cluster`]
//! owns the gossip state, the socket and the address book, which assigns an id to each peer address.

mod address_book;
mod error;
mod fence_file;
mod fleet_log;
mod leases;
mod outlier_detection;
mod settings;
mod socket;
mod status;

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use gossip::{Action, Event, Gossip, LogEvent, MemberId, Settings};
use rustix::time::{clock_gettime, ClockId};
use tokio::net::UdpSocket;

use self::address_book::AddressBook;
use self::settings::ResolvedSettings;
use crate::node::admin::log;
use crate::node::clock::Timer;
use crate::node::config::Config;
use crate::node::dispatcher::Dispatcher;
use crate::node::system_error::retry_at_start;

pub use self::error::ClusterError;
pub use self::leases::LeaseSettings;
pub use self::settings::{ClusterSettings, KeyFileError};

/// Formats the lines of `STATS` for one subsystem. A metric has a name, a value and a kind (`g` gauge, `c` counter).
fn metric_lines(subsystem: &str, metrics: &[(&str, u64, char)]) -> String {
    let mut lines = String::new();
    for (name, value, kind) in metrics {
        // Writing to a string cannot fail.
        let _ = writeln!(lines, "edge_router.{subsystem}_{name}:{value}|{kind}");
    }
    lines
}

/// Milliseconds since boot, including the time in which the system was suspended, so that a process detects its own
/// suspension.
fn boot_ms() -> f64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

async fn bind(address: SocketAddr) -> Result<UdpSocket, ClusterError> {
    retry_at_start(|| UdpSocket::bind(address))
        .await
        .map_err(|source| ClusterError::Bind { address, source })
}

/// This node as a member of the cluster.
pub struct Cluster {
    gossip: RefCell<Gossip>,
    socket: UdpSocket,
    addresses: RefCell<AddressBook>,
    timer: Timer,
    name: String,
    /// Whether the operators' file lists the peers, according to the latest settings. Nothing reads it: the settings
    /// themselves determine whose list is used.
    has_configured_peers: Cell<bool>,
    leases: Option<leases::LeaseParticipant>,
    outlier_detection: Option<outlier_detection::OutlierDetection>,
}

impl Cluster {
    /// Joins the cluster, and spawns its tasks on the current [`LocalSet`](tokio::task::LocalSet). Returns `None` if
    /// the cluster is not configured or not allowed.
    ///
    /// # Errors
    ///
    /// A setting is missing or invalid, a subsystem cannot start, or the address cannot be bound.
    pub async fn start(
        config: &Config,
        settings: Option<&ClusterSettings>,
        lease_settings: Option<&LeaseSettings>,
        outlier_settings: Option<&::outlier_detection::Settings>,
        dispatcher: &Rc<Dispatcher>,
    ) -> Result<Option<Rc<Self>>, ClusterError> {
        let Some(settings) = settings else {
            return Ok(None);
        };
        if !config.peers_allowed {
            log::line(
                "[instances]: ignored, because the platform's settings do not allow datagrams between nodes",
            );
            return Ok(None);
        }
        let resolved = ResolvedSettings::new(config, settings)?;
        let socket = bind(resolved.listen).await?;
        let process_id = fastrand::u64(1..);
        let started_unix_ms = unix_ms();
        let leases = lease_settings
            .map(|leases| {
                leases::LeaseParticipant::new(
                    boot_ms(),
                    leases,
                    &resolved.name,
                    process_id,
                    started_unix_ms,
                )
            })
            .transpose()
            .map_err(ClusterError::subsystem("leases"))?;
        let outlier_detection = outlier_settings
            .map(|settings| {
                outlier_detection::OutlierDetection::new(
                    boot_ms(),
                    *settings,
                    Rc::clone(dispatcher),
                )
            })
            .transpose()
            .map_err(ClusterError::subsystem("word"))?;
        log::line(format_args!(
            "gossip: {} joins cluster {:?} at {} with {} peers",
            resolved.name,
            settings.cluster,
            resolved.listen,
            resolved.peers.len()
        ));
        let gossip_settings = Settings {
            probe_interval_ms: settings.probe_interval_ms,
            suspicion_timeout_ms: settings.suspicion_timeout_ms,
            ..Settings::new(&resolved.name, process_id, started_unix_ms, resolved.key)
        };
        let cluster = Rc::new(Self {
            gossip: RefCell::new(Gossip::new(boot_ms(), gossip_settings)),
            socket,
            addresses: RefCell::default(),
            timer: Timer::new(),
            name: resolved.name,
            has_configured_peers: Cell::new(settings.peers.is_some()),
            leases,
            outlier_detection,
        });
        cluster.set_peers(&resolved.peers);
        cluster.spawn_tasks(lease_settings.and_then(|leases| leases.fleet_log));
        Ok(Some(cluster))
    }

    fn spawn_tasks(self: &Rc<Self>, fleet_log: Option<SocketAddr>) {
        tokio::task::spawn_local(Rc::clone(self).run_timer());
        tokio::task::spawn_local(Rc::clone(self).run_receive_loop());
        if self.leases.is_some() {
            tokio::task::spawn_local(Rc::clone(self).run_lease_timer());
        }
        if self.outlier_detection.is_some() {
            tokio::task::spawn_local(Rc::clone(self).run_outlier_detection());
        }
        if let Some(address) = fleet_log {
            tokio::task::spawn_local(fleet_log::write_fleet_log(Rc::clone(self), address));
        }
    }

    /// Applies the settings that can change without a restart: peers, timings and lease acceptors.
    pub fn reconfigure(
        self: &Rc<Self>,
        config: Option<&Config>,
        settings: &ClusterSettings,
        lease_settings: Option<&LeaseSettings>,
    ) {
        if let Some(leases) = lease_settings {
            self.reconfigure_leases(leases);
        }
        self.has_configured_peers.set(settings.peers.is_some());
        let platform_peers = config.map(|config| &config.peers);
        if let Some(peers) = settings.peers.as_ref().or(platform_peers) {
            self.set_peers(peers);
        }
        self.handle_gossip_event(Event::SetTimings {
            probe_interval_ms: settings.probe_interval_ms,
            suspicion_timeout_ms: settings.suspicion_timeout_ms,
        });
    }

    /// Transfers the leases of this node, and notifies the other nodes that it leaves.
    pub fn leave(self: &Rc<Self>) {
        self.handle_lease_event(lease::Event::Leave);
        self.handle_gossip_event(Event::Leave);
    }

    fn set_peers(self: &Rc<Self>, peers: &[SocketAddr]) {
        let ids = {
            let mut addresses = self.addresses.borrow_mut();
            peers
                .iter()
                .map(|address| addresses.assign(*address))
                .collect()
        };
        self.handle_gossip_event(Event::SetPeers(ids));
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            self.timer.wait(boot_ms).await;
            self.handle_gossip_event(Event::Timer);
        }
    }

    fn handle_gossip_event(self: &Rc<Self>, event: Event<'_>) {
        let mut actions = Vec::new();
        self.gossip
            .borrow_mut()
            .handle(boot_ms(), event, &mut actions);
        let is_view_changed = actions
            .iter()
            .any(|action| matches!(action, Action::Changed(_) | Action::Health(_)));
        for action in actions {
            self.execute(action);
        }
        if is_view_changed {
            self.update_lease_candidates();
            self.update_cluster_size();
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { to, bytes } => self.send_datagram(to, &bytes),
            Action::WakeAt(at_ms) => self.timer.set(at_ms),
            Action::Changed(change) => log::line(format_args!("gossip: {change}")),
            Action::Health(health) => log::line(format_args!("gossip: this node is {health}")),
            Action::Log(event) => {
                log::line(format_args!("gossip: {event}"));
                if matches!(
                    event,
                    LogEvent::NameConflict {
                        is_superseded: true,
                        ..
                    }
                ) {
                    self.stop_leases();
                }
            }
            Action::Payload {
                from,
                process_id,
                bytes,
            } => self.deliver_payload(from, process_id, &bytes),
        }
    }

    /// Delivers a payload to the subsystem that its first byte identifies.
    fn deliver_payload(self: &Rc<Self>, from: MemberId, process_id: u64, bytes: &[u8]) {
        if ::outlier_detection::is_report(bytes) {
            self.receive_outlier_report(from, bytes);
        } else {
            self.handle_lease_event(lease::Event::Message {
                from: lease::NodeId(from.0),
                process_id,
                bytes,
            });
        }
    }
}
