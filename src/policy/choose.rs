use super::{ChoiceContext, ModelRef, RoutingPlan};
use crate::name::VersionKey;
use thiserror::Error;

/// Number of points that sessions are hashed to; roll-out shares are in thousandths.
const SHARE_POINTS: u32 = 1_000;
/// CRC seed that makes the exploration point independent of the roll-out point.
const EXPLORE_SEED: u32 = 0x5a17;

/// Hash-based draw that decides which shares a request falls into; the same for all requests of a
/// session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareDraw {
    /// The point compared with roll-out shares, from 0 to 999.
    pub rollout_point: u32,
    /// The point compared with the exploration share, from 0 to 999.
    pub explore_point: u32,
    /// Whether the answer may be rated before it is sent to the caller, as a cascade requires.
    pub may_cascade: bool,
}

/// The chosen version, and why it was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionChoice {
    /// The version to send the request to.
    pub version: VersionKey,
    /// The version to ask next if the answer is rated below the target; `None` without a cascade.
    pub escalate_to: Option<VersionKey>,
    /// The reason in words, for the event log.
    pub reason: String,
}

/// Why no version can be chosen.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChooseError {
    /// There is no such model or version.
    #[error("there is no model '{0}'; see GET /v1/models")]
    Unknown(String),
    /// The organisation is not granted the model or version.
    #[error("this organisation may not use '{0}'; see GET /v1/models")]
    NotAllowed(String),
    /// No open version matches the request: all are withdrawn or closing, or none is granted.
    #[error("no open version matches this request; see GET /v1/models")]
    NoneOpen,
    /// No open version meets the quality target, and the organisation refuses requests in that
    /// case.
    #[error(
        "no open version meets the quality target; an operator can lower the target or allow the least bad version"
    )]
    BelowTarget,
}

/// Chooses a version for a new request: the cheapest one whose lower quality bound meets the
/// target, or a cascade to it where that pays off; if none meets the target, the organisation's
/// `exhausted` setting decides.
///
/// # Errors
/// If no version may be used.
pub fn choose(
    context: &ChoiceContext<'_>,
    model: &ModelRef,
    draw: ShareDraw,
) -> Result<VersionChoice, ChooseError> {
    RoutingPlan::new(context, model)?.pick(context, draw)
}

impl ShareDraw {
    /// The draw of a session, or of a request without a session.
    ///
    /// ```
    /// use samphireshift::policy::ShareDraw;
    /// assert_eq!(ShareDraw::of("karri/payee-7", true), ShareDraw::of("karri/payee-7", true));
    /// assert!(ShareDraw::of("karri/payee-7", true).rollout_point < 1_000);
    /// ```
    pub fn of(seed: &str, may_cascade: bool) -> Self {
        let explore_point = crc32c::crc32c_append(EXPLORE_SEED, seed.as_bytes()) / SHARE_POINTS;
        Self {
            rollout_point: rollout_point(seed),
            explore_point: explore_point % SHARE_POINTS,
            may_cascade,
        }
    }
}

/// The point of a session compared with roll-out shares, from 0 to 999; a session always has the
/// same point.
pub fn rollout_point(seed: &str) -> u32 {
    crc32c::crc32c(seed.as_bytes()) % SHARE_POINTS
}
