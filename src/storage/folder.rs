use super::group_store::LOG_FILE;
use super::{GroupStore, Identity, Recovered, StorageError};
use crate::name::VmName;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

const IDENTITY_FILE: &str = "identity.json";

/// The data folder of one daemon.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    identity: Identity,
}

impl DataFolder {
    /// Opens the folder, making and syncing an identity where there is none.
    ///
    /// # Errors
    /// Where the folder cannot be written or belongs to another VM.
    pub fn open(path: &Path, vm: &VmName) -> Result<Self, StorageError> {
        fs::create_dir_all(path).map_err(|cause| StorageError::io(path, cause))?;
        let file = path.join(IDENTITY_FILE);
        if !file.exists() {
            let incarnation = rand::random::<u64>().max(1);
            let identity = Identity { vm: vm.clone(), incarnation, cluster: None };
            write_synced(path, IDENTITY_FILE, &encode(&identity))?;
        }
        let bytes = fs::read(&file).map_err(|cause| StorageError::io(&file, cause))?;
        let parsed = serde_json::from_slice::<Identity>(&bytes);
        let identity =
            parsed.map_err(|_| StorageError::Damaged { path: file.clone(), offset: 0 })?;
        if identity.vm != *vm {
            let (found, wanted) = (identity.vm.to_string(), vm.to_string());
            return Err(StorageError::WrongVm { path: path.to_path_buf(), found, wanted });
        }
        Ok(Self { path: path.to_path_buf(), identity })
    }

    /// Who the folder belongs to.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Records the cluster durably.
    ///
    /// # Errors
    /// Where the folder cannot be written.
    pub fn join(&mut self, cluster: u128) -> Result<(), StorageError> {
        self.identity.cluster = Some(cluster);
        write_synced(&self.path, IDENTITY_FILE, &encode(&self.identity))
    }

    /// Opens the durable state of one group.
    ///
    /// # Errors
    /// Where files cannot be read, are damaged, or are gone although the VM belongs to a cluster.
    pub fn group(&self, name: &str) -> Result<(GroupStore, Recovered), StorageError> {
        let folder = self.path.join(name);
        let log = folder.join(LOG_FILE);
        // An empty log under an identity that may have voted would vote anew.
        if self.identity.cluster.is_some() && !log.exists() {
            return Err(StorageError::Missing { path: log });
        }
        GroupStore::open(&folder)
    }
}

fn encode(identity: &Identity) -> Vec<u8> {
    serde_json::to_vec_pretty(identity).expect("an identity is always valid JSON")
}

/// Replaces a file so that after a crash either the old or the new contents stand, whole.
///
/// # Errors
/// [`StorageError::NotWritten`] where the old file is untouched, any other I/O error behind that.
pub fn write_synced(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), StorageError> {
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
    let tried = fs::rename(&temporary, &target).and_then(|()| File::open(folder)?.sync_all());
    tried.map_err(|cause| StorageError::io(&target, cause))
}
