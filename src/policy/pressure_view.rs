use super::pool_pressure::{LAST_RANK, RANKS};
use super::{OfferedCall, PoolPressure};

/// Proportional gain: relative change of the admitted rate per relative error of the queue.
const GAIN: f64 = 0.5;
/// The most gain for each length of the aim that the numbers are old: above about 1.5, the queue swings.
const LAG_GAIN: f64 = 0.75;
/// The queue's set point without news of the fleet, as a fraction of the longest wait that is in time: slots
/// stay busy.
const OWN_AIM: f64 = 0.4;
/// The same with news: the queue grows until they come.
const FLEET_AIM: f64 = 0.3;
/// The least relative error by news that counts: a queue that grew before it was known is not answered by sending
/// almost nothing, after which it would run empty.
const MIN_ERROR: f64 = -1.5;
/// The largest fraction of calls refused; the rest keeps the measurements going.
const MAX_REFUSED: f64 = 0.95;
/// Least chance of any call to be sent, relative to the mean, so that no rank starves.
const FLOOR: f64 = 0.3;

/// What a call is decided by.
#[derive(Debug, Clone, Copy)]
pub(super) struct PressureView {
    pub pressure: PoolPressure,
    /// How long a call would wait for a place, in seconds.
    pub wait: f64,
    /// How old the fleet's sums are, as far as they count, in seconds; none without news of the fleet.
    pub age: Option<f64>,
}

impl PressureView {
    /// How long a call would wait for one of the `places`, in seconds, by the `mean` of what the `routers` have in
    /// flight, and what they have sent in the `age` of that number.
    pub fn fleet_wait(mean: &PoolPressure, routers: f64, places: f64, age: f64) -> f64 {
        if mean.answers <= 0.0 || places <= 0.0 {
            return 0.0;
        }
        let answers = mean.answers * routers;
        // Work is known too high where answers have waited, and answers are few while places were free.
        let place = (mean.drained / mean.answers).min(places / answers);
        let queue = mean.in_flight * routers - places;
        let growth = answers * (mean.sent / mean.drained.max(f64::MIN_POSITIVE) - 1.0);
        ((queue + growth * age) * place / places).max(0.0)
    }

    /// The queue's set point, of the `longest` wait that is in time, in seconds.
    pub fn aim(&self, longest: f64) -> f64 {
        longest * if self.age.is_some() { FLEET_AIM } else { OWN_AIM }
    }

    /// The part of the calls that is to be refused. Proportional control: admit what drains, more or less
    /// by how far the queue is off its `aim`, and the less so the older the numbers are.
    pub fn refused(&self, aim: f64) -> f64 {
        let offered = self.pressure.all_offered().max(f64::MIN_POSITIVE);
        let error = (aim - self.wait) / aim;
        let change = match self.age {
            Some(age) => GAIN.min(LAG_GAIN * aim / age) * error.max(MIN_ERROR),
            None => GAIN * error,
        };
        let room = self.pressure.drained * (1.0 + change);
        (1.0 - room / offered).clamp(0.0, MAX_REFUSED)
    }

    /// The part of the calls in line that are served before a new one.
    pub fn part_ahead(&self, call: &OfferedCall<'_>) -> f64 {
        if !call.by_rank {
            return 1.0;
        }
        let rates: [f64; RANKS] = self.pressure.offered;
        let ahead: f64 = rates[..=usize::from(call.rank).min(LAST_RANK - 1)].iter().sum();
        ahead / rates.iter().sum::<f64>().max(f64::MIN_POSITIVE)
    }

    /// The chance of a call to be sent: room is given to the ranks in their order.
    pub fn chance(&self, rank: u8, excess: f64, refused: f64) -> f64 {
        let rates: [f64; RANKS] = self.pressure.offered;
        let all: f64 = rates.iter().sum();
        let room = all * (1.0 - refused);
        let of_rank = |rank: usize| {
            let before: f64 = rates[..rank].iter().sum();
            ((room - before) / rates[rank].max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
        };
        let own = of_rank(usize::from(rank).min(LAST_RANK - 1));
        let chance = (1.0 - excess) * own + excess * of_rank(LAST_RANK);
        chance.max(FLOOR * (1.0 - refused))
    }
}
