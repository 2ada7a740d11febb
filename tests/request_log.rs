//! Log lines and metrics with which one request can be followed from its client to the servers.

use testkit::{
    config, endpoint_list, post_request, response, settings, wait_until, Discovery, Node, Reply,
    Server,
};

/// Starts a node with an admin interface and one server, named `s-0`.
fn start_node(server: &Server) -> (Node, Discovery) {
    let discovery = Discovery::start();
    let entry = server.endpoint_entry("s-0", "ready");
    let endpoints = endpoint_list(1, true, &[entry]);
    let config = config(discovery.address, &endpoints, &settings(15_000))
        .replace("\"listen\"", "\"control\":\"127.0.0.1:0\",\"listen\"");
    (Node::start(&config), discovery)
}

fn wait_for_line(node: &Node, parts: &[&str]) {
    wait_until(&format!("the log has a line with {parts:?}"), || {
        let lines = node.log();
        lines
            .iter()
            .any(|line| parts.iter().all(|part| line.contains(part)))
    });
}

#[test]
fn retried_request_can_be_followed_by_its_id() {
    let declined = std::sync::atomic::AtomicBool::new(false);
    let server = Server::start(move |_| {
        if declined.swap(true, std::sync::atomic::Ordering::SeqCst) {
            return Reply::Close;
        }
        let headers = "Srv-Declined: 1\r\n";
        Reply::Send(response("503 Service Unavailable", headers, ""))
    });
    let (node, _discovery) = start_node(&server);
    let status = node.request(&post_request("9b1f", "pay", "", "x")).status();
    assert_eq!(status, 502);
    for parts in [
        [
            "request 9b1f",
            "attempt 1 to s-0",
            "declined, it has not run",
        ],
        ["request 9b1f", "attempt 2 is sent to s-0", ""],
        [
            "request 9b1f",
            "exchange failed",
            "request bytes sent: Complete",
        ],
        ["request 9b1f", "attempt 2 to s-0", "reset, it may have run"],
        ["request 9b1f", "failed after 2 attempts", "it may have run"],
    ] {
        wait_for_line(&node, &parts);
    }
    for (metric, value) in [
        ("attempts_ended.declined", 1),
        ("attempts_ended.reset", 1),
        ("attempts_ended.served", 0),
        ("retries", 1),
        ("server_connections", 2),
        ("unsolicited_bytes", 0),
    ] {
        assert_eq!(node.metric(metric), value, "{metric}");
    }
}

/// Guards against a log that a burst of failing requests fills, and in which it hides the events of the node.
#[test]
fn lines_about_requests_are_bounded_and_do_not_suppress_others() {
    let server = Server::start(|_| Reply::Close);
    let (node, discovery) = start_node(&server);
    let watch = discovery.watch();
    let start = std::time::Instant::now();
    for number in 0..100 {
        let _ = node.request(&post_request(&number.to_string(), "pay", "", "x"));
    }
    drop(watch);
    wait_for_line(&node, &["endpoint list: the watch ended"]);
    let seconds = start.elapsed().as_secs() + 2;
    let lines = node.log();
    let about_requests = lines
        .iter()
        .filter(|line| line.contains("request "))
        .count();
    assert!(
        about_requests as u64 <= 20 * seconds,
        "{about_requests} lines in {seconds} s"
    );
}
