//! One direction between two nodes: its properties, and what it does to datagrams.

use std::collections::VecDeque;

use fastrand::Rng;

/// Datagrams of a link that are kept for replay: more than a minute of a busy one. The oldest is dropped beyond.
const MAX_REPLAY_HISTORY: usize = 512;

/// Periods in which a link loses everything.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Burst {
    /// The probability that a datagram begins a burst. 0: there are no bursts.
    pub probability: f64,
    /// How long a burst lasts, in milliseconds.
    pub duration_ms: f64,
}

/// The properties of a link. The default is a good one: a delay of half a millisecond with a little jitter.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Whether everything is dropped.
    pub cut: bool,
    /// The probability that a datagram is lost, independent of others.
    pub loss: f64,
    /// Periods in which everything is lost.
    pub burst: Burst,
    /// The least delay of a datagram, in milliseconds.
    pub delay_ms: f64,
    /// The most that is added to the delay, in milliseconds. Each datagram gets a random part of it, so a long jitter
    /// reorders them.
    pub jitter_ms: f64,
    /// The probability that a datagram is delivered twice.
    pub duplication: f64,
    /// The probability that a byte of a datagram is changed.
    pub corruption: f64,
    /// The probability that an earlier datagram is delivered again together with this one.
    pub replay: f64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            cut: false,
            loss: 0.0,
            burst: Burst::default(),
            delay_ms: 0.5,
            jitter_ms: 0.2,
            duplication: 0.0,
            corruption: 0.0,
            replay: 0.0,
        }
    }
}

/// How many datagrams each kind of fault affected. Lets a trial show that it provoked something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFaultCounts {
    /// Dropped by a cut link.
    pub cut: u64,
    /// Lost, alone or in a burst.
    pub lost: u64,
    /// Delivered twice.
    pub duplicated: u64,
    /// Delivered with a changed byte.
    pub corrupted: u64,
    /// Delivered again later.
    pub replayed: u64,
}

impl std::ops::AddAssign for LinkFaultCounts {
    fn add_assign(&mut self, other: Self) {
        let Self {
            cut,
            lost,
            duplicated,
            corrupted,
            replayed,
        } = other;
        self.cut += cut;
        self.lost += lost;
        self.duplicated += duplicated;
        self.corrupted += corrupted;
        self.replayed += replayed;
    }
}

/// A datagram that a link delivers.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// How long after it was sent, in milliseconds.
    pub after_ms: f64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The state of a link: its random numbers, the burst that it is in and the datagrams that it may replay.
#[derive(Debug)]
pub struct LinkState {
    rng: Rng,
    burst_until_ms: f64,
    /// Datagrams that may be replayed, oldest first. Empty on a link that does not replay.
    history: VecDeque<Vec<u8>>,
}

impl LinkState {
    /// The state of a link that has not been used. The seed should be its own, so that links are independent.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            burst_until_ms: f64::NEG_INFINITY,
            history: VecDeque::new(),
        }
    }

    /// Decides what becomes of a datagram, and counts the faults that affected it.
    pub fn transmit(
        &mut self,
        now_ms: f64,
        link: &Link,
        mut bytes: Vec<u8>,
        counts: &mut LinkFaultCounts,
    ) -> Vec<Delivery> {
        if link.cut {
            counts.cut += 1;
            return Vec::new();
        }
        if self.is_lost(now_ms, link) {
            counts.lost += 1;
            return Vec::new();
        }
        // All three delays are drawn for every datagram, whichever of them are used.
        let [original_ms, duplicate_ms, replay_ms] = [(); 3].map(|()| self.delay_ms(link));
        let mut deliveries = Vec::with_capacity(1);
        if link.replay > 0.0 {
            if let Some(bytes) = self.replay(link, &bytes) {
                counts.replayed += 1;
                deliveries.push(Delivery {
                    after_ms: replay_ms,
                    bytes,
                });
            }
        }
        if self.happens(link.duplication) {
            counts.duplicated += 1;
            deliveries.push(Delivery {
                after_ms: duplicate_ms,
                bytes: bytes.clone(),
            });
        }
        if self.happens(link.corruption) && !bytes.is_empty() {
            counts.corrupted += 1;
            let index = self.rng.usize(..bytes.len());
            bytes[index] ^= self.rng.u8(1..);
        }
        deliveries.push(Delivery {
            after_ms: original_ms,
            bytes,
        });
        deliveries
    }

    /// Whether an event of this probability happens. Draws no random number for an impossible one.
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.f64() < probability
    }

    fn is_lost(&mut self, now_ms: f64, link: &Link) -> bool {
        if self.happens(link.burst.probability) {
            self.burst_until_ms = now_ms + link.burst.duration_ms;
        }
        // Draws a random number on a link without loss too: seeded results depend on it.
        now_ms < self.burst_until_ms || self.rng.f64() < link.loss
    }

    fn delay_ms(&mut self, link: &Link) -> f64 {
        link.delay_ms + self.rng.f64() * link.jitter_ms
    }

    /// Records a datagram, and returns an earlier one if one is to be replayed.
    fn replay(&mut self, link: &Link, bytes: &[u8]) -> Option<Vec<u8>> {
        let replays = self.rng.f64() < link.replay && !self.history.is_empty();
        let replayed = replays.then(|| {
            let index = self.rng.usize(..self.history.len());
            self.history[index].clone()
        });
        if self.history.len() >= MAX_REPLAY_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(bytes.to_vec());
        replayed
    }
}
