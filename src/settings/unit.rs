use std::time::Duration;

const MILLISECOND_MS: u64 = 1;
const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const KIB_BYTES: u64 = 1 << 10;
const MIB_BYTES: u64 = 1 << 20;

/// Parses a duration such as `250ms`, `2s`, `8.5s`, `5m` or `1h`; `None` if it is malformed or has
/// no unit. Fractions are rounded to whole milliseconds.
///
/// ```
/// use samphireshift::settings::parse_duration;
/// assert_eq!(parse_duration("2s").unwrap().as_millis(), 2000);
/// assert!(parse_duration("2").is_none());
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let units = [("ms", MILLISECOND_MS), ("s", SECOND_MS), ("m", MINUTE_MS), ("h", HOUR_MS)];
    parse_with_unit(text, &units).map(Duration::from_millis)
}

/// Parses a size such as `512B`, `64KiB` or `1MiB` to bytes; `None` if it is malformed or has no
/// unit.
///
/// ```
/// assert_eq!(samphireshift::settings::parse_size("1KiB"), Some(1024));
/// ```
pub fn parse_size(text: &str) -> Option<usize> {
    let units = [("KiB", KIB_BYTES), ("MiB", MIB_BYTES), ("B", 1)];
    parse_with_unit(text, &units).and_then(|n| usize::try_from(n).ok())
}

/// Parses a number followed by one of `units` and multiplies it by the factor of that unit. A unit
/// that is a suffix of another one must come after it.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    for (unit, factor) in units {
        let Some(digits) = text.strip_suffix(unit) else { continue };
        if let Ok(n) = digits.trim().parse::<u64>() {
            return n.checked_mul(*factor);
        }
        if let Ok(n) = digits.trim().parse::<f64>()
            && n >= 0.0
            && n * (*factor as f64) < u64::MAX as f64
        {
            return Some((n * *factor as f64).round() as u64);
        }
    }
    None
}
