//! Graceful shutdown: report not ready, serve until all requests are answered, then close.

use super::Node;
use crate::error::Error;
use crate::event::Event;
use crate::route::Router;
use socket2::Socket;
use std::net::{Shutdown, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use xitca_server::{ServerFuture, ServerHandle};

/// Interval at which a stopping daemon checks whether all requests are answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the new leaders to receive the leadership transfers before the groups stop.
const LEADERSHIP_TRANSFER_WAIT: Duration = Duration::from_millis(200);
/// Time that sent data may stay unacknowledged before the kernel drops the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// Duplicates of the listening sockets of both HTTP servers. They allow the sockets to be shut down
/// before the servers end.
pub struct ListeningSockets {
    callers: Socket,
    operators: Socket,
}

impl ListeningSockets {
    /// Duplicates the sockets and sets their user timeout, which accepted connections inherit.
    ///
    /// # Errors
    /// If a socket cannot be duplicated or configured.
    pub fn new(callers: &TcpListener, operators: &TcpListener) -> Result<Self, Error> {
        let duplicate = |listener: &TcpListener| {
            let socket = Socket::from(listener.try_clone()?);
            socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
            Ok(socket)
        };
        let wrap = |cause| Error::Bind { address: "fronts".to_owned(), cause };
        let callers = duplicate(callers).map_err(wrap)?;
        let operators = duplicate(operators).map_err(wrap)?;
        Ok(Self { callers, operators })
    }
}

/// An HTTP server that runs on its own threads.
struct RunningServer {
    socket: Socket,
    handle: ServerHandle,
    thread: JoinHandle<()>,
}

/// Serves until SIGTERM, SIGINT or an operator requests a stop, then shuts down without
/// interrupting requests.
pub async fn run_until_stopped(
    node: Arc<Node>,
    router: Arc<Router>,
    listening: ListeningSockets,
    callers: ServerFuture,
    operators: ServerFuture,
) -> Result<(), Error> {
    let callers = spawn_server("callers", listening.callers, callers)?;
    let operators = spawn_server("operators", listening.operators, operators)?;
    let wrap = |cause| Error::Bind { address: "signals".to_owned(), cause };
    let mut terminate = signal(SignalKind::terminate()).map_err(wrap)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(wrap)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.stop.notified() => {}
    }
    node.journal.record(Event::DaemonStopping);
    router.draining.store(true, Ordering::SeqCst);
    tokio::time::sleep(node.settings.drain_period).await;
    callers.close().await;
    // Requests may continue after their caller's connection has closed.
    while router.counter.in_flight() > 0 {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    node.leave_groups().await;
    node.cluster.groups().for_each(|group| group.transfer_leadership());
    tokio::time::sleep(LEADERSHIP_TRANSFER_WAIT).await;
    operators.close().await;
    node.cluster.groups().for_each(|group| group.stop());
    node.journal.record(Event::DaemonStopped);
    node.journal.flush();
    Ok(())
}

fn spawn_server(
    name: &str,
    socket: Socket,
    mut server: ServerFuture,
) -> Result<RunningServer, Error> {
    let wrap = |cause| Error::Bind { address: name.to_owned(), cause };
    let handle = server.handle().map_err(wrap)?;
    let label = name.to_owned();
    let builder = std::thread::Builder::new().name(label.clone());
    let serve = move || {
        if let Err(error) = server.wait() {
            log::error!("the HTTP server for {label} failed: {error}");
        }
    };
    let thread = builder.spawn(serve).map_err(wrap)?;
    Ok(RunningServer { socket, handle, thread })
}

impl RunningServer {
    /// Refuses new connections, then waits until the open ones have closed.
    async fn close(self) {
        self.handle.stop(true);
        // The server keeps its listener until its last connection closes. Without this shutdown the
        // kernel would continue to accept connections that nobody serves.
        if let Err(error) = self.socket.shutdown(Shutdown::Both) {
            log::warn!("failed to shut down a listening socket: {error}");
        }
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::warn!("an HTTP server thread did not end cleanly");
        }
    }
}
