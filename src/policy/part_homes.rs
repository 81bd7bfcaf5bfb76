use super::{HomeGroup, HomeScope, HomeWeighing};
use std::time::Duration;

/// A server as a possible home of shared parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerKey {
    /// A hash of its name that is the same in all routers.
    pub hash: u64,
    /// Whether it is in this router's data centre.
    pub near: bool,
}

/// The chance that each server keeps a part. Its homes are the servers that come first by rendezvous
/// hashing, which is the same in all routers: those of the pool, or those of each data centre, as
/// `weighing` has it. `stray` is the chance at any other one.
///
/// ```
/// use samphireshift::policy::{HomeGroup, HomeWeighing, ServerKey, home_chances};
/// use std::time::Duration;
/// let keys: Vec<ServerKey> = (0..8).map(|i| ServerKey { hash: i * 77, near: i < 4 }).collect();
/// let (pool, near) = (HomeGroup { rate: 0.4, homes: 1 }, HomeGroup { rate: 0.2, homes: 3 });
/// let homes = |way_ms| {
///     let weighing = HomeWeighing { read_ms: 100.0, way_ms };
///     let chances = home_chances(5, &keys, [pool, near], &weighing, 0.0, Duration::from_secs(10));
///     chances[..4].iter().filter(|chance| **chance > 0.0).count()
/// };
/// assert!(homes(10.0) <= 1);
/// assert_eq!(homes(90.0), 3);
/// ```
pub fn home_chances(
    part: u64,
    servers: &[ServerKey],
    groups: [HomeGroup; 2],
    weighing: &HomeWeighing,
    stray: f64,
    kept: Duration,
) -> Vec<f64> {
    let mut chances = vec![stray; servers.len()];
    let scores: Vec<u64> = servers.iter().map(|server| mix(part ^ server.hash)).collect();
    let [pool, near] = groups;
    let near_servers = (0..servers.len()).filter(|index| servers[*index].near);
    let near_servers: Vec<usize> = near_servers.collect();
    let spans_centres = !near_servers.is_empty() && near_servers.len() < servers.len();
    let has_near_homes = spans_centres && weighing.scope(groups, kept) == HomeScope::DataCentre;
    // The first homes of the pool are then homes of their own data centre, which has as many as this one.
    let (chance, count) = match has_near_homes {
        true => (near.plain_chance(kept), near.homes),
        false => (pool.chance(kept), pool.homes),
    };
    let mut homes = first_by((0..servers.len()).collect(), &scores, count);
    if has_near_homes {
        homes.extend(first_by(near_servers, &scores, near.homes));
    }
    for index in homes {
        chances[index] = chances[index].max(chance);
    }
    chances
}

/// The `count` indexes with the highest scores.
fn first_by(mut indexes: Vec<usize>, scores: &[u64], count: usize) -> Vec<usize> {
    let score = |index: &usize| std::cmp::Reverse(scores[*index]);
    match count {
        1 => indexes.into_iter().min_by_key(score).into_iter().collect(),
        _ if count < indexes.len() => {
            indexes.select_nth_unstable_by_key(count, score);
            indexes.truncate(count);
            indexes
        }
        _ => indexes,
    }
}

/// Spreads the bits of a hash (the finaliser of SplitMix64).
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
