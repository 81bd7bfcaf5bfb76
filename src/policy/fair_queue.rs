use crate::name::OrganisationName;
use std::collections::{BTreeMap, VecDeque};

/// Requests that may wait in all.
const TOTAL: usize = 1_024;
/// Requests that one organisation may have waiting.
const PER_ORGANISATION: usize = 256;

/// A request that waits.
#[derive(Debug)]
struct Waiting<T> {
    start: f64,
    finish: f64,
    item: T,
}

/// One organisation's line.
#[derive(Debug)]
struct Line<T> {
    finish: f64,
    weight: f64,
    waiting: VecDeque<Waiting<T>>,
}

/// What became of a request that wanted to wait.
#[derive(Debug, PartialEq, Eq)]
pub enum Queued<T> {
    /// It waits.
    Waits,
    /// There is no room for it.
    Full(T),
    /// It waits, and this one, of the organisation with the longest line, lost its place.
    Displaced(T),
}

/// Start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996): each
/// organisation gets service in proportion to its weight, measured in the cost of its requests. A
/// full queue displaces from the longest line (McKenney, "Stochastic Fairness Queueing", 1990).
#[derive(Debug)]
pub struct FairQueue<T> {
    virtual_time: f64,
    lines: BTreeMap<OrganisationName, Line<T>>,
    length: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self { virtual_time: 0.0, lines: BTreeMap::new(), length: 0 }
    }
}

impl<T> FairQueue<T> {
    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Accounts for a request that is served without waiting.
    pub fn pass(&mut self, organisation: &OrganisationName, weight: u32, cost: f64) {
        let virtual_time = self.virtual_time;
        let line = self.line(organisation, weight);
        let start = line.finish.max(virtual_time);
        line.finish = start + cost / line.weight;
        self.virtual_time = start;
    }

    /// How many requests would be served before a new one of an organisation.
    pub fn ahead(&self, organisation: &OrganisationName) -> usize {
        let finish = self.lines.get(organisation).map_or(0.0, |line| line.finish);
        self.before(finish.max(self.virtual_time))
    }

    /// Puts a request in its organisation's line.
    pub fn push(
        &mut self,
        organisation: &OrganisationName,
        weight: u32,
        cost: f64,
        item: T,
    ) -> Queued<T> {
        let virtual_time = self.virtual_time;
        let line = self.line(organisation, weight);
        if line.waiting.len() >= PER_ORGANISATION {
            return Queued::Full(item);
        }
        let start = line.finish.max(virtual_time);
        let finish = start + cost / line.weight;
        line.finish = finish;
        line.waiting.push_back(Waiting { start, finish, item });
        self.length += 1;
        if self.length > TOTAL
            && let Some(displaced) = self.displace()
        {
            return Queued::Displaced(displaced);
        }
        Queued::Waits
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let front = |line: &Line<T>| line.waiting.front().map(|waiting| waiting.start);
        let starts = self.lines.iter().filter_map(|(name, line)| Some((front(line)?, name)));
        let (_, name) = starts.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let name = name.clone();
        let waiting = self.lines.get_mut(&name)?.waiting.pop_front()?;
        self.length -= 1;
        self.virtual_time = self.virtual_time.max(waiting.start);
        self.forget_idle();
        Some(waiting.item)
    }

    /// Requests that are served before or together with one that starts at `start`.
    fn before(&self, start: f64) -> usize {
        let earlier = |line: &Line<T>| line.waiting.partition_point(|w| w.start <= start);
        self.lines.values().map(earlier).sum()
    }

    fn displace(&mut self) -> Option<T> {
        let length = |line: &Line<T>| line.waiting.len() as f64 / line.weight;
        let longest = self.lines.values_mut().max_by(|a, b| length(a).total_cmp(&length(b)))?;
        let last = longest.waiting.pop_back()?;
        longest.finish = last.start.min(last.finish);
        self.length -= 1;
        Some(last.item)
    }

    /// Drops lines that owe nothing, so that the table stays as small as the work.
    fn forget_idle(&mut self) {
        let now = self.virtual_time;
        self.lines.retain(|_, line| !line.waiting.is_empty() || line.finish > now);
    }

    fn line(&mut self, organisation: &OrganisationName, weight: u32) -> &mut Line<T> {
        if !self.lines.contains_key(organisation) {
            let line = Line { finish: 0.0, weight: 1.0, waiting: VecDeque::new() };
            self.lines.insert(organisation.clone(), line);
        }
        let line = self.lines.get_mut(organisation).expect("it was just put there");
        line.weight = f64::from(weight.max(1));
        line
    }
}
