//! Parsing of the headers that carry the version and age of a Consul response.

const MS_PER_S: f64 = 1e3;

/// Version and age of a response. The field of a missing or invalid header is `None`.
///
/// Reference: Consul's API pages "Blocking Queries", "Consistency Modes" and "Agent Caching".
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// `X-Consul-Index`.
    pub index: Option<u64>,
    /// `X-Consul-KnownLeader`.
    pub known_leader: Option<bool>,
    /// `X-Consul-LastContact`, in milliseconds: time since the responding server was last in
    /// contact with the leader.
    pub last_contact_ms: Option<f64>,
    /// `Age`, in seconds, of a response from an agent's cache.
    pub age_s: Option<f64>,
    /// Whether `X-Cache` says that the response came from a cache.
    pub is_cached: bool,
}

impl ResponseHead {
    /// Parses headers; their names are case-insensitive.
    #[must_use]
    pub fn parse(headers: &[(&str, &str)]) -> Self {
        let mut head = Self::default();
        for (name, value) in headers {
            let value = value.trim();
            match name.to_ascii_lowercase().as_str() {
                "x-consul-index" => head.index = value.parse().ok(),
                "x-consul-knownleader" => head.known_leader = value.parse().ok(),
                "x-consul-lastcontact" => head.last_contact_ms = parse_duration(value),
                "age" => head.age_s = parse_duration(value),
                "x-cache" => head.is_cached = value.eq_ignore_ascii_case("hit"),
                _ => {}
            }
        }
        head
    }

    /// Whether the response may be older than `max_age_ms`, or comes from a server without a
    /// known leader.
    #[must_use]
    pub fn is_stale(&self, max_age_ms: f64) -> bool {
        let cached_for_ms = self.age_s.filter(|_| self.is_cached).unwrap_or(0.0) * MS_PER_S;
        self.known_leader == Some(false)
            || self.last_contact_ms.unwrap_or(0.0) + cached_for_ms > max_age_ms
    }
}

/// Parses a finite duration that is not negative.
fn parse_duration(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|duration: &f64| duration.is_finite() && *duration >= 0.0)
}

#[cfg(test)]
mod tests;
