//! Selection of the agent to query, and backoff after failures.

/// Delay after every agent has failed once, before jitter, in milliseconds.
const MIN_BACKOFF_MS: f64 = 250.0;
/// Maximum delay while every agent fails, before jitter, in milliseconds.
const MAX_BACKOFF_MS: f64 = 30_000.0;
/// Maximum number of times that the delay doubles; it exceeds [`MAX_BACKOFF_MS`] before that.
const MAX_DOUBLINGS: u32 = 10;
/// Delay before the next agent is tried, while some have not failed yet, in milliseconds.
const NEXT_AGENT_DELAY_MS: f64 = 20.0;
/// Number of consecutive stale responses after which another agent is queried.
const MAX_STALE_RESPONSES: u32 = 3;

/// The retry after a failure.
pub(super) struct Retry {
    /// Delay before the next query, in milliseconds.
    pub delay_ms: f64,
    /// Whether to report that no agent responds: every agent has now failed, for the first time
    /// since the last response.
    pub should_report_unreachable: bool,
}

/// Selects the agents in rotation, and stays with one that responds.
#[derive(Debug)]
pub(super) struct Failover {
    agent_count: usize,
    current_agent: usize,
    /// Number of failures since the last response.
    failures: u32,
    /// Whether every agent has failed since the last response.
    all_agents_failed: bool,
    /// Number of consecutive stale responses.
    stale_responses: u32,
    /// Source of the jitter.
    random: fastrand::Rng,
}

impl Failover {
    pub fn new(agent_count: usize, seed: u64) -> Self {
        Self {
            agent_count,
            current_agent: 0,
            failures: 0,
            all_agents_failed: false,
            stale_responses: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    pub fn current_agent(&self) -> usize {
        self.current_agent
    }

    /// Records a failure and selects the next agent.
    pub fn record_failure(&mut self) -> Retry {
        self.failures = self.failures.saturating_add(1);
        self.select_next_agent();
        let agent_count = self.agent_count as u32;
        if self.failures < agent_count {
            return Retry {
                delay_ms: NEXT_AGENT_DELAY_MS,
                should_report_unreachable: false,
            };
        }
        let doublings = (self.failures - agent_count).min(MAX_DOUBLINGS);
        let backoff_ms = (MIN_BACKOFF_MS * 2_f64.powi(doublings as i32)).min(MAX_BACKOFF_MS);
        Retry {
            delay_ms: backoff_ms * (0.5 + 0.5 * self.random.f64()),
            should_report_unreachable: !std::mem::replace(&mut self.all_agents_failed, true),
        }
    }

    /// Records a response; returns whether the next agent was selected because this one has sent
    /// [`MAX_STALE_RESPONSES`] consecutive stale responses.
    pub fn record_response(&mut self, is_stale: bool) -> bool {
        self.failures = 0;
        self.all_agents_failed = false;
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
