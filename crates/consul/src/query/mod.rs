//! Queries: paths and parameters of Consul's HTTP API.

use std::fmt::Write;

const MS_PER_S: f64 = 1e3;
/// Maximum jitter that Consul adds to a wait, as a fraction of the wait.
const MAX_JITTER: f64 = 1.0 / 16.0;

/// The API endpoint that lists a service's instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/health/service/:name`: instances with their checks.
    Health,
    /// `/v1/catalog/service/:name`: instances without their checks.
    Catalog,
}

/// The consistency mode: how current a response must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// From the leader, but possibly stale for a short time after a leader change.
    Default,
    /// From any server, regardless of its staleness.
    Stale,
    /// From a leader that has verified its leadership.
    Consistent,
    /// From the agent's cache.
    Cached,
}

/// A query for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The API endpoint.
    pub api: Api,
    /// The service's name.
    pub service: String,
    /// `dc`.
    pub datacenter: Option<String>,
    /// `ns`.
    pub namespace: Option<String>,
    /// `partition`.
    pub partition: Option<String>,
    /// `tag`, repeated; an instance must have all of them.
    pub tags: Vec<String>,
    /// `filter`, in Consul's filter language.
    pub filter: Option<String>,
    /// The consistency mode.
    pub consistency: Consistency,
    /// `wait`, in seconds: how long a blocking query may block while nothing changes.
    pub wait_s: u32,
}

impl Query {
    /// A query for all instances of a service with their checks, with the default options.
    #[must_use]
    pub fn health(service: impl Into<String>) -> Self {
        Self {
            api: Api::Health,
            service: service.into(),
            datacenter: None,
            namespace: None,
            partition: None,
            tags: Vec::new(),
            filter: None,
            consistency: Consistency::Default,
            wait_s: 60,
        }
    }

    /// Path and parameters of a request that blocks until there is a change newer than `index`.
    /// With index 0 it does not block.
    #[must_use]
    pub fn path(&self, index: u64) -> String {
        let api = match self.api {
            Api::Health => "health",
            Api::Catalog => "catalog",
        };
        let mut path = format!("/v1/{api}/service/{}?", percent_encode(&self.service));
        if index > 0 {
            let _ = write!(path, "index={index}&wait={}s&", self.wait_s); // Writing to a string cannot fail.
        }
        for (name, value) in [
            ("dc", &self.datacenter),
            ("ns", &self.namespace),
            ("partition", &self.partition),
            ("filter", &self.filter),
        ] {
            if let Some(value) = value {
                let _ = write!(path, "{name}={}&", percent_encode(value));
            }
        }
        for tag in &self.tags {
            let _ = write!(path, "tag={}&", percent_encode(tag));
        }
        path.push_str(match self.consistency {
            Consistency::Default => "",
            Consistency::Stale => "stale",
            Consistency::Consistent => "consistent",
            Consistency::Cached => "cached",
        });
        path.truncate(path.trim_end_matches(['&', '?']).len());
        path
    }

    /// Maximum time that Consul blocks while nothing changes, in milliseconds. Consul adds up to a
    /// sixteenth of the wait as jitter, so that not all blocked clients return at the same time.
    #[must_use]
    pub fn max_wait_ms(&self) -> f64 {
        f64::from(self.wait_s) * MS_PER_S * (1.0 + MAX_JITTER)
    }
}

/// Percent-encodes all bytes except the unreserved characters of RFC 3986.
fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(byte.into());
        } else {
            let _ = write!(encoded, "%{byte:02X}"); // Writing to a string cannot fail.
        }
    }
    encoded
}

#[cfg(test)]
mod tests;
