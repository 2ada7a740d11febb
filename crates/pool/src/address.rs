//! Server addresses of three families (Unix, IPv6, IPv4) and the order in which they are dialed.

use std::fmt;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

/// Maximum length of a Unix socket path, in bytes: `sun_path` has 108 bytes with its terminator (unix(7)).
pub const MAX_UNIX_PATH_BYTES: usize = 107;

/// Preference of a route for which none is configured.
pub const DEFAULT_PREFERENCE: u16 = 100;

/// Address at which a server can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Address {
    /// An IP address and TCP port.
    Ip(SocketAddr),
    /// A Unix domain socket.
    Unix(PathBuf),
}

/// Address family.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Family {
    /// Unix domain socket.
    Unix,
    /// IPv6.
    V6,
    /// IPv4.
    V4,
}

/// Error of parsing an [`Address`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AddressError {
    /// The text is neither `IP:PORT` with a port above 0 nor `unix:PATH` with a path free of NUL bytes.
    Malformed(String),
    /// The path in the text is not absolute.
    Relative(String),
    /// The path is longer than the operating system accepts; holds its length in bytes.
    TooLong(usize),
}

impl fmt::Display for AddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(text) => write!(f, "{text:?} is neither `IP:PORT` nor `unix:PATH`"),
            Self::Relative(text) => write!(f, "the path of {text:?} does not begin with `/`"),
            Self::TooLong(bytes) => {
                write!(
                    f,
                    "a Unix socket path has at most {MAX_UNIX_PATH_BYTES} bytes, got {bytes}"
                )
            }
        }
    }
}

impl std::error::Error for AddressError {}

impl FromStr for Address {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Self, AddressError> {
        if let Some(path) = text.strip_prefix("unix:") {
            if !path.starts_with('/') {
                return Err(AddressError::Relative(text.into()));
            }
            if path.len() > MAX_UNIX_PATH_BYTES {
                return Err(AddressError::TooLong(path.len()));
            }
            if path.contains('\0') {
                return Err(AddressError::Malformed(text.into()));
            }
            return Ok(Self::Unix(path.into()));
        }
        let address = text
            .parse::<SocketAddr>()
            .ok()
            .filter(|address| address.port() > 0);
        address
            .map(Self::Ip)
            .ok_or_else(|| AddressError::Malformed(text.into()))
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ip(address) => address.fmt(f),
            Self::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

impl Address {
    /// Returns the address family.
    #[must_use]
    pub fn family(&self) -> Family {
        match self {
            Self::Unix(_) => Family::Unix,
            Self::Ip(SocketAddr::V6(_)) => Family::V6,
            Self::Ip(SocketAddr::V4(_)) => Family::V4,
        }
    }

    /// Precedence in the default policy table of RFC 6724, section 2.1; Unix sockets rank above all.
    fn precedence(&self) -> u8 {
        let Self::Ip(address) = self else {
            return u8::MAX;
        };
        match address.ip() {
            IpAddr::V4(_) => 35,
            IpAddr::V6(ip) => v6_precedence(ip),
        }
    }

    /// Scope according to RFC 6724, section 3.1, as far as rule 8 (smaller scopes first) needs it.
    fn scope(&self) -> u8 {
        match self {
            Self::Unix(_) => 0,
            Self::Ip(address) => match address.ip() {
                IpAddr::V4(ip) if ip.is_loopback() || ip.is_link_local() => 2,
                IpAddr::V6(ip) if ip.is_loopback() || ip.is_unicast_link_local() => 2,
                _ => 14,
            },
        }
    }
}

fn v6_precedence(ip: Ipv6Addr) -> u8 {
    let [first, second, ..] = ip.segments();
    if ip.is_loopback() {
        50
    } else if ip.to_ipv4_mapped().is_some() {
        35
    } else if first == 0x2002 {
        30
    } else if first == 0x2001 && second == 0 {
        5
    } else if first & 0xfe00 == 0xfc00 {
        3
    } else if first & 0xffc0 == 0xfec0 || first == 0x3ffe || ip.segments()[..6] == [0; 6] {
        1
    } else {
        40
    }
}

/// An address with its configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    /// The address.
    pub address: Address,
    /// Rank in the dial order: routes with lower values are dialed first.
    pub preference: u16,
    /// Name of the route in log lines.
    pub label: Option<String>,
}

impl Route {
    /// Creates a route with the default preference and no label.
    #[must_use]
    pub fn new(address: Address) -> Self {
        Self {
            address,
            preference: DEFAULT_PREFERENCE,
            label: None,
        }
    }
}

/// Returns the indices of `routes` in the order in which they are dialed.
///
/// Routes are ordered by preference, then by rules 6 and 8 of RFC 6724 (its other rules depend on the
/// system's source addresses); within one preference, families alternate (RFC 8305, section 4).
#[must_use]
pub fn connection_order(routes: &[Route]) -> Vec<usize> {
    let mut remaining: Vec<usize> = (0..routes.len()).collect();
    remaining.sort_by_key(|index| {
        let route = &routes[*index];
        (
            route.preference,
            u8::MAX - route.address.precedence(),
            route.address.scope(),
        )
    });
    let mut ordered: Vec<usize> = Vec::with_capacity(remaining.len());
    while let Some(first) = remaining.first() {
        let preference = routes[*first].preference;
        let previous_family = ordered
            .last()
            .filter(|index| routes[**index].preference == preference)
            .map(|index| routes[*index].address.family());
        let next = remaining
            .iter()
            .position(|index| {
                let route = &routes[*index];
                route.preference == preference && Some(route.address.family()) != previous_family
            })
            .unwrap_or(0);
        ordered.push(remaining.remove(next));
    }
    ordered
}

#[cfg(test)]
mod tests;
