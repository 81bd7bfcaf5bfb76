//! Routers without a path are told of others: near ones first, spread so that none takes much more than
//! its part, whatever share of the routers is cut off.

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use samphireshift::name::{DataCentre, VmName};
use samphireshift::policy::{Helper, choose_helpers};
use std::collections::BTreeMap;

const SEEDS: u64 = 20;
const DATA_CENTRES: usize = 3;
/// Calls that each router without a path passes on.
const CALLS: usize = 60;
/// How many times its even part the busiest router may take.
const MAX_PRESS: f64 = 2.5;

fn helper(number: usize) -> Helper {
    Helper {
        vm: VmName::new(format!("router-{number}")),
        data_centre: DataCentre::new(format!("dc-{}", number % DATA_CENTRES)),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
    }
}

#[rstest]
fn no_router_is_pressed_beyond_its_part(
    #[values(6, 30, 191)] routers: usize,
    #[values(0.1, 0.5, 0.9)] share: f64,
) {
    for seed in 0..SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let cut = ((routers as f64 * share) as usize).max(1);
        let all: Vec<Helper> = (0..routers).map(helper).collect();
        let cut_off: Vec<Helper> = all.choose_multiple(&mut random, cut).cloned().collect();
        let sound: Vec<Helper> =
            all.iter().filter(|helper| !cut_off.contains(helper)).cloned().collect();
        let mut taken: BTreeMap<VmName, usize> = BTreeMap::new();
        for router in &cut_off {
            let own = &router.data_centre;
            let near = cut_off.iter().filter(|other| other.data_centre == *own).count();
            for _ in 0..CALLS / 10 {
                // The list is asked for anew every half second.
                let helpers = choose_helpers(own, near, sound.clone(), &mut random);
                for _ in 0..10 {
                    let chosen = helpers.choose(&mut random).expect("a helper");
                    *taken.entry(chosen.vm.clone()).or_default() += 1;
                }
            }
        }
        // Where a data centre helps itself, its sound routers take at most a call for each of their own.
        let even = (cut * CALLS) as f64 / sound.len() as f64;
        let busiest = *taken.values().max().expect("calls were passed on") as f64;
        let bound = MAX_PRESS * even.max(CALLS as f64);
        assert!(busiest <= bound, "seed {seed}: {busiest} calls, {even} evenly");
    }
}

/// A data centre whose routers are all cut off is helped by the others.
#[test]
fn a_data_centre_that_is_cut_off_as_a_whole_is_helped_by_the_others() {
    let sound: Vec<Helper> =
        (0..30).map(helper).filter(|h| h.data_centre.as_str() != "dc-0").collect();
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let helpers = choose_helpers(&DataCentre::new("dc-0"), 10, sound, &mut random);
    assert!(!helpers.is_empty());
}
