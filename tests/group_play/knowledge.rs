/// How daemons hear of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// A daemon links to its seeds and to the members in its own log.
    SeedsOnly,
    /// Each link also hands on the newest members, and a daemon links to those.
    HandedOn,
}
