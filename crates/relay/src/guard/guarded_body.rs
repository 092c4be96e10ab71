//! Body of an answer, which keeps its connection in use.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::{GuardedConnection, Reservation};

/// Body of an answer; its connection is idle, and the memory for the request's head free, once it is dropped.
pub struct GuardedBody<B> {
    body: B,
    _head: Option<Reservation>,
    connection: Rc<GuardedConnection>,
}

impl<B> GuardedBody<B> {
    /// Sends `body` on `connection`.
    pub fn new(body: B, connection: Rc<GuardedConnection>) -> Self {
        Self {
            body,
            _head: None,
            connection,
        }
    }

    /// Keeps the memory of the request's head until the answer is sent.
    pub fn with_head(mut self, head: Option<Reservation>) -> Self {
        self._head = head;
        self
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for GuardedBody<B> {
    fn drop(&mut self) {
        self.connection.on_idle();
    }
}
