//! The end of a listener, and of the connections that it has taken, without the loss of a request.

use crate::inbound::InboundStream;
use crate::listener::MAX_BACKLOG;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::io::ErrorKind;
use std::pin::pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long the head of a request may take that is on its way when a connection is to end.
const LAST_HEAD_WAIT: Duration = Duration::from_millis(100);

/// Closes a port, and returns the connections that the kernel has taken for it, of which the runtime may not
/// have heard. To drop the listener alone would reset them.
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("connections that have just come may be reset: {error}");
            return Vec::new();
        }
    };
    let mut streams = Vec::new();
    while streams.len() < usize::from(MAX_BACKLOG) {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => streams.push(stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => {
                log::warn!("connections that have just come may be reset: {error}");
                break;
            }
        }
    }
    streams
}

/// Serves a connection until it ends. Once `stop` is done, serves the request whose head has come or is on its
/// way, and ends it after that.
///
/// # Errors
/// If the connection fails.
pub async fn serve_until<S, B, F>(
    connection: http1::Connection<TokioIo<InboundStream>, S>,
    stop: F,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: http_body::Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    F: Future<Output = ()>,
{
    let mut connection = pin!(connection);
    tokio::select! {
        served = connection.as_mut() => return served,
        () = stop => {}
    }
    // A graceful shutdown would close a connection whose first head is still on its way.
    match tokio::time::timeout(LAST_HEAD_WAIT, connection.as_mut()).await {
        Ok(served) => served,
        Err(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}
