//! Instances as the published pages word them, and what the operators' file makes of them.

use consul::{Api, Instance, Mapping, Named, Place, Said, State, Status};

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
    Instance::read(Api::Health, HEALTH.replace("STATUS", status).as_bytes()).expect("an instance")
}

fn mapping() -> Mapping {
    Mapping {
        named: Named::Id(Place::Meta("server".into())),
        zone: "meta:zone".parse().ok(),
        kind: "tag:kind-".parse().ok(),
        cell: "meta:cell".parse().ok(),
        started_at_ms: "meta:started".parse().ok(),
        ..Mapping::default()
    }
}

fn read(instance: &Instance, mapping: &Mapping) -> Said {
    mapping.read(instance).expect("it names a server")
}

#[test]
fn an_instance_of_the_health_api() {
    let said = read(&health("passing"), &mapping());
    assert_eq!(
        (said.key.as_str(), said.state, said.registered),
        ("s-1", State::Ready, 12)
    );
    assert_eq!(said.facts.address, "10.1.10.13:8443".parse().ok());
    assert_eq!(said.facts.zone.as_deref(), Some("b"));
    assert_eq!(said.facts.kind.as_deref(), Some("m2"));
    assert_eq!(
        (said.facts.cell, said.facts.started_at_ms),
        (Some(3), Some(1.7e12))
    );
    assert_eq!(said.facts.weight.to_bits(), 10_f64.to_bits());
    assert_eq!(
        read(&health("warning"), &mapping()).facts.weight.to_bits(),
        0_f64.to_bits()
    );
    for (place, weight) in [
        ("meta:cell", 3_f64),
        ("meta:zone", 10_f64),
        ("meta:absent", 10_f64),
    ] {
        let mapping = Mapping {
            weight: place.parse().ok(),
            ..mapping()
        };
        let read = read(&health("passing"), &mapping).facts.weight;
        assert_eq!(
            read.to_bits(),
            weight.to_bits(),
            "{place}: what is no figure is passed over"
        );
    }
}

#[test]
fn an_instance_of_the_catalogue() {
    let instance = Instance::read(Api::Catalog, CATALOG.as_bytes()).expect("an instance");
    let said = read(&instance, &mapping());
    assert_eq!(
        (said.key.as_str(), said.state, said.registered),
        ("s-1", State::Ready, 52)
    );
    assert_eq!(
        said.facts.address,
        "192.168.10.10:5000".parse().ok(),
        "the node's, where it has none"
    );
    assert_eq!(instance.node_meta["rack"], "r7");
}

#[test]
fn tagged_addresses_are_the_servers_where_the_file_says_so() {
    for (tag, address) in [
        ("lan", "10.1.10.14:8000"),
        ("lan_ipv6", "[2001:db8::7]:8001"),
        ("wan", "10.1.10.13:8443"),
    ] {
        let mapping = Mapping {
            tagged_address: Some(tag.into()),
            named: Named::Address,
            ..mapping()
        };
        assert_eq!(read(&health("passing"), &mapping).key, address);
    }
    let also_tagged = vec!["lan_ipv6".into(), "wan_ipv6".into(), "lan".into()];
    let others = read(
        &health("passing"),
        &Mapping {
            also_tagged,
            ..mapping()
        },
    )
    .facts
    .others;
    let others: Vec<_> = others.iter().map(ToString::to_string).collect();
    assert_eq!(
        others,
        ["[2001:db8::7]:8001", "10.1.10.14:8000"],
        "those that it has"
    );
}

/// Each status of a check against what the file makes of it.
#[test]
fn checks_tags_and_meta_data_tell_the_state_and_the_gravest_holds() {
    let ordinary = [
        ("passing", State::Ready),
        ("warning", State::Ready),
        ("critical", State::Gone),
        ("maintenance", State::Draining),
    ];
    for (status, state) in ordinary {
        assert_eq!(read(&health(status), &mapping()).state, state, "{status}");
    }
    let strict = Mapping {
        states: [State::Ready, State::Draining, State::Draining, State::Gone],
        ..mapping()
    };
    for (status, state) in ordinary
        .into_iter()
        .zip(strict.states)
        .map(|((status, _), state)| (status, state))
    {
        assert_eq!(read(&health(status), &strict).state, state, "{status}");
    }
    let by_tag = Mapping {
        tags: vec![("primary".into(), State::Draining)],
        ..mapping()
    };
    assert_eq!(read(&health("passing"), &by_tag).state, State::Draining);
    assert_eq!(read(&health("critical"), &by_tag).state, State::Gone);
    let by_meta = Mapping {
        meta: vec![("zone".into(), "b".into(), State::Draining)],
        ..mapping()
    };
    assert_eq!(read(&health("passing"), &by_meta).state, State::Draining);
    let other = Mapping {
        meta: vec![("zone".into(), "c".into(), State::Draining)],
        ..mapping()
    };
    assert_eq!(read(&health("passing"), &other).state, State::Ready);
}

#[test]
fn maintenance_mode_is_told_from_a_failing_check() {
    for id in ["_node_maintenance", "_service_maintenance:holds-1"] {
        let text = HEALTH
            .replace("service:holds", id)
            .replace("STATUS", "critical");
        let instance = Instance::read(Api::Health, text.as_bytes()).expect("an instance");
        assert_eq!(instance.status(), Status::Maintenance, "{id}");
        assert_eq!(read(&instance, &mapping()).state, State::Draining);
    }
}

#[test]
fn what_names_no_server_is_unusable() {
    let nowhere = Mapping {
        named: Named::Id(Place::Meta("absent".into())),
        ..mapping()
    };
    assert_eq!(
        nowhere.read(&health("passing")).expect_err("no name").id,
        "holds-1"
    );
    let named = HEALTH
        .replace("10.1.10.13", "holds.example")
        .replace("STATUS", "passing");
    let instance = Instance::read(Api::Health, named.as_bytes()).expect("an instance");
    let by_address = Mapping {
        named: Named::Address,
        ..mapping()
    };
    assert!(by_address.read(&instance).is_err(), "no name look-ups");
    assert_eq!(read(&instance, &mapping()).facts.address, None);
}

#[test]
fn places_are_worded_as_the_page_says() {
    for good in ["service-id", "node", "meta:a", "node-meta:a:b", "tag:x-"] {
        assert!(good.parse::<Place>().is_ok(), "{good}");
    }
    for bad in ["", "meta", "meta:", "tags:x", "service", "node-meta:"] {
        assert!(bad.parse::<Place>().is_err(), "{bad}");
    }
}
