//! Runs the filters on a request in order and sends the response.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use hyper::body::{Body, Incoming};
use hyper::header::{ALLOW, CONNECTION, EXPECT, HeaderName, HeaderValue};
use hyper::{Request, Response};
use monsoonspread_model::{InstanceName, Refusal, RefusalReason, UnixMs};
use tokio::sync::watch;

use super::read_body::discard;
use super::{Exchange, Filter, Step};
use crate::bundle_view::BundleView;
use crate::event::Event;
use crate::http::{self, ResponseBody};
use crate::metrics::Metrics;

/// Response header with the name of the instance.
const INSTANCE_HEADER: HeaderName = HeaderName::from_static("x-monsoonspread-instance");
/// Response header with the bundle version.
const BUNDLE_HEADER: HeaderName = HeaderName::from_static("x-monsoonspread-bundle");

/// Filters that are applied to every request, in order.
pub struct Chain {
    instance: InstanceName,
    bundle: watch::Receiver<Arc<BundleView>>,
    metrics: Metrics,
    filters: Vec<Box<dyn Filter>>,
}

impl Chain {
    /// Creates a chain without filters.
    pub fn new(
        instance: InstanceName,
        bundle: watch::Receiver<Arc<BundleView>>,
        metrics: Metrics,
    ) -> Self {
        Self {
            instance,
            bundle,
            metrics,
            filters: Vec::new(),
        }
    }

    /// Appends a filter.
    #[must_use]
    pub fn with_filter(mut self, filter: impl Filter + 'static) -> Self {
        self.filters.push(Box::new(filter));
        self
    }

    async fn apply_filters(
        &self,
        exchange: &mut Exchange,
    ) -> Result<Response<ResponseBody>, Refusal> {
        for filter in &self.filters {
            if let Step::Answer(response) = filter.apply(exchange).await? {
                return Ok(response);
            }
        }
        let path = exchange.head.uri.path();
        let message = format!("nothing answers path \"{path}\"");
        Err(Refusal::not_run(RefusalReason::NotFound, message))
    }

    async fn refuse(&self, exchange: &mut Exchange, refusal: &Refusal) -> Response<ResponseBody> {
        self.metrics.on_refusal(refusal);
        if refusal.reason.status() < 500 {
            Event::BadRequest {
                address: exchange.peer,
                reason: refusal.reason,
                message: &refusal.message,
            }
            .log();
        }
        let expects_continue = exchange.head.headers.contains_key(EXPECT);
        let timed_out = refusal.reason == RefusalReason::RequestTimeout;
        if let Some(incoming) = &mut exchange.incoming
            && !expects_continue
            && !timed_out
        {
            discard(incoming).await;
        }
        let mut response = http::refusal(UnixMs::now(), refusal);
        let headers = response.headers_mut();
        if refusal.reason == RefusalReason::MethodNotAllowed {
            let method = HeaderValue::from_static(exchange.route.method());
            headers.insert(ALLOW, method);
        }
        let body_consumed = exchange.incoming.as_ref().is_none_or(Body::is_end_stream);
        if !body_consumed {
            // Unread bytes of the body remain on the connection, so it can't be reused.
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

#[async_trait]
impl http::Service for Chain {
    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<ResponseBody> {
        let bundle = Arc::clone(&self.bundle.borrow());
        let version = bundle.bundle().version;
        let mut exchange = Exchange::new(request, peer, bundle);
        let outcome = self.apply_filters(&mut exchange).await;
        let mut response = match outcome {
            Ok(response) => response,
            Err(refusal) => self.refuse(&mut exchange, &refusal).await,
        };
        let headers = response.headers_mut();
        if let Ok(instance) = HeaderValue::from_str(self.instance.as_str()) {
            headers.insert(INSTANCE_HEADER, instance);
        }
        headers.insert(BUNDLE_HEADER, HeaderValue::from(version.0));
        response
    }
}
