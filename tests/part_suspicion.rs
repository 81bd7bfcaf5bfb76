//! The load that `policy/part_suspicion.rs` answers: one part of a prompt ends every server that
//! begins to answer a call with it, or one request that comes again does. A fleet of servers is played on virtual time, without network,
//! against two naive policies: to try on as if nothing were known, and never to try again.

mod deadly_play;

use deadly_play::{
    CALL_RATE, CALM, DEADLY, DEADLY_REQUEST, Fleet, HOT, LENGTH_MS, Load, Policy, SUBJECTS,
};
use rstest::rstest;
use samphireshift::control::Suspect;
use std::collections::BTreeSet;

const SEEDS: u64 = 12;

/// Guards against requests of one kind that end server after server.
#[rstest]
#[case::one_in_twenty(Load { deadly: [0.05, 0.0], ..CALM })]
#[case::one_in_fifty(Load { deadly: [0.02, 0.0], ..CALM })]
#[case::one_in_five(Load { deadly: [0.2, 0.0], ..CALM })]
#[case::beside_ordinary_crashes(Load { deadly: [0.05, 0.0], crashes: 0.3, ..CALM })]
#[case::beside_racks_that_end(Load { deadly: [0.05, 0.0], racks: 6, ..CALM })]
#[case::two_parts_at_once(Load { deadly: [0.03, 0.03], ..CALM })]
#[case::from_a_cold_start(Load { deadly: [0.05, 0.0], cold: true, ..CALM })]
fn a_part_that_ends_servers_is_found_and_nothing_else(#[case] load: Load) {
    for seed in 0..SEEDS {
        let found = Fleet::play(load, Policy::Suspicion, seed);
        let expected = DEADLY.iter().zip(load.deadly).filter(|(_, share)| *share > 0.0);
        let expected: BTreeSet<Suspect> = expected.map(|(part, _)| Suspect::Part(*part)).collect();
        println!("seed {seed}: {found:?}");
        assert!(found.blocked.is_superset(&expected), "seed {seed}: {found:?}");
        // The users' bound: three calls later than three seconds after the fifth end.
        assert!(found.late_deadly <= 3, "seed {seed}: {found:?}");
        let refused = found.sound_refused as f64 / found.sound_calls as f64;
        assert!(refused < 0.02, "seed {seed}: {refused}");
        let (on, never) = (Policy::TryOn, Policy::NeverRepeat);
        let (on, never) = (Fleet::play(load, on, seed), Fleet::play(load, never, seed));
        println!("  try on {on:?}\n  never {never:?}");
        assert!(found.servers_lost < on.servers_lost && found.servers_lost < never.servers_lost);
        assert!(found.sound_failed < on.sound_failed && found.sound_failed < never.sound_failed);
    }
}

/// Guards against a shared part that is blamed for servers that end for other reasons.
#[rstest]
#[case::calm(CALM)]
#[case::single_servers(Load { crashes: 0.5, ..CALM })]
#[case::many_servers(Load { crashes: 2.0, ..CALM })]
#[case::racks(Load { racks: 6, ..CALM })]
#[case::most_of_the_fleet(Load { racks: 14, crashes: 0.3, ..CALM })]
#[case::cold_start(Load { crashes: 1.0, racks: 6, cold: true, ..CALM })]
#[case::hot_request(Load { crashes: 1.0, racks: 6, hot: 0.3, ..CALM })]
#[case::hot_request_at_few_servers(Load { crashes: 0.2, servers: 3, racks: 2, hot: 0.3, prompts: false, ..CALM })]
fn ordinary_ends_of_servers_convict_no_shared_part(#[case] load: Load) {
    let mut refused = 0;
    for seed in 0..SEEDS {
        let played = Fleet::play(load, Policy::Suspicion, seed);
        println!("seed {seed}: {played:?}");
        let shared = |suspect: &&Suspect| match suspect {
            Suspect::Part(part) => !SUBJECTS.contains(part),
            Suspect::Request(request) => *request == HOT,
        };
        assert_eq!(played.blocked.iter().find(shared), None, "seed {seed}: {played:?}");
        refused += played.sound_refused;
    }
    let calls = SEEDS as f64 * CALL_RATE * LENGTH_MS as f64 / 1e3;
    assert!((refused as f64) < 0.005 * calls, "{refused} sound calls refused");
}

/// Guards against one request that ends server after server, as often as it comes.
#[rstest]
#[case::three_servers(Load { servers: 3, prompts: false, ..CALM })]
#[case::many_servers(CALM)]
#[case::beside_ordinary_crashes(Load { crashes: 0.3, ..CALM })]
#[case::beside_racks_that_end(Load { racks: 6, ..CALM })]
#[case::beside_a_hot_request(Load { servers: 3, prompts: false, hot: 0.3, ..CALM })]
#[case::from_a_cold_start(Load { cold: true, ..CALM })]
#[case::leader_lost_after_the_first_wave(Load { servers: 3, prompts: false, new_leader: Some(8_000), ..CALM })]
#[case::leader_lost_in_the_second_wave(Load { new_leader: Some(10_560), ..CALM })]
fn a_request_that_ends_servers_is_found_and_nothing_else(#[case] load: Load) {
    check_deadly_request(load);
}

/// Guards against a request that hides behind a deadly part that ends servers at the same time.
#[test]
fn a_request_beside_a_deadly_part_is_found_in_time() {
    check_deadly_request(Load { deadly: [0.05, 0.0], ..CALM });
}

fn check_deadly_request(load: Load) {
    let load = Load { request: true, ..load };
    for seed in 0..SEEDS {
        let found = Fleet::play(load, Policy::Suspicion, seed);
        println!("seed {seed}: {found:?}");
        let request = Suspect::Request(DEADLY_REQUEST);
        assert!(found.blocked.contains(&request), "seed {seed}: {found:?}");
        assert!(!found.blocked.contains(&Suspect::Request(HOT)), "seed {seed}: {found:?}");
        // The users' bound: three retries later than three seconds after the third end.
        assert!(found.late_requests <= 3, "seed {seed}: {found:?}");
        assert!(found.late_deadly <= 3, "seed {seed}: {found:?}");
        let refused = found.sound_refused as f64 / found.sound_calls as f64;
        assert!(refused < 0.02, "seed {seed}: {refused}");
        let on = Fleet::play(load, Policy::TryOn, seed);
        assert!(found.servers_lost < on.servers_lost, "seed {seed}: {found:?}, try on: {on:?}");
    }
}
