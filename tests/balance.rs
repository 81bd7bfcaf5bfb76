//! Load balancing: server choice, concurrency limits, prefix caches, fair queueing and ejection.

mod env;

use env::{Fleet, FleetSpec, ticket};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::backend::{CacheChange, CacheEvent, LoadSink};
use samphireshift::event::Journal;
use samphireshift::name::{DataCentre, OrganisationName, PoolName, VmName};
use samphireshift::policy::{
    BalancePolicy, ConcurrencyLimit, FairQueue, LoadEstimate, PrefixKeys, PrefixTable, PushOutcome,
    ServerCandidate, ServiceRate, pick_server,
};
use samphireshift::route::ServerTracker;
use samphireshift::vms::{Vm, VmState};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const SEED: u64 = 7;

fn candidate(name: &str) -> ServerCandidate {
    let vm = Vm {
        name: VmName::new(name),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentre::new("dc"),
        pool: PoolName::new("pool"),
        state: VmState::Live,
        version: None,
        slots: 0,
    };
    ServerCandidate {
        vm: vm.into(),
        load: LoadEstimate::default(),
        slots: 8,
        own_calls: 0,
        headroom: 8,
        first_token_ms: Some(10.0),
        call_ms: Some(50.0),
        usable: true,
        local: true,
        cached_share: 0.0,
        affinity_rank: 0,
    }
}

struct Case {
    change: fn(&mut ServerCandidate),
    picked: bool,
}

#[rstest]
#[case::equal(Case { change: |_| {}, picked: true })]
#[case::queueing(Case { change: |c| c.load.mean = 20.0, picked: false })]
#[case::slow(Case { change: |c| c.first_token_ms = Some(60.0), picked: false })]
#[case::ejected(Case { change: |c| c.usable = false, picked: false })]
#[case::no_headroom(Case { change: |c| c.headroom = 0, picked: false })]
#[case::remote(Case { change: |c| c.local = false, picked: false })]
#[case::cached_but_full(Case { change: |c| { c.cached_share = 1.0; c.load.mean = 30.0 }, picked: false })]
#[case::home_but_full(Case { change: |c| { c.affinity_rank = 9; c.load.mean = 30.0 }, picked: false })]
#[case::home(Case { change: |c| c.affinity_rank = 9, picked: true })]
#[case::cached(Case { change: |c| c.cached_share = 1.0, picked: true })]
fn the_server_with_the_shortest_expected_time_is_picked(#[case] case: Case) {
    let mut candidates: Vec<ServerCandidate> = ["a", "b", "c", "d"].map(candidate).into();
    (case.change)(&mut candidates[0]);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let picks = (0..400)
        .filter(|turn| {
            let picked =
                pick_server(&candidates, BalancePolicy::LeastExpectedTime, *turn, &mut rng);
            picked.is_some_and(|c| c.vm.name.as_str() == "a")
        })
        .count();
    // A pick samples three candidates, so it rarely misses all three other servers.
    let expected = if case.picked { 60..=400 } else { 0..=20 };
    assert!(expected.contains(&picks), "{picks} of 400");
}

/// Load reports of a server, and the range expected of its limit afterwards.
struct LimitCase {
    /// Waiting requests, batch slots and calls in flight from this router, one report a second.
    reports: &'static [(u64, u64, u64)],
    limits: std::ops::RangeInclusive<u64>,
}

#[rstest]
#[case::unknown(LimitCase { reports: &[], limits: 8..=8 })]
#[case::many_slots_at_once(LimitCase { reports: &[(0, 64, 0)], limits: 64..=64 })]
#[case::rises_while_used(LimitCase { reports: &[(0, 8, 8), (0, 8, 10)], limits: 10..=16 })]
#[case::stays_while_unused(LimitCase { reports: &[(0, 8, 1), (0, 8, 1)], limits: 8..=8 })]
#[case::falls_while_others_wait(LimitCase { reports: &[(8, 8, 8), (8, 8, 8)], limits: 3..=4 })]
#[case::never_below_one(LimitCase { reports: &[(8, 8, 8); 20], limits: 1..=1 })]
fn the_concurrency_limit_follows_the_load_reports(#[case] case: LimitCase) {
    let mut limit = ConcurrencyLimit::default();
    for (second, (waiting, slots, own)) in case.reports.iter().enumerate() {
        limit.record_report(Duration::from_secs(second as u64), *waiting, *slots, *own);
    }
    assert!(case.limits.contains(&limit.max_calls()), "{}", limit.max_calls());
}

#[test]
fn ejection_is_ignored_when_most_of_a_pool_is_ejected() {
    let mut candidates: Vec<ServerCandidate> = ["a", "b", "c", "d"].map(candidate).into();
    candidates.iter_mut().skip(1).for_each(|c| c.usable = false);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let pick = |turn| pick_server(&candidates, BalancePolicy::RoundRobin, turn, &mut rng).cloned();
    let names: std::collections::BTreeSet<_> =
        (0..8).map(pick).map(|c| c.unwrap().vm.name.clone()).collect();
    assert_eq!(names.len(), 4);
}

/// Servers of which nothing is known yet look alike, so each pick among them is a coin toss: a burst
/// of eight calls misses one of two servers once in 256 times.
#[test]
fn calls_to_servers_without_history_are_spread_at_random() {
    const BURSTS: usize = 20_000;
    const CALLS: usize = 8;
    let unknown = |name| ServerCandidate { first_token_ms: None, call_ms: None, ..candidate(name) };
    let candidates = ["a", "b"].map(unknown);
    let mut rng = Pcg64Mcg::seed_from_u64(SEED);
    let mut hits_first = || {
        let picked = pick_server(&candidates, BalancePolicy::LeastExpectedTime, 0, &mut rng);
        picked.is_some_and(|picked| picked.vm.name.as_str() == "a")
    };
    let mut counts = [0; CALLS + 1];
    for _ in 0..BURSTS {
        counts[(0..CALLS).filter(|_| hits_first()).count()] += 1;
    }
    let expected = BURSTS / (1 << CALLS);
    assert!((expected / 2..expected * 2).contains(&counts[0]), "{counts:?}");
    assert!((expected / 2..expected * 2).contains(&counts[CALLS]), "{counts:?}");
}

/// Requests that a pool finishes, and the range expected of the wait for ten more.
struct RateCase {
    /// When each request finishes, in milliseconds, and whether others wait then.
    finished: &'static [(u64, bool)],
    /// The wait in milliseconds; `None` while too little is known.
    wait: Option<std::ops::RangeInclusive<u128>>,
}

#[rstest]
#[case::nothing_known(RateCase { finished: &[], wait: None })]
#[case::one_gap_proves_little(RateCase { finished: &[(0, true), (50, true)], wait: None })]
#[case::just_started(RateCase {
    finished: &[(0, true), (50, true), (100, true), (150, true), (200, true), (250, true)],
    wait: Some(400..=600),
})]
#[case::idle_before_a_burst(RateCase {
    finished: &[(0, false), (9_000, false), (18_000, false), (27_000, true), (27_050, true), (27_100, true), (27_150, true), (27_200, true), (27_250, true)],
    wait: Some(400..=600),
})]
#[case::idle_only(RateCase { finished: &[(0, false), (9_000, false), (18_000, false), (27_000, false), (36_000, false), (45_000, false)], wait: None })]
#[case::a_pause_within_a_burst(RateCase {
    finished: &[(0, true), (1_200, true), (1_200, true), (1_210, true), (1_210, true), (1_220, true), (1_250, true), (1_300, true)],
    wait: Some(1_200..=2_400),
})]
fn the_wait_of_a_pool_is_learned_while_requests_wait(#[case] case: RateCase) {
    let mut rate = ServiceRate::default();
    for (millis, waiting) in case.finished {
        rate.record_finished(Duration::from_millis(*millis), *waiting);
    }
    let wait = rate.expected_wait(10).map(|wait| wait.as_millis());
    match case.wait {
        None => assert_eq!(wait, None),
        Some(range) => assert!(wait.is_some_and(|wait| range.contains(&wait)), "{wait:?} ms"),
    }
}

#[test]
fn an_invalidated_or_expired_cache_entry_is_not_used() {
    let (mut table, at) = (PrefixTable::default(), Duration::from_secs);
    let keys = PrefixKeys::of(&"k".repeat(1024));
    let server = VmName::new("a");
    table.record_cached(at(1), &keys, &server);
    assert_eq!(table.cached_shares(at(2), &keys), vec![(server.clone(), 1.0)]);
    let longer = PrefixKeys::of(&"k".repeat(2048));
    assert_eq!(table.cached_shares(at(2), &longer), vec![(server.clone(), 0.5)]);
    table.invalidate_server(at(3), &server);
    assert!(table.cached_shares(at(4), &keys).is_empty());
    table.record_cached(at(5), &keys, &server);
    assert!(!table.cached_shares(at(6), &keys).is_empty());
    assert!(table.cached_shares(at(600), &keys).is_empty());
}

#[test]
fn cache_events_update_the_prefix_table_and_a_gap_clears_the_server() {
    let servers = ServerTracker::new(Arc::new(Journal::in_memory(VmName::new("entry"))));
    let keys = PrefixKeys::of(&"k".repeat(512));
    let event =
        |number, change, blocks: &[u64]| CacheEvent { number, change, blocks: blocks.into() };
    let server = VmName::new("a");
    let share = || servers.prefix_shares(&keys).first().map_or(0.0, |(_, share)| *share);
    servers.record_cache_events(&server, &[event(1, CacheChange::Stored, keys.hashes())]);
    assert_eq!(share(), 1.0);
    servers.record_cache_events(&server, &[event(2, CacheChange::Dropped, &keys.hashes()[1..])]);
    assert_eq!((share(), servers.last_event(&server)), (0.5, 2));
    std::thread::sleep(Duration::from_millis(2));
    servers.record_cache_events(&server, &[event(9, CacheChange::Dropped, &[1])]);
    assert_eq!((share(), servers.last_event(&server)), (0.0, 9));
}

/// Reference model of the fair queue: unbounded, with a linear search.
#[derive(Default)]
struct ReferenceQueue {
    now: f64,
    finish: BTreeMap<usize, f64>,
    waiting: Vec<(f64, usize, u32)>,
}

impl ReferenceQueue {
    fn push(&mut self, organisation: usize, weight: u32, cost: f64, id: u32) {
        let start = self.finish.get(&organisation).copied().unwrap_or(0.0).max(self.now);
        self.finish.insert(organisation, start + cost / f64::from(weight));
        self.waiting.push((start, organisation, id));
    }

    fn pop(&mut self) -> Option<u32> {
        let rank = |w: &(f64, usize, u32)| (w.0, w.1, w.2);
        let ranks = self.waiting.iter().map(rank);
        let first = ranks.min_by(|a, b| a.partial_cmp(b).expect("start tags are never NaN"))?;
        self.waiting.retain(|w| w.2 != first.2);
        self.now = self.now.max(first.0);
        Some(first.2)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, rng_seed: prop::test_runner::RngSeed::Fixed(SEED), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_fair_queue_pops_in_the_order_of_the_reference_queue(
        steps in prop::collection::vec((0usize..4, 1u32..4, 1u32..50, any::<bool>()), 1..120)
    ) {
        let (mut queue, mut reference) = (FairQueue::default(), ReferenceQueue::default());
        for (id, (organisation, weight, cost, push)) in steps.into_iter().enumerate() {
            if push {
                let name = OrganisationName::new(format!("o{organisation}"));
                let weight = weight.max(1);
                let pushed = queue.push(&name, weight, f64::from(cost), id as u32);
                prop_assert_eq!(pushed, PushOutcome::Queued);
                reference.push(organisation, weight, f64::from(cost), id as u32);
            } else {
                prop_assert_eq!(queue.pop(), reference.pop());
            }
            prop_assert_eq!(queue.len(), reference.waiting.len());
        }
    }
}

#[test]
fn a_small_organisation_is_not_starved_by_a_large_one() {
    let mut queue = FairQueue::default();
    let (large, small) = (OrganisationName::new("large"), OrganisationName::new("small"));
    for _ in 0..200 {
        queue.push(&large, 1, 10.0, "large");
    }
    for _ in 0..5 {
        queue.push(&small, 1, 10.0, "small");
    }
    let first: Vec<_> = (0..12).filter_map(|_| queue.pop()).collect();
    assert_eq!(first.iter().filter(|who| **who == "small").count(), 5, "{first:?}");
}

#[test]
fn a_full_queue_evicts_from_the_longest_organisation_queue() {
    let mut queue = FairQueue::default();
    let name = |i: usize| OrganisationName::new(format!("o{i}"));
    for i in 0..4 {
        for _ in 0..256 {
            queue.push(&name(i), 1, 1.0, i);
        }
    }
    assert_eq!(queue.push(&name(0), 1, 1.0, 0), PushOutcome::Full(0));
    assert!(matches!(queue.push(&name(9), 1, 1.0, 9), PushOutcome::Evicted(i) if i < 4));
    assert_eq!(queue.len(), 1024);
}

#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_early_while_the_rest_is_served() {
    let engine = vec!["--versions=cheap/v1", "--slots=2", "--first-us=100000"];
    let spec = FleetSpec { cheap: vec![engine], ..FleetSpec::default() };
    let fleet = Fleet::start(&spec).await;
    fleet.apply(&ticket::initial(1)).await;
    let body = json!({ "messages": [{ "role": "user", "content": "hello" }] });
    let headers = [("x-deadline-ms", "1500")];
    let sends = (0..200).map(|_| fleet.chat(0, &headers, &body));
    let answers = futures::future::join_all(sends).await;
    let served = answers.iter().filter(|a| a.status == 200).count();
    assert!(served > 0);
    let refused: Vec<_> = answers.iter().filter(|a| a.status != 200).collect();
    assert!(!refused.is_empty());
    for answer in refused.iter().filter(|a| a.status == 429) {
        assert_eq!(answer.header("x-samphireshift-ran"), "no");
        assert!(answer.header("retry-after").parse::<u64>().unwrap() >= 1);
    }
    assert!(refused.iter().any(|answer| answer.status == 429));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_server_is_ejected_and_restored() {
    let engine = vec!["--versions=cheap/v1"];
    let spec = FleetSpec { cheap: vec![engine.clone(), engine], ..FleetSpec::default() };
    let fleet = Fleet::start(&spec).await;
    fleet.apply(&ticket::initial(1)).await;
    let body = json!({ "messages": [{ "role": "user", "content": "hello" }] });
    fleet.configure_fake(fleet.server_address("cheap"), &json!({ "status": 500 })).await;
    for _ in 0..30 {
        assert_eq!(fleet.chat(0, &[], &body).await.status, 200);
    }
    let before = fleet.fake_log(fleet.server_address("cheap")).await.len();
    assert!(before < 12, "{before} requests went to the failing server");
    fleet.configure_fake(fleet.server_address("cheap"), &json!({ "status": 200 })).await;
    env::fleet::await_until("the server gets requests again", async || {
        assert_eq!(fleet.chat(0, &[], &body).await.status, 200);
        fleet.fake_log(fleet.server_address("cheap")).await.len() > before + 5
    })
    .await;
}
