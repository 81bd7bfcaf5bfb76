use super::Load;
use crate::vms::Vm;
use rand::Rng;
use std::sync::Arc;

/// Servers looked at besides those that hold a prefix: the power of few choices (Mitzenmacher,
/// "The Power of Two Choices in Randomized Load Balancing", 2001) keeps routers with the same
/// lagging reports from all taking the same server.
const SAMPLES: usize = 3;
/// The share of the time to the first token that a wholly cached prompt saves.
const AFFINITY_GAIN: f64 = 0.8;
/// The share of a prompt that its home server is taken to hold.
const HOME_SHARE: f64 = 0.4;
/// What a millisecond of waiting counts for, against one of prefill: a cached prompt saves a known
/// time, while a queue may turn out longer than expected.
const WAITING_WEIGHT: f64 = 2.5;
/// The time that another data centre adds, in milliseconds.
const FAR_MILLIS: f64 = 3.0;
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
    pub vm: Arc<Vm>,
    /// Requests there now, as far as known.
    pub load: Load,
    /// Requests that it can work on at once.
    pub slots: u64,
    /// Calls of this router under way.
    pub own: u64,
    /// Calls that this router may still begin.
    pub room: u64,
    /// The average time to the first token, in milliseconds.
    pub first: Option<f64>,
    /// The average time that a call takes, in milliseconds.
    pub lasted: Option<f64>,
    /// Whether it is not ejected.
    pub usable: bool,
    /// Whether it stands in this router's data centre.
    pub near: bool,
    /// The share of the prompt that it holds in its prefix cache, from 0 to 1.
    pub cached: f64,
    /// How much it is the home of the prompt's prefix; 0 without one.
    pub rank: u64,
}

impl Candidate {
    /// The expected time to the first token, in milliseconds; `usual` is the pool's average, `home`
    /// the share of the prompt that it may hold though this router does not know.
    fn expected(&self, usual: f64, home: f64) -> f64 {
        let slots = self.slots.max(1) as f64;
        let first = self.first.unwrap_or(usual);
        let waiting = WAITING_WEIGHT * self.queue() / slots * self.lasted.unwrap_or(first);
        let far = if self.near { 0.0 } else { FAR_MILLIS };
        let saved = (usual * AFFINITY_GAIN * self.cached.max(home)).min(first);
        waiting + first - saved + far
    }

    /// The requests that a new one is expected to wait for. As the load is uncertain, a smooth
    /// maximum keeps a nearly full server from looking as good as an idle one.
    fn queue(&self) -> f64 {
        let over = self.load.mean + 1.0 - self.slots.max(1) as f64;
        (over + (over * over + self.load.spread).sqrt()) / 2.0
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
            let home = open.iter().copied().filter(|c| c.rank > 0).max_by_key(|c| c.rank);
            let cached = open.iter().filter(|c| c.cached > 0.0).copied();
            let sampled = (0..SAMPLES).map(|_| open[rng.random_range(0..open.len())]);
            let usual = usual_first(&open);
            let rank = |c: &&Candidate| {
                let at_home = home.is_some_and(|home| std::ptr::eq(home, *c));
                c.expected(usual, if at_home { HOME_SHARE } else { 0.0 })
            };
            home.into_iter().chain(cached).chain(sampled).min_by(|a, b| rank(a).total_cmp(&rank(b)))
        }
    }
}

/// The average time to the first token over servers where it is known, in milliseconds.
fn usual_first(open: &[&Candidate]) -> f64 {
    let known = open.iter().filter_map(|candidate| candidate.first);
    let (sum, count) = known.fold((0.0, 0), |(sum, count), first| (sum + first, count + 1));
    sum / f64::from(count.max(1))
}
