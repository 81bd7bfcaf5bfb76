//! What one router tells another about a call that it passes on, as a header of the request, and what
//! the other one tells it about a refusal.

use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// The header of a call that is passed on. It is removed from what callers send.
pub const HOP: HeaderName = HeaderName::from_static("x-samphireshift-hop");
/// The header of a response that is not a server's but the other router's.
pub const REFUSED: HeaderName = HeaderName::from_static("x-samphireshift-refused");

/// A call that another router has passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// The time left of the call.
    pub left: Duration,
    /// The revision of the configuration that the other router works under.
    pub revision: u64,
    /// How often the call may have reached a server already.
    pub sends: u32,
    /// Whether one of these may have run it.
    pub may_have_run: bool,
    /// The id of the last event that the caller has received, if any.
    pub last_event: Option<u64>,
}

impl Hop {
    /// The value of the header.
    pub fn to_header(self) -> HeaderValue {
        let Self { left, revision, sends, may_have_run, last_event } = self;
        let (left, may_have_run) = (left.as_millis(), u8::from(may_have_run));
        let mut text = format!("{left} {revision} {sends} {may_have_run}");
        if let Some(event) = last_event {
            text.push_str(&format!(" {event}"));
        }
        HeaderValue::from_str(&text).expect("digits and blanks are a header value")
    }

    /// Reads the header; `None` if it is missing or malformed.
    ///
    /// ```
    /// use samphireshift::gateway::Hop;
    /// use std::time::Duration;
    /// let left = Duration::from_millis(600);
    /// let hop = Hop { left, revision: 7, sends: 1, may_have_run: true, last_event: Some(3) };
    /// let mut headers = http::HeaderMap::new();
    /// headers.insert("x-samphireshift-hop", hop.to_header());
    /// assert_eq!(Hop::from_headers(&headers), Some(hop));
    /// ```
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(HOP)?.to_str().ok()?;
        let numbers: Result<Vec<u64>, _> = text.split(' ').map(str::parse).collect();
        let numbers = numbers.ok()?;
        let [left, revision, sends, may_have_run, ref last_event @ ..] = numbers[..] else {
            return None;
        };
        Some(Self {
            left: Duration::from_millis(left),
            revision,
            sends: u32::try_from(sends).ok()?,
            may_have_run: may_have_run != 0,
            last_event: last_event.first().copied(),
        })
    }
}
