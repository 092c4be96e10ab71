//! What a socket tells of a connection that its upstream has closed.

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::net::TcpStream;

/// What a socket tells of a connection that its upstream has closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SocketState {
    /// All bytes were sent.
    Drained,
    /// Some bytes wait for room in the upstream's receive buffer.
    Backlogged,
    /// The upstream reset the connection.
    Reset,
}

impl SocketState {
    /// Asks the socket, which must be open on this side.
    pub(super) fn of(stream: &TcpStream) -> Self {
        // Makes the socket writable only while nothing is unsent; without the option, while its buffer has room.
        let _ = SockRef::from(stream).set_tcp_notsent_lowat(1);
        let mut polled = [PollFd::new(stream, PollFlags::OUT)];
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        let is_polled = poll(&mut polled, Some(&no_wait)).is_ok();
        let events = polled[0].revents();
        let is_reset = events.intersects(PollFlags::ERR | PollFlags::HUP);
        if is_reset || !matches!(stream.take_error(), Ok(None)) {
            return Self::Reset;
        }
        if is_polled && !events.contains(PollFlags::OUT) {
            return Self::Backlogged;
        }
        Self::Drained
    }
}
