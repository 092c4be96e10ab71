//! One check of a process.

use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Uri};
use monsoonspread_borders::http::is_final;
use monsoonspread_borders::relay::{AnsweredBy, IdentityRequest};
use monsoonspread_decisions::answer_end::ProcessEvidence;
use monsoonspread_model::fleet::UpstreamRecord;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::connection::UpstreamSender;
use crate::gossip::AnswerSource;
use crate::shared::Shared;

/// Maximum time to connect, in milliseconds: many round trips to another zone.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Maximum size of an answer, in bytes: enough for a report of some thousand runs.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Asks `upstream` which process it is; returns `None` if neither an answer nor a refusal arrives.
pub(super) async fn ask(
    shared: &Rc<Shared>,
    upstream: &UpstreamRecord,
    identity: &IdentityRequest,
) -> Option<ProcessEvidence> {
    let stream = match connect(upstream.address).await? {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return Some(ProcessEvidence::ConnectionRefused);
        }
        Err(_) => return None,
    };
    let mut sender = UpstreamSender::over(stream).await.ok()?;
    let message = message(identity, upstream.address)?;
    let answer = sender.send(message).await.ok()?;
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
    let answered = dialect.read_identity(&upstream.name, head.status, &head.headers, &body);
    Some(match answered {
        AnsweredBy::Upstream { started_unix_ms } => {
            if started_unix_ms.is_none_or(|started| started == upstream.started_unix_ms) {
                on_announcement(shared, upstream, &head);
            }
            ProcessEvidence::Answered { started_unix_ms }
        }
        AnsweredBy::Other => ProcessEvidence::OtherProcess,
    })
}

/// Whether nothing listens at `address` any more.
pub(super) async fn is_refused(address: SocketAddr) -> bool {
    let connected = connect(address).await;
    connected.is_some_and(|connected| {
        connected.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    })
}

/// Opens a connection; returns `None` if there is neither one nor a failure in time.
async fn connect(address: SocketAddr) -> Option<Result<TcpStream, Error>> {
    let connect = TcpStream::connect(address);
    let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await;
    connected.ok()
}

/// Handles what the upstream announced: it may turn a check away like any other request.
fn on_announcement(shared: &Rc<Shared>, upstream: &UpstreamRecord, head: &Parts) {
    let dialect = &shared.borders.dialect;
    let answer = dialect.read_answer(head.status, &head.headers, "");
    shared.on_announcement(
        AnswerSource::Check,
        &upstream.name,
        upstream.started_unix_ms,
        &answer.announcement,
    );
}

fn message(identity: &IdentityRequest, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let mut message = Request::new(Full::new(Bytes::new()));
    *message.uri_mut() = identity.path.parse::<Uri>().ok()?;
    *message.headers_mut() = identity.headers.clone();
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    message.headers_mut().insert(HOST, host);
    Some(message)
}
