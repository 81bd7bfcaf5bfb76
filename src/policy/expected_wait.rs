/// The time to an answer of a server with nothing else to do, in ms.
const BASE: f64 = 40.0;
/// Prompt tokens that an engine reads in a millisecond.
const READ_RATE: f64 = 14.0;
/// What each call in progress adds to the time of another one, in ms.
const BESIDE: f64 = 1.5;
/// What a call that waits for a place adds, in ms.
const QUEUED: f64 = 30.0;
/// What a way to another data centre costs, in ms; it is charged by the byte, too.
const FAR: f64 = 12.0;
/// What a server that fails all calls is held to cost, in ms; the share of failures counts.
const FAILED: f64 = 4_000.0;

/// What is known of a server when a call is to be placed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerView {
    /// Calls that run or wait there, from its newest report and what was sent since.
    pub busy: f64,
    /// Calls that it serves at a time; 0 where unknown.
    pub slots: f64,
    /// Prompt tokens of this router's calls there that have not brought an answer yet.
    pub pending: f64,
    /// Prompt tokens of the call that the server is not expected to keep.
    pub unread: f64,
    /// How much longer its answers have taken than expected; 1 for as expected.
    pub slowness: f64,
    /// The part of its calls that failed lately.
    pub failed: f64,
    /// Whether it stands in the same data centre.
    pub near: bool,
}

impl ServerView {
    /// The expected time to the first event of the call's answer, in ms, with what a far or failing
    /// server is held to cost on top (join the shortest expected delay).
    ///
    /// ```
    /// use samphireshift::policy::ServerView;
    /// let idle = ServerView { slots: 6.0, slowness: 1.0, near: true, ..ServerView::default() };
    /// let full = ServerView { busy: 12.0, ..idle };
    /// assert!(idle.expected_wait() < full.expected_wait());
    /// ```
    pub fn expected_wait(&self) -> f64 {
        let waiting = if self.slots > 0.0 { (self.busy + 1.0 - self.slots).max(0.0) } else { 0.0 };
        let work = BASE + (self.pending + self.unread) / READ_RATE + self.busy * BESIDE;
        let place = if self.near { 0.0 } else { FAR };
        self.slowness * (work + waiting * QUEUED) + place + self.failed * FAILED
    }

    /// The expected time without what a far or failing server is held to cost, in ms.
    pub fn plain_wait(&self) -> f64 {
        ServerView { slowness: 1.0, failed: 0.0, near: true, ..*self }.expected_wait()
    }
}
