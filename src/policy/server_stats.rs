use super::{Health, Limit};
use std::time::Duration;

/// The weight of a new value in a moving average.
const NEW_WEIGHT: f64 = 0.2;
/// A report older than this says nothing any more.
const STALE: Duration = Duration::from_secs(4);
/// How old a report is assumed to be when it is read.
const LAG: Duration = Duration::from_millis(500);
/// An average without news for so long says nothing any more, so that a server is tried again.
const FORGET: Duration = Duration::from_secs(10);
/// The most calls that other routers are assumed to make for each of this router's.
const OTHERS_LIMIT: f64 = 8.0;
/// Slots assumed where a server reports none.
const SLOTS: u64 = 8;

/// A server's last report, and what this router did since.
#[derive(Debug, Clone, Copy)]
struct Reported {
    at: Duration,
    load: u64,
    slots: u64,
    begun: u64,
    ended: u64,
}

/// The load of a server, as an estimate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests there now.
    pub mean: f64,
    /// The variance of the estimate.
    pub spread: f64,
}

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
struct Average(Option<f64>);

impl Average {
    fn add(&mut self, value: f64) {
        let average = self.0.map_or(value, |old| old + (value - old) * NEW_WEIGHT);
        self.0 = Some(average);
    }
}

/// What one router knows of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerStats {
    own: u64,
    /// When each call without a first token began, the oldest first.
    pending: Vec<Duration>,
    heard: Duration,
    report: Option<Reported>,
    first: Average,
    lasted: Average,
    others: Average,
    usual: Average,
    limit: Limit,
    health: Health,
}

impl ServerStats {
    /// Calls of this router under way.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Calls that this router may have under way.
    pub fn limit(&self) -> u64 {
        self.limit.calls()
    }

    /// Calls that this router may still begin.
    pub fn room(&self) -> u64 {
        self.limit.calls().saturating_sub(self.own)
    }

    /// Whether the server may get a request.
    pub fn may_use(&self, now: Duration) -> bool {
        self.health.may_use(now)
    }

    /// Requests that the server can work on at once.
    pub fn slots(&self) -> u64 {
        self.report.map_or(SLOTS, |report| report.slots)
    }

    /// The time to the first token, in milliseconds: the average, or the age of the oldest call that
    /// still waits for one where that is more. `None` where nothing recent is known.
    pub fn first(&self, now: Duration) -> Option<f64> {
        let oldest = self.pending.first().map(|begun| millis(now.saturating_sub(*begun)));
        let average = self.first.0.filter(|_| now < self.heard + FORGET);
        match (average, oldest) {
            (Some(average), Some(oldest)) => Some(average.max(oldest)),
            (average, _) => average,
        }
    }

    /// The average time that a call takes, in milliseconds; `None` before the first has ended.
    pub fn lasted(&self) -> Option<f64> {
        self.lasted.0
    }

    /// Requests at the server now. Two estimates are weighed by their variances. One is the last
    /// report, corrected by this router's own calls; as the requests that it counted end, it falls
    /// back to the server's usual load. The other is this router's own calls times what other
    /// routers do for each of them, a sample of the whole.
    ///
    /// ```
    /// use samphireshift::policy::ServerStats;
    /// use std::time::Duration;
    /// let at = Duration::from_millis;
    /// let mut stats = ServerStats::default();
    /// stats.reported(at(0), 5, 1, 8);
    /// assert_eq!(stats.load(at(20)).mean, 6.0);
    /// assert_eq!(stats.load(at(9_000)).mean, 0.0);
    /// ```
    pub fn load(&self, now: Duration) -> Load {
        let own = self.own as f64;
        let fresh = self.report.filter(|report| now <= report.at + STALE);
        let Some(report) = fresh else { return Load { mean: own, spread: own } };
        let Some(others) = self.others.0 else {
            let mean = (report.load as f64).max(own);
            return Load { mean, spread: mean };
        };
        let age = millis(now.saturating_sub(report.at) + LAG);
        let kept = (-age / self.lasted.0.unwrap_or(age)).exp();
        let change = (report.begun as f64 - report.ended as f64) * others;
        let usual = self.usual.0.unwrap_or(report.load as f64);
        let reported = usual + (report.load as f64 + change - usual) * kept;
        let sampled = own * others;
        let size = reported.max(sampled).max(1.0);
        let (of_report, of_sample) = (size * (1.0 - kept), size * (others - 1.0));
        let weight = of_sample / (of_report + of_sample).max(f64::EPSILON);
        let mean = reported * weight + sampled * (1.0 - weight);
        let spread = of_report * of_sample / (of_report + of_sample).max(f64::EPSILON);
        Load { mean: mean.max(own), spread }
    }

    /// A call begins.
    pub fn begun(&mut self, now: Duration) {
        self.own += 1;
        self.pending.push(now);
        self.health.begun(now);
        if let Some(report) = &mut self.report {
            report.begun += 1;
        }
    }

    /// A call that began at `begun` ended, however it did.
    pub fn ended(&mut self, now: Duration, begun: Duration) {
        self.settle(begun);
        self.lasted.add(millis(now.saturating_sub(begun)));
        self.own = self.own.saturating_sub(1);
        if let Some(report) = &mut self.report {
            report.ended += 1;
        }
    }

    /// The first token, or the whole answer of a plain service, of a call that began at `begun`
    /// came. Returns whether the server was restored by it.
    pub fn answered(&mut self, now: Duration, begun: Duration) -> bool {
        self.settle(begun);
        self.heard = now;
        self.first.add(millis(now.saturating_sub(begun)));
        self.health.succeeded()
    }

    /// A call failed. Returns whether the server was ejected by it.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.health.failed(now)
    }

    /// The server refused a call for overload, which says nothing against its health.
    pub fn overloaded(&mut self, now: Duration) {
        self.limit.overloaded(now);
        self.health.succeeded();
    }

    /// A load report was read: requests running and waiting, and slots.
    pub fn reported(&mut self, now: Duration, running: u64, waiting: u64, slots: u64) {
        let slots = if slots == 0 { SLOTS } else { slots };
        self.limit.reported(now, waiting, slots, self.own);
        let load = running + waiting;
        self.usual.add(load as f64);
        if self.own > 0 {
            let others = load as f64 / self.own as f64;
            self.others.add(others.clamp(1.0, OTHERS_LIMIT));
        }
        self.report = Some(Reported { at: now, load, slots, begun: 0, ended: 0 });
    }
}

impl ServerStats {
    /// A call waits for its first token no longer.
    fn settle(&mut self, begun: Duration) {
        if let Some(place) = self.pending.iter().position(|at| *at == begun) {
            self.pending.remove(place);
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
