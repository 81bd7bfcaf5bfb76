use bytes::{Bytes, BytesMut};

/// The line that ends a whole stream.
const DONE: &[u8] = b"data: [DONE]";
/// Separates events.
const GAP: &[u8] = b"\n\n";
/// An event larger than this is not one, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Whole events cut from a stream of server-sent events.
#[derive(Debug, Default, PartialEq)]
pub struct Cut {
    /// Content events that are whole, separators included, in one piece.
    pub events: Bytes,
    /// How many there are.
    pub count: u64,
    /// The event that reports usage, where it came.
    pub usage: Option<Bytes>,
    /// Whether the end mark came; nothing behind it counts.
    pub done: bool,
}

/// Splits a byte stream into server-sent events without parsing their contents.
#[derive(Debug, Default)]
pub struct EventStream {
    buffer: BytesMut,
}

impl EventStream {
    /// Takes in bytes and returns the events that are whole now; `None` where an event is too
    /// large.
    ///
    /// ```
    /// use samphireshift::backend::EventStream;
    /// let mut stream = EventStream::default();
    /// let cut = stream.push(b"data: {\"a\":1}\n\ndata: [DO").unwrap();
    /// assert_eq!((cut.count, cut.done), (1, false));
    /// assert!(stream.push(b"NE]\n\n").unwrap().done);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Option<Cut> {
        self.buffer.extend_from_slice(bytes);
        let mut cut = Cut::default();
        let mut content = 0;
        let mut at = 0;
        while let Some(length) = find(&self.buffer[at..], GAP) {
            let event = &self.buffer[at..at + length];
            if event == DONE {
                cut.done = true;
                break;
            }
            if find(event, b"\"usage\":{").is_some() {
                cut.usage = Some(Bytes::copy_from_slice(payload(event)));
                break;
            }
            at += length + GAP.len();
            content = at;
            cut.count += 1;
        }
        cut.events = self.buffer.split_to(content).freeze();
        if cut.usage.is_some() {
            self.skip_event();
            let rest = self.push(b"")?;
            cut.done = rest.done;
        }
        match self.buffer.len() > EVENT_LIMIT {
            true => None,
            false => Some(cut),
        }
    }

    fn skip_event(&mut self) {
        if let Some(length) = find(&self.buffer, GAP) {
            let _ = self.buffer.split_to(length + GAP.len());
        }
    }
}

fn payload(event: &[u8]) -> &[u8] {
    event.strip_prefix(b"data: ").unwrap_or(event)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}
