//! The ledger against a naive twin, under thousands of random histories.

use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use samphireshift::control::RouterId;
use samphireshift::ledger::{
    Bill, Claim, ClaimState, LedgerCommand, LedgerOutcome, LedgerState, Pin, PinState, Retention,
    StoredAnswer,
};
use samphireshift::name::{
    IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey, VmName,
};
use std::time::Duration;

const CASES: u32 = 2_000;
const WINDOW: u64 = 10;

/// Cases of one random test; `SAMPHIRESHIFT_CASES` makes the long run outside CI.
fn runner() -> TestRunner {
    let asked = std::env::var("SAMPHIRESHIFT_CASES").ok().and_then(|text| text.parse().ok());
    let cases = asked.unwrap_or(CASES);
    let config = Cases { cases, failure_persistence: None, ..Cases::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Small numbers stand for names, so that histories collide often.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Pin {
        session: u8,
        version: u8,
        first: Option<u8>,
    },
    SettlePin {
        session: u8,
        request: u8,
        version: u8,
    },
    Claim {
        key: u8,
        request: u8,
    },
    Release {
        key: u8,
        request: u8,
    },
    Settle {
        key: u8,
        request: u8,
        answer: Option<u8>,
    },
    Bill {
        request: u8,
    },
    Tick {
        seconds: u64,
    },
    /// A tick that was meant for an earlier time.
    LateTick,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let few = || 0..3u8;
    let first = prop::option::of(few());
    prop_oneof![
        3 => (few(), few(), first).prop_map(|(session, version, first)| Step::Pin { session, version, first }),
        2 => (few(), few(), few()).prop_map(|(session, request, version)| Step::SettlePin { session, request, version }),
        4 => (few(), 0..6u8).prop_map(|(key, request)| Step::Claim { key, request }),
        2 => (few(), 0..6u8).prop_map(|(key, request)| Step::Release { key, request }),
        4 => (few(), 0..6u8, prop::option::of(few())).prop_map(|(key, request, answer)| Step::Settle { key, request, answer }),
        2 => (0..6u8).prop_map(|request| Step::Bill { request }),
        2 => (1..8u64).prop_map(|seconds| Step::Tick { seconds }),
        1 => Just(Step::LateTick),
        1 => Just(Step::Restart),
    ]
}

fn organisation() -> OrganisationName {
    OrganisationName::new("o")
}

fn request(number: u8) -> RequestId {
    RequestId::parse(&format!("{number:032x}")).unwrap()
}

fn version(number: u8) -> VersionKey {
    VersionKey::parse(&format!("m/v{number}")).unwrap()
}

fn key(number: u8) -> IdempotencyKey {
    IdempotencyKey::new(format!("k{number}"))
}

fn session(number: u8) -> SessionName {
    SessionName::new(format!("s{number}"))
}

fn owner() -> RouterId {
    RouterId { vm: VmName::new("a"), run: 1 }
}

fn bill(number: u8) -> Bill {
    Bill { request: request(number), item: "x".into(), prompt_tokens: 1, answer_tokens: 1, cost: 7 }
}

fn stored(number: u8) -> StoredAnswer {
    StoredAnswer { status: 200, content_type: "text/plain".into(), body: vec![number].into() }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    Running,
    Answered(u8),
    Unknown,
}

/// The naive twin: every record in one list with the second when it was touched.
#[derive(Default)]
struct Twin {
    now: u64,
    pins: Vec<(u8, u8, Option<u8>, u64)>,
    claims: Vec<(u8, u8, Outcome, u64)>,
    bills: Vec<(u8, u64)>,
    void: Vec<(u8, u64)>,
    billed: u64,
}

impl Twin {
    fn put_bill(&mut self, request: u8) -> bool {
        let fresh = !self.bills.iter().any(|(r, _)| *r == request);
        if fresh {
            self.bills.push((request, self.now));
            self.billed += 1;
        }
        fresh
    }

    fn tick(&mut self, seconds: u64) {
        self.now += seconds;
        let now = self.now;
        let young = |touched: u64| touched + WINDOW > now;
        self.pins.retain(|pin| young(pin.3));
        self.claims.retain(|claim| claim.2 == Outcome::Running || young(claim.3));
        self.bills.retain(|bill| young(bill.1));
        self.void.retain(|void| young(void.1));
    }

    fn pin(&mut self, session: u8, version: u8, first: Option<u8>) -> (u8, Option<u8>) {
        let now = self.now;
        if let Some(pin) = self.pins.iter_mut().find(|pin| pin.0 == session) {
            pin.3 = now;
            return (pin.1, pin.2);
        }
        self.pins.push((session, version, first, now));
        (version, first)
    }

    fn settle_pin(&mut self, session: u8, request: u8, version: u8) -> bool {
        let Some(pin) = self.pins.iter_mut().find(|pin| pin.0 == session) else { return false };
        if pin.2 == Some(request) {
            (pin.1, pin.2) = (version, None);
        }
        pin.2.is_none() && pin.1 == version
    }

    fn claim(&mut self, key: u8, request: u8) -> Option<(u8, Outcome)> {
        if self.void.iter().any(|(r, _)| *r == request) {
            return None;
        }
        if let Some(claim) = self.claims.iter().find(|claim| claim.0 == key) {
            return Some((claim.1, claim.2));
        }
        self.claims.push((key, request, Outcome::Running, self.now));
        Some((request, Outcome::Running))
    }

    fn release(&mut self, key: u8, request: u8) -> bool {
        if !self.void.iter().any(|(r, _)| *r == request) {
            self.void.push((request, self.now));
        }
        let count = self.claims.len();
        let ours = |claim: &(u8, u8, Outcome, u64)| {
            claim.0 == key && claim.1 == request && !matches!(claim.2, Outcome::Answered(_))
        };
        self.claims.retain(|claim| !ours(claim));
        self.claims.len() < count
    }

    fn settle(&mut self, key: u8, request: u8, answer: Option<u8>) -> bool {
        let now = self.now;
        let Some(claim) = self.claims.iter_mut().find(|claim| claim.0 == key) else {
            return false;
        };
        if claim.1 != request || matches!(claim.2, Outcome::Answered(_)) {
            return false;
        }
        claim.2 = answer.map_or(Outcome::Unknown, Outcome::Answered);
        claim.3 = now;
        if answer.is_some() {
            self.put_bill(request);
        }
        true
    }
}

fn command(step: &Step, now: u64) -> LedgerCommand {
    let organisation = organisation();
    match step.clone() {
        Step::Pin { session: s, version: v, first } => {
            let state = match first {
                Some(first) => PinState::Tentative { owner: owner(), request: request(first) },
                None => PinState::Final,
            };
            let pin = Pin { version: version(v), state };
            LedgerCommand::Pin { organisation, session: session(s), pin }
        }
        Step::SettlePin { session: s, request: r, version: v } => LedgerCommand::FinalisePin {
            organisation,
            session: session(s),
            request: request(r),
            version: version(v),
        },
        Step::Claim { key: k, request: r } => {
            let (request, state) = (request(r), ClaimState::Running);
            let claim = Claim { request, owner: owner(), digest: [0; 32], state };
            LedgerCommand::Claim { organisation, key: key(k), claim }
        }
        Step::Release { key: k, request: r } => {
            LedgerCommand::ReleaseClaim { organisation, key: key(k), request: request(r) }
        }
        Step::Settle { key: k, request: r, answer } => LedgerCommand::RecordOutcome {
            organisation,
            key: key(k),
            request: request(r),
            answer: answer.map(stored),
            bill: answer.map(|_| bill(r)),
        },
        Step::Bill { request } => LedgerCommand::Bill { organisation, bill: bill(request) },
        Step::Tick { seconds } => tick(now, seconds),
        Step::LateTick | Step::Restart => tick(now + 1, 5),
    }
}

fn tick(from: u64, elapsed: u64) -> LedgerCommand {
    let window = Duration::from_secs(WINDOW);
    let retention = Retention { pins: window, claims: window, bills: window };
    let (from, elapsed) = (Duration::from_secs(from), Duration::from_secs(elapsed));
    LedgerCommand::Tick { from, elapsed, retention }
}

fn pinned(v: u8, first: Option<u8>) -> LedgerOutcome {
    let state = match first {
        Some(first) => PinState::Tentative { owner: owner(), request: request(first) },
        None => PinState::Final,
    };
    LedgerOutcome::Pinned(Pin { version: version(v), state })
}

fn claimed(standing: Option<(u8, Outcome)>) -> LedgerOutcome {
    let Some((holder, outcome)) = standing else { return LedgerOutcome::AlreadyReleased };
    let state = match outcome {
        Outcome::Running => ClaimState::Running,
        Outcome::Answered(answer) => ClaimState::Answered(stored(answer)),
        Outcome::Unknown => ClaimState::Unknown,
    };
    let request = request(holder);
    LedgerOutcome::Claimed(Claim { request, owner: owner(), digest: [0; 32], state })
}

fn expected(twin: &mut Twin, step: &Step) -> LedgerOutcome {
    match *step {
        Step::Pin { session, version, first } => {
            let (version, first) = twin.pin(session, version, first);
            pinned(version, first)
        }
        Step::SettlePin { session, request, version } => {
            LedgerOutcome::PinFinalised(twin.settle_pin(session, request, version))
        }
        Step::Claim { key, request } => claimed(twin.claim(key, request)),
        Step::Release { key, request } => LedgerOutcome::Released(twin.release(key, request)),
        Step::Settle { key, request, answer } => {
            LedgerOutcome::OutcomeRecorded(twin.settle(key, request, answer))
        }
        Step::Bill { request } => LedgerOutcome::Billed(twin.put_bill(request)),
        Step::Tick { seconds } => {
            twin.tick(seconds);
            LedgerOutcome::Ticked(Duration::from_secs(twin.now))
        }
        Step::LateTick | Step::Restart => LedgerOutcome::Ticked(Duration::from_secs(twin.now)),
    }
}

fn run_history(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut state = LedgerState::default();
    let mut twin = Twin::default();
    for step in steps {
        if *step == Step::Restart {
            state = postcard::from_bytes(&postcard::to_stdvec(&state).unwrap()).unwrap();
            continue;
        }
        let command = command(step, twin.now);
        prop_assert_eq!(state.apply(command), expected(&mut twin, step), "{:?}", step);
        let running = twin.claims.iter().filter(|claim| claim.2 == Outcome::Running).count();
        prop_assert_eq!(state.running().count(), running);
        let tentative = twin.pins.iter().filter(|pin| pin.2.is_some()).count();
        prop_assert_eq!(state.tentative().count(), tentative);
        prop_assert_eq!(state.bills(&organisation()).count(), twin.bills.len());
        let sum = state.bill_sums().next().map_or(0, |(_, sum)| sum.count);
        prop_assert_eq!(sum, twin.billed);
    }
    Ok(())
}

#[test]
fn random_histories_are_answered_as_by_the_naive_twin() {
    let histories = prop::collection::vec(step(), 1..60);
    runner().run(&histories, |steps| run_history(&steps)).unwrap();
}

#[test]
fn a_claim_that_arrives_after_it_was_given_up_blocks_nobody() {
    let mut state = LedgerState::default();
    let claim = |request| command(&Step::Claim { key: 1, request }, 0);
    state.apply(command(&Step::Release { key: 1, request: 1 }, 0));
    assert_eq!(state.apply(claim(1)), LedgerOutcome::AlreadyReleased);
    assert_eq!(state.apply(claim(2)), claimed(Some((2, Outcome::Running))));
}

#[test]
fn what_is_kept_does_not_grow_with_what_was_served() {
    let sizes: Vec<usize> = [1_000u64, 4_000]
        .iter()
        .map(|count| {
            let mut state = LedgerState::default();
            for i in 0..*count {
                let id = RequestId::parse(&format!("{i:032x}")).unwrap();
                let bill = Bill { request: id, ..bill(0) };
                state.apply(LedgerCommand::Bill { organisation: organisation(), bill });
                let pin = Pin { version: version(0), state: PinState::Final };
                let session = SessionName::new(format!("s{i:06}"));
                state.apply(LedgerCommand::Pin { organisation: organisation(), session, pin });
                let now = state.time().as_secs();
                state.apply(tick(now, 1));
            }
            postcard::to_stdvec(&state).unwrap().len()
        })
        .collect();
    assert!(sizes[1] < sizes[0] + 64, "{sizes:?}");
}
