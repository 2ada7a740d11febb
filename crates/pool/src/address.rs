//! Addresses of three kinds, and the order in which they are tried.

use std::fmt;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

/// The longest path of a Unix socket: `sun_path` has 108 bytes with its end (unix(7)).
pub const MOST_UNIX_PATH: usize = 107;

/// The preference of a route of which nobody says any.
pub const ORDINARY_PREFERENCE: u16 = 100;

/// Where a server is reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Address {
    /// By TCP.
    Ip(SocketAddr),
    /// At a local socket.
    Unix(PathBuf),
}

/// An address's kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Family {
    /// A local socket.
    Unix,
    /// IPv6.
    V6,
    /// IPv4.
    V4,
}

/// Text that is no address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BadAddress {
    /// It is neither `IP:PORT` nor `unix:PATH`.
    Malformed(String),
    /// The path is not absolute.
    Relative(String),
    /// The path is longer than the system takes.
    TooLong(usize),
}

impl fmt::Display for BadAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(text) => write!(f, "{text:?} is neither `IP:PORT` nor `unix:PATH`"),
            Self::Relative(text) => write!(f, "the path of {text:?} does not begin with `/`"),
            Self::TooLong(bytes) => {
                write!(
                    f,
                    "a Unix socket's path has {MOST_UNIX_PATH} bytes at the most, not {bytes}"
                )
            }
        }
    }
}

impl std::error::Error for BadAddress {}

impl FromStr for Address {
    type Err = BadAddress;

    fn from_str(text: &str) -> Result<Self, BadAddress> {
        if let Some(path) = text.strip_prefix("unix:") {
            if !path.starts_with('/') {
                return Err(BadAddress::Relative(text.into()));
            }
            if path.len() > MOST_UNIX_PATH {
                return Err(BadAddress::TooLong(path.len()));
            }
            if path.contains('\0') {
                return Err(BadAddress::Malformed(text.into()));
            }
            return Ok(Self::Unix(path.into()));
        }
        let address = text
            .parse::<SocketAddr>()
            .ok()
            .filter(|address| address.port() > 0);
        address
            .map(Self::Ip)
            .ok_or_else(|| BadAddress::Malformed(text.into()))
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
    /// Its kind.
    #[must_use]
    pub fn family(&self) -> Family {
        match self {
            Self::Unix(_) => Family::Unix,
            Self::Ip(SocketAddr::V6(_)) => Family::V6,
            Self::Ip(SocketAddr::V4(_)) => Family::V4,
        }
    }

    /// RFC 6724, section 2.1: the default policy table's precedence; a local socket stands above all.
    fn precedence(&self) -> u8 {
        let Self::Ip(address) = self else {
            return u8::MAX;
        };
        match address.ip() {
            IpAddr::V4(_) => 35,
            IpAddr::V6(ip) => v6_precedence(ip),
        }
    }

    /// RFC 6724, section 3.1, as far as it orders destinations by rule 8: smaller scopes first.
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

/// An address with what the operators say of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    /// The address.
    pub address: Address,
    /// Lower ones are tried first.
    pub preference: u16,
    /// For the log.
    pub label: Option<String>,
}

impl Route {
    /// A route of which nothing is said.
    #[must_use]
    pub fn new(address: Address) -> Self {
        Self {
            address,
            preference: ORDINARY_PREFERENCE,
            label: None,
        }
    }
}

/// The order in which routes are tried, as indices: by preference; then by RFC 6724's rules 6 and 8 (the others need
/// the system's source addresses); within one preference families take turns, as RFC 8305, section 4, has it.
#[must_use]
pub fn order(routes: &[Route]) -> Vec<usize> {
    let mut sorted: Vec<usize> = (0..routes.len()).collect();
    sorted.sort_by_key(|at| {
        let Route {
            address,
            preference,
            ..
        } = &routes[*at];
        (*preference, u8::MAX - address.precedence(), address.scope())
    });
    let mut ordered: Vec<usize> = Vec::with_capacity(sorted.len());
    while !sorted.is_empty() {
        let preference = routes[sorted[0]].preference;
        let before = ordered
            .last()
            .filter(|at| routes[**at].preference == preference);
        let last = before.map(|at| routes[*at].address.family());
        let in_turn = |at: &usize| {
            routes[*at].preference == preference && Some(routes[*at].address.family()) != last
        };
        let next = sorted.iter().position(in_turn).unwrap_or(0);
        ordered.push(sorted.remove(next));
    }
    ordered
}

#[cfg(test)]
mod tests {
    use super::*;

    fn route(text: &str, preference: u16) -> Route {
        Route {
            preference,
            ..Route::new(text.parse().expect("an address"))
        }
    }

    fn ordered(routes: &[Route]) -> Vec<String> {
        order(routes)
            .into_iter()
            .map(|at| routes[at].address.to_string())
            .collect()
    }

    #[test]
    fn texts_are_addresses_or_say_why_not() {
        for good in ["127.0.0.1:80", "[::1]:80", "unix:/run/holds.sock"] {
            assert_eq!(
                good.parse::<Address>().expect("an address").to_string(),
                good
            );
        }
        for bad in [
            "",
            "localhost:80",
            "127.0.0.1",
            "127.0.0.1:0",
            "::1:80",
            "unix:",
            "unix:run/x",
            "unix:/a\0b",
        ] {
            assert!(bad.parse::<Address>().is_err(), "{bad}");
        }
        let path = |bytes: usize| format!("unix:/{}", "x".repeat(bytes - 1));
        assert!(path(MOST_UNIX_PATH).parse::<Address>().is_ok());
        assert_eq!(
            path(MOST_UNIX_PATH + 1).parse::<Address>(),
            Err(BadAddress::TooLong(MOST_UNIX_PATH + 1))
        );
    }

    #[test]
    fn preference_comes_first_and_precedence_decides_where_nothing_is_said() {
        let routes = [
            route("10.0.0.1:80", 100),
            route("[fc00::1]:80", 100),
            route("[2001:db8::1]:80", 100),
            route("unix:/run/s", 100),
            route("10.0.0.2:80", 5),
        ];
        assert_eq!(
            ordered(&routes),
            [
                "10.0.0.2:80",
                "unix:/run/s",
                "[2001:db8::1]:80",
                "10.0.0.1:80",
                "[fc00::1]:80"
            ]
        );
    }

    #[test]
    fn families_take_turns() {
        let routes: Vec<_> = [
            "[2001:db8::1]:1",
            "[2001:db8::2]:1",
            "[2001:db8::3]:1",
            "10.0.0.1:1",
            "10.0.0.2:1",
        ]
        .map(|text| route(text, 100))
        .into();
        assert_eq!(
            ordered(&routes),
            [
                "[2001:db8::1]:1",
                "10.0.0.1:1",
                "[2001:db8::2]:1",
                "10.0.0.2:1",
                "[2001:db8::3]:1"
            ]
        );
    }

    /// Each line of the policy table of RFC 6724, section 2.1.
    #[test]
    fn the_policy_table_is_the_rfcs() {
        let table = [
            ("[::1]:1", 50),
            ("[2001:db8::1]:1", 40),
            ("[::ffff:10.0.0.1]:1", 35),
            ("10.0.0.1:1", 35),
            ("[2002::1]:1", 30),
            ("[2001::1]:1", 5),
            ("[fd00::1]:1", 3),
            ("[::2]:1", 1),
            ("[fec0::1]:1", 1),
            ("[3ffe::1]:1", 1),
        ];
        for (text, precedence) in table {
            assert_eq!(route(text, 0).address.precedence(), precedence, "{text}");
        }
    }

    #[test]
    fn every_route_is_in_the_order_once() {
        let texts = [
            "10.0.0.1:1",
            "[::1]:1",
            "unix:/a",
            "unix:/b",
            "[fe80::1]:1",
            "10.0.0.1:2",
        ];
        for bits in 0..64_u32 {
            let routes: Vec<_> = texts
                .iter()
                .enumerate()
                .filter(|(at, _)| bits >> at & 1 == 1)
                .map(|(at, text)| route(text, (at % 2) as u16))
                .collect();
            let mut all = order(&routes);
            all.sort_unstable();
            assert_eq!(all, (0..routes.len()).collect::<Vec<_>>());
        }
    }
}
