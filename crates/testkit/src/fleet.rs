//! A fleet of processes of the program, with faults between them.

use std::collections::BTreeMap;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::fs::PermissionsExt;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use simulation::{Fault, FaultSchedule};
use tempfile::TempDir;

use crate::discovery::{endpoint_list, Discovery};
use crate::node::{config, settings_with_latency_objective, Node};
use crate::relay::{RelayTotals, Relays};
use crate::server::{Reply, Server};

/// The longest datagram that the platform lets nodes send one another.
const MOST_DATAGRAM: usize = 256;
/// How soon answers are wanted: nodes have forgotten in seconds that a server's first answer was slow.
const AIM_MS: u64 = 500;
/// The most processes of a fleet: each has an address of its own.
const MOST_NODES: usize = 30;

/// A line of what a node answers to `MEMBERS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What is believed of it.
    pub state: String,
    /// In which incarnation.
    pub incarnation: u64,
    /// When it was heard, in milliseconds ago.
    pub heard_ms: Option<u64>,
}

/// What a node answers to `MEMBERS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// How well it hears and is heard.
    pub health: String,
    /// Its own incarnation.
    pub incarnation: u64,
    /// What it takes itself for.
    pub own_state: String,
    /// The others, by name.
    pub other_members: BTreeMap<String, Member>,
}

impl Members {
    fn read(text: &str) -> Option<Self> {
        let mut lines = text.strip_suffix("EOF\n")?.lines();
        let own: Vec<_> = lines.next()?.split(' ').collect();
        let ["self", _, health, incarnation, state] = own[..] else {
            return None;
        };
        let other = |line: &str| {
            let words: Vec<_> = line.split(' ').collect();
            let [name, state, incarnation, _, heard, _] = words[..] else {
                return None;
            };
            let member = Member {
                state: state.into(),
                incarnation: incarnation.parse().ok()?,
                heard_ms: heard.parse().ok(),
            };
            Some((name.to_owned(), member))
        };
        let other_members = lines.map(other).collect::<Option<_>>()?;
        Some(Self {
            health: health.into(),
            incarnation: incarnation.parse().ok()?,
            own_state: state.into(),
            other_members,
        })
    }

    /// The state of another node; `-` of one that it does not know.
    #[must_use]
    pub fn state(&self, name: &str) -> &str {
        self.other_members
            .get(name)
            .map_or("-", |member| &member.state)
    }
}

struct Slot {
    name: String,
    operators: String,
    node: Option<Node>,
    stopped_until: Option<Instant>,
    /// The log of processes that have ended.
    past: Vec<(Instant, String)>,
}

/// A fleet. Its processes end with it, also where a test panics.
pub struct Fleet {
    slots: Vec<Slot>,
    relays: Relays,
    listen: Vec<SocketAddr>,
    folder: TempDir,
    discovery: Discovery,
    /// The server that all its nodes send requests to.
    pub server: Server,
    /// Others beside it, before the first node is started.
    pub extra_servers: Vec<Server>,
}

impl Fleet {
    /// So many nodes, started; `operators` is added to the operators' file of each, behind `[instances]` and its keys.
    #[must_use]
    pub fn start(nodes: usize, seed: u64, operators: &str) -> Self {
        let mut fleet = Self::prepare(nodes, seed, operators);
        (0..nodes).for_each(|node| fleet.start_node(node));
        fleet
    }

    /// The same, with none of them started.
    #[must_use]
    pub fn prepare(nodes: usize, seed: u64, operators: &str) -> Self {
        assert!((1..=MOST_NODES).contains(&nodes), "1 to {MOST_NODES} nodes");
        // Addresses of this process's own, so that nobody else's socket is there, and the same after a restart.
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let process = std::process::id();
        let [_, _, high, low] = process.to_be_bytes();
        let port = 17_000 + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = |node: usize| {
            let ip = Ipv4Addr::new(127, 64 + high % 64, low, 10 + node as u8);
            SocketAddr::new(IpAddr::V4(ip), port)
        };
        let listen: Vec<_> = (0..nodes).map(address).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let key = folder.path().join("key");
        fs::write(&key, "a key that all nodes share\n").expect("a file");
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600)).expect("a file");
        let key = key.display();
        let operators =
            format!("[instances]\nfleet = \"holds\"\nkey_file = \"{key}\"\n{operators}");
        let slot = |node| Slot {
            name: format!("n{node}"),
            operators: operators.clone(),
            node: None,
            stopped_until: None,
            past: Vec::new(),
        };
        Self {
            slots: (0..nodes).map(slot).collect(),
            relays: Relays::start(listen.clone(), seed),
            listen,
            folder,
            discovery: Discovery::start(),
            server: Server::start(|_| Reply::ok("yes")).without_recording(),
            extra_servers: Vec::new(),
        }
    }

    /// How many nodes it has, running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether it has none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Where the key is that its nodes share.
    #[must_use]
    pub fn key_file(&self) -> std::path::PathBuf {
        self.folder.path().join("key")
    }

    /// What the operators' file of a node says.
    #[must_use]
    pub fn operators_file(&self, node: usize) -> &str {
        &self.slots[node].operators
    }

    /// Gives a node another operators' file, from its next start on.
    pub fn set_operators_file(&mut self, node: usize, text: &str) {
        self.slots[node].operators = text.into();
    }

    /// Gives a node another name, from its next start on.
    pub fn rename(&mut self, node: usize, name: &str) {
        self.slots[node].name = name.into();
    }

    /// A node's name.
    #[must_use]
    pub fn name(&self, node: usize) -> &str {
        &self.slots[node].name
    }

    /// The platform's configuration of a node.
    #[must_use]
    pub fn config(&self, node: usize) -> String {
        let servers = [&self.server]
            .into_iter()
            .chain(&self.extra_servers)
            .enumerate();
        let servers: Vec<_> = servers
            .map(|(at, server)| server.endpoint_entry(&format!("s-{at}"), "ready"))
            .collect();
        let known = endpoint_list(1, true, &servers);
        let peers: Vec<_> = self.relays.peers[node]
            .iter()
            .map(|at| format!("\"{at}\""))
            .collect();
        let text = config(
            self.discovery.address,
            &known,
            &settings_with_latency_objective(AIM_MS, 15_000),
        );
        text.replace("\"n0\"", &format!("\"{}\"", self.slots[node].name))
            .replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"")
            .replace("\"cancel\":true", "\"cancel\":true,\"peers\":true")
            .replace(
                "\"discovery\":\"1",
                &format!(
                    "\"peer_listen\":\"{}\",\"peers\":[{}],\"discovery\":\"1",
                    self.listen[node],
                    peers.join(",")
                ),
            )
    }

    /// Where a node hears the others.
    #[must_use]
    pub fn gossip_address(&self, node: usize) -> SocketAddr {
        self.listen[node]
    }

    /// Starts a node, where it does not run.
    pub fn start_node(&mut self, node: usize) {
        if self.slots[node].node.is_none() {
            let started = Node::start_with_operators_file(
                &self.config(node),
                Some(&self.slots[node].operators),
            );
            self.slots[node].node = Some(started);
        }
    }

    /// A node that runs.
    #[must_use]
    pub fn node(&self, node: usize) -> &Node {
        self.slots[node].node.as_ref().expect("it runs")
    }

    /// Whether a node runs and is not stopped.
    #[must_use]
    pub fn is_up(&self, node: usize) -> bool {
        self.slots[node].node.is_some() && self.slots[node].stopped_until.is_none()
    }

    /// SIGKILL.
    pub fn kill(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        slot.stopped_until = None;
        if let Some(node) = slot.node.take() {
            slot.past.extend(node.log_with_times());
            drop(node);
        }
    }

    /// SIGTERM, and its end.
    pub fn terminate(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        if let Some(mut node) = slot.node.take() {
            node.terminate();
            assert!(node.wait().success(), "it ends well");
            slot.past.extend(node.log_with_times());
        }
    }

    /// SIGSTOP.
    pub fn pause(&mut self, node: usize) {
        self.node(node).signal(Signal::STOP);
        self.slots[node].stopped_until = Some(Instant::now() + Duration::from_secs(86_400));
    }

    /// SIGCONT.
    pub fn resume(&mut self, node: usize) {
        self.slots[node].stopped_until = None;
        self.node(node).signal(Signal::CONT);
    }

    /// Injects a fault. A pause ends in [`Fleet::wait`].
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Pause { node, ms } if self.slots[*node].node.is_some() => {
                let until = Instant::now() + Duration::from_secs_f64(ms / 1e3);
                let until = self.slots[*node]
                    .stopped_until
                    .map_or(until, |held| held.max(until));
                self.pause(*node);
                self.slots[*node].stopped_until = Some(until);
            }
            Fault::Pause { .. } => {}
            Fault::Kill { node } => self.kill(*node),
            Fault::Start { node } => self.start_node(*node),
            links => self.relays.apply(links),
        }
    }

    /// Waits, and lets pauses end that are due.
    pub fn wait(&mut self, time: Duration) {
        let end = Instant::now() + time;
        loop {
            let now = Instant::now();
            let due = |slot: &Slot| slot.stopped_until.is_some_and(|until| until <= now);
            let due: Vec<_> = (0..self.slots.len())
                .filter(|node| due(&self.slots[*node]))
                .collect();
            due.into_iter().for_each(|node| self.resume(node));
            if now >= end {
                return;
            }
            thread::sleep((end - now).min(Duration::from_millis(10)));
        }
    }

    /// Applies a fault schedule, whose times count from now.
    pub fn apply_schedule(&mut self, schedule: &FaultSchedule) {
        let start = Instant::now();
        for scheduled in &schedule.faults {
            let due = start + Duration::from_secs_f64(scheduled.at_ms / 1e3);
            self.wait(due.saturating_duration_since(Instant::now()));
            self.apply(&scheduled.fault);
        }
    }

    /// Cuts all ways between nodes of different sides, and heals the others.
    pub fn partition(&mut self, side: impl Fn(usize) -> usize) {
        self.apply(&Fault::HealAll);
        for from in 0..self.len() {
            for to in (0..self.len()).filter(|to| side(from) != side(*to)) {
                self.apply(&Fault::Cut { from, to });
            }
        }
    }

    /// What a node says of the others.
    #[must_use]
    pub fn members(&self, node: usize) -> Members {
        let text = self.node(node).admin_command("MEMBERS\n");
        Members::read(&text).unwrap_or_else(|| panic!("no members: {text}"))
    }

    /// What a node says of leases: who owns each shard, and for how long it itself may act on it, in milliseconds.
    #[must_use]
    pub fn owners(&self, node: usize) -> Vec<(String, u64)> {
        let text = self.node(node).admin_command("OWNERS\n");
        let row = |line: &str| {
            let words: Vec<_> = line.split(' ').collect();
            let [_, owner, _, left, _] = words[..] else {
                return None;
            };
            Some((owner.to_owned(), left.parse().ok()?))
        };
        text.lines()
            .filter(|line| !line.starts_with("self "))
            .filter_map(row)
            .collect()
    }

    /// Whether so many shards have one owner each, by its own word; all nodes that run are asked once.
    ///
    /// # Errors
    ///
    /// One has none, or several: by the answers, which come one after the other.
    pub fn all_owned(&self, shards: usize) -> Result<(), String> {
        let mut owners = vec![Vec::new(); shards];
        for node in (0..self.len()).filter(|node| self.is_up(*node)) {
            for (owners, (_, left)) in owners.iter_mut().zip(self.owners(node)) {
                if left > 0 {
                    owners.push(node);
                }
            }
        }
        match owners.iter().position(|owners| owners.len() != 1) {
            Some(shard) => Err(format!("shard {shard} is owned by {:?}", owners[shard])),
            None => Ok(()),
        }
    }

    /// Which node owns a shard, by its own word. A node that stands still is not asked.
    ///
    /// # Errors
    ///
    /// None, or several: by the answers, which come one after the other.
    pub fn owner(&self, shard: usize) -> Result<usize, String> {
        let asked = (0..self.len()).filter(|node| self.is_up(*node));
        let owns = |node: &usize| {
            self.owners(*node)
                .get(shard)
                .is_some_and(|(_, left)| *left > 0)
        };
        let owners: Vec<_> = asked.filter(owns).collect();
        match owners[..] {
            [owner] => Ok(owner),
            _ => Err(format!("shard {shard} is owned by {owners:?}")),
        }
    }

    /// Who errs on whom: those that run must be alive to all that run, in their own incarnation, and others must not.
    #[must_use]
    pub fn disagreement(&self) -> Option<String> {
        let up: Vec<_> = (0..self.len()).filter(|node| self.is_up(*node)).collect();
        let views: Vec<_> = up.iter().map(|node| (*node, self.members(*node))).collect();
        for (of, view) in &views {
            for node in (0..self.len()).filter(|node| node != of) {
                let own = views
                    .iter()
                    .find(|(held, _)| *held == node)
                    .map(|(_, own)| own.incarnation);
                let held = view.other_members.get(&self.slots[node].name);
                let is_right = match (own, held) {
                    (Some(own), Some(held)) => held.state == "alive" && held.incarnation == own,
                    (Some(_), None) => false,
                    (None, held) => {
                        held.is_none_or(|held| held.state == "gone" || held.state == "left")
                    }
                };
                if !is_right {
                    return Some(format!(
                        "{} holds {} for {held:?}, itself {own:?}",
                        self.name(*of),
                        self.name(node)
                    ));
                }
            }
        }
        None
    }

    /// Waits until all agree, and tells how long it took.
    pub fn agree_within(&mut self, time: Duration) -> Duration {
        self.wait_for("all agree", time, |fleet| {
            fleet.disagreement().map_or(Ok(()), Err)
        })
    }

    /// Waits until something is so, and tells how long it took.
    ///
    /// # Panics
    ///
    /// It is not so in time.
    pub fn wait_for(
        &mut self,
        what: &str,
        time: Duration,
        mut so: impl FnMut(&mut Self) -> Result<(), String>,
    ) -> Duration {
        let start = Instant::now();
        loop {
            match so(self) {
                Ok(()) => return start.elapsed(),
                Err(why) => assert!(start.elapsed() < time, "not within {time:?}: {what}: {why}"),
            }
            self.wait(Duration::from_millis(50));
        }
    }

    /// The log of a node, of all its processes so far.
    #[must_use]
    pub fn log(&self, node: usize) -> Vec<String> {
        self.log_with_times(node)
            .into_iter()
            .map(|(_, line)| line)
            .collect()
    }

    fn log_with_times(&self, node: usize) -> Vec<(Instant, String)> {
        let slot = &self.slots[node];
        slot.past
            .iter()
            .cloned()
            .chain(slot.node.iter().flat_map(Node::log_with_times))
            .collect()
    }

    /// Who found whom gone so far by itself, and was not told.
    #[must_use]
    pub fn quorum_verdicts(&self) -> Vec<(usize, String)> {
        let own = self
            .gone_log_entries()
            .into_iter()
            .filter(|(.., why)| why.contains("confirmed by quorum"));
        own.map(|(by, _, name, _)| (by, name)).collect()
    }

    /// Who called whom gone so far: each line of each log.
    #[must_use]
    pub fn gone_reports(&self) -> Vec<(usize, String)> {
        self.gone_log_entries()
            .into_iter()
            .map(|(by, _, name, _)| (by, name))
            .collect()
    }

    /// The same, with when, and why.
    #[must_use]
    pub fn gone_log_entries(&self) -> Vec<(usize, Instant, String, String)> {
        let lines = (0..self.len()).flat_map(|node| {
            self.log_with_times(node)
                .into_iter()
                .map(move |line| (node, line))
        });
        let read = |(by, (at, line)): (usize, (Instant, String))| {
            let rest = line.split_once("gossip: ")?.1;
            let (name, why) = rest.split_once(" is gone")?;
            (name != "this node").then(|| (by, at, name.to_owned(), why.to_owned()))
        };
        lines.filter_map(read).collect()
    }

    /// What the relays between the nodes have received so far.
    #[must_use]
    pub fn relay_totals(&self) -> RelayTotals {
        self.relays.totals()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // One that is stopped is killed all the same.
        self.slots
            .iter_mut()
            .for_each(|slot| drop(slot.node.take()));
        let longest = self.relays.totals().max_datagram_bytes;
        if !thread::panicking() {
            assert!(longest <= MOST_DATAGRAM, "a datagram of {longest} bytes");
        }
    }
}
