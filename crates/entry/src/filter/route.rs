//! From method and path to what is asked for.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::Method;
use monsoonspread_model::{Refusal, RefusalReason, ServiceName};

use super::{Api, Exchange, Filter, Step};

/// What a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// Whether the process lives.
    Health,
    /// Whether it takes new requests.
    Ready,
    /// Which adapters the caller may use.
    Models,
    /// A generation.
    Generate(Api),
    /// A call of a plain service.
    ServiceCall {
        /// The service.
        service: ServiceName,
        /// The call.
        call: Arc<str>,
    },
}

impl Route {
    /// Finds the route of a path.
    ///
    /// ```
    /// # use monsoonspread_entry::filter::Route;
    /// assert_eq!(Route::of("/v1/models"), Some(Route::Models));
    /// assert_eq!(Route::of("/v2"), None);
    /// ```
    pub fn of(path: &str) -> Option<Self> {
        if let Some(rest) = path.strip_prefix("/v1/services/") {
            let (service, call) = rest.split_once('/')?;
            let whole = !service.is_empty() && !call.is_empty() && !call.contains('/');
            return whole.then(|| Self::ServiceCall {
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

    /// The one method of the route.
    pub fn method(&self) -> &'static str {
        match self {
            Self::Health | Self::Ready | Self::Models => "GET",
            Self::Generate(_) | Self::ServiceCall { .. } => "POST",
        }
    }
}

/// Refuses unknown paths and wrong methods.
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
