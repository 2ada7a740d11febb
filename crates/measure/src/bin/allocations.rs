//! Allocations of the node per request. The node runs on a thread of its own, and only the allocations of that thread are
//! counted; its client and server run on others. The difference of a long and a short run excludes the cost of the start.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;

use silverthread::node::config::Config;
use silverthread::node::dispatcher::Dispatcher;
use silverthread::node::downstream::server::{self, Phase, ServerOptions};
use testkit::{config, endpoint_list, read_request, settings, Client, Reply, Server};
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;

/// Numbers of requests of the short and of the long run.
const RUN_REQUESTS: [u64; 2] = [2_000, 12_000];

fn main() {
    let [short, long] = RUN_REQUESTS.map(run);
    let per_request =
        |long: u64, short: u64| (long - short) as f64 / (RUN_REQUESTS[1] - RUN_REQUESTS[0]) as f64;
    println!(
        "per request, on the node's thread, from the difference of {RUN_REQUESTS:?} requests:"
    );
    println!(
        "allocations {:>8.1}",
        per_request(long.count_total, short.count_total)
    );
    println!(
        "bytes       {:>8.0}",
        per_request(long.bytes_total, short.bytes_total)
    );
}

fn run(requests: u64) -> allocation_counter::AllocationInfo {
    let server = Server::start(|_| Reply::ok("rooms: 3\n")).without_recording();
    let unused_discovery = SocketAddr::from(([127, 0, 0, 1], 1));
    let text = config(
        unused_discovery,
        &endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]),
        &settings(15_000),
    );
    let (address_sender, address_receiver) = mpsc::channel();
    let (stop, stopped) = oneshot::channel::<()>();
    let node = thread::spawn(move || {
        allocation_counter::measure(|| serve(&text, &address_sender, stopped))
    });
    let mut client = Client::connect(
        address_receiver
            .recv()
            .expect("the node reports its address"),
    );
    for number in 0..requests {
        client.send(&read_request(&number.to_string(), "15000m"));
        assert_eq!(
            client.read_response().expect("read a response").status(),
            200
        );
    }
    drop(stop);
    node.join().expect("the thread of the node does not panic")
}

fn serve(text: &str, address_sender: &mpsc::Sender<SocketAddr>, stopped: oneshot::Receiver<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build a Tokio runtime");
    LocalSet::new().block_on(&runtime, async {
        let dispatcher = Dispatcher::start(&Config::parse(text).expect("the configuration is valid"))
            .expect("the dispatcher starts");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind a loopback socket");
        address_sender.send(listener.local_addr().expect("a bound socket has an address"))
            .expect("the main thread waits for the address");
        let (_phase, phases) = watch::channel(Phase::Serving);
        tokio::select! {
            () = server::serve(listener, Rc::clone(&dispatcher), ServerOptions::for_unshared_listener(phases, 100)) => {}
            _ = stopped => {}
        }
    });
}
