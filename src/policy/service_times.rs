use super::DecayingSum;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new answer in the averages, once there are `1 / weight` of them.
const WEIGHT: f64 = 0.02;
/// The least part of an answer's time that counts as its own, not as waiting.
const MIN_OWN_FRACTION: f64 = 0.1;
/// Routes with a smaller part of the pool's calls do not determine how long its queue may be.
const MIN_ROUTE_SHARE: f64 = 0.05;
/// The least part of a route's target that is left for waiting.
const MIN_WAIT_FRACTION: f64 = 0.25;
/// Over how long calls of a route are counted.
const COUNT_SPAN: Duration = Duration::from_secs(10);

/// A moving average, in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Average {
    value: f64,
    count: u32,
}

impl Average {
    fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.value += (value - self.value) * weight;
    }
}

/// Times of one route's answers at a pool, without what they waited for a place.
#[derive(Debug, Clone, Copy)]
struct RouteTimes {
    first: Average,
    whole: Average,
    target: f64,
    calls: DecayingSum,
}

/// How long answers of a pool take once they run, from the answers that this router received. What a
/// server's queue added is taken off by the calls that were in line when the call was sent.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    /// The times of all answers, and the turns that they took: those in line and their own.
    time: Average,
    turns: Average,
    routes: HashMap<String, RouteTimes>,
}

impl ServiceTimes {
    /// Counts a call of a route, of which the first event should come within `target`.
    pub fn offer(&mut self, now: Duration, route: &str, target: Duration) {
        if !self.routes.contains_key(route) {
            let times = RouteTimes {
                first: Average::default(),
                whole: Average::default(),
                target: 0.0,
                calls: DecayingSum::new(now, COUNT_SPAN),
            };
            self.routes.insert(route.to_owned(), times);
        }
        let times = self.routes.get_mut(route).expect("the route was just inserted");
        times.target = target.as_secs_f64();
        times.calls.add(now, 1.0);
    }

    /// Records the time to an answer's first event; `turns` were in line for each place at its server.
    pub fn record_first(&mut self, route: &str, time: Duration, turns: f64) {
        let own = self.own_time(time, turns);
        if let Some(times) = self.routes.get_mut(route) {
            times.first.add(own);
        }
    }

    /// Records the time to the end of an answer; `turns` were in line for each place at its server.
    pub fn record_whole(&mut self, route: &str, time: Duration, turns: f64) {
        self.time.add(time.as_secs_f64());
        self.turns.add(1.0 + turns);
        let own = self.own_time(time, turns);
        if let Some(times) = self.routes.get_mut(route) {
            times.whole.add(own);
        }
    }

    /// For how long a call has its place at a server, in seconds; 0 if unknown.
    pub fn place(&self) -> f64 {
        self.time.value / self.turns.value.max(1.0)
    }

    /// How long the first event of a route's answers takes, in seconds; 0 if unknown.
    pub fn first(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(0.0, |times| times.first.value)
    }

    /// How long a route's answers take, in seconds; 0 if unknown.
    pub fn whole(&self, route: &str) -> f64 {
        self.routes.get(route).map_or(0.0, |times| times.whole.value)
    }

    /// How long calls may wait for a place so that those of the route with the least time to spare are
    /// in time, in seconds.
    pub fn longest_wait(&self, now: Duration) -> f64 {
        let all: f64 = self.routes.values().map(|times| times.calls.rate(now)).sum();
        let common = |times: &&RouteTimes| times.calls.rate(now) >= MIN_ROUTE_SHARE * all;
        let spare = |times: &RouteTimes| {
            (times.target - times.first.value).max(MIN_WAIT_FRACTION * times.target)
        };
        self.routes.values().filter(common).map(spare).fold(f64::MAX, f64::min)
    }

    fn own_time(&self, time: Duration, turns: f64) -> f64 {
        let time = time.as_secs_f64();
        (time - turns * self.place()).max(MIN_OWN_FRACTION * time)
    }
}
