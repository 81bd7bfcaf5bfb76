use samphireshift::consensus::Member;

/// A daemon's link to an address.
#[derive(Debug, Clone, Default)]
pub struct Link {
    /// Whether it is connected.
    pub connected: bool,
    /// Who answered last, and when.
    pub heard: Option<(Member, u64)>,
}
