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
///
/// After each frame it records whether the end of the request is still withheld from hyper. This is derived from the
/// bytes that have been handed over, since hyper does not poll for the end of a body whose length it knows.
pub struct AttemptBody {
    request: Rc<UpstreamRequest>,
    progress: Rc<ExchangeProgress>,
    /// The buffered part; `None` once hyper has taken it.
    buffered: Option<Bytes>,
    /// The rest of a streamed body, once it has been taken.
    rest: Option<BodyReceiver>,
    /// The length in bytes; `None` if it was not announced.
    content_length: Option<u64>,
    /// Number of bytes that hyper has taken.
    taken_bytes: u64,
    /// Whether hyper has been told that the body has ended.
    has_ended: bool,
}

impl AttemptBody {
    /// Creates the body of `request` for an exchange that is recorded in `progress`.
    #[must_use]
    pub fn new(request: &Rc<UpstreamRequest>, progress: &Rc<ExchangeProgress>) -> Self {
        let (buffered, content_length) = match &request.body {
            RequestBody::Buffered(body) => (body.clone(), Some(body.len() as u64)),
            RequestBody::Streamed(upload) => (upload.prefix(), upload.total_bytes()),
        };
        let body = Self {
            request: Rc::clone(request),
            progress: Rc::clone(progress),
            buffered: Some(buffered).filter(|buffered| !buffered.is_empty()),
            rest: None,
            content_length,
            taken_bytes: 0,
            has_ended: false,
        };
        body.record_progress();
        body
    }

    /// Whether the complete body is buffered.
    #[must_use]
    pub fn is_buffered(&self) -> bool {
        matches!(self.request.body, RequestBody::Buffered(_))
    }

    /// Whether the length is unknown until the end, so that the body is sent in chunks.
    #[must_use]
    pub fn is_chunked(&self) -> bool {
        self.content_length.is_none()
    }

    fn record_progress(&self) {
        let is_end_withheld = match self.content_length {
            Some(length) => self.taken_bytes < length,
            None => !self.has_ended,
        };
        self.progress.set_end_withheld(is_end_withheld);
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<NextFrame> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let RequestBody::Streamed(upload) = &self.request.body else {
            return Poll::Ready(None);
        };
        if self.rest.is_none() {
            self.rest = upload.take_rest();
        }
        match &mut self.rest {
            Some(rest) => rest.poll(cx),
            None => Poll::Ready(Some(Err(Truncated))),
        }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<NextFrame> {
        let frame = ready!(self.poll_next(cx));
        match &frame {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.taken_bytes += bytes as u64;
            }
            Some(Err(Truncated)) => {}
            None => self.has_ended = true,
        }
        self.record_progress();
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

#[cfg(test)]
mod tests;
