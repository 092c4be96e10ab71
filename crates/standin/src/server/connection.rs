//! One connection, with the faults applied to its requests.

use std::sync::{Arc, OnceLock};

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::{Answer, PEER_HEADER, StandIn, TookEffect, drop_connection, not_run};
use crate::fault::FaultState;

/// Serves one connection until it ends, its peer is cut off, or `stop` is cancelled.
pub(super) async fn serve<T: StandIn>(
    stream: TcpStream,
    target: Arc<T>,
    faults: Arc<FaultState>,
    stop: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let peer = Arc::new(OnceLock::new());
    let service = service_fn(|request| {
        note_peer(&peer, &request);
        answer(Arc::clone(&target), Arc::clone(&faults), request)
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = cut_off(&peer, &faults) => {}
        () = stop.cancelled() => {}
    }
}

fn note_peer(peer: &OnceLock<String>, request: &Request<Incoming>) {
    let name = request.headers().get(PEER_HEADER);
    if let Some(name) = name.and_then(|name| name.to_str().ok()) {
        let _ = peer.set(name.to_owned());
    }
}

async fn cut_off(peer: &OnceLock<String>, faults: &FaultState) {
    faults.cut_off(peer).await;
}

async fn answer<T: StandIn>(
    target: Arc<T>,
    faults: Arc<FaultState>,
    request: Request<Incoming>,
) -> Answer {
    faults.running().await;
    let peer = request
        .headers()
        .get(PEER_HEADER)
        .and_then(|name| name.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    if faults.cuts(&peer) {
        return Err(drop_connection("the peer is cut off"));
    }
    if faults.is_refusing() {
        return Ok(not_run("refusing every request"));
    }
    let response = target.handle(request).await?;
    tokio::time::sleep(faults.answer_delay()).await;
    faults.running().await;
    let took_effect = response.extensions().get::<TookEffect>().is_some();
    if took_effect && faults.take_lost_answer() {
        return Err(drop_connection("the answer is lost"));
    }
    Ok(response)
}
