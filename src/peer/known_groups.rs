use super::Directory;
use crate::group::{GroupId, GroupStatus};
use std::sync::RwLock;
use tokio::sync::Notify;

/// This daemon's directory of groups, shared by its links, and a wake-up for the task that opens links.
#[derive(Debug, Default)]
pub struct KnownGroups {
    directory: RwLock<Directory>,
    news: Notify,
}

impl KnownGroups {
    /// The directory as it is now.
    pub fn directory(&self) -> Directory {
        self.directory.read().expect("directory lock poisoned").clone()
    }

    /// Digest of the directory.
    pub fn digest(&self) -> u64 {
        self.directory.read().expect("directory lock poisoned").digest()
    }

    /// Takes in what this daemon's own member of a group knows.
    pub fn learn(&self, id: GroupId, status: &GroupStatus) {
        self.directory.write().expect("directory lock poisoned").learn(id, status);
    }

    /// Takes in the directory of another daemon.
    pub fn merge(&self, other: Directory) {
        let mut directory = self.directory.write().expect("directory lock poisoned");
        let before = directory.clone();
        directory.merge(other);
        if *directory != before {
            self.news.notify_one();
        }
    }

    /// Wakes who waits in [`Self::wait`], because a peer has connected.
    pub fn wake(&self) {
        self.news.notify_one();
    }

    /// Waits until another daemon has told something new, or one has connected.
    pub async fn wait(&self) {
        self.news.notified().await;
    }
}
