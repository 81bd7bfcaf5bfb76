use super::LoadEstimate;
use crate::vms::Vm;
use rand::Rng;
use std::sync::Arc;

/// Servers sampled besides those that have the prefix cached. Choosing among a few random servers
/// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001) keeps routers with
/// the same delayed reports from all choosing the same one.
const SAMPLES: usize = 3;
/// Fraction of the time to the first token that a fully cached prompt saves.
const CACHED_SAVING: f64 = 0.8;
/// Fraction of a prompt that its affinity server, the one with the highest affinity rank, is
/// assumed to have cached.
const AFFINITY_CACHED_SHARE: f64 = 0.4;
/// Weight of a millisecond of queueing relative to one of prefill: a cached prompt saves a known
/// time, while a queue may take longer than expected.
const WAITING_WEIGHT: f64 = 2.5;
/// Additional latency of a server in another data centre, in milliseconds.
const REMOTE_MS: f64 = 3.0;
/// If less than this fraction of a pool is usable, ejected servers are used as well.
const USABLE_SHARE: f64 = 0.5;

/// Load-balancing policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BalancePolicy {
    /// Lowest expected time to the first token among a few servers.
    #[default]
    LeastExpectedTime,
    /// Each server in turn.
    RoundRobin,
    /// Fewest calls of this router in progress.
    LeastConnections,
}

/// A backend server that a request could be sent to.
#[derive(Debug, Clone)]
pub struct ServerCandidate {
    /// The VM that the server runs on.
    pub vm: Arc<Vm>,
    /// Estimated number of requests on the server.
    pub load: LoadEstimate,
    /// Requests that the server runs concurrently.
    pub slots: u64,
    /// Calls of this router in progress.
    pub own_calls: u64,
    /// Further calls that this router may start within its limit.
    pub headroom: u64,
    /// Average time to the first token, in milliseconds; `None` if nothing recent is known.
    pub first_token_ms: Option<f64>,
    /// Average duration of a call, in milliseconds; `None` before the first call has ended.
    pub call_ms: Option<f64>,
    /// Whether the circuit breaker allows requests.
    pub usable: bool,
    /// Whether the server is in this router's data centre.
    pub local: bool,
    /// Fraction of the prompt in the server's prefix cache, from 0 to 1.
    pub cached_share: f64,
    /// Affinity rank of the server for the prompt's prefix, by rendezvous hashing; 0 without a
    /// prefix.
    pub affinity_rank: u64,
}

impl ServerCandidate {
    /// The expected time to the first token, in milliseconds. `average_ms` is the pool's average;
    /// `assumed_share` is the fraction of the prompt that the server is assumed to have cached even
    /// if this router has no record of it.
    fn expected_ms(&self, average_ms: f64, assumed_share: f64) -> f64 {
        let slots = self.slots.max(1) as f64;
        let first_token_ms = self.first_token_ms.unwrap_or(average_ms);
        let waiting =
            WAITING_WEIGHT * self.expected_queue() / slots * self.call_ms.unwrap_or(first_token_ms);
        let remote = if self.local { 0.0 } else { REMOTE_MS };
        let saved =
            (average_ms * CACHED_SAVING * self.cached_share.max(assumed_share)).min(first_token_ms);
        waiting + first_token_ms - saved + remote
    }

    /// The number of requests that a new one is expected to wait for. The load is uncertain, so a
    /// smooth maximum keeps a nearly full server from looking as good as an idle one.
    fn expected_queue(&self) -> f64 {
        let over = self.load.mean + 1.0 - self.slots.max(1) as f64;
        (over + (over * over + self.load.variance).sqrt()) / 2.0
    }
}

/// Picks a server, preferring servers below their call limit; `None` without candidates. `turn`
/// increases by one with every pick.
pub fn pick_server<'a, R>(
    candidates: &'a [ServerCandidate],
    balance: BalancePolicy,
    turn: usize,
    rng: &mut R,
) -> Option<&'a ServerCandidate>
where
    R: Rng,
{
    let usable = candidates.iter().filter(|c| c.usable).count();
    let few_usable = (usable as f64) < candidates.len() as f64 * USABLE_SHARE;
    let open = candidates.iter().filter(|c| c.usable || few_usable);
    let mut open: Vec<&ServerCandidate> = open.collect();
    if open.iter().any(|c| c.headroom > 0) {
        open.retain(|c| c.headroom > 0);
    }
    if open.is_empty() {
        return None;
    }
    match balance {
        BalancePolicy::RoundRobin => Some(open[turn % open.len()]),
        BalancePolicy::LeastConnections => {
            let rank = |index: usize| (open[index].own_calls, (index + turn) % open.len());
            (0..open.len()).min_by_key(|index| rank(*index)).map(|index| open[index])
        }
        BalancePolicy::LeastExpectedTime => {
            let preferred = open
                .iter()
                .copied()
                .filter(|c| c.affinity_rank > 0)
                .max_by_key(|c| c.affinity_rank);
            let cached = open.iter().filter(|c| c.cached_share > 0.0).copied();
            let sampled = (0..SAMPLES).map(|_| open[rng.random_range(0..open.len())]);
            let average_ms = average_first_token(&open);
            let rank = |c: &&ServerCandidate| {
                let is_preferred = preferred.is_some_and(|server| std::ptr::eq(server, *c));
                c.expected_ms(average_ms, if is_preferred { AFFINITY_CACHED_SHARE } else { 0.0 })
            };
            preferred
                .into_iter()
                .chain(cached)
                .chain(sampled)
                .min_by(|a, b| rank(a).total_cmp(&rank(b)))
        }
    }
}

/// Average time to the first token over the servers where it is known, in milliseconds; 0 if it is
/// known for none.
fn average_first_token(open: &[&ServerCandidate]) -> f64 {
    let known = open.iter().filter_map(|candidate| candidate.first_token_ms);
    let (sum, count) = known.fold((0.0, 0), |(sum, count), first| (sum + first, count + 1));
    sum / f64::from(count.max(1))
}
