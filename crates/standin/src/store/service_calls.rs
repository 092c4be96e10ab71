//! The calls of the gateway.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json as json_value};
use tokio::time::Instant;

use super::wire::{
    LeaseRequest, LeaseResponse, Operation, OperationResponse, PutRequest, RangeRequest,
    StreamLine, TxnRequest, WatchRequest,
};
use super::{State, Store, watching};
use crate::server::{Answer, StandIn, TookEffect, json};

const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

#[async_trait]
impl StandIn for Store {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let body = match Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes(),
            Err(error) => return bad_request(&error.to_string()),
        };
        match path.as_str() {
            "/v3/kv/range" => self.range(parse(&body)).await,
            "/v3/kv/put" => self.single(parse(&body).map(Operation::Put)).await,
            "/v3/kv/deleterange" => self.single(parse(&body).map(Operation::Delete)).await,
            "/v3/kv/txn" => self.txn(parse(&body)).await,
            "/v3/lease/grant" => self.lease(parse(&body), grant).await,
            "/v3/lease/keepalive" => self.lease(parse(&body), keep_alive).await,
            "/v3/lease/revoke" => self.lease(parse(&body), revoke).await,
            "/v3/watch" => self.watch(parse(&body)).await,
            _ => Ok(json(StatusCode::NOT_FOUND, &error_body("Not Found"))),
        }
    }

    async fn counters(&self) -> Value {
        json_value!(self.asked())
    }
}

impl Store {
    async fn range(&self, request: Result<RangeRequest, String>) -> Answer {
        let request = match request {
            Ok(request) => request,
            Err(error) => return bad_request(&error),
        };
        self.wait_to_read().await;
        let mut state = self.lock();
        state.data.end_leases(Instant::now());
        Ok(json(StatusCode::OK, &state.data.range(&request)))
    }

    /// A write of one operation, which answers with the operation's own response.
    async fn single(&self, operation: Result<Operation, String>) -> Answer {
        let operation = match operation {
            Ok(operation) => operation,
            Err(error) => return bad_request(&error),
        };
        if !self.fits(&operation) {
            return bad_request("etcdserver: request is too large");
        }
        self.wait_to_write().await;
        let request = TxnRequest {
            success: vec![operation],
            ..TxnRequest::default()
        };
        let mut response = self.write(&request);
        Ok(written(match response.responses.pop() {
            Some(OperationResponse::Put(put)) => json(StatusCode::OK, &put),
            Some(OperationResponse::Delete(delete)) => json(StatusCode::OK, &delete),
            _ => json(StatusCode::OK, &response),
        }))
    }

    async fn txn(&self, request: Result<TxnRequest, String>) -> Answer {
        let request = match request {
            Ok(request) => request,
            Err(error) => return bad_request(&error),
        };
        if !request
            .success
            .iter()
            .chain(&request.failure)
            .all(|operation| self.fits(operation))
        {
            return bad_request("etcdserver: request is too large");
        }
        self.wait_to_write().await;
        let response = self.write(&request);
        let answer = json(StatusCode::OK, &response);
        Ok(if response.succeeded {
            written(answer)
        } else {
            answer
        })
    }

    fn write(&self, request: &TxnRequest) -> super::wire::TxnResponse {
        let mut state = self.lock();
        state.data.end_leases(Instant::now());
        let response = state.data.txn(request);
        self.revision.send_replace(response.header.revision);
        response
    }

    async fn lease(
        &self,
        request: Result<LeaseRequest, String>,
        call: fn(&mut State, &LeaseRequest) -> Value,
    ) -> Answer {
        let request = match request {
            Ok(request) => request,
            Err(error) => return bad_request(&error),
        };
        self.wait_to_write().await;
        let mut state = self.lock();
        state.counters.lease_calls += 1;
        state.data.end_leases(Instant::now());
        let answer = call(&mut state, &request);
        self.revision.send_replace(state.data.header().revision);
        Ok(json(StatusCode::OK, &answer))
    }

    async fn watch(self: Arc<Self>, request: Result<WatchRequest, String>) -> Answer {
        match request {
            Err(error) => bad_request(&error),
            Ok(request) => {
                self.lock().counters.watches += 1;
                Ok(watching::stream(self, request.create_request))
            }
        }
    }

    fn fits(&self, operation: &Operation) -> bool {
        match operation {
            Operation::Put(PutRequest { value, .. }) => {
                value.len() <= self.settings.max_value_bytes
            }
            _ => true,
        }
    }

    async fn wait_to_read(&self) {
        let turn = {
            let mut state = self.lock();
            state.counters.reads += 1;
            state.reads.take(Instant::now())
        };
        self.wait_until(turn).await;
    }

    async fn wait_to_write(&self) {
        let turn = {
            let mut state = self.lock();
            state.counters.writes += 1;
            state.writes.take(Instant::now())
        };
        self.wait_until(turn).await;
    }

    async fn wait_until(&self, turn: Instant) {
        let call = Duration::from_millis(self.settings.call_ms);
        tokio::time::sleep_until(turn + call.mul_f64(self.faults.slow_factor())).await;
    }
}

fn grant(state: &mut State, request: &LeaseRequest) -> Value {
    let id = state
        .data
        .grant_lease(request.id, request.ttl_s, Instant::now());
    json_value!(lease_response(state, id, request.ttl_s))
}

fn keep_alive(state: &mut State, request: &LeaseRequest) -> Value {
    let ttl_s = state.data.keep_lease(request.id, Instant::now());
    let result = lease_response(state, request.id, ttl_s);
    json_value!(StreamLine { result })
}

fn revoke(state: &mut State, request: &LeaseRequest) -> Value {
    state.data.revoke_lease(request.id);
    json_value!({ "header": state.data.header() })
}

fn lease_response(state: &State, id: i64, ttl_s: i64) -> LeaseResponse {
    LeaseResponse {
        header: state.data.header(),
        id,
        ttl_s,
    }
}

fn written(
    mut response: hyper::Response<crate::server::AnswerBody>,
) -> hyper::Response<crate::server::AnswerBody> {
    response.extensions_mut().insert(TookEffect);
    response
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

fn bad_request(message: &str) -> Answer {
    Ok(json(StatusCode::BAD_REQUEST, &error_body(message)))
}

fn error_body(message: &str) -> Value {
    json_value!({ "error": message, "code": 3, "message": message })
}
