//! The node's log: lines on standard error, with a limit on lines per second for each of its two channels: events of the
//! node, and events of single requests. Many of the latter do not suppress the former.
//!
//! The limits apply to each thread; a node has one thread.

use std::cell::Cell;
use std::fmt::Display;
use std::time::{Duration, Instant};

/// Maximum number of lines per second and channel, so that a hostile peer cannot fill the log.
const MAX_LINES_PER_SECOND: u32 = 20;
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// A period of [`WINDOW_LENGTH`] and the number of lines that were requested in it, including suppressed lines.
#[derive(Clone, Copy)]
struct Window {
    start: Instant,
    requested_lines: u32,
}

thread_local! {
    static NODE_EVENTS: Cell<Option<Window>> = const { Cell::new(None) };
    static REQUEST_EVENTS: Cell<Option<Window>> = const { Cell::new(None) };
}

/// Writes a line about the node unless the limit per second is reached. Line breaks in `text` are replaced, so that an
/// event is always one line.
pub fn line(text: impl Display) {
    NODE_EVENTS.with(|channel| write(channel, &text));
}

/// Like [`line`], for an event of a single request.
pub fn request_line(text: impl Display) {
    REQUEST_EVENTS.with(|channel| write(channel, &text));
}

fn write(channel: &Cell<Option<Window>>, text: &dyn Display) {
    let window = current_window(channel.get(), Instant::now());
    channel.set(Some(Window {
        requested_lines: window.requested_lines.saturating_add(1),
        ..window
    }));
    if window.requested_lines < MAX_LINES_PER_SECOND {
        eprintln!("silverthread: {}", crate::text::one_line(&text.to_string()));
    }
}

/// Returns the window that contains `now`. If a new window begins, logs how many lines were suppressed in the previous
/// one.
fn current_window(previous: Option<Window>, now: Instant) -> Window {
    if let Some(window) = previous {
        if now - window.start < WINDOW_LENGTH {
            return window;
        }
        if window.requested_lines > MAX_LINES_PER_SECOND {
            let suppressed = window.requested_lines - MAX_LINES_PER_SECOND;
            eprintln!("silverthread: log rate limit exceeded: {suppressed} lines suppressed");
        }
    }
    Window {
        start: now,
        requested_lines: 0,
    }
}
