//! Splits a stream of server-sent events (WHATWG HTML, section 9.2) into whole events.

use bytes::{Buf, Bytes, BytesMut};
use std::io;

/// The largest single event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The most bytes that a server may send between two events, as comments and blank lines.
const MAX_FILLER_BYTES: usize = 64 << 10;

/// Splits a byte stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The id of the last event that was passed on.
    last_id: Option<u64>,
    /// Whether this server has sent an event.
    started: bool,
    /// Whether the stream was resumed, so that the server may repeat events up to the last one.
    resumed: bool,
    /// Bytes passed on since the last event.
    filler_bytes: usize,
}

/// Where the bytes of a stream end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// After a whole event; only comments may follow it.
    BetweenEvents,
    /// Inside an event, so the stream was broken off.
    InsideEvent,
    /// Inside the first event of this server, if the bytes are events at all.
    InsideFirstEvent,
    /// The server has sent no event.
    NoEvent,
}

impl EventSplitter {
    /// Creates a splitter for a stream that goes on after the event with this id.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Prepares for the rest of the stream from another server, which may repeat events up to the
    /// last one.
    pub fn resume(&mut self) {
        let last_id = self.last_id;
        *self = Self { last_id, resumed: last_id.is_some(), ..Self::default() };
    }

    /// The id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the last bytes passed on were comments and blank lines only.
    pub fn is_filler(&self) -> bool {
        self.filler_bytes > 0
    }

    /// The bytes received of an event that is not complete.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Where the bytes received so far end.
    pub fn end(&self) -> StreamEnd {
        match (carries_event(&self.buffer), self.started) {
            (true, true) => StreamEnd::InsideEvent,
            (true, false) => StreamEnd::InsideFirstEvent,
            (false, true) => StreamEnd::BetweenEvents,
            (false, false) => StreamEnd::NoEvent,
        }
    }

    /// Adds received bytes and returns the events that are complete.
    ///
    /// # Errors
    /// If an event, or what is sent between two events, is too large.
    ///
    /// ```
    /// use samphireshift::gateway::{EventSplitter, StreamEnd};
    /// let mut splitter = EventSplitter::default();
    /// let events = splitter.push(b"id: 1\ndata: one\n\nid: 2\nda").unwrap();
    /// assert_eq!(&events[..], b"id: 1\ndata: one\n\n");
    /// assert_eq!(splitter.end(), StreamEnd::InsideEvent);
    /// ```
    pub fn push(&mut self, data: &[u8]) -> io::Result<Bytes> {
        self.buffer.extend_from_slice(data);
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(io::Error::other("an event exceeds the size limit"));
        }
        let Some(end) = last_event_end(&self.buffer) else { return Ok(Bytes::new()) };
        let whole = self.buffer.split_to(end).freeze();
        self.count_filler(&whole)?;
        match self.resumed {
            true => Ok(self.unrelayed(whole)),
            false => {
                self.last_id = last_event_id(&whole).or(self.last_id);
                Ok(whole)
            }
        }
    }

    /// Counts the bytes since the last event; comments and blank lines are none.
    fn count_filler(&mut self, whole: &[u8]) -> io::Result<()> {
        if carries_event(whole) {
            self.started = true;
            self.filler_bytes = 0;
            return Ok(());
        }
        self.filler_bytes += whole.len();
        match self.filler_bytes > MAX_FILLER_BYTES {
            true => Err(io::Error::other("the stream carries no events")),
            false => Ok(()),
        }
    }

    /// Drops the events that the caller has already received.
    fn unrelayed(&mut self, mut whole: Bytes) -> Bytes {
        let mut unrelayed = BytesMut::new();
        while let Some(end) = first_event_end(&whole) {
            let event = whole.split_to(end);
            let id = last_event_id(&event);
            if id.is_none() || id > self.last_id {
                self.last_id = id.or(self.last_id);
                unrelayed.extend_from_slice(&event);
            }
        }
        unrelayed.freeze()
    }

    /// The bytes left at the end of the stream.
    pub fn remainder(&mut self) -> Bytes {
        let left = self.buffer.remaining();
        self.buffer.split_to(left).freeze()
    }
}

/// The end of the first event; an empty line terminates it.
fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let newlines = memchr::memchr_iter(b'\n', bytes);
    newlines
        .map(|at| at + 1)
        .find(|at| blank_line_length(&bytes[*at..]).is_some())
        .and_then(|at| blank_line_length(&bytes[at..]).map(|length| at + length))
}

/// The end of the last whole event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut newlines = memchr::memrchr_iter(b'\n', bytes);
    newlines.find(|at| ends_event(&bytes[..*at])).map(|at| at + 1)
}

/// Whether a line feed after `before` ends an event, that is, whether the line is empty.
fn ends_event(before: &[u8]) -> bool {
    let line = before.strip_suffix(b"\r").unwrap_or(before);
    line.ends_with(b"\n")
}

/// Whether blocks hold more than comments and blank lines.
fn carries_event(blocks: &[u8]) -> bool {
    let mut lines = blocks.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn blank_line_length(bytes: &[u8]) -> Option<usize> {
    match bytes {
        [b'\n', ..] => Some(1),
        [b'\r', b'\n', ..] => Some(2),
        _ => None,
    }
}

/// The last event id among some events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
