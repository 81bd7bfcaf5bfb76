/// What a machine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It runs.
    Up,
    /// It is frozen or cut off, and keeps its process.
    Still,
    /// Its process is killed along with all others and starts again within a second.
    Killed,
    /// It is down or gone.
    Off,
}
