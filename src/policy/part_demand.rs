use std::collections::HashMap;
use std::time::Duration;

/// Over which time calls are counted; older ones lose weight.
const WINDOW: Duration = Duration::from_secs(60);
/// Parts remembered before those that are hardly used any more are removed.
const PRUNE_THRESHOLD_PARTS: usize = 2_048;
/// Parts of less weight than this are removed.
const MIN_WEIGHT: f64 = 0.1;
/// Places in a prompt that are told apart; those further back count as the last of them.
const PLACES: usize = 4;
/// Calls, a repeated one among them, that a place in the prompt begins with.
const PRIOR: (f64, f64) = (20.0, 1.0);
/// The most calls for a place that are remembered.
const MAX_CALLS: f64 = 400.0;
/// Calls with the usual part that the usual rate is worth, beside those with one part.
const USUAL_CALLS: f64 = 20.0;
/// Calls of a part below which they say little about its rate.
const MIN_CALLS: f64 = 2.5;

/// How often prompts have a part, at all routers, judged by the calls of one of them.
#[derive(Debug, Clone)]
pub struct PartDemand {
    parts: HashMap<u64, Weight>,
    /// Calls, and those whose part at this place was known, for each place in the prompt.
    places: [(f64, f64); PLACES],
    /// When the first call came.
    begun: Option<Duration>,
}

impl Default for PartDemand {
    fn default() -> Self {
        Self { parts: HashMap::new(), places: [PRIOR; PLACES], begun: None }
    }
}

/// Calls with a part; each loses weight with its age.
#[derive(Debug, Clone, Copy)]
struct Weight {
    calls: f64,
    at: Duration,
}

impl Weight {
    fn now(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64() / WINDOW.as_secs_f64();
        self.calls * (-age).exp()
    }
}

impl PartDemand {
    /// Counts a call whose prompt begins with these parts.
    pub fn count<I>(&mut self, parts: I, now: Duration)
    where
        I: IntoIterator<Item = u64>,
    {
        self.begun.get_or_insert(now);
        if self.parts.len() >= PRUNE_THRESHOLD_PARTS {
            self.parts.retain(|_, weight| weight.now(now) >= MIN_WEIGHT);
        }
        for (place, id) in parts.into_iter().enumerate() {
            let known = self.weight(id, now);
            self.parts.insert(id, Weight { calls: known + 1.0, at: now });
            if known >= 1.0 {
                // Calls of a hot part would make all others look hot.
                continue;
            }
            let (calls, repeats) = &mut self.places[place.min(PLACES - 1)];
            if *calls >= MAX_CALLS {
                (*calls, *repeats) = (*calls / 2.0, *repeats / 2.0);
            }
            *calls += 1.0;
            *repeats += known;
        }
    }

    /// Calls a second with a part at all `routers`. A part that this router has hardly seen counts like
    /// the usual one at its place in the prompt, judged by how many are seen again.
    ///
    /// ```
    /// use samphireshift::policy::PartDemand;
    /// use std::time::Duration;
    /// let mut demand = PartDemand::default();
    /// let at = |call: u64| Duration::from_millis(call * 100);
    /// (0..400).for_each(|call| demand.count([1, 1_000 + call], at(call)));
    /// let (hot, rare) = (demand.rate(1, 0, 10.0, at(400)), demand.rate(7, 1, 10.0, at(400)));
    /// assert!(hot > 50.0 && hot < 120.0, "{hot}");
    /// assert!(rare < 0.2, "{rare}");
    /// ```
    pub fn rate(&self, id: u64, place: usize, routers: f64, now: Duration) -> f64 {
        let span = self.span(now);
        let calls = self.weight(id, now);
        let (all, repeats) = self.places[place.min(PLACES - 1)];
        let seen_again = (repeats / all).min(0.95);
        // Poisson: the fraction seen again gives the usual rate.
        let usual = -(1.0 - seen_again).ln() * routers / span;
        let shrunk = (USUAL_CALLS + calls) / (USUAL_CALLS / usual + span / routers);
        // Many calls speak for themselves.
        let own = if calls < MIN_CALLS { 0.0 } else { calls * routers / span };
        shrunk.max(own)
    }

    fn weight(&self, id: u64, now: Duration) -> f64 {
        self.parts.get(&id).map_or(0.0, |weight| weight.now(now))
    }

    /// The time that the weights stand for, in seconds.
    fn span(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.begun.unwrap_or(now)).as_secs_f64();
        let window = WINDOW.as_secs_f64();
        (window * (1.0 - (-age / window).exp())).max(1.0)
    }
}
