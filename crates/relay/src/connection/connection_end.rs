//! How the connection of a request ended.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::net::TcpStream;

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
    InUse,
    /// The request was not sent in full.
    Failed,
    /// The upstream closed the connection; the socket is kept, as a reset may follow.
    Closed(TcpStream),
}

impl ConnectionEnd {
    /// A request is about to be sent.
    pub(super) fn on_request(&self) {
        self.state.replace(State::InUse);
    }

    /// The request could not be sent in full.
    pub(super) fn on_failed(&self) {
        if !matches!(*self.state.borrow(), State::Ignored) {
            self.state.replace(State::Failed);
        }
    }

    /// The connection ended; `stream` is closed unless the end is of interest.
    pub(super) fn on_closed(&self, stream: TcpStream) {
        if matches!(*self.state.borrow(), State::InUse) {
            self.state.replace(State::Closed(stream));
        }
    }

    /// The answer marks its end by itself.
    pub fn ignore(&self) {
        self.state.replace(State::Ignored);
    }

    /// Whether the upstream closed the connection after it had read the request, as far as is known by now.
    pub fn is_regular(&self) -> bool {
        match &*self.state.borrow() {
            State::Closed(stream) => matches!(stream.take_error(), Ok(None)),
            State::Ignored | State::InUse | State::Failed => false,
        }
    }
}
