use std::time::Instant;

/// Whether a server that could not be reached, or declined a call, may get calls again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Its last call was answered, or it has had none.
    Sound,
    /// Its pause has ended, and no call has been answered since.
    OnTrial,
    /// It is paused.
    Paused,
}

impl Standing {
    /// The standing of a server that has been paused so often since its last answer, until this time.
    pub fn new(pauses: u32, paused_until: Option<Instant>) -> Self {
        match paused_until {
            Some(until) if Instant::now() < until => Self::Paused,
            _ if pauses > 0 => Self::OnTrial,
            _ => Self::Sound,
        }
    }

    /// What it counts as for a call: one that has been to another server in vain is not for trials.
    pub fn for_call(self, is_first_try: bool) -> Self {
        if is_first_try && self == Self::OnTrial { Self::Sound } else { self }
    }
}
