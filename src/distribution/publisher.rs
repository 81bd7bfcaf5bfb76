use super::{
    CHUNK_BYTES, Chunk, ConfigEntry, ConfigKey, ConfigSet, ContentDigest, EntrySet, Position,
    Published, config_entries, config_from_entries,
};
use crate::control::Config;
use crate::name::VmName;
use crate::peer::ProtocolVersion;
use crate::vms::{Vm, VmState};
use std::sync::{Arc, Mutex};

/// The configuration and the VM list as a voter distributes them.
#[derive(Debug)]
pub struct Publisher {
    config: Mutex<PublishedConfig>,
    vms: Mutex<Published<VmName, Vm>>,
}

#[derive(Debug)]
struct PublishedConfig {
    entries: Published<ConfigKey, ConfigEntry>,
    /// The configuration that the entries were taken from.
    source: Arc<Config>,
    /// The same as routers hold it, for those that cannot apply changes.
    whole: Arc<Config>,
}

impl Default for Publisher {
    fn default() -> Self {
        let config = PublishedConfig::new(Arc::default());
        let vms =
            Published::new(EntrySet::new(|vm: &Vm| vm.name.clone()), |_| ProtocolVersion::FIRST);
        Self { config: Mutex::new(config), vms: Mutex::new(vms) }
    }
}

impl Publisher {
    /// Publishes a configuration, unless it or a newer one is published already.
    pub fn publish_config(&self, config: &Arc<Config>) {
        self.config.lock().expect("published configuration lock").update(config);
    }

    /// Publishes the live VMs of a VM list.
    pub fn publish_vms(&self, vms: &[Vm]) {
        let live = vms.iter().filter(|vm| vm.state == VmState::Live).cloned();
        self.vms.lock().expect("published VM list lock").replace(live, |_| true);
    }

    /// The digest of the published VM list.
    pub fn vms_digest(&self) -> ContentDigest {
        self.vms.lock().expect("published VM list lock").digest()
    }

    /// The published configuration as a whole, without the operator's document.
    pub fn whole_config(&self) -> Arc<Config> {
        self.config.lock().expect("published configuration lock").whole.clone()
    }

    /// The next chunk of the configuration, or `None` if the router has it.
    pub fn read_config(&self, position: &Position) -> Option<Chunk> {
        self.read_config_up_to(position, CHUNK_BYTES)
    }

    /// Like [`Self::read_config`], with at most `limit` bytes in the chunk.
    pub fn read_config_up_to(&self, position: &Position, limit: usize) -> Option<Chunk> {
        let config = self.config.lock().expect("published configuration lock");
        config.entries.read_up_to(position, limit)
    }

    /// Like [`Self::read_config_up_to`], for a router that reads nothing beyond `version`.
    ///
    /// # Errors
    /// If the configuration has what such a router cannot read: the first version that can.
    pub fn read_config_for(
        &self,
        version: ProtocolVersion,
        position: &Position,
        limit: usize,
    ) -> Result<Option<Chunk>, ProtocolVersion> {
        let mut config = self.config.lock().expect("published configuration lock");
        config.entries.read_for(version, position, limit)
    }

    /// The next chunk of the VM list, or `None` if the router has it.
    pub fn read_vms(&self, position: &Position) -> Option<Chunk> {
        self.vms.lock().expect("published VM list lock").read(position)
    }
}

impl PublishedConfig {
    fn new(config: Arc<Config>) -> Self {
        let mut set = ConfigSet::new(ConfigEntry::key);
        set.replace(config_entries(&config, true), |_| true);
        let whole = Arc::new(config_from_entries(&set));
        Self { entries: Published::new(set, ConfigKey::needs), source: config, whole }
    }

    fn update(&mut self, config: &Arc<Config>) {
        if config.revision <= self.source.revision {
            return;
        }
        let same_table = match (&self.source.route_table, &config.route_table) {
            (Some(current), Some(next)) => Arc::ptr_eq(current, next),
            (None, None) => true,
            _ => false,
        };
        let entries = config_entries(config, !same_table);
        self.entries.replace(entries, |key| !same_table || !key.is_in_table());
        self.source = config.clone();
        self.whole = Arc::new(config_from_entries(self.entries.set()));
    }
}
