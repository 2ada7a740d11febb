//! One direction between two nodes.

use std::collections::VecDeque;

use fastrand::Rng;

/// Datagrams of a link that are kept to be played again: more than a minute of a busy one.
const MOST_KEPT: usize = 512;

/// What a link does to what is sent on it. The default is a good one: half a millisecond and a little jitter.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Whether nothing passes.
    pub cut: bool,
    /// The part that is lost, each by itself.
    pub loss: f64,
    /// Bursts: how often they begin, in one datagram of so many (0: never), and for how long all is lost then, in
    /// milliseconds.
    pub burst: (f64, f64),
    /// How long a datagram takes, in milliseconds.
    pub delay_ms: f64,
    /// By how much more at the most, drawn anew for each: they overtake each other where this is long.
    pub jitter_ms: f64,
    /// The part that comes twice.
    pub twice: f64,
    /// The part of which a byte changes.
    pub corrupt: f64,
    /// The part after which one that went by earlier comes once more.
    pub replay: f64,
}

impl Default for Link {
    fn default() -> Self {
        Self {
            cut: false,
            loss: 0.0,
            burst: (0.0, 0.0),
            delay_ms: 0.5,
            jitter_ms: 0.2,
            twice: 0.0,
            corrupt: 0.0,
            replay: 0.0,
        }
    }
}

/// What was done to datagrams, so that a trial can show that something was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Done {
    /// Kept from passing by a cut.
    pub cut: u64,
    /// Lost.
    pub lost: u64,
    /// Passed twice.
    pub doubled: u64,
    /// Changed.
    pub corrupted: u64,
    /// Played again later.
    pub replayed: u64,
}

impl std::ops::AddAssign for Done {
    fn add_assign(&mut self, other: Self) {
        let Self {
            cut,
            lost,
            doubled,
            corrupted,
            replayed,
        } = other;
        self.cut += cut;
        self.lost += lost;
        self.doubled += doubled;
        self.corrupted += corrupted;
        self.replayed += replayed;
    }
}

/// A link's own random numbers, and what it remembers.
#[derive(Debug)]
pub struct Line {
    rng: Rng,
    burst_until_ms: f64,
    /// None: nothing has been kept yet. There are as many links as pairs of nodes.
    kept: Option<Box<Kept>>,
}

/// What went by, to be played again.
#[derive(Debug, Default)]
struct Kept(VecDeque<Vec<u8>>);

impl Line {
    /// A line whose random numbers come from a seed of its own.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            burst_until_ms: f64::NEG_INFINITY,
            kept: None,
        }
    }

    /// What comes out for what goes in: bytes, and after how long. What is done to it is counted.
    pub fn pass(
        &mut self,
        now_ms: f64,
        link: &Link,
        bytes: Vec<u8>,
        done: &mut Done,
    ) -> Vec<(f64, Vec<u8>)> {
        if link.cut {
            done.cut += 1;
            return Vec::new();
        }
        if link.burst.0 > 0.0 && self.rng.f64() < link.burst.0 {
            self.burst_until_ms = now_ms + link.burst.1;
        }
        if now_ms < self.burst_until_ms || self.rng.f64() < link.loss {
            done.lost += 1;
            return Vec::new();
        }
        let mut passed = Vec::with_capacity(1);
        let mut after = || link.delay_ms + self.rng.f64() * link.jitter_ms;
        let (first, second, third) = (after(), after(), after());
        if link.replay > 0.0 {
            let Kept(kept) = &mut **self.kept.get_or_insert_default();
            if self.rng.f64() < link.replay && !kept.is_empty() {
                done.replayed += 1;
                passed.push((third, kept[self.rng.usize(..kept.len())].clone()));
            }
            if kept.len() >= MOST_KEPT {
                kept.pop_front();
            }
            kept.push_back(bytes.clone());
        }
        if link.twice > 0.0 && self.rng.f64() < link.twice {
            done.doubled += 1;
            passed.push((second, bytes.clone()));
        }
        let mut bytes = bytes;
        if link.corrupt > 0.0 && self.rng.f64() < link.corrupt && !bytes.is_empty() {
            done.corrupted += 1;
            let at = self.rng.usize(..bytes.len());
            bytes[at] ^= self.rng.u8(1..);
        }
        passed.push((first, bytes));
        passed
    }
}
