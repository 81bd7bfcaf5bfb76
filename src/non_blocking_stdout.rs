//! A log appender that never blocks the threads that log.

use logforth::append::Append;
use logforth::layout::Layout;
use logforth::record::Record;
use logforth::{Diagnostic, Error};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Maximum size of the buffered lines. Lines that do not fit are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Delay between the first buffered line and the write, so that a busy process writes lines in
/// batches instead of waking the writer thread for each.
const WRITE_DELAY: Duration = Duration::from_millis(200);

/// Writes log lines to standard output from a separate thread. If the reader of the output stalls,
/// lines are dropped; a later line reports the number dropped for each log target.
#[derive(Debug)]
pub struct NonBlockingStdout {
    layout: Box<dyn Layout>,
    queue: Arc<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    pending: Mutex<PendingLines>,
    not_empty: Condvar,
}

#[derive(Debug, Default)]
struct PendingLines {
    lines: Vec<u8>,
    omitted: BTreeMap<String, u64>,
}

impl NonBlockingStdout {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn spawn<L>(layout: L) -> std::io::Result<Self>
    where
        L: Into<Box<dyn Layout>>,
    {
        let queue: Arc<Queue> = Arc::default();
        let shared = queue.clone();
        let builder = std::thread::Builder::new().name("logs".to_owned());
        builder.spawn(move || write_loop(&shared))?;
        Ok(Self { layout: layout.into(), queue })
    }
}

impl Append for NonBlockingStdout {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        let mut pending = self.queue.pending.lock().expect("log lock");
        let idle = pending.lines.is_empty();
        if pending.lines.len() + line.len() < MAX_BUFFERED_BYTES {
            pending.lines.extend_from_slice(&line);
            pending.lines.push(b'\n');
        } else {
            *pending.omitted.entry(record.target().to_owned()).or_default() += 1;
        }
        if idle {
            self.queue.not_empty.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_loop(queue: &Queue) {
    let mut output = std::io::stdout();
    loop {
        let mut pending = queue.pending.lock().expect("log lock");
        while pending.lines.is_empty() {
            pending = queue.not_empty.wait(pending).expect("log lock");
        }
        drop(pending);
        std::thread::sleep(WRITE_DELAY);
        let mut pending = queue.pending.lock().expect("log lock");
        let mut lines = std::mem::take(&mut pending.lines);
        for (target, count) in std::mem::take(&mut pending.omitted) {
            let line = serde_json::json!({ "level": "WARN", "target": target, "omitted": count });
            lines.extend_from_slice(format!("{line}\n").as_bytes());
        }
        drop(pending);
        if output.write_all(&lines).and_then(|()| output.flush()).is_err() {
            // The output is closed: from now on lines fill the buffer, then are only counted.
            return;
        }
    }
}
