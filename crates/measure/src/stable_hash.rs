//! Cost and evenness of the hash function from which all nodes compute the same assignment, compared with alternatives.

use std::hash::{DefaultHasher, Hasher};
use std::hint::black_box;
use std::time::Instant;

use gossip::MemberId;

use crate::system::{count, quantile};

const CALLS: usize = 2_000_000;
const ROUNDS: usize = 9;
const SHARDS: u64 = 128;

type HashFunction = fn(u64) -> u64;

fn blake3_first(x: u64) -> u64 {
    let hash = blake3::hash(&x.to_le_bytes());
    hash.as_bytes()
        .first_chunk()
        .map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

fn std_hasher(x: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(x);
    hasher.finish()
}

const HASH_FUNCTIONS: [(&str, HashFunction); 4] = [
    ("stable_hash::mix", stable_hash::mix),
    ("fastrand", |x| fastrand::Rng::with_seed(x).u64(..)),
    ("std's hasher", std_hasher),
    ("BLAKE3", blake3_first),
];

/// Nanoseconds per call.
fn call_cost_ns(hash: HashFunction) -> f64 {
    let calls = count(CALLS, 1_000);
    let start = Instant::now();
    let last = (0..calls as u64).fold(0, |last, x| hash(last ^ x));
    black_box(last);
    start.elapsed().as_secs_f64() * 1e9 / calls as f64
}

/// Number of shards of the node with the most shards under rendezvous hashing, as a multiple of the mean.
fn peak_share(hash: HashFunction, nodes: usize) -> f64 {
    let ids: Vec<_> = (0..nodes)
        .map(|node| MemberId::of(&format!("n{node}")).0)
        .collect();
    let mut owned = vec![0_u32; nodes];
    for shard in 0..SHARDS {
        let score = |node: &usize| hash(ids[*node] ^ hash(shard + 1));
        if let Some(owner) = (0..nodes).max_by_key(score) {
            owned[owner] += 1;
        }
    }
    f64::from(owned.into_iter().max().unwrap_or(0)) * nodes as f64 / SHARDS as f64
}

/// Mean number of the 64 output bits that change with one input bit: 32 for a random function.
fn changed_bits(hash: HashFunction) -> f64 {
    let (mut sum, mut pairs) = (0, 0);
    for x in 0..count(2_000, 20) as u64 {
        for bit in 0..64 {
            sum += (hash(x) ^ hash(x ^ 1 << bit)).count_ones();
            pairs += 1;
        }
    }
    f64::from(sum) / f64::from(pairs)
}

/// Prints the table of the hash functions.
pub fn measure() {
    println!("\n{SHARDS} shards by rendezvous hashing; peak: shards of the node with the most, as a multiple of the mean; ns/call: median of {ROUNDS} rounds");
    println!(
        "{:>14} {:>10} {:>14} {:>12} {:>12} {:>12}",
        "function", "ns/call", "bits changed", "peak of 5", "peak of 30", "peak of 300"
    );
    for (name, hash) in HASH_FUNCTIONS {
        let mut costs: Vec<_> = (0..count(ROUNDS, 1)).map(|_| call_cost_ns(hash)).collect();
        let (cost, changed) = (quantile(&mut costs, 0.5), changed_bits(hash));
        let [peak_of_5, peak_of_30, peak_of_300] =
            [5, 30, 300].map(|nodes| peak_share(hash, nodes));
        println!("{name:>14} {cost:>10.1} {changed:>14.2} {peak_of_5:>12.2} {peak_of_30:>12.2} {peak_of_300:>12.2}");
    }
}
