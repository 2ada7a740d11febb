//! What a balancer keeps in mind: running figures, and plain records of servers and requests. Nothing here
//! decides; that is all in `crates/balancer/src/choice.rs`.

use std::collections::VecDeque;

use crate::interface::{Availability, RequestId, ServerEntry};

/// A running mean and mean deviation.
#[derive(Clone, Copy, Default)]
pub struct Mean {
    pub mean: f64,
    pub deviation: f64,
    pub seen: f64,
}

impl Mean {
    pub fn add(&mut self, x: f64, gain: f64) {
        self.seen = (self.seen + 1.0).min(1.0 / gain);
        self.deviation += ((x - self.mean).abs() - self.deviation) / self.seen;
        self.mean += (x - self.mean) / self.seen;
    }
}

/// Latency, and how many requests the server held meanwhile.
#[derive(Clone, Copy, Default)]
pub struct Pace {
    pub latency: Mean,
    pub depth: Mean,
    pub at: f64,
}

impl Pace {
    /// Outcomes seen, by what they still weigh. Guards against judging a server by a trouble long past.
    pub fn seen(&self, now: f64, half_life: f64) -> f64 {
        self.latency.seen * 0.5_f64.powf((now - self.at) / half_life)
    }

    pub fn add(&mut self, now: f64, half_life: f64, latency: f64, depth: f64, gain: f64) {
        self.latency.seen = self.seen(now, half_life);
        self.depth.seen = self.latency.seen;
        self.latency.add(latency, gain);
        self.depth.add(depth, gain);
        self.at = now;
    }

    /// Mean latency and depth, the own outcomes weighed against what is known beyond them.
    pub fn or(&self, now: f64, half_life: f64, prior: (f64, f64), prior_weight: f64) -> (f64, f64) {
        let weight = self.seen(now, half_life);
        let mix =
            |own: f64, prior: f64| (own * weight + prior * prior_weight) / (weight + prior_weight);
        (
            mix(self.latency.mean, prior.0),
            mix(self.depth.mean, prior.1),
        )
    }
}

/// The times of what happened of late.
#[derive(Default)]
pub struct Recent(VecDeque<f64>);

impl Recent {
    pub fn push(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// How many were later than `since`; the others are forgotten.
    pub fn after(&mut self, since: f64) -> f64 {
        while self.0.front().is_some_and(|t| *t <= since) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// A server as this node knows it.
#[derive(Default)]
pub struct Server {
    pub entry: ServerEntry,
    /// The array of HSQ: the last report and what this node has sent since.
    pub count: Option<f64>,
    /// This node's attempts that are out.
    pub out: usize,
    pub met: bool,
    pub used_at: f64,
    pub pace: Pace,
    pub ejected_until: Option<f64>, // Past this it is on trial.
    /// The part of its share that others say it should not have.
    pub spared: f64,
    /// Spoilt answers since the last outcome of another kind.
    pub spoilt: usize,
    /// Connections that broke under a request since the last outcome of another kind.
    pub broken: usize,
    /// When the latest of the requests that it has answered was sent.
    pub answered_sent_at: f64,
    /// Whom it turned away as full, and until when it is spared them.
    pub full_for: Vec<(usize, f64)>,
    /// When this node sent to it while it was cold.
    pub cold_sends: Recent,
    pub threshold: f64,
    /// The requests that wait for its answer to a probe.
    pub asked: Vec<RequestId>,
}

impl Server {
    pub fn is_ready(&self) -> bool {
        self.entry.availability == Availability::Ready
    }

    /// Whether it is taken out, or on a trial that has not ended.
    pub fn is_out(&self, now: f64) -> bool {
        self.ejected_until
            .is_some_and(|until| until > now || self.out > 0)
    }

    /// Whether nothing can be heard of it any more. Guards against a node that remembers every server there
    /// ever was: what it does and keeps follows those there are.
    pub fn is_over(&self) -> bool {
        self.entry.availability == Availability::Gone && self.out == 0
    }
}

/// One attempt of a request.
pub struct Attempt {
    pub server: usize,
    /// The server as it was then: it may be gone and forgotten before the request is over.
    pub entry: ServerEntry,
    pub sent_at: f64,
    pub depth: f64,
    pub expected: f64,
    /// Whether it went out on a connection that had been idle for an aim.
    pub idle: bool,
    pub open: bool,
}

/// A request that is held or has attempts out.
#[derive(Default)]
pub struct Held {
    pub class: usize,
    /// Whom a server that is full may be full for: the tenant where there are several, else the class.
    pub whom: usize,
    /// The key, of a request that must wait for its turn.
    pub lane: Option<Box<str>>,
    pub taken_at: f64,
    pub gives_up_at: f64,
    /// Servers asked for their load, and those that answered.
    pub asked: Vec<usize>,
    pub heard: Vec<usize>,
    pub attempts: Vec<Attempt>,
    /// The first attempt that may have run or may still run.
    pub ran: Option<usize>,
    pub answered: bool,
    /// When it might find room, if the last look for a server found none for want of it.
    pub room_in: Option<f64>,
}

impl Held {
    /// Notes by how much the shortest wait exceeds what the request can wait for: by then as much will have
    /// drained. Guards against clients that are sent away with no word of when there may be room.
    pub fn has_room_in(&mut self, excess_ms: f64) {
        self.room_in = Some(excess_ms).filter(|ms| ms.is_finite() && *ms > 0.0);
    }
}

/// The requests of one key that run in order, the first being the one whose turn it is.
#[derive(Default)]
pub struct Lane {
    pub queue: VecDeque<RequestId>,
    pub rests_until: f64,
}
