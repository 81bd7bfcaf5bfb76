use std::fmt::Debug;
use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};

/// Writes the bytes of a log to durable storage.
pub trait LogWriter: Debug + Send {
    /// Appends bytes. They may be lost in a crash until [`LogWriter::sync`] has returned.
    ///
    /// # Errors
    /// Any error from the operating system, such as a full disk.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all appended bytes durable.
    ///
    /// # Errors
    /// Any error from the operating system. The appended bytes may then be on disk or not.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the log to `len` bytes. Removes unsynced bytes after a failed append, so that the
    /// append can be retried.
    ///
    /// # Errors
    /// If that is not possible. The appended bytes may then be on disk or not.
    fn truncate(&mut self, len: u64) -> io::Result<()> {
        let text = format!("cannot be truncated to {len} bytes");
        Err(io::Error::new(io::ErrorKind::Unsupported, text))
    }
}

impl LogWriter for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.set_len(len)?;
        self.seek(SeekFrom::Start(len)).map(|_| ())
    }
}
