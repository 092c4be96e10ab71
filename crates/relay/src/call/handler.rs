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
use super::runs::Runs;
use super::stopping::{given_up, refused_at_arrival, unless_stopping};
use super::{RelayBody, model_call, refusal, service_call, suspect};
use crate::event::{Line, kind};
use crate::shared::Shared;

/// `Retry-After` while no configuration has been loaded yet, in milliseconds.
const NO_CONFIG_RETRY_MS: u64 = 500;

/// Answers a client's request.
pub async fn handle(shared: Rc<Shared>, request: Request<Incoming>) -> Response<RelayBody> {
    let runs = Runs::default();
    let id = shared.borders.dialect.request_id(request.headers());
    let id = id.unwrap_or_default().to_owned();
    let routed = route(&shared, request, &runs);
    let response = unless_stopping(&shared, &runs, routed).await;
    let mut response = response.unwrap_or_else(|| given_up(&shared, &runs, &id));
    if shared.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn route(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    runs: &Runs,
) -> Response<RelayBody> {
    let arrived_at = shared.now();
    if let Some(refusal) = refused_at_arrival(shared) {
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
    if let Some(refusal) = refused_at_arrival(shared) {
        return refusal;
    }
    let Some(service) = pick_service(&route, &head.request_id).cloned() else {
        return refusal::not_run(NO_CONFIG_RETRY_MS);
    };
    let listed = routes.config().service(&service);
    let engine = listed.is_some_and(|service| service.engine.is_some());
    let identity_path = listed.map(|listed| shared.borders.dialect.identity_path(listed));
    let request = RelayRequest::new(parts, body, head, caller, route, service, arrived_at)
        .with_runs(runs.clone())
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
