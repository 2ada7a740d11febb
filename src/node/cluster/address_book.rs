//! Numbers by which [`gossip`] identifies peer addresses. A number always refers to the same address.

use std::collections::HashMap;
use std::net::SocketAddr;

use gossip::PeerId;

/// All peer addresses since the process started. None is ever removed, because its number must not be reused.
#[derive(Debug, Default)]
pub struct AddressBook {
    ids: HashMap<SocketAddr, PeerId>,
    addresses: Vec<SocketAddr>,
}

impl AddressBook {
    /// Returns the number of an address, and assigns one if it has none.
    pub fn assign(&mut self, address: SocketAddr) -> PeerId {
        *self.ids.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            self.addresses.len() - 1
        })
    }

    /// The number of an address; `None` if it was never among the peers.
    pub fn id_of(&self, address: SocketAddr) -> Option<PeerId> {
        self.ids.get(&address).copied()
    }

    /// The address that has a number; `None` if the number is not assigned.
    pub fn address_of(&self, id: PeerId) -> Option<SocketAddr> {
        self.addresses.get(id).copied()
    }
}
