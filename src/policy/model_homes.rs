//! Models of unlike size on the same servers: a batch goes at the pace of the largest model in it, so
//! each model gets servers of its own, as many as its work needs.

use crate::name::ModelName;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Pools with fewer servers than this are not divided.
const MIN_SERVERS: usize = 6;
/// Smallest fraction of the servers for a model that has at least `MIN_WORK`; equal parts if there are
/// too many models.
const MIN_PART: f64 = 0.2;
/// A model with less than this part of the work gets no servers of its own.
const MIN_WORK: f64 = 0.01;
/// Time constant with which past work is forgotten.
const MEMORY: Duration = Duration::from_secs(10);

/// The work of a pool's models, as one router sees it.
#[derive(Debug, Clone, Default)]
pub struct ModelHomes {
    models: BTreeMap<ModelName, ModelWork>,
}

#[derive(Debug, Clone, Copy)]
struct ModelWork {
    amount: f64,
    at: Duration,
}

impl ModelWork {
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.amount * (-age / MEMORY.as_secs_f64()).exp()
    }
}

impl ModelHomes {
    /// Records a call of a model; `work` is the call's size in any unit that is the same for all models of the pool.
    pub fn record(&mut self, now: Duration, model: &ModelName, work: f64) {
        let known = self.models.get(model).map_or(0.0, |known| known.at(now));
        let amount = known + work.max(0.0);
        self.models.insert(model.clone(), ModelWork { amount, at: now });
    }

    /// Which of `servers` are a model's own, as a range in an order of servers that is the same in all
    /// routers. All of them if the pool is small or the model has little work.
    ///
    /// ```
    /// use samphireshift::name::ModelName;
    /// use samphireshift::policy::ModelHomes;
    /// use std::time::Duration;
    /// let (small, large) = (ModelName::new("a-small"), ModelName::new("b-large"));
    /// let mut homes = ModelHomes::default();
    /// homes.record(Duration::ZERO, &small, 1.0);
    /// homes.record(Duration::ZERO, &large, 1.0);
    /// assert_eq!(homes.own(Duration::ZERO, &small, 10), 0..5);
    /// assert_eq!(homes.own(Duration::ZERO, &large, 10), 5..10);
    /// ```
    pub fn own(&self, now: Duration, model: &ModelName, servers: usize) -> Range<usize> {
        let all = 0..servers;
        if servers < MIN_SERVERS {
            return all;
        }
        let parts = self.parts(now);
        let Some(index) = parts.iter().position(|(name, _)| *name == model) else { return all };
        let before: f64 = parts[..index].iter().map(|(_, part)| part).sum();
        let edge = |fraction: f64| (fraction * servers as f64).round() as usize;
        edge(before)..edge(before + parts[index].1)
    }

    /// The part of the servers for each model, from 0 to 1; the sum is 1.
    fn parts(&self, now: Duration) -> Vec<(&ModelName, f64)> {
        let works = self.models.iter().map(|(name, work)| (name, work.at(now)));
        let mut parts: Vec<(&ModelName, f64)> = works.collect();
        let total: f64 = parts.iter().map(|(_, work)| work).sum();
        parts.retain(|(_, work)| *work > MIN_WORK * total);
        let count = parts.len() as f64;
        let floor = MIN_PART.min(1.0 / count.max(1.0));
        let kept: f64 = parts.iter().map(|(_, work)| work).sum();
        for (_, part) in &mut parts {
            *part = floor + (1.0 - floor * count) * *part / kept;
        }
        parts
    }
}
