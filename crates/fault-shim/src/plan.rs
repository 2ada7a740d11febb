//! The faults that a process is to meet, from the environment, and the counts of those it has met.

use std::ffi::c_int;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// Environment variable with the plan: `seed=N` and `CALL=SHARE` with a share of 0 to 1, separated by commas.
const PLAN_VARIABLE: &str = "FAULT_SHIM_PLAN";

/// A system call whose faults are injected.
#[derive(Clone, Copy)]
pub enum Call {
    /// A read that returns fewer bytes than there are.
    ShortReceive,
    /// A read that is interrupted.
    InterruptedReceive,
    /// A write that takes fewer bytes than there is room for.
    ShortSend,
    /// A write that is interrupted.
    InterruptedSend,
    /// A read that fails because the connection to a server is broken.
    BrokenReceive,
    /// A write that fails because the connection to a server is broken.
    BrokenSend,
    /// An accept that fails.
    Accept,
    /// A connect that fails.
    Connect,
    /// A socket that cannot be created.
    Socket,
    /// A wait that is interrupted.
    Wait,
}

impl Call {
    const COUNT: usize = 10;
    const ALL: [Self; Self::COUNT] = [
        Self::ShortReceive,
        Self::InterruptedReceive,
        Self::ShortSend,
        Self::InterruptedSend,
        Self::BrokenReceive,
        Self::BrokenSend,
        Self::Accept,
        Self::Connect,
        Self::Socket,
        Self::Wait,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::ShortReceive => "short_receive",
            Self::InterruptedReceive => "interrupted_receive",
            Self::ShortSend => "short_send",
            Self::InterruptedSend => "interrupted_send",
            Self::BrokenReceive => "broken_receive",
            Self::BrokenSend => "broken_send",
            Self::Accept => "accept",
            Self::Connect => "connect",
            Self::Socket => "socket",
            Self::Wait => "wait",
        }
    }
}

/// The shares of calls that meet a fault, and counts of those that have.
pub struct Plan {
    seed: u64,
    shares: [f64; Call::COUNT],
    draws: AtomicU64,
    injected: [AtomicU64; Call::COUNT],
}

impl Plan {
    /// The plan of this process.
    pub fn get() -> &'static Self {
        static PLAN: OnceLock<Plan> = OnceLock::new();
        PLAN.get_or_init(|| {
            // SAFETY: `report` is a function without arguments that does not unwind.
            unsafe { libc::atexit(report) };
            Self::parse(&std::env::var(PLAN_VARIABLE).unwrap_or_default())
        })
    }

    fn parse(text: &str) -> Self {
        let value = |name: &str| {
            let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        Self {
            seed: value("seed").and_then(parse).unwrap_or_default(),
            shares: Call::ALL.map(|call| value(call.name()).and_then(parse).unwrap_or_default()),
            draws: AtomicU64::default(),
            injected: std::array::from_fn(|_| AtomicU64::default()),
        }
    }

    /// Draws whether this call meets a fault, and counts it if so.
    pub fn injects(&self, call: Call) -> bool {
        let share = self.shares[call as usize];
        if share <= 0.0 {
            return false;
        }
        let is_injected = self.random().f64() < share;
        if is_injected {
            self.injected[call as usize].fetch_add(1, Ordering::Relaxed);
        }
        is_injected
    }

    /// Draws one of these error numbers.
    pub fn error(&self, errors: &[c_int]) -> c_int {
        errors[self.random().usize(..errors.len())]
    }

    /// Draws a length of at least 1 and less than `length`, which is at least 2.
    pub fn shorter(&self, length: usize) -> usize {
        self.random().usize(1..length)
    }

    fn random(&self) -> fastrand::Rng {
        let draw = self.draws.fetch_add(1, Ordering::Relaxed);
        fastrand::Rng::with_seed(self.seed ^ draw.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

fn parse<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Prints how many faults of each kind were injected.
extern "C" fn report() {
    let plan = Plan::get();
    let counts: Vec<_> = Call::ALL
        .iter()
        .map(|call| {
            let count = plan.injected[*call as usize].load(Ordering::Relaxed);
            format!("{}={count}", call.name())
        })
        .collect();
    eprintln!("fault-shim: {}", counts.join(" "));
}
