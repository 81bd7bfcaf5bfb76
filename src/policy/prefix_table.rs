use crate::name::VmName;
use std::collections::HashMap;
use std::time::Duration;

/// Length of the prompt text that one block covers, in bytes.
const BLOCK_BYTES: usize = 256;
/// Maximum number of leading blocks of a prompt that are hashed; longer prompts are matched by
/// these.
const MAX_PROMPT_BLOCKS: usize = 32;
/// Leading blocks that select the affinity server of a prefix.
const AFFINITY_BLOCKS: usize = 4;
/// Maximum number of servers remembered per block.
const MAX_HOLDERS: usize = 4;
/// Maximum number of blocks remembered. Above it, entries older than half of `ENTRY_TTL` are
/// dropped, and all entries if that is not enough.
const MAX_TABLE_BLOCKS: usize = 65_536;
/// How long a block is assumed to stay cached without an update.
const ENTRY_TTL: Duration = Duration::from_secs(120);

/// The chained hashes of a prompt's leading blocks: equal hashes mean equal prefixes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixKeys(Vec<u64>);

impl PrefixKeys {
    /// Hashes a prompt; a trailing part shorter than a block is left out.
    ///
    /// ```
    /// use samphireshift::policy::PrefixKeys;
    /// let long = "x".repeat(600);
    /// assert_eq!(PrefixKeys::of(&long).len(), 2);
    /// assert!(PrefixKeys::of("short").is_empty());
    /// ```
    pub fn of(prompt: &str) -> Self {
        let mut hash = 0;
        let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_PROMPT_BLOCKS);
        Self(blocks.map(|block| chain_hash(&mut hash, block)).collect())
    }

    /// Wraps hashes that are already known, such as those in an engine's cache events.
    pub fn from_hashes(hashes: Vec<u64>) -> Self {
        Self(hashes)
    }

    /// Affinity rank of a server for this prefix, by rendezvous hashing (Thaler and Ravishankar,
    /// "Using Name-Based Mappings to Increase Hit Rates", 1998). All routers compute the same
    /// ranks, so a prefix that a router does not know goes to the server that other routers send it
    /// to. 0 for an empty prefix.
    pub fn affinity_rank(&self, server: &VmName) -> u64 {
        let Some(key) = self.0.get(..AFFINITY_BLOCKS).unwrap_or(&self.0).last() else { return 0 };
        let seed = crc32c::crc32c(&key.to_le_bytes());
        let high = crc32c::crc32c_append(seed, server.as_str().as_bytes());
        u64::from(high) << 32 | u64::from(crc32c::crc32c_append(high, &key.to_le_bytes()))
    }

    /// The hashes, one per block.
    pub fn hashes(&self) -> &[u64] {
        &self.0
    }

    /// Splits the keys into one per block.
    pub fn split_blocks(&self) -> impl Iterator<Item = PrefixKeys> {
        self.0.iter().map(|key| PrefixKeys(vec![*key]))
    }

    /// The number of blocks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the prompt is shorter than one block.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn chain_hash(hash: &mut u64, block: &[u8]) -> u64 {
    let low = crc32c::crc32c_append(*hash as u32, block);
    let high = crc32c::crc32c_append((*hash >> 32) as u32 ^ 0x9e37_79b9, block);
    *hash = u64::from(high) << 32 | u64::from(low);
    *hash
}

#[derive(Debug, Clone)]
struct Holder {
    server: VmName,
    last_seen: Duration,
}

/// Which servers are assumed to have which prefixes cached: from this router's own requests,
/// corrected by the engines' cache events, which may be late or incomplete.
#[derive(Debug, Default)]
pub struct PrefixTable {
    blocks: HashMap<u64, Vec<Holder>>,
    /// Entries of a server older than this time are invalid.
    invalidated_at: HashMap<VmName, Duration>,
}

impl PrefixTable {
    /// The fraction of a prompt that each server has cached, from 0 to 1; servers with nothing
    /// cached are left out.
    pub fn cached_shares(&self, now: Duration, keys: &PrefixKeys) -> Vec<(VmName, f64)> {
        let mut shares: Vec<(VmName, f64)> = Vec::new();
        let total = keys.len() as f64;
        for (index, key) in keys.0.iter().enumerate().rev() {
            for holder in self.blocks.get(key).into_iter().flatten() {
                let known = shares.iter().any(|(server, _)| *server == holder.server);
                if !known && self.is_valid(now, holder) {
                    shares.push((holder.server.clone(), (index + 1) as f64 / total));
                }
            }
        }
        shares
    }

    /// Records that a server has a prompt cached: a request with it was sent there, or the server
    /// reported it.
    pub fn record_cached(&mut self, now: Duration, keys: &PrefixKeys, server: &VmName) {
        if self.blocks.len() > MAX_TABLE_BLOCKS {
            self.evict_old(now);
        }
        for key in &keys.0 {
            let holders = self.blocks.entry(*key).or_default();
            holders.retain(|holder| holder.server != *server);
            holders.push(Holder { server: server.clone(), last_seen: now });
            if holders.len() > MAX_HOLDERS {
                holders.remove(0);
            }
        }
    }

    /// Records that a server reported these blocks as evicted.
    pub fn record_evicted(&mut self, keys: &PrefixKeys, server: &VmName) {
        for key in &keys.0 {
            if let Some(holders) = self.blocks.get_mut(key) {
                holders.retain(|holder| holder.server != *server);
            }
        }
    }

    /// Invalidates all entries of a server after some of its cache events were missed.
    pub fn invalidate_server(&mut self, now: Duration, server: &VmName) {
        self.invalidated_at.insert(server.clone(), now);
    }

    fn is_valid(&self, now: Duration, holder: &Holder) -> bool {
        let invalidated_at = self.invalidated_at.get(&holder.server).copied().unwrap_or_default();
        holder.last_seen >= invalidated_at && now < holder.last_seen + ENTRY_TTL
    }

    fn evict_old(&mut self, now: Duration) {
        for holders in self.blocks.values_mut() {
            holders.retain(|holder| now < holder.last_seen + ENTRY_TTL / 2);
        }
        self.blocks.retain(|_, holders| !holders.is_empty());
        if self.blocks.len() > MAX_TABLE_BLOCKS {
            self.blocks.clear();
        }
    }
}
