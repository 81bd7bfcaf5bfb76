use super::{EventRecord, Timestamp};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

/// File that new events are appended to.
const CURRENT_FILE: &str = "events.jsonl";
/// Previous file, which rotation replaces.
const OLDER_FILE: &str = "events-older.jsonl";
/// Upper bound of the timestamps made so far.
const CLOCK_FILE: &str = "clock.json";
/// Size at which the current file is rotated.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// How far the stored upper bound is set ahead of the clock.
const CLOCK_RESERVE_MS: u64 = 3_000;
/// Distance between the clock and the stored upper bound at which the bound is moved on.
const MIN_CLOCK_RESERVE_MS: u64 = 1_000;

/// Events of a daemon on disk: one JSON object per line, in a current and a previous file, both of
/// bounded size.
///
/// Nothing is synced: lines that were written survive the end of the process, but a VM that loses
/// power may lose the newest ones.
#[derive(Debug)]
pub struct EventFile {
    folder: PathBuf,
    current: BufWriter<File>,
    size: u64,
    reserved_until: Timestamp,
}

impl EventFile {
    /// Opens the files in a folder, which is created if missing, and reads their records.
    ///
    /// # Errors
    /// If the folder or a file cannot be read or written.
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<EventRecord>)> {
        fs::create_dir_all(folder)?;
        let mut records = read_records(&folder.join(OLDER_FILE))?;
        records.extend(read_records(&folder.join(CURRENT_FILE))?);
        let stored = fs::read(folder.join(CLOCK_FILE)).unwrap_or_default();
        let reserved_until = serde_json::from_slice(&stored).unwrap_or_default();
        let current = open_for_append(folder)?;
        let size = current.metadata()?.len();
        let mut file = Self {
            folder: folder.to_path_buf(),
            current: BufWriter::new(current),
            size,
            reserved_until,
        };
        // Terminates a line that the previous process wrote only in part, so that the next record
        // does not become part of it.
        file.write_line(b"")?;
        Ok((file, records))
    }

    /// Returns an upper bound of the timestamps made before the previous process ended.
    pub fn reserved_until(&self) -> Timestamp {
        self.reserved_until
    }

    /// Appends records and passes them to the operating system.
    ///
    /// # Errors
    /// If writing fails.
    pub fn write<'a, R>(&mut self, records: R) -> io::Result<()>
    where
        R: Iterator<Item = &'a EventRecord>,
    {
        for record in records {
            let line = serde_json::to_vec(record).map_err(io::Error::other)?;
            self.write_line(&line)?;
        }
        self.current.flush()
    }

    /// Stores a new upper bound ahead of `now`, unless the last one is still far enough ahead.
    ///
    /// # Errors
    /// If writing fails.
    pub fn reserve_clock(&mut self, now: Timestamp) -> io::Result<()> {
        if now.millis + MIN_CLOCK_RESERVE_MS < self.reserved_until.millis {
            return Ok(());
        }
        let bound = Timestamp { millis: now.millis + CLOCK_RESERVE_MS, counter: 0 };
        let bytes = serde_json::to_vec(&bound).map_err(io::Error::other)?;
        let temporary = self.folder.join("clock.json.new");
        fs::write(&temporary, bytes)?;
        fs::rename(temporary, self.folder.join(CLOCK_FILE))?;
        self.reserved_until = bound;
        Ok(())
    }

    fn write_line(&mut self, line: &[u8]) -> io::Result<()> {
        self.current.write_all(line)?;
        self.current.write_all(b"\n")?;
        self.size += line.len() as u64 + 1;
        match self.size < MAX_FILE_BYTES {
            true => Ok(()),
            false => self.rotate(),
        }
    }

    fn rotate(&mut self) -> io::Result<()> {
        self.current.flush()?;
        fs::rename(self.folder.join(CURRENT_FILE), self.folder.join(OLDER_FILE))?;
        self.current = BufWriter::new(open_for_append(&self.folder)?);
        self.size = 0;
        Ok(())
    }
}

fn open_for_append(folder: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(folder.join(CURRENT_FILE))
}

/// Reads the records of a file; lines that cannot be parsed, such as an incomplete last one, are
/// skipped.
fn read_records(path: &Path) -> io::Result<Vec<EventRecord>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let lines = bytes.split(|byte| *byte == b'\n');
    Ok(lines.filter_map(|line| serde_json::from_slice(line).ok()).collect())
}
