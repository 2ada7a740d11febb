//! The body of a request on its way to a server.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::metered::Traffic;
use crate::node::downstream::body_stream::{BodyReceiver, NextFrame, Truncated};
use crate::node::upstream::{Message, RequestBody};

/// The body as one attempt sends it. What follows the beginning is taken once it is asked for, and then no other attempt
/// can have it.
pub struct Sending {
    message: Rc<Message>,
    traffic: Rc<Traffic>,
    first: Option<Bytes>,
    rest: Option<BodyReceiver>,
    told: Option<u64>,
}

impl Sending {
    /// The body of a message, on a connection with this traffic.
    #[must_use]
    pub fn new(message: &Rc<Message>, traffic: &Rc<Traffic>) -> Self {
        let (first, told) = match &message.body {
            RequestBody::Whole(body) => (body.clone(), Some(body.len() as u64)),
            RequestBody::Passing(upload) => {
                traffic.expect_more();
                (upload.prefix(), upload.total_bytes())
            }
        };
        let first = Some(first).filter(|first| !first.is_empty());
        Self {
            message: Rc::clone(message),
            traffic: Rc::clone(traffic),
            first,
            rest: None,
            told,
        }
    }

    /// Whether all of it is here.
    #[must_use]
    pub fn is_held(&self) -> bool {
        matches!(self.message.body, RequestBody::Whole(_))
    }

    fn is_out(&mut self) {
        self.traffic.expect_no_more();
    }
}

impl Body for Sending {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<NextFrame> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let message = Rc::clone(&self.message);
        let RequestBody::Passing(upload) = &message.body else {
            return Poll::Ready(None);
        };
        if self.rest.is_none() {
            self.rest = upload.take_rest();
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(Some(Err(Truncated)));
        };
        let frame = ready!(rest.poll(cx));
        // Nobody asks for the end of a body whose length has come.
        let is_last = frame.is_none() || rest.remaining_bytes() == Some(0);
        if is_last {
            self.is_out();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.is_held() && self.first.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.told.map(SizeHint::with_exact).unwrap_or_default()
    }
}
