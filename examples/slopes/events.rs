//! The cost of recording an event on a request's path.

use samphireshift::event::{Event, Journal};
use samphireshift::name::{RequestId, VmName};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Records events as the journal does, and as it did while it wrote each one itself.
pub fn run(size: usize) {
    let request = RequestId::random();
    let event = |i: usize| Event::AnswerRelayed { request, tokens: i as u64 };
    let folder = std::env::temp_dir().join(format!("samphireshift-slopes-{}", std::process::id()));
    let journal = Journal::open(VmName::new("entry-1"), &folder).expect("a folder for events");
    let journal = Arc::new(journal);
    journal.spawn_writer().expect("a thread");
    let micros = time(size, |i| journal.record(event(i)));
    println!("  recorded, written by the thread: {micros:.3} us an event");
    journal.flush();
    let sink = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("sink"));
    let sink = Mutex::new(sink.expect("a file"));
    let query = samphireshift::event::EventQuery { limit: Some(1), ..Default::default() };
    let record = journal.select(&query).events.remove(0);
    let micros = time(size, |_| {
        let line = format!("{{\"message\":\"{record}\"}}\n");
        sink.lock().expect("sink lock").write_all(line.as_bytes()).expect("a written line");
    });
    println!("  formatted and written at once, as before: {micros:.3} us an event");
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
}

fn time<F>(size: usize, mut work: F) -> f64
where
    F: FnMut(usize),
{
    let started = Instant::now();
    (0..size).for_each(&mut work);
    started.elapsed().as_secs_f64() * 1e6 / size as f64
}
