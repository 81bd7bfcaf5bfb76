//! Both ends prove that they know the shared secret and belong to the same cluster.

use super::PeerIdentity;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use std::io;
use std::time::Duration;
use subtle::ConstantTimeEq;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// How long a handshake may take.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);
/// The largest handshake frame, in bytes.
const HELLO_BYTES: usize = 4 << 10;
/// The largest frame afterwards, in bytes; a snapshot travels in one.
const FRAME_BYTES: usize = 256 << 20;

/// A connection past its handshake.
pub type Connection = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a connection was dropped.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection broke or was too slow.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The other end does not speak this protocol.
    #[error("not a peer")]
    NotPeer,
    /// The other end does not know the secret.
    #[error("wrong secret")]
    WrongSecret,
    /// The other end belongs to another cluster.
    #[error("another cluster")]
    OtherCluster,
}

#[derive(Serialize, serde::Deserialize)]
struct Challenge {
    nonce: [u8; 16],
}

#[derive(Serialize, serde::Deserialize)]
struct Proof {
    identity: PeerIdentity,
    nonce: [u8; 16],
    mac: [u8; 32],
}

/// The accepting end: challenges first, so that a stranger learns nothing.
///
/// # Errors
/// Where the other end is a stranger; the connection must be dropped.
pub async fn accept(
    stream: TcpStream,
    secret: &str,
    own: &PeerIdentity,
) -> Result<(Connection, PeerIdentity), HandshakeError> {
    let mut framed = framed(stream)?;
    let work = async {
        let nonce = rand::random();
        write(&mut framed, &Challenge { nonce }).await?;
        let proof: Proof = read(&mut framed).await?;
        check(secret, "connect", nonce, &proof)?;
        let mac = mac(secret, "accept", proof.nonce, own);
        let answer = Proof { identity: own.clone(), nonce, mac };
        let fits = own.may_join(&proof.identity);
        write(&mut framed, &answer).await?;
        match fits {
            true => Ok(proof.identity),
            false => Err(HandshakeError::OtherCluster),
        }
    };
    let identity = limited(work).await?;
    framed.codec_mut().set_max_frame_length(FRAME_BYTES);
    Ok((framed, identity))
}

/// The connecting end.
///
/// # Errors
/// Where the other end is a stranger; the connection must be dropped.
pub async fn connect(
    stream: TcpStream,
    secret: &str,
    own: &PeerIdentity,
) -> Result<(Connection, PeerIdentity), HandshakeError> {
    let mut framed = framed(stream)?;
    let work = async {
        let challenge: Challenge = read(&mut framed).await?;
        let nonce = rand::random();
        let mac = mac(secret, "connect", challenge.nonce, own);
        write(&mut framed, &Proof { identity: own.clone(), nonce, mac }).await?;
        let proof: Proof = read(&mut framed).await?;
        check(secret, "accept", nonce, &proof)?;
        match own.may_join(&proof.identity) {
            true => Ok(proof.identity),
            false => Err(HandshakeError::OtherCluster),
        }
    };
    let identity = limited(work).await?;
    framed.codec_mut().set_max_frame_length(FRAME_BYTES);
    Ok((framed, identity))
}

async fn limited<F, T>(work: F) -> Result<T, HandshakeError>
where
    F: Future<Output = Result<T, HandshakeError>>,
{
    let late = || HandshakeError::Io(io::ErrorKind::TimedOut.into());
    tokio::time::timeout(HANDSHAKE_LIMIT, work).await.unwrap_or_else(|_| Err(late()))
}

fn framed(stream: TcpStream) -> io::Result<Connection> {
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(HELLO_BYTES);
    Ok(Framed::new(stream, codec))
}

async fn write<T>(framed: &mut Connection, item: &T) -> Result<(), HandshakeError>
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(item).expect("handshakes always serialise");
    framed.send(Bytes::from(bytes)).await?;
    Ok(())
}

async fn read<T>(framed: &mut Connection) -> Result<T, HandshakeError>
where
    T: DeserializeOwned,
{
    let frame = framed.next().await.ok_or(HandshakeError::NotPeer)?;
    let frame = frame.map_err(|_| HandshakeError::NotPeer)?;
    postcard::from_bytes(&frame).map_err(|_| HandshakeError::NotPeer)
}

fn mac(secret: &str, role: &str, nonce: [u8; 16], identity: &PeerIdentity) -> [u8; 32] {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length is allowed");
    mac.update(role.as_bytes());
    mac.update(&nonce);
    mac.update(&postcard::to_stdvec(identity).expect("identities always serialise"));
    mac.finalize().into_bytes().into()
}

fn check(secret: &str, role: &str, nonce: [u8; 16], proof: &Proof) -> Result<(), HandshakeError> {
    let expected = mac(secret, role, nonce, &proof.identity);
    match bool::from(expected.ct_eq(&proof.mac)) {
        true => Ok(()),
        false => Err(HandshakeError::WrongSecret),
    }
}
