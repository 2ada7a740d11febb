//! Lines for the operators on standard error, so many a second and no more.

use std::cell::Cell;
use std::fmt::Display;
use std::time::{Duration, Instant};

/// Lines of each second; a hostile peer must not fill the log.
const MOST: u32 = 20;

thread_local! {
    static WINDOW: Cell<Option<(Instant, u32)>> = const { Cell::new(None) };
}

/// Writes a line, unless this second has had its share.
pub fn line(text: impl Display) {
    let now = Instant::now();
    let (since, lines) = match WINDOW.get() {
        Some((since, lines)) if now - since < Duration::from_secs(1) => (since, lines),
        previous => {
            if let Some((_, lines)) = previous.filter(|(_, lines)| *lines > MOST) {
                eprintln!("silverthread: {} more lines were left out", lines - MOST);
            }
            (now, 0)
        }
    };
    WINDOW.set(Some((since, lines.saturating_add(1))));
    if lines < MOST {
        eprintln!("silverthread: {}", crate::text::one_line(&text.to_string()));
    }
}
