//! Links, each of which carries datagrams from one node to another, and the faults that they apply to them.

use std::collections::VecDeque;

use fastrand::Rng;

/// Maximum number of datagrams that a link keeps for replay: more than a minute of traffic on a busy link. Beyond it,
/// the oldest is dropped.
const MAX_REPLAY_HISTORY: usize = 512;

/// Bursts of loss: periods in which a link loses every datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Burst {
    /// Probability that a datagram begins a burst; 0 disables bursts.
    pub probability: f64,
    /// Duration of a burst, in milliseconds.
    pub duration_ms: f64,
}

/// Properties of a link. The default link has no faults, a delay of half a millisecond and a little jitter.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Whether all datagrams are dropped.
    pub cut: bool,
    /// Probability that a datagram is lost, independent of other datagrams.
    pub loss: f64,
    /// Periods in which all datagrams are lost.
    pub burst: Burst,
    /// Minimum delay of a datagram, in milliseconds.
    pub delay_ms: f64,
    /// Maximum random addition to the delay of each datagram, in milliseconds. If it is longer than the interval
    /// between datagrams, they may be reordered.
    pub jitter_ms: f64,
    /// Probability that a datagram is delivered twice.
    pub duplication: f64,
    /// Probability that a byte of a datagram is changed.
    pub corruption: f64,
    /// Probability that a datagram causes an earlier one to be delivered again.
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

/// Number of datagrams that each kind of fault affected. Lets a test verify that its faults took effect.
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
    /// Delay since the datagram was sent, in milliseconds.
    pub after_ms: f64,
    /// Contents of the datagram, possibly corrupted.
    pub bytes: Vec<u8>,
}

/// State of a link: its random number generator, the end of its last burst and the datagrams that it may replay.
#[derive(Debug)]
pub struct LinkState {
    rng: Rng,
    burst_until_ms: f64,
    /// Datagrams that may be replayed, oldest first. Empty on a link that does not replay.
    history: VecDeque<Vec<u8>>,
}

impl LinkState {
    /// Creates the state of an unused link. Each link should have a seed of its own, so that links are independent.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            burst_until_ms: f64::NEG_INFINITY,
            history: VecDeque::new(),
        }
    }

    /// Applies the link's faults to a datagram, counts them and returns the resulting deliveries.
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
        // All three delays are drawn for every datagram, including those that are not used.
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

    /// Draws whether an event of this probability happens. Draws no random number if the probability is 0.
    fn happens(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.f64() < probability
    }

    fn is_lost(&mut self, now_ms: f64, link: &Link) -> bool {
        if self.happens(link.burst.probability) {
            self.burst_until_ms = now_ms + link.burst.duration_ms;
        }
        // Draws a random number even on a link without loss, because seeded results depend on it.
        now_ms < self.burst_until_ms || self.rng.f64() < link.loss
    }

    fn delay_ms(&mut self, link: &Link) -> f64 {
        link.delay_ms + self.rng.f64() * link.jitter_ms
    }

    /// Records a datagram for later replay. Returns an earlier one if one is to be replayed now.
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
