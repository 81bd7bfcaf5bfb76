use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// What is done to the machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// They are gone for good; successors start a second later at other addresses.
    Gone,
    /// They come back at their addresses, without their disks.
    Wiped,
    /// They are frozen or cut off for some seconds.
    Still,
    /// They are down and come back with their disks.
    Restart,
    /// One is added, and another one is told to stop when that one has had its time.
    Planned,
    /// The core is cut in two halves for some seconds.
    Split,
    /// All processes are killed and start again within a second.
    KillAll,
    /// The leader hands over.
    HandOver,
}

impl Trouble {
    /// Draws one.
    pub fn draw(random: &mut Pcg64Mcg) -> Self {
        match random.random_range(0..12) {
            0..=2 => Self::Gone,
            3..=4 => Self::Wiped,
            5..=6 => Self::Still,
            7 => Self::Restart,
            8 => Self::Planned,
            9 => Self::Split,
            10 => Self::KillAll,
            _ => Self::HandOver,
        }
    }
}
