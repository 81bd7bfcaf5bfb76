//! Takes calls that other routers pass on, from daemons that prove that they know the shared secret.

use super::Gateway;
use super::http_server::{CallerConnections, OpenConnection, Origin, serve_connection};
use crate::peer;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay after a failed accept, as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of other routers in an endless loop.
pub async fn serve_routers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    connections: Arc<CallerConnections>,
    closing: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (gateway, connections) = (gateway.clone(), connections.clone());
                tokio::spawn(serve_router(gateway, stream, connections, closing.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept another router's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_router(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    connections: Arc<CallerConnections>,
    closing: watch::Receiver<bool>,
) {
    let Some(identity) = gateway.identity.get() else { return };
    let accepted = peer::accept(stream, &gateway.settings.cluster_secret, identity).await;
    let peer = match accepted {
        Ok(accepted) => accepted,
        Err(error) => {
            log::info!("a connection of another router is refused: {error}");
            return;
        }
    };
    let (parts, router) = (peer.framed.into_parts(), peer.identity);
    if !parts.read_buf.is_empty() {
        log::info!("router {} sent bytes that are no part of the handshake", router.vm);
        return;
    }
    let open = OpenConnection::new(&connections);
    serve_connection(gateway, parts.io, open, closing, Origin::Router).await;
}
