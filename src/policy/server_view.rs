/// Time to the first event of an answer of an idle server, in ms.
const BASE_MS: f64 = 40.0;
/// Prompt tokens that an engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 14.0;
/// Time that each call in progress adds to another one, in ms.
const IN_PROGRESS_MS: f64 = 1.5;
/// Time that each call queued for a slot adds, in ms.
const QUEUED_MS: f64 = 30.0;
/// Time that an idle server takes for each token of an answer, in ms.
const TOKEN_MS: f64 = 5.0;
/// Time that each call in progress adds to each of another one's tokens, in ms.
const TOKEN_MS_PER_CALL: f64 = 0.03;
/// Penalty for a server in another data centre, in ms; that traffic is also charged by the byte.
const REMOTE_PENALTY_MS: f64 = 12.0;
/// Penalty for a server that fails all of its calls, in ms; multiplied by the failure rate.
const FAILURE_PENALTY_MS: f64 = 4_000.0;

/// State of a server at the time when a call is placed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerView {
    /// Calls running or queued on the server: from its newest load report, plus the calls sent
    /// since.
    pub busy: f64,
    /// Calls that the server runs concurrently; 0 if unknown.
    pub slots: f64,
    /// Prompt tokens of this router's calls on the server that have not produced an answer yet.
    pub pending_tokens: f64,
    /// Prompt tokens of the new call that the server is not expected to have cached.
    pub uncached_tokens: f64,
    /// Ratio of the measured to the expected time of its answers; 1 if they are as fast as
    /// expected.
    pub slowness: f64,
    /// Fraction of its recent calls that failed, from 0 to 1.
    pub failure_rate: f64,
    /// Whether the server is in this router's data centre.
    pub local: bool,
}

impl ServerView {
    /// The expected time to the first event of the call's answer, in ms, plus the penalties for a
    /// server that is remote or fails calls. The call goes to the server with the lowest value
    /// (join the shortest expected delay).
    ///
    /// ```
    /// use samphireshift::policy::ServerView;
    /// let idle = ServerView { slots: 6.0, slowness: 1.0, local: true, ..ServerView::default() };
    /// let full = ServerView { busy: 12.0, ..idle };
    /// assert!(idle.expected_wait() < full.expected_wait());
    /// ```
    pub fn expected_wait(&self) -> f64 {
        let waiting = if self.slots > 0.0 { (self.busy + 1.0 - self.slots).max(0.0) } else { 0.0 };
        let work = BASE_MS
            + (self.pending_tokens + self.uncached_tokens) / PREFILL_TOKENS_PER_MS
            + self.busy * IN_PROGRESS_MS;
        let distance = if self.local { 0.0 } else { REMOTE_PENALTY_MS };
        self.slowness * (work + waiting * QUEUED_MS)
            + distance
            + self.failure_rate * FAILURE_PENALTY_MS
    }

    /// The expected time from the first event of an answer with so many tokens to its end, in ms.
    ///
    /// ```
    /// use samphireshift::policy::ServerView;
    /// let idle = ServerView { slots: 6.0, slowness: 1.0, local: true, ..ServerView::default() };
    /// let slow = ServerView { slowness: 2.0, ..idle };
    /// assert_eq!(slow.answer_time(10), 2.0 * idle.answer_time(10));
    /// ```
    pub fn answer_time(&self, tokens: u32) -> f64 {
        let running = if self.slots > 0.0 { self.busy.min(self.slots) } else { self.busy };
        f64::from(tokens) * (TOKEN_MS + running * TOKEN_MS_PER_CALL) * self.slowness
    }

    /// The expected time to the first event of the answer, without penalties and at the expected
    /// speed, in ms.
    pub fn baseline_wait(&self) -> f64 {
        ServerView { slowness: 1.0, failure_rate: 0.0, local: true, ..*self }.expected_wait()
    }
}
