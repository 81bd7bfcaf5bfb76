//! One scheduler for all calls: what can be reached at most.

use super::{Call, Day, RANKS, Sums, WARM_UP_MS, arrivals};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One scheduler that sees all places and knows how long each call takes: whenever a place is free it
/// takes the call with the most weight for its time that can still be in time.
pub fn all_knowing(day: &Day, seed: u64) -> Sums {
    schedule(day, seed, |call| call.work, Reverse)
}

/// The same, but it knows only the mean time of a rank's calls, of which it takes the newest first.
pub fn knows_means(day: &Day, seed: u64) -> Sums {
    schedule(day, seed, |call| RANKS[call.rank].2 as u64, |id| id)
}

fn schedule<F, O, K>(day: &Day, seed: u64, expected: F, order: O) -> Sums
where
    F: Fn(&Call) -> u64,
    O: Fn(usize) -> K,
    K: Ord,
{
    let calls = arrivals(day, seed);
    let mut sums = Sums::new();
    let mut waiting: BinaryHeap<(u64, K, usize)> = BinaryHeap::new();
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut next = 0;
    let mut now = 0;
    while next < calls.len() || !waiting.is_empty() {
        let arrival = calls.get(next).map_or(u64::MAX, |call| call.arrives);
        let lost = if now >= WARM_UP_MS { day.lost } else { 0.0 };
        let places = (day.servers - (day.servers as f64 * lost) as usize) * day.slots;
        let end = ends.peek().map_or(u64::MAX, |end| end.0);
        now = match waiting.is_empty() || ends.len() >= places {
            true => arrival.min(end),
            false => now,
        };
        while ends.peek().is_some_and(|end| end.0 <= now) {
            ends.pop();
        }
        while let Some(call) = calls.get(next).filter(|call| call.arrives <= now) {
            let counts = call.arrives >= WARM_UP_MS;
            sums.groups[call.rank][call.organisation].offered += u32::from(counts);
            let worth = u64::from(RANKS[call.rank].0) * 1_000_000 / expected(call);
            waiting.push((worth, order(next), next));
            next += 1;
        }
        while ends.len() < places
            && let Some((_, _, id)) = waiting.pop()
        {
            let call = &calls[id];
            if now + expected(call) > call.target() {
                continue;
            }
            ends.push(Reverse(now + call.work));
            if call.arrives >= WARM_UP_MS {
                let outcome = &mut sums.groups[call.rank][call.organisation];
                outcome.in_time += u32::from(now + call.work <= call.target());
                outcome.served += u32::from(now + call.work <= call.deadline());
            }
        }
        if waiting.is_empty() && next >= calls.len() {
            break;
        }
    }
    sums
}
