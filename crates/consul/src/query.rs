//! What is asked.

use std::fmt::Write;

/// Which of Consul's two views of a service is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/health/service/:name`: instances with their checks.
    Health,
    /// `/v1/catalog/service/:name`: instances alone; nobody's health is known.
    Catalog,
}

/// How new an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// From the leader, but for the moment after it changed.
    Default,
    /// From any server, however far behind.
    Stale,
    /// From a leader that has made sure that it is one.
    Consistent,
    /// From the agent's cache.
    Cached,
}

/// A query for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// Which view.
    pub api: Api,
    /// The service's name.
    pub service: String,
    /// `dc`.
    pub datacenter: Option<String>,
    /// `ns`.
    pub namespace: Option<String>,
    /// `partition`.
    pub partition: Option<String>,
    /// `tag`, all of which an instance must have.
    pub tags: Vec<String>,
    /// `filter`, in Consul's own words.
    pub filter: Option<String>,
    /// How new the answer must be.
    pub consistency: Consistency,
    /// `wait`, in seconds: how long a blocking query may stand while nothing changes.
    pub wait_s: u32,
}

impl Query {
    /// All instances of a service, with their checks.
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

    /// Path and query of a request that is answered once something is newer than `index`; 0: at once.
    #[must_use]
    pub fn path(&self, index: u64) -> String {
        let api = match self.api {
            Api::Health => "health",
            Api::Catalog => "catalog",
        };
        let mut path = format!("/v1/{api}/service/{}?", encode(&self.service));
        if index > 0 {
            let _ = write!(path, "index={index}&wait={}s&", self.wait_s); // A string takes all.
        }
        let named = [
            ("dc", &self.datacenter),
            ("ns", &self.namespace),
            ("partition", &self.partition),
        ];
        let named = named.into_iter().chain([("filter", &self.filter)]);
        for (name, value) in named.filter_map(|(name, value)| Some((name, value.as_ref()?))) {
            let _ = write!(path, "{name}={}&", encode(value));
        }
        for tag in &self.tags {
            let _ = write!(path, "tag={}&", encode(tag));
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

    /// The longest that Consul takes to answer while nothing changes, in milliseconds: it adds up to a sixteenth of
    /// the wait, so that not all come back at once.
    #[must_use]
    pub fn longest_wait_ms(&self) -> f64 {
        f64::from(self.wait_s) * 1e3 * (1.0 + 1.0 / 16.0)
    }
}

/// Percent-encodes all but what RFC 3986 calls unreserved.
fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(byte.into());
        } else {
            let _ = write!(encoded, "%{byte:02X}"); // A string takes all.
        }
    }
    encoded
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_query_says_all_that_it_was_told() {
        let mut query = Query::health("holds");
        assert_eq!(query.path(0), "/v1/health/service/holds");
        assert_eq!(query.path(41), "/v1/health/service/holds?index=41&wait=60s");
        query.api = Api::Catalog;
        query.service = "a/b?c".into();
        query.datacenter = Some("hart ford".into());
        query.namespace = Some("n".into());
        query.partition = Some("p".into());
        query.tags = vec!["x".into(), "y&z".into()];
        query.filter = Some("Service.Meta.state != \"off\"".into());
        query.consistency = Consistency::Stale;
        assert_eq!(
            query.path(0),
            "/v1/catalog/service/a%2Fb%3Fc?dc=hart%20ford&ns=n&partition=p\
             &filter=Service.Meta.state%20%21%3D%20%22off%22&tag=x&tag=y%26z&stale"
        );
    }

    #[test]
    fn every_mode_of_consistency_is_asked_for() {
        for (consistency, path) in [
            (Consistency::Default, "/v1/health/service/a"),
            (Consistency::Stale, "/v1/health/service/a?stale"),
            (Consistency::Consistent, "/v1/health/service/a?consistent"),
            (Consistency::Cached, "/v1/health/service/a?cached"),
        ] {
            assert_eq!(
                Query {
                    consistency,
                    ..Query::health("a")
                }
                .path(0),
                path
            );
        }
    }

    #[test]
    fn the_jitter_that_consul_adds_is_waited_for() {
        let query = Query {
            wait_s: 160,
            ..Query::health("a")
        };
        assert!((query.longest_wait_ms() - 170_000.0).abs() < 1e-6);
    }
}
