//! The naive twin of the judge: a fixed threshold over a window, sliding or tumbling.

use std::collections::VecDeque;

/// The mean of the last observations.
#[derive(Debug, Clone)]
pub struct Window {
    size: usize,
    last: VecDeque<f64>,
    sum: f64,
    tumbling: bool,
}

impl Window {
    pub fn open(size: usize, tumbling: bool) -> Self {
        Self { size, last: VecDeque::with_capacity(size + 1), sum: 0.0, tumbling }
    }

    /// Takes an observation in; the mean once the window is full.
    pub fn push(&mut self, x: f64) -> Option<f64> {
        self.last.push_back(x);
        self.sum += x;
        if self.last.len() > self.size {
            self.sum -= self.last.pop_front().expect("the window is not empty");
        }
        let mean = (self.last.len() == self.size).then(|| self.sum / self.size as f64);
        if mean.is_some() && self.tumbling {
            self.last.clear();
            self.sum = 0.0;
        }
        mean
    }
}
