//! Table test of the report that a leader gives of its group, and of the lines that come of it.

use rstest::rstest;
use samphireshift::consensus::{Member, MemberId, Members, ProposeError};
use samphireshift::daemon::{
    GroupHealth, HealthWatch, KnownVm, MembershipPlan, MembershipStep, MembershipView,
};
use samphireshift::group::GroupId;
use samphireshift::name::{DataCentre, VmName};
use std::time::Duration;

const REPLACE_AFTER: Duration = Duration::from_secs(10);
/// Long enough not to count as live, too short to be replaced.
const SILENT: Duration = Duration::from_secs(2);

/// Member `a` to `z`; small letters have a disk, capitals have none.
fn member(letter: char) -> Member {
    Member {
        id: MemberId(u64::from(letter)),
        vm: VmName::new(letter.to_string()),
        data_centre: DataCentre::new("dc-0"),
        address: ([127, 0, 0, 1], letter as u16).into(),
        durable: letter.is_ascii_lowercase(),
    }
}

fn member_list(letters: &str) -> Vec<Member> {
    letters.chars().map(member).collect()
}

/// What a leader sees, a letter a member; the leader is the first voter.
#[derive(Clone, Copy)]
struct Sight {
    voters: &'static str,
    learners: &'static str,
    /// VMs that are no members.
    others: &'static str,
    /// Without contact for `SILENT`.
    silent: &'static str,
    /// Without contact for `REPLACE_AFTER`.
    lost: &'static str,
    /// Without a connection, though they may have been heard from just now.
    unconnected: &'static str,
    /// Voters that have said that they end.
    leaving: &'static str,
    target: usize,
}

const THREE: Sight = Sight {
    voters: "abc",
    learners: "",
    others: "",
    silent: "",
    lost: "",
    unconnected: "",
    leaving: "",
    target: 3,
};
const FIVE: Sight = Sight { voters: "abcde", target: 5, ..THREE };

impl Sight {
    fn health(&self) -> GroupHealth {
        let (voters, learners) = (member_list(self.voters), member_list(self.learners));
        let members = Members { voters, learners };
        let known = |m: &Member| {
            let is_in = |letters: &str| letters.contains(m.vm.as_str());
            let silent_for = match (is_in(self.lost), is_in(self.silent)) {
                (true, _) => REPLACE_AFTER,
                (_, true) => SILENT,
                _ => Duration::ZERO,
            };
            let available = !is_in(self.unconnected);
            KnownVm { member: m.clone(), available, silent_for, leaving: is_in(self.leaving) }
        };
        let others = member_list(self.others);
        let known_vms: Vec<_> = members.all().chain(&others).map(known).collect();
        GroupHealth::of(&MembershipView {
            leader: members.voters[0].id,
            members: &members,
            caught_up: &[],
            known_vms: &known_vms,
            target_voters: self.target,
            replace_after: REPLACE_AFTER,
        })
    }
}

struct Case {
    sight: Sight,
    live: usize,
    spares: usize,
    borne: usize,
    promised: usize,
    /// The voters that are reported as silent.
    silent: &'static str,
    plan: MembershipPlan,
}

/// Guards against a group that is smaller than promised and looks sound, and a sound one that alarms.
#[rstest]
#[case::sound(Case {
    sight: THREE, live: 3, spares: 0, borne: 1, promised: 1, silent: "", plan: MembershipPlan::Complete,
})]
#[case::sound_with_spares(Case {
    sight: Sight { others: "xy", ..FIVE },
    live: 5, spares: 2, borne: 2, promised: 2, silent: "", plan: MembershipPlan::Complete,
})]
#[case::just_founded(Case {
    sight: Sight { voters: "a", ..THREE },
    live: 1, spares: 0, borne: 0, promised: 1, silent: "", plan: MembershipPlan::NoSpare,
})]
#[case::a_single_voter_by_the_settings(Case {
    sight: Sight { voters: "a", target: 1, ..THREE },
    live: 1, spares: 0, borne: 0, promised: 0, silent: "", plan: MembershipPlan::Complete,
})]
#[case::grows(Case {
    sight: Sight { voters: "ab", others: "c", ..THREE },
    live: 2, spares: 1, borne: 0, promised: 1, silent: "",
    plan: MembershipPlan::Step(MembershipStep::Add(member('c'))),
})]
#[case::a_voter_is_silent_for_a_moment(Case {
    sight: Sight { silent: "c", others: "x", ..THREE },
    live: 2, spares: 1, borne: 0, promised: 1, silent: "c", plan: MembershipPlan::AwaitSilent,
})]
#[case::a_lost_voter_has_a_successor(Case {
    sight: Sight { lost: "c", others: "x", ..THREE },
    live: 2, spares: 1, borne: 0, promised: 1, silent: "c",
    plan: MembershipPlan::Step(MembershipStep::Add(member('x'))),
})]
#[case::a_lost_voter_has_none(Case {
    sight: Sight { lost: "c", ..THREE },
    live: 2, spares: 0, borne: 0, promised: 1, silent: "c", plan: MembershipPlan::NoSpare,
})]
#[case::a_spare_without_a_connection_is_none(Case {
    sight: Sight { lost: "c", others: "x", unconnected: "x", ..THREE },
    live: 2, spares: 0, borne: 0, promised: 1, silent: "c", plan: MembershipPlan::NoSpare,
})]
#[case::the_learner_is_awaited(Case {
    sight: Sight { lost: "c", learners: "x", others: "y", ..THREE },
    live: 2, spares: 1, borne: 0, promised: 1, silent: "c",
    plan: MembershipPlan::AwaitLearner(VmName::new("x")),
})]
#[case::a_voter_leaves_and_nobody_can_take_its_place(Case {
    sight: Sight { leaving: "b", ..THREE },
    live: 3, spares: 0, borne: 1, promised: 1, silent: "", plan: MembershipPlan::NoSpare,
})]
#[case::a_new_leader_counts_no_voter_that_it_is_not_connected_to(Case {
    sight: Sight { unconnected: "b", ..THREE },
    live: 2, spares: 0, borne: 0, promised: 1, silent: "b", plan: MembershipPlan::AwaitSilent,
})]
#[case::two_of_five_are_lost_at_once(Case {
    sight: Sight { lost: "de", others: "x", ..FIVE },
    live: 3, spares: 1, borne: 0, promised: 2, silent: "de",
    plan: MembershipPlan::Step(MembershipStep::Add(member('x'))),
})]
#[case::three_are_left_of_five(Case {
    sight: Sight { voters: "abc", target: 5, ..FIVE },
    live: 3, spares: 0, borne: 1, promised: 2, silent: "", plan: MembershipPlan::NoSpare,
})]
#[case::without_a_majority(Case {
    sight: Sight { lost: "bc", ..THREE },
    live: 1, spares: 0, borne: 0, promised: 1, silent: "bc", plan: MembershipPlan::NoSpare,
})]
#[case::one_of_two_lost_among_four_is_removed(Case {
    sight: Sight { voters: "abcd", lost: "cd", ..THREE },
    live: 2, spares: 0, borne: 0, promised: 1, silent: "cd",
    plan: MembershipPlan::Step(MembershipStep::Remove(member('c'))),
})]
#[case::a_removal_that_would_leave_too_few_disks(Case {
    sight: Sight { voters: "abcXY", lost: "c", target: 4, ..THREE },
    live: 4, spares: 0, borne: 1, promised: 1, silent: "c",
    plan: MembershipPlan::Unsafe(MembershipStep::Remove(member('c'))),
})]
fn health_of_a_group(#[case] case: Case) {
    let health = case.sight.health();
    let silent: String = health.silent_voters.iter().map(|voter| voter.vm.as_str()).collect();
    assert_eq!(health.plan, case.plan);
    assert_eq!(
        (health.live_voters, health.spares, health.losses_borne, health.losses_promised),
        (case.live, case.spares, case.borne, case.promised)
    );
    assert_eq!(silent, case.silent);
    assert_eq!(health.voters, case.sight.voters.len());
    assert_eq!(health.wished_voters, case.sight.target);
}

struct Change {
    before: Option<Sight>,
    now: Sight,
    lines: &'static [&'static str],
}

/// Guards against a change that leaves no line, and against lines that come with every check.
#[rstest]
#[case::the_first_report_tells_all(Change {
    before: None, now: Sight { voters: "ab", target: 2, ..THREE },
    lines: &[
        "a (127.0.0.1:97, a voter) is known to the leader",
        "b (127.0.0.1:98, a voter) is known to the leader",
        "2 of 2 wished voters, 2 live, spares seen: 0; losses borne: 0, promised: 0; silent voters: none",
        "no step: nothing is to be done",
    ],
})]
#[case::nothing_new(Change { before: Some(THREE), now: THREE, lines: &[] })]
#[case::a_voter_is_lost(Change {
    before: Some(THREE), now: Sight { silent: "c", ..THREE },
    lines: &[
        "c (127.0.0.1:99, a voter) is lost to the leader",
        "3 of 3 wished voters, 2 live, spares seen: 0; losses borne: 0, promised: 1; silent voters: c for 2.0 s",
        "no step: a voter is silent, not yet for long enough",
    ],
})]
#[case::it_is_still_lost(Change {
    before: Some(Sight { silent: "c", ..THREE }), now: Sight { lost: "c", ..THREE },
    lines: &["no step: voters are missing, and no spare is seen"],
})]
#[case::a_spare_comes(Change {
    before: Some(Sight { lost: "c", ..THREE }), now: Sight { lost: "c", others: "x", ..THREE },
    lines: &[
        "x (127.0.0.1:120, no voter) is known to the leader",
        "3 of 3 wished voters, 2 live, spares seen: 1; losses borne: 0, promised: 1; silent voters: c for 10.0 s",
        "step planned: add x as a learner",
    ],
})]
#[case::the_learner_is_awaited(Change {
    before: Some(Sight { lost: "c", others: "x", ..THREE }),
    now: Sight { lost: "c", learners: "x", ..THREE },
    lines: &[
        "3 of 3 wished voters, 2 live, spares seen: 0; losses borne: 0, promised: 1; silent voters: c for 10.0 s",
        "no step: the learner x has not caught up yet",
    ],
})]
fn lines_for_a_change(#[case] change: Change) {
    let before = change.before.map(|sight| sight.health());
    assert_eq!(change.now.health().changes_since(before.as_ref()), change.lines);
}

/// Guards against a step that consensus refuses unseen, and against a line for each time that it is tried.
#[test]
fn a_refusal_is_told_once_until_the_step_or_the_reason_changes() {
    let mut watch = HealthWatch::default();
    watch.report(GroupId::Control, THREE.health());
    let (add, remove) = (MembershipStep::Add(member('x')), MembershipStep::Remove(member('c')));
    let (pending, lost) = (Err(ProposeError::ChangePending), Err(ProposeError::NotLeader));
    let told = [
        (&add, pending, Some("step refused: add x as a learner: an earlier change is not")),
        (&add, pending, None),
        (&remove, pending, Some("step refused: remove c: an earlier change is not")),
        (&remove, lost, Some("step refused: remove c: this member is not the leader")),
        (&remove, lost, None),
        (&remove, Ok(()), Some("step taken: remove c")),
        (&remove, lost, Some("step refused: remove c: this member is not the leader")),
    ];
    for (step, outcome, expected) in told {
        let line = watch.outcome_line(GroupId::Control, step, outcome);
        let starts = |start: &str| line.as_ref().is_some_and(|line| line.starts_with(start));
        assert!(expected.map_or(line.is_none(), starts), "{line:?} instead of {expected:?}");
        watch.report(GroupId::Control, THREE.health());
    }
}
