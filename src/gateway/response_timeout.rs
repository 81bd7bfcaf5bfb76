//! How long the attempts of a call wait for the first byte of a response.

use super::Gateway;
use super::accepted_call::{AttemptHistory, Call};
use crate::name::ModelName;
use crate::policy::{ResponseTimes, SilenceBudget};
use std::collections::HashMap;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Fraction of the remaining time that each attempt but the last may wait for the response head, on
/// routes that do not stream.
const ATTEMPT_TIME_FRACTION: f64 = 0.4;
/// An attempt on a streaming route may wait for the first event for this multiple of the route's
/// target latency; then another server is tried.
const STREAM_TIMEOUT_FACTOR: u32 = 3;
/// Routes and models whose response times are kept.
const MAX_TRACKED: usize = 4_096;

/// Response times by route and model, and the budget for repeats.
#[derive(Debug, Default)]
pub struct SilenceTracker {
    times: HashMap<(String, Option<ModelName>), ResponseTimes>,
    budget: SilenceBudget,
}

/// The limits for one attempt's first byte.
#[derive(Debug, Clone, Copy)]
pub struct ResponseTimeout {
    /// When the server counts as silent: another one is tried if the budget allows it.
    pub early: Instant,
    /// When another server is tried in any case, or the deadline on the last attempt.
    pub latest: Instant,
}

/// The server was silent for too long.
#[derive(Debug)]
pub struct Silent;

impl SilenceTracker {
    fn entry(&mut self, call: &Call) -> &mut ResponseTimes {
        if self.times.len() >= MAX_TRACKED {
            self.times.clear();
        }
        self.times.entry((call.route.name.clone(), call.model.clone())).or_default()
    }
}

impl Gateway {
    /// Counts a call towards the budget for repeats.
    pub(super) fn count_for_silence(&self) {
        self.silence.lock().expect("silence lock").budget.record_call();
    }
}

impl Call {
    /// The limits for the next attempt.
    pub(super) fn response_timeout(&self, history: &AttemptHistory) -> ResponseTimeout {
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let is_last = self.sends_left(history) <= 1 || !self.route.kind.is_retry_safe();
        if is_last {
            return ResponseTimeout { early: self.deadline, latest: self.deadline };
        }
        let target = self.route.latency_target;
        let latest = match self.route.kind.is_stream() {
            true => left.min(target * STREAM_TIMEOUT_FACTOR),
            false => left.mul_f64(ATTEMPT_TIME_FRACTION),
        };
        let mut silence = self.gateway.silence.lock().expect("silence lock");
        let early = silence.entry(self).silence_timeout(target).min(latest);
        ResponseTimeout { early: now + early, latest: now + latest }
    }

    /// Waits for the first byte of a response.
    ///
    /// # Errors
    /// [`Silent`] if it does not come in time.
    pub(super) async fn wait_for_response<F>(
        &self,
        timeout: ResponseTimeout,
        response: F,
    ) -> Result<F::Output, Silent>
    where
        F: Future,
    {
        let started = Instant::now();
        let mut response = pin!(response);
        if let Ok(output) = tokio::time::timeout_at(timeout.early.into(), response.as_mut()).await {
            return Ok(output);
        }
        if !self.gives_up_early(timeout, started.elapsed())
            && let Ok(output) = tokio::time::timeout_at(timeout.latest.into(), response).await
        {
            return Ok(output);
        }
        Err(Silent)
    }

    /// Records that a response has started, this long after its attempt.
    pub(super) fn record_response_time(&self, time: Duration) {
        self.gateway.silence.lock().expect("silence lock").entry(self).record(time);
    }

    fn gives_up_early(&self, timeout: ResponseTimeout, waited: Duration) -> bool {
        if timeout.early >= timeout.latest {
            return true;
        }
        let mut silence = self.gateway.silence.lock().expect("silence lock");
        silence.entry(self).record(waited);
        silence.budget.take()
    }
}
