//! A connection to an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

use super::ConnectionEnd;
use super::head_limit::{HeadLimit, LimitedStream};

/// Connect timeout, in milliseconds: a connection normally takes 1, and a lost packet is
/// retransmitted after 200 to 1,000.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Size of a connection's buffer, in bytes, to a client or an upstream: a machine's memory allows for four on
/// each of the connections that it may have open.
pub const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Why a request got no answer.
#[derive(Debug, Display, Error)]
pub enum SendFailure {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request may have arrived but its answer was lost: {0}
    AnswerLost(String),
}

/// A connection to an upstream, for one request at a time.
#[derive(Debug)]
pub struct UpstreamSender {
    sender: SendRequest<Full<Bytes>>,
    head_limit: HeadLimit,
    end: ConnectionEnd,
}

impl UpstreamSender {
    /// Connects to an upstream.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if no connection is established in time.
    pub async fn connect(address: SocketAddr) -> Result<Self, SendFailure> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| SendFailure::NotSent(format!("no connection to {address} in time")))?
            .map_err(|error| SendFailure::NotSent(error.to_string()))?;
        Self::over(stream).await
    }

    /// Uses an established connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NotSent`] if the connection can't be used.
    pub async fn over(stream: TcpStream) -> Result<Self, SendFailure> {
        stream
            .set_nodelay(true)
            .map_err(|error| SendFailure::NotSent(error.to_string()))?;
        let head_limit = HeadLimit::default();
        let stream = LimitedStream::new(stream, head_limit.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendFailure::NotSent(error.to_string()))?;
        let end = ConnectionEnd::default();
        let ended = end.clone();
        tokio::task::spawn_local(async move {
            match connection.without_shutdown().await {
                Ok(parts) => {
                    let stream = parts.io.into_inner();
                    match stream.has_unwritten() {
                        true => ended.on_failed(),
                        false => ended.on_closed(stream.into_inner()),
                    }
                }
                // The error is also returned to the request on this connection.
                Err(_) => ended.on_failed(),
            }
        });
        Ok(Self {
            sender,
            head_limit,
            end,
        })
    }

    /// Returns how the connection ends, if it does with the answer to the last request.
    pub fn end(&self) -> ConnectionEnd {
        self.end.clone()
    }

    /// Whether a request may be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`], whose variant shows whether the request may have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.head_limit.on_request();
        self.end.on_request(request.body().size_hint().lower());
        let answered = self.sender.try_send_request(request).await;
        self.head_limit.on_head();
        answered.map_err(|mut failed| {
            let never_written = failed.take_message().is_some();
            let why = failed.into_error().to_string();
            if never_written {
                SendFailure::NotSent(why)
            } else {
                SendFailure::AnswerLost(why)
            }
        })
    }
}
