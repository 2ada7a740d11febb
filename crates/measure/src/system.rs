//! What the system tells of a process, and of itself.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Ticks a second in `/proc/PID/stat`: the same on every Linux that Rust runs on.
const TICKS: f64 = 100.0;

/// Prints the machine.
pub fn describe() {
    let info = std::fs::read_to_string("/proc/cpuinfo").unwrap_or_default();
    let model = info
        .lines()
        .find_map(|line| line.strip_prefix("model name"))
        .unwrap_or(": unknown");
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!(
        "machine: {cores} cores, {}",
        model.trim_start_matches(['\t', ':', ' '])
    );
}

/// The processor time that a process has used.
#[must_use]
pub fn cpu(process: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The name stands in brackets and may hold spaces; user and system time are the 12th and 13th behind it.
    let behind = stat.rsplit_once(')').map_or("", |(_, behind)| behind);
    let ticks: f64 = behind
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<f64>().ok())
        .sum();
    Duration::from_secs_f64(ticks / TICKS)
}

/// The memory that a process holds, in MB.
#[must_use]
pub fn memory_mb(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("0");
    line.split_whitespace()
        .next()
        .and_then(|kb| kb.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

/// The figure at a part of the way through all, in their order.
#[must_use]
pub fn quantile(figures: &mut [f64], part: f64) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures
        .get(((figures.len().saturating_sub(1)) as f64 * part) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

static BRIEF: AtomicBool = AtomicBool::new(false);
/// How long a moment is: some requests are answered in it on any machine.
const MOMENT: Duration = Duration::from_millis(150);

/// From now on everything is played for a moment only: to see that it still runs, not for its figures.
pub fn be_brief() {
    BRIEF.store(true, Ordering::Relaxed);
}

/// Whether everything is played for a moment only.
pub fn is_brief() -> bool {
    BRIEF.load(Ordering::Relaxed)
}

/// So many rounds, requests or changes; few where it is to be brief.
pub fn count(wanted: usize, brief: usize) -> usize {
    if is_brief() {
        wanted.min(brief)
    } else {
        wanted
    }
}

/// So long; a moment where it is to be brief.
pub fn time(wanted: Duration) -> Duration {
    if is_brief() {
        wanted.min(MOMENT)
    } else {
        wanted
    }
}

static SECONDS: std::sync::OnceLock<u64> = std::sync::OnceLock::new();

/// Subjects that play for a time play for this one.
pub fn play_for(seconds: u64) {
    let _ = SECONDS.set(seconds); // Set once, at the start.
}

/// For how long such a subject plays: what was asked for, or this.
pub fn played_for(otherwise: Duration) -> Duration {
    SECONDS
        .get()
        .map_or(time(otherwise), |seconds| Duration::from_secs(*seconds))
}
