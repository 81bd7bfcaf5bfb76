use std::time::Duration;

/// A report counts 1/e after this time.
const REPORT_SPAN: Duration = Duration::from_secs(2);
/// Reports older than this tell nothing.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// The load of one server, from its newest report and this router's calls since.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerLoad {
    /// Calls that run or wait there.
    pub busy: f64,
    /// Calls that wait there, though fewer may run than there are places: memory may be full.
    pub waiting: f64,
    /// Calls that the server runs at the same time; 0 if unknown.
    pub slots: f64,
    /// This router's calls among them.
    pub own_calls: f64,
    /// How old the report is; `None` without one.
    pub age: Option<Duration>,
}

impl ServerLoad {
    /// Calls that wait for a place.
    pub fn queued(&self) -> f64 {
        self.waiting.max(self.busy - self.slots)
    }

    /// Calls that run at the same time: fewer than there are places where calls wait for memory.
    pub fn places(&self) -> f64 {
        match self.waiting >= 1.0 {
            true => (self.busy - self.waiting).clamp(1.0, self.slots.max(1.0)),
            false => self.slots,
        }
    }

    /// Places for which no call waits.
    pub fn free(&self) -> f64 {
        if self.waiting >= 1.0 { 0.0 } else { (self.slots - self.busy).max(0.0) }
    }

    /// Whether the server says that a call would start at once, or says nothing.
    pub fn is_open(&self) -> bool {
        self.slots <= 0.0 || self.age.is_none() || self.free() >= 1.0
    }

    /// Calls in line for each place.
    pub fn turns(&self) -> f64 {
        if self.slots > 0.0 { self.queued().max(0.0) / self.places() } else { 0.0 }
    }

    fn weight(&self) -> f64 {
        match self.age {
            Some(age) if self.slots > 0.0 && age <= MAX_REPORT_AGE => {
                (-age.as_secs_f64() / REPORT_SPAN.as_secs_f64()).exp()
            }
            _ => 0.0,
        }
    }
}

/// The load of a pool. `turns` and `taken` weigh each server by the age of its report; `slots` and
/// `own_calls` are plain sums.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolLoad {
    /// Waiting calls for each place of the pool, after those that the free places can take; 0 if these can
    /// take all.
    pub turns: f64,
    /// The part of the places that is taken, from 0 to 1.
    pub taken: f64,
    /// Places of all servers that take calls.
    pub slots: f64,
    /// This router's calls that the servers run or have waiting.
    pub own_calls: f64,
}

impl PoolLoad {
    /// Adds up servers; `None` if no report is new enough, so that nothing can be said.
    ///
    /// ```
    /// use samphireshift::policy::{PoolLoad, ServerLoad};
    /// use std::time::Duration;
    /// let age = Some(Duration::ZERO);
    /// let full = ServerLoad { busy: 6.0, waiting: 4.0, slots: 2.0, own_calls: 0.0, age };
    /// let idle = ServerLoad { busy: 0.0, waiting: 0.0, slots: 2.0, own_calls: 0.0, age };
    /// assert_eq!(PoolLoad::new(&[full, idle]).map(|load| load.turns), Some(0.5));
    /// assert_eq!(PoolLoad::new(&[ServerLoad { age: None, ..full }]), None);
    /// ```
    pub fn new(servers: &[ServerLoad]) -> Option<Self> {
        let sum = |part: fn(&ServerLoad) -> f64| {
            servers.iter().map(|server| server.weight() * part(server)).sum::<f64>()
        };
        let known = sum(ServerLoad::places);
        if known <= 0.0 {
            return None;
        }
        let queued = sum(|server| server.queued().max(0.0));
        let free = sum(ServerLoad::free);
        Some(Self {
            turns: ((queued - free) / known).max(0.0),
            taken: (1.0 - free / known).clamp(0.0, 1.0),
            slots: servers.iter().map(ServerLoad::places).sum(),
            own_calls: servers.iter().map(|server| server.own_calls).sum(),
        })
    }
}
