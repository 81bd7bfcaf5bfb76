//! The graceful stop: look unready, serve on until everything is answered, then close.

use super::Node;
use crate::error::Error;
use crate::event::Event;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use xitca_server::{ServerFuture, ServerHandle};

/// How often a stopping daemon looks whether everything is answered.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// How long answers that are already complete may take to be written out.
const WRITE_OUT: Duration = Duration::from_millis(200);

/// A front that runs on threads of its own.
struct Front {
    handle: ServerHandle,
    thread: JoinHandle<()>,
}

/// Serves until a signal or an operator ends it, then stops without cutting a request.
pub async fn run_until_stopped(
    node: Arc<Node>,
    callers: ServerFuture,
    operators: ServerFuture,
) -> Result<(), Error> {
    let callers = spawn_front("callers", callers)?;
    let operators = spawn_front("operators", operators)?;
    let wrap = |cause| Error::Bind { address: "signals".to_owned(), cause };
    let mut terminate = signal(SignalKind::terminate()).map_err(wrap)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(wrap)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.stop.notified() => {}
    }
    drain(&node).await;
    callers.close().await;
    operators.close().await;
    node.cluster.groups().for_each(|group| group.stop());
    node.journal.record(Event::DaemonStopped);
    Ok(())
}

async fn drain(node: &Node) {
    node.journal.record(Event::DaemonStopping);
    node.router.draining.store(true, Ordering::SeqCst);
    tokio::time::sleep(node.settings.drain).await;
    while node.router.counters.requests() > 0 {
        tokio::time::sleep(LOOK_EVERY).await;
    }
    node.cluster.groups().for_each(|group| group.hand_over());
    tokio::time::sleep(WRITE_OUT).await;
}

fn spawn_front(name: &str, mut server: ServerFuture) -> Result<Front, Error> {
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
    Ok(Front { handle, thread })
}

impl Front {
    async fn close(self) {
        self.handle.stop(true);
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::warn!("a front did not end cleanly");
        }
    }
}
