/// What a daemon does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    /// Routes, and votes where it has a data folder.
    #[default]
    All,
    /// Only routes, under a lease from the voters.
    Router,
    /// Only votes, and serves operators.
    Voter,
}
