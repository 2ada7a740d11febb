use super::*;

#[test]
fn response_without_leader_or_beyond_maximum_age_is_stale() {
    let is_stale = |headers: &[(&str, &str)]| ResponseHead::parse(headers).is_stale(5_000.0);
    assert!(!is_stale(&[]));
    assert!(!is_stale(&[
        ("X-Consul-KnownLeader", "true"),
        ("X-Consul-LastContact", "5000")
    ]));
    assert!(is_stale(&[("X-Consul-KnownLeader", "false")]));
    assert!(is_stale(&[("x-consul-lastcontact", "5001")]));
    assert!(is_stale(&[("X-Cache", "HIT"), ("Age", "6")]));
    assert!(!is_stale(&[("X-Cache", "MISS"), ("Age", "6")]));
    assert!(is_stale(&[
        ("X-Cache", "HIT"),
        ("Age", "3"),
        ("X-Consul-LastContact", "3000")
    ]));
}

#[test]
fn invalid_headers_are_ignored() {
    let head = ResponseHead::parse(&[
        ("X-Consul-Index", "-1"),
        ("X-Consul-KnownLeader", "perhaps"),
        ("X-Consul-LastContact", "NaN"),
        ("Age", "1e999"),
    ]);
    assert_eq!(head, ResponseHead::default());
    assert_eq!(
        ResponseHead::parse(&[("x-consul-index", " 18446744073709551615 ")]).index,
        Some(u64::MAX)
    );
}
