use super::*;
use std::io::Write;
use std::os::unix::fs::PermissionsExt;

async fn connected_pairs() -> Vec<(Stream, Box<dyn Write>)> {
    let mut pairs: Vec<(Stream, Box<dyn Write>)> = Vec::new();
    for bind_address in ["127.0.0.1:0", "[::1]:0"] {
        let listener = std::net::TcpListener::bind(bind_address).expect("bind a loopback socket");
        let address = Address::Ip(listener.local_addr().expect("get the listener's address"));
        let stream = Stream::connect(&address)
            .await
            .expect("connect to the listener");
        pairs.push((
            stream,
            Box::new(listener.accept().expect("accept the connection").0),
        ));
    }
    let directory = tempfile::tempdir().expect("create a temporary directory");
    let path = directory.path().join("s");
    let listener = std::os::unix::net::UnixListener::bind(&path).expect("bind a Unix socket");
    let stream = Stream::connect(&Address::Unix(path))
        .await
        .expect("connect to the listener");
    pairs.push((
        stream,
        Box::new(listener.accept().expect("accept the connection").0),
    ));
    pairs
}

/// Bytes and closes must be detected before the event loop, which runs on this thread, is polled again.
#[tokio::test]
async fn pending_input_is_detected_on_each_address_family() {
    for (stream, mut server) in connected_pairs().await {
        assert_eq!(stream.pending_input(), PendingInput::None, "{stream:?}");
        server.write_all(b"x").expect("write to the connection");
        testkit::wait_until("the bytes have arrived", || {
            stream.pending_input() == PendingInput::Bytes
        });
    }
    for (stream, server) in connected_pairs().await {
        drop(server);
        testkit::wait_until("the close has arrived", || {
            stream.pending_input() == PendingInput::Closed
        });
    }
}

#[tokio::test]
async fn connect_to_path_without_usable_socket_fails() {
    let directory = tempfile::tempdir().expect("create a temporary directory");
    let file = directory.path().join("file");
    std::fs::write(&file, "not a socket").expect("write a file");
    let abandoned = directory.path().join("abandoned");
    drop(std::os::unix::net::UnixListener::bind(&abandoned).expect("bind a Unix socket"));
    let forbidden = directory.path().join("forbidden");
    let _listener = std::os::unix::net::UnixListener::bind(&forbidden).expect("bind a Unix socket");
    std::fs::set_permissions(&forbidden, std::fs::Permissions::from_mode(0o000))
        .expect("set the permissions of the socket");
    for path in [
        directory.path().join("missing"),
        file,
        abandoned,
        directory.path().to_owned(),
    ] {
        assert!(
            Stream::connect(&Address::Unix(path.clone())).await.is_err(),
            "{path:?}"
        );
    }
    // A privileged user may open the socket in spite of its permissions.
    if let Err(error) = Stream::connect(&Address::Unix(forbidden)).await {
        assert_eq!(error.kind(), io::ErrorKind::PermissionDenied);
    }
}
