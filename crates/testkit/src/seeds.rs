//! Runs the seeds of a soak, several at a time.

use std::ops::Range;
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Environment variable with the seeds that run in place of the default ones, as `100..160`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// Number of seeds that run at a time.
const CONCURRENT_SEEDS: usize = 4;

/// Runs each seed, and returns the broken rules that `run_seed` returns.
pub fn run_seeds(
    default_seeds: Range<u64>,
    run_seed: impl Fn(u64) -> Vec<String> + Sync,
) -> Vec<String> {
    let seeds = Mutex::new(seeds_from_environment().unwrap_or(default_seeds));
    let next_seed = || seeds.lock().unwrap_or_else(PoisonError::into_inner).next();
    let run_all = || -> Vec<_> { std::iter::from_fn(next_seed).flat_map(&run_seed).collect() };
    thread::scope(|scope| {
        let workers = [0; CONCURRENT_SEEDS].map(|_| scope.spawn(run_all));
        workers
            .into_iter()
            .flat_map(|worker| worker.join().expect("the run does not panic"))
            .collect()
    })
}

fn seeds_from_environment() -> Option<Range<u64>> {
    let text = std::env::var(SEEDS_VARIABLE).ok()?;
    let parse = |text: &str| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    };
    Some(parse(&text).expect("SOAK_SEEDS is a range such as 100..160"))
}
