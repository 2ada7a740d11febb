//! Converts the raw sections of the operators' file to the settings of the node's components, and performs the checks
//! that involve more than one value.

use std::collections::HashMap;

use endpoint_discovery::SourcePolicy;
use pool::{Address, Route, MAX_ADDRESSES};
use toml::Spanned;

use super::bounded_value::{Fraction, Seconds};
use super::error::{LocatedProblem, Problem};
use super::raw::{
    RawConfig, RawConsul, RawInstances, RawLeases, RawMembership, RawOutlierDetection, RawPool,
    RawRoute, RawServer,
};
use super::{EndpointSources, OperatorConfig};
use crate::node::cluster::{ClusterSettings, LeaseSettings};
use crate::node::discovery::consul::ConsulSource;
use crate::node::upstream::addresses::{ConfiguredAddresses, ServerAddresses};
use crate::node::upstream::servers::PoolLimits;

/// Maximum number of Consul sources. Each source is considered in every decision about a server.
const MAX_SOURCES: usize = 16;
/// Maximum length of the name of a source or a cluster, in bytes. The name is part of many log lines.
pub(super) const MAX_NAME_BYTES: usize = 64;
/// Maximum number of servers with addresses in the file. The largest service in the benchmarks has 5,000 servers.
const MAX_SERVERS: usize = 16_384;
/// The name of the platform's endpoint list as a source. Consul sources must not have it.
const ENDPOINT_LIST_NAME: &str = "roster";
/// Default of `suspect_ms`, in probe intervals.
const DEFAULT_SUSPICION_PROBES: f64 = 5.0;
/// Minimum of `suspect_ms`, in probe intervals, so that a single lost datagram does not raise a suspicion.
const MIN_SUSPICION_PROBES: f64 = 3.0;

impl RawConfig {
    pub fn validate(self) -> Result<OperatorConfig, LocatedProblem> {
        let endpoint_list = self.membership.endpoint_list_policy();
        let consul = validate_sources(self.consul)?;
        let addresses = validate_addresses(self.server)?;
        let cluster = self.instances.map(RawInstances::validate).transpose()?;
        if let (Some(leases), None) = (&self.leases, &cluster) {
            return Err(LocatedProblem::new(leases, Problem::LeasesNeedInstances));
        }
        let leases = self
            .leases
            .map(|leases| leases.into_inner().validate())
            .transpose()?;
        if let (Some(section), None) = (&self.outlier_detection, &cluster) {
            let problem = Problem::OutlierDetectionNeedsInstances;
            return Err(LocatedProblem::new(section, problem));
        }
        let outlier_detection = self
            .outlier_detection
            .map(|section| RawOutlierDetection::validate(&section))
            .transpose()?;
        Ok(OperatorConfig {
            endpoint_sources: Some(EndpointSources {
                endpoint_list,
                consul,
            }),
            addresses,
            pool: self.pool.into(),
            cluster,
            leases,
            outlier_detection,
        })
    }
}

impl RawMembership {
    fn endpoint_list_policy(&self) -> SourcePolicy {
        let mut policy = SourcePolicy::authoritative(ENDPOINT_LIST_NAME);
        override_policy(
            &mut policy,
            self.panic_share,
            self.panic_window_s,
            self.confirm_s,
        );
        policy
    }
}

/// Replaces those values of a policy that the file sets.
pub(super) fn override_policy(
    policy: &mut SourcePolicy,
    panic_share: Option<Fraction>,
    panic_window: Option<Seconds>,
    confirm: Option<Seconds>,
) {
    policy.panic_share = panic_share.map_or(policy.panic_share, |share| share.0);
    policy.panic_window_ms = panic_window.map_or(policy.panic_window_ms, Seconds::as_ms);
    policy.confirm_ms = confirm.map_or(policy.confirm_ms, Seconds::as_ms);
}

fn validate_sources(sections: Vec<RawConsul>) -> Result<Vec<ConsulSource>, LocatedProblem> {
    let mut sources: Vec<ConsulSource> = Vec::new();
    for section in sections {
        let name = section.name.get_ref();
        if name == ENDPOINT_LIST_NAME || sources.iter().any(|source| source.policy.name == *name) {
            return Err(LocatedProblem::new(&section.name, Problem::DuplicateSource));
        }
        if sources.len() >= MAX_SOURCES {
            let problem = Problem::TooManySections {
                subjects: "sources",
                max: MAX_SOURCES,
            };
            return Err(LocatedProblem::new(&section.name, problem));
        }
        sources.push(section.validate()?);
    }
    Ok(sources)
}

fn validate_addresses(sections: Vec<RawServer>) -> Result<ConfiguredAddresses, LocatedProblem> {
    let mut servers = ConfiguredAddresses::new();
    let mut owners: HashMap<Address, String> = HashMap::new();
    for section in sections {
        if servers.contains_key(section.id.get_ref()) {
            return Err(LocatedProblem::new(&section.id, Problem::DuplicateServer));
        }
        if servers.len() >= MAX_SERVERS {
            let problem = Problem::TooManySections {
                subjects: "servers",
                max: MAX_SERVERS,
            };
            return Err(LocatedProblem::new(&section.id, problem));
        }
        let addresses = ServerAddresses {
            exclusive: section.only,
            routes: validate_routes(section.id.get_ref(), section.addresses, &mut owners)?,
        };
        servers.insert(section.id.into_inner(), addresses);
    }
    Ok(servers)
}

/// Validates the routes of one server. `owners` maps the addresses in the sections validated so far to their servers,
/// because an address must belong to only one server.
fn validate_routes(
    server: &str,
    addresses: Spanned<Vec<Spanned<RawRoute>>>,
    owners: &mut HashMap<Address, String>,
) -> Result<Vec<Route>, LocatedProblem> {
    if !(1..=MAX_ADDRESSES).contains(&addresses.get_ref().len()) {
        let problem = Problem::ItemCount {
            items: "addresses",
            min: 1,
            max: MAX_ADDRESSES,
        };
        return Err(LocatedProblem::new(&addresses, problem));
    }
    let mut routes = Vec::new();
    for route in addresses.into_inner() {
        let address = route.get_ref().address.0.clone();
        if let Some(owner) = owners.insert(address, server.to_owned()) {
            let problem = Problem::DuplicateAddress { server: owner };
            return Err(LocatedProblem::new(&route, problem));
        }
        routes.push(route.into_inner().into());
    }
    Ok(routes)
}

impl From<RawRoute> for Route {
    fn from(raw: RawRoute) -> Self {
        Self {
            address: raw.address.0,
            preference: raw.preference,
            label: raw.label,
        }
    }
}

impl From<RawPool> for PoolLimits {
    fn from(raw: RawPool) -> Self {
        Self {
            max_connections_per_server: raw.connections_per_server.map(|limit| limit.0),
            max_concurrent_dials: raw.dials_at_a_time.map(|limit| limit.0),
            slow_start_dials_per_s: raw.cold_dials_per_s.map(|rate| rate.0),
            dial_ahead: raw.ahead,
        }
    }
}

impl RawInstances {
    fn validate(self) -> Result<ClusterSettings, LocatedProblem> {
        self.check_names()?;
        self.check_peer_count()?;
        let probe_ms = self
            .probe_ms
            .map_or(ClusterSettings::default().probe_interval_ms, |interval| {
                interval.0
            });
        let suspect_ms = match &self.suspect_ms {
            Some(timeout) if timeout.get_ref().0 < MIN_SUSPICION_PROBES * probe_ms => {
                return Err(LocatedProblem::new(timeout, Problem::SuspicionTooShort));
            }
            Some(timeout) => timeout.get_ref().0,
            None => DEFAULT_SUSPICION_PROBES * probe_ms,
        };
        Ok(ClusterSettings {
            name: self.name.map(Spanned::into_inner),
            listen: self.listen,
            peers: self.peers.map(Spanned::into_inner),
            cluster: self.fleet.into_inner(),
            key_file_offset: self.key_file.span().start,
            key_file: self.key_file.into_inner(),
            probe_interval_ms: probe_ms,
            suspicion_timeout_ms: suspect_ms,
        })
    }

    fn check_names(&self) -> Result<(), LocatedProblem> {
        if let Some(name) = &self.name {
            if !gossip::is_valid_node_name(name.get_ref()) {
                let problem = Problem::InvalidOwnName {
                    max_bytes: gossip::MAX_NAME_BYTES,
                };
                return Err(LocatedProblem::new(name, problem));
            }
        }
        check_name_length("cluster", &self.fleet)
    }

    fn check_peer_count(&self) -> Result<(), LocatedProblem> {
        match &self.peers {
            Some(peers) if peers.get_ref().len() > gossip::MAX_MEMBERS => {
                let problem = Problem::ItemCount {
                    items: "peers",
                    min: 0,
                    max: gossip::MAX_MEMBERS,
                };
                Err(LocatedProblem::new(peers, problem))
            }
            _ => Ok(()),
        }
    }
}

pub(super) fn check_name_length(
    subject: &'static str,
    name: &Spanned<String>,
) -> Result<(), LocatedProblem> {
    if (1..=MAX_NAME_BYTES).contains(&name.get_ref().len()) {
        return Ok(());
    }
    let problem = Problem::NameLength {
        subject,
        max_bytes: MAX_NAME_BYTES,
    };
    Err(LocatedProblem::new(name, problem))
}

impl RawLeases {
    fn validate(self) -> Result<LeaseSettings, LocatedProblem> {
        for names in self.before.iter().chain([&self.keepers]) {
            check_node_names(names)?;
        }
        let default = LeaseSettings::default();
        let acceptors = self.keepers.clone();
        let leases = LeaseSettings {
            acceptors: self.keepers.into_inner(),
            configuration: self.set.unwrap_or(default.configuration),
            previous_acceptors: self.before.map(Spanned::into_inner).unwrap_or_default(),
            shards: self.shards.unwrap_or(default.shards),
            lease_ms: self.lease_ms.unwrap_or(default.lease_ms),
            drift: self.drift.unwrap_or(default.drift),
            fence_file: self.fence_file,
            fleet_log: self.fleet_log,
        };
        // The result of the check does not depend on the node's name or process, so any valid values suffice.
        let (any_name, any_process) = ("-", 1);
        match leases.for_process(any_name, any_process).validate() {
            Ok(()) => Ok(leases),
            Err(error) => Err(LocatedProblem::new(
                &acceptors,
                Problem::LeaseSettings(error.into()),
            )),
        }
    }
}

fn check_node_names(names: &Spanned<Vec<String>>) -> Result<(), LocatedProblem> {
    match names
        .get_ref()
        .iter()
        .find(|name| !gossip::is_valid_node_name(name))
    {
        Some(name) => Err(LocatedProblem::new(
            names,
            Problem::InvalidNodeName(name.clone()),
        )),
        None => Ok(()),
    }
}

impl RawOutlierDetection {
    fn validate(section: &Spanned<Self>) -> Result<outlier_detection::Settings, LocatedProblem> {
        let (raw, default) = (section.get_ref(), outlier_detection::Settings::default());
        let settings = outlier_detection::Settings {
            interval_ms: raw.turn_ms.unwrap_or(default.interval_ms),
            half_life_ms: raw.half_life_ms.unwrap_or(default.half_life_ms),
            min_reporters: raw.reporters.unwrap_or(default.min_reporters),
            min_failed_fraction: raw.share.unwrap_or(default.min_failed_fraction),
            max_outlier_weight: raw.floor.unwrap_or(default.max_outlier_weight),
            max_outlier_fraction: raw.panic_share.unwrap_or(default.max_outlier_fraction),
        };
        match settings.check() {
            Ok(()) => Ok(settings),
            Err(error) => Err(LocatedProblem::new(
                section,
                Problem::OutlierDetectionSettings(error),
            )),
        }
    }
}
