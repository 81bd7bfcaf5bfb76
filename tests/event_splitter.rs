//! Streams of events that are cut at every byte, and split into pieces of any size.

use proptest::prelude::*;
use samphireshift::gateway::{EventSplitter, StreamEnd};

/// A sound stream: its blocks, each an event or a comment, with one kind of line end.
#[derive(Debug, Clone)]
struct Stream {
    blocks: Vec<String>,
}

impl Stream {
    fn text(&self) -> String {
        self.blocks.concat()
    }

    /// What the first `length` bytes amount to, by a scan for whole blocks.
    fn expected(&self, length: usize) -> (String, StreamEnd) {
        let (mut whole, mut seen) = (String::new(), false);
        for block in &self.blocks {
            if whole.len() + block.len() > length {
                break;
            }
            whole.push_str(block);
            seen |= !block.starts_with(':');
        }
        let text = self.text();
        let rest = &text.as_bytes()[whole.len()..length];
        let end = match (rest, seen) {
            ([] | [b':', ..], true) => StreamEnd::BetweenEvents,
            ([] | [b':', ..], false) => StreamEnd::NoEvent,
            (_, true) => StreamEnd::InsideEvent,
            (_, false) => StreamEnd::InsideFirstEvent,
        };
        (whole, end)
    }
}

fn streams() -> impl Strategy<Value = Stream> {
    let block = (any::<bool>(), "[a-z: ]{0,12}", 0u8..6);
    (proptest::collection::vec(block, 1..6), any::<bool>()).prop_map(
        |(blocks, carriage_returns)| {
            let end = if carriage_returns { "\r\n" } else { "\n" };
            let to_text = |(number, (with_id, text, kind)): (usize, (bool, String, u8))| {
                let id = if with_id { format!("id: {number}{end}") } else { String::new() };
                match kind {
                    0 => format!(": {text}{end}{end}"),
                    1 => format!("{id}data: {text}{end}data: more{end}{end}"),
                    _ => format!("{id}data: {text}{end}{end}"),
                }
            };
            Stream { blocks: blocks.into_iter().enumerate().map(to_text).collect() }
        },
    )
}

proptest! {
    /// Guards against the part of an event that is passed on as the end of a stream.
    #[test]
    fn a_stream_cut_at_any_byte_passes_on_whole_events_only(
        stream in streams(),
        piece in 1usize..9,
    ) {
        let text = stream.text();
        for length in 0..=text.len() {
            let mut splitter = EventSplitter::default();
            let mut passed = Vec::new();
            for part in text.as_bytes()[..length].chunks(piece) {
                passed.extend_from_slice(&splitter.push(part).unwrap());
            }
            let (whole, end) = stream.expected(length);
            prop_assert_eq!(String::from_utf8(passed).unwrap(), whole);
            prop_assert_eq!(splitter.end(), end, "after {} bytes of {:?}", length, &text);
        }
    }

    /// Guards against events lost or doubled where a stream goes on at another server.
    #[test]
    fn a_resumed_stream_passes_on_each_event_once(cut in 0usize..200, repeated in 0u64..8) {
        let event = |id: u64| format!("id: {id}\ndata: piece {id}\n\n");
        let text: String = (1..=8).map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut passed = splitter.push(&text.as_bytes()[..cut.min(text.len())]).unwrap().to_vec();
        splitter.resume();
        let next = splitter.last_id().unwrap_or(0) + 1;
        let rest: String = (next.saturating_sub(repeated).max(1)..=8).map(event).collect();
        passed.extend_from_slice(&splitter.push(rest.as_bytes()).unwrap());
        prop_assert_eq!(String::from_utf8(passed).unwrap(), text);
    }
}
