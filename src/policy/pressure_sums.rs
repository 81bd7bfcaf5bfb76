//! The leader's sum of what routers see of one pool.

use super::organisation_rate::excess_parts;
use super::{PressureNews, PressureReport};
use crate::control::RouterId;
use crate::name::OrganisationName;
use std::collections::BTreeMap;
use std::time::Duration;

/// A router counts for this long after its last report, as its calls are still at the servers.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// How often the sums are built anew.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// The most organisations that a router is told of: those that are furthest beyond their shares.
const MAX_EXCESS: usize = 16;

/// What the routers see of one pool, as one leader knows it. It gives nothing out, so two leaders do not give
/// twice, and the sum of a new one is whole once each router has reported.
#[derive(Debug, Default)]
pub struct PressureSums {
    routers: BTreeMap<RouterId, (Duration, PressureReport)>,
    news: PressureNews,
    /// When the news was put together.
    built_at: Option<Duration>,
}

impl PressureSums {
    /// Takes in a router's report; returns what is known of all, at most 50 ms old. A report with a part that
    /// is not a number is not counted.
    pub fn report(
        &mut self,
        now: Duration,
        router: &RouterId,
        report: PressureReport,
    ) -> PressureNews {
        if report.pressure.is_valid() {
            self.routers.insert(router.clone(), (now, report));
        }
        let is_new = |at: Duration| now < at + UPDATE_INTERVAL;
        if !self.built_at.is_some_and(is_new) {
            self.build(now);
        }
        let since = now.saturating_sub(self.built_at.unwrap_or(now)).as_millis() as u32;
        PressureNews { age_ms: self.news.age_ms + since, ..self.news.clone() }
    }

    fn build(&mut self, now: Duration) {
        self.built_at = Some(now);
        self.routers.retain(|_, (at, _)| now < *at + REPORT_TTL);
        let mut news = PressureNews { excess: self.excess(), ..PressureNews::default() };
        let mut age = Duration::ZERO;
        for (at, report) in self.routers.values() {
            news.pressure.add(&report.pressure);
            age += now.saturating_sub(*at);
        }
        news.routers = self.routers.len() as u32;
        news.age_ms = (age.as_millis() / self.routers.len().max(1) as u128) as u32;
        self.news = news;
    }

    fn excess(&self) -> Vec<(OrganisationName, f32)> {
        let mut rates: BTreeMap<&OrganisationName, (f64, f64)> = BTreeMap::new();
        for rate in self.routers.values().flat_map(|(_, report)| &report.organisations) {
            let sum = rates.entry(&rate.name).or_default();
            sum.0 += f64::from(rate.now.max(0.0));
            sum.1 += f64::from(rate.usual.max(0.0));
        }
        let parts = excess_parts(&rates.values().copied().collect::<Vec<_>>());
        let parts = rates.into_keys().zip(parts).filter(|(_, part)| *part > 0.0);
        let mut excess: Vec<(OrganisationName, f32)> =
            parts.map(|(name, part)| (name.clone(), part as f32)).collect();
        excess.sort_by(|a, b| b.1.total_cmp(&a.1));
        excess.truncate(MAX_EXCESS);
        excess
    }
}
