use super::*;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::task::{Context, Waker};

use crate::node::upstream::{AttemptOutcome, RequestBody, UpstreamRequest};
use balancer::AttemptResult;
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

fn request() -> Rc<UpstreamRequest> {
    Rc::new(UpstreamRequest {
        method: Method::GET,
        uri: Uri::from_static("/api"),
        headers: HeaderMap::new(),
        body: RequestBody::Buffered(Bytes::new()),
        sent_attempts: admin::Counter::default(),
        deadline: std::cell::Cell::default(),
        send_deadline: std::cell::Cell::default(),
        head_memory: None,
        open_id: None,
    })
}

fn servers(address: SocketAddr) -> Rc<Servers> {
    let text = testkit::config(
        address,
        &testkit::endpoint_list(1, true, &[]),
        &testkit::settings(15_000),
    );
    let servers = Servers::new(
        &Config::parse(&text).expect("parse the node's configuration"),
        ConfiguredAddresses::new(),
        PoolLimits::default(),
        Clock::new(),
        Rc::default(),
    );
    tokio::task::spawn_local(Rc::clone(&servers).run_timer());
    servers
}

/// A server that listens without accepting connections, the table that contains it, its endpoint, and a deadline 60 s
/// from now.
fn one_server() -> (std::net::TcpListener, Rc<Servers>, Endpoint, Instant) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let address = listener.local_addr().expect("get the listener's address");
    let servers = servers(address);
    let endpoint = Endpoint {
        address: Some(address),
        ..Endpoint::new("s-0")
    };
    servers.update(&[(ServerId(0), &endpoint)]);
    (
        listener,
        servers,
        endpoint,
        Instant::now() + Duration::from_secs(60),
    )
}

/// A server that starts to drain between its selection and the first byte of the request must not get the request.
#[tokio::test]
async fn attempt_to_server_that_drains_during_dial_is_not_sent() {
    tokio::task::LocalSet::new()
        .run_until(check_drain_during_dial())
        .await;
}

async fn check_drain_during_dial() {
    let (listener, servers, endpoint, deadline) = one_server();
    let mut attempt = pin!(Rc::clone(&servers).attempt(ServerId(0), request(), deadline, |_| ()));
    let polled = attempt
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()));
    assert!(polled.is_pending(), "the attempt waits for the dial");
    servers.update(&[(
        ServerId(0),
        &Endpoint {
            lifecycle: Lifecycle::Draining,
            ..endpoint
        },
    )]);
    assert_not_sent(attempt, &servers, &listener).await;
}

/// Asserts that the attempt ends as not sent and that its connection carried no byte.
async fn assert_not_sent(
    attempt: impl Future<Output = AttemptOutcome>,
    servers: &Servers,
    listener: &std::net::TcpListener,
) {
    let outcome = tokio::time::timeout(Duration::from_secs(5), attempt)
        .await
        .expect("the attempt ends without waiting for a response");
    assert_eq!(outcome.result, AttemptResult::NotSent);
    drop(
        servers
            .idle_connections
            .borrow_mut()
            .drain()
            .collect::<Vec<_>>(),
    );
    let (mut connection, _) = listener.accept().expect("accept the attempt's connection");
    let mut bytes = Vec::new();
    io::Read::read_to_end(&mut connection, &mut bytes)
        .expect("read until the connection is closed");
    assert!(bytes.is_empty(), "no byte of the request is sent");
}

/// The send deadline passes during the dial if the client disconnects, or if the dial of a retry outlasts the
/// deduplication window.
#[tokio::test]
async fn attempt_past_send_deadline_after_dial_is_not_sent() {
    tokio::task::LocalSet::new()
        .run_until(check_send_deadline_during_dial())
        .await;
}

async fn check_send_deadline_during_dial() {
    let (listener, servers, _, deadline) = one_server();
    let request = request();
    let mut attempt =
        pin!(Rc::clone(&servers).attempt(ServerId(0), Rc::clone(&request), deadline, |_| ()));
    let polled = attempt
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()));
    assert!(polled.is_pending(), "the attempt waits for the dial");
    request.send_deadline.set(Some(Instant::now()));
    assert_not_sent(attempt, &servers, &listener).await;
}

/// The pool must count exactly the existing sockets and dials after an attempt was aborted at any point.
#[tokio::test]
async fn attempt_aborted_at_any_stage_leaks_no_connection() {
    tokio::task::LocalSet::new()
        .run_until(check_abort_at_each_stage())
        .await;
}

async fn check_abort_at_each_stage() {
    let (_listener, servers, _, deadline) = one_server();
    for polls in 0..40 {
        let attempt = RunningAttempt::new(Rc::clone(&servers).attempt(
            ServerId(0),
            request(),
            deadline,
            |_| (),
        ));
        for _ in 0..polls {
            let mut outcome = pin!(attempt.outcome());
            let _ = outcome
                .as_mut()
                .poll(&mut Context::from_waker(Waker::noop()));
            tokio::task::yield_now().await;
        }
        attempt.abort();
        assert!(servers.pending_checkouts.borrow().is_empty());
        let existing = servers.idle_connections.borrow().len() + servers.dials.borrow().len();
        assert_eq!(
            servers.pool.borrow().open_connections(),
            existing,
            "attempt aborted after {polls} polls"
        );
    }
}

/// A connection that breaks before the last byte of the request is replaced within the attempt. Covers each address
/// family.
#[tokio::test]
async fn connection_broken_during_request_is_retried_at_other_address() {
    tokio::task::LocalSet::new()
        .run_until(check_break_within_request())
        .await;
}

async fn check_break_within_request() {
    for (kind, closes) in testkit::AddressFamily::available()
        .into_iter()
        .flat_map(|kind| [(kind, true), (kind, false)])
    {
        // Reads up to 100 bytes of the request, then resets the connection or stops reading.
        let (listener, broken_address) = testkit::Listener::bind(kind);
        std::thread::spawn(move || {
            let mut open_streams = Vec::new();
            while let Ok(mut stream) = listener.accept() {
                let _ = io::Read::read(&mut stream, &mut [0; 100]);
                open_streams.extend((!closes).then_some(stream));
            }
        });
        let (healthy_server, healthy_address) =
            testkit::Server::start_on(kind, |_| testkit::Reply::ok("yes"));
        let route = |endpoint: &testkit::Endpoint, preference| pool::Route {
            preference,
            ..pool::Route::new(endpoint.to_string().parse().expect("parse the address"))
        };
        let configured_routes = vec![route(&broken_address, 1), route(&healthy_address, 2)];
        let servers = servers(SocketAddr::from(([127, 0, 0, 1], 1)));
        let _ = servers.set_configured_addresses(ConfiguredAddresses::from([(
            "s-0".to_owned(),
            crate::node::upstream::addresses::ServerAddresses {
                routes: configured_routes,
                exclusive: true,
            },
        )]));
        servers.update(&[(ServerId(0), &Endpoint::new("s-0"))]);
        // Exceeds the kernel's socket buffers, so that it cannot be sent completely while the server reads nothing.
        let body = RequestBody::Buffered(Bytes::from(vec![b'x'; 32 << 20]));
        let request = Rc::new(UpstreamRequest {
            method: Method::POST,
            body,
            ..Rc::into_inner(request()).expect("the request has a single owner")
        });
        let deadline = Instant::now() + Duration::from_secs(60);
        let attempt = Rc::clone(&servers).attempt(ServerId(0), request, deadline, |_| ());
        let outcome = tokio::time::timeout(Duration::from_secs(20), attempt)
            .await
            .expect("the attempt completes at the other address");
        assert_eq!(
            (outcome.result, healthy_server.request_count()),
            (AttemptResult::Served, 1),
            "{kind:?}, closes: {closes}"
        );
    }
}
