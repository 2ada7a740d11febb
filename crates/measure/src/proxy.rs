//! A plain reverse proxy over the same hyper, with its pooled client, on one thread: what the node is held against. It
//! chooses servers in turn, and decides nothing.

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

type Pooled = Client<HttpConnector, Full<Bytes>>;

/// Serves until the process is ended; prints where, as the node does.
pub fn run(servers: Vec<SocketAddr>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, serve(Rc::from(servers)));
}

async fn serve(servers: Rc<[SocketAddr]>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    eprintln!(
        "proxy: serves on {}",
        listener.local_addr().expect("an address")
    );
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let client: Pooled = Client::builder(TokioExecutor::new()).build(connector);
    let next = Rc::<Cell<usize>>::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true); // It only makes answers come sooner.
        let (client, servers, next) = (client.clone(), Rc::clone(&servers), Rc::clone(&next));
        let service = hyper::service::service_fn(move |request| {
            let at = next.replace(next.get().wrapping_add(1)) % servers.len();
            pass(client.clone(), servers[at], request)
        });
        tokio::task::spawn_local(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = served.await; // The client's end is no failure.
        });
    }
}

async fn pass(
    client: Pooled,
    server: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (mut head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{server}{path}").parse::<Uri>();
    let failed = || {
        Response::builder()
            .status(StatusCode::BAD_GATEWAY)
            .body(Full::default())
            .expect("sound")
    };
    let (Ok(uri), Ok(body)) = (uri, body.collect().await) else {
        return Ok(failed());
    };
    head.uri = uri;
    let Ok(answer) = client
        .request(Request::from_parts(head, Full::new(body.to_bytes())))
        .await
    else {
        return Ok(failed());
    };
    let (head, body) = answer.into_parts();
    Ok(body.collect().await.map_or_else(
        |_| failed(),
        |body| Response::from_parts(head, Full::new(body.to_bytes())),
    ))
}
