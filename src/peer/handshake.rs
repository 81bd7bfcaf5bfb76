//! Handshake of peer connections: both ends prove that they know the shared secret, and check that
//! they do not belong to different clusters.

use super::{PeerIdentity, ProtocolVersion};
use bytes::{Bytes, BytesMut};
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

/// Timeout of a whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a frame during the handshake.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 << 10;
/// Maximum size of a frame after the handshake. A frame has to be able to hold a whole snapshot.
const MAX_FRAME_BYTES: usize = 256 << 20;

/// A TCP stream with length-delimited frames.
pub type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Why a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The connection failed, or the handshake timed out.
    #[error("connection failed in the handshake: {0}")]
    Io(#[from] io::Error),
    /// The other end closed the connection or sent something that is not a handshake message.
    #[error(
        "connection closed or invalid message in the handshake; check that the other end is a peer with the same secret"
    )]
    Protocol,
    /// The other end does not know the shared secret.
    #[error("wrong secret; check that all daemons have the same secret in their settings")]
    WrongSecret,
    /// The other end belongs to another cluster.
    #[error("peer belongs to another cluster; check the list of peers in the settings")]
    ClusterMismatch,
}

#[derive(Serialize, serde::Deserialize)]
struct Challenge {
    nonce: [u8; 16],
}

/// What follows a [`Challenge`] in the same frame. Builds from before the first version send
/// nothing there and ignore it.
#[derive(Serialize, serde::Deserialize)]
struct VersionSuffix {
    version: ProtocolVersion,
}

/// The other end of a connection that was opened to it.
#[derive(Debug)]
pub struct ConnectedPeer {
    /// The connection.
    pub framed: FramedStream,
    /// Its identity.
    pub identity: PeerIdentity,
    /// The version of the calls that it answers.
    pub version: ProtocolVersion,
}

/// Proves knowledge of the secret with a MAC over the role, the other end's nonce and the identity.
#[derive(Serialize, serde::Deserialize)]
struct Proof {
    identity: PeerIdentity,
    nonce: [u8; 16],
    mac: [u8; 32],
}

/// Runs the accepting end of the handshake. It sends only a challenge until the other end has
/// proved that it knows the secret, so that strangers learn nothing.
///
/// # Errors
/// If the other end cannot be authenticated or belongs to another cluster. The connection must then
/// be dropped.
pub async fn accept(
    stream: TcpStream,
    secret: &str,
    local: &PeerIdentity,
) -> Result<ConnectedPeer, HandshakeError> {
    let mut framed = frame_stream(stream)?;
    let exchange = async {
        let nonce = rand::random();
        let suffix = VersionSuffix { version: ProtocolVersion::CURRENT };
        send_message(&mut framed, &(Challenge { nonce }, suffix)).await?;
        let (proof, version): (Proof, _) = receive_versioned(&mut framed).await?;
        verify_proof(secret, "connect", nonce, &proof)?;
        let mac = compute_mac(secret, "accept", proof.nonce, local);
        let response = Proof { identity: local.clone(), nonce, mac };
        let compatible = local.is_cluster_compatible(&proof.identity);
        send_message(&mut framed, &response).await?;
        match compatible {
            true => Ok((proof.identity, version)),
            false => Err(HandshakeError::ClusterMismatch),
        }
    };
    let (identity, version) = with_timeout(exchange).await?;
    framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    Ok(ConnectedPeer { framed, identity, version })
}

/// Runs the connecting end of the handshake.
///
/// # Errors
/// If the other end cannot be authenticated or belongs to another cluster. The connection must then
/// be dropped.
pub async fn connect(
    stream: TcpStream,
    secret: &str,
    local: &PeerIdentity,
) -> Result<ConnectedPeer, HandshakeError> {
    let mut framed = frame_stream(stream)?;
    let exchange = async {
        let (challenge, version): (Challenge, _) = receive_versioned(&mut framed).await?;
        let nonce = rand::random();
        let mac = compute_mac(secret, "connect", challenge.nonce, local);
        let own = Proof { identity: local.clone(), nonce, mac };
        let suffix = VersionSuffix { version: ProtocolVersion::CURRENT };
        send_message(&mut framed, &(own, suffix)).await?;
        let proof: Proof = receive_message(&mut framed).await?;
        verify_proof(secret, "accept", nonce, &proof)?;
        match local.is_cluster_compatible(&proof.identity) {
            true => Ok((proof.identity, version)),
            false => Err(HandshakeError::ClusterMismatch),
        }
    };
    let (identity, version) = with_timeout(exchange).await?;
    framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    Ok(ConnectedPeer { framed, identity, version })
}

/// Receives a message, and the version that may follow it in the same frame. Builds that do not know the version
/// leave it unread.
async fn receive_versioned<T>(
    framed: &mut FramedStream,
) -> Result<(T, ProtocolVersion), HandshakeError>
where
    T: DeserializeOwned,
{
    let frame = receive_frame(framed).await?;
    let (message, rest) =
        postcard::take_from_bytes(&frame).map_err(|_| HandshakeError::Protocol)?;
    if rest.is_empty() {
        return Ok((message, ProtocolVersion::FIRST));
    }
    let suffix: VersionSuffix = postcard::from_bytes(rest).map_err(|_| HandshakeError::Protocol)?;
    Ok((message, suffix.version))
}

async fn with_timeout<F, T>(exchange: F) -> Result<T, HandshakeError>
where
    F: Future<Output = Result<T, HandshakeError>>,
{
    let timed_out = || HandshakeError::Io(io::ErrorKind::TimedOut.into());
    tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(timed_out()))
}

/// Prepares a stream for the handshake, with the smaller limit on the size of frames.
fn frame_stream(stream: TcpStream) -> io::Result<FramedStream> {
    stream.set_nodelay(true)?;
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_HANDSHAKE_FRAME_BYTES);
    Ok(Framed::new(stream, codec))
}

async fn send_message<T>(framed: &mut FramedStream, item: &T) -> Result<(), HandshakeError>
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(item).expect("handshake messages always serialise");
    framed.send(Bytes::from(bytes)).await?;
    Ok(())
}

async fn receive_message<T>(framed: &mut FramedStream) -> Result<T, HandshakeError>
where
    T: DeserializeOwned,
{
    let frame = receive_frame(framed).await?;
    postcard::from_bytes(&frame).map_err(|_| HandshakeError::Protocol)
}

async fn receive_frame(framed: &mut FramedStream) -> Result<BytesMut, HandshakeError> {
    let frame = framed.next().await.ok_or(HandshakeError::Protocol)?;
    frame.map_err(|_| HandshakeError::Protocol)
}

/// Computes the MAC of a proof. `role` is "connect" or "accept", so that the proof of one end is
/// not valid as that of the other.
fn compute_mac(secret: &str, role: &str, nonce: [u8; 16], identity: &PeerIdentity) -> [u8; 32] {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any key length is allowed");
    mac.update(role.as_bytes());
    mac.update(&nonce);
    mac.update(&postcard::to_stdvec(identity).expect("identities always serialise"));
    mac.finalize().into_bytes().into()
}

fn verify_proof(
    secret: &str,
    role: &str,
    nonce: [u8; 16],
    proof: &Proof,
) -> Result<(), HandshakeError> {
    let expected = compute_mac(secret, role, nonce, &proof.identity);
    match bool::from(expected.ct_eq(&proof.mac)) {
        true => Ok(()),
        false => Err(HandshakeError::WrongSecret),
    }
}
