//! What one router tells another about a call that it passes on, as a header of the request, and what
//! the other one tells it about a refusal.

use super::hop_account::{ALLOWANCE, HopAllowance};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// The header of a call that is passed on. It is removed from what callers send.
pub const HOP: HeaderName = HeaderName::from_static("x-samphireshift-hop");
/// The header of a response that is not a server's but the other router's.
pub const REFUSED: HeaderName = HeaderName::from_static("x-samphireshift-refused");

/// A call that another router has passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
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
    /// What may be done for the call; `None` from builds that state none.
    pub allowance: Option<HopAllowance>,
}

impl Hop {
    /// What this router may do for the call.
    pub fn allowance(&self) -> HopAllowance {
        self.allowance.clone().unwrap_or(HopAllowance::UNSTATED)
    }

    /// Writes the headers.
    pub fn write(&self, headers: &mut HeaderMap) {
        let Self { left, revision, sends, may_have_run, last_event, allowance } = self;
        let (left, may_have_run) = (left.as_millis(), u8::from(*may_have_run));
        let mut text = format!("{left} {revision} {sends} {may_have_run}");
        if let Some(event) = last_event {
            text.push_str(&format!(" {event}"));
        }
        let value = HeaderValue::from_str(&text).expect("digits and blanks are a header value");
        headers.insert(HOP, value);
        match allowance {
            Some(allowance) => allowance.write(headers),
            None => drop(headers.remove(ALLOWANCE)),
        }
    }

    /// Reads the headers; `None` if they are missing or malformed.
    ///
    /// ```
    /// use samphireshift::gateway::{Hop, HopAllowance};
    /// use std::time::Duration;
    /// let left = Duration::from_millis(600);
    /// let allowance = Some(HopAllowance { sends: 2, ends: 1, tried: Vec::new() });
    /// let last_event = Some(3);
    /// let hop = Hop { left, revision: 7, sends: 1, may_have_run: true, last_event, allowance };
    /// let mut headers = http::HeaderMap::new();
    /// hop.write(&mut headers);
    /// assert_eq!(Hop::from_headers(&headers), Some(hop));
    /// ```
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(HOP)?.to_str().ok()?;
        let numbers: Result<Vec<u64>, _> = text.split(' ').map(str::parse).collect();
        let numbers = numbers.ok()?;
        let [left, revision, sends, may_have_run, ref last_event @ ..] = numbers[..] else {
            return None;
        };
        let allowance = HopAllowance::read(headers);
        if allowance.is_none() && headers.contains_key(ALLOWANCE) {
            return None;
        }
        Some(Self {
            allowance,
            left: Duration::from_millis(left),
            revision,
            sends: u32::try_from(sends).ok()?,
            may_have_run: may_have_run != 0,
            last_event: last_event.first().copied(),
        })
    }
}
