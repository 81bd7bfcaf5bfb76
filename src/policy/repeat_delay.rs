use std::time::Duration;

/// Delay before a call is sent again after its answer was lost.
const FIRST_DELAY: Duration = Duration::from_millis(10);
/// The delay grows by this factor with each further answer lost.
const DELAY_GROWTH: u32 = 4;
/// The longest delay.
const MAX_DELAY: Duration = Duration::from_millis(160);

/// The delay before a call is sent again that has lost so many answers. Servers that end for one cause do so
/// within tens of ms, and one that is about to end must not be taken for a sound one.
///
/// ```
/// use samphireshift::policy::repeat_delay;
/// let delays = [1, 2, 3, 9].map(|losses| repeat_delay(losses).as_millis());
/// assert_eq!(delays, [10, 40, 160, 160]);
/// ```
pub fn repeat_delay(losses: u32) -> Duration {
    let factor = DELAY_GROWTH.saturating_pow(losses.saturating_sub(1));
    FIRST_DELAY.saturating_mul(factor).min(MAX_DELAY)
}
