//! The signals that a daemon of a fleet is sent.

use crate::error::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for signals from the moment when it is opened.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Takes signals over from the system, which would end the process.
    ///
    /// # Errors
    /// Where the system refuses.
    pub fn open() -> Result<Self, Error> {
        let wrap = |cause| Error::Bind { address: "signals".to_owned(), cause };
        let terminate = signal(SignalKind::terminate()).map_err(wrap)?;
        let hangup = signal(SignalKind::hangup()).map_err(wrap)?;
        Ok(Self { terminate, hangup })
    }

    /// Waits until the daemon is told to stop.
    pub async fn stopped(mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.hangup.recv() => log::info!("settings are read at the next start"),
            }
        }
    }
}
