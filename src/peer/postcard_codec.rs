use crate::event::{Journal, Timestamp};
use bytes::{Bytes, BytesMut};
use metrics::{Counter, counter};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use tokio_serde::{Deserializer, Serializer};

/// Serialises the messages of `tarpc` transports with postcard. Each message carries the sender's
/// clock, and the receiver advances its own clock past it: events caused by a message get a later
/// timestamp than the events that led to it.
#[derive(Clone)]
pub struct PostcardCodec {
    journal: Arc<Journal>,
    sent: Counter,
    received: Counter,
}

impl PostcardCodec {
    /// Creates a codec for one connection. The clock is the one of the journal.
    pub fn new(journal: Arc<Journal>) -> Self {
        let counter = |direction| counter!("samphireshift_peer_bytes", "direction" => direction);
        Self { journal, sent: counter("sent"), received: counter("received") }
    }
}

impl<T> Serializer<T> for PostcardCodec
where
    T: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        let stamped = (self.journal.timestamp(), item);
        let bytes = postcard::to_stdvec(&stamped).map_err(io::Error::other)?;
        self.sent.increment(bytes.len() as u64);
        Ok(bytes.into())
    }
}

impl<T> Deserializer<T> for PostcardCodec
where
    T: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<T, io::Error> {
        let (stamp, item): (Timestamp, T) = postcard::from_bytes(src).map_err(io::Error::other)?;
        self.journal.observe(stamp);
        self.received.increment(src.len() as u64);
        Ok(item)
    }
}
