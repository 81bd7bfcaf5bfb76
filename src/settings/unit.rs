use std::time::Duration;

const MILLIS: u64 = 1;
const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

/// Parses a duration such as `250ms`, `2s`, `8.5s`, `5m` or `1h`.
///
/// ```
/// use samphireshift::settings::parse_duration;
/// assert_eq!(parse_duration("2s").unwrap().as_millis(), 2000);
/// assert!(parse_duration("2").is_none());
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let units = [("ms", MILLIS), ("s", SECOND), ("m", MINUTE), ("h", HOUR)];
    scaled(text, &units).map(Duration::from_millis)
}

/// Parses a size such as `512B`, `64KiB` or `1MiB` to bytes.
///
/// ```
/// assert_eq!(samphireshift::settings::parse_size("1KiB"), Some(1024));
/// ```
pub fn parse_size(text: &str) -> Option<usize> {
    let units = [("KiB", KIB), ("MiB", MIB), ("B", 1)];
    scaled(text, &units).and_then(|n| usize::try_from(n).ok())
}

fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
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
