use std::fmt::Debug;
use std::fs::File;
use std::io::{self, Seek, SeekFrom, Write};

/// Where a log's bytes go.
pub trait Media: Debug + Send {
    /// Appends bytes; they may be lost in a crash until [`Media::sync`] has returned.
    ///
    /// # Errors
    /// What the operating system reports, such as a full disk.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything appended last.
    ///
    /// # Errors
    /// What the operating system reports; what was appended is then in an unknown state.
    fn sync(&mut self) -> io::Result<()>;

    /// Takes back what was appended beyond the first `len` bytes and not synced, so that it can be
    /// appended again.
    ///
    /// # Errors
    /// Where that is not possible; what was appended is then in an unknown state.
    fn cut(&mut self, len: u64) -> io::Result<()> {
        let text = format!("cannot be cut to {len} bytes");
        Err(io::Error::new(io::ErrorKind::Unsupported, text))
    }
}

impl Media for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn cut(&mut self, len: u64) -> io::Result<()> {
        self.set_len(len)?;
        self.seek(SeekFrom::Start(len)).map(|_| ())
    }
}
