//! Tests of address parsing and of the order in which addresses are dialed.

use super::*;

fn route(text: &str, preference: u16) -> Route {
    Route {
        preference,
        ..Route::new(text.parse().expect("parse a valid address"))
    }
}

fn ordered(routes: &[Route]) -> Vec<String> {
    connection_order(routes)
        .into_iter()
        .map(|index| routes[index].address.to_string())
        .collect()
}

#[test]
fn valid_address_is_parsed_and_invalid_one_is_rejected() {
    for valid in ["127.0.0.1:80", "[::1]:80", "unix:/run/server.sock"] {
        assert_eq!(
            valid
                .parse::<Address>()
                .expect("parse a valid address")
                .to_string(),
            valid
        );
    }
    for invalid in [
        "",
        "localhost:80",
        "127.0.0.1",
        "127.0.0.1:0",
        "::1:80",
        "unix:",
        "unix:run/x",
        "unix:/a\0b",
    ] {
        assert!(
            invalid.parse::<Address>().is_err(),
            "{invalid:?} must be rejected"
        );
    }
    let path = |bytes: usize| format!("unix:/{}", "x".repeat(bytes - 1));
    assert!(path(MAX_UNIX_PATH_BYTES).parse::<Address>().is_ok());
    assert_eq!(
        path(MAX_UNIX_PATH_BYTES + 1).parse::<Address>(),
        Err(AddressError::TooLong(MAX_UNIX_PATH_BYTES + 1))
    );
}

#[test]
fn equal_preferences_are_ordered_by_rfc_precedence() {
    let routes = [
        route("10.0.0.1:80", 100),
        route("[fc00::1]:80", 100),
        route("[2001:db8::1]:80", 100),
        route("unix:/run/s", 100),
        route("10.0.0.2:80", 5),
    ];
    assert_eq!(
        ordered(&routes),
        [
            "10.0.0.2:80",
            "unix:/run/s",
            "[2001:db8::1]:80",
            "10.0.0.1:80",
            "[fc00::1]:80"
        ]
    );
}

#[test]
fn families_alternate_within_one_preference() {
    let routes: Vec<_> = [
        "[2001:db8::1]:1",
        "[2001:db8::2]:1",
        "[2001:db8::3]:1",
        "10.0.0.1:1",
        "10.0.0.2:1",
    ]
    .map(|text| route(text, 100))
    .into();
    assert_eq!(
        ordered(&routes),
        [
            "[2001:db8::1]:1",
            "10.0.0.1:1",
            "[2001:db8::2]:1",
            "10.0.0.2:1",
            "[2001:db8::3]:1"
        ]
    );
}

/// Covers each row of the policy table of RFC 6724, section 2.1.
#[test]
fn precedence_matches_the_rfc_6724_policy_table() {
    let table = [
        ("[::1]:1", 50),
        ("[2001:db8::1]:1", 40),
        ("[::ffff:10.0.0.1]:1", 35),
        ("10.0.0.1:1", 35),
        ("[2002::1]:1", 30),
        ("[2001::1]:1", 5),
        ("[fd00::1]:1", 3),
        ("[::2]:1", 1),
        ("[fec0::1]:1", 1),
        ("[3ffe::1]:1", 1),
    ];
    for (text, precedence) in table {
        assert_eq!(route(text, 0).address.precedence(), precedence, "{text}");
    }
}

#[test]
fn order_contains_every_route_once() {
    let texts = [
        "10.0.0.1:1",
        "[::1]:1",
        "unix:/a",
        "unix:/b",
        "[fe80::1]:1",
        "10.0.0.1:2",
    ];
    for bits in 0..64_u32 {
        let routes: Vec<_> = texts
            .iter()
            .enumerate()
            .filter(|(index, _)| bits >> index & 1 == 1)
            .map(|(index, text)| route(text, (index % 2) as u16))
            .collect();
        let mut order = connection_order(&routes);
        order.sort_unstable();
        assert_eq!(order, (0..routes.len()).collect::<Vec<_>>());
    }
}
