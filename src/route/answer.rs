use super::Refusal;
use bytes::Bytes;
use tokio::sync::mpsc;

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Whole {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub media: String,
    /// The body.
    pub body: Bytes,
}

/// A piece of a streamed answer.
#[derive(Debug)]
pub enum StreamItem {
    /// Whole events.
    Events(Bytes),
    /// The stream cannot be finished; the connection must be cut after these bytes, so that the
    /// answer is not taken for a whole one.
    Broken(Bytes),
}

/// What a caller gets.
#[derive(Debug)]
pub enum Answer {
    /// Everything at once.
    Whole(Whole),
    /// Events as they come; the end of the channel is the end of a whole answer.
    Stream(mpsc::Receiver<StreamItem>),
    /// A refusal.
    Refused(Refusal),
}
