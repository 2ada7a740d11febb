//! Numbers for peer addresses, as [`gossip`] knows them. A number never stands for another address.

use std::collections::HashMap;
use std::net::SocketAddr;

use gossip::PeerId;

/// All peer addresses since the start. They are never removed: a number must not be reused.
#[derive(Debug, Default)]
pub struct AddressBook {
    ids: HashMap<SocketAddr, PeerId>,
    addresses: Vec<SocketAddr>,
}

impl AddressBook {
    /// The number of an address, assigned if it has none.
    pub fn assign(&mut self, address: SocketAddr) -> PeerId {
        *self.ids.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            self.addresses.len() - 1
        })
    }

    /// The number of an address, if it was ever among the peers.
    pub fn id_of(&self, address: SocketAddr) -> Option<PeerId> {
        self.ids.get(&address).copied()
    }

    /// The address with a number.
    pub fn address_of(&self, id: PeerId) -> Option<SocketAddr> {
        self.addresses.get(id).copied()
    }
}
