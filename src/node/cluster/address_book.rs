//! The mapping between peer addresses and the ids by which [`gossip`] identifies them.

use std::collections::HashMap;
use std::net::SocketAddr;

use gossip::PeerId;

/// All peer addresses since the process started. None is ever removed, so that an id always refers to the same address.
#[derive(Debug, Default)]
pub struct AddressBook {
    ids: HashMap<SocketAddr, PeerId>,
    addresses: Vec<SocketAddr>,
}

impl AddressBook {
    /// Returns the id of an address, and assigns one if it has none.
    pub fn assign(&mut self, address: SocketAddr) -> PeerId {
        *self.ids.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            self.addresses.len() - 1
        })
    }

    /// The id of an address; `None` if it was never among the peers.
    pub fn id_of(&self, address: SocketAddr) -> Option<PeerId> {
        self.ids.get(&address).copied()
    }

    /// The address with an id; `None` if the id is not assigned.
    pub fn address_of(&self, id: PeerId) -> Option<SocketAddr> {
        self.addresses.get(id).copied()
    }
}
