//! Tests of TCP links with faults.

use super::*;
use std::net::{TcpListener, TcpStream};

/// A link with one plan: ten bytes are on their way into it, and the end that they come out of.
fn ten_bytes(plan: Plan) -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let link = Link::start(listener.local_addr().expect("an address"), move |_| {
        (plan.clone(), Plan::fault_free())
    });
    let mut near = TcpStream::connect(link.address).expect("it listens");
    let (far, _) = listener.accept().expect("a connection");
    near.write_all(b"0123456789").expect("an open connection");
    (near, far)
}

/// Returns all bytes that arrive until the end.
fn received(plan: Plan) -> Vec<u8> {
    let (near, mut far) = ten_bytes(plan);
    let _ = near.shutdown(Shutdown::Write); // A link that is cut has ended it already.
    let mut got = Vec::new();
    far.read_to_end(&mut got).expect("an end in order");
    got
}

#[test]
fn fault_takes_effect_at_its_byte() {
    assert_eq!(received(Plan::fault_free()), b"0123456789");
    for byte in 0..10 {
        assert_eq!(received(Plan::at(byte, Fault::Cut)), b"0123456789"[..byte]);
    }
    assert_eq!(received(Plan::at(4, Fault::Repeat(2))), b"012323456789");
    let late = Plan::at(9, Fault::Delay(Duration::from_millis(1))).and(3, Fault::Repeat(99));
    assert_eq!(received(late), b"0120123456789");
}

#[test]
fn stalled_link_forwards_nothing_and_stays_open() {
    let (_near, mut far) = ten_bytes(Plan::at(4, Fault::Stall));
    let mut got = [0; 4];
    far.read_exact(&mut got)
        .expect("the bytes before the fault");
    assert_eq!(&got, b"0123");
    far.set_read_timeout(Some(Duration::from_millis(50)))
        .expect("a socket");
    assert!(far.read(&mut got).is_err(), "neither a byte nor the end");
}

#[test]
fn seed_determines_the_plan() {
    assert_eq!(Plan::seeded(7, 100), Plan::seeded(7, 100));
    let all: std::collections::HashSet<_> = (0..50)
        .map(|seed| format!("{:?}", Plan::seeded(seed, 100)))
        .collect();
    assert!(all.len() > 30);
}
