use crate::event::{Journal, Stamp};
use bytes::{Bytes, BytesMut};
use metrics::{Counter, counter};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use tokio_serde::{Deserializer, Serializer};

/// The postcard format for `tarpc` transports. Each frame starts with the sender's clock, which the
/// receiver takes in: whatever follows from a message is stamped behind whatever led to it.
#[derive(Clone)]
pub struct Postcard {
    journal: Arc<Journal>,
    sent: Counter,
    received: Counter,
}

impl Postcard {
    /// The format for one connection of a daemon with this journal.
    pub fn open(journal: Arc<Journal>) -> Self {
        let counter = |direction| counter!("samphireshift_peer_bytes", "direction" => direction);
        Self { journal, sent: counter("sent"), received: counter("received") }
    }
}

impl<T> Serializer<T> for Postcard
where
    T: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        let framed = (self.journal.stamp(), item);
        let bytes = postcard::to_stdvec(&framed).map_err(io::Error::other)?;
        self.sent.increment(bytes.len() as u64);
        Ok(bytes.into())
    }
}

impl<T> Deserializer<T> for Postcard
where
    T: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<T, io::Error> {
        let (stamp, item): (Stamp, T) = postcard::from_bytes(src).map_err(io::Error::other)?;
        self.journal.observe(stamp);
        self.received.increment(src.len() as u64);
        Ok(item)
    }
}
