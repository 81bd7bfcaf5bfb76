//! The exchanges of routers with their leader: each reports in turn, and gets the sums some time later.

use super::{Day, Trouble, WARM_UP_MS, ms};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use samphireshift::control::RouterId;
use samphireshift::name::VmName;
use samphireshift::policy::{PressureNews, PressureReport, PressureSums};
use std::collections::BTreeMap;

/// How often a router reports, in ms.
const INTERVAL_MS: u64 = 250;
/// How long no leader answers in [`Trouble::NewLeader`].
const ELECTION_MS: u64 = 3_000;
/// Seed of the answers' delays.
const SEED: u64 = 152;

/// What happens between a router and its leader.
#[derive(Debug)]
pub enum Exchange {
    Ask { router: usize },
    Answer { router: usize, asked_at: u64, news: PressureNews },
}

#[derive(Debug)]
pub struct Leaders {
    trouble: Trouble,
    lag_ms: (u64, u64),
    sums: [PressureSums; 2],
    random: Pcg64Mcg,
    /// What happens, by its time and number.
    events: BTreeMap<(u64, u64), Exchange>,
    number: u64,
}

impl Leaders {
    pub fn new(day: &Day) -> Self {
        let mut leaders = Self {
            trouble: day.trouble,
            lag_ms: day.lag_ms,
            sums: Default::default(),
            random: Pcg64Mcg::seed_from_u64(SEED),
            events: BTreeMap::new(),
            number: 0,
        };
        for router in 0..day.routers {
            let at = INTERVAL_MS * router as u64 / day.routers as u64;
            leaders.push(at, Exchange::Ask { router });
        }
        leaders
    }

    /// What comes next, until now.
    pub fn next(&mut self, now: u64) -> Option<(u64, Exchange)> {
        let first = self.events.first_entry().filter(|first| first.key().0 <= now)?;
        let ((at, _), exchange) = first.remove_entry();
        Some((at, exchange))
    }

    /// A router's report comes to its leader.
    pub fn take(&mut self, at: u64, router: usize, report: PressureReport) {
        self.push(at + INTERVAL_MS, Exchange::Ask { router });
        let since = at.checked_sub(WARM_UP_MS);
        let leader = match (self.trouble, since) {
            (Trouble::NoLeader, Some(_)) => return,
            (Trouble::NewLeader, Some(since)) if since < ELECTION_MS => return,
            (Trouble::NewLeader, Some(_)) => 1,
            (Trouble::TwoLeaders, Some(_)) => router % 2,
            _ => 0,
        };
        let id = RouterId { vm: VmName::new(format!("vm-{router}")), run: 1 };
        let news = self.sums[leader].report(ms(at), &id, report);
        let lag = self.random.random_range(self.lag_ms.0..=self.lag_ms.1);
        self.push(at + lag, Exchange::Answer { router, asked_at: at, news });
    }

    fn push(&mut self, at: u64, exchange: Exchange) {
        self.number += 1;
        self.events.insert((at, self.number), exchange);
    }
}
