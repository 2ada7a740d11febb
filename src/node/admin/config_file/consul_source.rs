//! Converts a `[[consul]]` section to the settings of a source: the watched service, the agents, the mapping of
//! instances to endpoints, and the source's policy.

use consul::{
    Api, Consistency, FieldSource, KeySource, Lifecycle, Mapping, MetaRule, Query,
    StatusLifecycles, TagRule, WatchSettings,
};
use endpoint_discovery::{FlapDamping, MatchBy, SourcePolicy};

use super::bounded_value::{FieldText, Seconds};
use super::error::{LocatedProblem, Problem};
use super::raw::{RawApi, RawConsistency, RawConsul, RawDamping, RawState, RawStates};
use super::validation::{check_name_length, override_policy};
use crate::node::discovery::consul::ConsulSource;

/// Maximum number of agents of a source.
const MAX_AGENTS: usize = 16;
/// Default of `wait_s`: the maximum wait of a blocking query, in seconds.
const DEFAULT_QUERY_WAIT_S: u32 = 60;
/// Minimum half-life of flap damping, in milliseconds. A half-life is a divisor, so it must not be zero.
const MIN_DAMPING_HALF_LIFE_MS: f64 = 1.0;

impl RawConsul {
    pub fn validate(self) -> Result<ConsulSource, LocatedProblem> {
        check_name_length("source", &self.name)?;
        if self.service.get_ref().is_empty() {
            return Err(LocatedProblem::new(
                &self.service,
                Problem::EmptyServiceName,
            ));
        }
        self.check_agent_count()?;
        self.check_server_ids()?;
        Ok(ConsulSource {
            policy: self.policy(),
            agents: self
                .agents
                .get_ref()
                .iter()
                .map(|agent| *agent.get_ref())
                .collect(),
            token_file: self.token_file.clone(),
            watch: self.watch_settings(),
        })
    }

    fn check_agent_count(&self) -> Result<(), LocatedProblem> {
        if (1..=MAX_AGENTS).contains(&self.agents.get_ref().len()) {
            return Ok(());
        }
        let problem = Problem::ItemCount {
            items: "agents",
            min: 1,
            max: MAX_AGENTS,
        };
        Err(LocatedProblem::new(&self.agents, problem))
    }

    /// Checks that a source that adds servers identifies them by id.
    fn check_server_ids(&self) -> Result<(), LocatedProblem> {
        match &self.names_servers {
            Some(flag) if *flag.get_ref() && self.identifies_by_address() => {
                Err(LocatedProblem::new(flag, Problem::NamesServersByAddress))
            }
            _ => Ok(()),
        }
    }

    fn identifies_by_address(&self) -> bool {
        matches!(&self.id, Some(id) if id.0 == KeySource::Address)
    }

    fn policy(&self) -> SourcePolicy {
        let mut policy = SourcePolicy::advisory(self.name.get_ref().clone());
        override_policy(
            &mut policy,
            self.panic_share,
            self.panic_window_s,
            self.confirm_s,
        );
        policy.may_add_endpoints = self
            .names_servers
            .as_ref()
            .is_some_and(|flag| *flag.get_ref());
        policy.match_by = if self.identifies_by_address() {
            MatchBy::Address
        } else {
            MatchBy::Id
        };
        policy.retention_ms = self.hold_s.map_or(policy.retention_ms, Seconds::as_ms);
        if let Some(damping) = &self.damping {
            policy.damping = damping.flap_damping();
        }
        policy
    }

    fn watch_settings(self) -> WatchSettings {
        let agents = self.agents.get_ref().len();
        let (max_age, poll_interval) = (self.most_age_s, self.pace_ms);
        let query = Query {
            api: self.api.into(),
            service: self.service.into_inner(),
            datacenter: self.datacenter,
            namespace: self.namespace,
            partition: self.partition,
            tags: self.tags,
            filter: self.filter,
            consistency: self.consistency.into(),
            wait_s: self.wait_s.map_or(DEFAULT_QUERY_WAIT_S, |wait| wait.0),
        };
        let mapping = Mapping {
            key: self
                .id
                .map_or(KeySource::Id(FieldSource::ServiceId), |id| id.0),
            tagged_address: self.tagged_address,
            alternate_tagged_addresses: self.also_tagged,
            status_lifecycles: self.states.status_lifecycles(),
            tag_rules: self.states.tag_rules(),
            meta_rules: self.states.meta_rules(),
            zone: field_source(self.zone),
            machine_type: field_source(self.kind),
            cell: field_source(self.cell),
            weight: field_source(self.weight),
            started_at_ms: field_source(self.started_at_ms),
        };
        let mut watch = WatchSettings::new(query, mapping, agents);
        watch.max_age_ms = max_age.map_or(watch.max_age_ms, Seconds::as_ms);
        watch.response_interval_ms =
            poll_interval.map_or(watch.response_interval_ms, |interval| interval.0);
        watch
    }
}

fn field_source(text: Option<FieldText>) -> Option<FieldSource> {
    text.map(|text| text.0)
}

impl RawDamping {
    /// Returns the settings of flap damping; `None` if `most_s` is 0, which turns damping off.
    fn flap_damping(&self) -> Option<FlapDamping> {
        let max_ms = self.most_s.as_ms();
        (max_ms > 0.0).then(|| FlapDamping {
            initial_ms: self.first_s.as_ms(),
            max_ms,
            half_life_ms: self.half_life_s.as_ms().max(MIN_DAMPING_HALF_LIFE_MS),
        })
    }
}

impl RawStates {
    fn status_lifecycles(&self) -> StatusLifecycles {
        let defaults = Mapping::default().status_lifecycles;
        let or_default = |raw: Option<RawState>, default| raw.map_or(default, Lifecycle::from);
        StatusLifecycles {
            passing: or_default(self.passing, defaults.passing),
            warning: or_default(self.warning, defaults.warning),
            critical: or_default(self.critical, defaults.critical),
            maintenance: or_default(self.maintenance, defaults.maintenance),
        }
    }

    fn tag_rules(&self) -> Vec<TagRule> {
        self.tags
            .iter()
            .map(|(tag, state)| TagRule {
                tag: tag.clone(),
                lifecycle: (*state).into(),
            })
            .collect()
    }

    fn meta_rules(&self) -> Vec<MetaRule> {
        let mut rules = Vec::new();
        for (key, by_value) in &self.meta {
            for (value, state) in by_value {
                rules.push(MetaRule {
                    key: key.clone(),
                    value: value.clone(),
                    lifecycle: (*state).into(),
                });
            }
        }
        rules
    }
}

impl From<RawState> for Lifecycle {
    fn from(raw: RawState) -> Self {
        match raw {
            RawState::Ready => Self::Ready,
            RawState::Draining => Self::Draining,
            RawState::Gone => Self::Gone,
        }
    }
}

impl From<RawApi> for Api {
    fn from(raw: RawApi) -> Self {
        match raw {
            RawApi::Health => Self::Health,
            RawApi::Catalog => Self::Catalog,
        }
    }
}

impl From<RawConsistency> for Consistency {
    fn from(raw: RawConsistency) -> Self {
        match raw {
            RawConsistency::Default => Self::Default,
            RawConsistency::Stale => Self::Stale,
            RawConsistency::Consistent => Self::Consistent,
            RawConsistency::Cached => Self::Cached,
        }
    }
}
