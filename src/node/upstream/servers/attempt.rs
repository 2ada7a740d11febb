//! One attempt: exchanges on the connections and addresses of a server until one of them decides the outcome.

use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Instant;

use balancer::{AttemptResult, ServerId};
use pool::{CheckoutError, Recovery};

use super::checked_out::FailedExchange;
use super::Servers;
use crate::node::admin::log;
use crate::node::upstream::{AttemptOutcome, Exchange, UpstreamRequest, UpstreamResponse};

/// Maximum number of exchanges in one attempt. Each failed exchange discards a stale connection or excludes a broken
/// address, so only a server that keeps closing the connections it accepts reaches this limit.
const MAX_EXCHANGES_PER_ATTEMPT: usize = 64;

/// An attempt that can be aborted from outside the task that awaits it.
pub struct RunningAttempt(RefCell<Option<Pin<Box<dyn Future<Output = AttemptOutcome>>>>>);

impl RunningAttempt {
    /// Wraps an attempt that has not been polled yet.
    #[must_use]
    pub fn new(attempt: impl Future<Output = AttemptOutcome> + 'static) -> Self {
        Self(RefCell::new(Some(Box::pin(attempt))))
    }

    /// Aborts the attempt. Its connection has been closed when this returns.
    pub fn abort(&self) {
        let attempt = self.0.borrow_mut().take();
        drop(attempt);
    }

    /// Waits for the attempt's outcome; never completes once the attempt is aborted. Cancel safe: the attempt makes
    /// no progress while it is not awaited, and continues with the next call.
    pub async fn outcome(&self) -> AttemptOutcome {
        let outcome = poll_fn(|cx| match &mut *self.0.borrow_mut() {
            Some(attempt) => attempt.as_mut().poll(cx),
            None => std::task::Poll::Pending,
        })
        .await;
        self.abort();
        outcome
    }
}

impl Servers {
    /// Performs one attempt and returns its outcome. A response that is too long to be buffered is passed to
    /// `on_streamed_response` before its end, and the attempt ends with its last byte.
    ///
    /// For the balancer this is a single attempt, regardless of the number of addresses tried: at most one of its
    /// exchanges sends the last byte of the request.
    ///
    /// Dropping the future aborts the attempt and closes its connection.
    pub async fn attempt(
        self: Rc<Self>,
        server: ServerId,
        request: Rc<UpstreamRequest>,
        deadline: Instant,
        on_streamed_response: impl Fn(UpstreamResponse),
    ) -> AttemptOutcome {
        let mut excluded_routes = Vec::new();
        let mut result_if_not_sendable = AttemptResult::NotSent;
        for _ in 0..MAX_EXCHANGES_PER_ATTEMPT {
            let connection = match self.check_out(server, &excluded_routes).await {
                Ok(connection) => connection,
                Err(CheckoutError::LimitReached) if excluded_routes.is_empty() => {
                    log::line("an attempt was not sent: the connection limit is reached");
                    return AttemptResult::NotSent.into();
                }
                Err(_) => return AttemptResult::Unreachable.into(),
            };
            if !request.may_be_sent() {
                return result_if_not_sendable.into(); // The last byte has not been sent and must not be.
            }
            // Checked again before the first byte: the endpoint list may have changed during the dial.
            let now = Instant::now();
            if !self.accepts_requests(server) || now >= deadline {
                return AttemptResult::NotSent.into();
            }
            let exchange = Exchange {
                request: &request,
                remaining: deadline - now,
                memory: &self.memory,
                on_streamed_response: &on_streamed_response,
            };
            match connection.exchange(exchange).await {
                Ok(outcome) => return outcome,
                Err(failed) => {
                    self.log_failed_exchange(server, &request, &failed);
                    match failed.recovery {
                        Recovery::AnyConnection => {}
                        Recovery::OtherAddress => {
                            excluded_routes.extend(failed.route);
                            result_if_not_sendable = AttemptResult::Unreachable;
                        }
                        Recovery::Reset => return AttemptResult::Reset.into(),
                        Recovery::Malformed => return AttemptResult::Malformed.into(),
                    }
                }
            }
        }
        AttemptResult::Unreachable.into()
    }

    fn log_failed_exchange(
        &self,
        server: ServerId,
        request: &UpstreamRequest,
        failed: &FailedExchange,
    ) {
        let bytes = if failed.error.has_unsolicited_bytes {
            ", unsolicited bytes received"
        } else {
            ""
        };
        log::request_line(format_args!(
            "request {}: {} with {} on a connection in state {:?}{bytes}",
            request.client_id(),
            failed.error,
            self.label(server),
            failed.age,
        ));
    }
}
