//! What the log and the metrics tell of the groups that this daemon leads. Each line is written once
//! per change, not once per check.

use super::GroupHealth;
use super::membership_plan::MembershipStep;
use crate::consensus::ProposeError;
use crate::group::GroupId;
use std::collections::BTreeMap;

/// The last report of a group, and the last step that consensus refused since a step was taken.
#[derive(Debug)]
struct Watched {
    health: GroupHealth,
    refusal: Option<(MembershipStep, ProposeError)>,
}

/// The groups that this daemon leads, as last reported.
#[derive(Debug, Default)]
pub struct HealthWatch {
    groups: BTreeMap<GroupId, Watched>,
}

impl HealthWatch {
    /// Logs what has changed in a group that this daemon leads, and sets its gauges.
    pub fn report(&mut self, group: GroupId, health: GroupHealth) {
        let before = self.groups.remove(&group);
        for line in health.changes_since(before.as_ref().map(|before| &before.health)) {
            log::info!("{group}: {line}");
        }
        set_gauges(group, &health);
        let refusal = before.and_then(|before| before.refusal);
        self.groups.insert(group, Watched { health, refusal });
    }

    /// Logs whether consensus took a step. It takes one before it is committed.
    pub fn record_outcome(
        &mut self,
        group: GroupId,
        step: &MembershipStep,
        outcome: Result<(), ProposeError>,
    ) {
        if let Some(line) = self.outcome_line(group, step, outcome) {
            log::info!("{group}: {line}");
        }
    }

    /// The line on an outcome; `None` if the same step was refused for the same reason just before.
    pub fn outcome_line(
        &mut self,
        group: GroupId,
        step: &MembershipStep,
        outcome: Result<(), ProposeError>,
    ) -> Option<String> {
        let refusal = outcome.err().map(|error| (step.clone(), error));
        let line = match &refusal {
            None => format!("step taken: {step}"),
            Some((_, error)) => format!("step refused: {step}: {error}"),
        };
        let Some(watched) = self.groups.get_mut(&group) else { return Some(line) };
        let is_known = refusal.is_some() && watched.refusal == refusal;
        watched.refusal = refusal;
        (!is_known).then_some(line)
    }

    /// Clears the gauges of a group that this daemon does not lead any more.
    pub fn stop(&mut self, group: GroupId) {
        if self.groups.remove(&group).is_some() {
            GAUGES.iter().for_each(|(name, _)| set_gauge(name, group, 0));
        }
    }
}

/// The gauges, and what each shows. All are 0 on daemons that do not lead the group, so the highest
/// value of all daemons is the leader's.
const GAUGES: [(&str, fn(&GroupHealth) -> usize); 5] = [
    ("samphireshift_group_voters", |health| health.voters),
    ("samphireshift_group_wished_voters", |health| health.wished_voters),
    ("samphireshift_group_spares", |health| health.spares),
    ("samphireshift_group_losses_borne", |health| health.losses_borne),
    ("samphireshift_group_losses_promised", |health| health.losses_promised),
];

fn set_gauges(group: GroupId, health: &GroupHealth) {
    GAUGES.iter().for_each(|(name, value)| set_gauge(name, group, value(health)));
}

fn set_gauge(name: &'static str, group: GroupId, value: usize) {
    metrics::gauge!(name, "group" => group.to_string()).set(value as f64);
}
