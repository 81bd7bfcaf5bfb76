use super::placement::STRAY_FACTOR;
use super::{
    CallSize, DoubtfulPart, FirstEventWork, HomeGroup, HomeWeighing, PartDemand, PromptMemory,
    ServerKey, ServerOffer, TimeModel, WorkPace, expected_busy, home_chances, kept_tokens,
    sent_chance, stray_chance,
};
use crate::name::ModelName;
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new observation in the usual load, pace and duration.
const USUAL_WEIGHT: f64 = 0.05;
/// The time that calls are expected to take before any has ended.
const START_LIFE: Duration = Duration::from_secs(1);
/// Bounds of the ratio of measured to expected time of one answer, from its first event to its end.
const ANSWER_BOUNDS: (f64, f64) = (0.05, 10.0);
/// Bounds of a pace that a server names.
const PACE_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Time that an idle server takes for each token of an answer before anything is learned, in ms.
const TOKEN_MS: f64 = 5.0;
/// Time that each call in progress adds to each of another one's tokens, in ms.
const TOKEN_MS_PER_CALL: f64 = 0.03;

/// What a router learns of a pool's servers from their answers.
#[derive(Debug, Clone, Default)]
pub struct PoolLearning {
    models: HashMap<Option<ModelName>, ModelTimes>,
    demand: PartDemand,
    memory: PromptMemory,
    busy: Usual,
    /// Logarithm of the pace that servers name.
    log_pace: Usual,
    seconds: Usual,
}

/// Times of a model's answers.
#[derive(Debug, Clone, Copy, Default)]
struct ModelTimes {
    first: TimeModel,
    /// Logarithm of the ratio of measured to expected time from the first event to the end.
    answer_ratio: Usual,
}

/// A moving average.
#[derive(Debug, Clone, Copy, Default)]
struct Usual(Option<f64>);

impl Usual {
    fn observe(&mut self, value: f64) {
        let mean = self.0.unwrap_or(value);
        self.0 = Some(mean + (value - mean) * USUAL_WEIGHT);
    }
}

/// The pool as a router sees it.
#[derive(Debug, Clone, Copy)]
pub struct PoolShape {
    /// Servers that may take the call.
    pub servers: usize,
    /// Data centres that they are in.
    pub data_centres: usize,
    /// Calls that a server runs at the same time; 0 if unknown.
    pub slots: f64,
    /// Tokens that the memory of a server holds; 0 if unknown.
    pub memory: u64,
    /// Routers that share the pool.
    pub routers: f64,
}

/// What a router knows of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerFacts {
    /// Calls that it last said to have, and how long ago.
    pub reported: Option<(f64, Duration)>,
    /// Calls of this router sent since then, less those that have ended.
    pub since: f64,
    /// Calls of this router there.
    pub own_calls: f64,
    /// Calls that it runs at the same time; 0 if unknown.
    pub slots: f64,
    /// Prompt tokens of this router's calls there that have no answer yet.
    pub pending_tokens: f64,
    /// Fraction of its recent calls that failed.
    pub failure_rate: f64,
    /// How long work takes there.
    pub pace: WorkPace,
    /// What the way there costs, in ms.
    pub way_ms: f64,
}

/// What is known of a pool as a call is placed.
#[derive(Debug, Clone)]
pub struct PoolView {
    /// Times of the call's model.
    pub times: TimeModel,
    /// Whether the call's model has answered before.
    pub is_learned: bool,
    /// How long a server keeps a part after its last use.
    pub kept: Duration,
    answer_ratio: f64,
    busy: f64,
    pace: f64,
    life: Duration,
    memory: PromptMemory,
    shape: PoolShape,
    /// Calls a second with each shared part of the prompt, at all routers.
    rates: Vec<f64>,
}

/// What was expected of a call when it was placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacedCall {
    /// What delays its first event.
    pub work: FirstEventWork,
    /// The longest shared part, which the server keeps or reads.
    pub doubtful: DoubtfulPart,
    /// The expected time to the first event, in ms.
    pub first_ms: f64,
    /// The expected time from there to the end, in ms.
    pub answer_ms: f64,
    /// The same at a server of usual speed before anything was learned, in ms.
    pub plain_answer_ms: f64,
    /// Tokens of its prompt that the server is expected to read.
    pub new_tokens: f64,
    /// Tokens of its prompt that the server is expected to have kept.
    pub kept_tokens: f64,
    /// What the way to the server costs, in ms.
    pub way_ms: f64,
    /// What the call costs there, in ms.
    pub cost: f64,
    /// Whether the times are learned from answers of the call's model.
    pub is_learned: bool,
}

/// What the first event of an answer shows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEvent {
    /// Ratio of its time to the one expected at the server's pace for the work that was done.
    pub ratio: f64,
    /// Tokens of the longest shared part that the server seems to have kept.
    pub kept_tokens: f64,
}

impl PoolLearning {
    /// Takes in what a server says of its pace, and of its calls beside the one that it answers.
    pub fn hear(&mut self, pace: Option<f64>, busy: f64) {
        pace.into_iter()
            .for_each(|pace| self.log_pace.observe(pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1).ln()));
        self.busy.observe(busy);
    }

    /// Counts a call that is sent.
    pub fn count(&mut self, call: &CallSize<'_>, placed: &PlacedCall, now: Duration) {
        self.demand.count(call.shared().iter().map(|part| part.0), now);
        let answer = f64::from(call.answer);
        self.memory.count(call.prompt() + answer, placed.new_tokens + answer, now);
    }

    /// Learns from an answer whose first event came `ms` after the call was sent, at a server whose time is
    /// `pace` times the usual one.
    pub fn first_event(
        &mut self,
        model: Option<&ModelName>,
        placed: &PlacedCall,
        ms: f64,
        pace: f64,
    ) -> FirstEvent {
        let times = &mut self.model(model).first;
        let judged = placed.doubtful.given(&placed.work, times, ms / pace);
        let expected = times.expect(&judged.work) * pace;
        times.observe_spread(&judged.work, ms / pace, judged.variance);
        let kept_tokens = placed.doubtful.tokens * judged.chance;
        FirstEvent { ratio: ms / expected.max(1.0), kept_tokens }
    }

    /// Learns from a whole answer that took `seconds` in all, and `ms` from its first event to its end, at
    /// a server whose time is `pace` times the usual one.
    pub fn finish(
        &mut self,
        model: Option<&ModelName>,
        placed: &PlacedCall,
        ms: f64,
        seconds: f64,
        pace: f64,
    ) {
        self.seconds.observe(seconds);
        if placed.plain_answer_ms > 0.0 {
            let ratio = ms / pace / placed.plain_answer_ms;
            let ratio = ratio.clamp(ANSWER_BOUNDS.0, ANSWER_BOUNDS.1);
            self.model(model).answer_ratio.observe(ratio.ln());
        }
    }

    fn model(&mut self, model: Option<&ModelName>) -> &mut ModelTimes {
        self.models.entry(model.cloned()).or_default()
    }

    /// What is known as a call is placed.
    pub fn view(
        &self,
        call: &CallSize<'_>,
        model: Option<&ModelName>,
        shape: PoolShape,
        now: Duration,
    ) -> PoolView {
        let times = self.models.get(&model.cloned()).copied().unwrap_or_default();
        let busy = self.busy.0.unwrap_or(0.0);
        let share = shape.routers / shape.servers.max(1) as f64;
        let rate = |(place, part): (usize, &(u64, u32))| {
            self.demand.rate(part.0, place, shape.routers, now)
        };
        PoolView {
            times: times.first,
            is_learned: times.answer_ratio.0.is_some(),
            kept: self.memory.kept_for(shape.memory, busy, share, now),
            answer_ratio: times.answer_ratio.0.unwrap_or(0.0).exp(),
            busy,
            pace: self.log_pace.0.unwrap_or(0.0).exp(),
            life: self.seconds.0.map_or(START_LIFE, Duration::from_secs_f64),
            memory: self.memory,
            shape,
            rates: call.shared().iter().enumerate().map(rate).collect(),
        }
    }
}

impl PoolView {
    /// The chance that each server keeps the longest shared part of a prompt, where the way to another
    /// data centre costs the call `way_ms`.
    pub fn home_chances(
        &self,
        call: &CallSize<'_>,
        servers: &[ServerKey],
        way_ms: f64,
    ) -> Vec<f64> {
        let (Some((part, tokens)), Some(rate)) = (call.shared().last(), self.rates.last()) else {
            return vec![0.0; servers.len()];
        };
        let data_centres = self.shape.data_centres.max(1) as f64;
        let own = call.parts.last().map_or(0.0, |part| f64::from(part.1));
        let read = Duration::from_secs_f64(own * self.times.token_ms() * self.pace / 1e3);
        let group = |rate: f64| HomeGroup::new(rate, self.life, read, self.shape.slots);
        let (pool, near) = (group(*rate), group(rate / data_centres));
        let stray = stray_chance(*rate, true, self.shape.servers, self.kept);
        let token_ms = self.times.token_ms() * self.pace * (1.0 + STRAY_FACTOR);
        let read_ms = f64::from(*tokens) * token_ms;
        let weighing = HomeWeighing { read_ms, way_ms };
        home_chances(*part, servers, [pool, near], &weighing, stray, self.kept)
    }

    /// What the call is expected to take and cost at a server. `home` is the chance that it keeps the
    /// longest shared part; `sent` tells how long ago this router sent it a part, if ever.
    pub fn rate<F>(
        &self,
        facts: &ServerFacts,
        call: &CallSize<'_>,
        home: f64,
        sent: F,
        now: Duration,
    ) -> PlacedCall
    where
        F: Fn(u64) -> Option<Duration>,
    {
        let deepest = self.rates.len().saturating_sub(1);
        let chance = |place: usize, id: u64| {
            let by_others = match self.rates.get(place) {
                Some(_) if place == deepest => home,
                Some(rate) => stray_chance(*rate, false, self.shape.servers, self.kept),
                None => 0.0,
            };
            sent(id).map_or(0.0, |age| sent_chance(age, self.kept)).max(by_others)
        };
        let parts = || {
            let parts = call.parts.iter().enumerate();
            parts.map(|(place, part)| (f64::from(part.1), chance(place, part.0)))
        };
        let doubtful = DoubtfulPart::last(parts().take(self.rates.len()));
        let (prompt, kept) = (call.prompt(), kept_tokens(parts()));
        let shared: f64 = call.shared().iter().map(|part| f64::from(part.1)).sum();
        let read = shared - kept_tokens(parts().take(self.rates.len()));
        let busy = expected_busy(facts.reported, self.busy, self.life) + facts.since.max(0.0);
        let pace = facts.pace.named(now, self.pace) * facts.pace.ratio(now);
        let offer = ServerOffer {
            busy: busy.max(facts.own_calls),
            slots: facts.slots,
            pending_tokens: facts.pending_tokens,
            new_tokens: prompt - kept,
            stray_tokens: read.max(0.0) * (1.0 - home),
            call_tokens: prompt + f64::from(call.answer),
            pace,
            usual_pace: self.pace,
            memory: self.memory.server(self.shape.memory),
            way_ms: facts.way_ms,
            failure_rate: facts.failure_rate,
        };
        let work = offer.work();
        let plain = f64::from(call.answer) * (TOKEN_MS + work.running * TOKEN_MS_PER_CALL);
        PlacedCall {
            work,
            doubtful,
            first_ms: offer.first_event_ms(&self.times),
            answer_ms: plain * self.answer_ratio * pace,
            plain_answer_ms: plain,
            new_tokens: offer.new_tokens,
            kept_tokens: kept,
            way_ms: offer.way_ms,
            cost: offer.cost(&self.times),
            is_learned: self.is_learned,
        }
    }
}
