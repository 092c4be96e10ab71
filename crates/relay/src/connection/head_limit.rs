//! Limit on what an upstream sends before the head of its answer is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size of a head and of what precedes it, mainly early hints, in bytes: about ten times
/// the size of an answer's headers.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes read at once before the head is complete; body bytes in the same chunk count towards the
/// limit.
const HEAD_CHUNK_BYTES: usize = 4 * 1024;

/// How many bytes an upstream may still send before the head of its answer is complete.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadLimit {
    /// `None` once the head is complete.
    remaining: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Starts the limit for the request that is about to be sent.
    pub(super) fn on_request(&self) {
        self.remaining.set(Some(MAX_HEAD_BYTES));
    }

    /// Lifts the limit: the head of the answer is complete.
    pub(super) fn on_head(&self) {
        self.remaining.set(None);
    }
}

/// A connection that fails when a head exceeds the limit.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
    has_unwritten: bool,
}

impl LimitedStream {
    /// Applies `limit` to heads on `stream`.
    pub(super) fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self {
            stream,
            limit,
            has_unwritten: false,
        }
    }

    /// Whether the last write was not taken in full.
    pub(super) fn has_unwritten(&self) -> bool {
        self.has_unwritten
    }

    /// Returns the stream without the limit.
    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(remaining) = self.limit.remaining.get() else {
            return Pin::new(&mut self.stream).poll_read(cx, buffer);
        };
        if remaining == 0 {
            let problem = format!("no head of an answer within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        let mut chunk = [0; HEAD_CHUNK_BYTES];
        let max = remaining.min(buffer.remaining()).min(HEAD_CHUNK_BYTES);
        let mut chunk = ReadBuf::new(&mut chunk[..max]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut chunk))?;
        buffer.put_slice(chunk.filled());
        self.limit
            .remaining
            .set(Some(remaining - chunk.filled().len()));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.has_unwritten = !is_whole(&written, bytes.len());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        let bytes = slices.iter().map(|slice| slice.len()).sum();
        self.has_unwritten = !is_whole(&written, bytes);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Whether a write took all `bytes`.
fn is_whole(written: &Poll<io::Result<usize>>, bytes: usize) -> bool {
    matches!(written, Poll::Ready(Ok(written)) if *written == bytes)
}
