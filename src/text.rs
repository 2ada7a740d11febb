//! Text for logs and error messages.

/// Text without line breaks, so that what a peer sent cannot forge a line of a log.
#[must_use]
pub fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
