//! Model-based tests: random commands give the same outcomes from the ledger and from a simple
//! reference model.

use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngAlgorithm, TestRng, TestRunner};
use samphireshift::control::RouterId;
use samphireshift::ledger::{
    Bill, Claim, ClaimState, LedgerCommand, LedgerOutcome, LedgerState, Pin, PinState, Retention,
    StoredAnswer,
};
use samphireshift::name::{
    IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey, VmName,
};
use std::time::Duration;

const DEFAULT_CASES: u32 = 2_000;
/// Retention of pins, claims and bills.
const RETENTION_SECONDS: u64 = 10;

/// Runs `DEFAULT_CASES` random cases, or as many as `SAMPHIRESHIFT_CASES` says (for long runs).
fn runner() -> TestRunner {
    let requested = std::env::var("SAMPHIRESHIFT_CASES").ok().and_then(|text| text.parse().ok());
    let cases = requested.unwrap_or(DEFAULT_CASES);
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Command to the ledger. Names are small numbers, so that commands often refer to the same record.
#[derive(Debug, Clone, PartialEq)]
enum LedgerStep {
    Pin {
        session: u8,
        version: u8,
        /// Request whose first answer decides the pin; `None` for a final pin.
        tentative: Option<u8>,
    },
    FinalisePin {
        session: u8,
        request: u8,
        version: u8,
    },
    Claim {
        key: u8,
        request: u8,
    },
    ReleaseClaim {
        key: u8,
        request: u8,
    },
    RecordOutcome {
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
    /// A tick whose start is not the current ledger time.
    MismatchedTick,
    /// Encodes and decodes the state, as a restart from a snapshot does.
    Restart,
}

fn step() -> impl Strategy<Value = LedgerStep> {
    let few = || 0..3u8;
    let tentative = prop::option::of(few());
    prop_oneof![
        3 => (few(), few(), tentative).prop_map(|(session, version, tentative)| LedgerStep::Pin { session, version, tentative }),
        2 => (few(), few(), few()).prop_map(|(session, request, version)| LedgerStep::FinalisePin { session, request, version }),
        4 => (few(), 0..6u8).prop_map(|(key, request)| LedgerStep::Claim { key, request }),
        2 => (few(), 0..6u8).prop_map(|(key, request)| LedgerStep::ReleaseClaim { key, request }),
        4 => (few(), 0..6u8, prop::option::of(few())).prop_map(|(key, request, answer)| LedgerStep::RecordOutcome { key, request, answer }),
        2 => (0..6u8).prop_map(|request| LedgerStep::Bill { request }),
        2 => (1..8u64).prop_map(|seconds| LedgerStep::Tick { seconds }),
        1 => Just(LedgerStep::MismatchedTick),
        1 => Just(LedgerStep::Restart),
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
enum ClaimOutcome {
    Running,
    Answered(u8),
    Unknown,
}

/// Reference model: a list of each kind of record, with the time of its last use in seconds.
#[derive(Default)]
struct LedgerModel {
    now: u64,
    /// Session, version, request of a tentative pin, time of last use.
    pins: Vec<(u8, u8, Option<u8>, u64)>,
    /// Key, request, outcome, time of the last change.
    claims: Vec<(u8, u8, ClaimOutcome, u64)>,
    /// Request and time.
    bills: Vec<(u8, u64)>,
    /// Request and time of each release; a later claim of the same request is void.
    released: Vec<(u8, u64)>,
    /// Number of bills ever recorded.
    billed: u64,
}

impl LedgerModel {
    fn record_bill(&mut self, request: u8) -> bool {
        let is_new = !self.bills.iter().any(|(r, _)| *r == request);
        if is_new {
            self.bills.push((request, self.now));
            self.billed += 1;
        }
        is_new
    }

    fn tick(&mut self, seconds: u64) {
        self.now += seconds;
        let now = self.now;
        let retained = |used_at: u64| used_at + RETENTION_SECONDS > now;
        self.pins.retain(|pin| retained(pin.3));
        self.claims.retain(|claim| claim.2 == ClaimOutcome::Running || retained(claim.3));
        self.bills.retain(|bill| retained(bill.1));
        self.released.retain(|release| retained(release.1));
    }

    fn pin(&mut self, session: u8, version: u8, tentative: Option<u8>) -> (u8, Option<u8>) {
        let now = self.now;
        if let Some(pin) = self.pins.iter_mut().find(|pin| pin.0 == session) {
            pin.3 = now;
            return (pin.1, pin.2);
        }
        self.pins.push((session, version, tentative, now));
        (version, tentative)
    }

    fn finalise_pin(&mut self, session: u8, request: u8, version: u8) -> bool {
        let Some(pin) = self.pins.iter_mut().find(|pin| pin.0 == session) else { return false };
        if pin.2 == Some(request) {
            (pin.1, pin.2) = (version, None);
        }
        pin.2.is_none() && pin.1 == version
    }

    fn claim(&mut self, key: u8, request: u8) -> Option<(u8, ClaimOutcome)> {
        if self.released.iter().any(|(r, _)| *r == request) {
            return None;
        }
        if let Some(claim) = self.claims.iter().find(|claim| claim.0 == key) {
            return Some((claim.1, claim.2));
        }
        self.claims.push((key, request, ClaimOutcome::Running, self.now));
        Some((request, ClaimOutcome::Running))
    }

    fn release(&mut self, key: u8, request: u8) -> bool {
        if !self.released.iter().any(|(r, _)| *r == request) {
            self.released.push((request, self.now));
        }
        let count = self.claims.len();
        let ours = |claim: &(u8, u8, ClaimOutcome, u64)| {
            claim.0 == key && claim.1 == request && !matches!(claim.2, ClaimOutcome::Answered(_))
        };
        self.claims.retain(|claim| !ours(claim));
        self.claims.len() < count
    }

    fn record_outcome(&mut self, key: u8, request: u8, answer: Option<u8>) -> bool {
        let now = self.now;
        let Some(claim) = self.claims.iter_mut().find(|claim| claim.0 == key) else {
            return false;
        };
        if claim.1 != request || matches!(claim.2, ClaimOutcome::Answered(_)) {
            return false;
        }
        claim.2 = answer.map_or(ClaimOutcome::Unknown, ClaimOutcome::Answered);
        claim.3 = now;
        if answer.is_some() {
            self.record_bill(request);
        }
        true
    }
}

fn command(step: &LedgerStep, now: u64) -> LedgerCommand {
    let organisation = organisation();
    match step.clone() {
        LedgerStep::Pin { session: s, version: v, tentative } => {
            let state = match tentative {
                Some(tentative) => {
                    PinState::Tentative { owner: owner(), request: request(tentative) }
                }
                None => PinState::Final,
            };
            let pin = Pin { version: version(v), state };
            LedgerCommand::Pin { organisation, session: session(s), pin }
        }
        LedgerStep::FinalisePin { session: s, request: r, version: v } => {
            LedgerCommand::FinalisePin {
                organisation,
                session: session(s),
                request: request(r),
                version: version(v),
            }
        }
        LedgerStep::Claim { key: k, request: r } => {
            let (request, state) = (request(r), ClaimState::Running);
            let claim = Claim { request, owner: owner(), digest: [0; 32], state };
            LedgerCommand::Claim { organisation, key: key(k), claim }
        }
        LedgerStep::ReleaseClaim { key: k, request: r } => {
            LedgerCommand::ReleaseClaim { organisation, key: key(k), request: request(r) }
        }
        LedgerStep::RecordOutcome { key: k, request: r, answer } => LedgerCommand::RecordOutcome {
            organisation,
            key: key(k),
            request: request(r),
            answer: answer.map(stored),
            bill: answer.map(|_| bill(r)),
        },
        LedgerStep::Bill { request } => LedgerCommand::Bill { organisation, bill: bill(request) },
        LedgerStep::Tick { seconds } => tick(now, seconds),
        LedgerStep::MismatchedTick | LedgerStep::Restart => tick(now + 1, 5),
    }
}

fn tick(from: u64, elapsed: u64) -> LedgerCommand {
    let window = Duration::from_secs(RETENTION_SECONDS);
    let retention = Retention { pins: window, claims: window, bills: window };
    let (from, elapsed) = (Duration::from_secs(from), Duration::from_secs(elapsed));
    LedgerCommand::Tick { from, elapsed, retention }
}

fn pinned(v: u8, tentative: Option<u8>) -> LedgerOutcome {
    let state = match tentative {
        Some(tentative) => PinState::Tentative { owner: owner(), request: request(tentative) },
        None => PinState::Final,
    };
    LedgerOutcome::Pinned(Pin { version: version(v), state })
}

fn claimed(existing: Option<(u8, ClaimOutcome)>) -> LedgerOutcome {
    let Some((holder, outcome)) = existing else { return LedgerOutcome::AlreadyReleased };
    let state = match outcome {
        ClaimOutcome::Running => ClaimState::Running,
        ClaimOutcome::Answered(answer) => ClaimState::Answered(stored(answer)),
        ClaimOutcome::Unknown => ClaimState::Unknown,
    };
    let request = request(holder);
    LedgerOutcome::Claimed(Claim { request, owner: owner(), digest: [0; 32], state })
}

fn expected(reference: &mut LedgerModel, step: &LedgerStep) -> LedgerOutcome {
    match *step {
        LedgerStep::Pin { session, version, tentative } => {
            let (version, tentative) = reference.pin(session, version, tentative);
            pinned(version, tentative)
        }
        LedgerStep::FinalisePin { session, request, version } => {
            LedgerOutcome::PinFinalised(reference.finalise_pin(session, request, version))
        }
        LedgerStep::Claim { key, request } => claimed(reference.claim(key, request)),
        LedgerStep::ReleaseClaim { key, request } => {
            LedgerOutcome::Released(reference.release(key, request))
        }
        LedgerStep::RecordOutcome { key, request, answer } => {
            LedgerOutcome::OutcomeRecorded(reference.record_outcome(key, request, answer))
        }
        LedgerStep::Bill { request } => LedgerOutcome::Billed(reference.record_bill(request)),
        LedgerStep::Tick { seconds } => {
            reference.tick(seconds);
            LedgerOutcome::Ticked(Duration::from_secs(reference.now))
        }
        LedgerStep::MismatchedTick | LedgerStep::Restart => {
            LedgerOutcome::Ticked(Duration::from_secs(reference.now))
        }
    }
}

fn run_history(steps: &[LedgerStep]) -> Result<(), TestCaseError> {
    let mut state = LedgerState::default();
    let mut reference = LedgerModel::default();
    for step in steps {
        if *step == LedgerStep::Restart {
            state = postcard::from_bytes(&postcard::to_stdvec(&state).unwrap()).unwrap();
            continue;
        }
        let command = command(step, reference.now);
        prop_assert_eq!(state.apply(command), expected(&mut reference, step), "{:?}", step);
        let running =
            reference.claims.iter().filter(|claim| claim.2 == ClaimOutcome::Running).count();
        prop_assert_eq!(state.running().count(), running);
        let tentative = reference.pins.iter().filter(|pin| pin.2.is_some()).count();
        prop_assert_eq!(state.tentative().count(), tentative);
        prop_assert_eq!(state.bills(&organisation()).count(), reference.bills.len());
        let sum = state.bill_sums().next().map_or(0, |(_, sum)| sum.count);
        prop_assert_eq!(sum, reference.billed);
    }
    Ok(())
}

#[test]
fn random_commands_give_the_outcomes_of_the_reference_model() {
    let histories = prop::collection::vec(step(), 1..60);
    runner().run(&histories, |steps| run_history(&steps)).unwrap();
}

#[test]
fn a_claim_that_arrives_after_its_release_does_not_block_its_key() {
    let mut state = LedgerState::default();
    let claim = |request| command(&LedgerStep::Claim { key: 1, request }, 0);
    state.apply(command(&LedgerStep::ReleaseClaim { key: 1, request: 1 }, 0));
    assert_eq!(state.apply(claim(1)), LedgerOutcome::AlreadyReleased);
    assert_eq!(state.apply(claim(2)), claimed(Some((2, ClaimOutcome::Running))));
}

#[test]
fn the_state_size_does_not_grow_with_the_number_of_requests_served() {
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
    assert!(sizes[1] < sizes[0] + 64, "bytes of state after 1,000 and 4,000 requests: {sizes:?}");
}
