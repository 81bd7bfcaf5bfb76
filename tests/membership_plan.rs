//! The choice of the next change of members, case by case.

use rstest::rstest;
use samphireshift::consensus::{Member, MemberId, Members};
use samphireshift::daemon::{KnownVm, MembershipStep, MembershipView};
use samphireshift::name::{DataCentre, VmName};
use std::time::Duration;

const REPLACE_AFTER: Duration = Duration::from_secs(10);

/// `a1d0` is VM `a` in incarnation 1, with a disk, in data centre 0; `s` in place of `d` has none.
fn member(text: &str) -> Member {
    let [vm, incarnation, disk, place] = text.as_bytes() else { panic!("four letters: {text}") };
    Member {
        id: MemberId(u64::from(*vm) * 10 + u64::from(incarnation - b'0')),
        vm: VmName::new((*vm as char).to_string()),
        data_centre: DataCentre::new(format!("dc-{}", *place as char)),
        address: ([127, 0, 0, 1], 1).into(),
        durable: *disk == b'd',
    }
}

fn list(text: &str) -> Vec<Member> {
    text.split_whitespace().map(member).collect()
}

/// The leader is the first voter.
struct Case {
    voters: &'static str,
    learners: &'static str,
    /// Others in reach.
    spares: &'static str,
    /// VMs silent for longer than `REPLACE_AFTER`.
    lost: &'static str,
    caught_up: bool,
    expected: &'static str,
}

#[rstest]
#[case::grows_with_disks_first(Case {
    voters: "a1d0", learners: "", spares: "b1s1 c1d2", lost: "", caught_up: false,
    expected: "add c1d2",
})]
#[case::grows_where_there_are_fewest_voters(Case {
    voters: "a1d0 b1d1", learners: "", spares: "c1d0 d1d1 e1d2", lost: "", caught_up: false,
    expected: "add e1d2",
})]
#[case::waits_for_the_learner(Case {
    voters: "a1d0 b1d1", learners: "c1d2", spares: "d1d2", lost: "", caught_up: false,
    expected: "",
})]
#[case::promotes_the_learner(Case {
    voters: "a1d0 b1d1", learners: "c1d2", spares: "", lost: "", caught_up: true,
    expected: "promote c1d2",
})]
#[case::drops_a_lost_learner(Case {
    voters: "a1d0 b1d1", learners: "c1d2", spares: "d1d2", lost: "c", caught_up: true,
    expected: "remove c1d2",
})]
#[case::is_content(Case {
    voters: "a1d0 b1d1 c1d2", learners: "", spares: "d1d0 e1s1", lost: "", caught_up: false,
    expected: "",
})]
#[case::replaces_a_lost_voter(Case {
    voters: "a1d0 b1d1 c1d2", learners: "", spares: "d1d0 e1d2", lost: "c", caught_up: false,
    expected: "add e1d2",
})]
#[case::removes_the_lost_voter_last(Case {
    voters: "a1d0 b1d1 c1d2 e1d2", learners: "", spares: "d1d0", lost: "c", caught_up: false,
    expected: "remove c1d2",
})]
#[case::keeps_a_lost_voter_without_a_spare(Case {
    voters: "a1d0 b1d1 c1d2", learners: "", spares: "", lost: "c", caught_up: false,
    expected: "",
})]
#[case::a_vm_that_lost_its_disk_comes_back_as_a_new_member(Case {
    voters: "a1d0 b1d1 c1d2", learners: "", spares: "c2d2", lost: "", caught_up: false,
    expected: "add c2d2",
})]
#[case::its_old_incarnation_is_removed(Case {
    voters: "a1d0 b1d1 c1d2 c2d2", learners: "", spares: "", lost: "", caught_up: false,
    expected: "remove c1d2",
})]
#[case::a_stand_in_where_disks_are_too_few(Case {
    voters: "a1d0 b1d1 c1d2", learners: "", spares: "e1s2", lost: "c", caught_up: false,
    expected: "add e1s2",
})]
#[case::no_stand_in_beside_a_single_disk(Case {
    voters: "a1d0", learners: "", spares: "e1s2", lost: "", caught_up: false, expected: "",
})]
#[case::a_stand_in_may_vote_as_one_of_three(Case {
    voters: "a1d0 b1d1", learners: "e1s2", spares: "", lost: "", caught_up: true,
    expected: "promote e1s2",
})]
#[case::no_second_stand_in_of_three(Case {
    voters: "a1d0 b1d1 e1s2", learners: "", spares: "f1s1", lost: "b", caught_up: false,
    expected: "",
})]
#[case::a_disk_takes_a_stand_in_s_place(Case {
    voters: "a1d0 b1d1 e1s2", learners: "", spares: "c1d2", lost: "", caught_up: false,
    expected: "add c1d2",
})]
#[case::the_stand_in_goes(Case {
    voters: "a1d0 b1d1 e1s2 c1d2", learners: "", spares: "", lost: "", caught_up: false,
    expected: "remove e1s2",
})]
#[case::spreads_over_data_centres(Case {
    voters: "a1d0 b1d1 c1d1", learners: "", spares: "d1d2", lost: "", caught_up: false,
    expected: "add d1d2",
})]
#[case::the_crowded_data_centre_gives_one_up(Case {
    voters: "a1d0 b1d1 c1d1 d1d2", learners: "", spares: "", lost: "", caught_up: false,
    expected: "remove c1d1",
})]
#[case::no_promotion_that_leaves_no_living_quorum(Case {
    voters: "a1d0 b1d1 c1d2", learners: "d1d0", spares: "", lost: "b c", caught_up: true,
    expected: "",
})]
#[case::two_lost_of_five_are_removed_without_a_spare(Case {
    voters: "a1d0 b1d1 c1d2 d1d0 e1d1", learners: "", spares: "", lost: "d e", caught_up: false,
    expected: "remove d1d0",
})]
fn the_next_step(#[case] case: Case) {
    let members = Members { voters: list(case.voters), learners: list(case.learners) };
    let silent = |m: &Member| match case.lost.split_whitespace().any(|vm| *m.vm.to_string() == *vm)
    {
        true => REPLACE_AFTER,
        false => Duration::ZERO,
    };
    let spares = list(case.spares);
    let seen: Vec<_> = members
        .all()
        .chain(&spares)
        .map(|m| KnownVm { member: m.clone(), joined: true, silent_for: silent(m) })
        .collect();
    let caught_up: Vec<_> =
        members.learners.iter().filter(|_| case.caught_up).map(|m| m.id).collect();
    let view = MembershipView {
        leader: members.voters[0].id,
        members: &members,
        caught_up: &caught_up,
        known_vms: &seen,
        target_voters: if members.voters.len() == 5 { 5 } else { 3 },
        replace_after: REPLACE_AFTER,
    };
    let expected = case.expected.split_once(' ').map(|(verb, text)| match verb {
        "add" => MembershipStep::Add(member(text)),
        "promote" => MembershipStep::Promote(member(text)),
        _ => MembershipStep::Remove(member(text)),
    });
    assert_eq!(view.next_step(), expected);
}
