//! Streams that another engine goes on with when theirs breaks.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use monsoonspread_decisions::event_splitter::EventSplitter;
use tokio::time::{Instant, timeout_at};

use super::RelayBody;
use super::answer::AnswerEnd;
use super::body::BodyError;
use super::model_call::ModelCall;
use super::pass_on::{ends_by, is_delivered};
use super::run::Run;

/// Passes on whole events, and those of the next engine after a break.
///
/// The head and its signature are those of the first engine.
pub(super) fn resumable(call: ModelCall, run: Run) -> Response<RelayBody> {
    let (mut head, source) = Source::new(run);
    super::headers::remove_hop_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let resumable = Resumable {
        ends_by: ends_by(&call.shared, &call.request),
        call,
        source: Some(source),
        cut: EventSplitter::new(),
    };
    let events = stream::unfold(resumable, |mut stream| async move {
        let next = stream.next().await?;
        Some((next, stream))
    });
    Response::from_parts(head, RelayBody::Events(Box::pin(events)))
}

/// One engine's part of a stream.
struct Source {
    body: Incoming,
    end: AnswerEnd,
}

impl Source {
    fn new(run: Run) -> (hyper::http::response::Parts, Self) {
        let (head, body, end) = run.split();
        (head, Self { body, end })
    }
}

struct Resumable {
    call: ModelCall,
    /// `None` after the end.
    source: Option<Source>,
    ends_by: Instant,
    cut: EventSplitter,
}

impl Resumable {
    /// The next whole events; `None` after the last.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let source = self.source.as_mut()?;
            let frame = timeout_at(self.ends_by, source.body.frame()).await;
            let frame = frame.ok().filter(|_| is_delivered(self.ends_by));
            let Some(frame) = frame else {
                source.end.on_broken("deadline");
                self.source = None;
                return Some(Err(BodyError::TooLate));
            };
            match frame {
                Some(Ok(frame)) => {
                    source.end.on_bytes();
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    match self.cut.push(&bytes) {
                        Ok(whole) if whole.is_empty() => {}
                        Ok(whole) => return Some(Ok(whole.into())),
                        Err(error) => {
                            source.end.on_broken("event without end");
                            self.source = None;
                            if let Err(error) = self.go_on(error.to_string()).await {
                                return Some(Err(error));
                            }
                        }
                    }
                }
                None => {
                    source.end.on_complete();
                    self.source = None;
                    let rest = self.cut.take_rest();
                    return (!rest.is_empty()).then(|| Ok(rest.into()));
                }
                Some(Err(error)) => {
                    source.end.on_broken_off();
                    self.source = None;
                    if let Err(error) = self.go_on(error.to_string()).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Finds an engine that goes on after the last whole event.
    async fn go_on(&mut self, why: String) -> Result<(), BodyError> {
        self.cut.drop_partial();
        self.call.on_broken();
        if !self.call.may_run_again() {
            return Err(BodyError::Upstream(why));
        }
        let resume_after = self.cut.last_id().or(self.call.request.head.resume_after);
        let run = self.call.next_engine(resume_after).await;
        match run.filter(|run| run.answered.response.status().is_success()) {
            Some(run) => {
                self.source = Some(Source::new(run).1);
                Ok(())
            }
            None => Err(BodyError::Upstream(why)),
        }
    }
}
