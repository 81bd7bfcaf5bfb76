/// Shown instead of a value that may be secret.
pub const HIDDEN: &str = "(not shown)";

/// What stands before a value in backticks in the messages of serde.
const VALUE_MARKS: [&str; 4] = ["boolean `", "integer `", "floating point `", "unknown variant `"];
/// What follows such a value.
const VALUE_END: &str = "`, expected";

/// Hides the values that a message of serde quotes: an API key may stand where something else is expected.
/// The names of fields stay.
pub fn hide_values(message: &str) -> String {
    let mut shown = hide_strings(message);
    for mark in VALUE_MARKS {
        let Some((before, rest)) = shown.split_once(mark) else { continue };
        let after = rest.rfind(VALUE_END).and_then(|end| rest.get(end + 1..)).unwrap_or_default();
        shown = format!("{before}{}{HIDDEN}{after}", mark.trim_end_matches('`'));
    }
    shown
}

/// Hides what stands in double quotes.
fn hide_strings(message: &str) -> String {
    let (mut shown, mut rest) = (String::new(), message);
    while let Some((before, quoted)) = rest.split_once('"') {
        shown += before;
        shown += HIDDEN;
        rest = after_quote(quoted);
    }
    shown + rest
}

/// What follows the closing quote; within a value, quotes are escaped.
fn after_quote(quoted: &str) -> &str {
    let mut is_escaped = false;
    for (at, byte) in quoted.bytes().enumerate() {
        match byte {
            b'"' if !is_escaped => return quoted.get(at + 1..).unwrap_or_default(),
            byte => is_escaped = byte == b'\\' && !is_escaped,
        }
    }
    ""
}
