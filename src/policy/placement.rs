use super::{FirstEventWork, ServerMemory, TimeModel};
use std::time::Duration;

/// Of the calls with a shared part, those that go to its homes; the others are spread.
const HOME_SHARE: f64 = 0.8;
/// Of its slots, those that a home gives to the calls of one part.
const HOME_LOAD: f64 = 0.5;
/// Of its time to read prompts, what a home gives to the calls of one part.
const HOME_READING: f64 = 0.3;
/// The most homes of a part in one group of servers.
const MAX_HOMES: usize = 64;
/// Slots of a server that does not tell them.
const DEFAULT_SLOTS: f64 = 8.0;
/// How fast reported load falls back to the usual one where nothing is known of the time that calls take.
const MIN_LOAD_LIFE: Duration = Duration::from_millis(300);
/// Penalty for a server that fails all of its calls, in ms; multiplied by the failure rate.
const FAILURE_PENALTY_MS: f64 = 4_000.0;
/// Cost of a token of a shared part that is read where the part is not at home, in tokens read at a
/// usual server: it displaces what others keep there, and hardly any call comes to use it.
pub(super) const STRAY_FACTOR: f64 = 0.8;
/// By how much the rate of a part at its home in the pool may exceed what one router sees of it:
/// calls that go there because the part is held to be kept there keep it there.
const HOME_OPTIMISM: f64 = 3.0;
/// Cost of a token that another call has to yield, in tokens read: once to read it again, once for the
/// calls that wait meanwhile.
const YIELD_FACTOR: f64 = 2.0;

/// How the server of a call is chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// By fixed times; each shared part has one home in its pool.
    #[default]
    Fixed,
    /// By times, memory and demand learned from answers, where servers tell their pace.
    Learned,
}

/// Servers that may be homes of a shared part: those of a data centre, or of the pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeGroup {
    /// Calls a second with the part from where these servers are near.
    pub rate: f64,
    /// The homes among them.
    pub homes: usize,
}

impl HomeGroup {
    /// The homes of a part with `rate` calls a second, each `held` by its server for so long and
    /// `read` by it for so long, beside the part: as many as bear its load.
    ///
    /// ```
    /// use samphireshift::policy::HomeGroup;
    /// use std::time::Duration;
    /// let homes = |rate, read_ms| {
    ///     let read = Duration::from_millis(read_ms);
    ///     HomeGroup::new(rate, Duration::from_secs(1), read, 16.0).homes
    /// };
    /// assert_eq!((homes(0.1, 0), homes(5.0, 0), homes(100.0, 0)), (1, 1, 11));
    /// assert_eq!((homes(0.1, 50), homes(27.0, 50)), (1, 4));
    /// ```
    pub fn new(rate: f64, held: Duration, read: Duration, slots: f64) -> Self {
        let slots = if slots > 0.0 { slots } else { DEFAULT_SLOTS };
        let by_slots = held.as_secs_f64() / (slots * HOME_LOAD);
        let load = rate * HOME_SHARE * by_slots.max(read.as_secs_f64() / HOME_READING);
        Self { rate, homes: (load.floor() as usize + 1).min(MAX_HOMES) }
    }

    /// The chance that a home in the pool still keeps the part that every server keeps for `kept`
    /// after its last use.
    pub fn chance(&self, kept: Duration) -> f64 {
        self.chance_at(HOME_OPTIMISM, kept)
    }

    /// The chance that a home keeps the part, from the calls that are seen and no others.
    pub fn plain_chance(&self, kept: Duration) -> f64 {
        self.chance_at(1.0, kept)
    }

    fn chance_at(&self, factor: f64, kept: Duration) -> f64 {
        chance_within(self.rate * factor * HOME_SHARE / self.homes.max(1) as f64, kept)
    }
}

/// The chance that a server, none of a part's homes, still keeps the part, from calls that are spread over
/// `servers`. Where `homed`, most calls go to the homes of this part, otherwise to those of longer prompts.
pub fn stray_chance(rate: f64, homed: bool, servers: usize, kept: Duration) -> f64 {
    let spread = if homed { 1.0 - HOME_SHARE } else { 1.0 };
    chance_within(rate * spread / servers.max(1) as f64, kept)
}

/// The chance that a server still keeps a part that this router sent it `age` ago.
pub fn sent_chance(age: Duration, kept: Duration) -> f64 {
    (-(age.as_secs_f64() / kept.as_secs_f64()).powi(2)).exp()
}

/// The chance of a call within a time, at a mean rate a second.
fn chance_within(rate: f64, time: Duration) -> f64 {
    1.0 - (-rate * time.as_secs_f64()).exp()
}

/// The tokens of a prompt expected to be kept, as (tokens, chance) of its parts from the first one: a part
/// helps only if those before it are kept too.
///
/// ```
/// use samphireshift::policy::kept_tokens;
/// assert_eq!(kept_tokens([(100.0, 1.0), (50.0, 0.5), (10.0, 0.9)]), 130.0);
/// ```
pub fn kept_tokens<I>(parts: I) -> f64
where
    I: IntoIterator<Item = (f64, f64)>,
{
    let mut chance = 1.0_f64;
    let kept = |(tokens, own): (f64, f64)| {
        chance = chance.min(own);
        tokens * chance
    };
    parts.into_iter().map(kept).sum()
}

/// The calls expected at a server: `reported` ones `age` ago, of which as many end as begin within `life`,
/// so that the load falls back to the `usual` one.
pub fn expected_busy(reported: Option<(f64, Duration)>, usual: f64, life: Duration) -> f64 {
    let Some((reported, age)) = reported else { return usual };
    let life = life.max(MIN_LOAD_LIFE).as_secs_f64();
    usual + (reported - usual) * (-age.as_secs_f64() / life).exp()
}

/// What is known of a server as a call is placed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerOffer {
    /// Calls expected to run or wait there.
    pub busy: f64,
    /// Calls that it runs at the same time; 0 if unknown.
    pub slots: f64,
    /// Prompt tokens of this router's calls there that have no answer yet.
    pub pending_tokens: f64,
    /// Prompt tokens of the call that it is expected to read.
    pub new_tokens: f64,
    /// Those of them that belong to shared parts which are not at home there.
    pub stray_tokens: f64,
    /// Prompt and answer tokens of the call.
    pub call_tokens: f64,
    /// How long work takes there, as a multiple of the usual time.
    pub pace: f64,
    /// The same at a usual server.
    pub usual_pace: f64,
    /// Its memory.
    pub memory: ServerMemory,
    /// What the way there costs, in ms; 0 in this router's data centre.
    pub way_ms: f64,
    /// Fraction of its recent calls that failed, from 0 to 1.
    pub failure_rate: f64,
}

impl ServerOffer {
    /// What delays the first event of the call there.
    pub fn work(&self) -> FirstEventWork {
        let running = if self.slots > 0.0 { self.busy.min(self.slots) } else { self.busy };
        FirstEventWork {
            tokens: self.pending_tokens + self.new_tokens,
            running,
            waiting: self.waiting(),
        }
    }

    /// Calls expected to wait before the call. What is known of the load is uncertain, so some may wait
    /// before the slots seem to be full.
    fn waiting(&self) -> f64 {
        if self.slots <= 0.0 {
            return 0.0;
        }
        let spread = self.busy.max(1.0).sqrt() / 2.0;
        let over = (self.busy + 1.0 - self.slots) / spread;
        // Softplus; for large arguments it is linear, and exp would overflow.
        if over > 20.0 { over * spread } else { spread * over.exp().ln_1p() }
    }

    /// The expected time to the first event of the call, in ms.
    pub fn first_event_ms(&self, times: &TimeModel) -> f64 {
        times.expect(&self.work()) * self.pace
    }

    /// What the call costs there, in ms: the time to its first event, what it reads in vain and
    /// makes others yield, and the way. The call goes to the server with the lowest value.
    ///
    /// ```
    /// use samphireshift::policy::{ServerOffer, TimeModel};
    /// let times = TimeModel::default();
    /// let away = ServerOffer { pace: 1.0, way_ms: 12.0, slots: 8.0, ..ServerOffer::default() };
    /// let near = ServerOffer { way_ms: 0.0, new_tokens: 50.0, ..away };
    /// assert!(near.cost(&times) < away.cost(&times));
    /// assert!(ServerOffer { new_tokens: 900.0, ..near }.cost(&times) > away.cost(&times));
    /// ```
    pub fn cost(&self, times: &TimeModel) -> f64 {
        let excess = self.memory.excess(self.busy, self.call_tokens);
        let tokens =
            excess * YIELD_FACTOR * self.pace + self.stray_tokens * STRAY_FACTOR * self.usual_pace;
        self.first_event_ms(times)
            + tokens * times.token_ms()
            + self.way_ms
            + self.failure_rate * FAILURE_PENALTY_MS
    }
}
