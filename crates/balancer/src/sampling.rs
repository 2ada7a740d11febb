//! Sampling of long server lists: assessing every server for each request would take milliseconds.
//!
//! A sample serves as well as the whole list. Only the machine kind is known of servers that were never
//! contacted, so a few represent all of them, and the selection prefers contacted ones. A sample has
//! enough contacted and enough warming servers that nearly always one of them is fast.

use crate::balancer::Balancer;
use crate::server::Server;
use crate::server_list::ServerId;

/// Length of the list up to which every server is assessed for each request, and of the part of the
/// ring in which a sample looks for the next servers.
const MAX_FULL_SCAN: usize = 64;
/// Maximum number of contacted servers in a sample, and maximum number of warming servers added to them.
const MAX_SAMPLED: usize = 24;
/// Number of servers in a sample that come next on the ring, from this node's position.
const MAX_NEXT_ON_RING: usize = 8;
/// Assumed upper bound of a server's capacity, as a multiple of the mean capacity.
const MAX_RELATIVE_CAPACITY: f64 = 4.0;

/// A server that was warming up when the servers were indexed.
struct WarmingServer {
    threshold: f64,
    server_id: ServerId,
}

/// The servers from which samples are drawn; empty while the list is short.
#[derive(Default)]
pub(crate) struct Sampler {
    /// Contacted servers. Those that are no longer contacted or ready are removed when they are drawn.
    contacted: Vec<ServerId>,
    /// Warming servers, in order of their slow-start thresholds.
    warming: Vec<WarmingServer>,
    /// Number of ready servers of each machine kind.
    ready_by_kind: Vec<f64>,
}

impl Sampler {
    pub fn new(machine_kinds: usize) -> Self {
        Self {
            ready_by_kind: vec![0.0; machine_kinds.max(1)],
            ..Self::default()
        }
    }

    pub fn clear(&mut self) {
        self.contacted.clear();
        self.warming.clear();
        self.ready_by_kind.fill(0.0);
    }

    pub fn add(&mut self, server_id: ServerId, server: &Server, warming: bool) {
        let kind = server.entry.machine_kind.min(self.ready_by_kind.len() - 1);
        self.ready_by_kind[kind] += 1.0;
        self.contacted
            .extend(Some(server_id).filter(|_| server.contacted));
        if warming {
            let threshold = server.slow_start_threshold;
            self.warming.push(WarmingServer {
                threshold,
                server_id,
            });
        }
    }

    pub fn sort_warming(&mut self) {
        self.warming
            .sort_by(|a, b| a.threshold.total_cmp(&b.threshold));
    }

    pub fn server_contacted(&mut self, server_id: ServerId) {
        if !self.contacted.contains(&server_id) {
            self.contacted.push(server_id);
        }
    }

    pub fn ready_by_kind(&self) -> &[f64] {
        &self.ready_by_kind
    }
}

impl Balancer {
    pub(crate) fn is_list_long(&self) -> bool {
        self.ring.len() > MAX_FULL_SCAN
    }

    /// Draws the servers that a request may go to from a long list. `served` is the number of requests
    /// that this node served recently.
    pub(crate) fn sample(&mut self, sample: &mut Vec<ServerId>, served: f64) {
        self.sample_contacted(sample);
        self.sample_warming(sample, served);
        self.sample_ring(sample);
    }

    fn sample_contacted(&mut self, sample: &mut Vec<ServerId>) {
        let mut drawn = 0;
        let contacted = &mut self.sampler.contacted;
        while drawn < MAX_SAMPLED.min(contacted.len()) {
            let other = self.random.usize(drawn..contacted.len());
            contacted.swap(drawn, other);
            let server_id = contacted[drawn];
            let server = self.servers.get(&server_id);
            if server.is_some_and(|server| server.contacted && server.is_ready()) {
                sample.push(server_id);
                drawn += 1;
            } else {
                contacted.swap_remove(drawn);
            }
        }
    }

    /// Adds warming servers that are not contacted. Contacted ones are already in the sample, unless it
    /// is full of other contacted servers.
    fn sample_warming(&mut self, sample: &mut Vec<ServerId>, served: f64) {
        let multiple = MAX_RELATIVE_CAPACITY * self.slow_start_multiple();
        let budget = multiple * served / self.ring.len() as f64;
        let max_budget = budget.max(1.0 / self.settings.nodes as f64);
        let warming = &self.sampler.warming;
        let eligible = warming.partition_point(|warming| {
            let server = self.servers.get(&warming.server_id);
            server.is_some_and(|server| server.slow_start_threshold < max_budget)
        });
        let start = self.random.usize(0..eligible.max(1));
        let from_start = (0..eligible).map(|offset| warming[(start + offset) % eligible].server_id);
        let uncontacted = from_start.filter(|server_id| self.is_ready_uncontacted(*server_id));
        sample.extend(uncontacted.take(MAX_SAMPLED));
    }

    /// Adds the next uncontacted servers of the ring that have not failed, and random servers of the whole
    /// ring if there are too few, so that a node whose part of the ring is unreachable finds other servers.
    fn sample_ring(&mut self, sample: &mut Vec<ServerId>) {
        let before = sample.len();
        let nearest = self.ring.iter().take(MAX_FULL_SCAN).copied();
        let next = nearest.filter(|server_id| {
            self.is_ready_uncontacted(*server_id)
                && self.servers[server_id].ejected_until_ms.is_none()
        });
        sample.extend(next.take(MAX_NEXT_ON_RING));
        for _ in sample.len()..before + MAX_NEXT_ON_RING {
            let server_id = self.ring[self.random.usize(0..self.ring.len())];
            if !sample.contains(&server_id) {
                sample.push(server_id);
            }
        }
    }

    fn is_ready_uncontacted(&self, server_id: ServerId) -> bool {
        let server = self.servers.get(&server_id);
        server.is_some_and(|server| server.is_ready() && !server.contacted)
    }
}
