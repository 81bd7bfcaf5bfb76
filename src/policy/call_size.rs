/// The tokens of a call to be placed.
#[derive(Debug, Clone, Copy)]
pub struct CallSize<'a> {
    /// Prompt parts as (id, tokens); the last one belongs to the call or its session alone.
    pub parts: &'a [(u64, u32)],
    /// The most tokens of the answer.
    pub answer: u32,
}

impl CallSize<'_> {
    /// Tokens of the prompt.
    pub fn prompt(&self) -> f64 {
        self.parts.iter().map(|part| f64::from(part.1)).sum()
    }

    /// The parts that other calls may share.
    pub fn shared(&self) -> &[(u64, u32)] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}
