use super::gathered_bytes::{GatheredBytes, NoRoom};
use super::{ByteShare, ExchangeState};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use thiserror::Error;

/// The body of a backend server's response. Each part of it that arrives counts as progress of the
/// exchange, see [`ExchangeState::record_progress`].
pub struct BackendBody {
    inner: Incoming,
    exchange: Arc<ExchangeState>,
}

impl BackendBody {
    /// Wraps the body of the response to an exchange.
    pub(super) fn new(inner: Incoming, exchange: Arc<ExchangeState>) -> Self {
        Self { inner, exchange }
    }
}

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection failed, or the body is malformed.
    #[error("the response was cut short: {0}")]
    Interrupted(#[from] hyper::Error),
    /// The body exceeds the limit for one response, in bytes.
    #[error("the response exceeds {0} bytes")]
    TooLarge(usize),
    /// This process holds too many bytes of other responses.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

impl BackendBody {
    /// Reads the body to its end: at most `limit` bytes, which count towards `share` meanwhile. One
    /// of a known length waits for all of its room before it is read: many that each held a part
    /// would wait for each other.
    ///
    /// # Errors
    /// If the body is cut short or exceeds a limit.
    pub async fn read_whole(
        &mut self,
        limit: usize,
        share: &mut ByteShare,
    ) -> Result<Bytes, BodyError> {
        let known = usize::try_from(self.inner.size_hint().lower()).unwrap_or(usize::MAX);
        if known > limit {
            return Err(BodyError::TooLarge(limit));
        }
        let mut whole = GatheredBytes::with_capacity(known, share).await?;
        while let Some(frame) = self.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            if whole.len() + data.len() > limit {
                return Err(BodyError::TooLarge(limit));
            }
            whole.push(&data).await?;
        }
        Ok(whole.finish())
    }
}

impl Body for BackendBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Self { inner, exchange } = self.get_mut();
        let polled = Pin::new(inner).poll_frame(cx);
        if let Poll::Ready(Some(Ok(_))) = &polled {
            exchange.record_progress();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
