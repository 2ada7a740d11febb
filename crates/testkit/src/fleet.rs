//! A fleet of node processes, with fault injection on the links between them.

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

/// Maximum length of a datagram that the platform carries between nodes, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Latency objective. It is so short that a slow first response of a server affects decisions for a few seconds only.
const LATENCY_OBJECTIVE_MS: u64 = 500;
/// Maximum number of nodes of a fleet: each has its own loopback address.
const MAX_NODES: usize = 30;

/// Another node's line in the response to `MEMBERS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// State in which the responding node lists it.
    pub state: String,
    /// Incarnation in which it is listed.
    pub incarnation: u64,
    /// Time since a datagram of it was last received, in milliseconds; `None` if the responding node does not know.
    pub heard_ms: Option<u64>,
}

/// Response of a node to `MEMBERS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// Health of the node's own communication: `isolated`, `degraded` or `well`.
    pub health: String,
    /// Own incarnation of the responding node.
    pub incarnation: u64,
    /// State in which the responding node lists itself.
    pub own_state: String,
    /// All other nodes that it lists, by name.
    pub other_members: BTreeMap<String, Member>,
}

impl Members {
    fn parse(text: &str) -> Option<Self> {
        let mut lines = text.strip_suffix("EOF\n")?.lines();
        let own_line: Vec<_> = lines.next()?.split(' ').collect();
        let ["self", _, health, incarnation, state] = own_line[..] else {
            return None;
        };
        let parse_member = |line: &str| {
            let words: Vec<_> = line.split(' ').collect();
            let [name, state, incarnation, _, heard_ms, _] = words[..] else {
                return None;
            };
            let member = Member {
                state: state.into(),
                incarnation: incarnation.parse().ok()?,
                heard_ms: heard_ms.parse().ok(),
            };
            Some((name.to_owned(), member))
        };
        let other_members = lines.map(parse_member).collect::<Option<_>>()?;
        Some(Self {
            health: health.into(),
            incarnation: incarnation.parse().ok()?,
            own_state: state.into(),
            other_members,
        })
    }

    /// State of another node; `-` if it is not listed.
    #[must_use]
    pub fn state(&self, name: &str) -> &str {
        self.other_members
            .get(name)
            .map_or("-", |member| &member.state)
    }
}

/// A node of the fleet, running or not.
struct Slot {
    name: String,
    operators_file: String,
    node: Option<Node>,
    /// End of the pause, if the process is paused.
    paused_until: Option<Instant>,
    /// Log of earlier processes, which have exited.
    earlier_log: Vec<(Instant, String)>,
}

/// A fleet of nodes. Its processes are killed when it is dropped, also when a test panics.
pub struct Fleet {
    slots: Vec<Slot>,
    relays: Relays,
    gossip_addresses: Vec<SocketAddr>,
    directory: TempDir,
    discovery: Discovery,
    /// Server that all nodes send requests to.
    pub server: Server,
    /// Further servers. They must be added before the first node is started.
    pub extra_servers: Vec<Server>,
}

impl Fleet {
    /// Starts a fleet. `operators` is appended to the operators' file of each node, after the section `[instances]` and
    /// its keys.
    #[must_use]
    pub fn start(nodes: usize, seed: u64, operators: &str) -> Self {
        let mut fleet = Self::prepare(nodes, seed, operators);
        (0..nodes).for_each(|node| fleet.start_node(node));
        fleet
    }

    /// Like [`Fleet::start`], without starting the nodes.
    #[must_use]
    pub fn prepare(nodes: usize, seed: u64, operators: &str) -> Self {
        assert!(
            (1..=MAX_NODES).contains(&nodes),
            "a fleet has 1 to {MAX_NODES} nodes"
        );
        // The addresses depend on the process ID, so that no socket of another process is bound there, and stay the
        // same when a node restarts.
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let process = std::process::id();
        let [_, _, high, low] = process.to_be_bytes();
        let port = 17_000 + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = |node: usize| {
            let ip = Ipv4Addr::new(127, 64 + high % 64, low, 10 + node as u8);
            SocketAddr::new(IpAddr::V4(ip), port)
        };
        let gossip_addresses: Vec<_> = (0..nodes).map(address).collect();
        let directory = tempfile::tempdir().expect("create a temporary directory");
        let key = directory.path().join("key");
        fs::write(&key, "a key that all nodes share\n").expect("write the key file");
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600))
            .expect("set the mode of the key file");
        let key = key.display();
        let operators_file =
            format!("[instances]\nfleet = \"holds\"\nkey_file = \"{key}\"\n{operators}");
        let slot = |node| Slot {
            name: format!("n{node}"),
            operators_file: operators_file.clone(),
            node: None,
            paused_until: None,
            earlier_log: Vec::new(),
        };
        Self {
            slots: (0..nodes).map(slot).collect(),
            relays: Relays::start(gossip_addresses.clone(), seed),
            gossip_addresses,
            directory,
            discovery: Discovery::start(),
            server: Server::start(|_| Reply::ok("yes")).without_recording(),
            extra_servers: Vec::new(),
        }
    }

    /// Number of nodes, running or not.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the fleet has no nodes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Path of the key file that the nodes share.
    #[must_use]
    pub fn key_file(&self) -> std::path::PathBuf {
        self.directory.path().join("key")
    }

    /// Text of a node's operators' file.
    #[must_use]
    pub fn operators_file(&self, node: usize) -> &str {
        &self.slots[node].operators_file
    }

    /// Replaces a node's operators' file from its next start on.
    pub fn set_operators_file(&mut self, node: usize, text: &str) {
        self.slots[node].operators_file = text.into();
    }

    /// Changes the name of a node from its next start on.
    pub fn rename(&mut self, node: usize, name: &str) {
        self.slots[node].name = name.into();
    }

    /// Name of a node.
    #[must_use]
    pub fn name(&self, node: usize) -> &str {
        &self.slots[node].name
    }

    /// The platform's configuration file for a node.
    #[must_use]
    pub fn config(&self, node: usize) -> String {
        let servers = [&self.server]
            .into_iter()
            .chain(&self.extra_servers)
            .enumerate();
        let servers: Vec<_> = servers
            .map(|(i, server)| server.endpoint_entry(&format!("s-{i}"), "ready"))
            .collect();
        let known = endpoint_list(1, true, &servers);
        let peers: Vec<_> = self.relays.peers[node]
            .iter()
            .map(|address| format!("\"{address}\""))
            .collect();
        let text = config(
            self.discovery.address,
            &known,
            &settings_with_latency_objective(LATENCY_OBJECTIVE_MS, 15_000),
        );
        text.replace("\"n0\"", &format!("\"{}\"", self.slots[node].name))
            .replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"")
            .replace("\"cancel\":true", "\"cancel\":true,\"peers\":true")
            .replace(
                "\"discovery\":\"1",
                &format!(
                    "\"peer_listen\":\"{}\",\"peers\":[{}],\"discovery\":\"1",
                    self.gossip_addresses[node],
                    peers.join(",")
                ),
            )
    }

    /// Address at which a node receives gossip datagrams.
    #[must_use]
    pub fn gossip_address(&self, node: usize) -> SocketAddr {
        self.gossip_addresses[node]
    }

    /// Starts a node unless it runs.
    pub fn start_node(&mut self, node: usize) {
        if self.slots[node].node.is_none() {
            let process = Node::start_with_operators_file(
                &self.config(node),
                Some(&self.slots[node].operators_file),
            );
            self.slots[node].node = Some(process);
        }
    }

    /// A running node.
    #[must_use]
    pub fn node(&self, node: usize) -> &Node {
        self.slots[node].node.as_ref().expect("the node runs")
    }

    /// Whether a node runs and is not paused.
    #[must_use]
    pub fn is_up(&self, node: usize) -> bool {
        self.slots[node].node.is_some() && self.slots[node].paused_until.is_none()
    }

    /// Kills a node with SIGKILL.
    pub fn kill(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        slot.paused_until = None;
        if let Some(node) = slot.node.take() {
            slot.earlier_log.extend(node.log_with_times());
            drop(node);
        }
    }

    /// Sends SIGTERM to a node and waits until it exits.
    pub fn terminate(&mut self, node: usize) {
        let slot = &mut self.slots[node];
        if let Some(mut node) = slot.node.take() {
            node.terminate();
            assert!(
                node.wait().success(),
                "the node must exit with status 0 after SIGTERM"
            );
            slot.earlier_log.extend(node.log_with_times());
        }
    }

    /// Pauses a node with SIGSTOP, until [`Fleet::resume`] is called.
    pub fn pause(&mut self, node: usize) {
        self.node(node).signal(Signal::STOP);
        self.slots[node].paused_until = Some(Instant::now() + Duration::from_secs(86_400));
    }

    /// Resumes a paused node with SIGCONT.
    pub fn resume(&mut self, node: usize) {
        self.slots[node].paused_until = None;
        self.node(node).signal(Signal::CONT);
    }

    /// Injects a fault. [`Fleet::wait`] resumes a node whose pause is over.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Pause { node, ms } if self.slots[*node].node.is_some() => {
                let until = Instant::now() + Duration::from_secs_f64(ms / 1e3);
                let until = self.slots[*node]
                    .paused_until
                    .map_or(until, |earlier| earlier.max(until));
                self.pause(*node);
                self.slots[*node].paused_until = Some(until);
            }
            Fault::Pause { .. } => {}
            Fault::Kill { node } => self.kill(*node),
            Fault::Start { node } => self.start_node(*node),
            link_fault => self.relays.apply(link_fault),
        }
    }

    /// Waits, and resumes each node whose pause ends in that time.
    pub fn wait(&mut self, time: Duration) {
        let end = Instant::now() + time;
        loop {
            let now = Instant::now();
            let due = |slot: &Slot| slot.paused_until.is_some_and(|until| until <= now);
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

    /// Applies the faults of a schedule at their times, which count from now, and returns after the last.
    pub fn apply_schedule(&mut self, schedule: &FaultSchedule) {
        let start = Instant::now();
        for scheduled in &schedule.faults {
            let due = start + Duration::from_secs_f64(scheduled.at_ms / 1e3);
            self.wait(due.saturating_duration_since(Instant::now()));
            self.apply(&scheduled.fault);
        }
    }

    /// Cuts all links between nodes of different sides, and heals all others.
    pub fn partition(&mut self, side: impl Fn(usize) -> usize) {
        self.apply(&Fault::HealAll);
        for from in 0..self.len() {
            for to in (0..self.len()).filter(|to| side(from) != side(*to)) {
                self.apply(&Fault::Cut { from, to });
            }
        }
    }

    /// Response of a node to `MEMBERS`.
    #[must_use]
    pub fn members(&self, node: usize) -> Members {
        let text = self.node(node).admin_command("MEMBERS\n");
        Members::parse(&text).unwrap_or_else(|| panic!("malformed response to MEMBERS: {text}"))
    }

    /// Response of a node to `OWNERS`: for each shard the name of its owner, and for how many milliseconds the
    /// responding node itself may still act as the owner.
    #[must_use]
    pub fn owners(&self, node: usize) -> Vec<(String, u64)> {
        let text = self.node(node).admin_command("OWNERS\n");
        let parse_row = |line: &str| {
            let words: Vec<_> = line.split(' ').collect();
            let [_, owner, _, left_ms, _] = words[..] else {
                return None;
            };
            Some((owner.to_owned(), left_ms.parse().ok()?))
        };
        text.lines()
            .filter(|line| !line.starts_with("self "))
            .filter_map(parse_row)
            .collect()
    }

    /// Checks that each of the shards has exactly one node that reports itself as the owner. Queries each node that
    /// runs and is not paused once.
    ///
    /// # Errors
    ///
    /// If a shard has no owner, or several. The nodes are queried one after another, so a shard whose owner changes
    /// during the queries may appear with none or several.
    pub fn all_owned(&self, shards: usize) -> Result<(), String> {
        let mut owners = vec![Vec::new(); shards];
        for node in (0..self.len()).filter(|node| self.is_up(*node)) {
            for (owners, (_, left_ms)) in owners.iter_mut().zip(self.owners(node)) {
                if left_ms > 0 {
                    owners.push(node);
                }
            }
        }
        match owners.iter().position(|owners| owners.len() != 1) {
            Some(shard) => Err(format!("shard {shard} is owned by {:?}", owners[shard])),
            None => Ok(()),
        }
    }

    /// The node that reports itself as the owner of a shard. Paused nodes are not queried.
    ///
    /// # Errors
    ///
    /// If no node does, or several do. The nodes are queried one after another, so a shard whose owner changes
    /// during the queries may appear with none or several.
    pub fn owner(&self, shard: usize) -> Result<usize, String> {
        let running = (0..self.len()).filter(|node| self.is_up(*node));
        let owns = |node: &usize| {
            self.owners(*node)
                .get(shard)
                .is_some_and(|(_, left_ms)| *left_ms > 0)
        };
        let owners: Vec<_> = running.filter(owns).collect();
        match owners[..] {
            [owner] => Ok(owner),
            _ => Err(format!("shard {shard} is owned by {owners:?}")),
        }
    }

    /// Describes the first mistake in the member lists of the running nodes, if there is one. Each must list every
    /// other running node as alive in that node's current incarnation, and every node that does not run or is paused
    /// as gone or left, or not at all.
    #[must_use]
    pub fn disagreement(&self) -> Option<String> {
        let running: Vec<_> = (0..self.len()).filter(|node| self.is_up(*node)).collect();
        let views: Vec<_> = running
            .iter()
            .map(|node| (*node, self.members(*node)))
            .collect();
        for (observer, view) in &views {
            for node in (0..self.len()).filter(|node| node != observer) {
                let actual_incarnation = views
                    .iter()
                    .find(|(other, _)| *other == node)
                    .map(|(_, own_view)| own_view.incarnation);
                let listed = view.other_members.get(&self.slots[node].name);
                let is_right = match (actual_incarnation, listed) {
                    (Some(actual), Some(listed)) => {
                        listed.state == "alive" && listed.incarnation == actual
                    }
                    (Some(_), None) => false,
                    (None, listed) => {
                        listed.is_none_or(|listed| listed.state == "gone" || listed.state == "left")
                    }
                };
                if !is_right {
                    return Some(format!(
                        "{} lists {} as {listed:?}, but its incarnation is {actual_incarnation:?} (None: not running)",
                        self.name(*observer),
                        self.name(node)
                    ));
                }
            }
        }
        None
    }

    /// Waits until [`Fleet::disagreement`] finds none, and returns how long that took.
    pub fn agree_within(&mut self, time: Duration) -> Duration {
        self.wait_for("all member lists are correct", time, |fleet| {
            fleet.disagreement().map_or(Ok(()), Err)
        })
    }

    /// Waits until a condition holds, and returns how long that took.
    ///
    /// # Panics
    ///
    /// If it does not hold in time.
    pub fn wait_for(
        &mut self,
        description: &str,
        time: Duration,
        mut condition: impl FnMut(&mut Self) -> Result<(), String>,
    ) -> Duration {
        let start = Instant::now();
        loop {
            match condition(self) {
                Ok(()) => return start.elapsed(),
                Err(reason) => assert!(
                    start.elapsed() < time,
                    "condition not met within {time:?}: {description}: {reason}"
                ),
            }
            self.wait(Duration::from_millis(50));
        }
    }

    /// Log of all processes of a node so far.
    #[must_use]
    pub fn log(&self, node: usize) -> Vec<String> {
        self.log_with_times(node)
            .into_iter()
            .map(|(_, line)| line)
            .collect()
    }

    fn log_with_times(&self, node: usize) -> Vec<(Instant, String)> {
        let slot = &self.slots[node];
        slot.earlier_log
            .iter()
            .cloned()
            .chain(slot.node.iter().flat_map(Node::log_with_times))
            .collect()
    }

    /// All log entries by which a node itself confirmed by quorum that another node is gone, rather than accepting the
    /// verdict of a third node: the index of the logging node, and the name of the node that is gone.
    #[must_use]
    pub fn quorum_verdicts(&self) -> Vec<(usize, String)> {
        let confirmed = self
            .gone_log_entries()
            .into_iter()
            .filter(|(.., reason)| reason.contains("confirmed by quorum"));
        confirmed
            .map(|(observer, _, name, _)| (observer, name))
            .collect()
    }

    /// All log entries by which a node reported another as gone: the index of the logging node, and the name of the
    /// node that is gone.
    #[must_use]
    pub fn gone_reports(&self) -> Vec<(usize, String)> {
        self.gone_log_entries()
            .into_iter()
            .map(|(observer, _, name, _)| (observer, name))
            .collect()
    }

    /// Like [`Fleet::gone_reports`], with the time and the reason of each: observer, time, name, reason.
    #[must_use]
    pub fn gone_log_entries(&self) -> Vec<(usize, Instant, String, String)> {
        let lines = (0..self.len()).flat_map(|node| {
            self.log_with_times(node)
                .into_iter()
                .map(move |line| (node, line))
        });
        let parse = |(observer, (time, line)): (usize, (Instant, String))| {
            let rest = line.split_once("gossip: ")?.1;
            let (name, reason) = rest.split_once(" is gone")?;
            (name != "this node").then(|| (observer, time, name.to_owned(), reason.to_owned()))
        };
        lines.filter_map(parse).collect()
    }

    /// Totals of the datagrams that the relays between the nodes have received so far.
    #[must_use]
    pub fn relay_totals(&self) -> RelayTotals {
        self.relays.totals()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // SIGKILL ends paused processes, too.
        self.slots
            .iter_mut()
            .for_each(|slot| drop(slot.node.take()));
        let max_bytes = self.relays.totals().max_datagram_bytes;
        if !thread::panicking() {
            assert!(
                max_bytes <= MAX_DATAGRAM_BYTES,
                "a datagram has {max_bytes} bytes, more than {MAX_DATAGRAM_BYTES}"
            );
        }
    }
}
