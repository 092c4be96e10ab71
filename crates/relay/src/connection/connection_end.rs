//! How the connection of a request ended.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

use super::socket_state::SocketState;

/// Length of a request's body, in bytes, from which an upstream may answer before it has read it: shorter ones arrive
/// with the head, in the window that a connection begins with.
const LONG_BODY_BYTES: u64 = 64 * 1024;
/// Time in which an upstream that has ended a connection closes its socket, in milliseconds: both are steps of one
/// function, and a busy upstream may be interrupted between them.
const RESET_WITHIN_MS: u64 = 100;

/// How the connection of a request ended, for an answer that ends with its connection.
///
/// An upstream that closes a connection before it has read the request resets it, also after its last byte arrived.
#[derive(Clone, Debug, Default)]
pub struct ConnectionEnd {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
enum State {
    /// The end tells nothing about an answer.
    #[default]
    Ignored,
    /// A request is sent or its answer read.
    InUse { has_long_body: bool },
    /// The request was not sent in full.
    Failed,
    /// The upstream closed the connection; the socket is kept, as a reset may follow.
    Closed {
        stream: TcpStream,
        reset_by: Instant,
    },
}

impl ConnectionEnd {
    /// A request with a body of `body_bytes` is about to be sent.
    pub(super) fn on_request(&self, body_bytes: u64) {
        let has_long_body = body_bytes > LONG_BODY_BYTES;
        self.state.replace(State::InUse { has_long_body });
    }

    /// The request could not be sent in full.
    pub(super) fn on_failed(&self) {
        if !matches!(*self.state.borrow(), State::Ignored) {
            self.state.replace(State::Failed);
        }
    }

    /// The connection ended; `stream` is closed unless the end is of interest.
    pub(super) fn on_closed(&self, stream: TcpStream) {
        let State::InUse { has_long_body } = *self.state.borrow() else {
            return;
        };
        let reset_within_ms = if has_long_body { RESET_WITHIN_MS } else { 0 };
        let reset_by = Instant::now() + Duration::from_millis(reset_within_ms);
        self.state.replace(State::Closed { stream, reset_by });
    }

    /// The answer marks its end by itself.
    pub fn ignore(&self) {
        self.state.replace(State::Ignored);
    }

    /// Whether the upstream closed the connection after it had read the request, as far as the socket tells once a reset
    /// would have followed.
    pub async fn is_regular(&self) -> bool {
        let reset_by = match &*self.state.borrow() {
            State::Closed { stream, reset_by } if SocketState::of(stream) != SocketState::Reset => {
                *reset_by
            }
            _ => return false,
        };
        sleep_until(reset_by).await;
        match &*self.state.borrow() {
            State::Closed { stream, .. } => SocketState::of(stream) == SocketState::Drained,
            State::Ignored | State::InUse { .. } | State::Failed => false,
        }
    }
}
