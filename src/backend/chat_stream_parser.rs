use super::Usage;
use super::chunk::{Chunk, ChunkKind};
use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// The data of the event that marks the end of a complete stream.
const DONE_MARKER: &[u8] = b"[DONE]";
/// The largest accepted event. Anything larger cannot be a chat completion chunk.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream is not a valid stream of chat completion chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamError {
    /// An event exceeds the size limit.
    #[error("the engine sent an event that is too large")]
    EventTooLarge,
    /// The data of an event is not a chat completion chunk.
    #[error("the engine sent a malformed event")]
    MalformedEvent,
    /// The engine sent an error object instead of a chunk.
    #[error("the engine reported an error in its stream")]
    EngineError,
}

/// Complete events parsed from a stream of server-sent events.
#[derive(Debug, Default, PartialEq)]
pub struct ParsedEvents {
    /// Events to be relayed now, each as `data: ...` lines followed by an empty line.
    pub events: Bytes,
    /// The number of these events that carry content; each counts as one token.
    pub tokens: u64,
    /// Events that end the answer, such as the one with the finish reason. They are held back until
    /// the answer is billed.
    pub final_events: Bytes,
    /// The last usage that the engine reported.
    pub usage: Option<Usage>,
    /// Whether the end marker `[DONE]` was read; anything after it is ignored.
    pub done: bool,
}

/// Incremental parser for server-sent events (WHATWG HTML, section 9.2) with chat completion
/// chunks. Lines end with `\n` or `\r\n`; comments and fields other than `data` are dropped.
#[derive(Debug, Default)]
pub struct ChatStreamParser {
    /// Input from the first line that is not complete yet.
    buffer: BytesMut,
    /// Length of the start of `buffer` that is known to have no line end.
    scanned: usize,
    /// The data lines read so far of the current event.
    event_data: Vec<u8>,
    done: bool,
}

impl ChatStreamParser {
    /// Adds input and returns the events that are complete now.
    ///
    /// # Errors
    /// If an event is too large or not a chunk, or reports an error of the engine. The parser must
    /// not be used after that.
    ///
    /// ```
    /// use samphireshift::backend::ChatStreamParser;
    /// let mut parser = ChatStreamParser::default();
    /// let chunk = b"data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}]}\n\ndata: [DO";
    /// let parsed = parser.push(chunk).unwrap();
    /// assert_eq!((parsed.tokens, parsed.done), (1, false));
    /// assert!(parser.push(b"NE]\n\n").unwrap().done);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<ParsedEvents, StreamError> {
        let mut parsed = ParsedEvents::default();
        let mut events = BytesMut::new();
        let mut final_events = BytesMut::new();
        self.buffer.extend_from_slice(bytes);
        while !self.done
            && let Some(line) = self.next_line()
        {
            if line.is_empty() {
                self.dispatch(&mut parsed, &mut events, &mut final_events)?;
                continue;
            }
            if let Some(data) = data_field(&line) {
                if !self.event_data.is_empty() {
                    self.event_data.push(b'\n');
                }
                self.event_data.extend_from_slice(data);
            }
            self.check_size()?;
        }
        self.check_size()?;
        parsed.events = events.freeze();
        parsed.final_events = final_events.freeze();
        parsed.done = self.done;
        Ok(parsed)
    }

    fn next_line(&mut self) -> Option<BytesMut> {
        let Some(offset) = memchr::memchr(b'\n', &self.buffer[self.scanned..]) else {
            self.scanned = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.scanned + offset);
        self.buffer.advance(1);
        self.scanned = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }

    /// Dispatches the current event, which an empty line has ended.
    fn dispatch(
        &mut self,
        parsed: &mut ParsedEvents,
        events: &mut BytesMut,
        final_events: &mut BytesMut,
    ) -> Result<(), StreamError> {
        if self.event_data.is_empty() {
            return Ok(());
        }
        if self.event_data == DONE_MARKER {
            self.done = true;
            return Ok(());
        }
        let chunk: Chunk =
            serde_json::from_slice(&self.event_data).map_err(|_| StreamError::MalformedEvent)?;
        parsed.usage = chunk.usage().or(parsed.usage);
        match chunk.kind() {
            ChunkKind::Content => {
                parsed.tokens += 1;
                write_event(events, &self.event_data);
            }
            ChunkKind::Other => write_event(events, &self.event_data),
            ChunkKind::Last => write_event(final_events, &self.event_data),
            ChunkKind::Error => return Err(StreamError::EngineError),
        }
        self.event_data.clear();
        Ok(())
    }

    fn check_size(&self) -> Result<(), StreamError> {
        match self.buffer.len() + self.event_data.len() > MAX_EVENT_BYTES {
            true => Err(StreamError::EventTooLarge),
            false => Ok(()),
        }
    }
}

/// The value of a `data` field; `None` for any other line.
fn data_field(line: &[u8]) -> Option<&[u8]> {
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
