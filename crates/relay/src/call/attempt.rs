//! A single attempt to send a request to one upstream.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use monsoonspread_borders::http::is_final;
use monsoonspread_borders::relay::{AnswerHead, AnswerId, ServerLoad, UpstreamHead};
use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::UpstreamRecord;

use super::request::{RelayRequest, part_list};
use crate::connection::{PooledSender, SendFailure};
use crate::event::{Line, kind};
use crate::gossip::AnswerSource;
use crate::shared::Shared;
use crate::suspects::InFlightRequest;

/// An upstream's answer whose head has been received.
pub(super) struct Answered {
    pub(super) response: Response<Incoming>,
    pub(super) answer: AnswerHead,
    pub(super) sender: PooledSender,
    pub(super) in_flight: InFlightRequest,
}

/// Outcome of an attempt.
pub(super) enum Attempt {
    /// The upstream answered this request.
    Answered(Box<Answered>),
    /// The upstream is known not to have run the request, and never will.
    NotRun {
        /// The upstream lacks the adapter or model, or another upstream now has its address.
        misdirected: bool,
        /// Load of the upstream, if it answered and reports one.
        load: Option<ServerLoad>,
    },
    /// Not sent, because the request is suspected or quarantined, its key admits it no longer, or the process stops.
    Withheld,
    /// The upstream may have run the request.
    Unknown,
    /// No answer arrived in time.
    TooLate,
}

/// Per-attempt parameters added to the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptOptions {
    pub(super) rank: Option<u8>,
    pub(super) adapter_version: Option<u64>,
    pub(super) resume_after: Option<u64>,
    /// When the attempt times out.
    pub(super) times_out_at: UnixMs,
}

/// Sends `request` to `upstream` and waits for the head of the answer.
pub(super) async fn attempt(
    shared: &Rc<Shared>,
    request: &RelayRequest,
    upstream: &UpstreamRecord,
    options: AttemptOptions,
) -> Attempt {
    if !shared.may_start()
        || !super::suspect::may_be_sent(shared, request)
        || !super::admission::may_be_sent(shared, request)
    {
        return Attempt::Withheld;
    }
    let run = request.runs.begin();
    let mut in_flight = InFlightRequest::new(
        shared,
        request.fingerprint,
        &request.suspect_parts,
        upstream,
    );
    let charge = request.charge.as_deref();
    charge.inspect(|charge| charge.on_sent());
    let sent_at = shared.now();
    let wait_ms = options.times_out_at.ms_since(sent_at);
    let sent = tokio::time::timeout(
        Duration::from_millis(wait_ms),
        exchange(shared, request, upstream, options),
    );
    let sent = sent.await;
    in_flight.on_outcome();
    let outcome = match sent {
        Err(_) => {
            in_flight.on_no_answer();
            Attempt::TooLate
        }
        Ok(Err(SendFailure::NotSent(why))) => {
            log_failure(request, upstream, "not sent", &why);
            run.on_not_run();
            charge.inspect(|charge| charge.on_not_run());
            return Attempt::NotRun {
                misdirected: false,
                load: None,
            };
        }
        Ok(Err(SendFailure::AnswerLost(why))) => {
            log_failure(request, upstream, "answer lost", &why);
            in_flight.on_break();
            return Attempt::Unknown;
        }
        Ok(Ok(None)) => {
            run.on_not_run();
            return Attempt::Withheld;
        }
        Ok(Ok(Some((response, sender)))) => {
            classify_answer(shared, request, sent_at, response, sender, in_flight)
        }
    };
    if matches!(outcome, Attempt::NotRun { .. }) {
        run.on_not_run();
        charge.inspect(|charge| charge.on_not_run());
    }
    match &outcome {
        Attempt::Answered(_) | Attempt::Withheld => {}
        Attempt::NotRun {
            misdirected: true, ..
        } => log_failure(request, upstream, "misdirected", ""),
        Attempt::NotRun { load, .. } => {
            let load = load.map_or(String::new(), load_text);
            log_failure(request, upstream, "not run", &load);
        }
        Attempt::Unknown => log_failure(request, upstream, "not its answer", ""),
        Attempt::TooLate => log_failure(request, upstream, "too late", ""),
    }
    outcome
}

/// Returns the head of the answer; `None` if the request's key ceased to admit it while a connection was opened.
async fn exchange(
    shared: &Shared,
    request: &RelayRequest,
    upstream: &UpstreamRecord,
    options: AttemptOptions,
) -> Result<Option<(Response<Incoming>, PooledSender)>, SendFailure> {
    let repeatable = request.route.repeat.may_run_again();
    let mut sender = shared.pool.take(upstream.address, repeatable).await?;
    if !super::admission::may_be_sent(shared, request) {
        sender.return_to_pool(None);
        return Ok(None);
    }
    let message = build_message(shared, request, upstream, options)
        .map_err(|error| SendFailure::NotSent(error.to_string()))?;
    let response = sender.sender.send(message).await?;
    Ok(Some((response, sender)))
}

fn build_message(
    shared: &Shared,
    request: &RelayRequest,
    upstream: &UpstreamRecord,
    options: AttemptOptions,
) -> Result<Request<Full<bytes::Bytes>>, hyper::http::Error> {
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(path)
        .body(Full::new(request.body.clone()))?;
    let mut headers = request.headers.clone();
    let head = UpstreamHead {
        upstream: &upstream.name,
        caller: request.caller.mark(),
        remaining_ms: request.deadline.ms_since(shared.now()),
        rank: options.rank,
        adapter_version: options.adapter_version,
        resume_after: options.resume_after.or(request.head.resume_after),
    };
    shared.borders.dialect.write_call(&mut headers, &head);
    *message.headers_mut() = headers;
    Ok(message)
}

fn classify_answer(
    shared: &Rc<Shared>,
    request: &RelayRequest,
    sent_at: UnixMs,
    response: Response<Incoming>,
    sender: PooledSender,
    in_flight: InFlightRequest,
) -> Attempt {
    let status = response.status();
    let dialect = &shared.borders.dialect;
    let answer = dialect.read_answer(status, response.headers(), &request.head.request_id);
    let names_request = match answer.request_id {
        AnswerId::Same => true,
        AnswerId::Other => false,
        // On a kept connection, an answer that names no request may be an earlier one, sent again.
        AnswerId::Absent => !status.is_success() && !sender.was_used,
    };
    let is_answer = names_request && is_final(status);
    if is_answer {
        let id = &request.head.request_id;
        shared.on_announcement(
            AnswerSource::Request { id, sent_at },
            &in_flight.upstream.name,
            in_flight.upstream.started_unix_ms,
            &answer.announcement,
        );
    }
    if !is_answer || (status.is_success() && !answer.signed) {
        return Attempt::Unknown;
    }
    if answer.not_run {
        let misdirected = answer.misdirected;
        let load = answer.load;
        return Attempt::NotRun { misdirected, load };
    }
    Attempt::Answered(Box::new(Answered {
        response,
        answer,
        sender,
        in_flight,
    }))
}

fn load_text(load: ServerLoad) -> String {
    let places = load.places.unwrap_or(0);
    format!(
        "{} running, {} waiting, {places} places",
        load.running, load.waiting
    )
}

fn log_failure(request: &RelayRequest, upstream: &UpstreamRecord, outcome: &str, why: &str) {
    Line::new(&kind::ATTEMPT_FAILED)
        .field("id", &request.head.request_id)
        .field("upstream", &upstream.name)
        .field("outcome", outcome)
        .field("error", why)
        .field("fingerprint", request.fingerprint)
        .field("parts", part_list(&request.head.prompt_parts))
        .log();
}
