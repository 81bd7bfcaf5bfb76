use hmac::{Hmac, Mac};
use http::{Method, Uri};
use sha2::Sha256;

/// Separates this use of the cluster's secret from others.
const PURPOSE: &[u8] = b"samphireshift request";

/// Gives each request an id: the same for the same path, caller and body in all routers of a cluster.
/// Nobody without the cluster's secret can make two requests that have the same id.
#[derive(Debug, Clone)]
pub struct RequestHasher {
    mac: Hmac<Sha256>,
}

impl RequestHasher {
    /// Creates the hasher of a cluster.
    pub fn new(secret: &str) -> Self {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes())
            .expect("HMAC takes keys of any length");
        update(&mut mac, PURPOSE);
        Self { mac }
    }

    /// The id of a request; `caller` is the organisation that makes it.
    pub fn id(&self, method: &Method, uri: &Uri, caller: Option<&str>, body: &[u8]) -> u64 {
        let mut mac = self.mac.clone();
        update(&mut mac, method.as_str().as_bytes());
        update(&mut mac, uri.to_string().as_bytes());
        update(&mut mac, caller.unwrap_or("").as_bytes());
        update(&mut mac, body);
        let hash = mac.finalize().into_bytes();
        u64::from_be_bytes(hash[..8].try_into().expect("the hash has 32 bytes"))
    }
}

/// Adds a field with its length, so that no two lists of fields give the same bytes.
fn update(mac: &mut Hmac<Sha256>, field: &[u8]) {
    mac.update(&(field.len() as u64).to_be_bytes());
    mac.update(field);
}
