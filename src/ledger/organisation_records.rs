use super::{Bill, BillSum, Claim, Pin};
use crate::name::{IdempotencyKey, RequestId, SessionName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A record with the ledger time at which it was last used or completed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Timestamped<T> {
    pub record: T,
    pub touched: Duration,
}

/// The pins, claims and bills of one organisation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct OrganisationRecords {
    pub pins: BTreeMap<SessionName, Timestamped<Pin>>,
    pub claims: BTreeMap<IdempotencyKey, Timestamped<Claim>>,
    pub bills: BTreeMap<RequestId, Bill>,
    /// Requests that released their claim, even before it arrived, with the ledger time of the
    /// release; a claim of such a request is refused.
    pub released: BTreeMap<RequestId, Duration>,
    pub sum: BillSum,
}

impl OrganisationRecords {
    /// Records a bill. Returns false if the request has one already.
    pub fn bill(&mut self, bill: Bill) -> bool {
        if self.bills.contains_key(&bill.request) {
            return false;
        }
        self.sum.add(&bill);
        self.bills.insert(bill.request, bill);
        true
    }
}
