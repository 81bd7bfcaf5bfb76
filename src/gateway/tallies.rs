use crate::name::{PoolName, VersionName};
use crate::policy::Tally;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// What tells counts apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    pool: PoolName,
    version: Option<VersionName>,
    route: String,
}

/// What this router saw of versions since its start.
#[derive(Debug, Default)]
pub struct Tallies {
    counts: Mutex<BTreeMap<Key, Tally>>,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ending {
    /// Well, with the logarithm of how much longer it took than expected.
    Good(f64),
    /// The server failed it.
    Bad,
    /// It says nothing of the version.
    Unknown,
}

/// A call in progress; it is counted as ended when this is dropped.
#[derive(Debug)]
pub struct Counted {
    tallies: Arc<Tallies>,
    key: Key,
    ending: Ending,
}

impl Tallies {
    /// A call begins.
    pub fn begin(
        self: &Arc<Self>,
        pool: &PoolName,
        version: Option<&VersionName>,
        route: &str,
    ) -> Counted {
        let key = Key { pool: pool.clone(), version: version.cloned(), route: route.to_owned() };
        self.with(&key, |tally| tally.running += 1);
        Counted { tallies: self.clone(), key, ending: Ending::Unknown }
    }

    /// All counts of pools that are asked for.
    pub fn of<F>(&self, wanted: F) -> Vec<Tally>
    where
        F: Fn(&PoolName) -> bool,
    {
        let counts = self.counts.lock().expect("tally lock");
        counts.values().filter(|tally| wanted(&tally.pool)).cloned().collect()
    }

    fn with<F>(&self, key: &Key, change: F)
    where
        F: FnOnce(&mut Tally),
    {
        let mut counts = self.counts.lock().expect("tally lock");
        let Key { pool, version, route } = key.clone();
        let fresh = Tally { pool, version, route, good: 0, bad: 0, slowness: 0.0, running: 0 };
        change(counts.entry(key.clone()).or_insert(fresh));
    }
}

impl Counted {
    /// Says how the call ended.
    pub fn end(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let ending = self.ending;
        self.tallies.with(&self.key, |tally| {
            tally.running -= 1;
            match ending {
                Ending::Good(slowness) => {
                    tally.good += 1;
                    tally.slowness += slowness;
                }
                Ending::Bad => tally.bad += 1,
                Ending::Unknown => {}
            }
        });
    }
}
