//! The lines of `status` on the health of groups.

use crate::peer::HealthView;

/// Says what to do about a group that bears fewer losses than promised.
const ALARM_PAGE: &str = "docs/operating/group-too-small.md";

/// One line on the health of a group.
pub fn describe_health(health: &HealthView) -> String {
    let HealthView { group, leader, voters, wished_voters, live_voters, spares, .. } = health;
    format!(
        "{group}: {live_voters} of {voters} voters live, {wished_voters} wished, {spares} spares, as {leader} sees it; \
         {}",
        describe_losses(health)
    )
}

/// The alarm on a group that bears fewer losses than promised, and what to do.
pub fn describe_alarm(health: &HealthView) -> Option<String> {
    if !health.is_too_small() {
        return None;
    }
    let describe =
        |(vm, silent_ms): &(_, u64)| format!("{vm} for {:.1} s", *silent_ms as f64 / 1e3);
    let silent: Vec<String> = health.silent_voters.iter().map(describe).collect();
    let silent = if silent.is_empty() { "none".to_owned() } else { silent.join(", ") };
    Some(format!(
        "{}: the group {}; silent voters: {silent}; spares that the leader sees: {}; do not stop \
         another voter, and see {ALARM_PAGE}",
        health.group,
        describe_losses(health),
        health.spares,
    ))
}

fn describe_losses(health: &HealthView) -> String {
    let losses = if health.losses_borne == 1 { "loss" } else { "losses" };
    let are = if health.losses_promised == 1 { "is" } else { "are" };
    let HealthView { losses_borne, losses_promised, .. } = health;
    format!("bears {losses_borne} {losses}, {losses_promised} {are} promised")
}
