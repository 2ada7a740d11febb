//! Allocations that the node makes for a request: the node runs on a thread of this program whose allocations alone are
//! counted, its client and server on others. Two runs of different length, so that what the start costs falls out.

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

/// Requests of the shorter and of the longer run.
const RUNS: [u64; 2] = [2_000, 12_000];

fn main() {
    let [short, long] = RUNS.map(run);
    let each = |long: u64, short: u64| (long - short) as f64 / (RUNS[1] - RUNS[0]) as f64;
    println!("a request on kept connections, on the node's thread, by the difference of {RUNS:?} requests:");
    println!(
        "allocations {:>8.1}",
        each(long.count_total, short.count_total)
    );
    println!(
        "bytes       {:>8.0}",
        each(long.bytes_total, short.bytes_total)
    );
}

fn run(requests: u64) -> allocation_counter::AllocationInfo {
    let server = Server::start(|_| Reply::ok("rooms: 3\n")).without_recording();
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let text = config(
        nowhere,
        &endpoint_list(1, true, &[server.endpoint_entry("s-0", "ready")]),
        &settings(15_000),
    );
    let (tell, told) = mpsc::channel();
    let (end, ended) = oneshot::channel::<()>();
    let node = thread::spawn(move || allocation_counter::measure(|| serve(&text, &tell, ended)));
    let mut client = Client::connect(told.recv().expect("it serves"));
    for number in 0..requests {
        client.send(&read_request(&number.to_string(), "15000m"));
        assert_eq!(client.read_response().expect("an answer").status(), 200);
    }
    drop(end);
    node.join().expect("the node ends")
}

fn serve(text: &str, tell: &mpsc::Sender<SocketAddr>, ended: oneshot::Receiver<()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let driver = Dispatcher::start(&Config::parse(text).expect("sound")).expect("sound");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        tell.send(listener.local_addr().expect("an address"))
            .expect("somebody waits");
        let (_phase, phases) = watch::channel(Phase::Serving);
        tokio::select! {
            () = server::serve(listener, Rc::clone(&driver), ServerOptions::for_unshared_listener(phases, 100)) => {}
            _ = ended => {}
        }
    });
}
