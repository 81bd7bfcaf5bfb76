//! Moving average for the alternative that the sequential tests are compared with: a fixed
//! threshold on the mean of a sliding or tumbling window.

use std::collections::VecDeque;

/// Mean of the last `size` observations. A tumbling window is emptied each time it is full.
#[derive(Debug, Clone)]
pub struct Window {
    size: usize,
    values: VecDeque<f64>,
    sum: f64,
    tumbling: bool,
}

impl Window {
    pub fn new(size: usize, tumbling: bool) -> Self {
        Self { size, values: VecDeque::with_capacity(size + 1), sum: 0.0, tumbling }
    }

    /// Adds an observation; returns the mean if the window is full.
    pub fn push(&mut self, value: f64) -> Option<f64> {
        self.values.push_back(value);
        self.sum += value;
        if self.values.len() > self.size {
            self.sum -= self.values.pop_front().expect("the window is not empty");
        }
        let mean = (self.values.len() == self.size).then(|| self.sum / self.size as f64);
        if mean.is_some() && self.tumbling {
            self.values.clear();
            self.sum = 0.0;
        }
        mean
    }
}
