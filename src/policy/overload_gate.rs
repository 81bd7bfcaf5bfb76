use super::pool_pressure::LAST_RANK;
use super::pressure_view::PressureView;
use super::work_rates::WorkRates;
use super::{
    OrganisationUse, Overloaded, PoolLoad, PoolPressure, PressureNews, PressureReport,
    RefusalCause, ReturnSchedule, ServiceTimes,
};
use crate::name::OrganisationName;
use std::time::Duration;

/// Over how long a router counts calls by rank, for what it decides alone.
const RANK_SPAN: Duration = Duration::from_secs(2);
/// Nothing is refused while a smaller part of the places is taken.
const MIN_TAKEN: f64 = 0.5;
/// Over how long a router measures the drain rate, for what it decides alone.
const DRAIN_SPAN: Duration = Duration::from_secs(4);
/// Over how long both are measured for the fleet's sum, which has many calls.
const REPORT_RANK_SPAN: Duration = Duration::from_millis(250);
const REPORT_DRAIN_SPAN: Duration = Duration::from_secs(1);
/// The fleet's sum counts 1/e after this time, and the router's own part the more.
const NEWS_SPAN: Duration = Duration::from_secs(1);
/// The same of what organisations use, of which a router sees less and which changes more slowly.
const EXCESS_SPAN: Duration = Duration::from_secs(5);
/// A sum that is older tells nothing.
const MAX_NEWS_AGE: Duration = Duration::from_secs(5);
/// The most organisations in a report.
const MAX_REPORTED: usize = 16;
/// How long after a call found the pool full the organisations are reported.
const FULL_SPAN: Duration = Duration::from_secs(2);
/// Fraction of an expected time that decides whether a call is late: estimates may be too long.
const CERTAIN: f64 = 0.75;
/// With as many own calls in flight, these and the reports count alike.
const MANY_OWN_CALLS: f64 = 2.0;
/// With as many own answers a second, a router's own numbers and the fleet's count alike.
const MANY_ANSWERS: f64 = 30.0;
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
    /// Whether its server has a free place, as far as this router knows.
    pub is_open: bool,
    /// Whether the servers take waiting calls by rank, not by arrival.
    pub by_rank: bool,
    /// When its first event should come, from now.
    pub target: Duration,
    /// The time to its deadline.
    pub left: Duration,
}

/// Which calls go to a pool that has too little room for all. The part that is refused grows with the
/// queue at the servers, so that those that are sent can be in time; the least urgent are refused
/// first, and before them what an organisation uses beyond its share. It is decided by the sums of
/// all routers where there are new ones, and by what the router sees itself.
#[derive(Debug, Clone)]
pub struct OverloadGate {
    times: ServiceTimes,
    uses: OrganisationUse,
    /// What the router goes by alone.
    own: WorkRates,
    /// What it reports.
    recent: WorkRates,
    /// The newest sums of all routers, and when they were true.
    news: Option<(Duration, PressureNews)>,
    /// When a call last found the pool full.
    full_at: Option<Duration>,
    returns: ReturnSchedule,
}

impl OverloadGate {
    /// The gate of a pool of which nothing is known.
    pub fn new(now: Duration) -> Self {
        Self {
            times: ServiceTimes::default(),
            uses: OrganisationUse::default(),
            own: WorkRates::new(now, RANK_SPAN, DRAIN_SPAN),
            recent: WorkRates::new(now, REPORT_RANK_SPAN, REPORT_DRAIN_SPAN),
            news: None,
            full_at: None,
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
    /// let (route, organisation, is_open) = ("r", None, false);
    /// let (target, left, by_rank) = (second, second, false);
    /// let call = OfferedCall { route, organisation, rank: 0, is_open, by_rank, target, left };
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
        let work = self.times.whole(call.route);
        let view = load.map(|load| (load, self.view(now, &load, call.is_open, routers)));
        let is_calm = view.is_none_or(|(load, view)| match view.age {
            Some(_) => view.wait <= 0.0,
            None => is_free(&load, call.is_open),
        });
        let view = view.filter(|(_, view)| view.wait > 0.0);
        let excess = call.organisation.map_or(0.0, |organisation| {
            self.uses.add(now, organisation, is_calm);
            self.excess(now, organisation)
        });
        let Some((load, mut view)) = view else {
            self.count(now, call, excess);
            self.recent.add_sent(now, work);
            return Ok(());
        };
        self.full_at = Some(now);
        let aim = view.aim(self.times.longest_wait(now));
        let refused = view.refused(aim);
        // Servers that order by rank serve only part of the queue before this call.
        let own_wait = view.wait * view.part_ahead(call);
        let is_late = own_wait * CERTAIN + self.times.first(call.route) * CERTAIN
            > call.target.min(call.left).as_secs_f64();
        let excess = if is_late { 1.0 } else { excess };
        self.count(now, call, excess);
        if view.age.is_none() {
            // Of the few calls that a router sees, this one is a part.
            view.pressure = self.own.pressure(now, load.own_calls);
        }
        let is_dead = (own_wait + work) * CERTAIN > call.left.as_secs_f64();
        let chance = view.chance(call.rank, excess, refused);
        let cause = match () {
            () if is_dead && refused > 0.0 => RefusalCause::Deadline,
            () if point < chance => {
                self.recent.add_sent(now, work);
                return Ok(());
            }
            () if is_late => RefusalCause::Late,
            () if excess > 0.0 => RefusalCause::Share,
            () => RefusalCause::Rank,
        };
        let rate = load.slots / self.times.place() / f64::from(routers.max(1));
        let seconds = |time: f64| Duration::try_from_secs_f64(time).unwrap_or(Duration::MAX);
        let least = seconds((view.wait - aim).max(MIN_RETURN));
        let wait = self.returns.promise(now, call.rank, least, rate, call.left);
        Err(Overloaded { cause, wait, expected: seconds(view.wait), refused })
    }

    /// Records the time to an answer's first event; `turns` were in line for each place at its server.
    pub fn record_first(&mut self, route: &str, time: Duration, turns: f64) {
        self.times.record_first(route, time, turns);
    }

    /// Records the time to the end of an answer; `turns` were in line for each place at its server.
    pub fn record_whole(&mut self, now: Duration, route: &str, time: Duration, turns: f64) {
        self.times.record_whole(route, time, turns);
        let work = self.times.whole(route);
        self.own.add_answer(now, work);
        self.recent.add_answer(now, work);
    }

    /// What the leader is told, while `in_flight` calls are at the servers.
    pub fn report(&self, now: Duration, in_flight: f64) -> PressureReport {
        let is_full = self.full_at.is_some_and(|at| now < at + FULL_SPAN);
        let most = if is_full { MAX_REPORTED } else { 0 };
        let organisations = self.uses.largest(now, most);
        PressureReport { pressure: self.recent.pressure(now, in_flight), organisations }
    }

    /// Takes in what the leader has answered to the report of `asked_at`, unless a later one was answered
    /// before.
    pub fn hear(&mut self, asked_at: Duration, news: PressureNews) {
        let at = asked_at.saturating_sub(Duration::from_millis(news.age_ms.into()));
        let is_newer = self.news.as_ref().is_none_or(|(known, _)| at > *known);
        if is_newer && news.routers > 0 && news.pressure.is_valid() {
            self.news = Some((at, news));
        }
    }

    /// The fleet's sums, unless they are too old, and their age.
    fn current_news(&self, now: Duration) -> Option<(&PressureNews, Duration)> {
        let (at, news) = self.news.as_ref()?;
        let age = now.saturating_sub(*at);
        (age < MAX_NEWS_AGE).then_some((news, age))
    }

    fn view(&self, now: Duration, load: &PoolLoad, is_open: bool, routers: u32) -> PressureView {
        let own = self.own.pressure(now, load.own_calls);
        let own_wait = if is_free(load, is_open) { 0.0 } else { self.expected_wait(load, &own) };
        let Some((news, age)) = self.current_news(now) else {
            return PressureView { pressure: own, wait: own_wait, age: None };
        };
        // A router with many answers knows enough itself, and knows it earlier.
        let is_few = MANY_ANSWERS / (MANY_ANSWERS + own.answers);
        let weight = fading(age, NEWS_SPAN) * is_few;
        let age = age.as_secs_f64();
        let mean = news.pressure.scaled(1.0 / f64::from(news.routers));
        let fleet_wait =
            PressureView::fleet_wait(&mean, f64::from(routers.max(news.routers)), load.slots, age);
        let wait = own_wait + (fleet_wait - own_wait) * weight;
        PressureView { pressure: own.mixed_with(&mean, weight), wait, age: Some(age * weight) }
    }

    fn excess(&mut self, now: Duration, organisation: &OrganisationName) -> f64 {
        let own = self.uses.excess(now, organisation);
        let Some((news, age)) = self.current_news(now) else { return own };
        let told = news.excess.iter().find(|(name, _)| name == organisation);
        let told = told.map_or(0.0, |(_, excess)| f64::from(*excess));
        own + (told - own) * fading(age, EXCESS_SPAN)
    }

    /// How long a call would wait for a place, in seconds: by what the servers report, and by how long
    /// this router's own calls take to come back at the present rate (Little's law). Reports are of
    /// the past; the own calls are known at once, but tell little where they are few.
    fn expected_wait(&self, load: &PoolLoad, own: &PoolPressure) -> f64 {
        let place = self.times.place();
        let reported = load.turns * place;
        if own.answers <= 0.0 {
            return reported;
        }
        let own = (load.own_calls / own.answers - place).max(0.0);
        let weight = load.own_calls / (load.own_calls + MANY_OWN_CALLS);
        reported + (own - reported) * weight
    }

    fn count(&mut self, now: Duration, call: &OfferedCall<'_>, excess: f64) {
        let rank = usize::from(call.rank).min(LAST_RANK - 1);
        let work = self.times.whole(call.route);
        for rates in [&mut self.own, &mut self.recent] {
            rates.add_offered(now, rank, work * (1.0 - excess));
            rates.add_offered(now, LAST_RANK, work * excess);
        }
    }
}

/// Whether a call finds a place, as far as this router knows.
fn is_free(load: &PoolLoad, is_open: bool) -> bool {
    is_open || load.turns <= 0.0 || load.taken < MIN_TAKEN
}

/// What is left of a weight after a time, from 1 to 0.
fn fading(age: Duration, span: Duration) -> f64 {
    (-age.as_secs_f64() / span.as_secs_f64()).exp()
}
