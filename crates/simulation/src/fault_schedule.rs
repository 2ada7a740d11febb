//! Fault schedules, which are generated from a seed or parsed from the text form of an earlier schedule.

use std::fmt;
use std::str::FromStr;

use fastrand::Rng;

use crate::fault::{Fault, ParseFaultError};
use crate::link::Link;
use crate::NodeId;

/// Fraction of the schedule's period within which faults begin, so that each has time to take effect.
const LATEST_BEGIN_FRACTION: f64 = 0.8;
/// Upper bounds of the random properties of a link that delays, duplicates, corrupts and replays datagrams.
const MAX_DELAY_MS: f64 = 300.0;
const MAX_JITTER_MS: f64 = 2_000.0;
const MAX_DUPLICATION: f64 = 0.3;
const MAX_CORRUPTION: f64 = 0.1;
const MAX_REPLAY: f64 = 0.3;

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time of injection, in milliseconds since the start of the schedule.
    pub at_ms: f64,
    /// The fault to inject.
    pub fault: Fault,
}

/// Faults ordered by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule {
    /// The faults, earliest first.
    pub faults: Vec<ScheduledFault>,
}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.faults
            .iter()
            .try_for_each(|ScheduledFault { at_ms, fault }| writeln!(f, "{at_ms} {fault}"))
    }
}

impl FromStr for FaultSchedule {
    type Err = ParseFaultError;

    /// Parses the text form that [`Display`](fmt::Display) writes. Ignores empty lines and comments that begin with
    /// `#`.
    fn from_str(text: &str) -> Result<Self, ParseFaultError> {
        let faults = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or_default().trim())
            .filter(|line| !line.is_empty())
            .map(parse_line)
            .collect::<Result<_, _>>()?;
        Ok(Self { faults })
    }
}

fn parse_line(line: &str) -> Result<ScheduledFault, ParseFaultError> {
    let error = || ParseFaultError::new(line);
    let (at_ms, fault) = line.split_once(' ').ok_or_else(error)?;
    Ok(ScheduledFault {
        at_ms: at_ms.parse().map_err(|_| error())?,
        fault: fault.parse()?,
    })
}

/// Limits of generated schedules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduleLimits {
    /// Number of nodes; at least two.
    pub nodes: usize,
    /// Earliest time of a fault, in milliseconds.
    pub start_ms: f64,
    /// Time at which all links are repaired and all processes are started, in milliseconds.
    pub end_ms: f64,
    /// Number of faults to generate. Some affect several nodes or links.
    pub faults: usize,
    /// Longest pause, in milliseconds.
    pub max_pause_ms: f64,
    /// Highest probability that a link loses a datagram.
    pub max_loss: f64,
}

impl FaultSchedule {
    /// Generates a schedule from a seed. The same seed and limits give the same schedule.
    #[must_use]
    pub fn generate(seed: u64, limits: ScheduleLimits) -> Self {
        let mut generator = Generator {
            rng: Rng::with_seed(seed),
            limits,
            faults: Vec::new(),
        };
        for _ in 0..limits.faults {
            generator.add_fault();
        }
        generator.finish()
    }
}

/// Begin and repair times of a generated fault, in milliseconds.
#[derive(Clone, Copy)]
struct Period {
    begin_ms: f64,
    end_ms: f64,
}

/// Generates faults. The order of its random draws must not change, because it determines the schedule of each seed.
struct Generator {
    rng: Rng,
    limits: ScheduleLimits,
    faults: Vec<ScheduledFault>,
}

impl Generator {
    fn push(&mut self, at_ms: f64, fault: Fault) {
        self.faults.push(ScheduledFault { at_ms, fault });
    }

    fn add_fault(&mut self) {
        let ScheduleLimits {
            nodes,
            start_ms,
            end_ms,
            ..
        } = self.limits;
        let begin_ms = start_ms + self.rng.f64() * (end_ms - start_ms) * LATEST_BEGIN_FRACTION;
        let repair_ms = begin_ms + self.rng.f64() * (end_ms - begin_ms);
        let node = self.rng.usize(..nodes);
        let peer = (node + 1 + self.rng.usize(..nodes - 1)) % nodes;
        let period = Period {
            begin_ms: begin_ms.round(),
            end_ms: repair_ms.round(),
        };
        match self.rng.u32(..9) {
            0 | 1 => self.pause(period, node),
            2 => self.restart(period, node),
            3 => self.cut(period, node, peer),
            4 => self.isolate_one_way(period, node),
            5 => self.partition(period),
            6 => self.lose_datagrams(period),
            7 => self.degrade_links(period),
            _ => self.pause_several(period),
        }
    }

    fn pause(&mut self, period: Period, node: NodeId) {
        let ms = (self.rng.f64() * self.limits.max_pause_ms).round();
        self.push(period.begin_ms, Fault::Pause { node, ms });
    }

    fn restart(&mut self, period: Period, node: NodeId) {
        self.push(period.begin_ms, Fault::Kill { node });
        self.push(period.end_ms, Fault::Start { node });
    }

    fn cut(&mut self, period: Period, from: NodeId, to: NodeId) {
        self.push(period.begin_ms, Fault::Cut { from, to });
        self.push(period.end_ms, Fault::Restore { from, to });
    }

    /// Cuts either all links to a node or all links from it.
    fn isolate_one_way(&mut self, period: Period, node: NodeId) {
        let is_receiver = self.rng.bool();
        for peer in (0..self.limits.nodes).filter(|peer| *peer != node) {
            if is_receiver {
                self.cut(period, peer, node);
            } else {
                self.cut(period, node, peer);
            }
        }
    }

    /// Partitions the nodes at random into two sides and cuts all links between them.
    fn partition(&mut self, period: Period) {
        let nodes = self.limits.nodes;
        let side: Vec<bool> = (0..nodes).map(|_| self.rng.bool()).collect();
        for from in 0..nodes {
            for to in (0..nodes).filter(|to| side[from] != side[*to]) {
                self.cut(period, from, to);
            }
        }
    }

    fn lose_datagrams(&mut self, period: Period) {
        let link = Link {
            loss: self.rng.f64() * self.limits.max_loss,
            ..Link::default()
        };
        self.replace_all_links(period, link);
    }

    fn degrade_links(&mut self, period: Period) {
        let link = Link {
            delay_ms: self.rng.f64() * MAX_DELAY_MS,
            jitter_ms: self.rng.f64() * MAX_JITTER_MS,
            duplication: self.rng.f64() * MAX_DUPLICATION,
            corruption: self.rng.f64() * MAX_CORRUPTION,
            replay: self.rng.f64() * MAX_REPLAY,
            ..Link::default()
        };
        self.replace_all_links(period, link);
    }

    fn replace_all_links(&mut self, period: Period, link: Link) {
        self.push(period.begin_ms, Fault::AllLinks { link });
        self.push(period.end_ms, Fault::HealAll);
    }

    /// Pauses about a third of the nodes at the same time.
    fn pause_several(&mut self, period: Period) {
        let nodes: Vec<_> = (0..self.limits.nodes)
            .filter(|_| self.rng.u32(..3) == 0)
            .collect();
        for node in nodes {
            self.pause(period, node);
        }
    }

    /// Adds the repair of all links and the start of all processes at the end, and sorts the faults by time.
    fn finish(mut self) -> FaultSchedule {
        let end_ms = self.limits.end_ms;
        self.push(end_ms, Fault::HealAll);
        for node in 0..self.limits.nodes {
            self.push(end_ms, Fault::Start { node });
        }
        self.faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        FaultSchedule {
            faults: self.faults,
        }
    }
}
