//! Runs the parts of a subject in separate processes. Allocations are counted per process, and threads of one process
//! would contend for that counter.

use std::collections::BTreeMap;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

use crate::system::is_brief;

/// Maximum number of seeds that one process runs.
pub const SEEDS_PER_PROCESS: u64 = 50;

/// Calls `run` once with each number below `count`, on all cores.
fn on_all_cores(count: u64, run: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(0);
    let workers = thread::available_parallelism().map_or(1, usize::from);
    thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count {
                    return;
                }
                run(number);
            });
        }
    });
}

/// Runs the parts of a subject in processes, `parts_per_process` in each, and returns their outputs in the order of the parts.
///
/// # Panics
///
/// Panics if this program cannot be started again.
pub fn run_in_processes(subject: &str, parts: u64, parts_per_process: u64) -> Vec<String> {
    let outputs = Mutex::new(BTreeMap::new());
    let program = std::env::current_exe().expect("the running program has a path");
    on_all_cores(parts.div_ceil(parts_per_process), |process| {
        let first = process * parts_per_process;
        let count = parts_per_process.min(parts - first);
        let mut command = Command::new(&program);
        command.args([subject, "--seed", &first.to_string()]);
        command.args(["--seeds", &count.to_string()]);
        command.args(is_brief().then_some("--brief"));
        let output = command.output().expect("this program can be started");
        outputs.lock().expect("no worker panicked").insert(
            process,
            String::from_utf8_lossy(&output.stdout).into_owned(),
        );
    });
    outputs
        .into_inner()
        .expect("no worker panicked")
        .into_values()
        .collect()
}
