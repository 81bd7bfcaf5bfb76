//! Handlers for the signals that a service manager sends to a router or voter daemon.

use crate::error::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers for SIGTERM (stop) and SIGHUP (logged). A signal that arrives after registration is
/// kept until it is awaited.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Registers the handlers. Until then, the default action of either signal ends the process.
    ///
    /// # Errors
    /// If the operating system refuses a handler.
    pub fn register() -> Result<Self, Error> {
        let wrap = |cause| Error::Bind { address: "signals".to_owned(), cause };
        let terminate = signal(SignalKind::terminate()).map_err(wrap)?;
        let hangup = signal(SignalKind::hangup()).map_err(wrap)?;
        Ok(Self { terminate, hangup })
    }

    /// Waits for SIGTERM. SIGHUP is logged only: seeds are read anew whenever the settings file changes.
    pub async fn wait_for_stop(mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => log::info!("SIGHUP: seeds are read anew when the file changes; restart to use other settings"),
            }
        }
    }
}
