/// What may be held for one connection of a caller, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderBounds {
    /// What is read of a streamed answer before its caller takes it.
    pub ahead: usize,
    /// What the HTTP library holds before it stops taking parts of an answer.
    pub write_buffer: usize,
}
