//! A router of the play: what it knows of limits, the calls that wait, and its exchange with the leader.

use super::{Day, Exchange, PATIENCE_MS, Policy, at, encoded, server};
use samphireshift::control::RouterId;
use samphireshift::name::VmName;
use samphireshift::policy::{Admission, LimitAsk, LocalLimits};
use std::collections::VecDeque;
use std::time::Duration;

pub struct Router {
    pub id: RouterId,
    pub local: LocalLimits,
    /// When each waiting call arrived.
    pub waiting: VecDeque<u64>,
    pub exchange: Option<Exchange>,
    pub next_report: u64,
    pub has_news: bool,
    /// Buckets of the simple policies.
    pub buckets: Vec<f64>,
    pub stopped_until: u64,
    pub cut_until: u64,
    /// Bytes that were exchanged with the leader.
    pub bytes: usize,
}

impl Router {
    pub fn new(index: usize, run: u64, day: Day, phase: f64) -> Self {
        let mut local = LocalLimits::new(phase);
        local.set_fleet(at(run), day.routers as u32);
        Self {
            id: RouterId { vm: VmName::new(format!("router-{index}")), run },
            local,
            waiting: VecDeque::new(),
            exchange: None,
            next_report: run,
            has_news: false,
            buckets: vec![0.0; day.servers],
            stopped_until: 0,
            cut_until: 0,
            bytes: 0,
        }
    }

    pub fn may_send(&mut self, now: u64, index: usize, policy: Policy) -> bool {
        if policy == Policy::Shared {
            let name = server(index);
            return match self.local.admission(at(now), &name) {
                Admission::Free => true,
                Admission::Ready => self.local.take(at(now), &name).is_some(),
                Admission::Dry => false,
            };
        }
        let has_token = self.buckets[index] >= 1.0;
        self.buckets[index] -= f64::from(u8::from(has_token));
        has_token
    }

    pub fn begin_exchange(&mut self, now: u64, day: Day) {
        let servers = (0..day.servers).map(server).collect();
        let count = self.waiting.len() as u32;
        let newest = self.waiting.back().copied().unwrap_or(0);
        let lasts = Duration::from_millis((newest + PATIENCE_MS).saturating_sub(now));
        let ask = LimitAsk { servers, count, rank: 5, lasts };
        let asks = if count > 0 { vec![ask] } else { Vec::new() };
        self.has_news = false;
        let (known, demand) = (self.local.position(), self.local.report(at(now), asks));
        self.bytes += encoded(&(&self.id, known, &demand));
        self.exchange =
            Some(Exchange { asked_at: now, held_until: None, known, demand, answer: None });
    }
}
