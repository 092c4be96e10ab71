//! Routes requests by method and path.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::Method;
use monsoonspread_model::{Refusal, RefusalReason, ServiceName};

use super::{Api, Exchange, Filter, Step};

/// Operation requested by method and path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// Liveness check.
    Health,
    /// Readiness check.
    Ready,
    /// List of adapters that the caller may use.
    Models,
    /// Generation request.
    Generate(Api),
    /// Call of a plain service.
    ServiceCall {
        /// Name of the service.
        service: ServiceName,
        /// Name of the call.
        call: Arc<str>,
    },
}

impl Route {
    /// Returns the route for a path, or `None` if the path is unknown.
    ///
    /// ```
    /// # use monsoonspread_entry::filter::Route;
    /// assert_eq!(Route::of("/v1/models"), Some(Route::Models));
    /// assert_eq!(Route::of("/v2"), None);
    /// ```
    pub fn of(path: &str) -> Option<Self> {
        if let Some(rest) = path.strip_prefix("/v1/services/") {
            let (service, call) = rest.split_once('/')?;
            let well_formed = !service.is_empty() && !call.is_empty() && !call.contains('/');
            return well_formed.then(|| Self::ServiceCall {
                service: service.into(),
                call: call.into(),
            });
        }
        match path {
            "/healthz" => Some(Self::Health),
            "/readyz" => Some(Self::Ready),
            "/v1/models" => Some(Self::Models),
            "/v1/chat/completions" => Some(Self::Generate(Api::Chat)),
            "/v1/completions" => Some(Self::Generate(Api::Completions)),
            _ => None,
        }
    }

    /// Returns the HTTP method of the route; `HEAD` is accepted in place of `GET`.
    pub fn method(&self) -> &'static str {
        match self {
            Self::Health | Self::Ready | Self::Models => "GET",
            Self::Generate(_) | Self::ServiceCall { .. } => "POST",
        }
    }
}

/// Sets the route; refuses unknown paths and unsupported methods.
#[derive(Default)]
pub struct RouteFilter;

impl RouteFilter {
    /// Creates the filter.
    pub fn new() -> Self {
        Self
    }
}

#[async_trait]
impl Filter for RouteFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let path = exchange.head.uri.path();
        exchange.route = Route::of(path).ok_or_else(|| {
            Refusal::not_run(
                RefusalReason::NotFound,
                format!("path \"{path}\" is not known"),
            )
        })?;
        let method = &exchange.head.method;
        let allowed = exchange.route.method();
        let matches = method.as_str() == allowed || (allowed == "GET" && method == Method::HEAD);
        if !matches {
            let message = format!("path \"{path}\" takes method {allowed}, not {method}");
            return Err(Refusal::not_run(RefusalReason::MethodNotAllowed, message));
        }
        Ok(Step::Next)
    }
}
