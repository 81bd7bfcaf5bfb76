use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Unique id of a request, assigned by the daemon that accepted it. Written as 32 hex digits in
/// text formats and as a number in binary ones.
///
/// ```
/// use samphireshift::name::RequestId;
/// let id = RequestId::parse("000000000000000000000000000000ff").unwrap();
/// assert_eq!(id.to_string(), "000000000000000000000000000000ff");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u128);

impl RequestId {
    /// Generates a random id of 128 bits.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Parses 32 hex digits; `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 32 {
            return None;
        }
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl Serialize for RequestId {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match serializer.is_human_readable() {
            true => serializer.collect_str(self),
            false => serializer.serialize_u128(self.0),
        }
    }
}

/// Reads hex digits from text formats and a number from binary ones.
struct RequestIdVisitor;

impl Visitor<'_> for RequestIdVisitor {
    type Value = RequestId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a request id of 32 hex digits")
    }

    fn visit_str<E>(self, text: &str) -> Result<RequestId, E>
    where
        E: Error,
    {
        RequestId::parse(text).ok_or_else(|| E::custom("a request id has 32 hex digits"))
    }

    fn visit_u128<E>(self, number: u128) -> Result<RequestId, E>
    where
        E: Error,
    {
        Ok(RequestId(number))
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        match deserializer.is_human_readable() {
            true => deserializer.deserialize_str(RequestIdVisitor),
            false => deserializer.deserialize_u128(RequestIdVisitor),
        }
    }
}
