//! Combines the addresses of a server from endpoint discovery with those in the operators' file.

use std::collections::HashMap;
use std::net::SocketAddr;

use endpoint_discovery::Endpoint;
use pool::{Address, Route};

/// The addresses of one server in the operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerAddresses {
    /// The addresses with their preferences and labels.
    pub routes: Vec<Route>,
    /// Whether only these addresses are used and those from discovery are ignored.
    pub exclusive: bool,
}

/// The addresses in the operators' file by server id.
pub type ConfiguredAddresses = HashMap<String, ServerAddresses>;

/// The routes to a server: those in the operators' file, followed by its addresses from discovery, of which
/// `listed_address` is the main one. For an address in both, the operators' file takes precedence.
#[must_use]
pub fn routes(
    configured: &ConfiguredAddresses,
    endpoint: &Endpoint,
    listed_address: Option<SocketAddr>,
) -> Vec<Route> {
    let configured_server = configured.get(&endpoint.id);
    let mut routes = configured_server
        .map(|server| server.routes.clone())
        .unwrap_or_default();
    if configured_server.is_some_and(|server| server.exclusive) {
        return routes;
    }
    for address in listed_address
        .into_iter()
        .chain(endpoint.alternate_addresses.iter().copied())
    {
        let address = Address::Ip(address);
        if routes.iter().all(|route| route.address != address) {
            routes.push(Route::new(address));
        }
    }
    routes
}

#[cfg(test)]
mod tests;
