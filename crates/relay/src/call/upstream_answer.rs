//! An upstream's answer and its accounting.

use hyper::Version;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use monsoonspread_decisions::answer_end::Framing;

use super::answer::AnswerEnd;
use super::attempt::Answered;
use super::body_kind::{framing, is_event_stream};
use super::request::RelayRequest;

/// An upstream's answer, with the accounting for its end.
pub(super) struct UpstreamAnswer {
    pub(super) answered: Answered,
    pub(super) end: AnswerEnd,
}

impl UpstreamAnswer {
    /// Whether it is a stream of readable events.
    pub(super) fn is_event_stream(&self, request: &RelayRequest) -> bool {
        let response = &self.answered.response;
        is_event_stream(request, response.status(), response.headers())
    }

    /// Splits the answer into head, body and accounting; the connection is pooled at the end unless
    /// the upstream closes it.
    pub(super) fn split(self, request: &RelayRequest) -> (Parts, Incoming, AnswerEnd) {
        let Answered {
            response,
            answer,
            sender,
            in_flight,
        } = self.answered;
        let (mut head, body) = response.into_parts();
        let framing = framing(request, &head);
        // With HTTP/1.0, the client's answer would end with its connection, broken off or not.
        head.version = Version::HTTP_11;
        let connection = sender.sender.end();
        if framing != Framing::Connection {
            connection.ignore();
        }
        let end = self.end.with_in_flight(in_flight);
        let end = end.with_framing(framing, connection);
        let end = if answer.closes {
            end
        } else {
            end.with_sender(sender, answer.keep_alive_ms)
        };
        (head, body, end)
    }
}
