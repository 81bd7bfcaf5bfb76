use super::ByteShare;
use bytes::Bytes;
use thiserror::Error;

/// Bytes that arrive part by part, and all the memory that they take counts towards a share.
#[derive(Debug)]
pub struct GatheredBytes<'a> {
    bytes: Vec<u8>,
    share: &'a mut ByteShare,
}

/// There is no room for more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("too many bytes of responses are held at the same time")]
pub struct NoRoom;

impl<'a> GatheredBytes<'a> {
    /// None yet, with room for `capacity` bytes.
    ///
    /// # Errors
    /// If the room does not come in time.
    pub async fn with_capacity(capacity: usize, share: &'a mut ByteShare) -> Result<Self, NoRoom> {
        match share.resize_in_time(capacity).await {
            true => Ok(Self { bytes: Vec::with_capacity(capacity), share }),
            false => Err(NoRoom),
        }
    }

    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The memory that the bytes take.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Adds a part.
    ///
    /// # Errors
    /// If there is no room for it in time.
    pub async fn push(&mut self, part: &[u8]) -> Result<(), NoRoom> {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            self.grow(length).await?;
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Grows to twice the capacity, where there is room for that, and to `length` at least. What
    /// there was is held until it is moved.
    async fn grow(&mut self, length: usize) -> Result<(), NoRoom> {
        let before = self.bytes.capacity();
        let doubled = length.max(2 * before);
        // Nobody is ended for the room to double, only for what has arrived.
        let capacity = match self.share.resize_if_free(before + doubled) {
            true => doubled,
            false if self.share.resize_in_time(before + length).await => length,
            false => return Err(NoRoom),
        };
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.share.resize(self.bytes.capacity());
        Ok(())
    }

    /// All bytes, without the room for more.
    pub fn finish(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.share.resize(self.bytes.capacity());
        Bytes::from(self.bytes)
    }
}
