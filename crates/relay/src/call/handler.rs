//! Entry point of client requests: routing, validation and dispatch.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use monsoonspread_decisions::rate_limit::HandoverWait;
use monsoonspread_decisions::route_table::pick_service;

use super::admission::admit;
use super::charge::charge;
use super::client_body::{self, read_body};
use super::request::RelayRequest;
use super::{RelayBody, model_call, refusal, service_call, suspect};
use crate::event::{Line, kind};
use crate::shared::Shared;

/// `Retry-After` while no configuration has been loaded yet, in milliseconds.
const NO_CONFIG_RETRY_MS: u64 = 500;

/// `Retry-After` while stopping, in milliseconds: clients can go to another instance at once.
const STOPPING_RETRY_MS: u64 = 0;

/// Answers a client's request.
pub async fn handle(shared: Rc<Shared>, request: Request<Incoming>) -> Response<RelayBody> {
    let mut response = route(&shared, request).await;
    if shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn route(shared: &Rc<Shared>, request: Request<Incoming>) -> Response<RelayBody> {
    let arrived_at = shared.now();
    if let Some(refusal) = refused_while_stopping(shared) {
        return refusal;
    }
    let routes = shared.fleet.borrow().routes().cloned();
    let Some(routes) = routes else {
        return refusal::not_run(NO_CONFIG_RETRY_MS);
    };
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or("");
    let Some(route) = routes.find(host, parts.uri.path()).cloned() else {
        shared.metrics.count("calls", "no_route");
        return refusal::plain(StatusCode::NOT_FOUND);
    };
    let head = match shared.borders.dialect.read_call(&parts.headers) {
        Ok(head) => head,
        Err(error) => {
            Line::new(&kind::CALL_REFUSED)
                .field("route", &route.name)
                .field("error", error)
                .log();
            return refusal::plain(StatusCode::BAD_REQUEST);
        }
    };
    let caller = match admit(shared, &routes, &route, &head) {
        Ok(caller) => caller,
        Err(refusal) => return *refusal,
    };
    let wait = HandoverWait::new(arrived_at, route.objective_ms);
    let charge = match charge(shared, &caller, &head, wait).await {
        Ok(charge) => charge,
        Err(refusal) => return *refusal,
    };
    let max_body_bytes = routes.config().limits.max_body_bytes;
    let body = match read_body(shared, body, max_body_bytes).await {
        Ok(body) => body,
        Err(failure) => return client_body::refused(shared, failure),
    };
    // The body may have taken until late in the grace period.
    if let Some(refusal) = refused_while_stopping(shared) {
        return refusal;
    }
    let Some(service) = pick_service(&route, &head.request_id).cloned() else {
        return refusal::not_run(NO_CONFIG_RETRY_MS);
    };
    let listed = routes.config().service(&service);
    let engine = listed.is_some_and(|service| service.engine.is_some());
    let identity_path = listed.map(|listed| shared.borders.dialect.identity_path(listed));
    let request = RelayRequest::new(parts, body, head, caller, route, service, arrived_at)
        .with_identity_path(identity_path)
        .with_charge(charge);
    if let Some(refusal) = suspect::refused(shared, &request) {
        return refusal;
    }
    shared.retries.earn(&request.service);
    if engine {
        model_call::relay(shared, request).await
    } else {
        service_call::relay(shared, request).await
    }
}

/// Returns the response to a request that might not complete before a planned stop ends; `None` if it may run.
fn refused_while_stopping(shared: &Shared) -> Option<Response<RelayBody>> {
    shared.rejects_requests().then(|| {
        shared.metrics.count("calls", "stopping");
        refusal::not_run(STOPPING_RETRY_MS)
    })
}
