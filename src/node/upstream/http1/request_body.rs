//! The request body that one attempt sends.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::progress::ExchangeProgress;
use crate::node::downstream::body_stream::{BodyReceiver, NextFrame, Truncated};
use crate::node::upstream::{RequestBody, UpstreamRequest};

/// The request body that one attempt sends. The unbuffered rest of a streamed body is taken when hyper first polls
/// for it; after that, no other attempt can send the request.
pub struct AttemptBody {
    request: Rc<UpstreamRequest>,
    progress: Rc<ExchangeProgress>,
    /// The buffered part; `None` once hyper has taken it.
    buffered: Option<Bytes>,
    /// The rest of a streamed body, once it has been taken.
    rest: Option<BodyReceiver>,
    content_length: Option<u64>,
}

impl AttemptBody {
    /// Creates the body of `request` for an exchange that is recorded in `progress`.
    #[must_use]
    pub fn new(request: &Rc<UpstreamRequest>, progress: &Rc<ExchangeProgress>) -> Self {
        let (buffered, content_length) = match &request.body {
            RequestBody::Buffered(body) => (body.clone(), Some(body.len() as u64)),
            RequestBody::Streamed(upload) => {
                progress.set_body_complete(false);
                (upload.prefix(), upload.total_bytes())
            }
        };
        let buffered = Some(buffered).filter(|buffered| !buffered.is_empty());
        Self {
            request: Rc::clone(request),
            progress: Rc::clone(progress),
            buffered,
            rest: None,
            content_length,
        }
    }

    /// Whether the complete body is buffered.
    #[must_use]
    pub fn is_buffered(&self) -> bool {
        matches!(self.request.body, RequestBody::Buffered(_))
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<NextFrame> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let request = Rc::clone(&self.request);
        let RequestBody::Streamed(upload) = &request.body else {
            return Poll::Ready(None);
        };
        if self.rest.is_none() {
            self.rest = upload.take_rest();
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(Some(Err(Truncated)));
        };
        let frame = ready!(rest.poll(cx));
        // hyper does not poll for the end of a body once its stated length has been reached.
        let is_last = frame.is_none() || rest.remaining_bytes() == Some(0);
        if is_last {
            self.progress.set_body_complete(true);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.is_buffered() && self.buffered.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.content_length
            .map(SizeHint::with_exact)
            .unwrap_or_default()
    }
}
