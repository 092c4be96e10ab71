//! Event streams that another engine resumes when theirs fails.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use monsoonspread_decisions::answer_end::EndVerdict;
use monsoonspread_decisions::event_splitter::EventSplitter;
use tokio::time::{Instant, timeout_at};

use super::RelayBody;
use super::answer::AnswerEnd;
use super::body::BodyError;
use super::body_kind::is_event_stream;
use super::forward::{ends_by, may_still_forward};
use super::model_call::ModelCall;
use super::stopping::unless_stopping;
use super::upstream_answer::UpstreamAnswer;

/// Forwards whole events only, and resumes on another engine after a failure.
///
/// The response head and its signature are those of the first engine.
pub(super) fn resumable(call: ModelCall, answer: UpstreamAnswer) -> Response<RelayBody> {
    let (mut head, segment) = Segment::new(&call, answer);
    super::headers::remove_hop_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let resumable = Resumable {
        ends_by: ends_by(&call.shared, &call.request),
        call,
        segment: Some(segment),
        splitter: EventSplitter::new(),
    };
    let events = stream::unfold(resumable, |mut stream| async move {
        let next = stream.next().await?;
        if next.is_err() {
            // The HTTP server sends what it has before the error, on which it closes the connection.
            tokio::task::yield_now().await;
        }
        Some((next, stream))
    });
    Response::from_parts(head, RelayBody::Events(Box::pin(events)))
}

/// The part of a stream that one engine serves.
struct Segment {
    body: Incoming,
    end: AnswerEnd,
}

impl Segment {
    fn new(call: &ModelCall, answer: UpstreamAnswer) -> (hyper::http::response::Parts, Self) {
        let (head, body, end) = answer.split(&call.request);
        (head, Self { body, end })
    }
}

struct Resumable {
    call: ModelCall,
    /// `None` after the end of the stream.
    segment: Option<Segment>,
    ends_by: Instant,
    splitter: EventSplitter,
}

impl Resumable {
    /// Returns the next whole events; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let segment = self.segment.as_mut()?;
            let frame = timeout_at(self.ends_by, segment.body.frame()).await;
            let frame = frame.ok().filter(|_| may_still_forward(self.ends_by));
            let Some(frame) = frame else {
                segment.end.on_aborted("deadline");
                self.segment = None;
                return Some(Err(BodyError::TooLate));
            };
            match frame {
                Some(Ok(frame)) => {
                    segment.end.on_bytes();
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    match self.splitter.push(&bytes) {
                        Ok(whole) if whole.is_empty() => {}
                        Ok(whole) => return Some(Ok(whole.into())),
                        Err(error) => {
                            segment.end.on_aborted("unusable events");
                            self.segment = None;
                            if let Err(error) =
                                self.resume(BodyError::Upstream(error.to_string())).await
                            {
                                return Some(Err(error));
                            }
                        }
                    }
                }
                None => {
                    let position = Some(self.splitter.position());
                    let is_complete = match segment.end.on_bytes_ended(position) {
                        EndVerdict::Complete => true,
                        EndVerdict::BrokenOff => false,
                        EndVerdict::Unconfirmed => {
                            let evidence = segment.end.check_end().await;
                            segment.end.on_end_checked(evidence)
                        }
                    };
                    self.segment = None;
                    if is_complete {
                        return None;
                    }
                    if let Err(error) = self.resume(BodyError::Unfinished).await {
                        return Some(Err(error));
                    }
                }
                Some(Err(error)) => {
                    segment.end.on_upstream_disconnected();
                    self.segment = None;
                    if let Err(error) = self.resume(BodyError::Upstream(error.to_string())).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Finds an engine that resumes after the last whole event.
    async fn resume(&mut self, why: BodyError) -> Result<(), BodyError> {
        self.splitter.resume();
        let resume_after = self
            .splitter
            .last_id()
            .or(self.call.request.head.resume_after);
        loop {
            self.call.on_stream_broken();
            if !self.call.may_run_again() {
                return Err(why);
            }
            let (shared, runs) = (Rc::clone(&self.call.shared), self.call.request.runs.clone());
            let next = self.call.next_engine(resume_after);
            let Some(Some(answer)) = unless_stopping(&shared, &runs, next).await else {
                return Err(why);
            };
            let (head, mut segment) = Segment::new(&self.call, answer);
            if is_event_stream(&self.call.request, head.status, &head.headers) {
                self.segment = Some(segment);
                return Ok(());
            }
            segment.end.on_aborted("not the rest of the stream");
        }
    }
}
