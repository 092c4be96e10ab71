//! Listener for metrics and the state dump.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt::Write;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use monsoonspread_decisions::announced::Announcement;
use monsoonspread_decisions::copies::CopyControlDump;
use monsoonspread_decisions::memory_budget::ConnectionKind;
use monsoonspread_decisions::quarantine::SuspectDump;
use monsoonspread_decisions::room::RoomDump;
use monsoonspread_model::{Fingerprint, UpstreamName, WorkspaceName};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::connection::MAX_BUFFER_BYTES;
use crate::guard::{GuardedBody, GuardedConnection};
use crate::limits::QuotaDump;
use crate::shared::Shared;

/// Path prefix of requests to release; the fingerprint follows.
const SUSPECTS_PATH: &str = "/suspects/";

/// Serves `GET /metrics`, `GET /dump` and `DELETE /suspects/FINGERPRINT`.
pub async fn serve_metrics(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let kind = ConnectionKind::Operator;
        let accepted = shared.guard.accept(&listener, kind, &shared.metrics).await;
        let (stream, guarded) = accepted;
        let (used, shared) = (Rc::clone(&guarded), Rc::clone(&shared));
        let service =
            service_fn(move |request| answer(Rc::clone(&shared), Rc::clone(&used), request));
        let connection = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        // The client notices the failed connection itself.
        tokio::task::spawn_local(async move { guarded.run(connection).await });
    }
}

async fn answer(
    shared: Rc<Shared>,
    guarded: Rc<GuardedConnection>,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody<Full<Bytes>>>, Infallible> {
    guarded.on_request();
    let path = request.uri().path();
    let (status, text) = match (request.method(), path.strip_prefix(SUSPECTS_PATH)) {
        (&Method::DELETE, Some(fingerprint)) => release(&shared, fingerprint),
        (&Method::GET, None) if path == "/metrics" => (StatusCode::OK, metrics(&shared)),
        (&Method::GET, None) if path == "/dump" => dump(&shared),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let body = GuardedBody::new(Full::new(Bytes::from(text)), guarded);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    Ok(response)
}

/// Returns all metrics as text, with the upstreams' rate limits and the rates at which this instance
/// issues permits for them.
fn metrics(shared: &Shared) -> String {
    let mut text = shared.metrics.text();
    let mut gauge = |name: &str, upstream: &UpstreamName, per_s: f64| {
        let upstream = label(upstream.as_str());
        let _ = writeln!(
            text,
            "monsoonspread_{name}_per_s{{upstream=\"{upstream}\"}} {per_s:.3}"
        );
    };
    for (upstream, announcement) in shared.fleet.borrow().announcements() {
        if let Some(limit) = announcement.rate_limit {
            gauge("rate_limit", &upstream, limit.per_s());
        }
    }
    for (upstream, per_s) in shared.permits.issued_rates(shared.now()) {
        gauge("permits_issued", &upstream, per_s);
    }
    if let Some(age_ms) = shared.config_age_ms() {
        let _ = writeln!(text, "monsoonspread_config_confirmed_age_ms {age_ms}");
    }
    held_for_callers(shared, &mut text);
    text
}

/// Escapes a label's value.
fn label(value: &str) -> String {
    let value = value.replace('\\', "\\\\");
    value.replace('"', "\\\"").replace('\n', "\\n")
}

/// Adds what the process holds for callers.
fn held_for_callers(shared: &Shared, text: &mut String) {
    let held_bytes = shared.guard.bodies.held_bytes();
    let _ = writeln!(text, "monsoonspread_body_bytes {held_bytes}");
    let kinds = [ConnectionKind::Caller, ConnectionKind::Peer];
    for kind in kinds {
        let (word, open) = (kind.word(), shared.guard.open_connections(kind));
        let _ = writeln!(
            text,
            "monsoonspread_open_connections{{kind=\"{word}\"}} {open}"
        );
    }
}

/// The configuration in force.
#[derive(Serialize)]
struct ConfigDump {
    version: u64,
    /// Number of workspaces.
    workspaces: usize,
    /// How long ago it was known to be the newest, in milliseconds.
    confirmed_ms_ago: Option<u64>,
    /// Whether known keys admit requests.
    vouches: bool,
}

/// State dump: configuration, held engines, suspect requests, upstreams' announcements, workspaces' quotas and kept
/// pools of servers.
#[derive(Serialize)]
struct Dump {
    configuration: Option<ConfigDump>,
    engines: BTreeMap<UpstreamName, CopyControlDump>,
    suspects: Vec<SuspectDump>,
    suspect_parts: Vec<SuspectDump>,
    #[serde(rename = "said")]
    announcements: BTreeMap<UpstreamName, Announcement>,
    /// The quotas of workspaces that sent requests here.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    quotas: BTreeMap<WorkspaceName, QuotaDump>,
    rooms: BTreeMap<String, RoomDump>,
}

fn config_dump(shared: &Shared) -> Option<ConfigDump> {
    let fleet = shared.fleet.borrow();
    let config = fleet.routes()?.config();
    Some(ConfigDump {
        version: config.version,
        workspaces: config.workspaces.len(),
        confirmed_ms_ago: shared.config_age_ms(),
        vouches: shared.config_age.borrow().vouches(shared.now()),
    })
}

fn dump(shared: &Shared) -> (StatusCode, String) {
    let dump = Dump {
        configuration: config_dump(shared),
        engines: shared.holding.dump(),
        suspects: shared.suspects.dump(shared.now()),
        suspect_parts: shared.suspects.dump_parts(shared.now()),
        announcements: shared.fleet.borrow().announcements(),
        quotas: shared.quotas.dump(shared.now()),
        rooms: shared.rooms.dump(shared.now()),
    };
    match serde_json::to_string_pretty(&dump) {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Releases a suspect request or prompt part.
fn release(shared: &Rc<Shared>, fingerprint: &str) -> (StatusCode, String) {
    let Some(known) = Fingerprint::parse(fingerprint) else {
        let problem = format!("\"{fingerprint}\" is no fingerprint of 16 hexadecimal digits\n");
        return (StatusCode::BAD_REQUEST, problem);
    };
    if shared.suspects.release(shared, known) {
        return (StatusCode::OK, format!("{known} is released\n"));
    }
    let problem = format!("nothing is held against {known}\n");
    (StatusCode::NOT_FOUND, problem)
}
