//! An HTTP client without automatic retries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

use super::{BodyPace, PEER_HEADER, PacedError, Reply, SendError};

const CONNECT_TIMEOUT_MS: u64 = 300;
const IDLE_TIMEOUT_MS: u64 = 20_000;
/// Default limit for the size of an answer in bytes; fits the answer of a store with the records
/// of a whole fleet.
pub(crate) const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP/1.1 client with pooled connections that sends each request at most once.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    peer_name: Option<HeaderValue>,
    max_reply_bytes: usize,
}

impl HttpClient {
    /// Creates a client without open connections.
    ///
    /// ```
    /// # use monsoonspread_borders::http::HttpClient;
    /// let client = HttpClient::new();
    /// ```
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            peer_name: None,
            max_reply_bytes: MAX_REPLY_BYTES,
        }
    }

    /// Sends `name` as the calling instance in every request; a name that is not a valid header
    /// value is not sent.
    ///
    /// ```
    /// # use monsoonspread_borders::http::HttpClient;
    /// let client = HttpClient::new().with_peer_name("entry-1");
    /// ```
    #[must_use]
    pub fn with_peer_name(mut self, name: &str) -> Self {
        self.peer_name = HeaderValue::from_str(name).ok();
        self
    }

    /// Limits the size of answers; longer ones count as lost.
    ///
    /// ```
    /// # use monsoonspread_borders::http::HttpClient;
    /// let client = HttpClient::new().with_max_reply_bytes(1_024);
    /// ```
    #[must_use]
    pub fn with_max_reply_bytes(mut self, bytes: usize) -> Self {
        self.max_reply_bytes = bytes;
        self
    }

    /// Sends a GET request for `path` to `address`.
    ///
    /// # Errors
    ///
    /// Fails if no answer is received; an answer with any status is `Ok`.
    ///
    /// ```
    /// # use monsoonspread_borders::http::HttpClient;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let nobody = "127.0.0.1:1".parse().unwrap();
    /// assert!(HttpClient::new().get(nobody, "/dump", 1_000).await.is_err());
    /// # });
    /// ```
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<Reply, SendError> {
        let request = self.request("GET", address, path);
        self.send(request, "", timeout_ms).await
    }

    /// Like [`Self::get`], for answers of very different sizes: beyond `timeout_ms`, an answer may take as long
    /// as `pace` allows for its bytes.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::get`], and with [`PacedError::CutShort`] if the answer began in time and did not end so.
    pub async fn get_paced(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
        pace: BodyPace,
    ) -> Result<Reply, PacedError> {
        let started_at = Instant::now();
        let request = self.request("GET", address, path);
        let response = self.start(request, "", timeout_ms).await?;
        let (head, mut body) = response.into_parts();
        let mut bytes = BytesMut::new();
        loop {
            let ms = pace.max_ms(timeout_ms, bytes.len());
            let ends_by = started_at + Duration::from_millis(ms);
            let frame = tokio::time::timeout_at(ends_by, body.frame())
                .await
                .map_err(|_| PacedError::CutShort {
                    bytes: bytes.len(),
                    ms,
                })?;
            match frame {
                None => break,
                Some(Err(error)) => return Err(SendError::AnswerLost(error.to_string()).into()),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    if bytes.len() + data.len() > self.max_reply_bytes {
                        let ms = started_at.elapsed().as_millis() as u64;
                        return Err(PacedError::CutShort {
                            bytes: bytes.len() + data.len(),
                            ms,
                        });
                    }
                    bytes.extend_from_slice(&data);
                }
            }
        }
        Ok(Reply {
            status: head.status,
            headers: head.headers,
            body: bytes.freeze(),
        })
    }

    /// Builds a request to `path` at `address` with the headers common to all requests.
    pub fn request(&self, method: &str, address: SocketAddr, path: &str) -> request::Builder {
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        match &self.peer_name {
            None => builder,
            Some(name) => builder.header(PEER_HEADER, name),
        }
    }

    /// Builds a POST request with a JSON content type.
    pub fn post_json(&self, address: SocketAddr, path: &str) -> request::Builder {
        self.request("POST", address, path)
            .header(CONTENT_TYPE, "application/json")
    }

    /// Sends a request and waits for the headers of the answer.
    pub(crate) async fn start(
        &self,
        builder: request::Builder,
        body: impl Into<Bytes>,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>, SendError> {
        let request = builder
            .body(Full::new(body.into()))
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let answer = self.client.request(request);
        let response = tokio::time::timeout(Duration::from_millis(timeout_ms), answer)
            .await
            .map_err(|_| timed_out(timeout_ms))?
            .map_err(SendError::from)?;
        let status = response.status();
        if !is_final(status) {
            let problem = format!("status {} ends no request", status.as_u16());
            return Err(SendError::AnswerLost(problem));
        }
        Ok(response)
    }

    /// Sends a request and waits for the complete answer.
    pub async fn send(
        &self,
        builder: request::Builder,
        body: impl Into<Bytes>,
        timeout_ms: u64,
    ) -> Result<Reply, SendError> {
        let exchange = async {
            let response = self.start(builder, body, timeout_ms).await?;
            read_reply(response, self.max_reply_bytes).await
        };
        tokio::time::timeout(Duration::from_millis(timeout_ms), exchange)
            .await
            .map_err(|_| timed_out(timeout_ms))?
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether a status ends a request: no request asks for another protocol, and HTTP has no status above 599.
///
/// ```
/// # use hyper::StatusCode;
/// # use monsoonspread_borders::http::is_final;
/// assert!(is_final(StatusCode::OK) && is_final(StatusCode::GATEWAY_TIMEOUT));
/// assert!(!is_final(StatusCode::SWITCHING_PROTOCOLS));
/// assert!(!is_final(StatusCode::from_u16(600).unwrap()));
/// ```
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

fn timed_out(timeout_ms: u64) -> SendError {
    SendError::AnswerLost(format!("no answer within {timeout_ms} ms"))
}

/// Reads the body of an answer; fails if it is longer than `max_bytes`.
pub(crate) async fn read_reply(
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<Reply, SendError> {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(|error| SendError::AnswerLost(error.to_string()))?
        .to_bytes();
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}
