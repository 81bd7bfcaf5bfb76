use super::Delta;
use super::signal_test::Batch;
use crate::control::{Evidence, Signal, SignalTest};
use crate::name::{TaskKind, VersionKey};

/// Kinds of task that one version is judged at, besides all together.
const KINDS: usize = 8;

/// What a version is held against: the one whose traffic it takes over, where there is one.
#[derive(Debug, Clone, Copy)]
pub struct Reference<'a>(pub Option<&'a Evidence>);

/// Judges one version by what all routers saw of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Judge {
    evidence: Evidence,
}

impl Judge {
    /// Starts with no evidence.
    pub fn open(version: VersionKey) -> Self {
        Self { evidence: Evidence { version, answers: 0, verdict: None, tests: Vec::new() } }
    }

    /// Goes on from evidence.
    pub fn resume(evidence: Evidence) -> Self {
        Self { evidence }
    }

    /// The evidence so far.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Why the version is held to be bad; `None` while it is not.
    pub fn verdict(&self) -> Option<&str> {
        self.evidence.verdict.as_deref()
    }

    /// Ratings seen.
    pub fn ratings(&self) -> u64 {
        let by_kind = |t: &&SignalTest| t.signal == Signal::LowRating && t.kind.is_some();
        let rated = self.evidence.tests.iter().filter(by_kind);
        rated.map(|test| test.count).sum()
    }

    /// How near the strongest test is to its threshold, as a part of it.
    pub fn strength(&self) -> f64 {
        let parts = self.evidence.tests.iter().map(|test| self.part(test));
        parts.fold(0.0, f64::max)
    }

    /// Kinds of task whose ratings have lately been worse than they may be.
    pub fn suspects<'a>(&'a self, against: Reference<'a>) -> impl Iterator<Item = &'a TaskKind> {
        let suspect = move |test: &&SignalTest| test.is_suspect(test.bound(against.like(test)));
        self.evidence.tests.iter().filter(suspect).filter_map(|test| test.kind.as_ref())
    }

    /// Takes counts in.
    pub fn observe(&mut self, delta: &Delta, against: Reference<'_>) {
        let seen = delta.answers + delta.failed + delta.malformed;
        self.evidence.answers += u64::from(seen);
        let kind = Some(&delta.key.kind);
        let failed = Batch::Counts { bad: delta.failed, good: seen - delta.failed };
        let malformed = Batch::Counts { bad: delta.malformed, good: seen - delta.malformed };
        let slow = Batch::Counts { bad: delta.slow, good: delta.firsts - delta.slow };
        for kind in [None, kind] {
            self.test(Signal::Failed, kind, failed, against, None);
            self.test(Signal::Malformed, kind, malformed, against, None);
        }
        self.test(Signal::Slow, None, slow, against, None);
        let ratings = Batch::Ratings(&delta.ratings);
        let bound = self.test(Signal::LowRating, kind, ratings, against, None);
        // Kinds are rated unlike, and their mixture changes: all together are held against the
        // bound of the kind that each rating belongs to.
        if bound.is_some() {
            self.test(Signal::LowRating, None, ratings, against, bound);
        }
        self.decide();
    }

    fn test(
        &mut self,
        signal: Signal,
        kind: Option<&TaskKind>,
        batch: Batch<'_>,
        against: Reference<'_>,
        bound: Option<f64>,
    ) -> Option<f64> {
        let same = |t: &SignalTest| t.signal == signal && t.kind.as_ref() == kind;
        let tests = &mut self.evidence.tests;
        if !tests.iter().any(same) {
            let kinds = tests.iter().filter(|t| t.signal == signal && t.kind.is_some()).count();
            if kind.is_some() && kinds >= KINDS {
                return None;
            }
            tests.push(SignalTest::open(signal, kind.cloned()));
        }
        let test = tests.iter_mut().find(|t| same(t)).expect("the test was just added");
        let bound = bound.or_else(|| test.bound(against.like(test)));
        test.observe(batch, bound);
        bound
    }

    fn decide(&mut self) {
        if self.evidence.verdict.is_some() {
            return;
        }
        let crossed = self.evidence.tests.iter().filter(|test| self.part(test) >= 1.0);
        // A single kind says more than all together.
        self.evidence.verdict = crossed.max_by_key(|test| test.kind.is_some()).map(describe);
    }

    /// A test's wealth as a part of its threshold.
    fn part(&self, test: &SignalTest) -> f64 {
        let same = |t: &&SignalTest| t.signal == test.signal && t.kind.is_some();
        let place = self.evidence.tests.iter().filter(same).position(|t| t.kind == test.kind);
        test.total() / test.threshold(place.unwrap_or(0))
    }
}

impl<'a> Reference<'a> {
    fn like(&self, test: &SignalTest) -> Option<&'a SignalTest> {
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
    let place = test.kind.as_ref().map_or(String::new(), |kind| format!(" at kind '{kind}'"));
    let (recent, mean) = (test.recent, test.reference.unwrap_or(test.mean()));
    format!(
        "{what}{place}: lately {recent:.3} (0 is best), at first {mean:.3}; e-value {:.3e} after {} observations",
        test.total(),
        test.count
    )
}
