use super::Directory;
use crate::group::{GroupId, GroupStatus};
use std::sync::RwLock;
use tokio::sync::Notify;

/// A directory, and the cluster whose groups it tells of; none while nothing was told.
#[derive(Debug, Default)]
struct ClusterDirectory {
    cluster: Option<u128>,
    directory: Directory,
}

/// This daemon's directory of groups, shared by its links, and a wake-up for the task that opens links.
#[derive(Debug, Default)]
pub struct KnownGroups {
    known: RwLock<ClusterDirectory>,
    news: Notify,
}

impl KnownGroups {
    /// The directory as it is now.
    pub fn directory(&self) -> Directory {
        self.known.read().expect("directory lock poisoned").directory.clone()
    }

    /// Digest of the directory.
    pub fn digest(&self) -> u64 {
        self.known.read().expect("directory lock poisoned").directory.digest()
    }

    /// Takes in what this daemon's own member of a group knows.
    pub fn learn(&self, id: GroupId, status: &GroupStatus) {
        self.known.write().expect("directory lock poisoned").directory.learn(id, status);
    }

    /// Records which cluster this daemon belongs to. What was told of another one is forgotten.
    pub fn enter(&self, cluster: u128) {
        let mut known = self.known.write().expect("directory lock poisoned");
        if known.cluster != Some(cluster) {
            *known = ClusterDirectory { cluster: Some(cluster), directory: Directory::default() };
        }
    }

    /// Takes in the directory of a daemon of `cluster`; nothing if this daemon belongs to another one, has
    /// first heard of another one, or the other daemon belongs to none yet.
    pub fn merge(&self, cluster: Option<u128>, other: Directory) {
        let mut known = self.known.write().expect("directory lock poisoned");
        if cluster.is_none() || known.cluster.is_some_and(|own| Some(own) != cluster) {
            return;
        }
        let before = known.directory.clone();
        known.cluster = cluster;
        known.directory.merge(other);
        if known.directory != before {
            self.news.notify_one();
        }
    }

    /// Wakes who waits in [`Self::wait`], because this daemon has connected to a peer.
    pub fn wake(&self) {
        self.news.notify_one();
    }

    /// Waits until another daemon has told something new, or a link has connected.
    pub async fn wait(&self) {
        self.news.notified().await;
    }
}
