use super::*;
use std::io::Write;
use std::os::unix::fs::PermissionsExt;

async fn pairs() -> Vec<(Stream, Box<dyn Write>)> {
    let mut pairs: Vec<(Stream, Box<dyn Write>)> = Vec::new();
    for bound in ["127.0.0.1:0", "[::1]:0"] {
        let listener = std::net::TcpListener::bind(bound).expect("a port");
        let address = Address::Ip(listener.local_addr().expect("an address"));
        let stream = Stream::connect(&address).await.expect("it listens");
        pairs.push((stream, Box::new(listener.accept().expect("a connection").0)));
    }
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("s");
    let listener = std::os::unix::net::UnixListener::bind(&path).expect("a socket");
    let stream = Stream::connect(&Address::Unix(path))
        .await
        .expect("it listens");
    pairs.push((stream, Box::new(listener.accept().expect("a connection").0)));
    pairs
}

/// Bytes and closes are seen although the event loop, which runs on this thread, has not been polled.
#[tokio::test]
async fn pending_input_is_seen_on_each_address_family() {
    for (stream, mut server) in pairs().await {
        assert_eq!(stream.pending_input(), PendingInput::None, "{stream:?}");
        server.write_all(b"x").expect("an open connection");
        testkit::wait_until("the bytes have arrived", || {
            stream.pending_input() == PendingInput::Bytes
        });
    }
    for (stream, server) in pairs().await {
        drop(server);
        testkit::wait_until("the close has arrived", || {
            stream.pending_input() == PendingInput::Closed
        });
    }
}

#[tokio::test]
async fn connecting_to_a_path_that_is_no_open_socket_fails() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("file");
    std::fs::write(&file, "no socket").expect("a file");
    let left = folder.path().join("left");
    drop(std::os::unix::net::UnixListener::bind(&left).expect("a socket"));
    let closed = folder.path().join("closed");
    let _listener = std::os::unix::net::UnixListener::bind(&closed).expect("a socket");
    std::fs::set_permissions(&closed, std::fs::Permissions::from_mode(0o000)).expect("own file");
    for path in [
        folder.path().join("missing"),
        file,
        left,
        folder.path().to_owned(),
    ] {
        assert!(
            Stream::connect(&Address::Unix(path.clone())).await.is_err(),
            "{path:?}"
        );
    }
    // Whoever may open all files opens this one, too.
    if let Err(error) = Stream::connect(&Address::Unix(closed)).await {
        assert_eq!(error.kind(), io::ErrorKind::PermissionDenied);
    }
}
