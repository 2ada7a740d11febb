//! Server selection by HSQ (Islam, "Network Load Balancing Methods", section IV.E): the request goes
//! to the server with the lowest count, and that count is incremented.
//!
//! The rest of the module decides which servers are candidates, and prevents many nodes from reacting
//! to the same old report in the same way.

use std::collections::BTreeMap;

use crate::balancer::Balancer;
use crate::latency::{LatencyAtDepth, HALF_LIFE_OBJECTIVES};
use crate::request::{Attempt, PendingRequest};
use crate::server::Server;
use crate::server_list::ServerId;
use crate::settings::Settings;
use crate::slow_start::warm_fraction;

/// Multiple of the shortest expected wait above which a server is not selected.
const MAX_RELATIVE_WAIT: f64 = 2.5;
/// Multiple of the shortest expected wait above which a server is not selected on a node with stale
/// reports. It is lower, as the counts are older.
const MAX_RELATIVE_WAIT_STALE: f64 = 1.5;
/// Number of this node's attempts in flight up to which a server is assumed to have no queue, if its count
/// is also at most [`MAX_UNQUEUED_COUNT`].
const MAX_UNQUEUED_IN_FLIGHT: usize = 2;
/// Count up to which a server is assumed to have no queue.
const MAX_UNQUEUED_COUNT: f64 = 3.0;
/// Number of servers whose counts are compared where reports are stale.
const MAX_CHOICES_STALE: usize = 2;
/// Approximate number of trials of an idle server by all nodes together, per mean latency objective.
const TRIALS_PER_OBJECTIVE: f64 = 2.0;
/// Divisor of the mean latency objective that gives the expected latency before the first answer.
const INITIAL_LATENCY_DIVISOR: f64 = 4.0;
/// Requests of a node per mean latency objective at or below which its estimates are least certain.
const UNCERTAIN_REQUESTS_PER_OBJECTIVE: f64 = 2.0;

/// A server and the criteria by which the selection judges it.
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts, each the criterion of one filter"
)]
pub(crate) struct Candidate {
    pub server: ServerId,
    /// Expected wait for the server's response, in milliseconds.
    wait_ms: f64,
    /// The count, multiplied by the latency per request unless servers are polled.
    rank: f64,
    /// Whether it is admitted regardless of its expected wait: it has no queue, or a trial is due.
    always_admitted: bool,
    healthy: bool,
    same_zone: bool,
    /// Whether the latest attempt reached it, or it is warming up.
    contacted: bool,
    /// Whether it has not been ejected since it last served a request.
    no_open_ejection: bool,
    /// Whether it is warming up and is filled before others.
    fill_first: bool,
    /// Fraction of its capacity that is available; 1 for a server that is not filled first.
    warm_fraction: f64,
}

/// Buffers that are reused for each request, to avoid allocations.
#[derive(Default)]
pub(crate) struct Scratch {
    pub candidates: Vec<Candidate>,
    by_kind: Vec<LatencyAtDepth>,
    sample: Vec<ServerId>,
}

/// Expected latency and depth of a server before its own results are included.
struct Priors {
    all: LatencyAtDepth,
    /// By machine kind; empty where servers are polled, as their counts suffice.
    by_kind: Vec<LatencyAtDepth>,
}

impl Priors {
    fn of(&self, server: &Server) -> LatencyAtDepth {
        let kind = self.by_kind.get(server.entry.machine_kind);
        kind.copied().unwrap_or(self.all)
    }

    fn capacity(&self, server: &Server) -> f64 {
        self.of(server).capacity()
    }

    /// Total capacity of the ready servers, from their number by machine kind.
    fn total_capacity(&self, ready_by_kind: &[f64]) -> f64 {
        let kinds = self.by_kind.iter().zip(ready_by_kind);
        kinds
            .map(|(kind, ready)| ready * kind.depth / kind.latency_ms)
            .sum()
    }
}

/// The servers to which a candidate is compared.
struct Subset<'a> {
    servers: &'a BTreeMap<ServerId, Server>,
    members: &'a [ServerId],
    size: usize,
}

impl<'a> Subset<'a> {
    fn iter(&self) -> impl Iterator<Item = &'a Server> + Clone + '_ {
        let members = self.members.iter().take(self.size);
        members.filter_map(|server_id| self.servers.get(server_id))
    }

    fn total_capacity(&self, priors: &Priors) -> f64 {
        self.iter().map(|server| priors.capacity(server)).sum()
    }

    /// Mean count per unit of capacity, over the servers that have a count.
    fn mean_count(&self, priors: &Priors) -> f64 {
        let counts = self
            .iter()
            .filter_map(|server| Some(server.count? / priors.capacity(server)));
        counts.clone().sum::<f64>() / counts.count().max(1) as f64
    }
}

/// The inputs that all servers share while the candidates of one request are assessed.
struct Assessment<'a> {
    settings: &'a Settings,
    request: &'a PendingRequest,
    now_ms: f64,
    objective_ms: f64,
    half_life_ms: f64,
    has_recent_reports: bool,
    servers_are_polled: bool,
    priors: &'a Priors,
    /// Mean count per unit of capacity, from which a server without a count starts.
    mean_count: f64,
    total_capacity: f64,
    /// Number of requests that this node served within the last `collapse_after_ms`.
    served: f64,
    slow_start_multiple: f64,
    /// The first attempt that may have run.
    first_run: Option<&'a Attempt>,
}

impl Assessment<'_> {
    /// Assesses a server as a candidate; `None` if the request must not be sent there.
    #[inline]
    fn assess(
        &self,
        server_id: ServerId,
        server: &mut Server,
        random: &mut fastrand::Rng,
    ) -> Option<Candidate> {
        let idempotency = self.settings.classes[self.request.class].idempotency;
        let allowed = |first: &Attempt| {
            idempotency.may_retry_on(&first.entry, &server.entry)
                && (!self.settings.servers_are_addresses
                    || idempotency.repeat_is_harmless()
                    || server.is_same_process_since(first.sent_at_ms))
        };
        if !self.first_run.is_none_or(allowed) {
            return None;
        }
        let capacity = self.priors.capacity(server);
        let latency_per_request = self.latency_per_request(server);
        let count = *server.count.get_or_insert(self.mean_count * capacity);
        let warm_fraction = warm_fraction(self.settings, self.now_ms, server);
        if let Some(warm_fraction) = warm_fraction {
            if self.exceeds_slow_start_budget(server, warm_fraction, capacity) {
                return None;
            }
        }
        // Because of other nodes' hints this node need not fail requests itself to detect a bad server.
        // There is a random draw only where there is a hint.
        let withheld = server.withheld_fraction > 0.0 && random.f64() < server.withheld_fraction;
        let overloaded = server.is_overloaded_for(self.request.quota_group, self.now_ms);
        let fill_first =
            warm_fraction.is_some() && !self.has_recent_reports && !self.servers_are_polled;
        Some(Candidate {
            server: server_id,
            wait_ms: self.requests_once_sent(server, count) * latency_per_request,
            rank: if self.servers_are_polled {
                count
            } else {
                count * latency_per_request
            },
            always_admitted: self.is_always_admitted(server, count),
            healthy: !overloaded && !server.is_ejected(self.now_ms) && !withheld,
            same_zone: server.entry.zone == self.settings.zone,
            contacted: server.contacted || warm_fraction.is_some(),
            no_open_ejection: server.ejected_until_ms.is_none(),
            fill_first,
            warm_fraction: warm_fraction.filter(|_| fill_first).unwrap_or(1.0),
        })
    }

    #[inline]
    fn latency_per_request(&self, server: &Server) -> f64 {
        let expected = if self.servers_are_polled {
            self.priors.all
        } else {
            let prior = self.priors.of(server);
            server.estimate.blend(self.now_ms, self.half_life_ms, prior)
        };
        expected.latency_ms / expected.depth
    }

    /// Number of requests at the server once this one is sent.
    #[inline]
    fn requests_once_sent(&self, server: &Server, count: f64) -> f64 {
        if self.servers_are_polled {
            count + 1.0
        } else {
            server.in_flight as f64 + 1.0
        }
    }

    /// Whether a request would exceed this node's part of a warming server's budget. A warming server looks
    /// idle, so all nodes keep within its budget, each in proportion to the number of requests that the node
    /// served. Where a node's part is less than one request, the server's random threshold lets only some
    /// nodes send one.
    #[inline]
    fn exceeds_slow_start_budget(
        &self,
        server: &mut Server,
        warm_fraction: f64,
        capacity: f64,
    ) -> bool {
        let window_start_ms = self.now_ms - self.settings.collapse_after_ms;
        let share = warm_fraction * capacity / self.total_capacity;
        let budget = self.slow_start_multiple * share * self.served;
        let min_budget = 1.0 / self.settings.nodes as f64;
        let sent = server.slow_start_sends.count_since(window_start_ms);
        sent + server.slow_start_threshold >= budget.max(min_budget)
    }

    #[inline]
    fn is_always_admitted(&self, server: &Server, count: f64) -> bool {
        if self.servers_are_polled {
            return count == 0.0;
        }
        // Requests must not be rejected while a server has no queue, as its latency is then work and
        // network time. This covers short lists, a single node and a node that has just started.
        // Where servers run one request at a time, or reports are old, the limit on this node's own
        // attempts bounds the harm.
        let unqueued = server.in_flight <= MAX_UNQUEUED_IN_FLIGHT && count <= MAX_UNQUEUED_COUNT;
        // All nodes together keep trying an idle server, so that rejections can end.
        let idle_ms = self.now_ms - server.estimate.updated_at_ms;
        let trial_ms = self.objective_ms * self.settings.nodes as f64 / TRIALS_PER_OBJECTIVE;
        let trial_due = server.in_flight == 0 && idle_ms > trial_ms;
        self.has_recent_reports && (unqueued || trial_due)
    }
}

impl Balancer {
    /// Selects the server with the lowest rank among the candidates that are expected to answer within
    /// `max_wait_ms`, with ties broken at random. If all are expected to take longer, the request gets
    /// its retry-after time.
    pub(crate) fn select(
        &mut self,
        request: &mut PendingRequest,
        max_wait_ms: f64,
    ) -> Option<ServerId> {
        let mut candidates = self.candidates(request);
        let wait_scale = self.random.f64().powf(self.uncertainty());
        let min_wait_ms = lowest(&candidates, |c| c.wait_ms);
        request.set_retry_after(min_wait_ms * wait_scale - max_wait_ms);
        candidates
            .retain(|c| c.wait_ms * wait_scale <= max_wait_ms || c.always_admitted || c.fill_first);
        self.drop_backed_up(&mut candidates);
        if self.traffic.has_recent_reports {
            // Nodes that prefer their own zones interfere less with each other.
            prefer(&mut candidates, |c| c.same_zone);
        } else if !self.health_checks.enabled {
            self.narrow_for_stale_reports(&mut candidates);
        }
        let lowest_rank = lowest(&candidates, |c| c.rank);
        candidates.retain(|c| c.rank <= lowest_rank);
        let selected = self.random.choice(&candidates).map(|c| c.server);
        self.scratch.candidates = candidates;
        selected
    }

    /// Exponent of the random factor by which expected waits are scaled down. The fewer requests the
    /// node has per half objective, the less certain its estimates are, and the more requests it admits
    /// at random, so that it does not reject all at once.
    fn uncertainty(&self) -> f64 {
        if self.health_checks.enabled {
            0.0
        } else {
            let interval_ms = self.traffic.interval_ms.mean;
            (UNCERTAIN_REQUESTS_PER_OBJECTIVE * interval_ms / self.objective_ms).min(1.0)
        }
    }

    /// Drops servers whose expected wait is much longer than the shortest, whatever load they report. Where
    /// servers are polled, the fresh reports suffice and none is dropped.
    fn drop_backed_up(&self, candidates: &mut Vec<Candidate>) {
        let relative = if self.traffic.has_recent_reports {
            MAX_RELATIVE_WAIT
        } else {
            MAX_RELATIVE_WAIT_STALE
        };
        let bound_ms = lowest(candidates, |c| c.wait_ms) * relative;
        let servers_are_polled = self.health_checks.enabled;
        candidates.retain(|c| servers_are_polled || c.wait_ms * c.warm_fraction <= bound_ms);
    }

    /// Narrows the candidates on a node that gets reports of each server too rarely to compare all.
    fn narrow_for_stale_reports(&mut self, candidates: &mut Vec<Candidate>) {
        // Such a node keeps to the servers that it has contacted and to those just started, as reports
        // of further servers would be too rare.
        prefer(candidates, |c| c.contacted);
        // At any time only some nodes, about one in ten, have budget left for a warming server. If they did
        // not fill it, the warm servers would also carry the load of the servers that were replaced.
        prefer(candidates, |c| c.fill_first);
        // If none is contacted yet, the order of the ring decides. With a random choice some servers
        // would be contacted by more nodes than others.
        if !candidates.iter().any(|c| c.contacted) {
            prefer(candidates, |c| c.no_open_ejection);
            candidates.truncate(MAX_CHOICES_STALE);
        }
        // All nodes get the same old low report. Each compares only a few servers, drawn at random for
        // each request, so that they do not all send to the same one.
        self.random.shuffle(candidates);
        candidates.truncate(MAX_CHOICES_STALE);
    }

    /// The candidates of a request: the first healthy servers of the ring to which it may be sent, or
    /// the first unhealthy ones if none is healthy. If polled servers have responded, only those are
    /// considered. Servers without an earlier attempt of the request are preferred.
    pub(crate) fn candidates(&mut self, request: &PendingRequest) -> Vec<Candidate> {
        let served = self
            .served
            .count_since(self.now_ms - self.settings.collapse_after_ms);
        let mut sample = std::mem::take(&mut self.scratch.sample);
        sample.clear();
        if self.may_sample(request) {
            self.sample(&mut sample, served);
        }
        let priors = self.priors();
        let max_found = if self.health_checks.enabled {
            self.traffic.subset_size
        } else {
            self.ring.len()
        };
        let mut candidates = self.assess_all(request, &priors, &sample, served, max_found);
        prefer(&mut candidates, |c| c.healthy);
        prefer(&mut candidates, |c| {
            let mut attempts = request.attempts.iter();
            attempts.all(|attempt| attempt.server != c.server)
        });
        candidates.truncate(max_found);
        self.scratch.sample = sample;
        self.scratch.by_kind = priors.by_kind;
        candidates
    }

    /// Whether a sample of the list suffices. A retry that is restricted to a cell or a zone considers
    /// the whole list, as a sample may contain none of its servers.
    fn may_sample(&self, request: &PendingRequest) -> bool {
        let idempotency = self.settings.classes[request.class].idempotency;
        let unrestricted = request.first_run.is_none() || idempotency.repeat_is_harmless();
        !self.health_checks.enabled && self.is_list_long() && unrestricted
    }

    fn priors(&mut self) -> Priors {
        let initial = LatencyAtDepth {
            latency_ms: self.objective_ms / INITIAL_LATENCY_DIVISOR,
            depth: 1.0,
        };
        let now_ms = self.now_ms;
        let shared_half_life_ms = HALF_LIFE_OBJECTIVES * self.objective_ms;
        let all = self.latency.all.blend(now_ms, shared_half_life_ms, initial);
        let mut by_kind = std::mem::take(&mut self.scratch.by_kind);
        by_kind.clear();
        if !self.health_checks.enabled {
            let half_life_ms = self.traffic.half_life_ms;
            let kinds = self.latency.by_kind.iter();
            by_kind.extend(kinds.map(|kind| kind.blend(now_ms, half_life_ms, all)));
        }
        Priors { all, by_kind }
    }

    /// Assesses the servers of the ring or the sample, in order, until `max_found` healthy ones are found.
    fn assess_all(
        &mut self,
        request: &PendingRequest,
        priors: &Priors,
        sample: &[ServerId],
        served: f64,
        max_found: usize,
    ) -> Vec<Candidate> {
        let mut candidates = std::mem::take(&mut self.scratch.candidates);
        candidates.clear();
        let members = if sample.is_empty() {
            &self.ring[..]
        } else {
            sample
        };
        let subset = Subset {
            servers: &self.servers,
            members,
            size: max_found,
        };
        let total_capacity = if sample.is_empty() {
            subset.total_capacity(priors)
        } else {
            priors.total_capacity(self.sampler.ready_by_kind())
        };
        let assessment = Assessment {
            settings: &self.settings,
            request,
            now_ms: self.now_ms,
            objective_ms: self.objective_ms,
            half_life_ms: self.traffic.half_life_ms,
            has_recent_reports: self.traffic.has_recent_reports,
            servers_are_polled: self.health_checks.enabled,
            priors,
            mean_count: subset.mean_count(priors),
            total_capacity,
            served,
            slow_start_multiple: self.slow_start_multiple(),
            first_run: request.first_run_attempt(),
        };
        let considered = if request.responded.is_empty() {
            members
        } else {
            &request.responded
        };
        let mut found = 0;
        for server_id in considered.iter().copied() {
            let server = self
                .servers
                .get_mut(&server_id)
                .filter(|server| server.is_ready());
            let candidate =
                server.and_then(|server| assessment.assess(server_id, server, &mut self.random));
            let Some(candidate) = candidate else {
                continue;
            };
            found += usize::from(candidate.healthy);
            candidates.push(candidate);
            if found >= max_found {
                break;
            }
        }
        candidates
    }
}

fn lowest(candidates: &[Candidate], value: fn(&Candidate) -> f64) -> f64 {
    candidates.iter().map(value).fold(f64::INFINITY, f64::min)
}

/// Keeps only the candidates that meet a criterion, if there are any.
fn prefer(candidates: &mut Vec<Candidate>, criterion: impl Fn(&Candidate) -> bool) {
    if candidates.iter().any(&criterion) {
        candidates.retain(criterion);
    }
}
