//! The graceful stop: look unready, serve on until everything is answered, then close.

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

/// How often a stopping daemon looks whether everything is answered.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// How long the new leaders may take to hear of a hand-over.
const HAND_OVER: Duration = Duration::from_millis(200);
/// How long bytes to a caller may stay unacknowledged before its connection counts as lost.
const CALLER_SILENCE: Duration = Duration::from_secs(30);

/// The listening sockets of both fronts, kept so that they can be closed before the fronts end.
pub struct Listening {
    callers: Socket,
    operators: Socket,
}

impl Listening {
    /// Keeps hold of the sockets; accepted connections inherit the silence limit.
    ///
    /// # Errors
    /// Where the sockets cannot be shared or set up.
    pub fn of(callers: &TcpListener, operators: &TcpListener) -> Result<Self, Error> {
        let share = |listener: &TcpListener| {
            let socket = Socket::from(listener.try_clone()?);
            socket.set_tcp_user_timeout(Some(CALLER_SILENCE))?;
            Ok(socket)
        };
        let wrap = |cause| Error::Bind { address: "fronts".to_owned(), cause };
        let callers = share(callers).map_err(wrap)?;
        let operators = share(operators).map_err(wrap)?;
        Ok(Self { callers, operators })
    }
}

/// A front that runs on threads of its own.
struct Front {
    socket: Socket,
    handle: ServerHandle,
    thread: JoinHandle<()>,
}

/// Serves until a signal or an operator ends it, then stops without cutting a request.
pub async fn run_until_stopped(
    node: Arc<Node>,
    router: Arc<Router>,
    listening: Listening,
    callers: ServerFuture,
    operators: ServerFuture,
) -> Result<(), Error> {
    let callers = spawn_front("callers", listening.callers, callers)?;
    let operators = spawn_front("operators", listening.operators, operators)?;
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
    tokio::time::sleep(node.settings.drain).await;
    callers.close().await;
    // Work may outlive its caller's connection.
    while router.counter.in_flight() > 0 {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    node.cluster.groups().for_each(|group| group.transfer_leadership());
    tokio::time::sleep(HAND_OVER).await;
    operators.close().await;
    node.cluster.groups().for_each(|group| group.stop());
    node.journal.record(Event::DaemonStopped);
    node.journal.flush();
    Ok(())
}

fn spawn_front(name: &str, socket: Socket, mut server: ServerFuture) -> Result<Front, Error> {
    let wrap = |cause| Error::Bind { address: name.to_owned(), cause };
    let handle = server.handle().map_err(wrap)?;
    let front = name.to_owned();
    let builder = std::thread::Builder::new().name(front.clone());
    let work = move || {
        if let Err(error) = server.wait() {
            log::error!("the front for {front} ended: {error}");
        }
    };
    let thread = builder.spawn(work).map_err(wrap)?;
    Ok(Front { socket, handle, thread })
}

impl Front {
    /// Refuses new connections, then waits until those that are open have ended.
    async fn close(self) {
        self.handle.stop(true);
        // The server holds its listener until its last connection ends; without this the kernel
        // would go on accepting connections that nobody serves.
        if let Err(error) = self.socket.shutdown(Shutdown::Both) {
            log::warn!("a listening socket could not be closed: {error}");
        }
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::warn!("a front did not end cleanly");
        }
    }
}
