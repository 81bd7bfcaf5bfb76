use crate::target::{Outcome, Target};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::time::Duration;

/// Percentiles in the table.
const SHOWN: [f64; 4] = [50.0, 95.0, 99.0, 99.9];
/// The longest latency that is told apart, in microseconds.
const LONGEST: u64 = 600_000_000;

/// Latencies of one target, from the scheduled times.
pub struct Report {
    pub name: &'static str,
    pub first: Histogram<u64>,
    pub end: Histogram<u64>,
    pub failed: u64,
    /// Scheduled second and latency of each first token, in microseconds.
    pub points: Vec<(f64, u64)>,
}

impl Report {
    /// Gathers the outcomes of each target.
    pub fn gather(targets: &[Target], outcomes: &[Outcome]) -> Vec<Self> {
        let start = outcomes.iter().map(|outcome| outcome.scheduled).min();
        let mut reports: Vec<Self> = targets.iter().map(|target| Self::open(target.name)).collect();
        for outcome in outcomes {
            let since = start.map_or(Duration::ZERO, |start| outcome.scheduled - start);
            reports[outcome.target].add(outcome, since);
        }
        reports
    }

    fn open(name: &'static str) -> Self {
        let histogram = || Histogram::new_with_bounds(1, LONGEST, 3).expect("valid bounds");
        let (first, end) = (histogram(), histogram());
        Self { name, first, end, failed: 0, points: Vec::new() }
    }

    fn add(&mut self, outcome: &Outcome, since: Duration) {
        let Some(first) = outcome.first.filter(|_| outcome.whole) else {
            self.failed += 1;
            return;
        };
        let micros = |time: std::time::Instant| (time - outcome.scheduled).as_micros() as u64;
        self.first.saturating_record(micros(first));
        self.end.saturating_record(micros(outcome.end));
        self.points.push((since.as_secs_f64(), micros(first)));
    }

    pub fn json(&self) -> Value {
        let values = |histogram: &Histogram<u64>| -> Value {
            let pair = |p: &f64| (format!("p{p}"), Value::from(histogram.value_at_percentile(*p)));
            Value::Object(SHOWN.iter().map(pair).collect())
        };
        json!({
            "name": self.name, "answers": self.first.len(), "failed": self.failed,
            "first_token_us": values(&self.first), "whole_us": values(&self.end),
        })
    }

    pub fn print(&self) {
        println!("{}: {} whole answers, {} failed", self.name, self.first.len(), self.failed);
        for (what, histogram) in [("first token", &self.first), ("whole", &self.end)] {
            print!("  {what:<12}");
            for p in SHOWN {
                print!(" p{p} {:>9} us", histogram.value_at_percentile(p));
            }
            println!();
        }
    }
}
