use super::{Bill, BillSum, Claim, Pin};
use crate::name::{IdempotencyKey, RequestId, SessionName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A record and the ledger time when it was last touched.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kept<T> {
    pub record: T,
    pub touched: Duration,
}

/// One organisation's records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Book {
    pub pins: BTreeMap<SessionName, Kept<Pin>>,
    pub claims: BTreeMap<IdempotencyKey, Kept<Claim>>,
    pub bills: BTreeMap<RequestId, Bill>,
    /// Requests that gave up their claim, or the try to make one; they never get one again.
    pub void: BTreeMap<RequestId, Duration>,
    pub sum: BillSum,
}

impl Book {
    /// Records a bill; false where the request has one already.
    pub fn bill(&mut self, bill: Bill) -> bool {
        if self.bills.contains_key(&bill.request) {
            return false;
        }
        self.sum.add(&bill);
        self.bills.insert(bill.request, bill);
        true
    }
}
