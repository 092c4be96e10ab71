//! HTTP client of plain services.

use std::net::SocketAddr;

use async_trait::async_trait;
use hyper::header::CONTENT_TYPE;

use super::{Service, ServiceError, ServiceReply};
use crate::http::{HttpClient, Reply, SendError};

/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Makes calls by `POST /calls/{call}`; sends each at most once.
#[derive(Clone, Debug)]
pub struct HttpService {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpService {
    /// Creates a client of the server at `address`.
    ///
    /// ```
    /// # use monsoonspread_borders::service::HttpService;
    /// let service = HttpService::new("127.0.0.1:9100".parse().unwrap());
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(),
            address,
        }
    }

    /// Sends `name` as the calling instance in every request.
    ///
    /// ```
    /// # use monsoonspread_borders::service::HttpService;
    /// let client = HttpService::new("127.0.0.1:9100".parse().unwrap());
    /// let client = client.with_peer_name("entry-1");
    /// ```
    #[must_use]
    pub fn with_peer_name(mut self, name: &str) -> Self {
        self.client = self.client.with_peer_name(name);
        self
    }
}

#[async_trait]
impl Service for HttpService {
    async fn call(
        &self,
        call: &str,
        body: &[u8],
        idempotency_key: Option<&str>,
        timeout_ms: u64,
    ) -> Result<ServiceReply, ServiceError> {
        let path = format!("/calls/{call}");
        let mut request = self.client.post_json(self.address, &path);
        if let Some(key) = idempotency_key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, key);
        }
        let reply = self
            .client
            .send(request, body.to_vec(), timeout_ms)
            .await
            .map_err(|error| match error {
                SendError::NotSent(text) => ServiceError::Unreachable(text),
                SendError::AnswerLost(text) => ServiceError::AnswerLost(text),
            })?;
        if reply.reports_not_run() {
            return Err(ServiceError::NotRun(reply.summary()));
        }
        Ok(service_reply(reply))
    }
}

fn service_reply(reply: Reply) -> ServiceReply {
    let content_type = reply
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or(DEFAULT_CONTENT_TYPE)
        .to_owned();
    ServiceReply {
        status: reply.status.as_u16(),
        content_type,
        body: reply.body.to_vec(),
    }
}
