use super::Usage;
use super::chunk::{Chunk, ChunkKind};
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The data that ends a whole stream.
const DONE: &[u8] = b"[DONE]";
/// An event larger than this is not one, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Why a stream cannot be one of chat completion chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamError {
    /// An event is larger than any chunk.
    #[error("an event was too large")]
    TooLarge,
    /// An event's data is not a chunk.
    #[error("an event was malformed")]
    Malformed,
    /// The engine reported an error in place of a chunk.
    #[error("the engine reported an error in its stream")]
    Reported,
}

/// Whole events cut from a stream of server-sent events.
#[derive(Debug, Default, PartialEq)]
pub struct Cut {
    /// Events that may go out now, each in the form `data: ...` with an empty line behind it.
    pub events: Bytes,
    /// How many of them carry content, which is the number of tokens.
    pub tokens: u64,
    /// Events that end the answer, such as the finish reason; they wait for the bill.
    pub held: Bytes,
    /// The newest usage that was reported.
    pub usage: Option<Usage>,
    /// Whether the end mark came; nothing behind it counts.
    pub done: bool,
}

/// Splits a byte stream into server-sent events (WHATWG HTML, section 9.2) of chat completion
/// chunks. Lines end with `\n` or `\r\n`; comments and fields other than `data` are dropped.
#[derive(Debug, Default)]
pub struct EventStream {
    /// A line that has not ended.
    partial: BytesMut,
    /// How much of it was searched for its end.
    searched: usize,
    /// The data lines of the event that has not ended.
    data: Vec<u8>,
    done: bool,
}

impl EventStream {
    /// Takes in bytes and returns the events that are whole now.
    ///
    /// # Errors
    /// Where an event is too large or no chunk; the stream is of no use then.
    ///
    /// ```
    /// use samphireshift::backend::EventStream;
    /// let mut stream = EventStream::default();
    /// let chunk = b"data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\ndata: [DO";
    /// let cut = stream.push(chunk).unwrap();
    /// assert_eq!((cut.tokens, cut.done), (1, false));
    /// assert!(stream.push(b"NE]\n\n").unwrap().done);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Cut, StreamError> {
        let mut cut = Cut::default();
        let mut out = BytesMut::new();
        let mut held = BytesMut::new();
        self.partial.extend_from_slice(bytes);
        while !self.done
            && let Some(line) = self.next_line()
        {
            if line.is_empty() {
                self.dispatch(&mut cut, &mut out, &mut held)?;
                continue;
            }
            if let Some(data) = data_of(&line) {
                if !self.data.is_empty() {
                    self.data.push(b'\n');
                }
                self.data.extend_from_slice(data);
            }
            self.check_size()?;
        }
        self.check_size()?;
        cut.events = out.freeze();
        cut.held = held.freeze();
        cut.done = self.done;
        Ok(cut)
    }

    fn next_line(&mut self) -> Option<BytesMut> {
        let Some(offset) = memchr::memchr(b'\n', &self.partial[self.searched..]) else {
            self.searched = self.partial.len();
            return None;
        };
        let mut line = self.partial.split_to(self.searched + offset);
        self.partial.advance(1);
        self.searched = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }

    fn dispatch(
        &mut self,
        cut: &mut Cut,
        out: &mut BytesMut,
        held: &mut BytesMut,
    ) -> Result<(), StreamError> {
        if self.data.is_empty() {
            return Ok(());
        }
        if self.data == DONE {
            self.done = true;
            return Ok(());
        }
        let chunk: Chunk =
            serde_json::from_slice(&self.data).map_err(|_| StreamError::Malformed)?;
        cut.usage = chunk.usage().or(cut.usage);
        match chunk.kind() {
            ChunkKind::Token => {
                cut.tokens += 1;
                write_event(out, &self.data);
            }
            ChunkKind::Other => write_event(out, &self.data),
            ChunkKind::Last => write_event(held, &self.data),
            ChunkKind::Error => return Err(StreamError::Reported),
        }
        self.data.clear();
        Ok(())
    }

    fn check_size(&self) -> Result<(), StreamError> {
        match self.partial.len() + self.data.len() > EVENT_LIMIT {
            true => Err(StreamError::TooLarge),
            false => Ok(()),
        }
    }
}

fn data_of(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"data:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn write_event(out: &mut BytesMut, data: &[u8]) {
    for line in data.split(|byte| *byte == b'\n') {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(line);
        out.extend_from_slice(b"\n");
    }
    out.extend_from_slice(b"\n");
}
