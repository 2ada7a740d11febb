//! Sampling of long server lists: looking at every server for each request would cost milliseconds.
//!
//! The sample is as good as the whole list. Of servers that were never contacted all but the kind is
//! unknown, so a few stand for all, and the selection prefers those that were; of these, and of the
//! warming ones, so many have a fast one among them nearly always.

use crate::balancer::Balancer;
use crate::server::Server;
use crate::server_list::ServerId;

/// Of a list no longer than this every server is looked at for each request.
const MAX_FULL_SCAN: usize = 64;
/// Of a longer one so many that were contacted, and so many that warm up and are open to this node ...
const MAX_SAMPLED: usize = 24;
/// ... and the next so many of this node's turn of the ring.
const MAX_NEXT_ON_RING: usize = 8;
/// Servers are taken to have at most this multiple of the mean capacity.
const MAX_RELATIVE_CAPACITY: f64 = 4.0;

/// A server that warms up, as it was when the servers were indexed.
struct WarmingServer {
    threshold: f64,
    server_id: ServerId,
}

/// What samples are drawn from; empty while the list is short.
#[derive(Default)]
pub(crate) struct Sampler {
    /// Servers contacted, some perhaps no more.
    contacted: Vec<ServerId>,
    /// Servers that warm up, by their threshold.
    warming: Vec<WarmingServer>,
    /// How many servers of each machine kind are ready.
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

    /// Draws from a long list the servers that a request may go to, by what this node `served` of late.
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

    /// Those contacted are among the drawn, or there are many of them; so of the others only.
    fn sample_warming(&mut self, sample: &mut Vec<ServerId>, served: f64) {
        let multiple = MAX_RELATIVE_CAPACITY * self.slow_start_multiple();
        let budget = multiple * served / self.ring.len() as f64;
        let max_budget = budget.max(1.0 / self.settings.nodes as f64);
        let warming = &self.sampler.warming;
        let open = warming.partition_point(|warming| {
            let server = self.servers.get(&warming.server_id);
            server.is_some_and(|server| server.slow_start_threshold < max_budget)
        });
        let start = self.random.usize(0..open.max(1));
        let from_start = (0..open).map(|offset| warming[(start + offset) % open].server_id);
        let uncontacted = from_start.filter(|server_id| self.is_ready_uncontacted(*server_id));
        sample.extend(uncontacted.take(MAX_SAMPLED));
    }

    /// The next servers of the ring that have not failed, filled up from the whole ring. A node that has
    /// contacted nothing beyond a part of the ring that is out of reach finds the others that way.
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
