use crate::platform::Vm;

/// A backend server that could take a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The server.
    pub vm: Vm,
    /// Requests that it last reported as running or waiting.
    pub reported: u64,
    /// Requests that this router has under way there.
    pub own: u64,
    /// Whether it stands in this router's data centre.
    pub near: bool,
}

/// Picks the server with the least work, the nearer one among equals; `None` where there is none.
/// `turn` breaks the remaining ties so that equals are used in turn.
pub fn pick_replica(candidates: &[Candidate], turn: usize) -> Option<&Candidate> {
    let count = candidates.len();
    let rank = |(place, c): &(usize, &Candidate)| {
        let order = (place + count - turn % count) % count;
        (c.reported.max(c.own), !c.near, order)
    };
    candidates.iter().enumerate().min_by_key(rank).map(|(_, candidate)| candidate)
}
