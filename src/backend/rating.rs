use super::ConnectionPool;
use crate::name::{RequestId, TaskKind, VersionKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An answer to be rated, as it is posted to the rating service.
#[derive(Debug, Clone, Serialize)]
pub struct RatingRequest {
    /// The request that was answered.
    pub request: RequestId,
    /// The version that answered.
    pub version: VersionKey,
    /// The kind of task that the caller declared.
    pub kind: TaskKind,
    /// The caller's prompt, as JSON text.
    pub prompt: String,
    /// The text of the answer.
    pub answer: String,
}

/// Asks the rating service for the quality of an answer, from 0 to 1; `None` if the service does
/// not answer or its rating is out of range.
pub async fn request_rating(
    connections: &ConnectionPool,
    address: SocketAddr,
    rating: &RatingRequest,
) -> Option<f64> {
    #[derive(Deserialize)]
    struct RatingResponse {
        quality: f64,
    }
    let body = serde_json::to_vec(rating).expect("rating requests always serialise");
    let bytes = connections.post(address, "/v1/rate", body.into()).await?;
    let response = serde_json::from_slice::<RatingResponse>(&bytes).ok()?;
    (0.0..=1.0).contains(&response.quality).then_some(response.quality)
}
