//! What the responses of a server say of itself: its load, its limit, that it leaves or wants a pause.

use super::accepted_call::Call;
use super::brittle_servers::named_limit;
use super::cold_news::ColdCause;
use super::exchange::invalid_reason;
use super::server_limits::SendPermit;
use super::server_table::ServerState;
use super::{NamedLimit, ResponseHead};
use http::{Response, StatusCode};
use std::time::{Duration, Instant};

impl Call {
    /// Takes in what a response says of its server.
    pub(super) fn hear<B>(
        &self,
        server: &ServerState,
        response: &Response<B>,
        head: &ResponseHead,
        permit: &SendPermit,
        sent_at: Instant,
    ) {
        let status = response.status();
        if let Some(load) = head.load {
            server.record_load(load);
        }
        if let Some(load) = head.load.filter(|_| self.gateway.learns_placement()) {
            head.pace.into_iter().for_each(|pace| server.record_pace(pace));
            self.gateway.placement.hear(&self.pool, head.pace, load);
        }
        if head.leaving && self.gateway.servers.mark_leaving(&server.vm) {
            log::info!("call {}: server {} says that it is leaving", self.log_id(), server.vm.name);
        }
        let limit = named_limit(server, head, status);
        // Another server may have taken over the address. Only a server's own answer ends a limit.
        let is_own = head.id == self.head.id && invalid_reason(response, head).is_none();
        let says_limit = limit != NamedLimit::Absent || is_own;
        if status != StatusCode::MISDIRECTED_REQUEST && says_limit {
            if let NamedLimit::PerSecond(_) = limit {
                permit.limit_named();
            }
            self.gateway.limits.hear(&server.vm.name, limit, sent_at);
        }
        let limits = &self.gateway.limits;
        match head.warm_up.filter(|_| status != StatusCode::MISDIRECTED_REQUEST) {
            Some(Duration::ZERO) if is_own => limits.hear_warm(&server.vm.name, sent_at),
            Some(left) if !left.is_zero() => {
                limits.presume_cold([&server.vm], ColdCause::Answer(left));
            }
            Some(_) | None => {}
        }
        let declines =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        if let Some(wait) = head.retry_after.filter(|_| declines) {
            let (id, wait_ms) = (self.log_id(), wait.as_millis());
            log::info!("call {id}: server {} asks for a pause of {wait_ms} ms", server.vm.name);
            server.back_off(wait);
        }
    }
}
