//! The account of a call that is passed on: what the other router may do for it, and what it has done.

use crate::name::VmName;
use http::{HeaderMap, HeaderName, HeaderValue};

/// The header of a request that is passed on, with its allowance. It is removed from what callers send.
pub const ALLOWANCE: HeaderName = HeaderName::from_static("x-samphireshift-allowance");
/// The header of the other router's response, with the account. Callers do not get it.
pub const ACCOUNT: HeaderName = HeaderName::from_static("x-samphireshift-account");
/// The most servers that are named in a header.
const MAX_NAMED: usize = 16;

/// What a router may do for a call that is passed on to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HopAllowance {
    /// How often it may send the call.
    pub sends: u32,
    /// How many servers may end under it.
    pub ends: u32,
    /// Servers that the call was sent to before.
    pub tried: Vec<VmName>,
}

/// What a router has done for a call that was passed on to it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HopAccount {
    /// How often it sent the call.
    pub sends: u32,
    /// The servers that ended under it.
    pub ends: u32,
    /// The servers that it sent the call to, in order.
    pub servers: Vec<VmName>,
}

impl HopAllowance {
    /// What a router may do for one that states no allowance: that one counts a single send.
    pub const UNSTATED: Self = Self { sends: 1, ends: 1, tried: Vec::new() };

    /// Writes the header.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.insert(ALLOWANCE, to_value(self.sends, self.ends, &self.tried));
    }

    /// Reads the header; `None` if it is missing or malformed.
    ///
    /// ```
    /// use samphireshift::gateway::HopAllowance;
    /// use samphireshift::name::VmName;
    /// let allowance = HopAllowance { sends: 2, ends: 1, tried: vec![VmName::new("i-1")] };
    /// let mut headers = http::HeaderMap::new();
    /// allowance.write(&mut headers);
    /// assert_eq!(HopAllowance::read(&headers), Some(allowance));
    /// ```
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let (sends, ends, tried) = from_value(headers.get(ALLOWANCE)?)?;
        Some(Self { sends, ends, tried })
    }

    /// The account of a router of which nothing is known: all that it may do.
    pub fn used_up(&self) -> HopAccount {
        HopAccount { sends: self.sends, ends: self.ends, servers: Vec::new() }
    }
}

impl HopAccount {
    /// Writes the header.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.insert(ACCOUNT, to_value(self.sends, self.ends, &self.servers));
    }

    /// Takes the header out of a response; `None` if it is missing or malformed.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let (sends, ends, servers) = from_value(&headers.remove(ACCOUNT)?)?;
        Some(Self { sends, ends, servers })
    }
}

fn to_value(sends: u32, ends: u32, names: &[VmName]) -> HeaderValue {
    let is_plain = |name: &&str| name.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',');
    let names = names.iter().map(VmName::as_str).filter(is_plain).take(MAX_NAMED);
    let names = names.collect::<Vec<_>>().join(",");
    HeaderValue::from_str(&format!("{sends} {ends} {names}")).expect("plain text is a header value")
}

fn from_value(value: &HeaderValue) -> Option<(u32, u32, Vec<VmName>)> {
    // Blanks at the end of a header are not kept on the way.
    let mut words = value.to_str().ok()?.split_ascii_whitespace();
    let (sends, ends) = (words.next()?.parse().ok()?, words.next()?.parse().ok()?);
    let names = words.next().into_iter().flat_map(|names| names.split(',')).map(VmName::new);
    Some((sends, ends, names.take(MAX_NAMED).collect()))
}
