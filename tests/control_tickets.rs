//! Model-based tests: random tickets get the same answers from the control state and from a simple
//! reference model.

use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use samphireshift::control::{
    ControlCommand, ControlOutcome, ControlState, MAX_TICKET_RECORDS, Model, ModelGrant,
    Organisation, Price, Rollout, RolloutStatus, Ticket, TicketAnswer, TicketRefusal, Version,
    VersionState,
};
use samphireshift::name::VersionName;
use samphireshift::name::{ModelName, OrganisationName, PoolName, RolloutName, VersionKey};
use std::collections::BTreeMap;

const DEFAULT_CASES: u32 = 2_000;

/// Runs `DEFAULT_CASES` random cases, or as many as `SAMPHIRESHIFT_CASES` says (for long runs).
fn runner() -> TestRunner {
    let requested = std::env::var("SAMPHIRESHIFT_CASES").ok().and_then(|text| text.parse().ok());
    let config = ProptestConfig {
        cases: requested.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
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

/// Step of a random history.
#[derive(Debug, Clone)]
enum TicketStep {
    /// New ticket. A version is its name, state and quality in tenths; an organisation its name and
    /// the versions that it may use.
    Ticket { number: u64, versions: Vec<(u8, u8, u8)>, organisations: Vec<(u8, Vec<u8>)> },
    /// Sends an earlier ticket again.
    Resend(prop::sample::Index),
    /// Withdraws a version, as the leader does on evidence.
    StopVersion(u8),
    /// Encodes and decodes the state, as a restart from a snapshot does.
    Restart,
}

fn step() -> impl Strategy<Value = TicketStep> {
    let versions = prop::collection::vec((0..3u8, 0..3u8, 0..12u8), 0..3);
    let allowed = prop::collection::vec(0..4u8, 0..3);
    let organisations = prop::collection::vec((0..2u8, allowed), 0..2);
    let new = (0..12u64, versions, organisations).prop_map(|(number, versions, organisations)| {
        TicketStep::Ticket { number, versions, organisations }
    });
    prop_oneof![
        6 => new,
        3 => any::<prop::sample::Index>().prop_map(TicketStep::Resend),
        1 => (0..3u8).prop_map(TicketStep::StopVersion),
        1 => Just(TicketStep::Restart),
    ]
}

fn build_ticket(number: u64, versions: &[(u8, u8, u8)], organisations: &[(u8, Vec<u8>)]) -> Ticket {
    let states = [VersionState::Open, VersionState::Closing, VersionState::Withdrawn];
    let mut ticket = ticket(number);
    // A quality of 11 tenths is invalid, for the check of the range.
    let build_version = |(name, state, tenths): &(u8, u8, u8)| {
        version(*name, states[usize::from(*state)], f64::from(*tenths) / 10.0)
    };
    ticket.versions = versions.iter().map(build_version).collect();
    ticket.organisations = organisations.iter().map(|(o, v)| organisation(*o, v)).collect();
    ticket
}

/// Reference model: searches a list of all tickets ever accepted.
#[derive(Default)]
struct TicketModel {
    /// Tickets with the revision that each gave.
    accepted: Vec<(Ticket, u64)>,
    /// Invalid tickets.
    refused: Vec<Ticket>,
    versions: BTreeMap<u8, VersionState>,
    /// Versions that each organisation may use; none listed means all.
    organisations: BTreeMap<u8, Vec<u8>>,
}

/// Kind of a `TicketAnswer`, without its details.
#[derive(Debug, PartialEq)]
enum AnswerKind {
    Accepted(u64),
    Conflict,
    Stale,
    Invalid,
    Closed,
}

impl TicketModel {
    fn apply(&mut self, ticket: &Ticket, revision: u64) -> AnswerKind {
        if self.refused.contains(ticket) {
            return AnswerKind::Invalid;
        }
        if let Some((first, revision)) =
            self.accepted.iter().find(|(t, _)| t.number == ticket.number)
        {
            return if first == ticket {
                AnswerKind::Accepted(*revision)
            } else {
                AnswerKind::Conflict
            };
        }
        if ticket.number == 0 {
            return AnswerKind::Closed;
        }
        let touched = ticket.objects();
        let newer = |old: &Ticket| {
            old.number >= ticket.number && old.objects().iter().any(|o| touched.contains(o))
        };
        if self.accepted.iter().any(|(old, _)| newer(old)) {
            return AnswerKind::Stale;
        }
        let Some((versions, organisations)) = self.validate(ticket) else {
            self.refused.push(ticket.clone());
            return AnswerKind::Invalid;
        };
        (self.versions, self.organisations) = (versions, organisations);
        self.accepted.push((ticket.clone(), revision + 1));
        AnswerKind::Accepted(revision + 1)
    }

    #[allow(clippy::type_complexity, reason = "the reference model stays as simple as possible")]
    fn validate(
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
        let all_usable = organisations.iter().all(|(name, now)| {
            let before = self.organisations.get(name);
            let had_version =
                before.is_none_or(|before| has_usable_version(before, &self.versions));
            !had_version || has_usable_version(now, &versions)
        });
        let valid = count > 0 && objects.len() == count && quality && known && all_usable;
        valid.then_some((versions, organisations))
    }

    fn stop(&mut self, version: u8) -> bool {
        let open = self.versions.get_mut(&version).filter(|s| **s != VersionState::Withdrawn);
        open.map(|state| *state = VersionState::Withdrawn).is_some()
    }
}

fn has_usable_version(allowed: &[u8], versions: &BTreeMap<u8, VersionState>) -> bool {
    let allows = |name: &u8| allowed.is_empty() || allowed.contains(name);
    versions.iter().any(|(name, state)| allows(name) && *state != VersionState::Withdrawn)
}

fn answer_kind(answer: &TicketAnswer) -> AnswerKind {
    match answer {
        TicketAnswer::Accepted { revision } => AnswerKind::Accepted(*revision),
        TicketAnswer::Refused(TicketRefusal::Conflict { .. }) => AnswerKind::Conflict,
        TicketAnswer::Refused(TicketRefusal::Stale { .. }) => AnswerKind::Stale,
        TicketAnswer::Refused(TicketRefusal::Closed { .. }) => AnswerKind::Closed,
        TicketAnswer::Refused(TicketRefusal::Invalid { .. }) => AnswerKind::Invalid,
    }
}

fn apply(state: &mut ControlState, ticket: &Ticket) -> TicketAnswer {
    match state.apply(ControlCommand::Ticket(ticket.clone())) {
        ControlOutcome::Ticket(answer) => answer,
        other => panic!("unexpected outcome of a ticket: {other:?}"),
    }
}

fn state_with_model() -> ControlState {
    let mut state = ControlState::default();
    let mut first = ticket(1);
    first.models.push(model());
    assert_eq!(apply(&mut state, &first), TicketAnswer::Accepted { revision: 1 });
    state
}

fn run_history(steps: &[TicketStep]) -> Result<(), TestCaseError> {
    let mut state = state_with_model();
    let mut reference = TicketModel::default();
    let mut model_ticket = ticket(1);
    model_ticket.models.push(model());
    reference.accepted.push((model_ticket, 1));
    let mut sent: Vec<(Ticket, AnswerKind)> = Vec::new();
    for step in steps {
        let revision = state.config().revision;
        let ticket = match step {
            TicketStep::StopVersion(name) => {
                let stopped = reference.stop(*name);
                let command =
                    ControlCommand::StopVersion { version: key(*name), evidence: "bad".into() };
                let changed = matches!(state.apply(command), ControlOutcome::Changed(_));
                prop_assert_eq!(changed, stopped);
                continue;
            }
            TicketStep::Restart => {
                let bytes = postcard::to_stdvec(&state).unwrap();
                state = postcard::from_bytes(&bytes).unwrap();
                continue;
            }
            TicketStep::Ticket { number, versions, organisations } => {
                build_ticket(*number, versions, organisations)
            }
            TicketStep::Resend(index) if !sent.is_empty() => {
                sent[index.index(sent.len())].0.clone()
            }
            TicketStep::Resend(_) => continue,
        };
        let before = state.config().clone();
        let answer = answer_kind(&apply(&mut state, &ticket));
        prop_assert_eq!(&answer, &reference.apply(&ticket, revision), "{:?}", ticket);
        let newly_accepted = answer == AnswerKind::Accepted(revision + 1);
        prop_assert!(
            newly_accepted || *state.config() == before,
            "the configuration changed without a newly accepted ticket"
        );
        // The answer to a ticket that was accepted, conflicting or invalid never changes; a stale
        // ticket is never accepted later.
        for (_, old) in sent.iter().filter(|(old, _)| *old == ticket) {
            match old {
                AnswerKind::Stale => prop_assert!(!matches!(answer, AnswerKind::Accepted(_))),
                old => prop_assert_eq!(&answer, old),
            }
        }
        let states: BTreeMap<_, _> =
            reference.versions.iter().map(|(v, s)| (key(*v), *s)).collect();
        let held = state.config().versions.iter().map(|(k, v)| (k.clone(), v.state)).collect();
        prop_assert_eq!(states, held);
        sent.push((ticket, answer));
    }
    Ok(())
}

#[test]
fn random_tickets_get_the_answers_of_the_reference_model() {
    let histories = prop::collection::vec(step(), 1..40);
    runner().run(&histories, |steps| run_history(&steps)).unwrap();
}

struct RolloutCase {
    /// Roll-out that the ticket set.
    edited: Rollout,
    /// Roll-out from which the leader advances.
    leader_knows: Rollout,
    advances: bool,
}

#[rstest]
#[case::unedited(RolloutCase { edited: rollout(0), leader_knows: rollout(0), advances: true })]
#[case::edited_meanwhile(RolloutCase { edited: rollout(1), leader_knows: rollout(0), advances: false })]
fn a_roll_out_advances_only_from_the_state_that_the_leader_knew(#[case] case: RolloutCase) {
    let mut state = state_with_model();
    let mut second = ticket(2);
    second.versions =
        vec![version(0, VersionState::Open, 0.5), version(1, VersionState::Open, 0.5)];
    second.rollouts = vec![case.edited];
    assert!(matches!(apply(&mut state, &second), TicketAnswer::Accepted { .. }));
    let after = rollout(2);
    let outcome = state.apply(ControlCommand::AdvanceRollout { before: case.leader_knows, after });
    assert_eq!(matches!(outcome, ControlOutcome::Changed(_)), case.advances);
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
    let AnswerKind::Stale = answer_kind(&apply(&mut state, &stale)) else {
        panic!("a ticket older than the last one for its object must be stale")
    };
    assert_eq!(state.config().versions[&key(1)].state, VersionState::Withdrawn);
}

#[test]
fn ticket_records_are_bounded_and_dropped_numbers_stay_closed() {
    let mut state = state_with_model();
    let last = MAX_TICKET_RECORDS as u64 + 100;
    for number in 2..=last {
        let mut next = ticket(number);
        next.models.push(model());
        assert!(
            matches!(apply(&mut state, &next), TicketAnswer::Accepted { .. }),
            "ticket {number} was refused"
        );
    }
    assert_eq!(state.tickets().count(), MAX_TICKET_RECORDS);
    let bytes = postcard::to_stdvec(&state).unwrap().len();
    let each = bytes / MAX_TICKET_RECORDS;
    assert!(each < 128, "{each} bytes per ticket record");
    let mut other = ticket(50);
    other.versions = vec![version(2, VersionState::Open, 0.5)];
    assert_eq!(answer_kind(&apply(&mut state, &other)), AnswerKind::Closed);
}
