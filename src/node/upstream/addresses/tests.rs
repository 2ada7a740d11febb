use super::*;

#[test]
fn configured_addresses_add_to_or_replace_the_listed_ones() {
    let [main, alternate] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let endpoint = Endpoint {
        alternate_addresses: vec![alternate, main],
        ..Endpoint::new("s-0")
    };
    let route = |text: &str, preference| Route {
        preference,
        ..Route::new(text.parse().expect("parse an address"))
    };
    let configured = |exclusive| {
        let routes = vec![route("unix:/run/s", 10), route("127.0.0.1:2", 20)];
        ConfiguredAddresses::from([("s-0".to_owned(), ServerAddresses { routes, exclusive })])
    };
    let without_configuration = routes(&ConfiguredAddresses::new(), &endpoint, Some(main));
    assert_eq!(
        without_configuration,
        [route("127.0.0.1:1", 100), route("127.0.0.1:2", 100)]
    );
    let extended = routes(&configured(false), &endpoint, Some(main));
    assert_eq!(
        extended,
        [
            route("unix:/run/s", 10),
            route("127.0.0.1:2", 20),
            route("127.0.0.1:1", 100)
        ]
    );
    assert_eq!(
        routes(&configured(true), &endpoint, Some(main)),
        extended[..2]
    );
    assert!(routes(&ConfiguredAddresses::new(), &Endpoint::new("s-1"), None).is_empty());
}
