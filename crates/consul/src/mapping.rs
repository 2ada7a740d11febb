//! What an instance means to silverthread, as the operators say: which server it is, and whether it takes requests.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use crate::instance::{Instance, Status};

/// Whether a server takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is of no use.
    Gone,
}

/// Where in an instance a value stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// `service-id`: the service's id.
    ServiceId,
    /// `node`: the node's name.
    Node,
    /// `meta:KEY`: the service's meta data.
    Meta(String),
    /// `node-meta:KEY`: the node's meta data.
    NodeMeta(String),
    /// `tag:PREFIX`: what follows the prefix in the first tag that has it.
    Tag(String),
}

/// A place that is not worded as one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadPlace(String);

impl fmt::Display for BadPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is none of `service-id`, `node`, `meta:KEY`, `node-meta:KEY`, `tag:PREFIX`",
            self.0
        )
    }
}

impl std::error::Error for BadPlace {}

impl FromStr for Place {
    type Err = BadPlace;

    fn from_str(text: &str) -> Result<Self, BadPlace> {
        match text.split_once(':') {
            None if text == "service-id" => Ok(Self::ServiceId),
            None if text == "node" => Ok(Self::Node),
            Some(("meta", key)) if !key.is_empty() => Ok(Self::Meta(key.into())),
            Some(("node-meta", key)) if !key.is_empty() => Ok(Self::NodeMeta(key.into())),
            Some(("tag", prefix)) if !prefix.is_empty() => Ok(Self::Tag(prefix.into())),
            _ => Err(BadPlace(text.into())),
        }
    }
}

impl Place {
    fn of<'a>(&self, instance: &'a Instance) -> Option<&'a str> {
        let value = match self {
            Self::ServiceId => Some(instance.id.as_str()),
            Self::Node => Some(instance.node.as_str()),
            Self::Meta(key) => instance.meta.get(key).map(String::as_str),
            Self::NodeMeta(key) => instance.node_meta.get(key).map(String::as_str),
            Self::Tag(prefix) => instance
                .tags
                .iter()
                .find_map(|tag| tag.strip_prefix(prefix.as_str())),
        };
        value.filter(|value| !value.is_empty())
    }
}

/// What a server is named by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Named {
    /// Its id in the roster, which stands at this place.
    Id(Place),
    /// Its address.
    Address,
}

/// How instances are read.
#[derive(Clone, Debug, PartialEq)]
pub struct Mapping {
    /// What a server is named by.
    pub named: Named,
    /// A tagged address that is the server's; otherwise the service's own, or else its node's.
    pub tagged_address: Option<String>,
    /// Tagged addresses at which the server is reached, too.
    pub also_tagged: Vec<String>,
    /// What its checks' gravest status makes it: passing, warning, critical, maintenance.
    pub states: [State; 4],
    /// What tags make it.
    pub tags: Vec<(String, State)>,
    /// What meta data make it: key, value, state.
    pub meta: Vec<(String, String, State)>,
    /// Where its zone stands.
    pub zone: Option<Place>,
    /// Where its machine kind stands.
    pub kind: Option<Place>,
    /// Where its cell stands.
    pub cell: Option<Place>,
    /// Where its weight stands; otherwise Consul's own weights tell it.
    pub weight: Option<Place>,
    /// Where the time of its last start stands, in milliseconds of Unix time.
    pub started_at_ms: Option<Place>,
}

impl Default for Mapping {
    fn default() -> Self {
        Self {
            named: Named::Id(Place::ServiceId),
            tagged_address: None,
            also_tagged: Vec::new(),
            states: [State::Ready, State::Ready, State::Gone, State::Draining],
            tags: Vec::new(),
            meta: Vec::new(),
            zone: None,
            kind: None,
            cell: None,
            weight: None,
            started_at_ms: None,
        }
    }
}

/// What an instance says of its server beside its state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Facts {
    /// Its address; `None`: it is a name, or there is none.
    pub address: Option<SocketAddr>,
    /// Its further addresses.
    pub others: Vec<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its machine kind.
    pub kind: Option<String>,
    /// Its cell.
    pub cell: Option<usize>,
    /// When it last started.
    pub started_at_ms: Option<f64>,
    /// Its weight while its checks are as they are.
    pub weight: f64,
}

/// What an instance says of its server.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    /// What the server is named by.
    pub key: String,
    /// Whether it takes requests.
    pub state: State,
    /// What is known of it.
    pub facts: Facts,
    /// When the instance was last registered: of two for one server the later speaks.
    pub registered: u64,
}

/// An instance that cannot be any server: what the operators' file says names it is not there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unusable {
    /// The service's id.
    pub id: String,
}

impl Mapping {
    /// Reads an instance.
    ///
    /// # Errors
    ///
    /// What names the server is missing.
    pub fn read(&self, instance: &Instance) -> Result<Said, Unusable> {
        let status = instance.status();
        let by_checks = if status == Status::Passing {
            instance.weights.0
        } else {
            instance.weights.1
        };
        let facts = Facts {
            address: self.address(instance),
            others: self.others(instance),
            zone: value(self.zone.as_ref(), instance),
            kind: value(self.kind.as_ref(), instance),
            cell: value(self.cell.as_ref(), instance),
            started_at_ms: figure(self.started_at_ms.as_ref(), instance),
            weight: figure(self.weight.as_ref(), instance).unwrap_or(by_checks),
        };
        let key = match &self.named {
            Named::Id(place) => place.of(instance).map(str::to_owned),
            Named::Address => facts.address.map(|address| address.to_string()),
        };
        let key = key.ok_or_else(|| Unusable {
            id: instance.id.clone(),
        })?;
        Ok(Said {
            key,
            state: self.state(instance, status),
            facts,
            registered: instance.index,
        })
    }

    /// The gravest of what its checks, its tags and its meta data make it.
    fn state(&self, instance: &Instance, status: Status) -> State {
        let by_checks = self.states[status as usize];
        let tags = self
            .tags
            .iter()
            .filter(|(tag, _)| instance.tags.contains(tag))
            .map(|(_, state)| *state);
        let meta = self
            .meta
            .iter()
            .filter(|(key, value, _)| instance.meta.get(key) == Some(value));
        tags.chain(meta.map(|(_, _, state)| *state))
            .fold(by_checks, State::max)
    }

    fn address(&self, instance: &Instance) -> Option<SocketAddr> {
        let tagged = self
            .tagged_address
            .as_ref()
            .and_then(|tag| instance.tagged.get(tag));
        let (address, port) = match tagged {
            Some((address, port)) => (address, *port),
            None if instance.address.is_empty() => (&instance.node_address, instance.port),
            None => (&instance.address, instance.port),
        };
        socket(address, port)
    }

    fn others(&self, instance: &Instance) -> Vec<SocketAddr> {
        let tagged = self
            .also_tagged
            .iter()
            .filter_map(|tag| instance.tagged.get(tag));
        tagged
            .filter_map(|(address, port)| socket(address, *port))
            .collect()
    }
}

fn socket(address: &str, port: u16) -> Option<SocketAddr> {
    let address: IpAddr = address.parse().ok()?;
    (port > 0).then_some(SocketAddr::new(address, port))
}

fn value<T: FromStr>(place: Option<&Place>, instance: &Instance) -> Option<T> {
    place?.of(instance)?.parse().ok()
}

fn figure(place: Option<&Place>, instance: &Instance) -> Option<f64> {
    value(place, instance).filter(|figure: &f64| figure.is_finite() && *figure >= 0.0)
}
