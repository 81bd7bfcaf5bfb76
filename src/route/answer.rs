use super::Refusal;
use bytes::Bytes;
use tokio::sync::mpsc;

/// An answer that is sent in one piece.
#[derive(Debug, Clone, PartialEq)]
pub struct BufferedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `content-type` header.
    pub content_type: String,
    /// Complete body.
    pub body: Bytes,
}

/// An item of a streamed answer.
#[derive(Debug)]
pub enum StreamItem {
    /// One or more complete server-sent events.
    Events(Bytes),
    /// The stream cannot be completed. The connection must be cut after these bytes, so that the
    /// caller does not take the answer for a complete one.
    Abort(Bytes),
}

/// The answer to a caller's request.
#[derive(Debug)]
pub enum Answer {
    /// A complete answer.
    Buffered(BufferedAnswer),
    /// Events as they arrive. The answer is complete when the channel closes without a
    /// [`StreamItem::Abort`].
    Stream(mpsc::Receiver<StreamItem>),
    /// The request was refused or failed.
    Refused(Refusal),
}
