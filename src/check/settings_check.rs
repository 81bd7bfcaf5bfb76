use super::{Finding, FindingKind, Place};
use crate::settings::{Settings, SettingsIssue};

/// Checks the text of a settings file, as a daemon does at its start; `file` is used in messages only.
pub fn check_settings(file: &str, text: &str) -> Vec<Finding> {
    let finding = |issue: SettingsIssue| {
        let SettingsIssue { section, key, text, .. } = issue;
        let place = Place::of_entry(format!("[{section}] {key}").trim_end());
        Finding::new(FindingKind::Refused, place, text)
    };
    match Settings::parse(file, text) {
        Ok(settings) => contradictions(&settings),
        Err(errors) => errors.0.into_iter().map(finding).collect(),
    }
}

/// Limits that can't both be kept. A daemon starts with them all the same.
fn contradictions(settings: &Settings) -> Vec<Finding> {
    let deadline = settings.default_timeout;
    let checks = [
        (
            settings.first_token > deadline,
            "[limits] first_token",
            "is longer than 'deadline', so it never ends a call; shorten it or lengthen 'deadline'",
        ),
        (
            settings.connect_timeout > deadline,
            "[limits] connect",
            "is longer than 'deadline', so it never ends an attempt; shorten it",
        ),
        (
            settings.drain_period > settings.fleet_limits.stop_timeout,
            "[limits] drain",
            "is longer than 'stop' in [promises], in which the daemon must have ended; shorten it",
        ),
    ];
    let found = checks.into_iter().filter(|(is_wrong, ..)| *is_wrong);
    found
        .map(|(_, place, text)| {
            Finding::new(FindingKind::Contradiction, Place::of_entry(place), text)
        })
        .collect()
}
