use crate::name::VmName;
use std::fmt;
use std::time::Duration;

/// A change of what a router knows of a server's limit, for its log.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The server.
    pub server: VmName,
    /// What is known now.
    pub state: LimitKnowledge,
    /// Where that comes from.
    pub source: LimitSource,
    /// How long ago it was true.
    pub age: Duration,
}

/// What a router knows of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitKnowledge {
    /// Requests a second.
    Named(f64),
    /// There is none any more.
    Ended,
    /// Nothing.
    Forgotten,
}

/// Where a change comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitSource {
    /// An answer of the server.
    Answer,
    /// The leader.
    Leader,
    /// The VM list.
    VmList,
}

impl fmt::Display for LimitChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { server, state, source, age } = self;
        match state {
            LimitKnowledge::Named(limit) => {
                write!(f, "server {server} names a limit of {limit} requests a second")?;
            }
            LimitKnowledge::Ended => write!(f, "server {server} names no limit any more")?,
            LimitKnowledge::Forgotten => write!(f, "the limit of server {server} is forgotten")?,
        }
        let source = match source {
            LimitSource::Answer => "its answer",
            LimitSource::Leader => "the leader",
            LimitSource::VmList => "the VM list",
        };
        write!(f, " (by {source}, {} ms old)", age.as_millis())
    }
}
