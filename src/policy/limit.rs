use std::time::Duration;

/// Calls that this router may have under way at a server before anything is known of it.
const START: f64 = 8.0;
/// The least that a limit falls to, so that a server is never given up by its limit alone.
const FLOOR: f64 = 1.0;
/// The limit after a server said that it is overloaded, as a share of the limit before.
const DECREASE: f64 = 0.7;
/// Waiting requests, as a share of a server's slots, from which the limit falls.
const WAITING_SHARE: f64 = 0.25;
/// Use of the limit, as a share, from which it may rise.
const USE_SHARE: f64 = 0.7;
/// The rise at one report, as a share of the limit, and at least by one call.
const INCREASE_SHARE: f64 = 0.25;
/// The shortest time between two decreases: the effect of one must show first.
const COOLDOWN: Duration = Duration::from_millis(700);

/// An adaptive limit on the calls under way at one server: additive increase, multiplicative
/// decrease (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
/// Avoidance", 1989), steered by lagging load reports and by refusals.
#[derive(Debug, Clone)]
pub struct Limit {
    value: f64,
    known: bool,
    lowered: Option<Duration>,
}

impl Default for Limit {
    fn default() -> Self {
        Self { value: START, known: false, lowered: None }
    }
}

impl Limit {
    /// Calls that may be under way.
    ///
    /// ```
    /// use samphireshift::policy::Limit;
    /// use std::time::Duration;
    /// let mut limit = Limit::default();
    /// let before = limit.calls();
    /// limit.overloaded(Duration::from_secs(1));
    /// assert!(limit.calls() < before);
    /// ```
    pub fn calls(&self) -> u64 {
        self.value as u64
    }

    /// Takes in a load report: requests waiting at the server, its slots, and this router's own
    /// calls under way.
    pub fn reported(&mut self, now: Duration, waiting: u64, slots: u64, own: u64) {
        let slots = slots.max(1) as f64;
        if !self.known {
            self.known = true;
            self.value = self.value.max(slots);
        }
        if waiting as f64 > slots * WAITING_SHARE {
            self.lower(now);
            return;
        }
        if waiting == 0 && own as f64 >= self.value * USE_SHARE {
            let rise = (self.value * INCREASE_SHARE).max(1.0);
            self.value = (self.value + rise).min(slots * 2.0).max(FLOOR);
        }
    }

    /// Takes in a refusal of the server for overload.
    pub fn overloaded(&mut self, now: Duration) {
        self.lower(now);
    }

    fn lower(&mut self, now: Duration) {
        if self.lowered.is_some_and(|at| now < at + COOLDOWN) {
            return;
        }
        self.lowered = Some(now);
        self.value = (self.value * DECREASE).max(FLOOR);
    }
}
