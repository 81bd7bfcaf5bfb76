//! Replacement of voters that die or lose their disk, with real daemon processes.

mod env;

use env::fleet::await_until;
use env::{Fleet, FleetSpec, ticket};
use serde_json::Value;
use std::collections::BTreeSet;

fn plan(disks: &[bool]) -> FleetSpec {
    let mut plan = FleetSpec { durable: disks.to_vec(), ..FleetSpec::default() };
    plan.settings.push(("consensus", "replace_after", "1s"));
    plan
}

/// Which daemon's view of a group is used.
#[derive(Clone, Copy, PartialEq)]
enum GroupViewSource {
    /// The view of the leader of the group.
    Leader,
    /// The view of the daemon that answers the call; it has one only as a member of the group.
    AskedDaemon,
}

/// The groups with three voters, none of them in `lost`, and no learner.
async fn complete_groups(
    fleet: &Fleet,
    at: usize,
    view: GroupViewSource,
    lost: &[String],
) -> BTreeSet<String> {
    let status = fleet.operate(at, "GET", "/v1/status", &Value::Null).await.json();
    let mut complete = BTreeSet::new();
    for daemon in status["daemons"].as_array().into_iter().flatten() {
        let own = daemon["vm"] == fleet.daemons[at].name.as_str();
        for group in daemon["groups"].as_array().into_iter().flatten() {
            let counts =
                if view == GroupViewSource::AskedDaemon { own } else { group["leading"] == true };
            let names: Vec<_> = group["voters"].as_array().into_iter().flatten().collect();
            let has_lost = names.iter().any(|name| lost.iter().any(|lost| **name == lost.as_str()));
            let has_learner = group["learners"].as_array().is_some_and(|l| !l.is_empty());
            if counts && names.len() == 3 && !has_lost && !has_learner {
                complete.insert(group["group"].to_string());
            }
        }
    }
    complete
}

/// Waits until the control group and the ledger group have three voters each.
async fn await_three_voters(fleet: &Fleet, at: usize, view: GroupViewSource, lost: &[String]) {
    await_until(&format!("three voters without {lost:?}"), async || {
        complete_groups(fleet, at, view, lost).await.len() == 2
    })
    .await;
}

async fn assert_ticket_kept(fleet: &Fleet, at: usize, number: u64) {
    await_until("the accepted ticket is still readable", async || {
        let path = format!("/v1/tickets/{number}");
        fleet.operate(at, "GET", &path, &Value::Null).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_voter_lost_right_after_the_first_is_replaced_loses_no_data() {
    let mut fleet = Fleet::start(&plan(&[true, true, true, true, true])).await;
    fleet.apply(&ticket::initial(1)).await;
    let mut lost = Vec::new();
    // Kills the second voter as soon as the first has been replaced.
    for i in [0, 2] {
        await_three_voters(&fleet, 4, GroupViewSource::Leader, &lost).await;
        fleet.daemons[i].process.kill();
        lost.push(fleet.daemons[i].name.clone());
    }
    await_three_voters(&fleet, 4, GroupViewSource::Leader, &lost).await;
    assert_ticket_kept(&fleet, 4, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_with_a_lost_data_folder_rejoins_as_a_new_member() {
    let mut fleet = Fleet::start(&plan(&[true, true, true])).await;
    fleet.apply(&ticket::initial(1)).await;
    await_three_voters(&fleet, 0, GroupViewSource::Leader, &[]).await;
    fleet.daemons[1].process.kill();
    std::fs::remove_dir_all(fleet.daemons[1].folder.as_ref().unwrap()).unwrap();
    fleet.restart(1);
    await_three_voters(&fleet, 1, GroupViewSource::AskedDaemon, &[]).await;
    fleet.daemons[0].process.kill();
    assert_ticket_kept(&fleet, 1, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_all_daemons_at_once_keeps_the_state() {
    let mut fleet = Fleet::start(&plan(&[true, true, true])).await;
    fleet.apply(&ticket::initial(1)).await;
    await_three_voters(&fleet, 0, GroupViewSource::Leader, &[]).await;
    (0..3).for_each(|i| fleet.daemons[i].process.kill());
    (0..3).for_each(|i| fleet.restart(i));
    fleet.await_ready().await;
    assert_ticket_kept(&fleet, 2, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_voters_with_disks_and_a_diskless_one_survive_a_death() {
    let mut fleet = Fleet::start(&plan(&[true, true, false])).await;
    fleet.apply(&ticket::initial(1)).await;
    await_three_voters(&fleet, 2, GroupViewSource::Leader, &[]).await;
    fleet.daemons[0].process.kill();
    assert_ticket_kept(&fleet, 2, 1).await;
}
