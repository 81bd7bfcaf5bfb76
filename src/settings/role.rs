/// Which parts of the system a daemon runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// Routes requests, and votes if it has a data folder.
    #[default]
    All,
    /// Only routes requests, under a lease granted by the voters.
    Router,
    /// Only votes and serves operators.
    Voter,
}
