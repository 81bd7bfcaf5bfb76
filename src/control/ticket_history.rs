use super::{TicketAnswer, TicketDigest, TicketRecord, TicketRefusal};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of records of accepted tickets; those with the highest numbers are kept.
pub const MAX_TICKET_RECORDS: usize = 16_384;
/// The maximum number of refusals that are kept; the most recent ones are.
const MAX_REFUSALS: usize = 1_024;

type TicketId = (u64, TicketDigest);

/// The answers given to earlier tickets. Its size is bounded: once a record is dropped, its number
/// and all lower ones without a record are refused, so that no number is ever accepted twice.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TicketHistory {
    accepted: BTreeMap<u64, TicketRecord>,
    refused: BTreeMap<TicketId, TicketRefusal>,
    refusal_order: VecDeque<TicketId>,
    /// The highest number whose record was dropped; new tickets must have a higher one.
    floor: u64,
}

impl TicketHistory {
    /// The record of an accepted ticket, if it is still kept.
    pub fn get(&self, number: u64) -> Option<&TicketRecord> {
        self.accepted.get(&number)
    }

    /// Records of accepted tickets, highest number first.
    pub fn newest_first(&self) -> impl Iterator<Item = (u64, &TicketRecord)> {
        self.accepted.iter().rev().map(|(number, record)| (*number, record))
    }

    /// The answer that follows from earlier tickets alone: the previous answer to the same ticket,
    /// or a refusal because the number is taken or no longer accepted.
    pub fn previous_answer(&self, number: u64, digest: TicketDigest) -> Option<TicketAnswer> {
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
    pub fn record_accepted(&mut self, number: u64, record: TicketRecord) {
        self.accepted.insert(number, record);
        while self.accepted.len() > MAX_TICKET_RECORDS {
            if let Some((dropped, _)) = self.accepted.pop_first() {
                self.floor = self.floor.max(dropped);
            }
        }
    }

    /// Records a ticket that was refused for its contents, so that a delayed duplicate is refused
    /// too, even if the configuration would allow it by then.
    pub fn record_refused(&mut self, number: u64, digest: TicketDigest, refusal: TicketRefusal) {
        if self.refused.insert((number, digest), refusal).is_none() {
            self.refusal_order.push_back((number, digest));
        }
        while self.refusal_order.len() > MAX_REFUSALS {
            if let Some(oldest) = self.refusal_order.pop_front() {
                self.refused.remove(&oldest);
            }
        }
    }
}
