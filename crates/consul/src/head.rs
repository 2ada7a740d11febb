//! What the headers of an answer tell of it.

/// The headers that tell how new an answer is. One that is missing or makes no sense is `None`.
///
/// Source: Consul's API pages "Blocking Queries", "Consistency Modes" and "Agent Caching".
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Head {
    /// `X-Consul-Index`.
    pub index: Option<u64>,
    /// `X-Consul-KnownLeader`.
    pub known_leader: Option<bool>,
    /// `X-Consul-LastContact`, in milliseconds: how long ago the server that answered heard of the leader.
    pub last_contact_ms: Option<f64>,
    /// `Age`, in seconds, of an answer from an agent's cache.
    pub age_s: Option<f64>,
    /// Whether `X-Cache` says that it came from there.
    pub cached: bool,
}

impl Head {
    /// Reads the headers; their names in any case.
    #[must_use]
    pub fn read(headers: &[(&str, &str)]) -> Self {
        let mut head = Self::default();
        for (name, value) in headers {
            let value = value.trim();
            let number = || {
                value
                    .parse::<f64>()
                    .ok()
                    .filter(|x| x.is_finite() && *x >= 0.0)
            };
            match name.to_ascii_lowercase().as_str() {
                "x-consul-index" => head.index = value.parse().ok(),
                "x-consul-knownleader" => head.known_leader = value.parse().ok(),
                "x-consul-lastcontact" => head.last_contact_ms = number(),
                "age" => head.age_s = number(),
                "x-cache" => head.cached = value.eq_ignore_ascii_case("hit"),
                _ => {}
            }
        }
        head
    }

    /// Whether the answer may be of longer ago than `most_ms`.
    #[must_use]
    pub fn is_stale(&self, most_ms: f64) -> bool {
        let cached_for = self.age_s.filter(|_| self.cached).unwrap_or(0.0) * 1e3;
        self.known_leader == Some(false)
            || self.last_contact_ms.unwrap_or(0.0) + cached_for > most_ms
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_answer_without_a_leader_or_of_too_long_ago_is_stale() {
        let stale = |headers: &[(&str, &str)]| Head::read(headers).is_stale(5_000.0);
        assert!(!stale(&[]));
        assert!(!stale(&[
            ("X-Consul-KnownLeader", "true"),
            ("X-Consul-LastContact", "5000")
        ]));
        assert!(stale(&[("X-Consul-KnownLeader", "false")]));
        assert!(stale(&[("x-consul-lastcontact", "5001")]));
        assert!(stale(&[("X-Cache", "HIT"), ("Age", "6")]));
        assert!(!stale(&[("X-Cache", "MISS"), ("Age", "6")]));
        assert!(stale(&[
            ("X-Cache", "HIT"),
            ("Age", "3"),
            ("X-Consul-LastContact", "3000")
        ]));
    }

    #[test]
    fn what_makes_no_sense_is_passed_over() {
        let head = Head::read(&[
            ("X-Consul-Index", "-1"),
            ("X-Consul-KnownLeader", "perhaps"),
            ("X-Consul-LastContact", "NaN"),
            ("Age", "1e999"),
        ]);
        assert_eq!(head, Head::default());
        assert_eq!(
            Head::read(&[("x-consul-index", " 18446744073709551615 ")]).index,
            Some(u64::MAX)
        );
    }
}
