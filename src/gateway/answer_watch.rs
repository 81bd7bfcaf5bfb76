//! When an answer that is under way is given up, as its server cannot be reached.

use super::Gateway;
use super::paths::PoolPath;
use super::server_table::ServerState;
use crate::policy::{ConnectFailure, MIN_SILENCE};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often the state of an answer is looked at while its server owes bytes.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a server that owes the head of a response may be silent, with all of its answers, before it
/// is asked whether it can be connected to.
const HEAD_SILENCE: Duration = Duration::from_millis(600);
/// How long a server that could be connected to is not asked again.
const ASK_PAUSE: Duration = Duration::from_secs(1);

/// What a server owes.
#[derive(Debug, Clone, Copy)]
pub enum Owed {
    /// The head of a response.
    Head,
    /// The next bytes of a response, after a pause of at most this.
    Bytes(Duration),
}

/// Watches an answer under way. What other servers of the pool do does not end it: its own server must
/// be out of reach, and must owe bytes.
#[derive(Debug, Clone)]
pub struct AnswerWatch {
    path: Arc<PoolPath>,
    server: Arc<ServerState>,
    /// When bytes of the answer last came, or the call was sent.
    heard_at: Arc<Mutex<Instant>>,
}

impl AnswerWatch {
    /// Watches the answer of a server to a call that is sent now.
    pub fn begin(path: Arc<PoolPath>, server: Arc<ServerState>) -> Self {
        Self { path, server, heard_at: Arc::new(Mutex::new(Instant::now())) }
    }

    /// Bytes of the answer have come.
    pub fn record_heard(&self) {
        *self.heard_at.lock().expect("watch lock") = Instant::now();
        self.server.record_heard();
        self.path.record_heard();
    }

    fn silence(&self) -> Duration {
        self.heard_at.lock().expect("watch lock").elapsed()
    }

    /// Waits until the answer's own server has been silent for longer than it may be and cannot be
    /// connected to: its host does not answer, or it refuses connections as all of the pool do. A head
    /// whose server's host does not answer is given up as soon as the path to the pool is lost.
    pub async fn until_given_up(&self, gateway: &Arc<Gateway>, owed: Owed) {
        loop {
            let lost = self.path.until_lost(gateway);
            let is_lost = tokio::time::timeout(CHECK_INTERVAL, lost).await.is_ok();
            self.path.try_if_silent(gateway);
            if let Some(failure) = self.failure(gateway, owed, is_lost).await {
                log::info!(
                    "server {} of pool {} has sent nothing for {} ms: {failure}; path lost: {is_lost}",
                    self.server.vm.name,
                    self.server.vm.pool,
                    self.silence().as_millis()
                );
                return;
            }
            if is_lost {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Why the answer is given up, if it is.
    async fn failure(
        &self,
        gateway: &Arc<Gateway>,
        owed: Owed,
        is_lost: bool,
    ) -> Option<ConnectFailure> {
        let allowed = match owed {
            Owed::Head if is_lost => Duration::ZERO,
            Owed::Head => HEAD_SILENCE,
            Owed::Bytes(gap) => gap.max(MIN_SILENCE),
        };
        if self.silence() < allowed || self.server.is_heard_within(allowed) {
            return None;
        }
        match (self.own_failure(gateway).await, owed) {
            (Some(ConnectFailure::Silent), _) => Some(ConnectFailure::Silent),
            // Its host lives: it would have ended the connection if the server had ended.
            (Some(ConnectFailure::Refused), Owed::Bytes(_)) if is_lost => {
                Some(ConnectFailure::Refused)
            }
            _ => None,
        }
    }

    /// Why the own server cannot be connected to, if that is so. It is asked once for all of its answers.
    async fn own_failure(&self, gateway: &Arc<Gateway>) -> Option<ConnectFailure> {
        let server = &self.server;
        if let Some(failure) = self.path.failure(&server.vm.name) {
            return Some(failure);
        }
        if let Some(failure) = server.ask_within(ASK_PAUSE) {
            return failure;
        }
        let failure = gateway.try_connect(server).await.err();
        server.record_asked(failure);
        if let Some(failure) = failure {
            server.pause_unreached();
            self.path.record_unreached(gateway, &server.vm.name, failure);
        }
        failure
    }
}
