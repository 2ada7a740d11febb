//! Queries for a service's instances: parameters and the selection of instances.

use std::sync::Arc;
use std::time::Duration;

use super::catalog::{Instance, RegisteredInstance};
use super::http::{parse_duration, percent_decode};

/// Wait time of a blocking query that does not set one, as in Consul's API documentation.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// Maximum wait time that a query may set, as in Consul's API documentation.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// A query for a service's instances.
pub(super) struct ServiceQuery<'a> {
    with_health: bool,
    service: &'a str,
    tags: Vec<String>,
    passing_only: bool,
    /// Index that the query blocks on; 0 if it does not block.
    pub index: u64,
    /// Maximum time that the query blocks.
    pub wait: Duration,
}

impl<'a> ServiceQuery<'a> {
    pub fn parse(with_health: bool, service: &'a str, parameters: &[(&str, &str)]) -> Self {
        let value = |name: &str| {
            let mut named = parameters.iter().filter(|(other, _)| *other == name);
            named.next().map(|(_, value)| *value)
        };
        Self {
            with_health,
            service,
            tags: parameters
                .iter()
                .filter(|(name, _)| *name == "tag")
                .map(|(_, tag)| percent_decode(tag))
                .collect(),
            passing_only: value("passing").is_some(),
            index: value("index")
                .and_then(|index| index.parse().ok())
                .unwrap_or(0),
            wait: value("wait")
                .and_then(parse_duration)
                .unwrap_or(DEFAULT_WAIT)
                .min(MAX_WAIT),
        }
    }

    pub fn selects(&self, instance: &Instance) -> bool {
        instance.service == self.service
            && self.tags.iter().all(|tag| instance.tags.contains(tag))
            && (!self.passing_only || instance.is_passing())
    }

    /// Returns the body of the response, in the JSON of the queried API.
    pub fn body(&self, selected: &[&Arc<RegisteredInstance>]) -> String {
        let texts = selected.iter().map(|registered| {
            if self.with_health {
                registered.health.as_str()
            } else {
                registered.catalog.as_str()
            }
        });
        format!("[{}]", texts.collect::<Vec<_>>().join(","))
    }
}
