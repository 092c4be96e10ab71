//! A small HTTP client for requests to entry instances.

mod reply;
mod sse;

use std::net::SocketAddr;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

pub use reply::Reply;
pub use sse::{SseEvent, events_of};

/// Why a request got no answer.
pub type ClientError = Box<dyn std::error::Error + Send + Sync>;

/// Sends requests with one API key.
#[derive(Clone, Debug)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
    key: String,
}

impl Client {
    /// A client with an API key.
    pub fn new(key: &str) -> Self {
        Self {
            http: HyperClient::builder(TokioExecutor::new()).build_http(),
            key: key.to_owned(),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn send(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Reply, ClientError> {
        let response = self.open(method, address, path, headers, body).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply::new(&head, &body))
    }

    /// Sends a request and returns as soon as the headers of the answer are there.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn open(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Response<Incoming>, ClientError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.key));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
        Ok(self.http.request(request).await?)
    }

    /// Posts a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
    ) -> Result<Reply, ClientError> {
        self.send("POST", address, path, &[], &body.to_string())
            .await
    }

    /// Reads a path.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, ClientError> {
        self.send("GET", address, path, &[], "").await
    }
}
