use super::{
    ApplyError, Chunk, ConfigEntry, ConfigKey, ConfigSet, EntrySet, Position, Receiver,
    TransferError, config_entries, config_from_entries,
};
use crate::control::Config;
use crate::name::VmName;
use crate::vms::{Vm, VmState};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// The entries of a VM list.
pub type VmSet = EntrySet<VmName, Vm>;

/// The configuration and the VM list as a router holds them, with the transfers under way.
#[derive(Debug)]
pub struct RouterState {
    config: Received<ConfigKey, ConfigEntry>,
    vms: Received<VmName, Vm>,
}

#[derive(Debug)]
struct Received<K, E> {
    set: EntrySet<K, E>,
    receiver: Receiver,
}

impl Default for RouterState {
    fn default() -> Self {
        Self {
            config: Received {
                set: ConfigSet::new(ConfigEntry::key),
                receiver: Receiver::default(),
            },
            vms: Received {
                set: VmSet::new(|vm: &Vm| vm.name.clone()),
                receiver: Receiver::default(),
            },
        }
    }
}

impl RouterState {
    /// Where to read on in the log of the configuration.
    pub fn config_position(&self) -> Position {
        self.config.position()
    }

    /// Where to read on in the log of the VM list.
    pub fn vms_position(&self) -> Position {
        self.vms.position()
    }

    /// Whether a part of a transfer has been received.
    pub fn is_receiving(&self) -> bool {
        self.config.receiver.is_receiving() || self.vms.receiver.is_receiving()
    }

    /// Adds a chunk of the configuration, or `None` if the leader has nothing that this router
    /// lacks. Returns the configuration if it has changed.
    ///
    /// # Errors
    /// If the transfer is not usable. The next request then starts it again.
    pub fn receive_config(
        &mut self,
        chunk: Option<&Chunk>,
    ) -> Result<Option<Arc<Config>>, ReceiveError> {
        let changed = self.config.receive(chunk)?;
        Ok(changed.then(|| Arc::new(config_from_entries(&self.config.set))))
    }

    /// Replaces the configuration by a whole one, as received from a leader that sends no changes.
    /// Returns it as a router holds it.
    pub fn replace_config(&mut self, config: &Config) -> Config {
        self.config.receiver.reset();
        self.config.set.replace(config_entries(config, true), |_| true);
        config_from_entries(&self.config.set)
    }

    /// Adds a chunk of the VM list, or `None` if the leader has nothing that this router lacks.
    /// Returns the VMs if they have changed.
    ///
    /// # Errors
    /// If the transfer is not usable. The next request then starts it again.
    pub fn receive_vms(&mut self, chunk: Option<&Chunk>) -> Result<Option<Vec<Vm>>, ReceiveError> {
        let changed = self.vms.receive(chunk)?;
        Ok(changed.then(|| self.vms.set.entries().cloned().collect()))
    }

    /// Replaces the VM list by a whole one, as received from a leader that sends no changes.
    pub fn replace_vms(&mut self, vms: &[Vm]) {
        self.vms.receiver.reset();
        let live = vms.iter().filter(|vm| vm.state == VmState::Live).cloned();
        self.vms.set.replace(live, |_| true);
    }
}

/// Why a router could not use a chunk.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReceiveError {
    /// The transfer is unusable.
    #[error(transparent)]
    Transfer(#[from] TransferError),
    /// A change could not be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
}

impl<K, E> Received<K, E>
where
    K: Ord + Clone + DeserializeOwned,
    E: Clone + PartialEq + Serialize + DeserializeOwned,
{
    fn position(&self) -> Position {
        self.receiver.position(self.set.digest())
    }

    /// Adds a chunk, or drops what was received if there is none. Returns whether the entries have
    /// changed.
    fn receive(&mut self, chunk: Option<&Chunk>) -> Result<bool, ReceiveError> {
        let Some(chunk) = chunk else {
            self.receiver.reset();
            return Ok(false);
        };
        let Some(changes) = self.receiver.receive(chunk)? else { return Ok(false) };
        let before = self.set.digest();
        for change in changes {
            self.set.apply(change)?;
        }
        Ok(self.set.digest() != before)
    }
}
