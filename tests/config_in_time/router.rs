use super::fleet::LeftOut;
use samphireshift::distribution::{Chunk, Position, RouterState};

/// After how long a router gives up a request, and how soon it asks again.
const TIMEOUT_MS: u64 = 1_000;
const RETRY_MS: u64 = 50;

/// A router's request to renew its lease.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub router: usize,
    pub number: u64,
    pub revision: u64,
    pub position: Position,
    pub wait: bool,
    /// The leader that it is sent to.
    pub epoch: u64,
}

/// The leader's response.
#[derive(Debug, Clone)]
pub struct Response {
    pub router: usize,
    pub number: u64,
    pub revision: u64,
    pub chunk: Option<Chunk>,
}

#[derive(Debug, Default)]
pub struct Router {
    pub state: RouterState,
    pub installed: u64,
    pub expires_at: u64,
    /// Until when the process stands still, and until when it does not reach the leader.
    pub frozen_until: u64,
    pub cut_until: u64,
    /// The request under way, and when it was sent.
    asked: Option<(u64, u64)>,
    next_ask: u64,
    next_number: u64,
}

impl Router {
    pub fn is_frozen(&self, now: u64) -> bool {
        now < self.frozen_until
    }

    /// Stands still from now on.
    pub fn freeze(&mut self, now: u64, for_ms: u64, left_out: LeftOut) {
        self.frozen_until = now + for_ms;
        if left_out == LeftOut::FrozenTime && now < self.expires_at {
            self.expires_at += for_ms;
        }
    }

    /// The next request, if it is time for one.
    pub fn ask(&mut self, now: u64, router: usize, epoch: u64) -> Option<Request> {
        if self.asked.is_some_and(|(_, at)| now >= at + TIMEOUT_MS) {
            self.asked = None;
            self.next_ask = now + RETRY_MS;
        }
        if self.asked.is_some() || now < self.next_ask {
            return None;
        }
        self.next_number += 1;
        self.asked = Some((self.next_number, now));
        Some(Request {
            router,
            number: self.next_number,
            revision: self.installed,
            position: self.state.config_position(),
            wait: !self.state.is_receiving(),
            epoch,
        })
    }

    /// Takes in a response; returns whether a configuration was installed.
    pub fn receive(
        &mut self,
        now: u64,
        response: &Response,
        lease_ms: u64,
        left_out: LeftOut,
    ) -> bool {
        let Some((number, asked_at)) = self.asked else { return false };
        if number != response.number {
            return false;
        }
        self.asked = None;
        let installed = self.state.receive_config(response.chunk.as_ref()).expect("a usable chunk");
        let is_new = installed.is_some();
        if let Some(config) = installed {
            self.installed = config.revision;
        }
        if self.installed >= response.revision || left_out == LeftOut::NewestOnly {
            let from = if left_out == LeftOut::RequestTime { now } else { asked_at };
            self.expires_at = self.expires_at.max(from + lease_ms);
        }
        is_new
    }
}
