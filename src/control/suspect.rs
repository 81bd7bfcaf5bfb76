use serde::{Deserialize, Serialize};
use std::fmt;

/// What may end the servers that run a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A part of the prompt that other calls may share.
    Part(u64),
    /// The whole request: the same path, caller and body.
    Request(u64),
}

impl Suspect {
    /// The id, without its kind.
    pub fn id(self) -> u64 {
        let (Suspect::Part(id) | Suspect::Request(id)) = self;
        id
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suspect::Part(id) => write!(f, "part {id:x}"),
            Suspect::Request(id) => write!(f, "request {id:x}"),
        }
    }
}
