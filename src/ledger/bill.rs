use crate::name::RequestId;
use serde::{Deserialize, Serialize};

/// The bill of one answered request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request that is billed.
    pub request: RequestId,
    /// The version (`model/version`) or service that answered.
    pub item: String,
    /// The prompt tokens of all attempts.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// The answer tokens of all attempts.
    #[serde(rename = "answer")]
    pub answer_tokens: u64,
    /// The cost of all attempts, in millionths of the billing currency.
    pub cost: u64,
}

/// The totals of an organisation's bills.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillSum {
    /// The number of bills.
    pub count: u64,
    /// The number of prompt tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// The number of answer tokens.
    #[serde(rename = "answer")]
    pub answer_tokens: u64,
    /// The cost, in millionths of the billing currency.
    pub cost: u64,
}

impl BillSum {
    /// Adds a bill to the totals.
    pub fn add(&mut self, bill: &Bill) {
        self.count += 1;
        self.prompt_tokens += bill.prompt_tokens;
        self.answer_tokens += bill.answer_tokens;
        self.cost += bill.cost;
    }
    /// Adds other totals to the totals.
    pub fn merge(&mut self, other: &Self) {
        self.count += other.count;
        self.prompt_tokens += other.prompt_tokens;
        self.answer_tokens += other.answer_tokens;
        self.cost += other.cost;
    }
}
