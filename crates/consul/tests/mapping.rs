//! Mapping of instances to endpoints, with JSON as in Consul's published pages.

use consul::{
    Api, CheckStatus, FieldSource, Instance, KeySource, Lifecycle, MappedEndpoint, Mapping,
    MetaRule, StatusLifecycles, TagRule,
};

const HEALTH: &str = r#"{
  "Node": {"ID": "40e4a748", "Node": "foobar", "Address": "10.1.10.12", "Datacenter": "dc1",
    "TaggedAddresses": {"lan": "10.1.10.12"}, "Meta": {"rack": "r7"}, "CreateIndex": 3, "ModifyIndex": 4},
  "Service": {"ID": "holds-1", "Service": "holds", "Tags": ["primary", "kind-m2"], "Address": "10.1.10.13",
    "TaggedAddresses": {"lan": {"address": "10.1.10.14", "port": 8000},
                        "lan_ipv6": {"Address": "2001:db8::7", "Port": 8001}},
    "Meta": {"server": "s-1", "zone": "b", "cell": "3", "started": "1700000000000"},
    "Port": 8443, "Weights": {"Passing": 10, "Warning": 0}, "EnableTagOverride": false,
    "Namespace": "default", "CreateIndex": 11, "ModifyIndex": 12, "Proxy": {"Mode": ""}, "Connect": {}},
  "Checks": [
    {"Node": "foobar", "CheckID": "serfHealth", "Name": "Serf", "Status": "passing", "Output": "",
     "ServiceID": "", "ServiceTags": [], "Definition": {}, "CreateIndex": 1, "ModifyIndex": 1},
    {"Node": "foobar", "CheckID": "service:holds", "Name": "c", "Status": "STATUS", "ServiceID": "holds-1"}]}"#;

const CATALOG: &str = r#"{"ID": "40e4a748", "Node": "foobar", "Address": "192.168.10.10", "Datacenter": "dc1",
  "TaggedAddresses": {"lan": "192.168.10.10", "wan": "10.0.10.10"}, "NodeMeta": {"rack": "r7"},
  "CreateIndex": 51, "ModifyIndex": 52, "ServiceAddress": "", "ServiceEnableTagOverride": false,
  "ServiceID": "holds-1", "ServiceName": "holds", "ServicePort": 5000, "ServiceMeta": {"server": "s-1"},
  "ServiceTaggedAddresses": {"lan": {"address": "172.17.0.3", "port": 5000}}, "ServiceTags": ["tacos"],
  "ServiceWeights": {"Passing": 2, "Warning": 1}, "Namespace": "default"}"#;

fn health(status: &str) -> Instance {
    Instance::parse(Api::Health, HEALTH.replace("STATUS", status).as_bytes())
        .expect("parse the health API's instance")
}

fn mapping() -> Mapping {
    Mapping {
        key: KeySource::Id(FieldSource::Meta("server".into())),
        zone: "meta:zone".parse().ok(),
        machine_type: "tag:kind-".parse().ok(),
        cell: "meta:cell".parse().ok(),
        started_at_ms: "meta:started".parse().ok(),
        ..Mapping::default()
    }
}

fn map(instance: &Instance, mapping: &Mapping) -> MappedEndpoint {
    mapping
        .apply(instance)
        .expect("the instance identifies an endpoint")
}

#[test]
fn health_api_instance_is_mapped_with_every_attribute() {
    let endpoint = map(&health("passing"), &mapping());
    assert_eq!(
        (
            endpoint.key.as_str(),
            endpoint.lifecycle,
            endpoint.modify_index
        ),
        ("s-1", Lifecycle::Ready, 12)
    );
    assert_eq!(endpoint.address, "10.1.10.13:8443".parse().ok());
    assert_eq!(endpoint.zone.as_deref(), Some("b"));
    assert_eq!(endpoint.machine_type.as_deref(), Some("m2"));
    assert_eq!(
        (endpoint.cell, endpoint.started_at_ms),
        (Some(3), Some(1.7e12))
    );
    assert_eq!(endpoint.weight.to_bits(), 10_f64.to_bits());
    assert_eq!(
        map(&health("warning"), &mapping()).weight.to_bits(),
        0_f64.to_bits()
    );
    for (field, weight) in [
        ("meta:cell", 3_f64),
        ("meta:zone", 10_f64),
        ("meta:absent", 10_f64),
    ] {
        let mapping = Mapping {
            weight: field.parse().ok(),
            ..mapping()
        };
        let parsed = map(&health("passing"), &mapping).weight;
        assert_eq!(
            parsed.to_bits(),
            weight.to_bits(),
            "weight from {field}: a value that is not a number is ignored"
        );
    }
}

#[test]
fn catalog_api_instance_is_mapped_with_the_nodes_address() {
    let instance = Instance::parse(Api::Catalog, CATALOG.as_bytes())
        .expect("parse the catalog API's instance");
    let endpoint = map(&instance, &mapping());
    assert_eq!(
        (
            endpoint.key.as_str(),
            endpoint.lifecycle,
            endpoint.modify_index
        ),
        ("s-1", Lifecycle::Ready, 52)
    );
    assert_eq!(
        endpoint.address,
        "192.168.10.10:5000".parse().ok(),
        "the node's address is used because the service has none"
    );
    assert_eq!(instance.node_meta["rack"], "r7");
}

#[test]
fn tagged_addresses_are_used_if_the_mapping_names_them() {
    for (tag, address) in [
        ("lan", "10.1.10.14:8000"),
        ("lan_ipv6", "[2001:db8::7]:8001"),
        ("wan", "10.1.10.13:8443"),
    ] {
        let mapping = Mapping {
            tagged_address: Some(tag.into()),
            key: KeySource::Address,
            ..mapping()
        };
        assert_eq!(map(&health("passing"), &mapping).key, address);
    }
    let alternate_tagged_addresses = vec!["lan_ipv6".into(), "wan_ipv6".into(), "lan".into()];
    let alternates = map(
        &health("passing"),
        &Mapping {
            alternate_tagged_addresses,
            ..mapping()
        },
    )
    .alternate_addresses;
    let alternates: Vec<_> = alternates.iter().map(ToString::to_string).collect();
    assert_eq!(
        alternates,
        ["[2001:db8::7]:8001", "10.1.10.14:8000"],
        "only the tagged addresses that the instance has"
    );
}

fn drain_zone_rule(zone: &str) -> MetaRule {
    MetaRule {
        key: "zone".into(),
        value: zone.into(),
        lifecycle: Lifecycle::Draining,
    }
}

#[test]
fn lifecycle_is_the_most_severe_of_checks_tags_and_metadata() {
    let defaults = [
        ("passing", Lifecycle::Ready),
        ("warning", Lifecycle::Ready),
        ("critical", Lifecycle::Gone),
        ("maintenance", Lifecycle::Draining),
    ];
    for (status, lifecycle) in defaults {
        assert_eq!(
            map(&health(status), &mapping()).lifecycle,
            lifecycle,
            "status {status} with the default mapping"
        );
    }
    let strict = StatusLifecycles {
        passing: Lifecycle::Ready,
        warning: Lifecycle::Draining,
        critical: Lifecycle::Draining,
        maintenance: Lifecycle::Gone,
    };
    let strict = Mapping {
        status_lifecycles: strict,
        ..mapping()
    };
    for (status, lifecycle) in [
        ("passing", Lifecycle::Ready),
        ("warning", Lifecycle::Draining),
        ("critical", Lifecycle::Draining),
        ("maintenance", Lifecycle::Gone),
    ] {
        assert_eq!(
            map(&health(status), &strict).lifecycle,
            lifecycle,
            "status {status} with the strict mapping"
        );
    }
    let by_tag = Mapping {
        tag_rules: vec![TagRule {
            tag: "primary".into(),
            lifecycle: Lifecycle::Draining,
        }],
        ..mapping()
    };
    assert_eq!(
        map(&health("passing"), &by_tag).lifecycle,
        Lifecycle::Draining
    );
    assert_eq!(map(&health("critical"), &by_tag).lifecycle, Lifecycle::Gone);
    let by_meta = Mapping {
        meta_rules: vec![drain_zone_rule("b")],
        ..mapping()
    };
    assert_eq!(
        map(&health("passing"), &by_meta).lifecycle,
        Lifecycle::Draining
    );
    let other = Mapping {
        meta_rules: vec![drain_zone_rule("c")],
        ..mapping()
    };
    assert_eq!(map(&health("passing"), &other).lifecycle, Lifecycle::Ready);
}

#[test]
fn maintenance_mode_is_distinguished_from_a_failing_check() {
    for id in ["_node_maintenance", "_service_maintenance:holds-1"] {
        let text = HEALTH
            .replace("service:holds", id)
            .replace("STATUS", "critical");
        let instance = Instance::parse(Api::Health, text.as_bytes())
            .expect("parse an instance with a maintenance check");
        assert_eq!(instance.status(), CheckStatus::Maintenance, "check {id}");
        assert_eq!(map(&instance, &mapping()).lifecycle, Lifecycle::Draining);
    }
}

#[test]
fn instance_without_the_key_field_identifies_no_endpoint() {
    let without_key = Mapping {
        key: KeySource::Id(FieldSource::Meta("absent".into())),
        ..mapping()
    };
    assert_eq!(
        without_key
            .apply(&health("passing"))
            .expect_err("the key field is missing")
            .service_id,
        "holds-1"
    );
    let with_host_name = HEALTH
        .replace("10.1.10.13", "holds.example")
        .replace("STATUS", "passing");
    let instance = Instance::parse(Api::Health, with_host_name.as_bytes())
        .expect("parse an instance with a host name");
    let by_address = Mapping {
        key: KeySource::Address,
        ..mapping()
    };
    assert!(
        by_address.apply(&instance).is_err(),
        "host names are not resolved"
    );
    assert_eq!(map(&instance, &mapping()).address, None);
}

#[test]
fn field_source_is_parsed_in_the_documented_forms_only() {
    for valid in ["service-id", "node", "meta:a", "node-meta:a:b", "tag:x-"] {
        assert!(valid.parse::<FieldSource>().is_ok(), "{valid:?} is valid");
    }
    for invalid in ["", "meta", "meta:", "tags:x", "service", "node-meta:"] {
        assert!(
            invalid.parse::<FieldSource>().is_err(),
            "{invalid:?} is invalid"
        );
    }
}
