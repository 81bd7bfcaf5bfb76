//! Checks the invariants of Raft in simulated clusters with injected faults, one run per seed.
//!
//! `SAMPHIRESHIFT_SEEDS=100000 cargo test --release --test consensus_explore` runs more seeds.

mod simulation;

use rstest::rstest;
use simulation::{FaultRates, Simulation};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Seeds per case unless `SAMPHIRESHIFT_SEEDS` is set.
const DEFAULT_SEEDS: u64 = 700;
const STEPS: usize = 1_500;

struct Case {
    faults: FaultRates,
}

/// Network faults, membership changes and compaction, which all cases have in common.
const NETWORK: FaultRates = FaultRates {
    drop: 80,
    duplicate: 60,
    isolate: 6,
    change: 30,
    compact: 10,
    crash: 0,
    wipe: 0,
    freeze: 0,
    stall: 0,
    stall_all: 0,
    transfer: 0,
    from_bootstrap: false,
};

#[rstest]
#[case::network(Case { faults: NETWORK })]
#[case::crashes(Case { faults: FaultRates { crash: 12, freeze: 4, ..NETWORK } })]
#[case::disk_loss(Case { faults: FaultRates { crash: 8, wipe: 4, freeze: 4, change: 120, ..NETWORK } })]
#[case::leadership_transfer(Case { faults: FaultRates { crash: 6, freeze: 6, transfer: 12, ..NETWORK } })]
#[case::snapshots(Case { faults: FaultRates { crash: 6, compact: 60, change: 60, duplicate: 200, ..NETWORK } })]
#[case::growth(Case { faults: FaultRates { crash: 40, change: 100, from_bootstrap: true, ..NETWORK } })]
#[case::partitions(Case { faults: FaultRates { crash: 6, freeze: 12, isolate: 40, change: 200, ..NETWORK } })]
#[case::stalls(Case { faults: FaultRates { crash: 12, stall: 40, stall_all: 4, isolate: 12, ..NETWORK } })]
#[case::stalled_hand_overs(Case { faults: FaultRates { crash: 6, stall: 40, transfer: 12, ..NETWORK } })]
#[case::stalled_snapshots(Case { faults: FaultRates { crash: 12, stall: 40, compact: 60, change: 60, ..NETWORK } })]
#[case::all(Case {
    faults: FaultRates { crash: 12, wipe: 2, freeze: 8, transfer: 6, compact: 30, change: 80, ..NETWORK },
})]
#[case::all_with_stalls(Case {
    faults: FaultRates { crash: 12, wipe: 2, freeze: 8, stall: 20, stall_all: 2, transfer: 6, compact: 30, change: 80, ..NETWORK },
})]
fn invariants_hold(#[case] case: Case) {
    let seeds = std::env::var("SAMPHIRESHIFT_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        let run = || Simulation::new(seed, case.faults).run(STEPS);
        let held = catch_unwind(AssertUnwindSafe(run)).is_ok();
        assert!(held, "invariant violated with seed {seed} and {:?}", case.faults);
    }
}
