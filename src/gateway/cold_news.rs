//! Servers that this router holds to be cold before the leader says so: why, and what the leader is told.

use crate::name::{PoolName, VmName};
use crate::peer::WarmUpRateTable;
use crate::policy::{ColdServer, ColdSign, ConnectFailure};
use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

/// Time until the platform's list, which is read at intervals and lags, says whether a server that is
/// back is cold.
const LIST_DELAY: Duration = Duration::from_secs(3);
/// The same for a server that cannot be connected to: it may be tried only at the end of the longest
/// pause.
const UNREACHED_TTL: Duration = Duration::from_secs(6);
/// A server is reported at most once in this time.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Why a server is held to be cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdCause {
    /// It says so, and for how long.
    Answer(Duration),
    /// It could not be connected to, and may start anew.
    Unreached(ConnectFailure),
    /// Its data centre may get calls again.
    Returned,
    /// It is new in the VM list.
    New,
}

impl ColdCause {
    /// How long the server is held to be cold, unless more is heard.
    pub fn lasts(self) -> Duration {
        match self {
            Self::Answer(left) => left,
            Self::Unreached(_) => UNREACHED_TTL,
            Self::Returned | Self::New => LIST_DELAY,
        }
    }

    /// Whether a leader that answers later knows better.
    pub fn ends_when_told(self) -> bool {
        self == Self::New
    }

    /// Whether the other routers have to learn of it.
    pub fn is_reported(self) -> bool {
        matches!(self, Self::Answer(_) | Self::Unreached(_))
    }

    /// What shows it.
    pub fn sign(self) -> ColdSign {
        match self {
            Self::Unreached(ConnectFailure::Silent) => ColdSign::Silence,
            Self::Unreached(ConnectFailure::Refused | ConnectFailure::Reset)
            | Self::Answer(_)
            | Self::Returned
            | Self::New => ColdSign::Answer,
        }
    }

    /// Its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::Unreached(_) => "unreached",
            Self::Returned => "returned",
            Self::New => "new",
        }
    }
}

impl fmt::Display for ColdCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answer(left) => write!(f, "they say so, for {} ms", left.as_millis()),
            Self::Unreached(_) => f.write_str("they could not be connected to"),
            Self::Returned => f.write_str("their data centre may get calls again"),
            Self::New => f.write_str("they are new in the VM list"),
        }
    }
}

/// What the leader is to be told of cold servers, and the rates that it told.
#[derive(Debug, Default)]
pub struct ColdNews {
    inner: Mutex<Inner>,
    has_rates: AtomicBool,
    /// Notified when there is something to report.
    pub changed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    number: Option<u64>,
    /// Requests a second for each server of a pool.
    rates: HashMap<PoolName, f64>,
    /// Servers to be reported, and until when each is held to be cold.
    news: HashMap<VmName, (Duration, ColdServer)>,
    /// When servers were reported last.
    reported: HashMap<VmName, Duration>,
}

impl ColdNews {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("cold news lock")
    }

    /// Whether any pool has a rate.
    pub fn has_rates(&self) -> bool {
        self.has_rates.load(Ordering::Relaxed)
    }

    /// The rate of a pool's servers while they are cold; `None` if they take any rate.
    pub fn rate(&self, pool: &PoolName) -> Option<f64> {
        self.lock().rates.get(pool).copied()
    }

    /// The number of the route table that the rates are from.
    pub fn rates_of(&self) -> Option<u64> {
        self.lock().number
    }

    /// Replaces the rates.
    pub fn set_rates(&self, table: WarmUpRateTable) {
        let mut inner = self.lock();
        inner.number = table.number;
        inner.rates = table.rates.into_iter().collect();
        self.has_rates.store(!inner.rates.is_empty(), Ordering::Relaxed);
    }

    /// Notes a server for the next report, unless one lately named it.
    pub fn report(&self, now: Duration, cold: ColdServer) {
        let mut inner = self.lock();
        inner.reported.retain(|_, at| now < *at + REPORT_INTERVAL);
        if inner.reported.contains_key(&cold.server) {
            return;
        }
        inner.reported.insert(cold.server.clone(), now);
        inner.news.retain(|_, (until, _)| now < *until);
        let until = now.saturating_add(cold.lasts);
        inner.news.insert(cold.server.clone(), (until, cold));
        self.changed.notify_one();
    }

    /// Takes what is to be reported and still holds, with the time that is left.
    pub fn take(&self, now: Duration) -> Vec<ColdServer> {
        let news = std::mem::take(&mut self.lock().news);
        let left = |(until, cold): (Duration, ColdServer)| ColdServer {
            lasts: until.saturating_sub(now),
            ..cold
        };
        news.into_values().map(left).filter(|cold| !cold.lasts.is_zero()).collect()
    }

    /// Puts a report back that was taken at `taken_at` and not counted.
    pub fn put_back(&self, taken_at: Duration, servers: Vec<ColdServer>) {
        let mut inner = self.lock();
        for cold in servers {
            let until = taken_at.saturating_add(cold.lasts);
            inner.news.entry(cold.server.clone()).or_insert((until, cold));
        }
    }
}
