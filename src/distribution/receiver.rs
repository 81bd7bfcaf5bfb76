use super::{Change, Chunk, ContentDigest, Position};
use bytes::BytesMut;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The most bytes of one transfer.
const MAX_TRANSFER_BYTES: u64 = 64 << 20;

/// Why a transfer cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TransferError {
    /// It is larger than a router may hold.
    #[error("the transfer of {0} bytes is too large")]
    TooLarge(u64),
    /// It does not consist of changes.
    #[error("the transfer cannot be decoded: {0}")]
    Malformed(String),
}

/// A router's side of a transfer: collects its chunks.
#[derive(Debug, Default)]
pub struct Receiver {
    transfer: Option<u64>,
    buffer: BytesMut,
}

impl Receiver {
    /// Where to read on, for a router with the state `base`.
    pub fn position(&self, base: ContentDigest) -> Position {
        Position { base, transfer: self.transfer, offset: self.buffer.len() as u64 }
    }

    /// Whether a part of a transfer has been received.
    pub fn is_receiving(&self) -> bool {
        self.transfer.is_some()
    }

    /// Adds a chunk, and returns the changes once the transfer is complete. A chunk that does not
    /// follow the bytes received so far is dropped, unless it begins a transfer.
    ///
    /// # Errors
    /// If the transfer is too large or malformed; the bytes received so far are then dropped.
    pub fn receive<K, E>(
        &mut self,
        chunk: &Chunk,
    ) -> Result<Option<Vec<Change<K, E>>>, TransferError>
    where
        K: DeserializeOwned,
        E: DeserializeOwned,
    {
        let follows =
            self.transfer == Some(chunk.transfer) && self.buffer.len() as u64 == chunk.offset;
        if !follows {
            self.reset();
            if chunk.offset != 0 {
                return Ok(None);
            }
        }
        let total = chunk.offset.saturating_add(chunk.remaining);
        if total > MAX_TRANSFER_BYTES {
            self.reset();
            return Err(TransferError::TooLarge(total));
        }
        self.transfer = Some(chunk.transfer);
        self.buffer.extend_from_slice(&chunk.bytes);
        if !chunk.is_last() {
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.buffer);
        self.reset();
        decode(&bytes).map(Some).map_err(|error| TransferError::Malformed(error.to_string()))
    }

    /// Drops the bytes received so far.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

fn decode<K, E>(mut bytes: &[u8]) -> Result<Vec<Change<K, E>>, postcard::Error>
where
    K: DeserializeOwned,
    E: DeserializeOwned,
{
    let mut changes = Vec::new();
    while !bytes.is_empty() {
        let (change, rest) = postcard::take_from_bytes(bytes)?;
        changes.push(change);
        bytes = rest;
    }
    Ok(changes)
}
