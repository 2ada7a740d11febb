//! Routes requests by their path. Passes API requests to the dispatcher and waits for their final responses.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use admin::Counter;
use balancer::Idempotency;
use flow_control::Reservation;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use request_ids::RepeatPolicy;

use crate::node::dispatcher::{Arrival, FinalResponse, NewRequest};
use crate::node::downstream::body_stream::{body_stream, ResponseStream, Upload};
use crate::node::downstream::connection_table::TrackedConnection;
use crate::node::downstream::request_body::{BufferedBody, IncomingUpload, UploadError};
use crate::node::downstream::request_ids::{OpenRequestId, RejectedId};
use crate::node::downstream::request_metadata::{
    remove_hop_by_hop_headers, sticky_key, RequestMetadata,
};
use crate::node::downstream::response::{
    forwarded_response, outcome_of, rejection_response, text_response, InvalidRequest,
};
use crate::node::downstream::server::ServerState;
use crate::node::downstream::shutdown::Phase;
use crate::node::downstream::socket::Socket;
use crate::node::memory::{LONG_HEAD_BYTES, MAX_UNRESERVED_HEADERS};
use crate::node::upstream::response::MAX_STREAMED_BODY_BYTES;
use crate::node::upstream::{RequestBody, UpstreamRequest};

/// `Retry-After` for a request that is rejected because too few connections are free. By then some responses are complete,
/// and their connections are idle.
const FREE_CONNECTION_RETRY_MS: f64 = 50.0;
/// `Retry-After` for a request that is rejected because no memory for its body became free: by then some of the requests
/// that hold it have ended.
const FREE_MEMORY_RETRY_MS: f64 = 250.0;
/// `Retry-After` for a request that is rejected because there is no room for its id: ids are kept for a minute, and some
/// expire every second.
const FREE_REQUEST_ID_RETRY_MS: f64 = 1_000.0;
/// `Retry-After` for a request that is rejected because another process may know its id and cannot be asked.
const SHARED_REQUEST_IDS_RETRY_MS: f64 = 250.0;

/// Handles one request. Dropping the future abandons the request and its attempts.
pub(super) async fn handle_request(
    request: Request<Incoming>,
    state: &ServerState,
    socket: &Socket,
) -> Response<ResponseStream> {
    match request.uri().path() {
        "/up" => readiness_response(request.method(), state),
        "/api" => handle_api_request(request, state, socket)
            .await
            .unwrap_or_else(|invalid| text_response(invalid.status, invalid.reason)),
        _ => text_response(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn readiness_response(method: &Method, state: &ServerState) -> Response<ResponseStream> {
    if method != Method::GET {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    if !state.accepts_new_clients() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    text_response(StatusCode::OK, "")
}

async fn handle_api_request(
    request: Request<Incoming>,
    state: &ServerState,
    socket: &Socket,
) -> Result<Response<ResponseStream>, InvalidRequest> {
    let connection = &socket.connection;
    let (mut head, body) = request.into_parts();
    if !reserve_head_memory(&head, state, connection) {
        return Ok(rejection_response(Some(FREE_MEMORY_RETRY_MS)));
    }
    detach_head(&mut head);
    let metadata = RequestMetadata::parse(&head.method, &head.headers, &state.dispatcher.names)?;
    let in_flight = state.dispatcher.metrics.begin_request(metadata.class);
    let response = match dispatch(metadata, head, body, socket, state).await {
        Ok(FinalResponse::Served(served)) => {
            return Ok(forwarded_response(served, in_flight, connection))
        }
        Ok(FinalResponse::Rejected { retry_after_ms }) => Ok(rejection_response(retry_after_ms)),
        Ok(FinalResponse::Failed) => Ok(text_response(StatusCode::BAD_GATEWAY, "")),
        Err(invalid) => Err(invalid),
    };
    let status = match &response {
        Ok(response) => response.status(),
        Err(invalid) => invalid.status,
    };
    in_flight.finish(outcome_of(status));
    response
}

/// Reserves memory for a head with many headers, unless the connection has it. Returns `false` if none is available.
fn reserve_head_memory(
    head: &Parts,
    state: &ServerState,
    connection: &Rc<TrackedConnection>,
) -> bool {
    if head.headers.len() <= MAX_UNRESERVED_HEADERS || connection.read_buffer_memory().is_some() {
        return true;
    }
    let Some(reservation) = state.memory.heads.try_reserve(LONG_HEAD_BYTES) else {
        return false;
    };
    connection.hold_read_buffer_memory(Rc::new(reservation));
    true
}

/// Copies the parts of a head that are slices of the connection's read buffer, so that the request does not keep the whole
/// buffer in memory while it is served.
fn detach_head(head: &mut Parts) {
    for value in head.headers.values_mut() {
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
    if let Ok(copy) = head.uri.to_string().parse() {
        head.uri = copy;
    }
}

/// Buffers as much of the body as the limits permit, passes the request to the dispatcher, and waits for the final response
/// while the rest of the body is streamed.
async fn dispatch(
    metadata: RequestMetadata,
    head: Parts,
    body: Incoming,
    socket: &Socket,
    state: &ServerState,
) -> Result<FinalResponse, InvalidRequest> {
    if body.size_hint().lower() > MAX_STREAMED_BODY_BYTES as u64 {
        return Err(InvalidRequest::BODY_TOO_LARGE);
    }
    let dispatcher = &state.dispatcher;
    let RequestMetadata {
        id,
        class,
        tenant,
        deadline,
    } = metadata;
    let policy = repeat_policy(dispatcher.names.rules[class].idempotency);
    let open_id = match state.options.request_ids.reserve(&id, policy).await {
        Ok(open_id) => open_id,
        Err(RejectedId::InUse) => return Err(InvalidRequest::DUPLICATE_ID),
        Err(RejectedId::TableFull) => return Ok(rejected_after(FREE_REQUEST_ID_RETRY_MS)),
        Err(RejectedId::Unavailable) => return Ok(rejected_after(SHARED_REQUEST_IDS_RETRY_MS)),
    };
    socket.connection.hold_request_id(Rc::clone(&open_id));
    let sticky_key = head.uri.query().and_then(sticky_key);
    let connection = &socket.connection;
    let head_memory = connection.read_buffer_memory();
    let mut upload = IncomingUpload::new(body, dispatcher.now_ms(), deadline, socket);
    let buffered = match upload.buffer(connection, state).await {
        Ok(buffered) => buffered,
        Err(UploadError::Invalid(invalid)) => return Err(invalid),
        Err(UploadError::MemoryExhausted) => return Ok(rejected_after(FREE_MEMORY_RETRY_MS)),
    };
    if must_keep_connections_free(state) {
        return Ok(rejected_after(FREE_CONNECTION_RETRY_MS));
    }
    let (body, arrival, upload_sender) = match buffered {
        BufferedBody::Complete(body) => {
            // The last byte may have arrived before the node waited for memory.
            let arrival = Arrival::Complete(Instant::now() - upload.memory_wait());
            (RequestBody::Buffered(body), arrival, None)
        }
        BufferedBody::Prefix(prefix, reservation) => {
            let (sender, rest) = body_stream(upload.remaining_bytes());
            let body = RequestBody::Streamed(Upload::new(prefix, rest, reservation));
            let arrival = Arrival::InProgress(upload.progress());
            (body, arrival, Some(sender))
        }
    };
    let sent_attempts = dispatcher.metrics.attempts(class).clone();
    let message = upstream_request(head, body, head_memory, sent_attempts, open_id);
    let new_request = NewRequest {
        class,
        tenant,
        key: sticky_key,
        message,
        arrival,
        timeout: deadline,
    };
    let Some(mut request) = dispatcher.accept_request(new_request) else {
        return Ok(FinalResponse::Rejected {
            retry_after_ms: None,
        });
    };
    if let Some(sender) = upload_sender {
        let completion = request.upload_completion();
        tokio::select! {
            biased;
            response = request.response() => return Ok(response),
            streamed = upload.stream_to(sender, completion, state) => streamed?,
        }
    }
    Ok(request.response().await)
}

fn rejected_after(retry_after_ms: f64) -> FinalResponse {
    FinalResponse::Rejected {
        retry_after_ms: Some(retry_after_ms),
    }
}

fn repeat_policy(idempotency: Idempotency) -> RepeatPolicy {
    match idempotency {
        Idempotency::Idempotent => RepeatPolicy::Repeatable,
        Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent => RepeatPolicy::RunOnce,
    }
}

/// Returns whether a draining node must reject a request so that clients find free connections. A node that shares its
/// listening socket never rejects for this reason: clients connect to the other process.
fn must_keep_connections_free(state: &ServerState) -> bool {
    let is_draining = matches!(state.phase(), Phase::Draining(_));
    is_draining && !state.options.is_listener_shared && state.table.has_few_free_connections()
}

fn upstream_request(
    head: Parts,
    body: RequestBody,
    head_memory: Option<Rc<Reservation>>,
    sent_attempts: Counter,
    open_id: Rc<OpenRequestId>,
) -> UpstreamRequest {
    let headers = remove_hop_by_hop_headers(head.headers);
    // A client may send the absolute form, with the host in the request line; the server gets only the path and query.
    let uri = head
        .uri
        .path_and_query()
        .cloned()
        .map_or(head.uri, Into::into);
    UpstreamRequest {
        method: head.method,
        uri,
        headers,
        body,
        sent_attempts,
        deadline: Cell::default(),
        send_deadline: Cell::default(),
        head_memory,
        open_id: Some(open_id),
    }
}
