use super::server_table::ServerState;
use std::sync::Arc;
use std::time::Instant;

/// An answer that has begun. If it is dropped before its end, as the call's time is up, that counts
/// against its server: one that begins each answer at once and ends none would look like the best.
#[derive(Debug)]
pub struct UnfinishedAnswer {
    server: Arc<ServerState>,
    /// When the call's time is up.
    deadline: Instant,
    /// Whether the answer is whole, or has failed.
    pub has_ended: bool,
}

impl UnfinishedAnswer {
    /// An answer of this server to a call that has until `deadline`.
    pub fn new(server: &Arc<ServerState>, deadline: Instant) -> Self {
        Self { server: server.clone(), deadline, has_ended: false }
    }
}

impl Drop for UnfinishedAnswer {
    fn drop(&mut self) {
        if !self.has_ended && Instant::now() >= self.deadline {
            self.server.record_failure();
            log::debug!("server {} has not ended an answer in time", self.server.vm.name);
        }
    }
}
