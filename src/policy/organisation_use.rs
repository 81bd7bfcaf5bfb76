use super::organisation_rate::{NOW_SPAN, excess_parts};
use super::{DecayingSum, OrganisationRate};
use crate::name::OrganisationName;
use std::collections::BTreeMap;
use std::time::Duration;

/// Over how long its usual use is measured.
const USUAL_SPAN: Duration = Duration::from_secs(60);
/// Organisations with fewer calls a second over time are forgotten.
const MIN_RATE: f64 = 0.001;
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

    /// The organisations that use most at present, at most `most` of them.
    pub fn largest(&self, now: Duration, most: usize) -> Vec<OrganisationRate> {
        let rate = |(name, entry): (&OrganisationName, &Use)| OrganisationRate {
            name: name.clone(),
            now: entry.now.rate(now) as f32,
            usual: entry.usual.rate(self.calm) as f32,
        };
        let mut rates: Vec<OrganisationRate> = self.uses.iter().map(rate).collect();
        rates.sort_by(|a, b| b.now.max(b.usual).total_cmp(&a.now.max(a.usual)));
        rates.truncate(most);
        rates
    }

    fn update(&mut self, now: Duration) {
        let calm = self.calm;
        self.uses.retain(|_, entry| entry.usual.rate(calm).max(entry.now.rate(now)) > MIN_RATE);
        let rates = self.uses.values().map(|entry| (entry.now.rate(now), entry.usual.rate(calm)));
        let parts = excess_parts(&rates.collect::<Vec<_>>());
        for (entry, part) in self.uses.values_mut().zip(parts) {
            entry.excess = part;
        }
    }
}
