use super::Connections;
use crate::name::{RequestId, TaskKind, VersionKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An answer that is to be rated.
#[derive(Debug, Clone, Serialize)]
pub struct Rating {
    /// The request.
    pub request: RequestId,
    /// The version that answered.
    pub version: VersionKey,
    /// The kind of task.
    pub kind: TaskKind,
    /// The caller's prompt, as JSON text.
    pub prompt: String,
    /// The answer's text.
    pub answer: String,
}

/// Asks the rating service for an answer's quality, from 0 to 1; `None` where it does not say.
pub async fn rate(connections: &Connections, address: SocketAddr, rating: &Rating) -> Option<f64> {
    #[derive(Deserialize)]
    struct Rated {
        quality: f64,
    }
    let body = serde_json::to_vec(rating).expect("ratings always serialise");
    let bytes = connections.post(address, "/v1/rate", body.into()).await?;
    let rated = serde_json::from_slice::<Rated>(&bytes).ok()?;
    (0.0..=1.0).contains(&rated.quality).then_some(rated.quality)
}
