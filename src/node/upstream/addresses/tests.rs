use super::*;

#[test]
fn configured_addresses_add_to_or_replace_the_listed_ones() {
    let [own, other] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let endpoint = Endpoint {
        alternate_addresses: vec![other, own],
        ..Endpoint::new("s-0")
    };
    let route = |text: &str, preference| Route {
        preference,
        ..Route::new(text.parse().expect("an address"))
    };
    let configured = |exclusive| {
        let routes = vec![route("unix:/run/s", 10), route("127.0.0.1:2", 20)];
        ConfiguredAddresses::from([("s-0".to_owned(), ServerAddresses { routes, exclusive })])
    };
    let plain = routes(&ConfiguredAddresses::new(), &endpoint, Some(own));
    assert_eq!(
        plain,
        [route("127.0.0.1:1", 100), route("127.0.0.1:2", 100)]
    );
    let beside = routes(&configured(false), &endpoint, Some(own));
    assert_eq!(
        beside,
        [
            route("unix:/run/s", 10),
            route("127.0.0.1:2", 20),
            route("127.0.0.1:1", 100)
        ]
    );
    assert_eq!(routes(&configured(true), &endpoint, Some(own)), beside[..2]);
    assert!(routes(&ConfiguredAddresses::new(), &Endpoint::new("s-1"), None).is_empty());
}
