//! The balancer's timers, the deadlines of requests and periodic maintenance.
//!
//! [`TimerQueue`] owns one ordered set of timers and deadlines, and the maximum lateness of a wake-up. The deadline
//! of a finished request is removed, so the set holds at most one deadline for each request in flight.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::Dispatcher;
use crate::node::admin::log;
use balancer::Event;

/// Maximum duration of a balancer timer; longer ones are shortened to it.
const MAX_TIMER: Duration = Duration::from_secs(71 * 60);
/// Minimum lateness of a wake-up that is logged at the next maintenance, because responses are delayed by as much.
const MIN_REPORTED_LATENESS: Duration = Duration::from_millis(20);
/// Interval at which expired idle connections are closed and the lateness of wake-ups is checked.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// The kinds of timers. Timers set for the same instant fire in the order of the variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// A timer of the balancer, with the balancer's number for it.
    Balancer(u64),
    /// The deadline of the request with this number.
    Deadline(u64),
}

/// The set of pending timers, in the order in which they fire.
#[derive(Default)]
pub(super) struct TimerQueue {
    pending: RefCell<BTreeSet<(Instant, TimerKind)>>,
    /// Notified when a new timer becomes the earliest.
    earliest_changed: Notify,
    /// The maximum lateness of a wake-up since the last report.
    max_lateness: Cell<Duration>,
}

impl TimerQueue {
    /// Sets a timer.
    pub(super) fn set(&self, at: Instant, kind: TimerKind) {
        let mut pending = self.pending.borrow_mut();
        if pending.first().is_none_or(|(first, _)| at < *first) {
            self.earliest_changed.notify_one();
        }
        pending.insert((at, kind));
    }

    /// Removes a timer; does nothing if it has fired.
    pub(super) fn remove(&self, at: Instant, kind: TimerKind) {
        self.pending.borrow_mut().remove(&(at, kind));
    }

    /// Waits until the earliest timer is due or an earlier one is set. Cancel safe: a timer stays until
    /// [`pop_due`](Self::pop_due) takes it.
    async fn wait(&self) {
        let earliest = self.pending.borrow().first().map(|(at, _)| *at);
        match earliest {
            Some(at) => tokio::select! {
                () = tokio::time::sleep_until(at.into()) => {}
                () = self.earliest_changed.notified() => {}
            },
            None => self.earliest_changed.notified().await,
        }
    }

    /// Removes and returns the earliest timer if it is due, and records its lateness.
    fn pop_due(&self) -> Option<TimerKind> {
        let (at, kind) = {
            let mut pending = self.pending.borrow_mut();
            let is_due = pending.first().is_some_and(|(at, _)| *at <= Instant::now());
            is_due.then(|| pending.pop_first()).flatten()?
        };
        self.max_lateness
            .set(self.max_lateness.get().max(at.elapsed()));
        Some(kind)
    }
}

impl Dispatcher {
    /// Sets a timer of the balancer.
    pub(super) fn set_balancer_timer(&self, timer: u64, after_ms: f64) {
        let after = Duration::try_from_secs_f64(after_ms.max(0.0) / 1e3).unwrap_or(MAX_TIMER);
        let at = Instant::now() + after.min(MAX_TIMER);
        self.timers.set(at, TimerKind::Balancer(timer));
    }

    /// Handles each timer when it is due. Never completes.
    pub(super) async fn run_timers(self: Rc<Self>) {
        loop {
            self.timers.wait().await;
            while let Some(kind) = self.timers.pop_due() {
                match kind {
                    TimerKind::Balancer(timer) => self.handle_event(Event::Timer(timer)),
                    TimerKind::Deadline(request_number) => self.expire_request(request_number),
                }
            }
        }
    }

    /// Closes expired idle connections and reports late wake-ups at regular intervals. Never completes.
    pub(super) async fn run_maintenance(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.servers.close_expired();
            self.servers.observe_wall_clock();
            if self.timers.max_lateness.get() >= MIN_REPORTED_LATENESS {
                self.report_lateness();
            }
        }
    }

    /// Logs the maximum lateness of a wake-up since the last report, and resets it.
    pub fn report_lateness(&self) {
        let lateness = self.timers.max_lateness.take();
        log::line(format_args!(
            "timers were up to {:.1} ms late",
            lateness.as_secs_f64() * 1e3
        ));
    }
}
