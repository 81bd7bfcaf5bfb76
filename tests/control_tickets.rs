//! Tickets against a naive twin, under thousands of random histories.

use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use samphireshift::control::{
    ControlCommand, ControlOutcome, ControlState, MAX_TICKET_RECORDS, Model, ModelGrant,
    Organisation, Price, Rollout, RolloutStatus, Ticket, TicketAnswer, TicketRefusal, Version,
    VersionState,
};
use samphireshift::name::VersionName;
use samphireshift::name::{ModelName, OrganisationName, PoolName, RolloutName, VersionKey};
use std::collections::BTreeMap;

const CASES: u32 = 2_000;

/// Cases of one random test; `SAMPHIRESHIFT_CASES` makes the long run outside CI.
fn runner() -> TestRunner {
    let asked = std::env::var("SAMPHIRESHIFT_CASES").ok().and_then(|text| text.parse().ok());
    let config =
        Cases { cases: asked.unwrap_or(CASES), failure_persistence: None, ..Cases::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn ticket(number: u64) -> Ticket {
    let author = "test".to_owned();
    let (organisations, models, versions) = (Vec::new(), Vec::new(), Vec::new());
    let (services, rollouts) = (Vec::new(), Vec::new());
    Ticket { number, author, organisations, models, versions, services, rollouts }
}

fn key(version: u8) -> VersionKey {
    VersionKey::new(ModelName::new("m"), VersionName::new(format!("v{version}")))
}

fn model() -> Model {
    Model { name: ModelName::new("m"), description: String::new() }
}

fn version(name: u8, state: VersionState, quality: f64) -> Version {
    let VersionKey { model, version } = key(name);
    let price = Price { prompt: 1, answer: 1 };
    Version { model, version, pool: PoolName::new("p"), state, quality, price }
}

fn organisation(name: u8, versions: &[u8]) -> Organisation {
    let names = versions.iter().map(|v| key(*v).version).collect();
    Organisation {
        name: OrganisationName::new(format!("o{name}")),
        keys: Vec::new(),
        weight: 1,
        models: vec![ModelGrant { model: ModelName::new("m"), versions: names }],
        services: Vec::new(),
        quality_target: 0.5,
        kinds: Vec::new(),
        fallback: Default::default(),
    }
}

fn rollout(step: usize) -> Rollout {
    let (from, to) = (key(0), key(1));
    let steps = vec![100, 500, 1_000];
    let (name, status) = (RolloutName::new("r"), RolloutStatus::Running);
    Rollout { name, from, to, steps, min_answers: 1, step, status }
}

/// What the random histories are made of.
#[derive(Debug, Clone)]
enum Step {
    /// Versions and organisations that a ticket touches.
    Ticket {
        number: u64,
        versions: Vec<(u8, u8, u8)>,
        organisations: Vec<(u8, Vec<u8>)>,
    },
    /// An earlier ticket once more.
    Resend(prop::sample::Index),
    Stop(u8),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let versions = prop::collection::vec((0..3u8, 0..3u8, 0..12u8), 0..3);
    let allowed = prop::collection::vec(0..4u8, 0..3);
    let organisations = prop::collection::vec((0..2u8, allowed), 0..2);
    let new = (0..12u64, versions, organisations).prop_map(|(number, versions, organisations)| {
        Step::Ticket { number, versions, organisations }
    });
    prop_oneof![
        6 => new,
        3 => any::<prop::sample::Index>().prop_map(Step::Resend),
        1 => (0..3u8).prop_map(Step::Stop),
        1 => Just(Step::Restart),
    ]
}

fn build(number: u64, versions: &[(u8, u8, u8)], organisations: &[(u8, Vec<u8>)]) -> Ticket {
    let states = [VersionState::Open, VersionState::Closing, VersionState::Withdrawn];
    let mut ticket = ticket(number);
    // A quality of 11 tenths is invalid on purpose.
    let made = |(name, state, tenths): &(u8, u8, u8)| {
        version(*name, states[usize::from(*state)], f64::from(*tenths) / 10.0)
    };
    ticket.versions = versions.iter().map(made).collect();
    ticket.organisations = organisations.iter().map(|(o, v)| organisation(*o, v)).collect();
    ticket
}

/// The naive twin: a list of everything that was ever accepted, searched from the front.
#[derive(Default)]
struct Twin {
    accepted: Vec<(Ticket, u64)>,
    refused: Vec<Ticket>,
    versions: BTreeMap<u8, VersionState>,
    organisations: BTreeMap<u8, Vec<u8>>,
}

/// The twin's answer, without texts.
#[derive(Debug, PartialEq)]
enum Short {
    Accepted(u64),
    Conflict,
    Stale,
    Invalid,
    Closed,
}

impl Twin {
    fn apply(&mut self, ticket: &Ticket, revision: u64) -> Short {
        if self.refused.contains(ticket) {
            return Short::Invalid;
        }
        if let Some((first, revision)) =
            self.accepted.iter().find(|(t, _)| t.number == ticket.number)
        {
            return if first == ticket { Short::Accepted(*revision) } else { Short::Conflict };
        }
        if ticket.number == 0 {
            return Short::Closed;
        }
        let touched = ticket.objects();
        let newer = |old: &Ticket| {
            old.number >= ticket.number && old.objects().iter().any(|o| touched.contains(o))
        };
        if self.accepted.iter().any(|(old, _)| newer(old)) {
            return Short::Stale;
        }
        let Some((versions, organisations)) = self.allowed(ticket) else {
            self.refused.push(ticket.clone());
            return Short::Invalid;
        };
        (self.versions, self.organisations) = (versions, organisations);
        self.accepted.push((ticket.clone(), revision + 1));
        Short::Accepted(revision + 1)
    }

    #[allow(clippy::type_complexity, reason = "the twin is as plain as it can be")]
    fn allowed(
        &self,
        ticket: &Ticket,
    ) -> Option<(BTreeMap<u8, VersionState>, BTreeMap<u8, Vec<u8>>)> {
        let digit = |text: &str| text[1..].parse::<u8>().unwrap();
        let (mut versions, mut organisations) = (self.versions.clone(), self.organisations.clone());
        for version in &ticket.versions {
            versions.insert(digit(version.version.as_str()), version.state);
        }
        for organisation in &ticket.organisations {
            let names = &organisation.models[0].versions;
            let names = names.iter().map(|name| digit(name.as_str())).collect();
            organisations.insert(digit(organisation.name.as_str()), names);
        }
        let mut objects = ticket.objects();
        let count = objects.len();
        objects.sort();
        objects.dedup();
        let quality = ticket.versions.iter().all(|version| version.quality <= 1.0);
        let known = organisations.values().flatten().all(|name| versions.contains_key(name));
        let served = organisations.iter().all(|(name, now)| {
            let before = self.organisations.get(name);
            let lost = before.is_none_or(|before| served(before, &self.versions));
            !lost || served(now, &versions)
        });
        let fine = count > 0 && objects.len() == count && quality && known && served;
        fine.then_some((versions, organisations))
    }

    fn stop(&mut self, version: u8) -> bool {
        let open = self.versions.get_mut(&version).filter(|s| **s != VersionState::Withdrawn);
        open.map(|state| *state = VersionState::Withdrawn).is_some()
    }
}

fn served(allowed: &[u8], versions: &BTreeMap<u8, VersionState>) -> bool {
    let allows = |name: &u8| allowed.is_empty() || allowed.contains(name);
    versions.iter().any(|(name, state)| allows(name) && *state != VersionState::Withdrawn)
}

fn short(answer: &TicketAnswer) -> Short {
    match answer {
        TicketAnswer::Accepted { revision } => Short::Accepted(*revision),
        TicketAnswer::Refused(TicketRefusal::Conflict { .. }) => Short::Conflict,
        TicketAnswer::Refused(TicketRefusal::Stale { .. }) => Short::Stale,
        TicketAnswer::Refused(TicketRefusal::Closed { .. }) => Short::Closed,
        TicketAnswer::Refused(TicketRefusal::Invalid { .. }) => Short::Invalid,
    }
}

fn apply(state: &mut ControlState, ticket: &Ticket) -> TicketAnswer {
    match state.apply(ControlCommand::Ticket(ticket.clone())) {
        ControlOutcome::Ticket(answer) => answer,
        other => panic!("a ticket's outcome is {other:?}"),
    }
}

fn state_with_model() -> ControlState {
    let mut state = ControlState::default();
    let mut first = ticket(1);
    first.models.push(model());
    assert_eq!(apply(&mut state, &first), TicketAnswer::Accepted { revision: 1 });
    state
}

fn run_history(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut state = state_with_model();
    let mut twin = Twin::default();
    let mut model_ticket = ticket(1);
    model_ticket.models.push(model());
    twin.accepted.push((model_ticket, 1));
    let mut sent: Vec<(Ticket, Short)> = Vec::new();
    for step in steps {
        let revision = state.config().revision;
        let ticket = match step {
            Step::Stop(name) => {
                let stopped = twin.stop(*name);
                let command =
                    ControlCommand::StopVersion { version: key(*name), evidence: "bad".into() };
                let changed = matches!(state.apply(command), ControlOutcome::Changed(_));
                prop_assert_eq!(changed, stopped);
                continue;
            }
            Step::Restart => {
                let bytes = postcard::to_stdvec(&state).unwrap();
                state = postcard::from_bytes(&bytes).unwrap();
                continue;
            }
            Step::Ticket { number, versions, organisations } => {
                build(*number, versions, organisations)
            }
            Step::Resend(index) if !sent.is_empty() => sent[index.index(sent.len())].0.clone(),
            Step::Resend(_) => continue,
        };
        let before = state.config().clone();
        let answer = short(&apply(&mut state, &ticket));
        prop_assert_eq!(&answer, &twin.apply(&ticket, revision), "{:?}", ticket);
        let fresh = answer == Short::Accepted(revision + 1);
        prop_assert!(fresh || *state.config() == before, "only a new acceptance changes anything");
        // Once accepted, conflicting or invalid, a ticket's answer never changes. A stale one
        // stays refused.
        for (_, old) in sent.iter().filter(|(old, _)| *old == ticket) {
            match old {
                Short::Stale => prop_assert!(!matches!(answer, Short::Accepted(_))),
                old => prop_assert_eq!(&answer, old),
            }
        }
        let states: BTreeMap<_, _> = twin.versions.iter().map(|(v, s)| (key(*v), *s)).collect();
        let held = state.config().versions.iter().map(|(k, v)| (k.clone(), v.state)).collect();
        prop_assert_eq!(states, held);
        sent.push((ticket, answer));
    }
    Ok(())
}

#[test]
fn random_histories_are_answered_as_by_the_naive_twin() {
    let histories = prop::collection::vec(step(), 1..40);
    runner().run(&histories, |steps| run_history(&steps)).unwrap();
}

struct RolloutCase {
    edited: Rollout,
    leader_knows: Rollout,
    moves: bool,
}

#[rstest]
#[case::unedited(RolloutCase { edited: rollout(0), leader_knows: rollout(0), moves: true })]
#[case::edited_meanwhile(RolloutCase { edited: rollout(1), leader_knows: rollout(0), moves: false })]
fn a_step_is_taken_only_from_the_roll_out_that_the_leader_knew(#[case] case: RolloutCase) {
    let mut state = state_with_model();
    let mut second = ticket(2);
    second.versions =
        vec![version(0, VersionState::Open, 0.5), version(1, VersionState::Open, 0.5)];
    second.rollouts = vec![case.edited];
    assert!(matches!(apply(&mut state, &second), TicketAnswer::Accepted { .. }));
    let after = rollout(2);
    let outcome = state.apply(ControlCommand::AdvanceRollout { before: case.leader_knows, after });
    assert_eq!(matches!(outcome, ControlOutcome::Changed(_)), case.moves);
}

#[test]
fn a_stale_ticket_does_not_reopen_a_withdrawn_version() {
    let mut state = state_with_model();
    for (number, name, wanted) in [(2, 0, VersionState::Open), (9, 1, VersionState::Withdrawn)] {
        let mut next = ticket(number);
        next.versions = vec![version(name, wanted, 0.5)];
        assert!(matches!(apply(&mut state, &next), TicketAnswer::Accepted { .. }));
    }
    let mut stale = ticket(8);
    stale.versions = vec![version(1, VersionState::Open, 0.5)];
    let Short::Stale = short(&apply(&mut state, &stale)) else { panic!("it is stale") };
    assert_eq!(state.config().versions[&key(1)].state, VersionState::Withdrawn);
}

#[test]
fn ticket_records_are_bounded_and_dropped_numbers_stay_closed() {
    let mut state = state_with_model();
    let last = MAX_TICKET_RECORDS as u64 + 100;
    for number in 2..=last {
        let mut next = ticket(number);
        next.models.push(model());
        assert!(matches!(apply(&mut state, &next), TicketAnswer::Accepted { .. }), "{number}");
    }
    assert_eq!(state.tickets().count(), MAX_TICKET_RECORDS);
    let bytes = postcard::to_stdvec(&state).unwrap().len();
    let each = bytes / MAX_TICKET_RECORDS;
    assert!(each < 128, "{each} bytes a record");
    let mut other = ticket(50);
    other.versions = vec![version(2, VersionState::Open, 0.5)];
    assert_eq!(short(&apply(&mut state, &other)), Short::Closed);
}
