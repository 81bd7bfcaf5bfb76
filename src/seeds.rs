//! The seeds of a daemon that runs: they are read anew when its settings file changes.

use crate::settings::Settings;
use std::fs::Metadata;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tokio::sync::watch;

/// How often a daemon looks whether its settings file has changed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// When a file was written, and its length in bytes.
type FileState = (Option<SystemTime>, u64);

/// The seeds of these settings, kept up with their file as long as the receiver lives. Other settings
/// stay as they were at the start. A file that cannot be used changes nothing.
pub fn follow(settings: &Settings) -> watch::Receiver<Vec<SocketAddr>> {
    let (sender, seeds) = watch::channel(settings.seeds.clone());
    if let Some(path) = settings.file.clone() {
        tokio::spawn(follow_file(path, sender));
    }
    seeds
}

async fn follow_file(path: PathBuf, seeds: watch::Sender<Vec<SocketAddr>>) {
    // The file may have changed since the settings were read at the start.
    let mut read = None;
    while !seeds.is_closed() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let state = file_state(&path);
        if state != read {
            read = state;
            read_seeds(&path, &seeds);
        }
    }
}

/// `None` if there is no such file, which is so for a moment where it is replaced.
fn file_state(path: &Path) -> Option<FileState> {
    let state = |data: Metadata| (data.modified().ok(), data.len());
    std::fs::metadata(path).ok().map(state)
}

fn read_seeds(path: &Path, seeds: &watch::Sender<Vec<SocketAddr>>) {
    let new = match Settings::load(path) {
        Ok(settings) => settings.seeds,
        Err(error) => {
            log::warn!("the settings have changed and cannot be used; the seeds stay: {error}");
            return;
        }
    };
    let changed = seeds.send_if_modified(|old| {
        let differs = *old != new;
        old.clone_from(&new);
        differs
    });
    if changed {
        log::info!(
            "the settings have changed: the seeds are now {new:?}; other changes need a restart"
        );
    }
}
