//! The control listener: switches faults and shows counters from outside the process.

mod controlled;
mod list_change;

pub use controlled::Controlled;
pub use list_change::ListChange;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Map, Value, json as json_value};

use crate::fault::{Fault, FaultState};
use crate::instances::Instances;
use crate::server::{Answer, AnswerBody, Running, StandIn, empty, json};

const MAX_BODY_BYTES: usize = 64 * 1024;
const COUNTERS_TIMEOUT: Duration = Duration::from_millis(500);

/// The control listener of a process.
///
/// `GET /` names what runs here, `GET /counters` shows all counters, `POST /faults/{name}`
/// switches a fault, and `POST /instances` changes the instance list.
#[derive(Debug)]
pub struct Control {
    targets: Vec<Controlled>,
    instances: Option<Arc<Instances>>,
}

impl Control {
    /// Controls `targets` and, when it runs here, the instance list.
    ///
    /// ```
    /// # use monsoonspread_standin::control::Control;
    /// let control = Control::new(Vec::new(), None);
    /// ```
    pub fn new(targets: Vec<Controlled>, instances: Option<Arc<Instances>>) -> Self {
        Self { targets, instances }
    }

    /// Listens at `address`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::LOOPBACK;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use monsoonspread_standin::control::Control;
    /// let control = Control::new(Vec::new(), None).start_at(LOOPBACK).await.unwrap();
    /// assert!(control.address().ip().is_loopback());
    /// # });
    /// ```
    pub async fn start_at(self, address: SocketAddr) -> io::Result<Running<Self>> {
        let faults = Arc::new(FaultState::new(Duration::ZERO));
        Running::start(self, faults, address).await
    }

    fn switch(&self, name: &str, body: &[u8]) -> Response<AnswerBody> {
        let Some(target) = self.targets.iter().find(|target| target.name() == name) else {
            return error(
                StatusCode::NOT_FOUND,
                &format!("no stand-in \"{name}\" here"),
            );
        };
        match serde_json::from_slice::<Fault>(body) {
            Err(why) => error(StatusCode::BAD_REQUEST, &why.to_string()),
            Ok(fault) => {
                target.apply(fault);
                json(StatusCode::OK, &json_value!({ "switched": name }))
            }
        }
    }

    fn change_list(&self, body: &[u8]) -> Response<AnswerBody> {
        let Some(instances) = &self.instances else {
            return error(StatusCode::NOT_FOUND, "the instance list does not run here");
        };
        match serde_json::from_slice::<ListChange>(body) {
            Err(why) => error(StatusCode::BAD_REQUEST, &why.to_string()),
            Ok(change) => {
                change.apply(instances);
                json(StatusCode::OK, &json_value!({ "changed": true }))
            }
        }
    }

    fn names(&self) -> Value {
        self.targets
            .iter()
            .map(|target| json_value!({ "name": target.name(), "address": target.address() }))
            .collect()
    }
}

#[async_trait]
impl StandIn for Control {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_or(Bytes::new(), |body| body.to_bytes());
        let answer = match (&head.method, head.uri.path()) {
            (&Method::GET, "/") => json(StatusCode::OK, &self.names()),
            (&Method::GET, "/counters") => json(StatusCode::OK, &self.counters().await),
            (&Method::POST, "/instances") => self.change_list(&body),
            (&Method::POST, path) => match path.strip_prefix("/faults/") {
                Some(name) => self.switch(name, &body),
                None => empty(StatusCode::NOT_FOUND),
            },
            _ => empty(StatusCode::NOT_FOUND),
        };
        Ok(answer)
    }

    async fn counters(&self) -> Value {
        let mut all = Map::new();
        for target in &self.targets {
            let counters = tokio::time::timeout(COUNTERS_TIMEOUT, target.counters());
            // A paused stand-in does not answer and shows null.
            let counters = counters.await.unwrap_or_default();
            all.insert(target.name().to_owned(), counters);
        }
        Value::Object(all)
    }
}

fn error(status: StatusCode, message: &str) -> Response<AnswerBody> {
    json(status, &json_value!({ "error": message }))
}
