//! Whether an upstream's process runs on after it closed the connection of an answer without framing.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};
use monsoonspread_borders::http::is_final;
use monsoonspread_borders::relay::{AnsweredBy, IdentityRequest};
use monsoonspread_decisions::answer_end::ProcessEvidence;
use monsoonspread_model::fleet::UpstreamRecord;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

use crate::connection::UpstreamSender;
use crate::shared::Shared;

/// Maximum duration of a check, in milliseconds: a lost packet is sent again within it.
const CHECK_TIMEOUT_MS: u64 = 1_000;
/// Maximum time to connect, in milliseconds: many round trips to another zone.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Minimum time between the starts of two tries, in milliseconds.
const TRY_INTERVAL_MS: u64 = 50;
/// Maximum size of an answer, in bytes: enough for a report of some thousand runs.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Asks the upstream at the address in `record` which process it is.
///
/// The connection is a new one: whatever arrives on it was sent after the end of the answer.
pub(super) async fn process_evidence(
    shared: Rc<Shared>,
    record: UpstreamRecord,
) -> ProcessEvidence {
    let Some(request) = identity_request(&shared, &record) else {
        return ProcessEvidence::NoAnswer;
    };
    let ends_by = Instant::now() + Duration::from_millis(CHECK_TIMEOUT_MS);
    loop {
        let next_try = Instant::now() + Duration::from_millis(TRY_INTERVAL_MS);
        let tried = timeout_at(ends_by, try_once(&shared, &record, &request)).await;
        if let Ok(Some(evidence)) = tried {
            return evidence;
        }
        if next_try >= ends_by {
            return ProcessEvidence::NoAnswer;
        }
        sleep_until(next_try).await;
    }
}

/// Returns the request to send; `None` if the upstream may not be asked.
fn identity_request(shared: &Shared, record: &UpstreamRecord) -> Option<IdentityRequest> {
    let fleet = shared.fleet.borrow();
    if fleet.backoff_until(shared.now(), record).is_some() {
        return None;
    }
    let service = fleet.routes()?.config().service(&record.service)?;
    let dialect = &shared.borders.dialect;
    dialect.identity_request(&record.name, service)
}

/// Returns `None` if neither an answer nor a refusal arrives.
async fn try_once(
    shared: &Shared,
    record: &UpstreamRecord,
    identity: &IdentityRequest,
) -> Option<ProcessEvidence> {
    let connect = TcpStream::connect(record.address);
    let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await;
    let stream = match connected.ok()? {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return Some(ProcessEvidence::ConnectionRefused);
        }
        Err(_) => return None,
    };
    let mut sender = UpstreamSender::over(stream).await.ok()?;
    let answer = sender.send(message(identity, record.address)?).await.ok()?;
    if !is_final(answer.status()) {
        return None;
    }
    let (head, body) = answer.into_parts();
    let body = if identity.has_start {
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await;
        body.ok()?.to_bytes()
    } else {
        Bytes::new()
    };
    let dialect = &shared.borders.dialect;
    let answered = dialect.read_identity(&record.name, head.status, &head.headers, &body);
    Some(match answered {
        AnsweredBy::Upstream { started_unix_ms } => ProcessEvidence::Answered { started_unix_ms },
        AnsweredBy::Other => ProcessEvidence::OtherProcess,
    })
}

fn message(identity: &IdentityRequest, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let mut message = Request::new(Full::new(Bytes::new()));
    *message.uri_mut() = identity.path.parse::<Uri>().ok()?;
    *message.headers_mut() = identity.headers.clone();
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    message.headers_mut().insert(HOST, host);
    Some(message)
}
