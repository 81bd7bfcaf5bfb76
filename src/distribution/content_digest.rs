use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A digest of a set of entries. It does not depend on their order, and an entry can be added or
/// removed without the others: it is the wrapping sum of the entries' hashes, each the first 16
/// bytes of a SHA-256 hash of the entry in postcard encoding.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDigest(u128);

impl ContentDigest {
    /// The digest of a set without entries.
    pub const EMPTY: Self = Self(0);

    /// Adds an entry.
    ///
    /// ```
    /// use samphireshift::distribution::ContentDigest;
    /// let mut digest = ContentDigest::EMPTY;
    /// digest.add(&"entry");
    /// assert_ne!(digest, ContentDigest::EMPTY);
    /// digest.remove(&"entry");
    /// assert_eq!(digest, ContentDigest::EMPTY);
    /// ```
    pub fn add<E>(&mut self, entry: &E)
    where
        E: Serialize,
    {
        self.0 = self.0.wrapping_add(hash(entry));
    }

    /// Removes an entry that was added before.
    pub fn remove<E>(&mut self, entry: &E)
    where
        E: Serialize,
    {
        self.0 = self.0.wrapping_sub(hash(entry));
    }
}

fn hash<E>(entry: &E) -> u128
where
    E: Serialize,
{
    let bytes = postcard::to_stdvec(entry).expect("entries always serialise");
    let hash = Sha256::digest(&bytes);
    u128::from_le_bytes(hash[..16].try_into().expect("a SHA-256 hash has 32 bytes"))
}
