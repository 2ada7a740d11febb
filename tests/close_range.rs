//! Where two events cross: a word of the end, a client that leaves, a connection that closes, each at the worst moment.
//! What crosses is forced by peers that wait for one event before they bring about the other.

use std::time::{Duration, Instant};

use testkit::*;

/// The longest that a node may take from SIGTERM to its last answer, where a class's deadline is 3 s or more: SIGKILL
/// may come then.
const KILLED: Duration = Duration::from_millis(3_700);

/// Guards against a node that ends with requests unanswered which came before it was told to stop, and whose clients
/// would wait for longer than it may live.
#[test]
fn what_was_taken_before_sigterm_is_answered_before_the_end() {
    let server = Server::start(|_| Reply::Silence);
    let (mut node, _discovery, _watch) = Node::with(&[&server], 15_000);
    let requests = [
        read("safe", "15000m"),
        post("keyed", "hold", "Idempotency-Key: 5c0f\r\n", "x"),
        post("unsafe", "pay", "", "x"),
    ];
    let mut clients: Vec<_> = requests.iter().map(|_| node.connect()).collect();
    for (client, request) in clients.iter_mut().zip(&requests) {
        client.send(request);
    }
    until("all are out", || server.requests().len() == 3);
    let told = Instant::now();
    node.terminate();
    let answers: Vec<_> = clients.iter_mut().map(|client| client.answer().expect("a whole answer")).collect();
    assert!(told.elapsed() < KILLED, "{:?}", told.elapsed());
    assert_eq!(answers[2].status(), 502, "an unsafe request that may have run has failed");
    assert!(clients.iter_mut().all(Client::ends_in_order));
    assert_eq!(node.wait().code(), Some(0));
    assert_eq!(server.requests().len(), 3, "nothing was sent again so late");
}
