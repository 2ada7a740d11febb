use endpoint_discovery::{Endpoint, Lifecycle};
use serde_json::json;

use super::*;

#[test]
fn entry_with_every_field_is_decoded() {
    let entry = json!({
        "instanceId": "s-1", "hostPort": "10.0.0.7:80", "zone": "b", "machineType": "m2",
        "cell": 3, "lifecycle": "draining", "startedAtMs": 5.5, "weight": 0.5, "other": true,
    });
    let endpoint = decode_endpoint(&entry).expect("decode a valid entry");
    assert_eq!(
        endpoint,
        Endpoint {
            address: "10.0.0.7:80".parse().ok(),
            lifecycle: Lifecycle::Draining,
            zone: "b".into(),
            machine_type: "m2".into(),
            cell: Some(3),
            started_at_ms: 5.5,
            weight: 0.5,
            ..Endpoint::new("s-1")
        }
    );
}

#[test]
fn entry_without_optional_fields_gets_defaults() {
    let entry = json!({"instanceId": "s-1", "lifecycle": "gone", "weight": "heavy"});
    let endpoint = decode_endpoint(&entry).expect("decode a valid entry");
    assert_eq!(
        endpoint,
        Endpoint {
            lifecycle: Lifecycle::Gone,
            cell: Some(0),
            ..Endpoint::new("s-1")
        }
    );
}

#[test]
fn invalid_entries_are_skipped_and_valid_ones_kept() {
    let instances = json!([
        7,
        {"instanceId": "s-1", "lifecycle": "asleep"},
        {"instanceId": "s-2", "lifecycle": "ready", "hostPort": "here"},
        {"instanceId": "s-3", "lifecycle": "ready", "hostPort": "10.0.0.7:80"},
    ]);
    let list = json!({"generation": 1, "reset": true, "instances": instances});
    let list: EndpointList = serde_json::from_value(list).expect("parse the list");
    let errors: Vec<_> = instances.as_array().expect("the entries are an array")[..3]
        .iter()
        .map(|entry| {
            decode_endpoint(entry)
                .expect_err("reject an invalid entry")
                .to_string()
        })
        .collect();
    assert!(errors[0].starts_with("malformed entry: "), "{errors:?}");
    assert_eq!(
        errors[1..],
        [r#"unknown lifecycle "asleep""#, r#"invalid address "here""#]
    );
    let ids: Vec<_> = decode_endpoints(&list)
        .into_iter()
        .map(|endpoint| endpoint.id)
        .collect();
    assert_eq!(ids, ["s-3"]);
}
