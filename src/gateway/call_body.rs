//! Reading the body of a call. The bodies of all calls together take bounded room.

use super::GatewayError;
use crate::backend::{ByteBudget, ByteShare};
use crate::inbound::InboundBody;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Instant;

/// The whole body of a call, which counts towards the room for bodies until it is dropped.
#[derive(Debug, Clone)]
pub struct CallBody {
    /// The body.
    pub bytes: Bytes,
    _share: Arc<ByteShare>,
}

impl CallBody {
    /// Reads a body of at most `limit` bytes until `deadline`.
    ///
    /// # Errors
    /// If it is too large or too slow, breaks off, or there is no room for it.
    pub async fn read(
        body: InboundBody,
        limit: usize,
        budget: &Arc<ByteBudget>,
        deadline: Instant,
    ) -> Result<Self, GatewayError> {
        if body.size_hint().lower() > limit as u64 {
            return Err(GatewayError::TooLarge(limit));
        }
        let read = Self::read_whole(body, limit, budget.share());
        let read = tokio::time::timeout_at(deadline.into(), read).await;
        read.unwrap_or(Err(GatewayError::TooSlow))
    }

    async fn read_whole(
        mut body: InboundBody,
        limit: usize,
        mut share: ByteShare,
    ) -> Result<Self, GatewayError> {
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| GatewayError::Malformed(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if whole.len() + data.len() > limit {
                return Err(GatewayError::TooLarge(limit));
            }
            whole.extend_from_slice(&data);
            if !share.resize(whole.capacity()) {
                return Err(GatewayError::NoRoom);
            }
        }
        Ok(Self { bytes: whole.freeze(), _share: Arc::new(share) })
    }
}
