//! Server selection by HSQ (Islam, "Network Load Balancing Methods", section IV.E): the request goes
//! to the lowest count, and the count grows by one.
//!
//! All else here decides which servers are candidates, and keeps many nodes from acting alike on the
//! same old report.

use std::collections::BTreeMap;

use crate::balancer::Balancer;
use crate::latency::{LatencyAtDepth, HALF_LIFE_OBJECTIVES};
use crate::request::PendingRequest;
use crate::server::Server;
use crate::server_list::{ServerEntry, ServerId};
use crate::settings::Settings;
use crate::slow_start::warm_fraction;

/// A server whose expected wait is this multiple of the shortest is not selected.
const MAX_RELATIVE_WAIT: f64 = 2.5;
/// The same where not all servers are heard of within a latency objective: counts are older there.
const MAX_RELATIVE_WAIT_UNINFORMED: f64 = 1.5;
/// A server with at most so many attempts of this node in flight, and at most this count, has no queue
/// to speak of.
const MAX_UNQUEUED_IN_FLIGHT: usize = 2;
const MAX_UNQUEUED_COUNT: f64 = 3.0;
/// Servers among which the lowest count decides where reports are old.
const MAX_CHOICES_UNINFORMED: usize = 2;
/// All nodes together try an idle server about so often in a mean latency objective.
const TRIALS_PER_OBJECTIVE: f64 = 2.0;
/// Expected latency before any answer, as a divisor of the mean latency objective.
const INITIAL_LATENCY_DIVISOR: f64 = 4.0;
/// Intervals between requests, in objectives, at which a node is taken to know nothing for certain.
const UNCERTAIN_INTERVALS: f64 = 2.0;

/// A server as the selection sees it.
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts, each the criterion of one filter"
)]
pub(crate) struct Candidate {
    pub server: ServerId,
    /// Expected latency there.
    wait_ms: f64,
    /// The count, in the same unit where capacities differ.
    rank: f64,
    /// Admitted whatever its expected wait: it has no queue, or is due for a trial.
    always_admitted: bool,
    healthy: bool,
    same_zone: bool,
    contacted: bool,
    /// Nothing has failed there since it last served.
    never_ejected: bool,
    /// It warms up and is filled before others.
    fill_first: bool,
    /// The part of its capacity that it has; of a server that is not filled first, all.
    warm_fraction: f64,
}

/// Buffers that are filled anew for each request, kept so that none is allocated.
#[derive(Default)]
pub(crate) struct Scratch {
    pub candidates: Vec<Candidate>,
    by_kind: Vec<LatencyAtDepth>,
    sample: Vec<ServerId>,
}

/// What is expected of a server before its own results count.
struct Priors {
    all: LatencyAtDepth,
    /// By machine kind; empty where servers are polled, as their counts say enough.
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

    /// Capacity of so many ready servers of each machine kind.
    fn total_capacity(&self, ready_by_kind: &[f64]) -> f64 {
        let kinds = self.by_kind.iter().zip(ready_by_kind);
        kinds
            .map(|(kind, ready)| ready * kind.depth / kind.latency_ms)
            .sum()
    }
}

/// The servers by which a candidate is measured.
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

    /// Mean count for each unit of capacity, of the servers that have a count.
    fn mean_count(&self, priors: &Priors) -> f64 {
        let counts = self
            .iter()
            .filter_map(|server| Some(server.count? / priors.capacity(server)));
        counts.clone().sum::<f64>() / counts.count().max(1) as f64
    }
}

/// What is the same for all servers while one request's candidates are assessed.
struct Assessment<'a> {
    settings: &'a Settings,
    request: &'a PendingRequest,
    now_ms: f64,
    objective_ms: f64,
    half_life_ms: f64,
    well_informed: bool,
    by_health_check: bool,
    priors: &'a Priors,
    /// Mean count for each unit of capacity: the count of a server that has none yet.
    mean_count: f64,
    total_capacity: f64,
    /// Requests that this node served within the window of slow start.
    served: f64,
    slow_start_multiple: f64,
    /// The server of the first attempt that may have run.
    first_run_on: Option<&'a ServerEntry>,
}

impl Assessment<'_> {
    /// The server as a candidate, or `None` if the request must not be sent there.
    #[inline]
    fn assess(
        &self,
        server_id: ServerId,
        server: &mut Server,
        random: &mut fastrand::Rng,
    ) -> Option<Candidate> {
        let idempotency = self.settings.classes[self.request.class].idempotency;
        let allowed = |first| idempotency.may_retry_on(first, &server.entry);
        if !self.first_run_on.is_none_or(allowed) {
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
        // By other nodes' hints this node need not find out by itself that a server is bad. There is a
        // random draw only where there is a hint.
        let withheld = server.withheld_fraction > 0.0 && random.f64() < server.withheld_fraction;
        let overloaded = server.is_overloaded_for(self.request.quota_group, self.now_ms);
        let fill_first = warm_fraction.is_some() && !self.well_informed && !self.by_health_check;
        Some(Candidate {
            server: server_id,
            wait_ms: self.requests_ahead(server, count) * latency_per_request,
            rank: if self.by_health_check {
                count
            } else {
                count * latency_per_request
            },
            always_admitted: self.is_always_admitted(server, count),
            healthy: !overloaded && !server.is_ejected(self.now_ms) && !withheld,
            same_zone: server.entry.zone == self.settings.zone,
            contacted: server.contacted || warm_fraction.is_some(),
            never_ejected: server.ejected_until_ms.is_none(),
            fill_first,
            warm_fraction: warm_fraction.filter(|_| fill_first).unwrap_or(1.0),
        })
    }

    #[inline]
    fn latency_per_request(&self, server: &Server) -> f64 {
        let expected = if self.by_health_check {
            self.priors.all
        } else {
            let prior = self.priors.of(server);
            server.estimate.blend(self.now_ms, self.half_life_ms, prior)
        };
        expected.latency_ms / expected.depth
    }

    /// Requests that the server has once this one is sent.
    #[inline]
    fn requests_ahead(&self, server: &Server, count: f64) -> f64 {
        if self.by_health_check {
            count + 1.0
        } else {
            server.in_flight as f64 + 1.0
        }
    }

    /// A warming server looks idle, so all nodes keep to its budget, each in proportion to what it
    /// served. Where that is less than one request, the threshold lets some nodes send one.
    #[inline]
    fn exceeds_slow_start_budget(
        &self,
        server: &mut Server,
        warm_fraction: f64,
        capacity: f64,
    ) -> bool {
        let window_ms = self.now_ms - self.settings.collapse_after_ms;
        let share = warm_fraction * capacity / self.total_capacity;
        let budget = self.slow_start_multiple * share * self.served;
        let min_budget = 1.0 / self.settings.nodes as f64;
        let sent = server.slow_start_sends.count_since(window_ms);
        sent + server.slow_start_threshold >= budget.max(min_budget)
    }

    #[inline]
    fn is_always_admitted(&self, server: &Server, count: f64) -> bool {
        if self.by_health_check {
            return count == 0.0;
        }
        // Requests must not be rejected beside servers without a queue: what answers take there is
        // work and the network. This covers a list of few servers, a node alone and one just started.
        // Where servers run one request at a time, or reports are old, the bound on this node's own
        // attempts limits the harm.
        let unqueued = server.in_flight <= MAX_UNQUEUED_IN_FLIGHT && count <= MAX_UNQUEUED_COUNT;
        // Rejections must end: all nodes together go on trying an idle server.
        let idle_ms = self.now_ms - server.estimate.updated_at_ms;
        let trial_ms = self.objective_ms * self.settings.nodes as f64 / TRIALS_PER_OBJECTIVE;
        let trial_due = server.in_flight == 0 && idle_ms > trial_ms;
        self.well_informed && (unqueued || trial_due)
    }
}

impl Balancer {
    /// The server with the lowest count among the candidates that answer within `max_wait_ms`, ties
    /// broken at random. Where there is none, the request learns when to retry.
    pub(crate) fn select(
        &mut self,
        request: &mut PendingRequest,
        max_wait_ms: f64,
    ) -> Option<ServerId> {
        let mut candidates = self.candidates(request);
        let tolerance = self.random.f64().powf(self.certainty());
        let min_wait_ms = lowest(&candidates, |c| c.wait_ms);
        request.set_retry_after(min_wait_ms * tolerance - max_wait_ms);
        candidates
            .retain(|c| c.wait_ms * tolerance <= max_wait_ms || c.always_admitted || c.fill_first);
        self.drop_backed_up(&mut candidates);
        if self.traffic.well_informed {
            // Nodes that keep to their zones are less in each other's way.
            prefer(&mut candidates, |c| c.same_zone);
        } else if !self.health_checks.enabled {
            self.narrow_uninformed(&mut candidates);
        }
        let lowest_rank = lowest(&candidates, |c| c.rank);
        candidates.retain(|c| c.rank <= lowest_rank);
        let selected = self.random.choice(&candidates).map(|c| c.server);
        self.scratch.candidates = candidates;
        selected
    }

    /// The exponent of the tolerance of a wait: the fewer requests in half an objective, the less is
    /// known, and the more of them are admitted by chance, so that not all are rejected at once.
    fn certainty(&self) -> f64 {
        if self.health_checks.enabled {
            0.0
        } else {
            let interval_ms = self.traffic.interval_ms.mean;
            (UNCERTAIN_INTERVALS * interval_ms / self.objective_ms).min(1.0)
        }
    }

    /// Drops servers whose answers take long of late, whatever they report.
    fn drop_backed_up(&self, candidates: &mut Vec<Candidate>) {
        let relative = if self.traffic.well_informed {
            MAX_RELATIVE_WAIT
        } else {
            MAX_RELATIVE_WAIT_UNINFORMED
        };
        let bound_ms = lowest(candidates, |c| c.wait_ms) * relative;
        let by_health_check = self.health_checks.enabled;
        candidates.retain(|c| by_health_check || c.wait_ms * c.warm_fraction <= bound_ms);
    }

    /// Leaves the few candidates of a node that hears of each server too seldom to compare all.
    fn narrow_uninformed(&mut self, candidates: &mut Vec<Candidate>) {
        // Such a node keeps to servers that it has contacted, and to those just started: of others it
        // would hear too seldom.
        prefer(candidates, |c| c.contacted);
        // One in ten nodes at a time may fill a warming server. If those do not, the warm ones bear
        // what was taken from their likes.
        prefer(candidates, |c| c.fill_first);
        // Where none is contacted yet, the ring says which come next: by chance some servers would be
        // contacted by more nodes than others.
        if !candidates.iter().any(|c| c.contacted) {
            prefer(candidates, |c| c.never_ejected);
            candidates.truncate(MAX_CHOICES_UNINFORMED);
        }
        // Every node reads the same old low report; each looks at a few servers only, drawn afresh, so
        // that they do not all send to the same one.
        self.random.shuffle(candidates);
        candidates.truncate(MAX_CHOICES_UNINFORMED);
    }

    /// The subset: the first servers of the ring that the rules allow for this request and that are
    /// healthy; where none is, the first that are not. Of a request that has polled servers, those that
    /// responded.
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

    /// Whether a sample of the list will do. A retry that is bound to a cell or a zone looks at the
    /// whole list, as a sample may hold none of its servers.
    fn may_sample(&self, request: &PendingRequest) -> bool {
        let idempotency = self.settings.classes[request.class].idempotency;
        let unbound = request.first_run.is_none() || idempotency.repeat_is_harmless();
        !self.health_checks.enabled && self.is_list_long() && unbound
    }

    fn priors(&mut self) -> Priors {
        let unknown = LatencyAtDepth {
            latency_ms: self.objective_ms / INITIAL_LATENCY_DIVISOR,
            depth: 1.0,
        };
        let now_ms = self.now_ms;
        let shared_half_life_ms = HALF_LIFE_OBJECTIVES * self.objective_ms;
        let all = self.latency.all.blend(now_ms, shared_half_life_ms, unknown);
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
            well_informed: self.traffic.well_informed,
            by_health_check: self.health_checks.enabled,
            priors,
            mean_count: subset.mean_count(priors),
            total_capacity,
            served,
            slow_start_multiple: self.slow_start_multiple(),
            first_run_on: request.first_run_attempt().map(|attempt| &attempt.entry),
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

fn lowest(candidates: &[Candidate], figure: fn(&Candidate) -> f64) -> f64 {
    candidates.iter().map(figure).fold(f64::INFINITY, f64::min)
}

/// Leaves the candidates that fit, if there are any.
fn prefer(candidates: &mut Vec<Candidate>, fits: impl Fn(&Candidate) -> bool) {
    if candidates.iter().any(&fits) {
        candidates.retain(fits);
    }
}
