//! What a daemon knows of the members of each group, handed on from daemon to daemon with their pings.

use crate::consensus::{Member, MemberId, Members};
use crate::group::{GroupId, GroupStatus};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The newest committed membership of a group, and its newest leader, as far as a daemon has heard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupContact {
    /// Term and index of the entry that set the members; the highest one is the newest.
    pub version: (u64, u64),
    /// The members, with their addresses.
    pub members: Members,
    /// The term of `leader`.
    pub term: u64,
    /// The newest leader.
    pub leader: Option<MemberId>,
}

impl GroupContact {
    /// The contact as a member of the group sees it. An uncommitted membership may still be replaced by
    /// an older one, so it is left out.
    fn of(status: &GroupStatus) -> Self {
        let (version, members) = match status.members_committed {
            true => (status.members_version, status.members.clone()),
            false => Default::default(),
        };
        Self { version, members, term: status.term, leader: status.leader }
    }

    /// The leader as a member with its address, if it is one of the known members.
    pub fn leader(&self) -> Option<&Member> {
        self.members.all().find(|member| Some(member.id) == self.leader)
    }

    fn merge(&mut self, other: Self) {
        if other.version > self.version {
            (self.version, self.members) = (other.version, other.members);
        }
        if other.leader.is_some() && (other.term > self.term || self.leader.is_none()) {
            (self.term, self.leader) = (other.term, other.leader);
        }
    }
}

/// The contacts of all groups. Its size grows with the groups and their members, not with the daemons.
///
/// ```
/// use samphireshift::peer::Directory;
/// assert_eq!(Directory::default().digest(), Directory::default().digest());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory(BTreeMap<GroupId, GroupContact>);

impl Directory {
    /// The contact of a group.
    pub fn group(&self, id: GroupId) -> Option<&GroupContact> {
        self.0.get(&id)
    }

    /// The members of all groups; one of several groups comes several times.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.0.values().flat_map(|contact| contact.members.all())
    }

    /// Takes in what this daemon's own member of a group knows.
    pub fn learn(&mut self, id: GroupId, status: &GroupStatus) {
        if status.term > 0 {
            self.0.entry(id).or_default().merge(GroupContact::of(status));
        }
    }

    /// Takes in what is newer in another daemon's directory.
    pub fn merge(&mut self, other: Self) {
        for (id, contact) in other.0 {
            self.0.entry(id).or_default().merge(contact);
        }
    }

    /// Digest of the content: two daemons of one build with the same digest have nothing to tell each other.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        postcard::to_stdvec(self).expect("directories always serialise").hash(&mut hasher);
        hasher.finish()
    }
}

/// The response to a ping that names the digest of the sender's directory.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Greeting {
    /// The identity of the daemon that responds.
    pub identity: super::PeerIdentity,
    /// Its directory, unless the sender has the same.
    pub directory: Option<Directory>,
}
