use super::pool_pressure::RANKS;
use super::{DecayingSum, PoolPressure};
use std::time::Duration;

/// What a router's calls to a pool ask for and what comes back, over the last while. Work is counted in
/// seconds of a place.
#[derive(Debug, Clone)]
pub(super) struct WorkRates {
    offered: [DecayingSum; RANKS],
    sent: DecayingSum,
    drained: DecayingSum,
    answers: DecayingSum,
}

impl WorkRates {
    /// Counts offered and sent work over about `offer_span`, what comes back over about `drain_span`.
    pub fn new(now: Duration, offer_span: Duration, drain_span: Duration) -> Self {
        Self {
            offered: [DecayingSum::new(now, offer_span); RANKS],
            sent: DecayingSum::new(now, offer_span),
            drained: DecayingSum::new(now, drain_span),
            answers: DecayingSum::new(now, drain_span),
        }
    }

    pub fn add_offered(&mut self, now: Duration, rank: usize, work: f64) {
        self.offered[rank].add(now, work);
    }

    pub fn add_sent(&mut self, now: Duration, work: f64) {
        self.sent.add(now, work);
    }

    pub fn add_answer(&mut self, now: Duration, work: f64) {
        self.drained.add(now, work);
        self.answers.add(now, 1.0);
    }

    /// The rates at present, beside the calls that are in flight.
    pub fn pressure(&self, now: Duration, in_flight: f64) -> PoolPressure {
        PoolPressure {
            in_flight,
            offered: self.offered.map(|rank| rank.rate(now)),
            sent: self.sent.rate(now),
            drained: self.drained.rate(now),
            answers: self.answers.rate(now),
        }
    }
}
