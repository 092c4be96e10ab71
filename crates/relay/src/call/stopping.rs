//! Requests that still wait for an upstream late in a planned stop.

use std::future::Future;

use hyper::{Response, StatusCode};

use super::runs::Runs;
use super::{RelayBody, refusal};
use crate::event::{Line, kind};
use crate::shared::Shared;

/// `Retry-After` while stopping, in milliseconds: clients can go to another instance at once.
const RETRY_MS: u64 = 0;

/// Returns the response to a request that might not complete before a planned stop ends; `None` if it may run.
pub(super) fn refused_at_arrival(shared: &Shared) -> Option<Response<RelayBody>> {
    shared.rejects_requests().then(|| {
        shared.metrics.count("calls", "stopping");
        refusal::not_run(RETRY_MS)
    })
}

/// Waits for `result`; returns `None` once a planned stop leaves no time to wait on, unless an attempt is under way.
pub(super) async fn unless_stopping<T>(
    shared: &Shared,
    runs: &Runs,
    result: impl Future<Output = T>,
) -> Option<T> {
    let no_time_left = async {
        shared.last_start().await;
        runs.settled().await;
    };
    tokio::select! {
        biased;
        result = result => Some(result),
        () = no_time_left => None,
    }
}

/// Returns the response to the request `id` that waited until a planned stop left it no time.
pub(super) fn given_up(shared: &Shared, runs: &Runs, id: &str) -> Response<RelayBody> {
    let may_have_run = runs.may_have_run();
    shared.metrics.count("calls", "stopping");
    Line::new(&kind::CALL_REFUSED)
        .field("id", id)
        .field("reason", "the instance stops")
        .field("may_have_run", may_have_run)
        .field("retry_ms", RETRY_MS)
        .log();
    match may_have_run {
        true => refusal::plain(StatusCode::BAD_GATEWAY),
        false => refusal::not_run(RETRY_MS),
    }
}
