//! A plain reverse proxy to compare the node with: the same hyper, its pooled client, one thread. It selects servers
//! round robin, without any admission control or load balancing.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpListener;

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// Serves until the process ends; prints its address on standard error in the way the node does.
pub fn run(servers: Vec<SocketAddr>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build a Tokio runtime");
    tokio::task::LocalSet::new().block_on(&runtime, serve(Rc::from(servers)));
}

async fn serve(servers: Rc<[SocketAddr]>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a loopback socket");
    eprintln!(
        "proxy: serves on {}",
        listener
            .local_addr()
            .expect("a bound socket has an address")
    );
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: PooledClient = Client::builder(TokioExecutor::new()).build(connector);
    let next = Rc::<Cell<usize>>::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true); // Only affects latency, so a failure is ignored.
        let (client, servers, next) = (client.clone(), Rc::clone(&servers), Rc::clone(&next));
        let service = hyper::service::service_fn(move |request| {
            let server = next.replace(next.get().wrapping_add(1)) % servers.len();
            forward(client.clone(), servers[server], request)
        });
        tokio::task::spawn_local(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = served.await; // An error means that the client closed its connection.
        });
    }
}

async fn forward(
    client: PooledClient,
    server: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (mut head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{server}{path}").parse::<Uri>();
    let bad_gateway = || {
        Response::builder()
            .status(StatusCode::BAD_GATEWAY)
            .body(Full::default())
            .expect("a status and an empty body form a valid response")
    };
    let (Ok(uri), Ok(body)) = (uri, body.collect().await) else {
        return Ok(bad_gateway());
    };
    head.uri = uri;
    let Ok(response) = client
        .request(Request::from_parts(head, Full::new(body.to_bytes())))
        .await
    else {
        return Ok(bad_gateway());
    };
    let (head, body) = response.into_parts();
    Ok(body.collect().await.map_or_else(
        |_| bad_gateway(),
        |body| Response::from_parts(head, Full::new(body.to_bytes())),
    ))
}
