use super::{TicketAnswer, TicketDigest, TicketRecord, TicketRefusal};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Accepted tickets whose records are kept, by the highest numbers.
pub const TICKETS_KEPT: usize = 16_384;
/// Refused tickets whose answers are kept, by the newest.
const REFUSALS_KEPT: usize = 1_024;

type TicketId = (u64, TicketDigest);

/// What became of tickets. Bounded: dropped numbers are closed, so that none is ever taken twice.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TicketBook {
    accepted: BTreeMap<u64, TicketRecord>,
    refused: BTreeMap<TicketId, TicketRefusal>,
    order: VecDeque<TicketId>,
    /// The highest number whose record was dropped; no new ticket may be at or below it.
    floor: u64,
}

impl TicketBook {
    /// An accepted ticket.
    pub fn get(&self, number: u64) -> Option<&TicketRecord> {
        self.accepted.get(&number)
    }

    /// Accepted tickets, highest number first.
    pub fn newest(&self) -> impl Iterator<Item = (u64, &TicketRecord)> {
        self.accepted.iter().rev().map(|(number, record)| (*number, record))
    }

    /// The answer that a ticket must get because of what came before it.
    pub fn earlier(&self, number: u64, digest: TicketDigest) -> Option<TicketAnswer> {
        if let Some(refusal) = self.refused.get(&(number, digest)) {
            return Some(TicketAnswer::Refused(refusal.clone()));
        }
        if let Some(record) = self.accepted.get(&number) {
            if record.digest == digest {
                return Some(TicketAnswer::Accepted { revision: record.revision });
            }
            let author = record.author.clone();
            return Some(TicketAnswer::Refused(TicketRefusal::Conflict { number, author }));
        }
        let floor = self.floor;
        (number <= floor).then_some(TicketAnswer::Refused(TicketRefusal::Closed { floor }))
    }

    /// Records an accepted ticket.
    pub fn accept(&mut self, number: u64, record: TicketRecord) {
        self.accepted.insert(number, record);
        while self.accepted.len() > TICKETS_KEPT {
            if let Some((dropped, _)) = self.accepted.pop_first() {
                self.floor = self.floor.max(dropped);
            }
        }
    }

    /// Records a ticket that was refused for its contents, so that a late copy of it is refused
    /// too, although the configuration may have come to allow it.
    pub fn refuse(&mut self, number: u64, digest: TicketDigest, refusal: TicketRefusal) {
        if self.refused.insert((number, digest), refusal).is_none() {
            self.order.push_back((number, digest));
        }
        while self.order.len() > REFUSALS_KEPT {
            if let Some(oldest) = self.order.pop_front() {
                self.refused.remove(&oldest);
            }
        }
    }
}
