//! The body of a message that is passed on as it comes: one hand feeds what one peer writes, the other is what the
//! other peer is written. A piece is in between at a time, so neither side gets ahead of the other by more.

use std::cell::RefCell;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use flow_control::TransferDeadline;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use pool::ConnectionError;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Pieces that are between the two hands: one is on its way while the next is read, and no more is held.
const BETWEEN: usize = 1;

/// How long the last piece may wait to be taken.
const LAST_TAKEN: Duration = Duration::from_secs(5);

/// Why a body that was being read came to no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// It broke.
    Broke(ConnectionError),
    /// It was being passed on, and its client takes no more.
    ClientLeft,
}

/// A body was cut: whoever is written it must be able to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfinished;

impl std::fmt::Display for Unfinished {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the body came to no end")
    }
}

impl std::error::Error for Unfinished {}

enum Piece {
    Data(Bytes),
    /// A sender that is dropped says nothing of the end: the body may be cut.
    End,
}

/// What is read of a body next.
pub type Next = Option<Result<Frame<Bytes>, Unfinished>>;

/// The hand that feeds.
pub struct Feeder {
    pieces: mpsc::Sender<Piece>,
    begun: Instant,
    /// By when the reader of the pieces must have taken more.
    deadline: TransferDeadline,
    /// When the last piece was taken, in milliseconds since the beginning.
    taken_ms: f64,
}

/// The hand that is read.
#[derive(Debug)]
pub struct Passing {
    pieces: mpsc::Receiver<Piece>,
    /// How many bytes are to come, where that is told.
    left: Option<u64>,
}

/// A body that is passed on, of which the beginning is kept: while no more of it has been asked for, it can be begun anew.
#[derive(Debug)]
pub struct Upload {
    first: Bytes,
    rest: RefCell<Option<Passing>>,
}

impl Upload {
    /// A body that begins so.
    #[must_use]
    pub fn new(first: Bytes, rest: Passing) -> Self {
        Self {
            first,
            rest: RefCell::new(Some(rest)),
        }
    }

    /// Whether a part of it is gone with an attempt that failed.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// How long it is, where that is told and none of it has gone.
    #[must_use]
    pub fn told(&self) -> Option<u64> {
        let left = self.rest.borrow().as_ref()?.left()?;
        Some(left + self.first.len() as u64)
    }

    /// Its beginning.
    #[must_use]
    pub fn first(&self) -> Bytes {
        self.first.clone()
    }

    /// What follows the beginning; whoever has it is the last to send the body.
    #[must_use]
    pub fn take_rest(&self) -> Option<Passing> {
        self.rest.borrow_mut().take()
    }
}

/// Both hands of a body of the length that is told.
#[must_use]
pub fn passing(told: Option<u64>) -> (Feeder, Passing) {
    let (sender, pieces) = mpsc::channel(BETWEEN);
    let feeder = Feeder {
        pieces: sender,
        begun: Instant::now(),
        deadline: TransferDeadline::for_streaming(0.0),
        taken_ms: 0.0,
    };
    (feeder, Passing { pieces, left: told })
}

impl Feeder {
    /// Hands on a piece, once the one before is taken. Guards against a peer that takes a byte now and then: it would hold
    /// the other's connection for as long as it likes.
    ///
    /// # Errors
    ///
    /// It takes no more, or so little that it is given up.
    pub async fn feed(&mut self, piece: Bytes) -> Result<(), Cut> {
        if piece.is_empty() {
            return Ok(());
        }
        let now_ms = self.now_ms();
        // Until now it was whoever gives the pieces that was waited for.
        self.deadline.exclude_pause(now_ms - self.taken_ms);
        let bytes = piece.len();
        let left = Duration::from_secs_f64((self.deadline.due_ms() - now_ms).max(0.0) / 1e3);
        let taken = tokio::time::timeout(left, self.pieces.send(Piece::Data(piece))).await;
        self.taken_ms = self.now_ms();
        self.deadline.record_bytes(bytes);
        taken.ok().and_then(Result::ok).ok_or(Cut::ClientLeft)
    }

    fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1e3
    }

    /// The body is whole.
    ///
    /// # Errors
    ///
    /// The client took no more.
    pub async fn end(self) -> Result<(), Cut> {
        // A reader that was told the length needs no word of the end, and may have gone.
        let _ = tokio::time::timeout(LAST_TAKEN, self.pieces.send(Piece::End)).await;
        Ok(())
    }
}

impl Passing {
    /// How many bytes are to come, where that is told.
    #[must_use]
    pub fn left(&self) -> Option<u64> {
        self.left
    }

    /// Whether all that was told has been read.
    fn is_through(&self) -> bool {
        self.left == Some(0)
    }

    /// The next piece, or the end. An error tells that it was cut.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Next> {
        let piece = std::task::ready!(self.pieces.poll_recv(cx));
        Poll::Ready(match piece {
            Some(Piece::Data(data)) => {
                let left = self.left.map(|left| left.checked_sub(data.len() as u64));
                if left == Some(None) {
                    return Poll::Ready(Some(Err(Unfinished)));
                }
                self.left = left.flatten();
                Some(Ok(Frame::data(data)))
            }
            Some(Piece::End) if self.left.is_none_or(|left| left == 0) => None,
            Some(Piece::End) | None => Some(Err(Unfinished)),
        })
    }
}

/// How a body that was passed on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// All of it has gone to the client's connection.
    Whole,
    /// The server gave no more.
    Cut,
    /// The client left.
    Left,
}

/// The body of an answer to a client.
pub enum Outgoing {
    /// It is here.
    Whole(Full<Bytes>),
    /// It is passed on; whoever wants to know is told how that ended.
    Passing(Passing, Option<Box<dyn FnOnce(Passed)>>),
}

impl Outgoing {
    /// A body that is here.
    #[must_use]
    pub fn whole(body: Bytes) -> Self {
        Self::Whole(Full::new(body))
    }

    /// One that is passed on; `ended` is told the end.
    #[must_use]
    pub fn passing(body: Passing, ended: impl FnOnce(Passed) + 'static) -> Self {
        Self::Passing(body, Some(Box::new(ended)))
    }

    /// Text of the node's own.
    #[must_use]
    pub fn text(text: &'static str) -> Self {
        Self::whole(Bytes::from_static(text.as_bytes()))
    }

    fn tell(&mut self, how: Passed) {
        if let Self::Passing(_, ended) = self {
            if let Some(ended) = ended.take() {
                ended(how);
            }
        }
    }
}

impl Drop for Outgoing {
    /// Where the length is told, nobody asks for more once it has come.
    fn drop(&mut self) {
        if let Self::Passing(passing, _) = self {
            let how = if passing.is_through() {
                Passed::Whole
            } else {
                Passed::Left
            };
            self.tell(how);
        }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Unfinished;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Next> {
        let frame = match &mut *self {
            Self::Whole(body) => {
                let frame = std::task::ready!(Pin::new(body).poll_frame(cx));
                return Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})));
            }
            Self::Passing(passing, _) => std::task::ready!(passing.poll(cx)),
        };
        match &frame {
            Some(Ok(_)) => {}
            Some(Err(_)) => self.tell(Passed::Cut),
            None => self.tell(Passed::Whole),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Passing(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Passing(passing, _) => passing.left.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

#[cfg(test)]
mod tests;
