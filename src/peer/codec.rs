use bytes::{Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::pin::Pin;
use tokio_serde::{Deserializer, Serializer};

/// The postcard format for `tarpc` transports.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postcard;

impl<T> Serializer<T> for Postcard
where
    T: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<Bytes, io::Error> {
        postcard::to_stdvec(item).map(Bytes::from).map_err(io::Error::other)
    }
}

impl<T> Deserializer<T> for Postcard
where
    T: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<T, io::Error> {
        postcard::from_bytes(src).map_err(io::Error::other)
    }
}
