use crate::platform::Vm;
use rand::Rng;

/// Servers looked at besides those that hold a prefix: the power of few choices (Mitzenmacher,
/// "The Power of Two Choices in Randomized Load Balancing", 2001) keeps routers with the same
/// lagging reports from all taking the same server.
const SAMPLES: usize = 3;
/// A prefix counts only while the server's load is below this share of its slots.
const AFFINITY_LOAD: f64 = 0.9;
/// The share of the time to the first token that a wholly cached prompt saves.
const AFFINITY_GAIN: f64 = 0.8;
/// How much a full batch slows the first token, as a share of it.
const BATCH_COST: f64 = 0.5;
/// The time that another data centre adds, in milliseconds.
const FAR_MILLIS: f64 = 3.0;
/// The time to the first token assumed where nothing was measured, in milliseconds; small, so that
/// unknown servers are tried.
const UNKNOWN_MILLIS: f64 = 1.0;
/// With fewer than this share of a pool usable, ejected servers are used too.
const USABLE_SHARE: f64 = 0.5;

/// How a server is picked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Balance {
    /// The least expected time to the first token among a few.
    #[default]
    Expected,
    /// One after the other.
    RoundRobin,
    /// The fewest own calls under way.
    LeastConnections,
}

/// A backend server that could take a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server.
    pub vm: Vm,
    /// Requests there now, as far as known.
    pub load: u64,
    /// Requests that it can work on at once.
    pub slots: u64,
    /// Calls of this router under way.
    pub own: u64,
    /// Calls that this router may still begin.
    pub room: u64,
    /// The average time to the first token, in milliseconds.
    pub first: Option<f64>,
    /// Whether it is not ejected.
    pub usable: bool,
    /// Whether it stands in this router's data centre.
    pub near: bool,
    /// The share of the prompt that it holds in its prefix cache, from 0 to 1.
    pub cached: f64,
}

impl Candidate {
    /// The expected time to the first token, in milliseconds.
    fn expected(&self) -> f64 {
        let slots = self.slots.max(1) as f64;
        let load = self.load as f64;
        let first = self.first.unwrap_or(UNKNOWN_MILLIS);
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        let batch = BATCH_COST * (load / slots).min(1.0);
        let cached = if load < slots * AFFINITY_LOAD { self.cached } else { 0.0 };
        let far = if self.near { 0.0 } else { FAR_MILLIS };
        first * (1.0 + batch + waiting * slots) * (1.0 - AFFINITY_GAIN * cached) + far
    }
}

/// Picks a server, one with room where there is any; `None` without candidates. `turn` counts up
/// with every pick.
pub fn pick_replica<'a, R>(
    candidates: &'a [Candidate],
    balance: Balance,
    turn: usize,
    rng: &mut R,
) -> Option<&'a Candidate>
where
    R: Rng,
{
    let usable = candidates.iter().filter(|c| c.usable).count();
    let few = (usable as f64) < candidates.len() as f64 * USABLE_SHARE;
    let open = candidates.iter().filter(|c| c.usable || few);
    let mut open: Vec<&Candidate> = open.collect();
    if open.iter().any(|c| c.room > 0) {
        open.retain(|c| c.room > 0);
    }
    if open.is_empty() {
        return None;
    }
    match balance {
        Balance::RoundRobin => Some(open[turn % open.len()]),
        Balance::LeastConnections => {
            let rank = |place: usize| (open[place].own, (place + turn) % open.len());
            (0..open.len()).min_by_key(|place| rank(*place)).map(|place| open[place])
        }
        Balance::Expected => {
            let cached = open.iter().filter(|c| c.cached > 0.0).copied();
            let sampled = (0..SAMPLES).map(|_| open[rng.random_range(0..open.len())]);
            cached.chain(sampled).min_by(|a, b| a.expected().total_cmp(&b.expected()))
        }
    }
}
