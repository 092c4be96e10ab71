//! HTTP listener for operators: `GET /dump` returns the state, `POST /drain` starts a planned
//! stop.

use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::dump::Dumper;

/// Maximum number of simultaneous operator connections.
const MAX_CONNECTIONS: usize = 32;

/// HTTP server for operators.
pub struct OperatorsListener {
    dumper: Arc<Dumper>,
    drain_requested: CancellationToken,
}

impl OperatorsListener {
    /// Creates a listener that serves dumps of `dumper` and cancels `drain_requested` on
    /// `POST /drain`.
    pub fn new(dumper: Dumper, drain_requested: CancellationToken) -> Self {
        Self {
            dumper: Arc::new(dumper),
            drain_requested,
        }
    }

    /// Serves connections until the future is dropped.
    pub async fn run(self, listener: TcpListener) {
        let Ok(acceptor) = TcpAcceptor::try_from(listener) else {
            return;
        };
        let router = Router::new()
            .push(Router::with_path("dump").get(DumpHandler(self.dumper)))
            .push(Router::with_path("drain").post(DrainHandler(self.drain_requested)));
        let server = Server::new(acceptor).max_connections(MAX_CONNECTIONS);
        let _ = server.try_serve(router).await;
    }
}

struct DumpHandler(Arc<Dumper>);

#[async_trait]
impl Handler for DumpHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        response.render(Json(self.0.dump().await));
    }
}

struct DrainHandler(CancellationToken);

#[async_trait]
impl Handler for DrainHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        self.0.cancel();
        response.status_code(StatusCode::ACCEPTED);
        response.render(Json(json!({ "state": "draining" })));
    }
}
