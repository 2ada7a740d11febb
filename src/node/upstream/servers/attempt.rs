//! One attempt: the loop over a server's connections and addresses until one exchange has ended.

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

/// Exchanges that one attempt may start. Each that fails discards a stale connection or excludes a broken address, so
/// only a server that keeps closing what it accepts reaches this bound.
const MAX_EXCHANGES_PER_ATTEMPT: usize = 64;

/// An attempt that can be aborted by someone other than its awaiter.
pub struct RunningAttempt(RefCell<Option<Pin<Box<dyn Future<Output = AttemptOutcome>>>>>);

impl RunningAttempt {
    /// Wraps an attempt that has not been polled yet.
    #[must_use]
    pub fn new(attempt: impl Future<Output = AttemptOutcome> + 'static) -> Self {
        Self(RefCell::new(Some(Box::pin(attempt))))
    }

    /// Aborts the attempt. Its connection is closed when this returns.
    pub fn abort(&self) {
        let attempt = self.0.borrow_mut().take();
        drop(attempt);
    }

    /// Waits for the attempt's outcome; never completes once the attempt is aborted. Cancel safe: the attempt makes
    /// no progress while nobody awaits it, and continues with the next call.
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
    /// Makes one attempt and returns its outcome. A response that is too long to be buffered is passed to
    /// `on_streamed_response` with its first chunk, and the attempt ends with its last byte.
    ///
    /// To the balancer this is one attempt, however many addresses it takes: at most one of its exchanges has sent
    /// the request's last byte.
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
        let mut result_if_expired = AttemptResult::NotSent;
        for _ in 0..MAX_EXCHANGES_PER_ATTEMPT {
            let mut connection = match self.check_out(server, &excluded_routes).await {
                Ok(connection) => connection,
                Err(CheckoutError::LimitReached) if excluded_routes.is_empty() => {
                    log::line("all connections to servers are in use");
                    return AttemptResult::NotSent.into();
                }
                Err(_) => return AttemptResult::Unreachable.into(),
            };
            if !request.may_be_sent() {
                return result_if_expired.into(); // Its last byte was never sent, and must not be.
            }
            // Checked again before the first byte: the endpoint list may have changed during the dial.
            let now = Instant::now();
            if !self.accepts_requests(server) || now >= deadline {
                return AttemptResult::NotSent.into();
            }
            let exchange = Exchange {
                request: &request,
                remaining: deadline - now,
                on_streamed_response: &on_streamed_response,
            };
            match connection.exchange(exchange).await {
                Ok(outcome) => {
                    connection.finish(server);
                    return outcome;
                }
                Err(FailedExchange { recovery, route }) => match recovery {
                    Recovery::AnyConnection => {}
                    Recovery::OtherAddress => {
                        excluded_routes.extend(route);
                        result_if_expired = AttemptResult::Unreachable;
                    }
                    Recovery::Reset => return AttemptResult::Reset.into(),
                    Recovery::Malformed => return AttemptResult::Malformed.into(),
                },
            }
        }
        AttemptResult::Unreachable.into()
    }
}
