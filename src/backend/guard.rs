use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Leave to send to a backend server. It may be withdrawn at any time.
pub trait Permit: Send + Sync {
    /// Runs one write that does not block, if that is allowed now. False where it was not, or was
    /// no longer when the write ended.
    fn hold(&self, write: &mut dyn FnMut()) -> bool;
}

/// The permit of the exchange that a connection is used for, and what that exchange has written.
#[derive(Default)]
pub struct Guard {
    permit: Mutex<Option<Arc<dyn Permit>>>,
    written: AtomicU64,
}

impl Guard {
    /// Begins an exchange; without a permit nothing is asked.
    pub fn begin(&self, permit: Option<Arc<dyn Permit>>) {
        *self.permit.lock().expect("permit lock") = permit;
        self.written.store(0, Ordering::SeqCst);
    }

    /// Bytes of the exchange that have left this process.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::SeqCst)
    }

    fn write<F>(&self, mut write: F) -> Poll<io::Result<usize>>
    where
        F: FnMut() -> Poll<io::Result<usize>>,
    {
        let permit = self.permit.lock().expect("permit lock").clone();
        let mut outcome = Poll::Pending;
        let mut counted = || {
            outcome = write();
            if let Poll::Ready(Ok(bytes)) = &outcome {
                self.written.fetch_add(*bytes as u64, Ordering::SeqCst);
            }
        };
        let Some(permit) = permit else {
            counted();
            return outcome;
        };
        match permit.hold(&mut counted) {
            true => outcome,
            // The error ends the connection, and with it the call that may have arrived.
            false => Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
    }
}

/// A connection to a backend server that asks for leave around every write: a process that was
/// frozen between the question and the write breaks the connection off as soon as it goes on.
pub struct GuardedStream {
    stream: TcpStream,
    guard: Arc<Guard>,
}

impl GuardedStream {
    /// Puts a guard before a connection.
    pub fn open(stream: TcpStream, guard: Arc<Guard>) -> Self {
        Self { stream, guard }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, guard } = self.get_mut();
        guard.write(|| Pin::new(&mut *stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, guard } = self.get_mut();
        guard.write(|| Pin::new(&mut *stream).poll_write_vectored(cx, parts))
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
