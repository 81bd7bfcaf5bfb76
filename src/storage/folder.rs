use super::group_store::LOG_FILE;
use super::{GroupStore, RecoveredState, StorageError, StoredIdentity};
use crate::name::VmName;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

const IDENTITY_FILE: &str = "identity.json";

/// The data folder of a daemon.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    identity: StoredIdentity,
}

impl DataFolder {
    /// Opens the folder and reads its identity. If there is none, creates and syncs a new one.
    ///
    /// # Errors
    /// If the folder cannot be written or belongs to another VM.
    pub fn open(path: &Path, vm: &VmName) -> Result<Self, StorageError> {
        fs::create_dir_all(path).map_err(|cause| StorageError::io(path, cause))?;
        let file = path.join(IDENTITY_FILE);
        if !file.exists() {
            let incarnation = rand::random::<u64>().max(1);
            let identity = StoredIdentity { vm: vm.clone(), incarnation, cluster: None };
            replace_file(path, IDENTITY_FILE, &encode_identity(&identity))?;
        }
        let bytes = fs::read(&file).map_err(|cause| StorageError::io(&file, cause))?;
        let parsed = serde_json::from_slice::<StoredIdentity>(&bytes);
        let identity =
            parsed.map_err(|_| StorageError::Corrupt { path: file.clone(), offset: 0 })?;
        if identity.vm != *vm {
            let (found, expected) = (identity.vm.to_string(), vm.to_string());
            return Err(StorageError::WrongVm { path: path.to_path_buf(), found, expected });
        }
        Ok(Self { path: path.to_path_buf(), identity })
    }

    /// The identity stored in the folder.
    pub fn identity(&self) -> &StoredIdentity {
        &self.identity
    }

    /// Stores the id of the cluster that this VM belongs to.
    ///
    /// # Errors
    /// If the folder cannot be written.
    pub fn set_cluster(&mut self, cluster: u128) -> Result<(), StorageError> {
        self.identity.cluster = Some(cluster);
        replace_file(&self.path, IDENTITY_FILE, &encode_identity(&self.identity))
    }

    /// Opens the durable state of a consensus group.
    ///
    /// # Errors
    /// If files cannot be read, are corrupt, or are missing although the VM belongs to a cluster.
    pub fn open_group(&self, name: &str) -> Result<(GroupStore, RecoveredState), StorageError> {
        let folder = self.path.join(name);
        let log = folder.join(LOG_FILE);
        // With an empty log, a member that has already voted could vote again in the same term.
        if self.identity.cluster.is_some() && !log.exists() {
            return Err(StorageError::Missing { path: log });
        }
        GroupStore::open(&folder)
    }
}

fn encode_identity(identity: &StoredIdentity) -> Vec<u8> {
    serde_json::to_vec_pretty(identity).expect("an identity is always valid JSON")
}

/// Replaces a file atomically: after a crash it holds either the old or the new contents, complete.
///
/// # Errors
/// [`StorageError::NotWritten`] if the old file is unchanged, any other error if it may have been
/// replaced.
pub fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
    let target = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let written = (|| {
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()
    })();
    if let Err(cause) = written {
        return Err(StorageError::NotWritten { path: target, cause });
    }
    let renamed = fs::rename(&temporary, &target).and_then(|()| File::open(folder)?.sync_all());
    renamed.map_err(|cause| StorageError::io(&target, cause))
}
