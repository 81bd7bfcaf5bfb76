//! Streams of small events that are held for callers that do not read. Alone in its process, whose
//! peak of memory it measures.

use bytes::Bytes;
use futures::FutureExt;
use futures::stream;
use http_body::{Body, Frame};
use http_body_util::StreamBody;
use samphireshift::backend::ByteBudget;
use samphireshift::gateway::EventSplitter;
use samphireshift::held_answers::{CallerReader, ReaderBounds};
use std::io;
use std::task::Poll;

const MIB: usize = 1 << 20;
const BOUNDS: ReaderBounds = ReaderBounds { ahead: 256 << 10, write_buffer: 16 << 10 };
/// Callers that take nothing.
const READERS: usize = 100;
/// What the process takes beside the answers, as for the readers themselves.
const OTHER_BYTES: usize = 2 * MIB;

/// The most memory that this process has had, in bytes.
fn peak_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").trim().parse::<usize>().unwrap() << 10
}

/// An endless stream of events, each of which arrives alone.
fn events() -> impl Body<Data = Bytes, Error = io::Error> + Send + 'static {
    let mut splitter = EventSplitter::default();
    let next = move || splitter.push(b"d:x\n\n").map(Frame::data);
    StreamBody::new(stream::iter(std::iter::repeat_with(next)))
}

/// Guards against many small events that take more memory than counts (memory over the limit).
#[test]
fn small_events_take_no_more_memory_than_counts() {
    let budget = ByteBudget::new(64 * MIB);
    let before = peak_bytes();
    let hold = |number: usize| {
        let reader = CallerReader::new(&budget, BOUNDS);
        let body = reader.hold(&number.to_string(), events(), None);
        reader.record_write(&Poll::Pending, || 0);
        assert!(reader.serve(std::future::pending::<()>()).now_or_never().is_none());
        (body, reader)
    };
    let held: Vec<_> = (0..READERS).map(hold).collect();
    let (counted, grown) = (budget.held(), peak_bytes() - before);
    println!("{counted} bytes count, the peak grew by {grown}");
    assert!(counted >= READERS * BOUNDS.ahead, "{counted} count");
    assert!(grown <= counted + OTHER_BYTES, "{grown} bytes, and {counted} count");
    drop(held);
    assert_eq!(budget.held(), 0);
}
