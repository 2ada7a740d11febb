//! The fake agent's catalog: service instances, their JSON in the health and the catalog API, and edits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{json, Value};

/// An instance of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Service ID.
    pub id: String,
    /// Service name.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Service tags.
    pub tags: Vec<String>,
    /// Service metadata.
    pub meta: BTreeMap<String, String>,
    /// Weights in the states passing and warning.
    pub weights: (u32, u32),
    /// Status of each check, by check ID.
    pub checks: BTreeMap<String, String>,
    create_index: u64,
    modify_index: u64,
}

impl Instance {
    /// Creates an instance with one passing check.
    #[must_use]
    pub fn new(service: &str, id: &str, address: SocketAddr) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            address,
            tags: Vec::new(),
            meta: BTreeMap::new(),
            weights: (1, 1),
            checks: BTreeMap::from([(format!("service:{id}"), "passing".to_owned())]),
            create_index: 0,
            modify_index: 0,
        }
    }

    /// Whether it is in maintenance mode.
    #[must_use]
    pub fn is_in_maintenance(&self) -> bool {
        self.checks.keys().any(|id| id.contains("_maintenance"))
    }

    pub(super) fn is_passing(&self) -> bool {
        self.checks.values().all(|status| status == "passing")
    }

    fn service_json(&self) -> Value {
        json!({
            "ID": self.id, "Service": self.service, "Tags": self.tags, "Meta": self.meta,
            "Address": self.address.ip().to_string(), "Port": self.address.port(),
            "TaggedAddresses": {"lan": {"Address": self.address.ip().to_string(), "Port": self.address.port()}},
            "Weights": {"Passing": self.weights.0, "Warning": self.weights.1},
            "EnableTagOverride": false, "Namespace": "default", "Datacenter": "dc1",
            "CreateIndex": self.create_index, "ModifyIndex": self.modify_index,
        })
    }

    fn health_json(&self) -> String {
        let check = |(id, status): (&String, &String)| {
            let service = if id == "_node_maintenance" {
                ""
            } else {
                &self.id
            };
            json!({
                "Node": "fake", "CheckID": id, "Name": id, "Status": status, "Notes": "", "Output": "",
                "ServiceID": service, "ServiceName": self.service, "ServiceTags": self.tags, "Type": "ttl",
                "Definition": {}, "CreateIndex": self.create_index, "ModifyIndex": self.modify_index,
            })
        };
        let checks: Vec<_> = self.checks.iter().map(check).collect();
        json!({"Node": node_json(), "Service": self.service_json(), "Checks": checks}).to_string()
    }

    fn catalog_json(&self) -> String {
        json!({
            "ID": "40e4a748-2192-161a-0510-9bf59fe950b5", "Node": "fake", "Address": "127.0.0.1",
            "Datacenter": "dc1", "TaggedAddresses": {"lan": "127.0.0.1"}, "NodeMeta": {},
            "ServiceID": self.id, "ServiceName": self.service, "ServiceTags": self.tags, "ServiceMeta": self.meta,
            "ServiceAddress": self.address.ip().to_string(), "ServicePort": self.address.port(),
            "ServiceWeights": {"Passing": self.weights.0, "Warning": self.weights.1},
            "ServiceEnableTagOverride": false, "Namespace": "default",
            "CreateIndex": self.create_index, "ModifyIndex": self.modify_index,
        })
        .to_string()
    }
}

fn node_json() -> Value {
    json!({
        "ID": "40e4a748-2192-161a-0510-9bf59fe950b5", "Node": "fake", "Address": "127.0.0.1",
        "Datacenter": "dc1", "TaggedAddresses": {"lan": "127.0.0.1"}, "Meta": {}, "CreateIndex": 1, "ModifyIndex": 1,
    })
}

/// An instance with its JSON for each API, which is built once.
#[derive(Debug)]
pub(super) struct RegisteredInstance {
    pub instance: Instance,
    pub health: String,
    pub catalog: String,
}

/// A version of the catalog.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Index that responses report in `X-Consul-Index`.
    pub index: u64,
    pub(super) instances: BTreeMap<String, Arc<RegisteredInstance>>,
}

impl Catalog {
    /// The same catalog at another index.
    #[must_use]
    pub fn at_index(self, index: u64) -> Self {
        Self { index, ..self }
    }

    /// All instances, in the order of their IDs.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances
            .values()
            .map(|registered| &registered.instance)
    }
}

/// Editor of a catalog; all its edits get the index of that catalog.
pub struct CatalogEditor<'a>(pub(super) &'a mut Catalog);

impl CatalogEditor<'_> {
    /// Adds an instance, or replaces the one with the same ID.
    pub fn put(&mut self, mut instance: Instance) {
        let previous = self.0.instances.get(&instance.id);
        instance.create_index =
            previous.map_or(self.0.index, |previous| previous.instance.create_index);
        instance.modify_index = self.0.index;
        let (health, catalog) = (instance.health_json(), instance.catalog_json());
        let id = instance.id.clone();
        self.0.instances.insert(
            id,
            Arc::new(RegisteredInstance {
                instance,
                health,
                catalog,
            }),
        );
    }

    /// Removes an instance.
    pub fn remove(&mut self, id: &str) {
        self.0.instances.remove(id);
    }

    /// Edits an instance, if it exists.
    pub fn edit(&mut self, id: &str, edit: impl FnOnce(&mut Instance)) {
        if let Some(registered) = self.0.instances.get(id) {
            let mut instance = registered.instance.clone();
            edit(&mut instance);
            self.put(instance);
        }
    }

    pub(super) fn set_node_maintenance(&mut self, on: bool) {
        let ids: Vec<_> = self.0.instances.keys().cloned().collect();
        for id in ids {
            self.edit(&id, |instance| {
                if on {
                    instance
                        .checks
                        .insert("_node_maintenance".into(), "critical".into());
                } else {
                    instance.checks.remove("_node_maintenance");
                }
            });
        }
    }
}

/// Parses a service registration of the agent API; `None` if it is invalid.
pub(super) fn parse_registration(body: &Value) -> Option<Instance> {
    let name = body["Name"].as_str()?;
    let id = body["ID"].as_str().unwrap_or(name);
    let address = body["Address"]
        .as_str()
        .unwrap_or("127.0.0.1")
        .parse()
        .ok()?;
    let port = u16::try_from(body["Port"].as_u64()?).ok()?;
    let mut instance = Instance::new(name, id, SocketAddr::new(address, port));
    let tags = body["Tags"].as_array().into_iter().flatten();
    instance.tags = tags
        .filter_map(|tag| tag.as_str().map(str::to_owned))
        .collect();
    let meta = body["Meta"].as_object().into_iter().flatten();
    instance.meta = meta
        .filter_map(|(k, v)| Some((k.clone(), v.as_str()?.to_owned())))
        .collect();
    Some(instance)
}
