//! Connections of callers and operators, which end once their peer sends bytes that come to nothing.

use crate::held_answers::CallerReader;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use socket2::SockRef;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes that a peer may send without progress, as a multiple of the read buffer: before the head of a request
/// is complete, or as framing that carries no part of its body. What is read ahead fits the buffer.
const BUFFERS_WITHOUT_PROGRESS: usize = 2;

/// The bytes that have come on a connection since a request last made progress.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicU64>);

/// A connection that fails once its peer has sent too much without progress.
#[derive(Debug)]
pub struct InboundStream {
    stream: TcpStream,
    progress: Progress,
    /// The most bytes without progress.
    limit: u64,
    /// What is held for the peer; `None` where nothing is counted.
    reader: Option<Arc<CallerReader>>,
}

/// The body of a request, each part of which is progress.
#[derive(Debug)]
pub struct InboundBody {
    body: Incoming,
    progress: Progress,
}

impl Progress {
    /// The head of a request, or a part of its body, has arrived.
    pub fn record(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

impl InboundStream {
    /// Wraps a connection that is read with a buffer of this many bytes; `progress` is to be told of what
    /// arrives on it.
    pub fn new(stream: TcpStream, buffer_bytes: usize, progress: Progress) -> Self {
        let limit = (buffer_bytes * BUFFERS_WITHOUT_PROGRESS) as u64;
        Self { stream, progress, limit, reader: None }
    }

    /// Tells `reader` of what the peer takes. The connection is reset if that is ended.
    pub fn read_by(mut self, reader: Arc<CallerReader>) -> Self {
        self.reader = Some(reader);
        self
    }

    /// The most that the kernel holds of what was written, with what it needs to manage it.
    fn send_buffer_bytes(&self) -> usize {
        SockRef::from(&self.stream).send_buffer_size().unwrap_or_else(|error| {
            log::debug!("the size of a connection's send buffer is not known: {error}");
            0
        })
    }

    fn written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Some(reader) = &self.reader {
            reader.record_write(&written, || self.send_buffer_bytes());
        }
        written
    }
}

impl InboundBody {
    /// Wraps the body of a request that came on the connection with this progress.
    pub fn new(body: Incoming, progress: Progress) -> Self {
        progress.record();
        Self { body, progress }
    }
}

impl Drop for InboundStream {
    fn drop(&mut self) {
        if self.reader.as_ref().is_some_and(|reader| reader.is_ended())
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::debug!("a connection's unsent bytes may stay for a while: {error}");
        }
    }
}

impl AsyncRead for InboundStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.progress.0.load(Ordering::Relaxed) >= self.limit {
            return Poll::Ready(Err(io::Error::other("bytes without end that are no request")));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let count = (buffer.filled().len() - filled) as u64;
        self.progress.0.fetch_add(count, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InboundStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Body for InboundBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(_))) = &polled {
            self.progress.record();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
