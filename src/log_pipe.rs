//! Logs that never hold their writers up.

use logforth::append::Append;
use logforth::layout::Layout;
use logforth::record::Record;
use logforth::{Diagnostic, Error};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Bytes that wait for a reader of the output, at most; what comes beyond is counted and left out.
const ROOM: usize = 256 << 10;

/// How long lines gather before they are written, so that a busy process is not woken for each.
const LINGER: Duration = Duration::from_millis(200);

/// Appends lines to the standard output from a thread of its own. Where nobody reads the output,
/// lines are left out, and a later line says how many of each target.
#[derive(Debug)]
pub struct LogPipe {
    layout: Box<dyn Layout>,
    queue: Arc<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: Mutex<Waiting>,
    filled: Condvar,
}

#[derive(Debug, Default)]
struct Waiting {
    lines: Vec<u8>,
    omitted: BTreeMap<String, u64>,
}

impl LogPipe {
    /// Starts the thread that writes.
    ///
    /// # Errors
    /// Where no thread can be started.
    pub fn spawn<L>(layout: L) -> std::io::Result<Self>
    where
        L: Into<Box<dyn Layout>>,
    {
        let queue: Arc<Queue> = Arc::default();
        let source = queue.clone();
        let builder = std::thread::Builder::new().name("logs".to_owned());
        builder.spawn(move || write_for_ever(&source))?;
        Ok(Self { layout: layout.into(), queue })
    }
}

impl Append for LogPipe {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        let mut waiting = self.queue.waiting.lock().expect("log lock");
        let idle = waiting.lines.is_empty();
        if waiting.lines.len() + line.len() < ROOM {
            waiting.lines.extend_from_slice(&line);
            waiting.lines.push(b'\n');
        } else {
            *waiting.omitted.entry(record.target().to_owned()).or_default() += 1;
        }
        if idle {
            self.queue.filled.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_for_ever(queue: &Queue) {
    let mut output = std::io::stdout();
    loop {
        let mut waiting = queue.waiting.lock().expect("log lock");
        while waiting.lines.is_empty() {
            waiting = queue.filled.wait(waiting).expect("log lock");
        }
        drop(waiting);
        std::thread::sleep(LINGER);
        let mut waiting = queue.waiting.lock().expect("log lock");
        let mut lines = std::mem::take(&mut waiting.lines);
        for (target, count) in std::mem::take(&mut waiting.omitted) {
            let line = serde_json::json!({ "level": "WARN", "target": target, "omitted": count });
            lines.extend_from_slice(format!("{line}\n").as_bytes());
        }
        drop(waiting);
        if output.write_all(&lines).and_then(|()| output.flush()).is_err() {
            // Nobody can read any more; lines go on being counted.
            return;
        }
    }
}
