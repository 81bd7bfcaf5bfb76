//! Seeded exploration of the consensus core under faults.
//!
//! `SAMPHIRESHIFT_SEEDS=100000 cargo test --release --test consensus_explore` tries more seeds.

mod world;

use rstest::rstest;
use std::panic::{AssertUnwindSafe, catch_unwind};
use world::{Faults, World};

const SEEDS: u64 = 700;
const STEPS: usize = 1_500;

struct Case {
    faults: Faults,
}

const NET: Faults = Faults {
    drop: 80,
    repeat: 60,
    cut: 6,
    change: 30,
    compact: 10,
    crash: 0,
    wipe: 0,
    freeze: 0,
    yields: 0,
    early: false,
};

#[rstest]
#[case::net(Case { faults: NET })]
#[case::crashes(Case { faults: Faults { crash: 12, freeze: 4, ..NET } })]
#[case::disks(Case { faults: Faults { crash: 8, wipe: 4, freeze: 4, change: 120, ..NET } })]
#[case::hand_over(Case { faults: Faults { crash: 6, freeze: 6, yields: 12, ..NET } })]
#[case::snapshots(Case { faults: Faults { crash: 6, compact: 60, change: 60, repeat: 200, ..NET } })]
#[case::growth(Case { faults: Faults { crash: 40, change: 100, early: true, ..NET } })]
#[case::splits(Case { faults: Faults { crash: 6, freeze: 12, cut: 40, change: 200, ..NET } })]
#[case::all(Case {
    faults: Faults { crash: 12, wipe: 2, freeze: 8, yields: 6, compact: 30, change: 80, ..NET },
})]
fn invariants_hold(#[case] case: Case) {
    let seeds = std::env::var("SAMPHIRESHIFT_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let run = || World::open(seed, case.faults).run(STEPS);
        let held = catch_unwind(AssertUnwindSafe(run)).is_ok();
        assert!(held, "seed {seed} with {:?}", case.faults);
    }
}
