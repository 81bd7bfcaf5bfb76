use super::StatDelta;
use super::signal_test::ObservationBatch;
use crate::control::{Evidence, Signal, SignalTest};
use crate::name::{TaskKind, VersionKey};

/// Maximum number of task kinds that a version is tested on separately, besides the test over all
/// kinds.
const MAX_KINDS: usize = 8;

/// Evidence on the version that a tested version is compared with: the source of its running
/// roll-out; `None` without one.
#[derive(Debug, Clone, Copy)]
pub struct Baseline<'a>(pub Option<&'a Evidence>);

/// Runs the sequential tests of one version on the answers observed of it.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionMonitor {
    evidence: Evidence,
}

impl VersionMonitor {
    /// Starts without evidence.
    pub fn new(version: VersionKey) -> Self {
        Self { evidence: Evidence { version, answers: 0, verdict: None, tests: Vec::new() } }
    }

    /// Continues from committed evidence.
    pub fn resume(evidence: Evidence) -> Self {
        Self { evidence }
    }

    /// The evidence so far.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Why the version was found bad; `None` if it was not.
    pub fn verdict(&self) -> Option<&str> {
        self.evidence.verdict.as_deref()
    }

    /// Number of ratings observed, over the kinds that are tested separately.
    pub fn ratings(&self) -> u64 {
        let by_kind = |t: &&SignalTest| t.signal == Signal::LowRating && t.kind.is_some();
        let rated = self.evidence.tests.iter().filter(by_kind);
        rated.map(|test| test.count).sum()
    }

    /// The largest ratio of a test's wealth to its threshold; at 1 the version is found bad.
    pub fn strength(&self) -> f64 {
        let parts = self.evidence.tests.iter().map(|test| self.threshold_ratio(test));
        parts.fold(0.0, f64::max)
    }

    /// Task kinds whose recent ratings are worse than those of a good version may be on average.
    pub fn suspect_kinds<'a>(
        &'a self,
        baseline: Baseline<'a>,
    ) -> impl Iterator<Item = &'a TaskKind> {
        let suspect =
            move |test: &&SignalTest| test.is_suspect(test.bound(baseline.matching(test)));
        self.evidence.tests.iter().filter(suspect).filter_map(|test| test.kind.as_ref())
    }

    /// Adds counts to the tests of each signal, and updates the verdict.
    pub fn observe(&mut self, delta: &StatDelta, baseline: Baseline<'_>) {
        let attempts = delta.answers + delta.failed + delta.malformed;
        self.evidence.answers += u64::from(attempts);
        let kind = Some(&delta.key.kind);
        let failed = ObservationBatch::Counts { bad: delta.failed, good: attempts - delta.failed };
        let malformed =
            ObservationBatch::Counts { bad: delta.malformed, good: attempts - delta.malformed };
        let slow =
            ObservationBatch::Counts { bad: delta.slow, good: delta.first_tokens - delta.slow };
        for kind in [None, kind] {
            self.run_test(Signal::Failed, kind, failed, baseline, None);
            self.run_test(Signal::Malformed, kind, malformed, baseline, None);
        }
        self.run_test(Signal::Slow, None, slow, baseline, None);
        let ratings = ObservationBatch::Ratings(&delta.ratings);
        let bound = self.run_test(Signal::LowRating, kind, ratings, baseline, None);
        // Kinds of task are rated differently, and their mixture changes over time. The test over
        // all kinds therefore uses the bound of the kind that each rating belongs to.
        if bound.is_some() {
            self.run_test(Signal::LowRating, None, ratings, baseline, bound);
        }
        self.update_verdict();
    }

    fn run_test(
        &mut self,
        signal: Signal,
        kind: Option<&TaskKind>,
        batch: ObservationBatch<'_>,
        baseline: Baseline<'_>,
        bound: Option<f64>,
    ) -> Option<f64> {
        let same = |t: &SignalTest| t.signal == signal && t.kind.as_ref() == kind;
        let tests = &mut self.evidence.tests;
        if !tests.iter().any(same) {
            let kinds = tests.iter().filter(|t| t.signal == signal && t.kind.is_some()).count();
            if kind.is_some() && kinds >= MAX_KINDS {
                return None;
            }
            tests.push(SignalTest::new(signal, kind.cloned()));
        }
        let test = tests.iter_mut().find(|t| same(t)).expect("the test was just added");
        let bound = bound.or_else(|| test.bound(baseline.matching(test)));
        test.observe(batch, bound);
        bound
    }

    fn update_verdict(&mut self) {
        if self.evidence.verdict.is_some() {
            return;
        }
        let crossed = self.evidence.tests.iter().filter(|test| self.threshold_ratio(test) >= 1.0);
        // The result for a single kind is more specific than the one over all kinds.
        self.evidence.verdict = crossed.max_by_key(|test| test.kind.is_some()).map(describe);
    }

    /// A test's wealth as a fraction of its threshold.
    fn threshold_ratio(&self, test: &SignalTest) -> f64 {
        let same = |t: &&SignalTest| t.signal == test.signal && t.kind.is_some();
        let position = self.evidence.tests.iter().filter(same).position(|t| t.kind == test.kind);
        test.total_wealth() / test.threshold(position.unwrap_or(0))
    }
}

impl<'a> Baseline<'a> {
    fn matching(&self, test: &SignalTest) -> Option<&'a SignalTest> {
        let same = |t: &&SignalTest| t.signal == test.signal && t.kind == test.kind;
        self.0?.tests.iter().find(same)
    }
}

fn describe(test: &SignalTest) -> String {
    let what = match test.signal {
        Signal::Failed => "failed answers",
        Signal::Malformed => "malformed answers",
        Signal::LowRating => "low ratings",
        Signal::Slow => "late first tokens",
    };
    let scope = test.kind.as_ref().map_or(String::new(), |kind| format!(" for kind '{kind}'"));
    let (recent, mean) = (test.recent, test.reference.unwrap_or(test.mean()));
    format!(
        "{what}{scope}: recent mean {recent:.3} (0 is best), reference mean {mean:.3}; e-value {:.3e} after {} observations",
        test.total_wealth(),
        test.count
    )
}
