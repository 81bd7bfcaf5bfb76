//! Voters lost, emptied and replaced, with real daemons.

mod env;

use env::fleet::await_until;
use env::{Fleet, Plan, ticket};
use serde_json::Value;
use std::collections::BTreeSet;

fn plan(disks: &[bool]) -> Plan {
    let mut plan = Plan { disks: disks.to_vec(), ..Plan::default() };
    plan.settings.push(("consensus", "replace_after", "1s"));
    plan
}

/// Whose view of a group counts.
#[derive(Clone, Copy, PartialEq)]
enum View {
    /// That of the group's leader.
    Leader,
    /// That of the daemon that is asked; it has one only as a member.
    Own,
}

/// The groups with three voters and no learner, none of the voters lost.
async fn settled(fleet: &Fleet, at: usize, view: View, lost: &[String]) -> BTreeSet<String> {
    let status = fleet.operate(at, "GET", "/v1/status", &Value::Null).await.json();
    let mut found = BTreeSet::new();
    for daemon in status["daemons"].as_array().into_iter().flatten() {
        let own = daemon["vm"] == fleet.daemons[at].name.as_str();
        for group in daemon["groups"].as_array().into_iter().flatten() {
            let counts = if view == View::Own { own } else { group["leading"] == true };
            let names: Vec<_> = group["voters"].as_array().into_iter().flatten().collect();
            let gone = names.iter().any(|name| lost.iter().any(|lost| **name == lost.as_str()));
            let learns = group["learners"].as_array().is_some_and(|l| !l.is_empty());
            if counts && names.len() == 3 && !gone && !learns {
                found.insert(group["group"].to_string());
            }
        }
    }
    found
}

/// Waits until both groups are settled.
async fn await_three(fleet: &Fleet, at: usize, view: View, lost: &[String]) {
    await_until(&format!("three voters without {lost:?}"), async || {
        settled(fleet, at, view, lost).await.len() == 2
    })
    .await;
}

async fn assert_kept(fleet: &Fleet, at: usize, number: u64) {
    await_until("the accepted ticket", async || {
        let path = format!("/v1/tickets/{number}");
        fleet.operate(at, "GET", &path, &Value::Null).await.status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_voter_is_replaced_and_a_second_loss_right_after_loses_nothing() {
    let mut fleet = Fleet::start(&plan(&[true, true, true, true, true])).await;
    fleet.apply(&ticket::first(1)).await;
    let mut lost = Vec::new();
    // The second is lost as soon as the repair after the first is seen.
    for i in [0, 2] {
        await_three(&fleet, 4, View::Leader, &lost).await;
        fleet.daemons[i].process.kill();
        lost.push(fleet.daemons[i].name.clone());
    }
    await_three(&fleet, 4, View::Leader, &lost).await;
    assert_kept(&fleet, 4, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_emptied_data_folder_comes_back_as_a_new_member() {
    let mut fleet = Fleet::start(&plan(&[true, true, true])).await;
    fleet.apply(&ticket::first(1)).await;
    await_three(&fleet, 0, View::Leader, &[]).await;
    fleet.daemons[1].process.kill();
    std::fs::remove_dir_all(fleet.daemons[1].folder.as_ref().unwrap()).unwrap();
    fleet.restart(1);
    await_three(&fleet, 1, View::Own, &[]).await;
    fleet.daemons[0].process.kill();
    assert_kept(&fleet, 1, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_of_all_at_once_keeps_everything() {
    let mut fleet = Fleet::start(&plan(&[true, true, true])).await;
    fleet.apply(&ticket::first(1)).await;
    await_three(&fleet, 0, View::Leader, &[]).await;
    (0..3).for_each(|i| fleet.daemons[i].process.kill());
    (0..3).for_each(|i| fleet.restart(i));
    fleet.await_ready().await;
    assert_kept(&fleet, 2, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_disks_and_a_stand_in_survive_a_death() {
    let mut fleet = Fleet::start(&plan(&[true, true, false])).await;
    fleet.apply(&ticket::first(1)).await;
    await_three(&fleet, 2, View::Leader, &[]).await;
    fleet.daemons[0].process.kill();
    assert_kept(&fleet, 2, 1).await;
}
