//! Reading JSON from an HTTP listener.

use std::net::SocketAddr;

use http_body_util::{BodyExt, Empty};
use hyper::Uri;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

/// Reads JSON; what can't be read is absent.
#[derive(Clone, Debug)]
pub struct JsonReader {
    http: HttpClient<HttpConnector, Empty<Bytes>>,
}

impl Default for JsonReader {
    fn default() -> Self {
        Self::new()
    }
}

impl JsonReader {
    /// A reader with no open connections.
    pub fn new() -> Self {
        Self {
            http: HttpClient::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Reads `path` of the listener at `address`.
    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let uri: Uri = format!("http://{address}{path}").parse().ok()?;
        let response = self.http.get(uri).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }
}
