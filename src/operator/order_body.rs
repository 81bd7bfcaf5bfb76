use crate::backend::ByteShare;
use crate::inbound::InboundBody;
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use std::time::Duration;
use thiserror::Error;

/// Maximum size of the body of a request.
const MAX_BODY_BYTES: usize = 16 << 20;
/// How long an operator may take to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the body of an operator's request is not read to its end. Nothing of the request has been done.
#[derive(Debug, Error)]
pub enum OrderBodyError {
    /// It is larger than any order may be.
    #[error("the request body exceeds the limit of {MAX_BODY_BYTES} bytes; send less at once")]
    TooLarge,
    /// It did not arrive in time.
    #[error("the request body was not received within {} s; check the connection and send it again", BODY_TIMEOUT.as_secs())]
    TooSlow,
    /// The bodies of other requests take all the room that there is.
    #[error("the bodies of other requests take all the room; send it again, here or to another VM")]
    NoRoom,
    /// The connection failed, or what came is no body.
    #[error("cannot read the request body: {0}")]
    Broken(#[from] hyper::Error),
}

impl OrderBodyError {
    /// The HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads the body of an operator's request to its end. Its bytes count towards `share`.
///
/// # Errors
/// If it is too large or too slow, breaks off, or there is no room for it.
pub async fn read_order(body: InboundBody, share: &mut ByteShare) -> Result<Bytes, OrderBodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(OrderBodyError::TooLarge);
    }
    let read = tokio::time::timeout(BODY_TIMEOUT, read_whole(body, share)).await;
    read.unwrap_or(Err(OrderBodyError::TooSlow))
}

async fn read_whole(mut body: InboundBody, share: &mut ByteShare) -> Result<Bytes, OrderBodyError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if whole.len() + data.len() > MAX_BODY_BYTES {
            return Err(OrderBodyError::TooLarge);
        }
        whole.extend_from_slice(&data);
        if !share.resize(whole.capacity()) {
            return Err(OrderBodyError::NoRoom);
        }
    }
    Ok(whole.freeze())
}
