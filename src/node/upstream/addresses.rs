//! At which addresses each server is reached: those that membership names, and those that the operators' file adds.

use std::collections::HashMap;
use std::net::SocketAddr;

use endpoint_discovery::Endpoint;
use pool::{Address, Route};

/// The addresses of one server in the operators' file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerAddresses {
    /// The addresses.
    pub routes: Vec<Route>,
    /// Whether the server is reached at these alone, and not where membership has it.
    pub exclusive: bool,
}

/// The addresses in the operators' file, by a server's id.
pub type ConfiguredAddresses = HashMap<String, ServerAddresses>;

/// The addresses of a server, of which membership names `listed` as its main one. One that is named twice goes by
/// what the operators say of it.
#[must_use]
pub fn routes(
    configured: &ConfiguredAddresses,
    host: &Endpoint,
    listed: Option<SocketAddr>,
) -> Vec<Route> {
    let own = configured.get(&host.id);
    let mut routes = own.map(|own| own.routes.clone()).unwrap_or_default();
    if own.is_some_and(|own| own.exclusive) {
        return routes;
    }
    for address in listed
        .into_iter()
        .chain(host.alternate_addresses.iter().copied())
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
