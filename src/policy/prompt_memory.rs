use std::time::Duration;

/// How long a part is kept where the memory of the servers is unknown.
const UNKNOWN_KEPT: Duration = Duration::from_secs(20);
/// Bounds of the time for which a part is held to be kept.
const KEPT_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(60));
/// Of the memory, at least this part is held to be left for kept parts.
const MIN_ROOM: f64 = 0.05;
/// Over which time tokens are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Weight of a new call in the mean size of calls.
const SIZE_WEIGHT: f64 = 0.05;

/// What a router knows of the memory for prompts of a pool's servers, which running calls and kept parts
/// share: from the configured size and its own calls, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PromptMemory {
    /// The mean size of a call that runs, prompt and answer; 0 without calls.
    call_tokens: f64,
    /// Tokens that came into memory; older ones lose weight.
    new_tokens: f64,
    counted_at: Duration,
    begun: Option<Duration>,
}

/// The memory of a server that calls run on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerMemory {
    /// Tokens that the memory holds; 0 if unknown.
    pub size: f64,
    /// Tokens of a call that runs.
    pub call_tokens: f64,
}

impl PromptMemory {
    /// Counts a call of `size` tokens in all, of which `new` ones are written to memory.
    pub fn count(&mut self, size: f64, new: f64, now: Duration) {
        let weight = if self.begun.is_none() { 1.0 } else { SIZE_WEIGHT };
        self.begun.get_or_insert(now);
        self.call_tokens += (size - self.call_tokens) * weight;
        self.new_tokens = self.weighed(now) + new;
        self.counted_at = now;
    }

    /// The memory of a server of `size` tokens.
    pub fn server(&self, size: u64) -> ServerMemory {
        ServerMemory { size: size as f64, call_tokens: self.call_tokens }
    }

    /// How long a part stays in the memory of a usual server, with `busy` calls, after its last use: until
    /// as many tokens have come as there is room for. `share` is the load of one server as a multiple of all
    /// that this router sends: routers divided by servers.
    ///
    /// ```
    /// use samphireshift::policy::PromptMemory;
    /// use std::time::Duration;
    /// let mut memory = PromptMemory::default();
    /// (0..600).for_each(|i| memory.count(1_000.0, 500.0, Duration::from_millis(i * 100)));
    /// // 5,000 new tokens a second here, 40 such routers, 20 servers.
    /// let kept = memory.kept_for(110_000, 10.0, 40.0 / 20.0, Duration::from_secs(60));
    /// assert!((kept.as_secs_f64() - 10.0).abs() < 0.5, "{kept:?}");
    /// ```
    pub fn kept_for(&self, size: u64, busy: f64, share: f64, now: Duration) -> Duration {
        let Some(begun) = self.begun.filter(|_| size > 0) else { return UNKNOWN_KEPT };
        let window = WINDOW.as_secs_f64();
        let age = now.saturating_sub(begun).as_secs_f64() / window;
        let span = (window * (1.0 - (-age).exp())).max(1.0);
        let rate = self.weighed(now) / span * share;
        let room = self.server(size).room(busy).max(size as f64 * MIN_ROOM);
        let kept = Duration::try_from_secs_f64(room / rate.max(1.0)).unwrap_or(KEPT_RANGE.1);
        kept.clamp(KEPT_RANGE.0, KEPT_RANGE.1)
    }

    fn weighed(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.counted_at).as_secs_f64() / WINDOW.as_secs_f64();
        self.new_tokens * (-age).exp()
    }
}

impl ServerMemory {
    /// Tokens that `busy` calls leave free or to kept parts.
    pub fn room(&self, busy: f64) -> f64 {
        (self.size - busy * self.call_tokens).max(0.0)
    }

    /// Tokens of a new call beyond what `busy` calls leave; another call would have to yield them.
    ///
    /// ```
    /// use samphireshift::policy::ServerMemory;
    /// let memory = ServerMemory { size: 10_000.0, call_tokens: 1_000.0 };
    /// assert_eq!(memory.excess(2.0, 5_000.0), 0.0);
    /// assert_eq!(memory.excess(8.0, 5_000.0), 3_000.0);
    /// assert_eq!(ServerMemory::default().excess(8.0, 5_000.0), 0.0);
    /// ```
    pub fn excess(&self, busy: f64, tokens: f64) -> f64 {
        if self.size > 0.0 { (tokens - self.room(busy)).max(0.0) } else { 0.0 }
    }
}
