use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Permission to send to a backend server, which may be revoked at any time.
pub trait WritePermit: Send + Sync {
    /// Runs one non-blocking write if it is permitted now. Returns false if it was not permitted,
    /// or no longer permitted when the write had ended.
    fn run_if_permitted(&self, write: &mut dyn FnMut()) -> bool;
}

/// The most bytes that a server may send without progress: before the head of its response is
/// complete, or as framing that carries no part of the body.
const MAX_BYTES_WITHOUT_PROGRESS: u64 = 128 << 10;

/// The state of the exchange that a connection is used for: its permit, the bytes written, and those
/// read since the response last made progress.
#[derive(Default)]
pub struct ExchangeState {
    permit: Mutex<Option<Arc<dyn WritePermit>>>,
    bytes_written: AtomicU64,
    bytes_since_progress: AtomicU64,
}

impl ExchangeState {
    /// Starts an exchange. Without a permit, writes are not checked.
    pub fn start(&self, permit: Option<Arc<dyn WritePermit>>) {
        *self.permit.lock().expect("permit lock") = permit;
        self.bytes_written.store(0, Ordering::SeqCst);
        self.record_progress();
    }

    /// The head of the response or a part of its body has arrived.
    pub fn record_progress(&self) {
        self.bytes_since_progress.store(0, Ordering::SeqCst);
    }

    /// Whether more may be read; false if the server sends without end but nothing of a response.
    fn may_read(&self) -> bool {
        self.bytes_since_progress.load(Ordering::SeqCst) < MAX_BYTES_WITHOUT_PROGRESS
    }

    /// Bytes that were written to the socket since the exchange started.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::SeqCst)
    }

    fn write_if_permitted<F>(&self, mut write: F) -> Poll<io::Result<usize>>
    where
        F: FnMut() -> Poll<io::Result<usize>>,
    {
        let permit = self.permit.lock().expect("permit lock").clone();
        let mut outcome = Poll::Pending;
        let mut counted_write = || {
            outcome = write();
            if let Poll::Ready(Ok(bytes)) = &outcome {
                self.bytes_written.fetch_add(*bytes as u64, Ordering::SeqCst);
            }
        };
        let Some(permit) = permit else {
            counted_write();
            return outcome;
        };
        match permit.run_if_permitted(&mut counted_write) {
            true => outcome,
            // The error closes the connection, which cancels a call that may have arrived.
            false => Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
    }
}

/// A connection to a backend server that checks a permit around every write. A process that was
/// suspended between the check and the write closes the connection as soon as it resumes.
pub struct PermitCheckedStream {
    stream: TcpStream,
    exchange: Arc<ExchangeState>,
}

impl PermitCheckedStream {
    /// Wraps a TCP connection; `exchange` holds the permit and counts the bytes written.
    pub fn new(stream: TcpStream, exchange: Arc<ExchangeState>) -> Self {
        Self { stream, exchange }
    }
}

impl AsyncRead for PermitCheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.exchange.may_read() {
            return Poll::Ready(Err(io::Error::other(
                "the server sends bytes that are no part of a response",
            )));
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let count = (buffer.filled().len() - filled) as u64;
        self.exchange.bytes_since_progress.fetch_add(count, Ordering::SeqCst);
        read
    }
}

impl AsyncWrite for PermitCheckedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, exchange } = self.get_mut();
        exchange.write_if_permitted(|| Pin::new(&mut *stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, exchange } = self.get_mut();
        exchange.write_if_permitted(|| Pin::new(&mut *stream).poll_write_vectored(cx, parts))
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
