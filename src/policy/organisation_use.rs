use super::DecayingSum;
use crate::name::OrganisationName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Over how long an organisation's present use is measured.
const NOW_SPAN: Duration = Duration::from_secs(2);
/// Over how long its usual use is measured.
const USUAL_SPAN: Duration = Duration::from_secs(60);
/// How much more than all together an organisation's use may grow before it pays for it itself.
const GROWTH_SLACK: f64 = 1.3;
/// Standard deviations of a random count that do not count as growth.
const NOISE_DEVIATIONS: f64 = 2.0;
/// The least usual use, as a part of the mean of all organisations: a rare caller is not a burst.
const MIN_USUAL: f64 = 0.25;
/// Organisations with fewer calls a second over time are forgotten.
const MIN_RATE: f64 = 0.001;
/// Iterations of the fixed point for the common growth.
const STEPS: usize = 8;
/// How often the shares are found anew.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// The most organisations that are told apart; the use of others counts as common.
const MAX_ORGANISATIONS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Use {
    now: DecayingSum,
    usual: DecayingSum,
    /// The part of its calls that is beyond its share.
    excess: f64,
}

/// Finds organisations whose use of a pool has grown more than that of all together. What they use
/// beyond that growth is excess.
#[derive(Debug, Clone, Default)]
pub struct OrganisationUse {
    uses: BTreeMap<OrganisationName, Use>,
    /// When the first call was counted.
    begun: Option<Duration>,
    counted_at: Duration,
    /// Clock of the usual use; it stands still while the pool is full.
    calm: Duration,
    updated_at: Duration,
}

impl OrganisationUse {
    /// Counts a call. What is used while there `is_room` for all is what is usual.
    pub fn add(&mut self, now: Duration, organisation: &OrganisationName, is_room: bool) {
        let begun = *self.begun.get_or_insert(now);
        if is_room && self.counted_at > Duration::ZERO {
            self.calm += now.saturating_sub(self.counted_at);
        }
        self.counted_at = now;
        if !self.uses.contains_key(organisation) {
            if self.uses.len() >= MAX_ORGANISATIONS {
                return;
            }
            let entry = Use {
                now: DecayingSum::new(begun, NOW_SPAN),
                usual: DecayingSum::new(Duration::ZERO, USUAL_SPAN),
                excess: 0.0,
            };
            self.uses.insert(organisation.clone(), entry);
        }
        let entry = self.uses.get_mut(organisation).expect("the organisation was just inserted");
        entry.now.add(now, 1.0);
        if is_room {
            entry.usual.add(self.calm, 1.0);
        }
    }

    /// The part of an organisation's calls that is beyond its share, from 0 to 1.
    ///
    /// ```
    /// use samphireshift::name::OrganisationName;
    /// use samphireshift::policy::OrganisationUse;
    /// use std::time::Duration;
    /// let [hot, steady] = ["hot", "steady"].map(OrganisationName::new);
    /// let mut uses = OrganisationUse::default();
    /// for tenth in 0..900 {
    ///     let now = Duration::from_millis(100 * tenth);
    ///     let is_room = tenth <= 800;
    ///     (0..3).for_each(|_| uses.add(now, &steady, is_room));
    ///     let count = if is_room { 1 } else { 7 };
    ///     (0..count).for_each(|_| uses.add(now, &hot, is_room));
    /// }
    /// let now = Duration::from_secs(90);
    /// assert!(uses.excess(now, &hot) > 0.5);
    /// assert_eq!(uses.excess(now, &steady), 0.0);
    /// ```
    pub fn excess(&mut self, now: Duration, organisation: &OrganisationName) -> f64 {
        if now >= self.updated_at + UPDATE_INTERVAL {
            self.updated_at = now;
            self.update(now);
        }
        self.uses.get(organisation).map_or(0.0, |entry| entry.excess)
    }

    fn update(&mut self, now: Duration) {
        let calm = self.calm;
        self.uses.retain(|_, entry| entry.usual.rate(calm).max(entry.now.rate(now)) > MIN_RATE);
        let span = NOW_SPAN.as_secs_f64();
        let mean = self.uses.values().map(|entry| entry.usual.rate(calm)).sum::<f64>()
            / self.uses.len().max(1) as f64;
        let rates: Vec<(f64, f64)> = self
            .uses
            .values()
            .map(|entry| (entry.now.rate(now), entry.usual.rate(calm).max(MIN_USUAL * mean)))
            .collect();
        let usual: f64 = rates.iter().map(|rate| rate.1).sum();
        let limit = |growth: f64, usual: f64| {
            let calls = growth * usual * span;
            (GROWTH_SLACK * calls + NOISE_DEVIATIONS * calls.sqrt() + 1.0) / span
        };
        let mut growth = rates.iter().map(|rate| rate.0).sum::<f64>() / usual;
        for _ in 0..STEPS {
            let within = rates.iter().map(|rate| rate.0.min(limit(growth, rate.1))).sum::<f64>();
            growth = within / usual;
        }
        for (entry, (rate, usual)) in self.uses.values_mut().zip(rates) {
            let limit = limit(growth, usual);
            entry.excess = if rate > limit { 1.0 - limit / rate } else { 0.0 };
        }
    }
}
