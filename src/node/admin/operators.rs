//! The operators' file: what silverthread does beyond the platform's page. It is checked whole before anything starts.
//!
//! `deploy/silverthread.toml` has every key with a comment.

use std::collections::HashMap;
use std::fmt;
use std::io::Read;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use consul::{Api, Consistency, Mapping, Named, Place, Query, State, WatchSettings};
use endpoint_discovery::{Damping, MatchBy, Trust};
use pool::{Address, Route, MOST_ADDRESSES, ORDINARY_PREFERENCE};
use serde::{Deserialize, Deserializer};
use toml::Spanned;

use crate::node::cluster::{Instances, LeaseSettings};
use crate::node::discovery::consul::ConsulSource;
use crate::node::upstream::addresses::{AllSaid, Said};
use crate::node::upstream::servers::Bounds;

/// The largest file: the addresses of as many servers as it may name.
const MOST_FILE: u64 = 4 * 1024 * 1024;
/// The most agents of a source, and sources: each takes a connection and a place in every look at a server.
const MOST_AGENTS: usize = 16;
const MOST_SOURCES: usize = 16;
/// The longest name of a source: it stands in many lines of the log.
const MOST_NAME: usize = 64;
/// The most servers of which the file names addresses: the largest service that is measured has 5,000.
const MOST_SERVERS: usize = 16_384;

/// What the operators' file turns on. The default is what holds without one: nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    /// The view that is merged from several sources, where there is a file.
    pub membership: Option<Merged>,
    /// Addresses of servers.
    pub addresses: AllSaid,
    /// Bounds on connections to servers.
    pub pool: Bounds,
    /// How the other nodes of the fleet are found.
    pub instances: Option<Instances>,
    /// The leases among them.
    pub leases: Option<LeaseSettings>,
    /// How they tell each other of bad servers.
    pub word: Option<outlier_detection::Settings>,
}

/// The sources of the merged view.
#[derive(Clone, Debug, PartialEq)]
pub struct Merged {
    /// How far the roster is believed against the others.
    pub roster: Trust,
    /// The services that are followed in Consul.
    pub consul: Vec<ConsulSource>,
}

/// Why an operators' file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorsError {
    file: PathBuf,
    /// Line and key, where the file is there and can be read.
    at: Option<(usize, Option<String>)>,
    why: String,
}

impl OperatorsError {
    /// The line, counted from one.
    #[must_use]
    pub fn line(&self) -> Option<usize> {
        self.at.as_ref().map(|(line, _)| *line)
    }

    /// The key that stands there.
    #[must_use]
    pub fn key(&self) -> Option<&str> {
        self.at.as_ref()?.1.as_deref()
    }
}

impl fmt::Display for OperatorsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some((line, key)) = &self.at {
            write!(f, ", line {line}")?;
            if let Some(key) = key {
                write!(f, ", key `{key}`")?;
            }
        }
        write!(f, ": {}", self.why)
    }
}

impl std::error::Error for OperatorsError {}

impl Operators {
    /// Reads a file and checks all of it.
    ///
    /// # Errors
    ///
    /// It cannot be read, or something in it makes no sense.
    pub fn read(file: &Path) -> Result<Self, OperatorsError> {
        let failed = |why: String| OperatorsError {
            file: file.to_owned(),
            at: None,
            why,
        };
        let mut text = String::new();
        let opened = std::fs::File::open(file).map_err(|error| failed(error.to_string()))?;
        opened
            .take(MOST_FILE + 1)
            .read_to_string(&mut text)
            .map_err(|error| failed(error.to_string()))?;
        if text.len() as u64 > MOST_FILE {
            return Err(failed(format!("it is larger than {MOST_FILE} bytes")));
        }
        let operators = Self::parse(file, &text)?;
        if let Some(instances) = &operators.instances {
            let at = instances.key_at;
            instances.read_key().map_err(|why| OperatorsError {
                file: file.to_owned(),
                at: Some(place(&text, at)),
                why,
            })?;
        }
        Ok(operators)
    }

    /// Reads a file's text; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Something in it makes no sense.
    pub fn parse(file: &Path, text: &str) -> Result<Self, OperatorsError> {
        let at = |span: Option<Range<usize>>, why: String| OperatorsError {
            file: file.to_owned(),
            at: span.map(|span| place(text, span.start)),
            why,
        };
        let raw: Raw =
            toml::from_str(text).map_err(|error| at(error.span(), error.message().to_owned()))?;
        raw.check()
            .map_err(|Wrong { span, why }| at(Some(span), why))
    }

    /// What it turns on, a line each.
    #[must_use]
    pub fn summary(&self) -> Vec<String> {
        let Some(merged) = &self.membership else {
            return Vec::new();
        };
        let source = |source: &ConsulSource| {
            let query = &source.watch.query;
            let naming = if source.trust.names {
                "names servers"
            } else {
                "advises on the roster's servers"
            };
            format!(
                "consul {:?}: service {:?} through {} agents, {naming}",
                source.trust.name,
                query.service,
                source.agents.len()
            )
        };
        let consul = merged.consul.iter().map(source);
        let several = self.addresses.values().map(|said| said.routes.len());
        let several = Some(several.sum::<usize>()).filter(|addresses| *addresses > 0);
        let several =
            several.map(|sum| format!("{sum} addresses of {} servers", self.addresses.len()));
        let instances = self.instances.as_ref().map(|instances| {
            let places = instances
                .peers
                .as_ref()
                .map_or("the platform's peers".to_owned(), |peers| {
                    format!("{} peers", peers.len())
                });
            format!(
                "instances of the fleet {:?}: {places}, probed every {} ms",
                instances.fleet, instances.probe_ms
            )
        });
        let leases = self.leases.as_ref().map(|leases| {
            let (keepers, set, shards) = (
                leases.acceptors.join(", "),
                leases.configuration,
                leases.shards,
            );
            format!(
                "leases of {shards} shards, kept by {keepers} (set {set}), {} ms long",
                leases.lease_ms
            )
        });
        let word = self.word.as_ref().map(|word| {
            format!(
                "word of bad servers, believed of {} nodes, said every {} ms",
                word.reporters, word.turn_ms
            )
        });
        consul
            .chain(several)
            .chain(instances)
            .chain(leases)
            .chain(word)
            .collect()
    }
}

/// The line of an offset, and the key or section that it belongs to: on that line, or, where a value goes over several,
/// on the nearest before.
fn place(text: &str, offset: usize) -> (usize, Option<String>) {
    let line = text.get(..offset).unwrap_or(text).matches('\n').count();
    let lines: Vec<_> = text.lines().take(line + 1).map(str::trim).collect();
    let key = lines
        .iter()
        .rev()
        .filter(|line| !line.starts_with('#'))
        .find_map(|line| {
            let section = line
                .strip_prefix('[')
                .map(|rest| rest.trim_start_matches('[').split(']').next());
            section
                .flatten()
                .or_else(|| line.split_once('=').map(|(key, _)| key))
        });
    (
        line + 1,
        key.map(|key| key.trim().trim_matches('"').to_owned())
            .filter(|key| !key.is_empty()),
    )
}

/// What makes no sense, and where.
struct Wrong {
    span: Range<usize>,
    why: String,
}

fn wrong<T>(at: &Spanned<T>, why: impl Into<String>) -> Wrong {
    Wrong {
        span: at.span(),
        why: why.into(),
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    #[serde(default)]
    membership: RawMembership,
    #[serde(default)]
    consul: Vec<RawConsul>,
    #[serde(default)]
    server: Vec<RawServer>,
    #[serde(default)]
    pool: RawPool,
    instances: Option<RawInstances>,
    leases: Option<Spanned<RawLeases>>,
    word: Option<Spanned<RawWord>>,
}

/// Bounds on connections to servers.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawPool {
    connections_per_server: Option<Count>,
    dials_at_a_time: Option<Count>,
    cold_dials_per_s: Option<Rate>,
    #[serde(default)]
    ahead: bool,
}

impl From<RawPool> for Bounds {
    fn from(raw: RawPool) -> Self {
        Self {
            most_per_server: raw.connections_per_server.map(|count| count.0),
            most_dials: raw.dials_at_a_time.map(|count| count.0),
            cold_dials_per_s: raw.cold_dials_per_s.map(|rate| rate.0),
            ahead: raw.ahead,
        }
    }
}

/// A server's addresses.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawServer {
    id: Spanned<String>,
    #[serde(default)]
    only: bool,
    addresses: Spanned<Vec<Spanned<RawRoute>>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    address: AddressText,
    #[serde(default = "ordinary_preference")]
    preference: u16,
    label: Option<String>,
}

fn ordinary_preference() -> u16 {
    ORDINARY_PREFERENCE
}

struct AddressText(Address);

impl<'de> Deserialize<'de> for AddressText {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        Address::from_str(&text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// How far the roster is believed against other sources.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawMembership {
    panic_share: Option<Share>,
    panic_window_s: Option<Seconds>,
    confirm_s: Option<Seconds>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConsul {
    name: Spanned<String>,
    service: Spanned<String>,
    agents: Spanned<Vec<Spanned<SocketAddr>>>,
    #[serde(default)]
    api: RawApi,
    #[serde(default)]
    consistency: RawConsistency,
    #[serde(default)]
    wait_s: Option<Wait>,
    datacenter: Option<String>,
    namespace: Option<String>,
    partition: Option<String>,
    #[serde(default)]
    tags: Vec<String>,
    filter: Option<String>,
    token_file: Option<PathBuf>,
    most_age_s: Option<Seconds>,
    pace_ms: Option<Pace>,
    #[serde(default)]
    names_servers: Option<Spanned<bool>>,
    id: Option<RawNamed>,
    tagged_address: Option<String>,
    #[serde(default)]
    also_tagged: Vec<String>,
    zone: Option<PlaceText>,
    kind: Option<PlaceText>,
    cell: Option<PlaceText>,
    weight: Option<PlaceText>,
    started_at_ms: Option<PlaceText>,
    #[serde(default)]
    states: RawStates,
    panic_share: Option<Share>,
    panic_window_s: Option<Seconds>,
    confirm_s: Option<Seconds>,
    hold_s: Option<Seconds>,
    damping: Option<RawDamping>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "lowercase")]
enum RawApi {
    #[default]
    Health,
    Catalog,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "lowercase")]
enum RawConsistency {
    #[default]
    Default,
    Stale,
    Consistent,
    Cached,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawState {
    Ready,
    Draining,
    Gone,
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

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct RawStates {
    passing: Option<RawState>,
    warning: Option<RawState>,
    critical: Option<RawState>,
    maintenance: Option<RawState>,
    #[serde(default)]
    tags: std::collections::BTreeMap<String, RawState>,
    /// By key, then by value.
    #[serde(default)]
    meta: std::collections::BTreeMap<String, std::collections::BTreeMap<String, RawState>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDamping {
    first_s: Seconds,
    most_s: Seconds,
    half_life_s: Seconds,
}

/// A figure that is checked as it is read, so that the error names its place.
macro_rules! figure {
    ($name:ident, $range:expr, $what:literal) => {
        #[derive(Clone, Copy)]
        struct $name(f64);

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                let figure = f64::deserialize(from)?;
                if ($range).contains(&figure) {
                    Ok(Self(figure))
                } else {
                    Err(serde::de::Error::custom($what))
                }
            }
        }
    };
}

figure!(Share, 0.0..=1.0, "a share lies between 0 and 1");
figure!(
    Seconds,
    0.0..=86_400.0,
    "a time lies between 0 and 86400 seconds"
);
figure!(
    Pace,
    10.0..=10_000.0,
    "a pace lies between 10 and 10000 milliseconds"
);

figure!(
    Probe,
    50.0..=10_000.0,
    "a probe's time lies between 50 and 10000 milliseconds"
);
figure!(
    Suspect,
    250.0..=600_000.0,
    "a suspicion time lies between 250 and 600000 milliseconds"
);
figure!(
    Rate,
    0.1..=100_000.0,
    "a rate lies between 0.1 and 100000 a second"
);

/// A bound that is one at the least.
#[derive(Clone, Copy)]
struct Count(usize);

impl<'de> Deserialize<'de> for Count {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        match usize::deserialize(from)? {
            count @ 1..=1_000_000 => Ok(Self(count)),
            _ => Err(serde::de::Error::custom(
                "a bound lies between 1 and 1000000",
            )),
        }
    }
}

/// How long a blocking query may stand, as the API pages have it.
#[derive(Clone, Copy)]
struct Wait(u32);

impl<'de> Deserialize<'de> for Wait {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        match u32::deserialize(from)? {
            wait @ 1..=600 => Ok(Self(wait)),
            _ => Err(serde::de::Error::custom(
                "a wait lies between 1 and 600 whole seconds",
            )),
        }
    }
}

struct PlaceText(Place);

impl<'de> Deserialize<'de> for PlaceText {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        Place::from_str(&text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

struct RawNamed(Named);

impl<'de> Deserialize<'de> for RawNamed {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        if text == "address" {
            return Ok(Self(Named::Address));
        }
        let place = Place::from_str(&text);
        place
            .map(|place| Self(Named::Id(place)))
            .map_err(|error| serde::de::Error::custom(format_args!("{error}, nor `address`")))
    }
}

impl Raw {
    fn check(self) -> Result<Operators, Wrong> {
        let mut roster = Trust::roster("roster");
        let RawMembership {
            panic_share,
            panic_window_s,
            confirm_s,
        } = self.membership;
        believe(&mut roster, panic_share, panic_window_s, confirm_s);
        let mut consul: Vec<ConsulSource> = Vec::new();
        for raw in self.consul {
            let taken = |name: &str| {
                name == roster.name || consul.iter().any(|other| other.trust.name == name)
            };
            if taken(raw.name.get_ref()) {
                return Err(wrong(&raw.name, "there is a source of this name already"));
            }
            if consul.len() >= MOST_SOURCES {
                return Err(wrong(
                    &raw.name,
                    format!("there are more than {MOST_SOURCES} sources"),
                ));
            }
            consul.push(raw.check()?);
        }
        let addresses = addresses(self.server)?;
        let instances = self.instances.map(RawInstances::check).transpose()?;
        if let Some(leases) = self.leases.as_ref().filter(|_| instances.is_none()) {
            return Err(wrong(
                leases,
                "leases need [instances]: nodes have to know each other",
            ));
        }
        let leases = self
            .leases
            .map(|leases| leases.into_inner().check())
            .transpose()?;
        if let Some(word) = self.word.as_ref().filter(|_| instances.is_none()) {
            return Err(wrong(
                word,
                "word of servers needs [instances]: nodes have to know each other",
            ));
        }
        let word = self.word.map(RawWord::check).transpose()?;
        Ok(Operators {
            membership: Some(Merged { roster, consul }),
            addresses,
            pool: self.pool.into(),
            instances,
            leases,
            word,
        })
    }
}

/// How nodes tell each other of bad servers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawWord {
    turn_ms: Option<f64>,
    half_life_ms: Option<f64>,
    reporters: Option<usize>,
    share: Option<f64>,
    floor: Option<f64>,
    panic_share: Option<f64>,
}

impl RawWord {
    fn check(raw: Spanned<Self>) -> Result<outlier_detection::Settings, Wrong> {
        let (ordinary, said) = (outlier_detection::Settings::default(), raw.get_ref());
        let settings = outlier_detection::Settings {
            turn_ms: said.turn_ms.unwrap_or(ordinary.turn_ms),
            half_life_ms: said.half_life_ms.unwrap_or(ordinary.half_life_ms),
            reporters: said.reporters.unwrap_or(ordinary.reporters),
            share: said.share.unwrap_or(ordinary.share),
            floor: said.floor.unwrap_or(ordinary.floor),
            panic_share: said.panic_share.unwrap_or(ordinary.panic_share),
        };
        settings
            .check()
            .map_err(|error| wrong(&raw, error.to_string()))?;
        Ok(settings)
    }
}

/// Who keeps leases.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLeases {
    keepers: Spanned<Vec<String>>,
    set: Option<u32>,
    before: Option<Spanned<Vec<String>>>,
    shards: Option<u8>,
    lease_ms: Option<f64>,
    drift: Option<f64>,
    fence_file: Option<PathBuf>,
    fleet_log: Option<SocketAddr>,
}

impl RawLeases {
    fn check(self) -> Result<LeaseSettings, Wrong> {
        let ordinary = LeaseSettings::default();
        for names in self.before.iter().chain([&self.keepers]) {
            if let Some(name) = names.get_ref().iter().find(|name| !gossip::is_name(name)) {
                return Err(wrong(names, format!("{name:?} cannot be a node's name")));
            }
        }
        let span = self.keepers.clone();
        let settings = LeaseSettings {
            acceptors: self.keepers.into_inner(),
            configuration: self.set.unwrap_or(ordinary.configuration),
            previous_acceptors: self.before.map(Spanned::into_inner).unwrap_or_default(),
            shards: self.shards.unwrap_or(ordinary.shards),
            lease_ms: self.lease_ms.unwrap_or(ordinary.lease_ms),
            drift: self.drift.unwrap_or(ordinary.drift),
            fence_file: self.fence_file,
            fleet_log: self.fleet_log,
        };
        settings
            .for_process("-", 1)
            .validate()
            .map_err(|error| wrong(&span, error.to_string()))?;
        Ok(settings)
    }
}

/// How the other nodes of the fleet are found.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawInstances {
    name: Option<Spanned<String>>,
    listen: Option<SocketAddr>,
    peers: Option<Spanned<Vec<SocketAddr>>>,
    fleet: Spanned<String>,
    key_file: Spanned<PathBuf>,
    probe_ms: Option<Probe>,
    suspect_ms: Option<Spanned<Suspect>>,
}

impl RawInstances {
    fn check(self) -> Result<Instances, Wrong> {
        let ordinary = Instances::default();
        if let Some(name) = self
            .name
            .as_ref()
            .filter(|name| !gossip::is_name(name.get_ref()))
        {
            let most = gossip::MOST_NAME;
            return Err(wrong(
                name,
                format!("a node's name is 1 to {most} characters of ASCII without spaces"),
            ));
        }
        if self.fleet.get_ref().is_empty() || self.fleet.get_ref().len() > MOST_NAME {
            return Err(wrong(
                &self.fleet,
                format!("a fleet's name has 1 to {MOST_NAME} bytes"),
            ));
        }
        if let Some(peers) = self
            .peers
            .as_ref()
            .filter(|peers| peers.get_ref().len() > gossip::MOST_MEMBERS)
        {
            return Err(wrong(
                peers,
                format!("there are at most {} peers", gossip::MOST_MEMBERS),
            ));
        }
        let probe_ms = self.probe_ms.map_or(ordinary.probe_ms, |probe| probe.0);
        // The platform names times for none of this: five missed in a row are needed for a doubt.
        let suspect_ms = self
            .suspect_ms
            .as_ref()
            .map_or(probe_ms * 5.0, |suspect| suspect.get_ref().0);
        if let Some(suspect) = self.suspect_ms.filter(|_| suspect_ms < 3.0 * probe_ms) {
            return Err(wrong(
                &suspect,
                "a node is probed three times at the least before it is suspected",
            ));
        }
        Ok(Instances {
            name: self.name.map(Spanned::into_inner),
            listen: self.listen,
            peers: self.peers.map(Spanned::into_inner),
            fleet: self.fleet.into_inner(),
            key_at: self.key_file.span().start,
            key_file: self.key_file.into_inner(),
            probe_ms,
            suspect_ms,
        })
    }
}

fn addresses(servers: Vec<RawServer>) -> Result<AllSaid, Wrong> {
    let mut said = AllSaid::new();
    let mut taken: HashMap<Address, String> = HashMap::new();
    for RawServer {
        id,
        only,
        addresses,
    } in servers
    {
        if said.contains_key(id.get_ref()) {
            return Err(wrong(&id, "there is a server of this id already"));
        }
        if said.len() >= MOST_SERVERS {
            return Err(wrong(
                &id,
                format!("there are more than {MOST_SERVERS} servers"),
            ));
        }
        let count = addresses.get_ref().len();
        if !(1..=MOST_ADDRESSES).contains(&count) {
            return Err(wrong(
                &addresses,
                format!("there are 1 to {MOST_ADDRESSES} addresses"),
            ));
        }
        let mut routes = Vec::new();
        for raw in addresses.into_inner() {
            if let Some(other) = taken.insert(raw.get_ref().address.0.clone(), id.get_ref().clone())
            {
                return Err(wrong(&raw, format!("the address is {other:?}'s already")));
            }
            let RawRoute {
                address,
                preference,
                label,
            } = raw.into_inner();
            routes.push(Route {
                address: address.0,
                preference,
                label,
            });
        }
        said.insert(id.into_inner(), Said { routes, only });
    }
    Ok(said)
}

fn believe(
    trust: &mut Trust,
    share: Option<Share>,
    window: Option<Seconds>,
    confirm: Option<Seconds>,
) {
    trust.panic_share = share.map_or(trust.panic_share, |share| share.0);
    trust.panic_window_ms = window.map_or(trust.panic_window_ms, Seconds::ms);
    trust.confirm_ms = confirm.map_or(trust.confirm_ms, Seconds::ms);
}

impl Seconds {
    fn ms(self) -> f64 {
        self.0 * 1e3
    }
}

impl RawConsul {
    fn check(self) -> Result<ConsulSource, Wrong> {
        if !(1..=MOST_NAME).contains(&self.name.get_ref().len()) {
            return Err(wrong(
                &self.name,
                format!("a name has 1 to {MOST_NAME} bytes"),
            ));
        }
        if self.service.get_ref().is_empty() {
            return Err(wrong(&self.service, "a service has a name"));
        }
        let count = self.agents.get_ref().len();
        if !(1..=MOST_AGENTS).contains(&count) {
            return Err(wrong(
                &self.agents,
                format!("there are 1 to {MOST_AGENTS} agents"),
            ));
        }
        let named = self.id.map_or(Named::Id(Place::ServiceId), |id| id.0);
        let names = self
            .names_servers
            .as_ref()
            .is_some_and(|names| *names.get_ref());
        if let Some(names) = self
            .names_servers
            .as_ref()
            .filter(|_| names && named == Named::Address)
        {
            return Err(wrong(
                names,
                "a source that names servers names them by id, and not by address",
            ));
        }
        let mut trust = Trust::advisor(self.name.into_inner());
        believe(
            &mut trust,
            self.panic_share,
            self.panic_window_s,
            self.confirm_s,
        );
        trust.names = names;
        trust.match_by = if named == Named::Address {
            MatchBy::Address
        } else {
            MatchBy::Id
        };
        trust.hold_ms = self.hold_s.map_or(trust.hold_ms, Seconds::ms);
        if let Some(damping) = self.damping {
            let [first_ms, most_ms, half_life_ms] =
                [damping.first_s, damping.most_s, damping.half_life_s].map(Seconds::ms);
            let half_life_ms = half_life_ms.max(1.0);
            trust.damping = Some(Damping {
                first_ms,
                most_ms,
                half_life_ms,
            })
            .filter(|_| most_ms > 0.0);
        }
        let query = Query {
            api: match self.api {
                RawApi::Health => Api::Health,
                RawApi::Catalog => Api::Catalog,
            },
            service: self.service.into_inner(),
            datacenter: self.datacenter,
            namespace: self.namespace,
            partition: self.partition,
            tags: self.tags,
            filter: self.filter,
            consistency: match self.consistency {
                RawConsistency::Default => Consistency::Default,
                RawConsistency::Stale => Consistency::Stale,
                RawConsistency::Consistent => Consistency::Consistent,
                RawConsistency::Cached => Consistency::Cached,
            },
            wait_s: self.wait_s.map_or(60, |wait| wait.0),
        };
        let ordinary = Mapping::default();
        let [passing, warning, critical, maintenance] = ordinary.states;
        let or = |raw: Option<RawState>, state: State| raw.map_or(state, State::from);
        let meta = self.states.meta.into_iter().flat_map(|(key, states)| {
            states
                .into_iter()
                .map(move |(value, state)| (key.clone(), value, state.into()))
        });
        let mapping = Mapping {
            named,
            tagged_address: self.tagged_address,
            also_tagged: self.also_tagged,
            states: [
                or(self.states.passing, passing),
                or(self.states.warning, warning),
                or(self.states.critical, critical),
                or(self.states.maintenance, maintenance),
            ],
            tags: self
                .states
                .tags
                .into_iter()
                .map(|(tag, state)| (tag, state.into()))
                .collect(),
            meta: meta.collect(),
            zone: self.zone.map(|place| place.0),
            kind: self.kind.map(|place| place.0),
            cell: self.cell.map(|place| place.0),
            weight: self.weight.map(|place| place.0),
            started_at_ms: self.started_at_ms.map(|place| place.0),
        };
        let mut watch = WatchSettings::new(query, mapping, count);
        watch.most_age_ms = self.most_age_s.map_or(watch.most_age_ms, Seconds::ms);
        watch.pace_ms = self.pace_ms.map_or(watch.pace_ms, |pace| pace.0);
        let agents = self
            .agents
            .into_inner()
            .into_iter()
            .map(Spanned::into_inner)
            .collect();
        Ok(ConsulSource {
            trust,
            agents,
            token_file: self.token_file,
            watch,
        })
    }
}
