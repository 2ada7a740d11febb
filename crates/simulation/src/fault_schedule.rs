//! Schedules of faults. A schedule is generated from a seed, or parsed from the text that an earlier one was printed as.

use std::fmt;
use std::str::FromStr;

use fastrand::Rng;

use crate::fault::{Fault, ParseFaultError};
use crate::link::Link;
use crate::NodeId;

/// Faults begin within this fraction of the schedule's period, so that each has some time to act.
const LATEST_BEGIN: f64 = 0.8;
/// Limits of a generated link that delays, duplicates, corrupts and replays.
const MAX_DELAY_MS: f64 = 300.0;
const MAX_JITTER_MS: f64 = 2_000.0;
const MAX_DUPLICATION: f64 = 0.3;
const MAX_CORRUPTION: f64 = 0.1;
const MAX_REPLAY: f64 = 0.3;

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// When the fault is injected, in milliseconds since the schedule began.
    pub at_ms: f64,
    /// What is injected.
    pub fault: Fault,
}

/// Faults in the order of their times.
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

    /// Parses what [`Display`](fmt::Display) writes. Empty lines and what follows a `#` are ignored.
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
    /// How many nodes there are; at least two.
    pub nodes: usize,
    /// The earliest time of a fault, in milliseconds.
    pub start_ms: f64,
    /// When every link is repaired and every process started again, in milliseconds.
    pub end_ms: f64,
    /// How many faults are generated. Some affect several nodes or links.
    pub faults: usize,
    /// The longest pause, in milliseconds.
    pub max_pause_ms: f64,
    /// The highest probability of loss on all links.
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

/// When a generated fault begins and is repaired, in milliseconds.
#[derive(Clone, Copy)]
struct Period {
    begin_ms: f64,
    end_ms: f64,
}

/// Generates faults. The order of its random draws decides what a seed means.
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
        let begin_ms = start_ms + self.rng.f64() * (end_ms - start_ms) * LATEST_BEGIN;
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
            6 => self.lose(period),
            7 => self.disturb(period),
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

    /// Cuts a node off in one direction: it receives nothing, or nothing that it sends is received.
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

    /// Divides the nodes into two sides that receive nothing from each other.
    fn partition(&mut self, period: Period) {
        let nodes = self.limits.nodes;
        let side: Vec<bool> = (0..nodes).map(|_| self.rng.bool()).collect();
        for from in 0..nodes {
            for to in (0..nodes).filter(|to| side[from] != side[*to]) {
                self.cut(period, from, to);
            }
        }
    }

    fn lose(&mut self, period: Period) {
        let link = Link {
            loss: self.rng.f64() * self.limits.max_loss,
            ..Link::default()
        };
        self.replace_all_links(period, link);
    }

    fn disturb(&mut self, period: Period) {
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

    /// Repairs everything at the end of the schedule and sorts it by time.
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
