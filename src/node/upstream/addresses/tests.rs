use super::*;

#[test]
fn the_operators_word_stands_beside_the_lists_or_instead_of_it() {
    let [own, other] = [1, 2].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let host = Endpoint {
        alternate_addresses: vec![other, own],
        ..Endpoint::new("s-0")
    };
    let route = |text: &str, preference| Route {
        preference,
        ..Route::new(text.parse().expect("an address"))
    };
    let said = |only| {
        let routes = vec![route("unix:/run/s", 10), route("127.0.0.1:2", 20)];
        AllSaid::from([("s-0".to_owned(), Said { routes, only })])
    };
    let plain = routes(&AllSaid::new(), &host, Some(own));
    assert_eq!(
        plain,
        [route("127.0.0.1:1", 100), route("127.0.0.1:2", 100)]
    );
    let beside = routes(&said(false), &host, Some(own));
    assert_eq!(
        beside,
        [
            route("unix:/run/s", 10),
            route("127.0.0.1:2", 20),
            route("127.0.0.1:1", 100)
        ]
    );
    assert_eq!(routes(&said(true), &host, Some(own)), beside[..2]);
    assert!(routes(&AllSaid::new(), &Endpoint::new("s-1"), None).is_empty());
}
