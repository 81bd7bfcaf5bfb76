use crate::name::RequestId;
use serde::{Deserialize, Serialize};

/// What one answered request cost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request.
    pub request: RequestId,
    /// The version or service that answered, as text.
    pub item: String,
    /// Prompt tokens of all attempts.
    pub prompt: u64,
    /// Answer tokens of all attempts.
    pub answer: u64,
    /// The cost of all attempts, in millionths of the billing currency.
    pub cost: u64,
}

/// The bills of an organisation, added up.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillSum {
    /// The number of bills.
    pub count: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Answer tokens.
    pub answer: u64,
    /// The cost, in millionths of the billing currency.
    pub cost: u64,
}

impl BillSum {
    /// Adds a bill.
    pub fn add(&mut self, bill: &Bill) {
        self.count += 1;
        self.prompt += bill.prompt;
        self.answer += bill.answer;
        self.cost += bill.cost;
    }
}
