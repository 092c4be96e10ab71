//! Metrics and state dump, off the way of requests.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::shared::Shared;

/// Answers `/metrics` and `/dump`.
pub async fn serve_metrics(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let shared = Rc::clone(&shared);
        let service = service_fn(move |request| answer(Rc::clone(&shared), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // Whoever asked sees the broken connection.
            let _ = connection.await;
        });
    }
}

async fn answer(
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let text = match request.uri().path() {
        "/metrics" => Some(shared.metrics.text()),
        "/dump" => serde_json::to_string_pretty(&shared.holding.dump()).ok(),
        _ => None,
    };
    let status = if text.is_some() {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    };
    let mut response = Response::new(Full::new(Bytes::from(text.unwrap_or_default())));
    *response.status_mut() = status;
    Ok(response)
}
