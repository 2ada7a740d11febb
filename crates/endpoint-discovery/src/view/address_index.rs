//! Index of endpoints by address, for sources that match by address.

use std::collections::{BTreeSet, HashMap};

/// Bidirectional index of endpoint ids and addresses. Several endpoints may share an address.
#[derive(Default)]
pub(super) struct AddressIndex {
    ids_by_address: HashMap<String, BTreeSet<String>>,
    address_by_id: HashMap<String, String>,
}

impl AddressIndex {
    pub fn address_of(&self, id: &str) -> Option<&str> {
        self.address_by_id.get(id).map(String::as_str)
    }

    pub fn ids_at(&self, address: &str) -> impl Iterator<Item = &String> {
        self.ids_by_address.get(address).into_iter().flatten()
    }

    /// Sets an endpoint's address, or removes it.
    pub fn set(&mut self, id: &str, address: Option<String>) {
        if self.address_by_id.get(id) == address.as_ref() {
            return;
        }
        self.remove(id);
        if let Some(address) = address {
            self.ids_by_address
                .entry(address.clone())
                .or_default()
                .insert(id.to_owned());
            self.address_by_id.insert(id.to_owned(), address);
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(address) = self.address_by_id.remove(id) else {
            return;
        };
        if let Some(ids) = self.ids_by_address.get_mut(&address) {
            ids.remove(id);
            if ids.is_empty() {
                self.ids_by_address.remove(&address);
            }
        }
    }
}
