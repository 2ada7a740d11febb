//! Which agent is queried, and how long to wait after failures.

/// The delay after the first failure of all agents, before jitter.
const MIN_BACKOFF_MS: f64 = 250.0;
/// The longest delay after failures of all agents, before jitter.
const MAX_BACKOFF_MS: f64 = 30_000.0;
/// The delay doubles no more often than this: it exceeds its maximum then.
const MAX_DOUBLINGS: u32 = 10;
/// The delay before the next agent is tried.
const NEXT_AGENT_DELAY_MS: f64 = 20.0;
/// Stale responses in a row after which another agent is queried.
const MAX_STALE_RESPONSES: u32 = 3;

/// What follows a failure.
pub(super) struct Retry {
    pub delay_ms: f64,
    /// Whether every agent has failed, for the first time since the last response.
    pub has_lost_all_agents: bool,
}

/// Queries the agents in turn, and stays with one that responds.
#[derive(Debug)]
pub(super) struct Failover {
    agent_count: usize,
    current_agent: usize,
    /// Failures since the last response.
    failures: u32,
    is_lost: bool,
    stale_responses: u32,
    /// For the jitter.
    random: fastrand::Rng,
}

impl Failover {
    pub fn new(agent_count: usize, seed: u64) -> Self {
        Self {
            agent_count,
            current_agent: 0,
            failures: 0,
            is_lost: false,
            stale_responses: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn current_agent(&self) -> usize {
        self.current_agent
    }

    /// Records a failure and moves on to the next agent.
    pub fn record_failure(&mut self) -> Retry {
        self.failures = self.failures.saturating_add(1);
        self.select_next_agent();
        let agent_count = self.agent_count as u32;
        if self.failures < agent_count {
            return Retry {
                delay_ms: NEXT_AGENT_DELAY_MS,
                has_lost_all_agents: false,
            };
        }
        let doublings = (self.failures - agent_count).min(MAX_DOUBLINGS);
        let backoff_ms = (MIN_BACKOFF_MS * 2_f64.powi(doublings as i32)).min(MAX_BACKOFF_MS);
        Retry {
            delay_ms: backoff_ms * (0.5 + 0.5 * self.random.f64()),
            has_lost_all_agents: !std::mem::replace(&mut self.is_lost, true),
        }
    }

    /// Records a response; returns whether another agent is queried next, because this one has been
    /// stale several times in a row.
    pub fn record_response(&mut self, is_stale: bool) -> bool {
        self.failures = 0;
        self.is_lost = false;
        self.stale_responses = if is_stale {
            self.stale_responses + 1
        } else {
            0
        };
        if self.stale_responses < MAX_STALE_RESPONSES || self.agent_count == 1 {
            return false;
        }
        self.stale_responses = 0;
        self.select_next_agent();
        true
    }

    fn select_next_agent(&mut self) {
        self.current_agent = (self.current_agent + 1) % self.agent_count;
    }
}
