//! Tests of TCP links with faults.

use super::*;
use std::net::{TcpListener, TcpStream};

/// Sends ten bytes through a link with this plan from the client. Returns the client's and the server's end.
fn send_ten_bytes(plan: Plan) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback socket");
    let link = Link::start(
        listener.local_addr().expect("address of the socket"),
        move |_| (plan.clone(), Plan::fault_free()),
    );
    let mut client = TcpStream::connect(link.address).expect("connect to the link");
    let (server, _) = listener.accept().expect("accept the link's connection");
    client.write_all(b"0123456789").expect("write ten bytes");
    (client, server)
}

/// Returns all bytes that the server receives until the connection is closed.
fn received(plan: Plan) -> Vec<u8> {
    let (client, mut server) = send_ten_bytes(plan);
    let _ = client.shutdown(Shutdown::Write); // Fails if a cut link has closed the connection already.
    let mut bytes = Vec::new();
    server
        .read_to_end(&mut bytes)
        .expect("read until the connection is closed gracefully");
    bytes
}

#[test]
fn fault_takes_effect_at_its_byte() {
    assert_eq!(received(Plan::fault_free()), b"0123456789");
    for offset in 0..10 {
        assert_eq!(
            received(Plan::at(offset, Fault::Cut)),
            b"0123456789"[..offset]
        );
    }
    assert_eq!(received(Plan::at(4, Fault::Repeat(2))), b"012323456789");
    let two_faults =
        Plan::at(9, Fault::Delay(Duration::from_millis(1))).with_fault(3, Fault::Repeat(99));
    assert_eq!(received(two_faults), b"0120123456789");
}

#[test]
fn stalled_link_forwards_nothing_and_stays_open() {
    let (_client, mut server) = send_ten_bytes(Plan::at(4, Fault::Stall));
    let mut bytes = [0; 4];
    server
        .read_exact(&mut bytes)
        .expect("read the bytes before the fault");
    assert_eq!(&bytes, b"0123");
    server
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("set a read timeout");
    assert!(
        server.read(&mut bytes).is_err(),
        "receives neither a byte nor the end of the stream"
    );
}

#[test]
fn seed_determines_the_plan() {
    assert_eq!(Plan::seeded(7, 100), Plan::seeded(7, 100));
    let plans: std::collections::HashSet<_> = (0..50)
        .map(|seed| format!("{:?}", Plan::seeded(seed, 100)))
        .collect();
    assert!(
        plans.len() > 30,
        "only {} distinct plans from 50 seeds",
        plans.len()
    );
}
