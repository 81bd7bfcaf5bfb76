use super::{OperatorOrder, Suspect};
use crate::name::{DataCentre, PoolName, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most orders that are remembered for one object; the first is forgotten for a new one.
const MAX_KNOWN: usize = 100;
/// The most parts and requests of which it is remembered that they were cleared; the first is forgotten for a
/// new one.
const MAX_CLEARED: usize = 1_000;

/// The orders that were accepted for one object, so that a late copy of one is told from a new order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct OrderLog<T> {
    /// How many orders have changed the object: the number of the last one.
    number: u64,
    /// What was ordered, each once, in the order in which it was first accepted.
    known: Vec<T>,
}

impl<T> Default for OrderLog<T> {
    fn default() -> Self {
        Self { number: 0, known: Vec::new() }
    }
}

impl<T> OrderLog<T>
where
    T: PartialEq,
{
    fn accept(&mut self, what: T, changes: bool) {
        self.number += u64::from(changes);
        if self.known.contains(&what) {
            return;
        }
        self.known.push(what);
        if self.known.len() > MAX_KNOWN {
            self.known.remove(0);
        }
    }
}

/// What an order for a data centre asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Evacuation {
    Begin,
    Finish,
}

/// The orders that were accepted for all objects.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct OrderLogs {
    /// The targets that were ordered for each pool.
    pools: BTreeMap<PoolName, OrderLog<VersionName>>,
    centres: BTreeMap<DataCentre, OrderLog<Evacuation>>,
    /// How often each part and each request was cleared, in the order in which that was first done.
    cleared: Vec<(Suspect, u64)>,
}

impl OrderLogs {
    /// Whether no order was ever accepted.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty() && self.centres.is_empty() && self.cleared.is_empty()
    }

    /// The number of the last order that changed the object of this one; 0 without any.
    pub fn number(&self, order: &OperatorOrder) -> u64 {
        match order {
            OperatorOrder::StartPoolRollout(rollout) => {
                self.pools.get(&rollout.pool).map_or(0, |log| log.number)
            }
            OperatorOrder::BeginEvacuation(centre) | OperatorOrder::FinishEvacuation(centre) => {
                self.centres.get(centre).map_or(0, |log| log.number)
            }
            OperatorOrder::Clear(suspect) => self.times_cleared(*suspect),
        }
    }

    /// Whether the same was ordered for the same object before.
    pub fn knows(&self, order: &OperatorOrder) -> bool {
        let is_known =
            |centre, what| self.centres.get(centre).is_some_and(|log| log.known.contains(&what));
        match order {
            OperatorOrder::StartPoolRollout(rollout) => {
                let log = self.pools.get(&rollout.pool);
                log.is_some_and(|log| log.known.contains(&rollout.target))
            }
            OperatorOrder::BeginEvacuation(centre) => is_known(centre, Evacuation::Begin),
            OperatorOrder::FinishEvacuation(centre) => is_known(centre, Evacuation::Finish),
            OperatorOrder::Clear(suspect) => self.times_cleared(*suspect) > 0,
        }
    }

    /// Takes in an order that is accepted, and whether it changes its object.
    pub fn accept(&mut self, order: &OperatorOrder, changes: bool) {
        match order {
            OperatorOrder::StartPoolRollout(rollout) => {
                let log = self.pools.entry(rollout.pool.clone()).or_default();
                log.accept(rollout.target.clone(), changes);
            }
            OperatorOrder::BeginEvacuation(centre) => {
                let log = self.centres.entry(centre.clone()).or_default();
                log.accept(Evacuation::Begin, changes);
            }
            OperatorOrder::FinishEvacuation(centre) => {
                let log = self.centres.entry(centre.clone()).or_default();
                log.accept(Evacuation::Finish, changes);
            }
            OperatorOrder::Clear(suspect) if changes => self.accept_clearing(*suspect),
            OperatorOrder::Clear(_) => {}
        }
    }

    fn times_cleared(&self, suspect: Suspect) -> u64 {
        let found = self.cleared.iter().find(|(cleared, _)| *cleared == suspect);
        found.map_or(0, |(_, times)| *times)
    }

    fn accept_clearing(&mut self, suspect: Suspect) {
        match self.cleared.iter_mut().find(|(cleared, _)| *cleared == suspect) {
            Some((_, times)) => *times += 1,
            None => self.cleared.push((suspect, 1)),
        }
        if self.cleared.len() > MAX_CLEARED {
            self.cleared.remove(0);
        }
    }
}
