//! The node's log: lines on standard error, limited to a number per second.
//!
//! The limit is per thread; a node has one.

use std::cell::Cell;
use std::fmt::Display;
use std::time::{Duration, Instant};

/// Lines per second; a hostile peer must not fill the log.
const MAX_LINES_PER_SECOND: u32 = 20;
const WINDOW_LENGTH: Duration = Duration::from_secs(1);

/// A second and the lines that were to be written in it.
#[derive(Clone, Copy)]
struct Window {
    start: Instant,
    lines: u32,
}

thread_local! {
    static WINDOW: Cell<Option<Window>> = const { Cell::new(None) };
}

/// Writes a line, unless as many lines as allowed were written in this second. Line breaks in `text` are escaped, so
/// that one event is one line.
pub fn line(text: impl Display) {
    let window = current_window(Instant::now());
    WINDOW.set(Some(Window {
        lines: window.lines.saturating_add(1),
        ..window
    }));
    if window.lines < MAX_LINES_PER_SECOND {
        eprintln!("silverthread: {}", crate::text::one_line(&text.to_string()));
    }
}

/// The window of this moment. Where a new one begins, logs how many lines the previous one suppressed.
fn current_window(now: Instant) -> Window {
    let previous = WINDOW.get();
    if let Some(window) = previous {
        if now - window.start < WINDOW_LENGTH {
            return window;
        }
        if window.lines > MAX_LINES_PER_SECOND {
            let suppressed = window.lines - MAX_LINES_PER_SECOND;
            eprintln!("silverthread: {suppressed} more lines were suppressed");
        }
    }
    Window {
        start: now,
        lines: 0,
    }
}
