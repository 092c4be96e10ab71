//! The platform's readiness checks.

use hyper::{Request, Response, StatusCode};

use crate::call::RelayBody;
use crate::shared::Shared;

/// Answers a request on the listener for readiness checks, which serves nothing else.
pub(super) fn answer_check<B>(shared: &Shared, request: &Request<B>) -> Response<RelayBody> {
    let dialect = &shared.borders.dialect;
    let is_check = dialect.is_readiness(request.method(), request.uri());
    let mut response = Response::new(RelayBody::Whole(None));
    *response.status_mut() = match (is_check, shared.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
