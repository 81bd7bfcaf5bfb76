use super::{DecayingSum, OrganisationUse, PoolLoad, ReturnSchedule, ServiceTimes};
use crate::name::OrganisationName;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

/// The ten ranks of callers, 0 the most urgent, and one for late or excess work.
const RANKS: usize = 11;
/// The rank of what gives way to all others.
const LAST_RANK: usize = RANKS - 1;
/// Over how long calls are counted by rank.
const RANK_SPAN: Duration = Duration::from_secs(2);
/// Nothing is refused while a smaller part of the places is taken.
const MIN_TAKEN: f64 = 0.5;
/// Over how long the drain rate is measured.
const DRAIN_SPAN: Duration = Duration::from_secs(4);
/// The queue's set point, as a fraction of the longest wait that is in time: slots stay busy.
const AIM: f64 = 0.4;
/// Proportional gain: relative change of the admitted rate per relative error of the queue.
const GAIN: f64 = 0.5;
/// The largest fraction of calls refused; the rest keeps the measurements going.
const MAX_REFUSED: f64 = 0.95;
/// Least chance of any call to be sent, relative to the mean, so that no rank starves.
const FLOOR: f64 = 0.3;
/// Fraction of an expected time that decides whether a call is late: estimates may be too long.
const CERTAIN: f64 = 0.75;
/// With as many own calls in flight, these and the reports count alike.
const MANY_OWN_CALLS: f64 = 2.0;
/// The shortest time after which a refused caller is asked to return, in seconds.
const MIN_RETURN: f64 = 0.1;

/// A call that is about to be sent for the first time.
#[derive(Debug, Clone, Copy)]
pub struct OfferedCall<'a> {
    /// Its route.
    pub route: &'a str,
    /// Its organisation, if known.
    pub organisation: Option<&'a OrganisationName>,
    /// How urgent it is, 0 (first) to 9.
    pub rank: u8,
    /// Whether the servers take waiting calls by rank, not by arrival.
    pub by_rank: bool,
    /// When its first event should come, from now.
    pub target: Duration,
    /// The time to its deadline.
    pub left: Duration,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its answer would not be whole by its deadline.
    Deadline,
    /// Its answer would come late, and others can be in time.
    Late,
    /// Its organisation uses more than its share.
    Share,
    /// More urgent calls, or others like it, take all the room.
    Rank,
}

impl RefusalCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::Late => "late",
            Self::Share => "share",
            Self::Rank => "rank",
        }
    }
}

/// A refusal with its numbers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Overloaded {
    /// Why the call is refused.
    pub cause: RefusalCause,
    /// When the caller may come back.
    pub wait: Duration,
    /// How long the call would wait for a place at a server.
    pub expected: Duration,
    /// The part of the pool's calls that is to be refused now, from 0 to 1.
    pub refused: f64,
}

impl Display for Overloaded {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cause {}, {} ms until a place is free, {:.2} of the calls refused, back in {} ms",
            self.cause.name(),
            self.expected.as_millis(),
            self.refused,
            self.wait.as_millis()
        )
    }
}

/// Which calls go to a pool that has too little room for all. The part that is refused grows with the
/// queue at the servers, so that those that are sent can be in time; the least urgent are refused
/// first, and before them what an organisation uses beyond its share.
#[derive(Debug, Clone)]
pub struct OverloadGate {
    times: ServiceTimes,
    uses: OrganisationUse,
    /// Work offered by rank, in seconds of a slot.
    ranks: [DecayingSum; RANKS],
    /// Work of the answers that have come, in the same unit.
    drained: DecayingSum,
    /// Answers that have come.
    answers: DecayingSum,
    returns: ReturnSchedule,
}

impl OverloadGate {
    /// The gate of a pool of which nothing is known.
    pub fn new(now: Duration) -> Self {
        Self {
            times: ServiceTimes::default(),
            uses: OrganisationUse::default(),
            ranks: [DecayingSum::new(now, RANK_SPAN); RANKS],
            drained: DecayingSum::new(now, DRAIN_SPAN),
            answers: DecayingSum::new(now, DRAIN_SPAN),
            returns: ReturnSchedule::default(),
        }
    }

    /// Counts a call that is offered, and decides on it. `point` is random, from 0 to 1; `routers`
    /// share the pool. Without a load, or with free places, every call is sent.
    ///
    /// # Errors
    /// [`Overloaded`] if the call is to be refused.
    ///
    /// ```
    /// use samphireshift::policy::{OfferedCall, OverloadGate, PoolLoad};
    /// use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let (route, organisation) = ("r", None);
    /// let (target, left, by_rank) = (second, second, false);
    /// let call = OfferedCall { route, organisation, rank: 0, by_rank, target, left };
    /// let mut gate = OverloadGate::new(Duration::ZERO);
    /// let full = Some(PoolLoad { turns: 5.0, taken: 1.0, slots: 4.0, own_calls: 0.0 });
    /// // How long answers take is not known yet.
    /// assert!(gate.offer(second, full, &call, 0.99, 1).is_ok());
    /// gate.record_whole(second, "r", second, 0.0);
    /// assert!(gate.offer(second, full, &call, 0.99, 1).is_err());
    /// assert!(gate.offer(second, None, &call, 0.99, 1).is_ok());
    /// ```
    pub fn offer(
        &mut self,
        now: Duration,
        load: Option<PoolLoad>,
        call: &OfferedCall<'_>,
        point: f64,
        routers: u32,
    ) -> Result<(), Overloaded> {
        self.times.offer(now, call.route, call.target);
        let load = load.filter(|load| load.turns > 0.0 && load.taken >= MIN_TAKEN);
        let excess = call.organisation.map_or(0.0, |organisation| {
            self.uses.add(now, organisation, load.is_none());
            self.uses.excess(now, organisation)
        });
        let Some(load) = load else {
            self.count(now, call, excess);
            return Ok(());
        };
        let expected = self.expected_wait(now, &load);
        if expected <= 0.0 {
            self.count(now, call, excess);
            return Ok(());
        }
        // Proportional control: admit what drains, more or less by how far the queue is off its aim.
        let aim = AIM * self.times.longest_wait(now);
        let offered: f64 = self.ranks.iter().map(|rank| rank.rate(now)).sum();
        let room = self.drained.rate(now) * (1.0 + GAIN * (aim - expected) / aim);
        let refused = (1.0 - room / offered.max(f64::MIN_POSITIVE)).clamp(0.0, MAX_REFUSED);
        // Servers that order by rank serve only part of the queue before this call.
        let own_wait = expected * self.part_ahead(now, call);
        let is_late = own_wait * CERTAIN + self.times.first(call.route) * CERTAIN
            > call.target.min(call.left).as_secs_f64();
        let excess = if is_late { 1.0 } else { excess };
        self.count(now, call, excess);
        let whole = (own_wait + self.times.whole(call.route)) * CERTAIN;
        let is_dead = whole > call.left.as_secs_f64() && expected > 0.0;
        let chance = self.chance(now, call.rank, excess, refused);
        let cause = match () {
            () if is_dead && refused > 0.0 => RefusalCause::Deadline,
            () if point < chance => return Ok(()),
            () if is_late => RefusalCause::Late,
            () if excess > 0.0 => RefusalCause::Share,
            () => RefusalCause::Rank,
        };
        let rate = load.slots / self.times.place() / f64::from(routers.max(1));
        let least = (expected - aim).max(MIN_RETURN);
        let least = Duration::try_from_secs_f64(least).unwrap_or(Duration::MAX);
        let wait = self.returns.promise(now, call.rank, least, rate, call.left);
        let expected = Duration::try_from_secs_f64(expected).unwrap_or(Duration::MAX);
        Err(Overloaded { cause, wait, expected, refused })
    }

    /// Records the time to an answer's first event; `turns` were in line for each place at its server.
    pub fn record_first(&mut self, route: &str, time: Duration, turns: f64) {
        self.times.record_first(route, time, turns);
    }

    /// Records the time to the end of an answer; `turns` were in line for each place at its server.
    pub fn record_whole(&mut self, now: Duration, route: &str, time: Duration, turns: f64) {
        self.times.record_whole(route, time, turns);
        self.drained.add(now, self.times.whole(route));
        self.answers.add(now, 1.0);
    }

    /// How long a call would wait for a place, in seconds: by what the servers report, and by how long
    /// this router's own calls take to come back at the present rate (Little's law). Reports are of
    /// the past; the own calls are known at once, but tell little where they are few.
    fn expected_wait(&self, now: Duration, load: &PoolLoad) -> f64 {
        let place = self.times.place();
        let reported = load.turns * place;
        let own_rate = self.answers.rate(now);
        if own_rate <= 0.0 {
            return reported;
        }
        let own = (load.own_calls / own_rate - place).max(0.0);
        let weight = load.own_calls / (load.own_calls + MANY_OWN_CALLS);
        reported + (own - reported) * weight
    }

    /// The part of the calls in line that are served before a new one.
    fn part_ahead(&self, now: Duration, call: &OfferedCall<'_>) -> f64 {
        if !call.by_rank {
            return 1.0;
        }
        let rates = self.ranks.map(|rank| rank.rate(now));
        let ahead: f64 = rates[..=usize::from(call.rank).min(LAST_RANK - 1)].iter().sum();
        ahead / rates.iter().sum::<f64>().max(f64::MIN_POSITIVE)
    }

    fn count(&mut self, now: Duration, call: &OfferedCall<'_>, excess: f64) {
        let rank = usize::from(call.rank).min(LAST_RANK - 1);
        let work = self.times.whole(call.route);
        self.ranks[rank].add(now, work * (1.0 - excess));
        self.ranks[LAST_RANK].add(now, work * excess);
    }

    /// The chance of a call to be sent: room is given to the ranks in their order.
    fn chance(&self, now: Duration, rank: u8, excess: f64, refused: f64) -> f64 {
        let rates = self.ranks.map(|rank| rank.rate(now));
        let all: f64 = rates.iter().sum();
        let room = all * (1.0 - refused);
        let of_rank = |rank: usize| {
            let before: f64 = rates[..rank].iter().sum();
            ((room - before) / rates[rank].max(f64::MIN_POSITIVE)).clamp(0.0, 1.0)
        };
        let own = of_rank(usize::from(rank).min(LAST_RANK - 1));
        let chance = (1.0 - excess) * own + excess * of_rank(LAST_RANK);
        chance.max(FLOOR * (1.0 - refused))
    }
}
