use crate::name::VmName;
use std::collections::HashMap;
use std::time::Duration;

/// The text that one block of a prefix covers, in bytes.
const BLOCK_BYTES: usize = 256;
/// Blocks of one prompt that are looked at; longer prompts share at least these.
const BLOCKS: usize = 32;
/// Blocks that decide a prefix's home servers.
const HOME_BLOCKS: usize = 4;
/// Servers remembered for one block.
const HOLDERS: usize = 4;
/// Blocks remembered; the oldest half is dropped when there are more.
const TABLE_BLOCKS: usize = 65_536;
/// How long a block is believed to be cached without any news of it.
const BELIEF: Duration = Duration::from_secs(120);

/// The chained hashes of a prompt's leading blocks: equal hashes mean equal prefixes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixKeys(Vec<u64>);

impl PrefixKeys {
    /// Hashes a prompt; a last part shorter than a block is left out.
    ///
    /// ```
    /// use samphireshift::policy::PrefixKeys;
    /// let long = "x".repeat(600);
    /// assert_eq!(PrefixKeys::of(&long).len(), 2);
    /// assert!(PrefixKeys::of("short").is_empty());
    /// ```
    pub fn of(prompt: &str) -> Self {
        let mut hash = 0;
        let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(BLOCKS);
        Self(blocks.map(|block| chained(&mut hash, block)).collect())
    }

    /// Hashes known already, as an engine's cache events give them.
    pub fn from_hashes(hashes: Vec<u64>) -> Self {
        Self(hashes)
    }

    /// How much a server is the home of this prefix, by rendezvous hashing (Thaler and Ravishankar,
    /// "Using Name-Based Mappings to Increase Hit Rates", 1998): all routers rank alike, so that a
    /// prefix that none of them knows lands where another may have sent it. 0 for an empty prefix.
    pub fn rank(&self, server: &VmName) -> u64 {
        let Some(key) = self.0.get(..HOME_BLOCKS).unwrap_or(&self.0).last() else { return 0 };
        let seed = crc32c::crc32c(&key.to_le_bytes());
        let high = crc32c::crc32c_append(seed, server.as_str().as_bytes());
        u64::from(high) << 32 | u64::from(crc32c::crc32c_append(high, &key.to_le_bytes()))
    }

    /// The hash of each block.
    pub fn hashes(&self) -> &[u64] {
        &self.0
    }

    /// Each block by itself.
    pub fn each(&self) -> impl Iterator<Item = PrefixKeys> {
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

fn chained(hash: &mut u64, block: &[u8]) -> u64 {
    let low = crc32c::crc32c_append(*hash as u32, block);
    let high = crc32c::crc32c_append((*hash >> 32) as u32 ^ 0x9e37_79b9, block);
    *hash = u64::from(high) << 32 | u64::from(low);
    *hash
}

#[derive(Debug, Clone)]
struct Holder {
    server: VmName,
    seen: Duration,
}

/// Which servers are believed to hold which prefixes: from this router's own requests, corrected by
/// the engines' late and gapped cache events.
#[derive(Debug, Default)]
pub struct PrefixTable {
    blocks: HashMap<u64, Vec<Holder>>,
    /// Nothing learned of a server before this time counts any more.
    forgotten: HashMap<VmName, Duration>,
}

impl PrefixTable {
    /// The share of a prompt that each holder has, from 0 to 1; servers that hold nothing are left
    /// out.
    pub fn shares(&self, now: Duration, keys: &PrefixKeys) -> Vec<(VmName, f64)> {
        let mut shares: Vec<(VmName, f64)> = Vec::new();
        let total = keys.len() as f64;
        for (place, key) in keys.0.iter().enumerate().rev() {
            for holder in self.blocks.get(key).into_iter().flatten() {
                let known = shares.iter().any(|(server, _)| *server == holder.server);
                if !known && self.believes(now, holder) {
                    shares.push((holder.server.clone(), (place + 1) as f64 / total));
                }
            }
        }
        shares
    }

    /// A request with this prompt went to a server, or the server said that it holds it.
    pub fn held(&mut self, now: Duration, keys: &PrefixKeys, server: &VmName) {
        if self.blocks.len() > TABLE_BLOCKS {
            self.shrink(now);
        }
        for key in &keys.0 {
            let holders = self.blocks.entry(*key).or_default();
            holders.retain(|holder| holder.server != *server);
            holders.push(Holder { server: server.clone(), seen: now });
            if holders.len() > HOLDERS {
                holders.remove(0);
            }
        }
    }

    /// A server said that it dropped these blocks.
    pub fn dropped(&mut self, keys: &PrefixKeys, server: &VmName) {
        for key in &keys.0 {
            if let Some(holders) = self.blocks.get_mut(key) {
                holders.retain(|holder| holder.server != *server);
            }
        }
    }

    /// Events of a server were missed: what was known of it may be wrong.
    pub fn missed(&mut self, now: Duration, server: &VmName) {
        self.forgotten.insert(server.clone(), now);
    }

    fn believes(&self, now: Duration, holder: &Holder) -> bool {
        let forgotten = self.forgotten.get(&holder.server).copied().unwrap_or_default();
        holder.seen >= forgotten && now < holder.seen + BELIEF
    }

    fn shrink(&mut self, now: Duration) {
        for holders in self.blocks.values_mut() {
            holders.retain(|holder| now < holder.seen + BELIEF / 2);
        }
        self.blocks.retain(|_, holders| !holders.is_empty());
        if self.blocks.len() > TABLE_BLOCKS {
            self.blocks.clear();
        }
    }
}
