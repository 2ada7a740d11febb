//! Text for logs and error messages.

/// Replaces each line break with a space, so that text received from a peer cannot forge log lines.
#[must_use]
pub fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}
