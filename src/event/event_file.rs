use super::{EventRecord, Stamp};
use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};

/// The newer of two generations.
const CURRENT_FILE: &str = "events.jsonl";
/// The older of two generations.
const OLDER_FILE: &str = "events-older.jsonl";
/// A stamp behind every reading made so far.
const CLOCK_FILE: &str = "clock.json";
/// The size at which a generation is closed, in bytes.
const FILE_BYTES: u64 = 4 << 20;
/// How far the stored stamp lies ahead of the readings made, in milliseconds.
const RESERVE: u64 = 3_000;
/// What must be left of the reserve before it is renewed, in milliseconds.
const RESERVE_LEFT: u64 = 1_000;

/// A daemon's events on disk: one line of JSON each, in two generations of bounded size.
///
/// Nothing is synced: a process that ends loses no line that was written; a VM that loses power may
/// lose the newest.
#[derive(Debug)]
pub struct EventFile {
    folder: PathBuf,
    current: BufWriter<File>,
    size: u64,
    reserved: Stamp,
}

impl EventFile {
    /// Opens the files in a folder, making it where needed, and reads what they hold.
    ///
    /// # Errors
    /// Where the folder or a file cannot be read or written.
    pub fn open(folder: &Path) -> io::Result<(Self, Vec<EventRecord>)> {
        fs::create_dir_all(folder)?;
        let mut records = read(&folder.join(OLDER_FILE))?;
        records.extend(read(&folder.join(CURRENT_FILE))?);
        let stored = fs::read(folder.join(CLOCK_FILE)).unwrap_or_default();
        let reserved = serde_json::from_slice(&stored).unwrap_or_default();
        let current = append(folder)?;
        let size = current.metadata()?.len();
        let mut file =
            Self { folder: folder.to_path_buf(), current: BufWriter::new(current), size, reserved };
        // A line that was torn by the end of the last process must not swallow the next one.
        file.write_line(b"")?;
        Ok((file, records))
    }

    /// A stamp behind every reading made before the last process ended.
    pub fn reserved(&self) -> Stamp {
        self.reserved
    }

    /// Appends records and makes them visible to the operating system.
    ///
    /// # Errors
    /// Where the disk refuses.
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

    /// Stores a stamp ahead of `now`, unless enough of the last reserve is left.
    ///
    /// # Errors
    /// Where the disk refuses.
    pub fn reserve(&mut self, now: Stamp) -> io::Result<()> {
        if now.millis + RESERVE_LEFT < self.reserved.millis {
            return Ok(());
        }
        let stamp = Stamp { millis: now.millis + RESERVE, counter: 0 };
        let bytes = serde_json::to_vec(&stamp).map_err(io::Error::other)?;
        let draft = self.folder.join("clock.json.new");
        fs::write(&draft, bytes)?;
        fs::rename(draft, self.folder.join(CLOCK_FILE))?;
        self.reserved = stamp;
        Ok(())
    }

    fn write_line(&mut self, line: &[u8]) -> io::Result<()> {
        self.current.write_all(line)?;
        self.current.write_all(b"\n")?;
        self.size += line.len() as u64 + 1;
        match self.size < FILE_BYTES {
            true => Ok(()),
            false => self.rotate(),
        }
    }

    fn rotate(&mut self) -> io::Result<()> {
        self.current.flush()?;
        fs::rename(self.folder.join(CURRENT_FILE), self.folder.join(OLDER_FILE))?;
        self.current = BufWriter::new(append(&self.folder)?);
        self.size = 0;
        Ok(())
    }
}

fn append(folder: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(folder.join(CURRENT_FILE))
}

/// The records of a file; lines that cannot be read, such as a torn last one, are skipped.
fn read(path: &Path) -> io::Result<Vec<EventRecord>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let lines = bytes.split(|byte| *byte == b'\n');
    Ok(lines.filter_map(|line| serde_json::from_slice(line).ok()).collect())
}
