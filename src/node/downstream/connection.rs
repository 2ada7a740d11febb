//! One client connection: runs hyper's HTTP/1 state machine over the socket, and closes it when the client disconnects, the
//! connection table requests a close, or the node shuts down.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::rc::Rc;

use admin::ConnectionPolicy;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::node::admin::log;
use crate::node::downstream::body_stream::ResponseStream;
use crate::node::downstream::connection_table::{ConnectionGuard, Stage};
use crate::node::downstream::request_handler::handle_request;
use crate::node::downstream::response::text_response;
use crate::node::downstream::server::ServerState;
use crate::node::downstream::shutdown::{linger, CloseMode, Phase};
use crate::node::downstream::socket::Socket;

/// Size of hyper's buffer: limits the head of a request, and how much of a body is read at a time.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Response to a long head for which no memory is available. Nothing has been forwarded.
const HEAD_REFUSED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Maximum number of requests of a connection that begin in one turn of its task. Other connections have their turns before the
/// next one begins.
const MAX_REQUESTS_PER_TURN: u64 = 2;

/// How the serving of requests on a connection ended.
#[derive(PartialEq)]
enum ConnectionEnd {
    /// hyper ended the connection: for example, the client closed it, its last response has been written, or it was closed
    /// while idle.
    Graceful,
    /// The client disconnected, or the connection must be dropped without waiting for the client.
    Aborted,
}

/// Serves one connection until it is closed.
pub(super) async fn run(stream: TcpStream, state: Rc<ServerState>, guard: ConnectionGuard) {
    if let Err(error) = stream.set_nodelay(true) {
        return log::line(format_args!(
            "cannot set TCP_NODELAY on a client connection: {error}"
        ));
    }
    let mut socket = Socket::new(stream, guard, Rc::clone(&state.memory));
    if serve_requests(&socket, &state).await == ConnectionEnd::Graceful {
        if socket.is_head_refused() {
            let _ = socket.write_all(HEAD_REFUSED_RESPONSE).await; // The client may have disconnected.
        }
        linger(&socket).await;
    }
}

async fn serve_requests(socket: &Socket, state: &ServerState) -> ConnectionEnd {
    let (connection, request_count) = (&socket.connection, Cell::new(0));
    let requests_before_turn = Cell::new(0);
    let service = service_fn(|request| {
        let number = request_count.get() + 1;
        request_count.set(number);
        let must_wait = number - requests_before_turn.get() > MAX_REQUESTS_PER_TURN;
        socket.guard.begin_request();
        async move {
            if must_wait {
                tokio::task::yield_now().await;
            }
            Ok::<_, Infallible>(serve_request(request, number, socket, state).await)
        }
    });
    let http_connection = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(socket.clone()), service);
    let mut http_connection = pin!(http_connection);
    let mut phases = state.options.phases.clone();
    let mut shutdown = pin!(phases.wait_for(Phase::is_shutting_down));
    let mut client_disconnected = pin!(socket.client_disconnected());
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            biased;
            result = poll_fn(|cx| {
                requests_before_turn.set(request_count.get());
                http_connection.as_mut().poll(cx)
            }) => {
                if let Some(error) = result.err().filter(hyper::Error::is_parse) {
                    log::line(format_args!("malformed request from a client: {error}"));
                }
                return ConnectionEnd::Graceful;
            }
            () = client_disconnected.as_mut() => return ConnectionEnd::Aborted,
            // An idle connection is closed, and bytes that arrive later are discarded. A request in progress is answered. A
            // request that has arrived only in part is served once it is complete. Either response is the connection's last.
            _ = &mut shutdown, if !is_shutting_down => {
                is_shutting_down = true;
                if matches!(connection.stage(), Stage::ServingRequest | Stage::SendingResponse) || socket.is_idle() {
                    http_connection.as_mut().graceful_shutdown();
                }
            }
            () = connection.close_requested() => {
                if !connection.is_close_requested() {
                    continue;
                }
                match CloseMode::choose(connection.stage(), || socket.is_idle(), || socket.has_unread_bytes()) {
                    CloseMode::KeepOpen => {}
                    CloseMode::Graceful => http_connection.as_mut().graceful_shutdown(),
                    CloseMode::Abort => return ConnectionEnd::Aborted,
                }
            }
        }
    }
}

/// Produces the response to a request. `number` is the request's position on the connection, counted from one.
async fn serve_request(
    request: Request<Incoming>,
    number: u64,
    socket: &Socket,
    state: &ServerState,
) -> Response<ResponseStream> {
    let connection = &socket.connection;
    if socket.detect_reset() {
        return std::future::pending().await; // The connection's task ends with the client's disconnect.
    }
    let is_ambiguous = socket.framing.borrow().is_ambiguous(number);
    let mut response = if is_ambiguous {
        text_response(
            StatusCode::BAD_REQUEST,
            "the length is told in more than one way\n",
        )
    } else {
        handle_request(request, state, socket).await
    };
    connection.enter(Stage::SendingResponse);
    connection.set_streaming(matches!(response.body(), ResponseStream::Streamed(..)));
    let must_close = state.connection_policy() > ConnectionPolicy::KeepAlive
        || connection.read_buffer_memory().is_some()
        || socket.framing.borrow().must_be_last(number);
    if must_close || state.table.should_close_after_response(connection) {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
