/// What is to happen at a set time.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// A machine is back, with its disk or without.
    Back {
        /// The machine.
        slot: usize,
        /// Whether its disk is empty.
        wiped: bool,
    },
    /// A machine with an empty disk starts in the place of one that is gone.
    Successor {
        /// The machine that is gone.
        slot: usize,
    },
    /// A machine is told to stop for good.
    TellOne,
    /// The halves of the core are joined.
    Join,
}
