use crate::target::{RequestOutcome, Target};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::time::Duration;

/// Percentiles in the table and in JSON.
const PERCENTILES: [f64; 4] = [50.0, 95.0, 99.0, 99.9];
/// Longest latency that the histograms distinguish; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Latencies of one target in microseconds, counted from the scheduled times.
pub struct LatencyReport {
    pub name: &'static str,
    /// Time to the first token.
    pub first_token: Histogram<u64>,
    /// Time to the end of the response.
    pub total: Histogram<u64>,
    /// Requests without a complete response; they are in no histogram.
    pub failed: u64,
    /// Scheduled time in seconds from the start, and latency of the first token in microseconds.
    pub samples: Vec<(f64, u64)>,
}

impl LatencyReport {
    /// Builds one report for each target.
    pub fn from_outcomes(targets: &[Target], outcomes: &[RequestOutcome]) -> Vec<Self> {
        let start = outcomes.iter().map(|outcome| outcome.scheduled_at).min();
        let mut reports: Vec<Self> = targets.iter().map(|target| Self::new(target.name)).collect();
        for outcome in outcomes {
            let offset = start.map_or(Duration::ZERO, |start| outcome.scheduled_at - start);
            reports[outcome.target].add(outcome, offset);
        }
        reports
    }

    fn new(name: &'static str) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
        let (first_token, total) = (histogram(), histogram());
        Self { name, first_token, total, failed: 0, samples: Vec::new() }
    }

    fn add(&mut self, outcome: &RequestOutcome, offset: Duration) {
        let Some(first_token) = outcome.first_frame.filter(|_| outcome.complete) else {
            self.failed += 1;
            return;
        };
        let micros = |time: std::time::Instant| (time - outcome.scheduled_at).as_micros() as u64;
        self.first_token.saturating_record(micros(first_token));
        self.total.saturating_record(micros(outcome.finished_at));
        self.samples.push((offset.as_secs_f64(), micros(first_token)));
    }

    pub fn json(&self) -> Value {
        let values = |histogram: &Histogram<u64>| -> Value {
            let pair = |p: &f64| (format!("p{p}"), Value::from(histogram.value_at_percentile(*p)));
            Value::Object(PERCENTILES.iter().map(pair).collect())
        };
        json!({
            "name": self.name, "answers": self.first_token.len(), "failed": self.failed,
            "first_token_us": values(&self.first_token), "whole_us": values(&self.total),
        })
    }

    pub fn print(&self) {
        println!("{}: {} whole answers, {} failed", self.name, self.first_token.len(), self.failed);
        for (label, histogram) in [("first token", &self.first_token), ("whole", &self.total)] {
            print!("  {label:<12}");
            for p in PERCENTILES {
                print!(" p{p} {:>9} us", histogram.value_at_percentile(p));
            }
            println!();
        }
    }
}
