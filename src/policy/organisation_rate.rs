use crate::name::OrganisationName;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How much more than all together an organisation's use may grow before it pays for it itself.
const GROWTH_SLACK: f64 = 1.3;
/// Standard deviations of a random count that do not count as growth.
const NOISE_DEVIATIONS: f64 = 2.0;
/// The least usual use, as a part of the mean of all organisations: a rare caller is not a burst.
const MIN_USUAL: f64 = 0.25;
/// Iterations of the fixed point for the common growth.
const STEPS: usize = 8;
/// Over how long an organisation's present use is measured.
pub(super) const NOW_SPAN: Duration = Duration::from_secs(2);

/// What an organisation uses of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrganisationRate {
    /// The organisation.
    pub name: OrganisationName,
    /// Its calls a second at present.
    pub now: f32,
    /// Its calls a second while there was room for all.
    pub usual: f32,
}

/// The part of each one's present use that is beyond its share, from 0 to 1: its usual use times the growth of
/// all together. A rate is present and usual calls a second.
pub(super) fn excess_parts(rates: &[(f64, f64)]) -> Vec<f64> {
    let mean = rates.iter().map(|rate| rate.1).sum::<f64>() / rates.len().max(1) as f64;
    let rates = rates.iter().map(|(now, usual)| (*now, usual.max(MIN_USUAL * mean)));
    let rates: Vec<(f64, f64)> = rates.collect();
    let usual: f64 = rates.iter().map(|rate| rate.1).sum();
    let span = NOW_SPAN.as_secs_f64();
    let limit = |growth: f64, usual: f64| {
        let calls = growth * usual * span;
        (GROWTH_SLACK * calls + NOISE_DEVIATIONS * calls.sqrt() + 1.0) / span
    };
    let mut growth = rates.iter().map(|rate| rate.0).sum::<f64>() / usual;
    for _ in 0..STEPS {
        let within = rates.iter().map(|rate| rate.0.min(limit(growth, rate.1))).sum::<f64>();
        growth = within / usual;
    }
    let excess = |(now, usual): (f64, f64)| {
        let limit = limit(growth, usual);
        if now > limit { 1.0 - limit / now } else { 0.0 }
    };
    rates.into_iter().map(excess).collect()
}
