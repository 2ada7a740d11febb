//! The state machine of one node. It owns all state, and dispatches events to the modules of the
//! protocol.

use std::collections::BTreeMap;

use fastrand::Rng;

use crate::anti_entropy::AntiEntropy;
use crate::dissemination::Dissemination;
use crate::event::{Action, Event, LogEvent, PeerId};
use crate::failure_detector::FailureDetector;
use crate::join::PeerDiscovery;
use crate::local_health::LocalHealth;
use crate::member::{Health, Member, State};
use crate::member_id::MemberId;
use crate::member_table::{MemberEntry, MemberTable};
use crate::metrics::Metrics;
use crate::own_status::{OwnState, OwnStatus};
use crate::peers::Peer;
use crate::reject_reason::RejectReason;
use crate::settings::{InjectedFault, Settings};
use crate::wire::Record;

/// Number of ticks in a probe interval. Subjects are checked for silence in each tick, which is
/// more often than probes are sent.
pub(crate) const TICKS_PER_PROBE: u64 = 2;
/// Interval at which expired nodes are removed from the member table, in ticks.
const EXPIRY_TICKS: u64 = 256;
/// Interval at which probes request an ack, in probe intervals. Every second probe is enough,
/// because no decision depends on a single probe.
const ACK_PERIOD_IN_PROBES: u64 = 2;
/// Upper limit of the first incarnation, so that even after a wrong wall clock any number of
/// refutations can increment it.
const MAX_FIRST_INCARNATION: u64 = 1 << 61;

/// One node of the cluster. See the [crate's documentation](crate).
#[derive(Debug)]
pub struct Gossip {
    pub(crate) settings: Settings,
    pub(crate) id: MemberId,
    pub(crate) rng: Rng,
    pub(crate) now_ms: f64,
    pub(crate) tick: u64,
    next_tick_ms: f64,
    pub(crate) table: MemberTable,
    pub(crate) peers: BTreeMap<PeerId, Peer>,
    pub(crate) discovery: PeerDiscovery,
    pub(crate) detector: FailureDetector,
    pub(crate) dissemination: Dissemination,
    pub(crate) anti_entropy: AntiEntropy,
    pub(crate) own: OwnState,
    pub(crate) local_health: LocalHealth,
    pub(crate) metrics: Metrics,
    pub(crate) actions: Vec<Action>,
}

impl Gossip {
    /// Creates a node whose member table contains only itself. `now_ms` is the time since boot; see
    /// [`handle`](Self::handle).
    #[must_use]
    pub fn new(now_ms: f64, settings: Settings) -> Self {
        let id = MemberId::of(&settings.name);
        let mut rng = Rng::with_seed(settings.seed);
        let mut table = MemberTable::default();
        let incarnation = settings.incarnation.min(MAX_FIRST_INCARNATION);
        let own_entry = MemberEntry::new(
            settings.name.clone(),
            incarnation,
            settings.process_id,
            now_ms,
        );
        // Never fails: the table is empty.
        let _ = table.insert(id, own_entry);
        // A random phase, so that nodes that start together do not probe at the same moments.
        let phase = rng.f64();
        let tick_ms = settings.probe_interval_ms / TICKS_PER_PROBE as f64;
        Self {
            id,
            rng,
            now_ms,
            tick: 0,
            next_tick_ms: now_ms + tick_ms * phase,
            table,
            peers: BTreeMap::new(),
            discovery: PeerDiscovery::new(),
            detector: FailureDetector::new(now_ms),
            dissemination: Dissemination::new(now_ms),
            anti_entropy: AntiEntropy::new(now_ms),
            own: OwnState::new(now_ms),
            local_health: LocalHealth::new(),
            metrics: Metrics::default(),
            actions: Vec::new(),
            settings,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    ///
    /// `now_ms` is the time since boot in milliseconds, including suspends. It must not decrease; a
    /// time before the latest one counts as the latest one.
    pub fn handle(&mut self, now_ms: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.detect_pause();
        match event {
            Event::Datagram { from, bytes } => self.receive_datagram(from, bytes),
            Event::Timer => {}
            Event::SetPeers(peers) => self.set_peers(&peers),
            Event::SetTimings {
                probe_interval_ms,
                suspicion_timeout_ms,
            } => {
                self.settings.probe_interval_ms = probe_interval_ms;
                self.settings.suspicion_timeout_ms = suspicion_timeout_ms;
            }
            Event::Leave => self.leave(),
            Event::SendPayload { to, bytes } => {
                if let Some(peer) = self.table.peer_of(to) {
                    self.send(peer, &[Record::Payload(bytes.to_vec())]);
                }
            }
        }
        if self.now_ms >= self.next_tick_ms {
            // Runs a single tick even if several were missed: missed ticks are not made up for.
            self.run_tick();
            self.next_tick_ms = self.now_ms + self.tick_ms();
        }
        self.flood_updates();
        actions.append(&mut self.actions);
        actions.push(Action::WakeAt(self.next_tick_ms));
    }

    /// All known nodes, including this one, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.table.iter().map(|(id, entry)| Member {
            name: entry.name.clone(),
            is_self: id == self.id,
            state: self.state_of(id, entry),
            incarnation: entry.incarnation,
            since_ms: entry.since_ms,
            last_received_ms: entry.last_received_ms,
            address: entry.peer,
        })
    }

    /// The health of this node's own communication.
    #[must_use]
    pub fn health(&self) -> Health {
        self.local_health.current
    }

    /// The counters of this node.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Counts a datagram that the driver rejected without passing it to [`handle`](Self::handle).
    pub fn count_rejection(&mut self, reason: RejectReason) {
        self.metrics.count_rejection(reason);
    }

    /// The state of a node as this node reports it, including suspicions.
    pub(crate) fn state_of(&self, id: MemberId, entry: &MemberEntry) -> State {
        if id == self.id {
            return match self.own.status {
                OwnStatus::Alive => State::Alive,
                OwnStatus::DeclaredDead { .. } | OwnStatus::Superseded { .. } => State::Dead,
                OwnStatus::Leaving => State::Left,
            };
        }
        let is_suspected = entry.suspicion.is_some() || entry.suspected_until_ms > self.now_ms;
        if entry.is_alive() && is_suspected {
            State::Suspect
        } else {
            entry.state
        }
    }

    fn tick_ms(&self) -> f64 {
        self.settings.probe_interval_ms / TICKS_PER_PROBE as f64
    }

    /// The length of `count` probe intervals, in milliseconds.
    pub(crate) fn probe_intervals_ms(&self, count: f64) -> f64 {
        count * self.settings.probe_interval_ms
    }

    /// Whether this tick is the first one of every `n`-th probe interval.
    pub(crate) fn is_every_nth_probe(&self, n: u64) -> bool {
        self.tick % (n * TICKS_PER_PROBE) == 0
    }

    pub(crate) fn has_fault(&self, fault: InjectedFault) -> bool {
        cfg!(feature = "injected-fault") && self.settings.injected_fault == fault
    }

    /// This node's incarnation.
    pub(crate) fn incarnation(&self) -> u64 {
        self.table.get(self.id).map_or(0, |own| own.incarnation)
    }

    pub(crate) fn log(&mut self, event: LogEvent) {
        self.actions.push(Action::Log(event));
    }

    /// Detects that the process did not run for more than a probe interval. After such a pause,
    /// silence counts from now, and suspicions, delegated probes and pending deaths are dropped:
    /// those that still apply will be detected or reported again.
    fn detect_pause(&mut self) {
        let pause_ms = self.now_ms - self.next_tick_ms;
        let is_pause = pause_ms > self.settings.probe_interval_ms;
        if !is_pause || self.has_fault(InjectedFault::PauseNotDetected) {
            return;
        }
        self.detector.reset_after_pause(self.now_ms);
        self.own.acked_since_ms = None;
        self.dissemination.pending_deaths.clear();
        self.discovery.start_catch_up();
        for (_, entry) in self.table.iter_mut() {
            entry.clear_suspicion();
        }
        self.log(LogEvent::ResumedAfterPause { pause_ms });
    }

    /// Runs all periodic work.
    fn run_tick(&mut self) {
        self.tick += 1;
        self.rebuild_rings_if_stale();
        if self.own.is_member() {
            if self.is_every_nth_probe(1) {
                self.probe_observers(self.needs_acks());
            }
            self.check_subjects();
        }
        self.apply_due_deaths();
        if self.own.status != OwnStatus::Leaving {
            self.contact_peers();
        }
        self.update_acked_since();
        self.try_refute();
        self.update_local_health();
        if self.tick % EXPIRY_TICKS == 0 {
            for id in self.table.remove_expired(self.now_ms) {
                self.unbind_member(id);
            }
        }
    }

    fn needs_acks(&self) -> bool {
        self.is_every_nth_probe(ACK_PERIOD_IN_PROBES)
            || self.own.status != OwnStatus::Alive
            || self.local_health.current != Health::Well
    }
}
