//! Description of the machine, processor time and memory of a process, quantiles, and the length of a measurement.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`: the same on every Linux that Rust supports.
const TICKS_PER_S: f64 = 100.0;

/// Prints the number of cores and the processor model of the machine.
pub fn print_machine() {
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

/// Processor time used by a process so far.
#[must_use]
pub fn cpu_time(process_id: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    // The process name is parenthesized and may contain spaces; user and system time are the 12th and 13th fields after it.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<f64>().ok())
        .sum();
    Duration::from_secs_f64(ticks / TICKS_PER_S)
}

/// Resident memory of a process, in MiB.
#[must_use]
pub fn memory_mib(process_id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .unwrap_or("0");
    line.split_whitespace()
        .next()
        .and_then(|kib| kib.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

/// The value at a fraction of the sorted values, for example 0.5 for the median; NaN without values. Sorts the values.
#[must_use]
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values
        .get(((values.len().saturating_sub(1)) as f64 * fraction) as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

static BRIEF: AtomicBool = AtomicBool::new(false);
/// Duration of a shortened measurement: enough for some responses on any machine.
const BRIEF_DURATION: Duration = Duration::from_millis(150);

/// Shortens all measurements from now on, to check that they run; their figures are meaningless.
pub fn set_brief() {
    BRIEF.store(true, Ordering::Relaxed);
}

/// Whether measurements are shortened.
pub fn is_brief() -> bool {
    BRIEF.load(Ordering::Relaxed)
}

/// Number of rounds, requests or the like: `wanted`, but at most `brief` in a shortened measurement.
pub fn count(wanted: usize, brief: usize) -> usize {
    if is_brief() {
        wanted.min(brief)
    } else {
        wanted
    }
}

/// Duration of a step: `wanted`, but at most `BRIEF_DURATION` in a shortened measurement.
pub fn duration(wanted: Duration) -> Duration {
    if is_brief() {
        wanted.min(BRIEF_DURATION)
    } else {
        wanted
    }
}

static CONFIGURED_S: std::sync::OnceLock<u64> = std::sync::OnceLock::new();

/// Sets the duration of the subjects whose duration can be configured, in seconds.
pub fn set_duration(seconds: u64) {
    let _ = CONFIGURED_S.set(seconds); // Called at most once, at the start.
}

/// The duration given to `set_duration`, or else `default`, which is reduced in a shortened measurement.
pub fn configured_duration(default: Duration) -> Duration {
    CONFIGURED_S
        .get()
        .map_or(duration(default), |seconds| Duration::from_secs(*seconds))
}
