//! What daemons hand on of the members and leaders of groups.

use rstest::rstest;
use samphireshift::consensus::{Member, MemberId, Members};
use samphireshift::group::{GroupId, GroupStatus};
use samphireshift::name::{DataCentre, VmName};
use samphireshift::peer::Directory;

const GROUP: GroupId = GroupId::Control;

fn member(id: u64) -> Member {
    Member {
        id: MemberId(id),
        vm: VmName::new(format!("m{id}")),
        data_centre: DataCentre::new("dc"),
        address: ([127, 0, 0, id as u8], 1).into(),
        durable: true,
    }
}

/// What one member of the group knows.
#[derive(Debug, Clone, Copy)]
struct Known {
    /// Term and index of the entry that set the members.
    version: (u64, u64),
    committed: bool,
    voters: &'static [u64],
    term: u64,
    leader: Option<u64>,
}

impl Known {
    fn directory(self) -> Directory {
        let mut directory = Directory::default();
        directory.learn(
            GROUP,
            &GroupStatus {
                term: self.term,
                leader: self.leader.map(MemberId),
                members: Members {
                    voters: self.voters.iter().map(|id| member(*id)).collect(),
                    learners: Vec::new(),
                },
                members_version: self.version,
                members_committed: self.committed,
                ..GroupStatus::default()
            },
        );
        directory
    }
}

const OLD: Known =
    Known { version: (1, 9), committed: true, voters: &[1, 2, 3], term: 1, leader: Some(1) };
const NEW: Known =
    Known { version: (2, 7), committed: true, voters: &[2, 3, 4], term: 2, leader: Some(4) };

#[derive(Debug)]
struct Case {
    told: Known,
    /// The members after both were told, in either order.
    members: &'static [u64],
    leader: Option<u64>,
}

/// Guards against a daemon that keeps or spreads members or leaders of before, and so never finds the group.
#[rstest]
#[case::the_newer_wins(Case { told: NEW, members: &[2, 3, 4], leader: Some(4) })]
#[case::a_leader_is_kept_until_there_is_a_new_one(
    Case { told: Known { leader: None, ..NEW }, members: &[2, 3, 4], leader: None }
)]
#[case::a_change_that_is_not_committed_is_not_handed_on(
    Case { told: Known { committed: false, ..NEW }, members: &[1, 2, 3], leader: None }
)]
#[case::a_new_leader_of_the_same_members(
    Case { told: Known { term: 2, leader: Some(3), ..OLD }, members: &[1, 2, 3], leader: Some(3) }
)]
#[case::an_older_term_changes_no_leader(
    Case { told: Known { version: (1, 10), term: 0, ..OLD }, members: &[1, 2, 3], leader: Some(1) }
)]
#[case::the_later_entry_of_a_term(
    Case { told: Known { version: (1, 10), voters: &[1, 2], ..OLD }, members: &[1, 2], leader: Some(1) }
)]
fn directories_agree_in_either_order(#[case] case: Case) {
    let (old, told) = (OLD.directory(), case.told.directory());
    let (mut one, mut other) = (old.clone(), told.clone());
    one.merge(told);
    other.merge(old);
    for directory in [&one, &other] {
        let contact = directory.group(GROUP).expect("the group is known");
        let members: Vec<u64> = directory.members().map(|member| member.id.0).collect();
        assert_eq!(members, case.members);
        assert_eq!(contact.leader().map(|leader| leader.id.0), case.leader);
    }
    assert_eq!(one.digest(), other.digest());
}

/// Guards against pings that carry the members each time, though there is no news.
#[test]
fn daemons_that_know_the_same_have_the_same_digest() {
    assert_eq!(OLD.directory().digest(), OLD.directory().digest());
    assert_ne!(OLD.directory().digest(), NEW.directory().digest());
    let empty = Directory::default();
    let mut of_no_member = Directory::default();
    of_no_member.learn(GROUP, &GroupStatus::default());
    assert_eq!(of_no_member, empty);
}
