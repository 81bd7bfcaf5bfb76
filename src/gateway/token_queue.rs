use crate::name::VmName;
use crate::policy::{LimitAsk, LocalLimits, SendToken};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// The most servers that are named to the leader for one call.
const MAX_NAMED: usize = 32;

/// Calls that wait for a token, the most urgent first.
#[derive(Debug, Default)]
pub struct TokenQueue {
    waiters: BTreeMap<Place, Waiter>,
    next: u64,
}

/// A call's place in the queue: by rank, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    rank: u8,
    number: u64,
}

/// A token, and the server that it is for.
pub type Grant = (VmName, SendToken);

#[derive(Debug)]
struct Waiter {
    /// Servers of which a token would do.
    servers: Vec<VmName>,
    /// Until when the call can wait.
    until: Duration,
    reply: oneshot::Sender<Grant>,
}

impl TokenQueue {
    /// Adds a call. The receiver gets a token, or an error once the call can no longer be served in
    /// time.
    pub fn push(
        &mut self,
        rank: u8,
        servers: &[VmName],
        until: Duration,
    ) -> (Place, oneshot::Receiver<Grant>) {
        let place = Place { rank, number: self.next };
        self.next += 1;
        let (reply, receiver) = oneshot::channel();
        let servers = servers.iter().take(MAX_NAMED).cloned().collect();
        self.waiters.insert(place, Waiter { servers, until, reply });
        (place, receiver)
    }

    /// Removes a call that no longer waits.
    pub fn remove(&mut self, place: Place) {
        self.waiters.remove(&place);
    }

    /// Hands tokens to the calls that wait for them.
    pub fn hand_out(&mut self, now: Duration, limits: &mut LocalLimits) {
        let places: Vec<Place> = self.waiters.keys().copied().collect();
        for place in places {
            let Some(waiter) = self.waiters.get(&place) else { continue };
            let token = waiter
                .servers
                .iter()
                .find_map(|server| Some((server.clone(), limits.take(now, server)?)));
            let Some(grant) = token else { continue };
            let Some(waiter) = self.waiters.remove(&place) else { continue };
            if let Err((server, token)) = waiter.reply.send(grant) {
                limits.give_back(now, &server, token);
            }
        }
    }

    /// Gives up the calls whose turn would come too late.
    pub fn give_up_late(&mut self, now: Duration, limits: &LocalLimits) {
        let mut ahead: BTreeMap<Vec<VmName>, u32> = BTreeMap::new();
        self.waiters.retain(|place, waiter| {
            let count = ahead.entry(waiter.servers.clone()).or_default();
            let wait = expected_wait(now, limits, &waiter.servers, place.rank, *count);
            let in_time = now.saturating_add(wait) <= waiter.until;
            *count += u32::from(in_time);
            in_time
        });
    }

    /// Calls that wait for a token of these servers and are not less urgent than `rank`.
    pub fn count_ahead(&self, rank: u8, servers: &[VmName]) -> u32 {
        let ahead = self.waiters.iter().filter(|(place, waiter)| {
            place.rank <= rank && waiter.servers.iter().any(|server| servers.contains(server))
        });
        ahead.count() as u32
    }

    /// The tokens that the waiting calls need.
    pub fn asks(&self, now: Duration) -> Vec<LimitAsk> {
        let mut asks: BTreeMap<&[VmName], LimitAsk> = BTreeMap::new();
        for (place, waiter) in &self.waiters {
            let new = || LimitAsk {
                servers: waiter.servers.clone(),
                count: 0,
                rank: place.rank,
                lasts: Duration::ZERO,
            };
            let ask = asks.entry(&waiter.servers).or_insert_with(new);
            ask.count += 1;
            ask.lasts = ask.lasts.max(waiter.until.saturating_sub(now));
        }
        asks.into_values().collect()
    }
}

/// How long it is expected to take until this router has got `count` tokens of these servers for calls
/// of this rank. No token may take no time: whether the next one is there is known only once it was
/// asked for.
pub fn expected_wait(
    now: Duration,
    limits: &LocalLimits,
    servers: &[VmName],
    rank: u8,
    count: u32,
) -> Duration {
    if count == 0 {
        return Duration::ZERO;
    }
    let rate: f64 = servers.iter().map(|server| limits.expected_rate(now, server, rank)).sum();
    Duration::try_from_secs_f64(f64::from(count) / rate).unwrap_or(Duration::MAX)
}
