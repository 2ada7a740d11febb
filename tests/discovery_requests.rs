//! Golden tests of the requests that the node sends to the platform's discovery and to Consul, byte for byte.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use testkit::*;

/// Accepts the next connection to a listener and returns it with the head of its first request.
fn next_request(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = listener
        .accept()
        .expect("accept a connection from the node");
    let head = read_request_head(&mut stream);
    (stream, head)
}

/// Reads the head of the next request, including the empty line that ends it.
fn read_request_head(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("configure the socket");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream
            .read_exact(&mut byte)
            .expect("read a byte of the head");
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("decode the head as UTF-8")
}

fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("read the local address");
    (listener, address)
}

/// Waits for the next byte or the end of a connection; returns whether it ended.
fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0; 1]), Ok(0))
}

/// Responds to a Consul query with an empty list at this index.
fn respond(stream: &mut TcpStream, index: u64) {
    let headers = format!("X-Consul-Index: {index}\r\nX-Consul-KnownLeader: true\r\n");
    stream
        .write_all(&response("200 OK", &headers, "[]"))
        .expect("write to the connection");
}

fn node_config(discovery: SocketAddr, settings: &str) -> String {
    let known = endpoint_list(
        7,
        true,
        &[endpoint_entry(
            "s-0",
            Unreachable::reserve().address,
            "ready",
        )],
    );
    config(discovery, &known, settings)
}

#[test]
fn watch_request_has_a_generation_except_after_a_malformed_list() {
    for settings in [
        settings(15_000),
        settings(15_000).replace("automatic", "subscribe").replace(
            "\"drain_grace_ms\":0.0",
            "\"drain_grace_ms\":0.0,\"ask_within_ms\":1000.0",
        ),
    ] {
        let (discovery, address) = bind_listener();
        let _node = Node::start(&node_config(address, &settings));
        let (mut stream, head) = next_request(&discovery);
        assert_eq!(
            head,
            format!("GET /discovery/hosts?watch=1&from=7 HTTP/1.1\r\nhost: {address}\r\n\r\n")
        );
        stream
            .write_all(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n{\"generation\":x}\r\n\n\r\n",
            )
            .expect("write to the connection");
        let (_stream, head) = next_request(&discovery);
        assert_eq!(
            head,
            format!("GET /discovery/hosts?watch=1 HTTP/1.1\r\nhost: {address}\r\n\r\n")
        );
    }
}

#[test]
fn consul_requests_with_default_options_match_recorded_bytes() {
    let (agent, address) = bind_listener();
    let (_discovery, discovery_address) = bind_listener();
    let operators =
        format!("[[consul]]\nname = \"consul\"\nservice = \"holds\"\nagents = [\"{address}\"]\n");
    let config = node_config(discovery_address, &settings(15_000));
    let _node = Node::start_with_operators_file(&config, Some(&operators));
    let (mut stream, head) = next_request(&agent);
    assert_eq!(
        head,
        format!(
            "GET /v1/health/service/holds HTTP/1.1\r\n\
             host: {address}\r\naccept: application/json\r\n\r\n"
        )
    );
    respond(&mut stream, 41);
    // A connection carries one query.
    assert!(is_closed(&mut stream));
    let (_stream, head) = next_request(&agent);
    assert_eq!(
        head,
        format!(
            "GET /v1/health/service/holds?index=41&wait=60s HTTP/1.1\r\n\
             host: {address}\r\naccept: application/json\r\n\r\n"
        )
    );
}

#[test]
fn consul_requests_with_every_option_match_recorded_bytes() {
    let (agent, address) = bind_listener();
    let (_discovery, discovery_address) = bind_listener();
    let token_file = write_temp_file("c0ffee-token\n");
    for (api, consistency) in [
        ("catalog", "stale"),
        ("health", "consistent"),
        ("health", "cached"),
    ] {
        let operators = format!(
            "[[consul]]\nname = \"consul\"\nservice = \"a/b c\"\nagents = [\"{address}\"]\n\
             api = \"{api}\"\nconsistency = \"{consistency}\"\nwait_s = 7\ndatacenter = \"dc 1\"\n\
             namespace = \"ns\"\npartition = \"p\"\ntags = [\"x\", \"y&z\"]\n\
             filter = 'Service.Meta.state != \"off\"'\ntoken_file = {token_file:?}\n"
        );
        let config = node_config(discovery_address, &settings(15_000));
        let _node = Node::start_with_operators_file(&config, Some(&operators));
        let parameters = format!(
            "dc=dc%201&ns=ns&partition=p&filter=Service.Meta.state%20%21%3D%20%22off%22\
             &tag=x&tag=y%26z&{consistency}"
        );
        let headers = format!(
            "host: {address}\r\naccept: application/json\r\nx-consul-token: c0ffee-token\r\n\r\n"
        );
        let (mut stream, head) = next_request(&agent);
        assert_eq!(
            head,
            format!("GET /v1/{api}/service/a%2Fb%20c?{parameters} HTTP/1.1\r\n{headers}")
        );
        respond(&mut stream, 41);
        assert!(is_closed(&mut stream));
        let (_stream, head) = next_request(&agent);
        assert_eq!(
            head,
            format!(
                "GET /v1/{api}/service/a%2Fb%20c?index=41&wait=7s&{parameters} HTTP/1.1\r\n{headers}"
            )
        );
    }
    std::fs::remove_file(token_file).expect("remove the token file");
}
