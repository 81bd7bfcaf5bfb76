use super::{CircuitBreaker, ConcurrencyLimit};
use std::time::Duration;

/// Weight of a new value in a moving average.
const NEW_WEIGHT: f64 = 0.2;
/// Age at which a load report is ignored.
const REPORT_TTL: Duration = Duration::from_secs(4);
/// Assumed age of a load report when it is received.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// Time without an answer after which the average is ignored, so that the server is tried again.
const AVERAGE_TTL: Duration = Duration::from_secs(10);
/// Upper bound on the assumed ratio of all calls on a server to this router's own.
const MAX_CALL_RATIO: f64 = 8.0;
/// Slots assumed for a server that reports none.
const DEFAULT_SLOTS: u64 = 8;

/// A server's last load report, and this router's calls since.
#[derive(Debug, Clone, Copy)]
struct LoadSnapshot {
    at: Duration,
    load: u64,
    slots: u64,
    started: u64,
    ended: u64,
}

/// Estimated load of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadEstimate {
    /// Expected number of requests on the server.
    pub mean: f64,
    /// Variance of the estimate.
    pub variance: f64,
}

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
struct MovingAverage(Option<f64>);

impl MovingAverage {
    fn add(&mut self, value: f64) {
        let average = self.0.map_or(value, |old| old + (value - old) * NEW_WEIGHT);
        self.0 = Some(average);
    }
}

/// What one router knows about one server.
#[derive(Debug, Clone, Default)]
pub struct ServerStats {
    own_calls: u64,
    /// Start times of the calls that wait for a first token, oldest first.
    pending_since: Vec<Duration>,
    last_answer: Duration,
    report: Option<LoadSnapshot>,
    first_token_ms: MovingAverage,
    call_ms: MovingAverage,
    call_ratio: MovingAverage,
    usual_load: MovingAverage,
    limit: ConcurrencyLimit,
    breaker: CircuitBreaker,
}

impl ServerStats {
    /// Calls of this router in progress.
    pub fn own_calls(&self) -> u64 {
        self.own_calls
    }

    /// Maximum number of concurrent calls of this router.
    pub fn limit(&self) -> u64 {
        self.limit.max_calls()
    }

    /// Further calls that this router may start within its limit.
    pub fn headroom(&self) -> u64 {
        self.limit.max_calls().saturating_sub(self.own_calls)
    }

    /// Whether the circuit breaker allows a request.
    pub fn allows_request(&self, now: Duration) -> bool {
        self.breaker.allows_request(now)
    }

    /// Requests that the server runs concurrently.
    pub fn slots(&self) -> u64 {
        self.report.map_or(DEFAULT_SLOTS, |report| report.slots)
    }

    /// The time to the first token, in milliseconds: the average, or the age of the oldest call
    /// that still waits for one if that is more. `None` if nothing recent is known.
    pub fn first_token_ms(&self, now: Duration) -> Option<f64> {
        let oldest = self.pending_since.first().map(|started| millis(now.saturating_sub(*started)));
        let average = self.first_token_ms.0.filter(|_| now < self.last_answer + AVERAGE_TTL);
        match (average, oldest) {
            (Some(average), Some(oldest)) => Some(average.max(oldest)),
            (average, _) => average,
        }
    }

    /// Average duration of a call, in milliseconds; `None` before the first call has ended.
    pub fn call_ms(&self) -> Option<f64> {
        self.call_ms.0
    }

    /// Estimates the number of requests on the server from two values, weighted by their variances.
    /// The first is the last report, corrected by this router's own calls; as the requests counted
    /// in it end, it decays to the server's usual load. The second is the number of this router's
    /// own calls times the average ratio of all calls to its own.
    ///
    /// ```
    /// use samphireshift::policy::ServerStats;
    /// use std::time::Duration;
    /// let at = Duration::from_millis;
    /// let mut stats = ServerStats::default();
    /// stats.record_report(at(0), 5, 1, 8);
    /// assert_eq!(stats.load(at(20)).mean, 6.0);
    /// assert_eq!(stats.load(at(9_000)).mean, 0.0);
    /// ```
    pub fn load(&self, now: Duration) -> LoadEstimate {
        let own_calls = self.own_calls as f64;
        let fresh = self.report.filter(|report| now <= report.at + REPORT_TTL);
        let Some(report) = fresh else {
            return LoadEstimate { mean: own_calls, variance: own_calls };
        };
        let Some(call_ratio) = self.call_ratio.0 else {
            let mean = (report.load as f64).max(own_calls);
            return LoadEstimate { mean, variance: mean };
        };
        let age = millis(now.saturating_sub(report.at) + REPORT_LAG);
        let kept = (-age / self.call_ms.0.unwrap_or(age)).exp();
        let change = (report.started as f64 - report.ended as f64) * call_ratio;
        let usual_load = self.usual_load.0.unwrap_or(report.load as f64);
        let reported = usual_load + (report.load as f64 + change - usual_load) * kept;
        let sampled = own_calls * call_ratio;
        let size = reported.max(sampled).max(1.0);
        let (report_variance, sample_variance) = (size * (1.0 - kept), size * (call_ratio - 1.0));
        let weight = sample_variance / (report_variance + sample_variance).max(f64::EPSILON);
        let mean = reported * weight + sampled * (1.0 - weight);
        let variance = report_variance * sample_variance
            / (report_variance + sample_variance).max(f64::EPSILON);
        LoadEstimate { mean: mean.max(own_calls), variance }
    }

    /// Records the start of a call.
    pub fn record_start(&mut self, now: Duration) {
        self.own_calls += 1;
        self.pending_since.push(now);
        self.breaker.record_start(now);
        if let Some(report) = &mut self.report {
            report.started += 1;
        }
    }

    /// Records the end of a call that started at `started`, whatever its outcome.
    pub fn record_end(&mut self, now: Duration, started: Duration) {
        self.remove_pending(started);
        self.call_ms.add(millis(now.saturating_sub(started)));
        self.own_calls = self.own_calls.saturating_sub(1);
        if let Some(report) = &mut self.report {
            report.ended += 1;
        }
    }

    /// Records the first token of a call that started at `started`, or the whole answer of a
    /// service without streaming. Returns whether it restored the server.
    pub fn record_first_token(&mut self, now: Duration, started: Duration) -> bool {
        self.remove_pending(started);
        self.last_answer = now;
        self.first_token_ms.add(millis(now.saturating_sub(started)));
        self.breaker.record_success()
    }

    /// Records a failed call. Returns whether it ejected the server.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.breaker.record_failure(now)
    }

    /// Records that the server refused a call because of overload, which does not count as a
    /// failure.
    pub fn record_overload(&mut self, now: Duration) {
        self.limit.record_overload(now);
        self.breaker.record_success();
    }

    /// Records a load report: running and waiting requests, and slots (0 if the server reports
    /// none).
    pub fn record_report(&mut self, now: Duration, running: u64, waiting: u64, slots: u64) {
        let slots = if slots == 0 { DEFAULT_SLOTS } else { slots };
        self.limit.record_report(now, waiting, slots, self.own_calls);
        let load = running + waiting;
        self.usual_load.add(load as f64);
        if self.own_calls > 0 {
            let call_ratio = load as f64 / self.own_calls as f64;
            self.call_ratio.add(call_ratio.clamp(1.0, MAX_CALL_RATIO));
        }
        self.report = Some(LoadSnapshot { at: now, load, slots, started: 0, ended: 0 });
    }
}

impl ServerStats {
    /// Removes a call from those that wait for a first token.
    fn remove_pending(&mut self, started: Duration) {
        if let Some(position) = self.pending_since.iter().position(|at| *at == started) {
            self.pending_since.remove(position);
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
