//! Response bodies sent to clients.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use displaydoc::Display;
use futures_util::Stream;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use monsoonspread_decisions::answer_end::EndVerdict;
use monsoonspread_decisions::event_splitter::EventScanner;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

use super::answer::{AnswerEnd, EndCheck};
use super::forward::may_still_forward;

/// Why an answer ends early; the client only sees its connection closed.
#[derive(Clone, Debug, Display, Error)]
pub enum BodyError {
    /// upstream disconnected before the answer was complete: {0}
    Upstream(String),
    /// upstream ended the answer before it was complete
    Unfinished,
    /// the answer was not complete before its deadline
    TooLate,
}

type EventStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>;

/// Body of a response to a client.
pub enum RelayBody {
    /// A fixed byte string.
    Whole(Option<Bytes>),
    /// Bytes of an upstream, forwarded as they arrive.
    Forwarded(Box<ForwardedBody>),
    /// Events of one upstream, resumed on others after a failure.
    Events(EventStream),
}

/// Forwards an upstream's bytes as they arrive.
pub struct ForwardedBody {
    incoming: Incoming,
    /// Position in a stream of events; `None` for any other body.
    events: Option<EventScanner>,
    ends_by: Pin<Box<Sleep>>,
    end: AnswerEnd,
    /// The check of an end that is unconfirmed.
    check: Option<EndCheck>,
    /// An error that is returned once everything before it was sent.
    error: Option<BodyError>,
}

impl RelayBody {
    /// Returns a body of known bytes.
    pub(super) fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// Returns a body that forwards an upstream's bytes until `ends_by`.
    pub(super) fn forwarded(
        incoming: Incoming,
        events: Option<EventScanner>,
        ends_by: Instant,
        mut end: AnswerEnd,
    ) -> Self {
        if events.is_none() && incoming.is_end_stream() {
            end.on_bytes_ended(None);
        }
        Self::Forwarded(Box::new(ForwardedBody {
            incoming,
            events,
            ends_by: Box::pin(tokio::time::sleep_until(ends_by)),
            end,
            check: None,
            error: None,
        }))
    }
}

impl ForwardedBody {
    fn too_late(&mut self) -> BodyError {
        self.end.on_aborted("deadline");
        BodyError::TooLate
    }

    /// Like [`Self::poll_incoming`], but leaves the HTTP server a chance to send what it has before an
    /// error, on which it closes the connection.
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(self.poll_incoming(cx)) {
            Some(Err(error)) => {
                self.error = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            frame => Poll::Ready(frame),
        }
    }

    fn poll_incoming(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(check) = &mut self.check {
            let evidence = ready!(check.as_mut().poll(cx));
            self.check = None;
            let is_complete = self.end.on_end_checked(evidence);
            return Poll::Ready((!is_complete).then_some(Err(BodyError::Unfinished)));
        }
        let frame = match Pin::new(&mut self.incoming).poll_frame(cx) {
            Poll::Ready(frame) if may_still_forward(self.ends_by.deadline()) => frame,
            Poll::Ready(_) => return Poll::Ready(Some(Err(self.too_late()))),
            Poll::Pending => {
                ready!(self.ends_by.as_mut().poll(cx));
                return Poll::Ready(Some(Err(self.too_late())));
            }
        };
        match frame {
            Some(Ok(frame)) => {
                self.end.on_bytes();
                if let (Some(events), Some(bytes)) = (&mut self.events, frame.data_ref()) {
                    events.scan(bytes);
                }
                if self.events.is_none() && self.incoming.is_end_stream() {
                    self.end.on_bytes_ended(None);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.end.on_upstream_disconnected();
                Poll::Ready(Some(Err(BodyError::Upstream(error.to_string()))))
            }
            None => {
                let position = self.events.as_ref().map(EventScanner::position);
                match self.end.on_bytes_ended(position) {
                    EndVerdict::Complete => Poll::Ready(None),
                    EndVerdict::BrokenOff => Poll::Ready(Some(Err(BodyError::Unfinished))),
                    EndVerdict::Unconfirmed => {
                        self.check = Some(self.end.check_end());
                        self.poll_incoming(cx)
                    }
                }
            }
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Forwarded(forwarded) => forwarded.poll(cx),
            Self::Events(events) => {
                let next = ready!(events.as_mut().poll_next(cx));
                Poll::Ready(next.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Forwarded(forwarded) => {
                forwarded.events.is_none() && forwarded.incoming.is_end_stream()
            }
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Forwarded(forwarded) if forwarded.events.is_none() => {
                forwarded.incoming.size_hint()
            }
            Self::Forwarded(_) | Self::Events(_) => SizeHint::default(),
        }
    }
}
