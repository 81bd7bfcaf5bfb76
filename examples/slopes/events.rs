//! Cost of recording an event while a request is served.

use samphireshift::event::{Event, Journal};
use samphireshift::name::{RequestId, VmName};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Compares two ways of recording events: the journal, whose thread writes them in the background,
/// and formatting and writing each event synchronously, as the journal did before.
pub fn run(size: usize) {
    let request = RequestId::random();
    let event = |i: usize| Event::AnswerRelayed { request, tokens: i as u64 };
    let folder = std::env::temp_dir().join(format!("samphireshift-slopes-{}", std::process::id()));
    let journal =
        Journal::open(VmName::new("entry-1"), &folder).expect("failed to open the event folder");
    let journal = Arc::new(journal);
    journal.spawn_writer().expect("failed to start the writer thread");
    let micros = mean_micros(size, |i| journal.record(event(i)));
    println!("  recorded, written by the thread: {micros:.3} us an event");
    journal.flush();
    let sink = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("sink"));
    let sink = Mutex::new(sink.expect("failed to open the sink file"));
    let query = samphireshift::event::EventQuery { limit: Some(1), ..Default::default() };
    let record = journal.select(&query).events.remove(0);
    let micros = mean_micros(size, |_| {
        let line = format!("{{\"message\":\"{record}\"}}\n");
        sink.lock()
            .expect("sink lock is poisoned")
            .write_all(line.as_bytes())
            .expect("failed to write the line");
    });
    println!("  formatted and written at once, as before: {micros:.3} us an event");
    std::fs::remove_dir_all(&folder).expect("failed to remove the event folder");
}

/// Mean duration of one operation, in microseconds.
fn mean_micros<F>(size: usize, mut operation: F) -> f64
where
    F: FnMut(usize),
{
    let started_at = Instant::now();
    (0..size).for_each(&mut operation);
    started_at.elapsed().as_secs_f64() * 1e6 / size as f64
}
