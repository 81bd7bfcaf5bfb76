/// Coefficients of the model.
const TERMS: usize = 4;
/// Start values: ms to begin, ms for 1,000 prompt tokens, ms for each running call, ms for each waiting
/// one.
const START: [f64; TERMS] = [40.0, 1_000.0 / 14.0, 1.5, 30.0];
/// Standard deviation of the start values, as a fraction of them.
const START_SPREAD: f64 = 1.0;
/// Standard deviation of one measured time, as a fraction of the expected one.
pub(super) const TIME_SPREAD: f64 = 0.35;
/// Smallest standard deviation of a measured time, in ms.
const MIN_SPREAD_MS: f64 = 5.0;
/// One observation moves the model as if it were at most so many standard deviations off.
const MAX_SURPRISE: f64 = 2.0;
/// Growth of the variances with each observation, as a fraction of those of the start values, so that
/// the model follows a change.
const DRIFT: f64 = 0.002;
/// Bounds of each coefficient, as fractions of its start value. Load always counts for something.
const BOUNDS: [(f64, f64); TERMS] = [(0.02, 20.0), (0.03, 20.0), (0.2, 20.0), (0.3, 30.0)];

/// What delays the first event of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FirstEventWork {
    /// Prompt tokens to be read before it: those of the call and of calls before it.
    pub tokens: f64,
    /// Calls that run beside it.
    pub running: f64,
    /// Calls that wait for a slot before it.
    pub waiting: f64,
}

impl FirstEventWork {
    fn terms(&self) -> [f64; TERMS] {
        [1.0, self.tokens / 1e3, self.running, self.waiting]
    }
}

/// Learns the time to the first event of an answer from measured ones, for servers of usual speed: a
/// linear model, followed by a Kalman filter with bounded surprise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeModel {
    coefficients: [f64; TERMS],
    variances: [[f64; TERMS]; TERMS],
}

impl Default for TimeModel {
    fn default() -> Self {
        let mut variances = [[0.0; TERMS]; TERMS];
        for (term, start) in START.iter().enumerate() {
            variances[term][term] = (start * START_SPREAD).powi(2);
        }
        Self { coefficients: START, variances }
    }
}

impl TimeModel {
    /// The expected time to the first event at a server of usual speed, in ms.
    ///
    /// ```
    /// use samphireshift::policy::{FirstEventWork, TimeModel};
    /// let work = FirstEventWork { tokens: 1_400.0, ..FirstEventWork::default() };
    /// let mut model = TimeModel::default();
    /// assert!((model.expect(&work) - 140.0).abs() < 1e-9);
    /// (0..100).for_each(|_| model.observe(&work, 70.0));
    /// assert!((model.expect(&work) - 70.0).abs() < 5.0);
    /// ```
    pub fn expect(&self, work: &FirstEventWork) -> f64 {
        dot(&self.coefficients, &work.terms())
    }

    /// The time that reading a prompt token takes, in ms.
    pub fn token_ms(&self) -> f64 {
        self.coefficients[1] / 1e3
    }

    /// The time that a waiting call adds, in ms.
    pub fn waiting_ms(&self) -> f64 {
        self.coefficients[3]
    }

    /// Learns from an answer whose first event came after `ms` of work at usual speed.
    pub fn observe(&mut self, work: &FirstEventWork, ms: f64) {
        self.observe_spread(work, ms, 0.0);
    }

    /// The same, where the work is uncertain: `variance` is that of the time it takes, in ms
    /// squared.
    pub fn observe_spread(&mut self, work: &FirstEventWork, ms: f64, variance: f64) {
        let terms = work.terms();
        let expected = dot(&self.coefficients, &terms);
        let noise = (expected * TIME_SPREAD).max(MIN_SPREAD_MS).powi(2) + variance;
        let gains: [f64; TERMS] = std::array::from_fn(|row| dot(&self.variances[row], &terms));
        let variance = dot(&gains, &terms) + noise;
        let most = MAX_SURPRISE * variance.sqrt();
        let surprise = (ms - expected).clamp(-most, most);
        for row in 0..TERMS {
            let (low, high) = BOUNDS[row];
            let moved = self.coefficients[row] + gains[row] / variance * surprise;
            self.coefficients[row] = moved.clamp(START[row] * low, START[row] * high);
            for column in 0..TERMS {
                self.variances[row][column] -= gains[row] * gains[column] / variance;
            }
            let start = (START[row] * START_SPREAD).powi(2);
            let own = &mut self.variances[row][row];
            if *own + start * DRIFT <= start {
                *own += start * DRIFT;
            }
        }
    }
}

fn dot(a: &[f64; TERMS], b: &[f64; TERMS]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
