//! The weight store of another process.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Uri;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::{FetchError, WeightSource};

/// Fetches by `GET /weights/{adapter}`.
#[derive(Clone, Debug)]
pub struct HttpWeights {
    client: Client<HttpConnector, Empty<Bytes>>,
    address: SocketAddr,
}

impl HttpWeights {
    /// A client of the weight store at `address`.
    ///
    /// ```
    /// # use monsoonspread_standin::weights::HttpWeights;
    /// let weights = HttpWeights::new("127.0.0.1:9300".parse().unwrap());
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
        }
    }
}

#[async_trait]
impl WeightSource for HttpWeights {
    async fn fetch(&self, adapter: &str) -> Result<(), FetchError> {
        let uri = format!("http://{}/weights/{adapter}", self.address)
            .parse::<Uri>()
            .map_err(|error| FetchError(error.to_string()))?;
        let response = self
            .client
            .get(uri)
            .await
            .map_err(|error| FetchError(error.to_string()))?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(FetchError(format!("status {}", response.status().as_u16())))
        }
    }
}
