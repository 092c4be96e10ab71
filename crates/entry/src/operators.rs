//! The operators' listener: state dump and planned stop.

use std::sync::Arc;

use salvo::conn::tcp::TcpAcceptor;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::dump::Dumper;

/// Connections of operators at a time.
const MAX_CONNECTIONS: usize = 32;

/// Serves operators.
pub struct OperatorsListener {
    dumper: Arc<Dumper>,
    drain_asked: CancellationToken,
}

impl OperatorsListener {
    /// Serves `dumper`; `drain_asked` is cancelled when a planned stop is asked for.
    pub fn new(dumper: Dumper, drain_asked: CancellationToken) -> Self {
        Self {
            dumper: Arc::new(dumper),
            drain_asked,
        }
    }

    /// Serves until it is dropped.
    pub async fn run(self, listener: TcpListener) {
        let Ok(acceptor) = TcpAcceptor::try_from(listener) else {
            return;
        };
        let router = Router::new()
            .push(Router::with_path("dump").get(DumpHandler(self.dumper)))
            .push(Router::with_path("drain").post(DrainHandler(self.drain_asked)));
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
