//! The event timeline: causal order under clock skew, bounds, restarts and filters.

use proptest::prelude::*;
use samphireshift::event::{Event, EventQuery, HybridClock, Journal, MAX_DRIFT_MS, Timestamp};
use samphireshift::name::{OrganisationName, RequestId, SessionName, VersionKey, VmName};
use std::path::PathBuf;
use std::sync::Arc;

const START_MS: u64 = 1_700_000_000_000;
const VM_COUNT: usize = 4;

/// One step of a random execution.
#[derive(Debug, Clone)]
enum Step {
    /// A local event on a VM.
    Local(usize),
    /// The first VM sends a message to the second.
    Message(usize, usize),
    /// Real time advances by this many milliseconds.
    Advance(u64),
    /// A VM's wall clock is set to this offset from real time, in milliseconds.
    SetSkew(usize, i64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let skew = MAX_DRIFT_MS as i64 / 2;
    let step = prop_oneof![
        (0..VM_COUNT).prop_map(Step::Local),
        (0..VM_COUNT, 0..VM_COUNT).prop_map(|(from, to)| Step::Message(from, to)),
        (0..500_u64).prop_map(Step::Advance),
        (0..VM_COUNT, -skew..skew).prop_map(|(vm, skew)| Step::SetSkew(vm, skew)),
    ];
    prop::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(6), ..ProptestConfig::default() })]

    /// An event has a larger timestamp than each event that happened before it, as given by vector
    /// clocks.
    #[test]
    fn timestamps_respect_causality_under_clock_skew(steps in steps()) {
        let clocks: Vec<HybridClock> = (0..VM_COUNT).map(|_| HybridClock::default()).collect();
        let (mut time, mut skews) = (START_MS, [0_i64; VM_COUNT]);
        let mut vectors = [[0_u64; VM_COUNT]; VM_COUNT];
        let mut seen: Vec<([u64; VM_COUNT], Timestamp)> = Vec::new();
        for step in steps {
            match step {
                Step::Advance(millis) => time += millis,
                Step::SetSkew(vm, skew) => skews[vm] = skew,
                Step::Local(vm) | Step::Message(vm, _) => {
                    vectors[vm][vm] += 1;
                    let wall = |vm: usize| time.saturating_add_signed(skews[vm]);
                    let timestamp = clocks[vm].now_at(wall(vm));
                    seen.push((vectors[vm], timestamp));
                    if let Step::Message(_, to) = step {
                        prop_assert_eq!(clocks[to].observe_at(wall(to), timestamp), Ok(()));
                        let sent = vectors[vm];
                        vectors[to].iter_mut().zip(sent).for_each(|(own, other)| *own = (*own).max(other));
                    }
                }
            }
        }
        for (cause, before) in &seen {
            for (effect, after) in &seen {
                let precedes = cause != effect && cause.iter().zip(effect).all(|(a, b)| a <= b);
                prop_assert!(!precedes || before < after, "{before} is not before {after}");
            }
        }
    }
}

#[test]
fn a_timestamp_too_far_ahead_is_refused() {
    let clock = HybridClock::default();
    let near = Timestamp { millis: START_MS + MAX_DRIFT_MS, counter: 0 };
    let far = Timestamp { millis: START_MS + MAX_DRIFT_MS + 1, counter: 0 };
    assert_eq!(clock.observe_at(START_MS, far).unwrap_err().ahead_ms, MAX_DRIFT_MS + 1);
    assert_eq!(clock.now_at(START_MS), Timestamp { millis: START_MS, counter: 0 });
    clock.observe_at(START_MS, near).unwrap();
    assert!(clock.now_at(START_MS) > near);
}

#[test]
fn refused_timestamps_are_recorded_at_a_limited_rate() {
    let journal = Journal::in_memory(VmName::new("a"));
    let broken = Timestamp { millis: u64::MAX, counter: u32::MAX };
    (0..100).for_each(|_| journal.observe(broken));
    let page = journal.select(&EventQuery::default());
    assert_eq!(page.events.len(), 1);
    assert_eq!(page.events[0].event.name(), "stamp_refused");
    assert!(page.events[0].at.millis < broken.millis);
}

/// A temporary folder of one test, removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let name = format!("samphireshift-events-{name}-{}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }

    fn open(&self) -> Journal {
        Journal::open(VmName::new("a"), &self.0).unwrap()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // Best effort: a leftover temporary folder does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn ticket(number: u64) -> Event {
    Event::TicketAccepted { ticket: number, revision: number }
}

#[test]
fn events_and_the_clock_survive_a_restart_and_an_incomplete_line() {
    let folder = TempFolder::new("restart");
    let journal = folder.open();
    let ahead = Timestamp { millis: journal.timestamp().millis + MAX_DRIFT_MS / 2, counter: 9 };
    journal.observe(ahead);
    journal.record(ticket(1));
    journal.flush();
    journal.record(ticket(2));
    let last = journal.timestamp();
    drop(journal);
    let file = folder.0.join("events.jsonl");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes.extend_from_slice(b"{\"at\":{\"millis\":17");
    std::fs::write(&file, bytes).unwrap();
    for round in 0..2 {
        let journal = folder.open();
        assert!(journal.timestamp() > last, "the clock went backwards at restart {round}");
        journal.record(ticket(10 + round));
        journal.flush();
    }
    let page = folder.open().select(&EventQuery::default());
    let tickets: Vec<_> = page.events.iter().filter_map(|record| record.event.ticket()).collect();
    // The event of ticket 2 was not flushed before the journal was dropped.
    assert_eq!(tickets, [1, 10, 11]);
    assert!(page.events.windows(2).all(|pair| pair[0].at < pair[1].at));
}

#[test]
fn memory_and_files_are_bounded_and_truncation_is_reported() {
    let folder = TempFolder::new("bounds");
    let journal = folder.open();
    for number in 0..120_000 {
        journal.record(ticket(number));
        if number % 5_000 == 0 {
            journal.flush();
        }
    }
    journal.flush();
    let sizes = std::fs::read_dir(&folder.0).unwrap().map(|f| f.unwrap().metadata().unwrap().len());
    let total: u64 = sizes.sum();
    assert!(total < 9 << 20, "{total} bytes");
    let page = journal.select(&EventQuery::default());
    assert!(page.truncated && page.events.len() == 5_000);
    assert_eq!(page.events.last().unwrap().event.ticket(), Some(119_999));
    let few = journal.select(&EventQuery { limit: Some(3), ..EventQuery::default() });
    assert!(few.truncated && few.events.len() == 3);
    let one = EventQuery { ticket: Some(110_000), ..EventQuery::default() };
    assert!(!journal.select(&one).truncated && journal.select(&one).events.len() == 1);
    let gone = EventQuery { ticket: Some(0), ..EventQuery::default() };
    assert_eq!(journal.select(&gone).events, []);
}

/// A filter and the event numbers of the events that it selects.
struct Case {
    query: EventQuery,
    numbers: &'static [u16],
}

#[test]
fn each_filter_selects_its_events() {
    let (own, other) = (RequestId::random(), RequestId::random());
    let key = VersionKey::parse("m/v").unwrap();
    let session = SessionName::new("s");
    let journal = Arc::new(Journal::in_memory(VmName::new("a")));
    for request in [own, other] {
        let (organisation, kind) = (OrganisationName::new("o"), "k".to_owned());
        journal.record(Event::RequestAdmitted { request, organisation, kind });
    }
    journal.record(Event::SessionJoined { request: own, session: session.clone() });
    let reason = "r".to_owned();
    journal.record(Event::VersionChosen { request: other, version: key.clone(), reason });
    journal.record(Event::AnswerBilled { request: own, cost: 1 });
    journal.record(ticket(7));
    let all = EventQuery::default();
    let last = journal.select(&all).events.last().unwrap().at;
    let vm = |name: &str| Some(VmName::new(name));
    let after = [(VmName::new("a"), last)].into();
    let cases = [
        Case { query: all.clone(), numbers: &[40, 40, 52, 43, 49, 30] },
        Case { query: EventQuery { request: Some(own), ..all.clone() }, numbers: &[40, 52, 49] },
        Case {
            query: EventQuery { session: Some(session), ..all.clone() },
            numbers: &[40, 52, 49],
        },
        Case { query: EventQuery { version: Some(key), ..all.clone() }, numbers: &[43] },
        Case { query: EventQuery { ticket: Some(7), ..all.clone() }, numbers: &[30] },
        Case { query: EventQuery { ticket: Some(8), ..all.clone() }, numbers: &[] },
        Case { query: EventQuery { vm: vm("a"), limit: Some(1), ..all.clone() }, numbers: &[30] },
        Case { query: EventQuery { vm: vm("b"), ..all.clone() }, numbers: &[] },
        Case { query: EventQuery { number: Some(43), ..all.clone() }, numbers: &[43] },
        Case {
            query: EventQuery { name: Some("answer_billed".into()), ..all.clone() },
            numbers: &[49],
        },
        Case { query: EventQuery { since: Some(last.millis + 1), ..all.clone() }, numbers: &[] },
        Case { query: EventQuery { until: Some(1), ..all.clone() }, numbers: &[] },
        Case { query: EventQuery { after, ..all.clone() }, numbers: &[] },
    ];
    for Case { query, numbers } in cases {
        let page = journal.select(&query);
        let found: Vec<u16> = page.events.iter().map(|record| record.number).collect();
        assert_eq!(found, numbers, "{query:?}");
    }
}
