//! Datagrams between the nodes of the fleet: the socket round [`gossip`], which decides all of it.
//!
//! Nothing of it is there unless the operators' file asks for it and the platform's settings allow it.

mod fence_file;
mod fleet_log;
mod leases;
mod word;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::{self, Write};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use gossip::{Action, Event, Gossip, Note, PeerId, Refused, Seal, Settings, State, MOST_DATAGRAM};
use rustix::time::{clock_gettime, ClockId};
use tokio::net::UdpSocket;

pub use leases::LeaseSettings;

use crate::node::admin::log;
use crate::node::clock::Alarm;
use crate::node::config::Config;
use crate::node::driver::Driver;

/// Datagrams that are read a second, whoever sends them: three times what a node of any fleet is sent while all of them
/// start at once, and less than a hundredth of a core. What comes beyond waits in the socket, and is lost there once that
/// is full: requests go first.
const READS_PER_S: f64 = 1_000.0;
/// How many of them may come in a heap, and how many are read in a row before requests have their turn.
const READS_IN_A_HEAP: f64 = 250.0;
const READS_AT_ONCE: usize = 16;
/// How long nothing is read once the heap is used up: the system wakes this thread for each datagram that the socket has
/// room for, so the room is made seldom and not bit by bit.
const PAUSE: Duration = Duration::from_millis(100);
/// The longest key file that is read.
const MOST_KEY: u64 = 4_096;

/// What the operators' file says of the other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Instances {
    /// This node's name; else the platform's.
    pub name: Option<String>,
    /// Where it hears others; else where the platform says.
    pub listen: Option<SocketAddr>,
    /// Where they are; else where the platform says.
    pub peers: Option<Vec<SocketAddr>>,
    /// The fleet's name.
    pub fleet: String,
    /// Where the key is that all nodes share.
    pub key_file: PathBuf,
    /// Where in the operators' file that stands.
    pub key_at: usize,
    /// See [`Settings::probe_ms`].
    pub probe_ms: f64,
    /// See [`Settings::suspect_ms`].
    pub suspect_ms: f64,
}

impl Default for Instances {
    fn default() -> Self {
        Self {
            name: None,
            listen: None,
            peers: None,
            fleet: String::new(),
            key_file: PathBuf::new(),
            key_at: 0,
            probe_ms: 500.0,
            suspect_ms: 2_500.0,
        }
    }
}

impl Instances {
    /// The key: the file's bytes without white space at the ends.
    ///
    /// # Errors
    ///
    /// The file cannot be read, others than its owner may read it, or it holds too little: in words.
    pub fn read_key(&self) -> Result<Vec<u8>, String> {
        use std::io::Read;
        use std::os::unix::fs::PermissionsExt;
        let failed = |error: io::Error| format!("cannot read {}: {error}", self.key_file.display());
        let file = std::fs::File::open(&self.key_file).map_err(failed)?;
        let mode = file.metadata().map_err(failed)?.permissions().mode();
        if mode & 0o077 != 0 {
            let mode = mode & 0o777;
            return Err(format!(
                "{}: others than its owner may use it (mode {mode:03o})",
                self.key_file.display()
            ));
        }
        let mut bytes = Vec::new();
        file.take(MOST_KEY + 1)
            .read_to_end(&mut bytes)
            .map_err(failed)?;
        let key = bytes.trim_ascii();
        if key.len() < gossip::LEAST_KEY || bytes.len() as u64 > MOST_KEY {
            let least = gossip::LEAST_KEY;
            return Err(format!(
                "{}: a key has {least} to {MOST_KEY} bytes",
                self.key_file.display()
            ));
        }
        Ok(key.to_vec())
    }
}

/// Why other nodes cannot be looked for.
#[derive(Debug)]
pub enum FleetError {
    /// Neither the operators' file nor the platform says this.
    Missing(&'static str),
    /// What is said makes no sense.
    Value(String),
    /// The system does not let it listen.
    Listen(SocketAddr, io::Error),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(key) => {
                write!(
                    f,
                    "[instances]: neither the operators' file nor the platform says `{key}`"
                )
            }
            Self::Value(why) => write!(f, "[instances]: {why}"),
            Self::Listen(address, error) => {
                write!(f, "cannot hear other nodes at {address}: {error}")
            }
        }
    }
}

impl std::error::Error for FleetError {}

/// A part's lines among the figures: name, value and kind of each.
fn figure_lines(part: &str, lines: &[(&str, u64, char)]) -> String {
    let line = |(name, value, kind): &(&str, u64, char)| {
        format!("edge_router.{part}_{name}:{value}|{kind}\n")
    };
    lines.iter().map(line).collect()
}

/// Milliseconds since boot, time in suspend included: a process that was suspended has to see that it was.
fn boot_ms() -> f64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6
}

/// Numbers for addresses; one never stands for another address.
#[derive(Debug, Default)]
struct Addresses {
    numbers: HashMap<SocketAddr, PeerId>,
    all: Vec<SocketAddr>,
    now: Vec<PeerId>,
}

impl Addresses {
    fn set(&mut self, peers: &[SocketAddr]) {
        self.now.clear();
        for address in peers {
            let all = &mut self.all;
            let number = *self.numbers.entry(*address).or_insert_with(|| {
                all.push(*address);
                all.len() - 1
            });
            self.now.push(number);
        }
    }
}

/// What this node knows of the others.
pub struct Fleet {
    gossip: RefCell<Gossip>,
    socket: UdpSocket,
    addresses: RefCell<Addresses>,
    alarm: Alarm,
    name: String,
    /// Whether the operators' file names the peers, so that a new list of the platform's says nothing.
    names_peers: Cell<bool>,
    leases: Option<leases::LeaseParticipant>,
    word: Option<word::Part>,
}

impl Fleet {
    /// Begins to look for other nodes, where that is asked for and allowed.
    ///
    /// # Errors
    ///
    /// Something that it takes is missing or makes no sense, or it cannot listen.
    pub async fn start(
        config: &Config,
        instances: Option<&Instances>,
        lease_settings: Option<&LeaseSettings>,
        said: Option<&outlier_detection::Settings>,
        driver: &Rc<Driver>,
    ) -> Result<Option<Rc<Self>>, FleetError> {
        let Some(instances) = instances else {
            return Ok(None);
        };
        if !config.peers_allowed {
            log::line("the settings do not allow word between nodes: [instances] stays off");
            return Ok(None);
        }
        let name = instances
            .name
            .clone()
            .or_else(|| config.name.clone())
            .ok_or(FleetError::Missing("name"))?;
        if !gossip::is_name(&name) {
            return Err(FleetError::Value(format!(
                "{name:?} cannot be a node's name"
            )));
        }
        let listen = instances
            .listen
            .or(config.peer_listen)
            .ok_or(FleetError::Missing("listen"))?;
        let peers = instances
            .peers
            .clone()
            .unwrap_or_else(|| config.peers.clone());
        let key = instances.read_key().map_err(FleetError::Value)?;
        let socket = UdpSocket::bind(listen)
            .await
            .map_err(|error| FleetError::Listen(listen, error))?;
        let unix = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let process = fastrand::u64(1..);
        let leases = lease_settings
            .map(|settings| {
                let unix_ms = unix.as_millis() as u64;
                leases::LeaseParticipant::new(boot_ms(), settings, &name, process, unix_ms)
            })
            .transpose()
            .map_err(|error| FleetError::Value(error.to_string()))?;
        let word = said
            .map(|said| word::Part::new(boot_ms(), *said, Rc::clone(driver)))
            .transpose()
            .map_err(FleetError::Value)?;
        let settings = Settings {
            probe_ms: instances.probe_ms,
            suspect_ms: instances.suspect_ms,
            ..Settings::new(
                &name,
                process,
                unix.as_millis() as u64,
                Seal::new(&instances.fleet, &key),
            )
        };
        let fleet = Rc::new(Self {
            gossip: RefCell::new(Gossip::new(boot_ms(), settings)),
            socket,
            addresses: RefCell::default(),
            alarm: Alarm::new(),
            name,
            names_peers: Cell::new(instances.peers.is_some()),
            leases,
            word,
        });
        log::line(format_args!(
            "{} looks for {} other nodes of {:?} at {listen}",
            fleet.name,
            peers.len(),
            instances.fleet
        ));
        fleet.set_peers(&peers);
        tokio::task::spawn_local(Rc::clone(&fleet).wake_up());
        tokio::task::spawn_local(Rc::clone(&fleet).listen());
        if fleet.leases.is_some() {
            tokio::task::spawn_local(Rc::clone(&fleet).run_lease_timer());
        }
        if fleet.word.is_some() {
            tokio::task::spawn_local(Rc::clone(&fleet).wake_word());
        }
        if let Some(register) = lease_settings.and_then(|settings| settings.fleet_log) {
            tokio::task::spawn_local(fleet_log::write_fleet_log(Rc::clone(&fleet), register));
        }
        Ok(Some(fleet))
    }

    /// Takes what may change without a restart: peers, timings and keepers.
    pub fn change(
        self: &Rc<Self>,
        config: Option<&Config>,
        instances: &Instances,
        lease_settings: Option<&LeaseSettings>,
    ) {
        if let Some(settings) = lease_settings {
            self.reconfigure_leases(settings);
        }
        self.names_peers.set(instances.peers.is_some());
        let platform = config
            .filter(|_| !self.names_peers.get())
            .map(|config| config.peers.clone());
        if let Some(peers) = instances.peers.clone().or(platform) {
            self.set_peers(&peers);
        }
        let Instances {
            probe_ms,
            suspect_ms,
            ..
        } = *instances;
        self.feed(Event::Timings {
            probe_ms,
            suspect_ms,
        });
    }

    /// Says goodbye, and gives to others what it owns.
    pub fn leave(self: &Rc<Self>) {
        self.handle_lease_event(lease::Event::Leave);
        self.feed(Event::Leave);
    }

    fn set_peers(self: &Rc<Self>, peers: &[SocketAddr]) {
        let numbers = {
            let mut addresses = self.addresses.borrow_mut();
            addresses.set(peers);
            addresses.now.clone()
        };
        self.feed(Event::Peers(numbers));
    }

    fn feed(self: &Rc<Self>, event: Event<'_>) {
        let mut actions = Vec::new();
        self.gossip
            .borrow_mut()
            .handle(boot_ms(), event, &mut actions);
        let mut is_other = false;
        for action in actions {
            match action {
                Action::Send { to, bytes } => self.send(to, &bytes),
                Action::WakeAt(at) => self.alarm.set(at),
                Action::Changed(change) => {
                    is_other = true;
                    log::line(format_args!("fleet: {change}"));
                }
                Action::Health(health) => {
                    is_other = true;
                    log::line(format_args!("fleet: this node is {health}"));
                }
                Action::Note(note) => {
                    log::line(format_args!("fleet: {note}"));
                    if matches!(note, Note::Rival { yields: true, .. }) {
                        self.stop_leases();
                    }
                }
                Action::Word { from, bytes, .. } if outlier_detection::is_report(&bytes) => {
                    self.heard_word(from, &bytes);
                }
                Action::Word {
                    from,
                    process,
                    bytes,
                } => {
                    let from = lease::NodeId(from.0);
                    self.handle_lease_event(lease::Event::Message {
                        from,
                        process_id: process,
                        bytes: &bytes,
                    });
                }
            }
        }
        if is_other {
            self.update_lease_candidates();
            self.say_how_many();
        }
    }

    fn send(&self, to: PeerId, bytes: &[u8]) {
        let address = self.addresses.borrow().all.get(to).copied();
        if let Some(address) = address {
            // One that the system does not take is lost, as it may be anywhere on its way.
            let _ = self.socket.try_send_to(bytes, address);
        }
    }

    async fn wake_up(self: Rc<Self>) {
        loop {
            self.alarm.rings(boot_ms).await;
            self.feed(Event::Due);
        }
    }

    async fn listen(self: Rc<Self>) {
        // One more than the longest, to see that one is longer.
        let mut buffer = [0; MOST_DATAGRAM + 1];
        let (mut left, mut at) = (READS_IN_A_HEAP, boot_ms());
        loop {
            if self.socket.readable().await.is_err() {
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            let now = boot_ms();
            left = (left + (now - at) / 1e3 * READS_PER_S).min(READS_IN_A_HEAP);
            at = now;
            if left < 1.0 {
                self.gossip.borrow_mut().refuse(Refused::Flood);
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            for _ in 0..READS_AT_ONCE {
                // An error is another node's: that it is not there. The silence tells as much.
                match self.socket.try_recv_from(&mut buffer) {
                    Ok((length, from)) => self.came(from, &buffer[..length]),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                    Err(_) => {}
                }
                left -= 1.0;
            }
            tokio::task::yield_now().await;
        }
    }

    fn came(self: &Rc<Self>, from: SocketAddr, bytes: &[u8]) {
        let from = self.addresses.borrow().numbers.get(&from).copied();
        match from {
            Some(from) => self.feed(Event::Datagram { from, bytes }),
            None => self.gossip.borrow_mut().refuse(Refused::Stranger),
        }
    }

    /// What `MEMBERS` answers, but for its last line.
    #[must_use]
    pub fn members(&self) -> String {
        let (gossip, addresses) = (self.gossip.borrow(), self.addresses.borrow());
        let now = boot_ms();
        let mut lines = Vec::new();
        let mut own = String::new();
        for member in gossip.members() {
            if member.is_self {
                let (health, incarnation) = (gossip.health(), member.incarnation);
                own = format!(
                    "self {} {health} {incarnation} {}\n",
                    member.name, member.state
                );
                continue;
            }
            let since = (now - member.since_ms).max(0.0);
            let heard = member
                .heard_ms
                .map_or("-".into(), |at| format!("{:.0}", (now - at).max(0.0)));
            let address = member.address.and_then(|at| addresses.all.get(at));
            let address = address.map_or("-".into(), ToString::to_string);
            let (name, state, incarnation) = (&member.name, member.state, member.incarnation);
            lines.push(format!(
                "{name} {state} {incarnation} {since:.0} {heard} {address}\n"
            ));
        }
        lines.sort_unstable();
        own + &lines.concat()
    }

    /// Its lines among the figures.
    #[must_use]
    pub fn figures(&self) -> String {
        let gossip = self.gossip.borrow();
        let figures = gossip.figures();
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            let _ = writeln!(text, "edge_router.fleet_{name}:{value}|{kind}"); // Text grows without fail.
        };
        for state in [State::Alive, State::Suspect, State::Gone, State::Left] {
            let count = gossip
                .members()
                .filter(|member| !member.is_self && member.state == state)
                .count();
            line(&format!("members.{state}"), count as u64, 'g');
        }
        line("health", gossip.health() as u64, 'g');
        line("verdicts", figures.verdicts, 'c');
        line("refutations", figures.refutations, 'c');
        line("datagrams_in", figures.received.0, 'c');
        line("bytes_in", figures.received.1, 'c');
        line("datagrams_out", figures.sent.0, 'c');
        line("bytes_out", figures.sent.1, 'c');
        for (why, count) in Refused::ALL.iter().zip(figures.refused) {
            line(&format!("refused.{}", why.word()), count, 'c');
        }
        text + &self.lease_metrics() + &self.word_figures()
    }
}
