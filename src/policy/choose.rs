use super::{Plan, Scene, Wish};
use crate::name::VersionKey;
use thiserror::Error;

/// Points that a session's hash falls on; roll-out shares are in thousandths.
const SHARE_POINTS: u32 = 1_000;
/// Makes the draw for exploring independent of the one for roll-outs.
const EXPLORE_SALT: u32 = 0x5a17;

/// Where a request falls when something is shared out; alike for all requests of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Draw {
    /// The place within roll-outs, from 0 to 999.
    pub point: u32,
    /// The place within the share that explores, from 0 to 999.
    pub explore: u32,
    /// Whether the answer may be judged before it goes out.
    pub whole: bool,
}

/// The version chosen, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The version.
    pub version: VersionKey,
    /// The version to ask next where the answer is rated below the target.
    pub escalate: Option<VersionKey>,
    /// The reason, in words.
    pub reason: String,
}

/// Why no version can be chosen.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChooseError {
    /// There is no such model or version.
    #[error("there is no model '{0}'; see GET /v1/models")]
    Unknown(String),
    /// The organisation may not use it.
    #[error("this organisation may not use '{0}'; see GET /v1/models")]
    NotAllowed(String),
    /// Everything that would do is withdrawn or closing.
    #[error("no version takes new work for this request")]
    NoneOpen,
    /// No open version meets the target and the organisation wants none that does not.
    #[error("no version meets the quality target")]
    BelowTarget,
}

/// Chooses a version for new work: the cheapest whose bound meets the target, else a cascade where
/// it pays, else what the organisation's setting says.
///
/// # Errors
/// Where nothing may be chosen.
pub fn choose(scene: &Scene<'_>, wish: &Wish, draw: Draw) -> Result<Choice, ChooseError> {
    Plan::new(scene, wish)?.pick(scene, draw)
}

impl Draw {
    /// The draw of a session, or of a request without one.
    ///
    /// ```
    /// use samphireshift::policy::Draw;
    /// assert_eq!(Draw::of("karri/payee-7", true), Draw::of("karri/payee-7", true));
    /// assert!(Draw::of("karri/payee-7", true).point < 1_000);
    /// ```
    pub fn of(seed: &str, whole: bool) -> Self {
        let explore = crc32c::crc32c_append(EXPLORE_SALT, seed.as_bytes()) / SHARE_POINTS;
        Self { point: share_point(seed), explore: explore % SHARE_POINTS, whole }
    }
}

/// Where a session falls within roll-outs, from 0 to 999; the same session always on the same point.
pub fn share_point(seed: &str) -> u32 {
    crc32c::crc32c(seed.as_bytes()) % SHARE_POINTS
}
