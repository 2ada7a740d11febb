//! Turns a `[[consul]]` section into the settings of a source: what is watched, through which agents, what an instance
//! means, and how far the source is trusted.

use consul::{Api, Consistency, Mapping, Named, Place, Query, State, WatchSettings};
use endpoint_discovery::{Damping, MatchBy, Trust};

use super::bounded_value::{FieldText, Seconds};
use super::error::{InvalidValue, Problem};
use super::raw::{RawApi, RawConsistency, RawConsul, RawDamping, RawState, RawStates};
use super::validation::{check_name_length, override_trust};
use crate::node::discovery::consul::ConsulSource;

/// The most agents of a source: each takes a connection.
const MAX_AGENTS: usize = 16;
/// How long a blocking query may wait unless the file says otherwise.
const DEFAULT_QUERY_WAIT_S: u32 = 60;
/// The shortest half-life of damping: it divides a time.
const MIN_DAMPING_HALF_LIFE_MS: f64 = 1.0;

impl RawConsul {
    pub fn validate(self) -> Result<ConsulSource, InvalidValue> {
        check_name_length("source", &self.name)?;
        if self.service.get_ref().is_empty() {
            return Err(InvalidValue::new(&self.service, Problem::EmptyServiceName));
        }
        self.check_agent_count()?;
        self.check_naming()?;
        Ok(ConsulSource {
            trust: self.trust(),
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

    fn check_agent_count(&self) -> Result<(), InvalidValue> {
        if (1..=MAX_AGENTS).contains(&self.agents.get_ref().len()) {
            return Ok(());
        }
        let problem = Problem::ItemCount {
            items: "agents",
            min: 1,
            max: MAX_AGENTS,
        };
        Err(InvalidValue::new(&self.agents, problem))
    }

    /// A source that names servers has to know their ids.
    fn check_naming(&self) -> Result<(), InvalidValue> {
        match &self.names_servers {
            Some(names) if *names.get_ref() && self.identifies_by_address() => {
                Err(InvalidValue::new(names, Problem::NamesServersByAddress))
            }
            _ => Ok(()),
        }
    }

    fn identifies_by_address(&self) -> bool {
        matches!(&self.id, Some(id) if id.0 == Named::Address)
    }

    fn trust(&self) -> Trust {
        let mut trust = Trust::advisor(self.name.get_ref().clone());
        override_trust(
            &mut trust,
            self.panic_share,
            self.panic_window_s,
            self.confirm_s,
        );
        trust.names = self
            .names_servers
            .as_ref()
            .is_some_and(|names| *names.get_ref());
        trust.match_by = if self.identifies_by_address() {
            MatchBy::Address
        } else {
            MatchBy::Id
        };
        trust.hold_ms = self.hold_s.map_or(trust.hold_ms, Seconds::as_ms);
        if let Some(damping) = &self.damping {
            trust.damping = damping.enabled();
        }
        trust
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
            named: self.id.map_or(Named::Id(Place::ServiceId), |id| id.0),
            tagged_address: self.tagged_address,
            also_tagged: self.also_tagged,
            states: self.states.by_check(),
            tags: self.states.by_tag(),
            meta: self.states.by_meta(),
            zone: field(self.zone),
            kind: field(self.kind),
            cell: field(self.cell),
            weight: field(self.weight),
            started_at_ms: field(self.started_at_ms),
        };
        let mut watch = WatchSettings::new(query, mapping, agents);
        watch.most_age_ms = max_age.map_or(watch.most_age_ms, Seconds::as_ms);
        watch.pace_ms = poll_interval.map_or(watch.pace_ms, |interval| interval.0);
        watch
    }
}

fn field(text: Option<FieldText>) -> Option<Place> {
    text.map(|text| text.0)
}

impl RawDamping {
    /// `most_s = 0` turns damping off.
    fn enabled(&self) -> Option<Damping> {
        let most_ms = self.most_s.as_ms();
        (most_ms > 0.0).then(|| Damping {
            first_ms: self.first_s.as_ms(),
            most_ms,
            half_life_ms: self.half_life_s.as_ms().max(MIN_DAMPING_HALF_LIFE_MS),
        })
    }
}

impl RawStates {
    /// For passing, warning and critical checks, and for maintenance.
    fn by_check(&self) -> [State; 4] {
        let [passing, warning, critical, maintenance] = Mapping::default().states;
        let or_default = |raw: Option<RawState>, default: State| raw.map_or(default, State::from);
        [
            or_default(self.passing, passing),
            or_default(self.warning, warning),
            or_default(self.critical, critical),
            or_default(self.maintenance, maintenance),
        ]
    }

    fn by_tag(&self) -> Vec<(String, State)> {
        self.tags
            .iter()
            .map(|(tag, state)| (tag.clone(), (*state).into()))
            .collect()
    }

    /// Key, value and state of each.
    fn by_meta(&self) -> Vec<(String, String, State)> {
        let mut states = Vec::new();
        for (key, by_value) in &self.meta {
            for (value, state) in by_value {
                states.push((key.clone(), value.clone(), (*state).into()));
            }
        }
        states
    }
}

impl From<RawState> for State {
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
