//! Recovery of a data folder after crashes, corruption, write errors and restored old files.

use bytes::Bytes;
use rstest::rstest;
use samphireshift::consensus::{Entry, HardState, MemberId, Members, Payload, Snapshot};
use samphireshift::name::VmName;
use samphireshift::storage::{DataFolder, GroupStore, LogWriter, RecoveredState, StorageError};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// Temporary folder, removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("samphireshift-storage-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn store(&self) -> Result<(GroupStore, RecoveredState), StorageError> {
        GroupStore::open(&self.0)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(Bytes::from(vec![index as u8; 40]));
    Entry { index, term, payload }
}

fn entries(from: u64, to: u64, term: u64) -> Vec<Entry> {
    (from..=to).map(|index| entry(index, term)).collect()
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot { index, term, members: Members::default(), data: Bytes::from_static(b"state") }
}

fn append_and_sync(store: &mut GroupStore, entries: &[Entry]) {
    store.put_entries(entries);
    store.sync().unwrap();
}

const HARD_STATE: HardState = HardState { term: 2, vote: Some(MemberId(7)) };

/// Writes six entries in three batches; returns the length of the log after each batch, in bytes.
fn write_three_batches(folder: &TempFolder) -> Vec<usize> {
    let (mut store, _) = folder.store().unwrap();
    store.put_hard_state(HARD_STATE);
    let mut ends = Vec::new();
    for first in [1, 3, 5] {
        append_and_sync(&mut store, &entries(first, first + 1, 2));
        ends.push(fs::read(folder.file("log")).unwrap().len());
    }
    ends
}

#[test]
fn a_truncated_log_is_recovered_up_to_the_last_complete_batch() {
    let folder = TempFolder::new();
    let ends = write_three_batches(&folder);
    let complete_file = fs::read(folder.file("log")).unwrap();
    for cut in ends[0]..=complete_file.len() {
        fs::write(folder.file("log"), &complete_file[..cut]).unwrap();
        let (mut store, recovered) = folder.store().unwrap();
        let batches = ends.iter().filter(|end| **end <= cut).count() as u64;
        assert_eq!(recovered.entries, entries(1, batches * 2, 2), "truncated to {cut} bytes");
        assert_eq!(recovered.hard_state, HARD_STATE, "truncated to {cut} bytes");
        append_and_sync(&mut store, &[entry(batches * 2 + 1, 3)]);
        drop(store);
        let (_, again) = folder.store().unwrap();
        assert_eq!(
            again.entries.last(),
            Some(&entry(batches * 2 + 1, 3)),
            "truncated to {cut} bytes"
        );
    }
}

#[test]
fn a_last_batch_with_any_part_missing_is_dropped() {
    let folder = TempFolder::new();
    let ends = write_three_batches(&folder);
    let complete_file = fs::read(folder.file("log")).unwrap();
    for hole in ends[1]..ends[2] {
        let mut torn = complete_file.clone();
        let until = (hole + 16).min(ends[2]);
        torn[hole..until].fill(0);
        if torn == complete_file {
            continue;
        }
        fs::write(folder.file("log"), &torn).unwrap();
        let (_, recovered) = folder.store().unwrap();
        assert_eq!(recovered.entries, entries(1, 4, 2), "16 zero bytes at offset {hole}");
    }
}

#[test]
fn a_corrupt_byte_before_the_last_batch_is_an_error() {
    let folder = TempFolder::new();
    let ends = write_three_batches(&folder);
    let complete_file = fs::read(folder.file("log")).unwrap();
    for at in 0..ends[1] {
        let mut corrupt = complete_file.clone();
        corrupt[at] ^= 0x10;
        fs::write(folder.file("log"), &corrupt).unwrap();
        let error = folder.store().unwrap_err();
        assert!(
            matches!(error, StorageError::Corrupt { .. }),
            "corrupt byte at offset {at}: {error}"
        );
    }
}

#[test]
fn a_corrupt_byte_in_a_snapshot_is_an_error() {
    let folder = TempFolder::new();
    let (mut store, _) = folder.store().unwrap();
    append_and_sync(&mut store, &entries(1, 6, 2));
    store.compact(&snapshot(4, 2), &entries(5, 6, 2)).unwrap();
    let complete_file = fs::read(folder.file("snapshot")).unwrap();
    for at in 0..complete_file.len() {
        let mut corrupt = complete_file.clone();
        corrupt[at] ^= 0x10;
        fs::write(folder.file("snapshot"), &corrupt).unwrap();
        let error = folder.store().unwrap_err();
        assert!(
            matches!(error, StorageError::Corrupt { .. }),
            "corrupt byte at offset {at}: {error}"
        );
    }
}

#[test]
fn written_entries_replace_those_from_their_first_index_on() {
    let folder = TempFolder::new();
    let (mut store, _) = folder.store().unwrap();
    append_and_sync(&mut store, &entries(1, 6, 1));
    append_and_sync(&mut store, &entries(4, 5, 3));
    drop(store);
    let (_, recovered) = folder.store().unwrap();
    let expected = [entries(1, 3, 1), entries(4, 5, 3)].concat();
    assert_eq!(recovered.entries, expected);
}

/// Snapshot and log as a crash or a restored old file leaves them.
struct Case {
    /// Index and term of the snapshot; `None` where the file is missing.
    snapshot: Option<(u64, u64)>,
    /// Index of the snapshot at which the log was compacted; 0 for a log never compacted.
    log_start: u64,
    /// Index and term of the last entry of the log.
    last: (u64, u64),
    expected: Expected,
}

enum Expected {
    /// First and last index of the recovered entries.
    Entries(u64, u64),
    /// The error `SnapshotTooOld`.
    SnapshotTooOld,
}

#[rstest]
#[case::crash_between_snapshot_and_compaction(Case {
    snapshot: Some((4, 2)), log_start: 0, last: (6, 2), expected: Expected::Entries(5, 6),
})]
#[case::snapshot_installed_over_a_shorter_log(Case {
    snapshot: Some((9, 3)), log_start: 0, last: (6, 2), expected: Expected::Entries(1, 0),
})]
#[case::snapshot_installed_over_a_longer_log_of_an_older_term(Case {
    snapshot: Some((4, 3)), log_start: 0, last: (6, 2), expected: Expected::Entries(1, 0),
})]
#[case::older_snapshot_restored(Case {
    snapshot: Some((2, 2)), log_start: 4, last: (6, 2), expected: Expected::SnapshotTooOld,
})]
#[case::older_snapshot_restored_before_an_empty_log(Case {
    snapshot: Some((2, 2)), log_start: 4, last: (4, 2), expected: Expected::SnapshotTooOld,
})]
#[case::snapshot_missing(Case { snapshot: None, log_start: 4, last: (6, 2), expected: Expected::SnapshotTooOld })]
fn a_snapshot_and_a_log_that_do_not_match(#[case] case: Case) {
    let folder = TempFolder::new();
    let (mut store, _) = folder.store().unwrap();
    store.put_hard_state(HARD_STATE);
    append_and_sync(&mut store, &entries(1, case.last.0, case.last.1));
    if case.log_start > 0 {
        store
            .compact(&snapshot(case.log_start, 2), &entries(case.log_start + 1, case.last.0, 2))
            .unwrap();
    }
    match case.snapshot {
        Some((index, term)) => store.snapshot_file().write(&snapshot(index, term)).unwrap(),
        None => fs::remove_file(folder.file("snapshot")).unwrap(),
    }
    drop(store);
    let opened = folder.store();
    let Expected::Entries(from, to) = case.expected else {
        assert!(matches!(opened, Err(StorageError::SnapshotTooOld { .. })), "{opened:?}");
        return;
    };
    let (mut store, recovered) = opened.unwrap();
    assert_eq!(recovered.entries, entries(from, to, 2));
    assert_eq!(recovered.hard_state, HARD_STATE);
    let next = recovered.snapshot.unwrap().index.max(to) + 1;
    append_and_sync(&mut store, &[entry(next, 4)]);
    drop(store);
    let (_, again) = folder.store().unwrap();
    assert_eq!(again.entries.last(), Some(&entry(next, 4)));
}

#[test]
fn a_missing_log_is_an_error() {
    let folder = TempFolder::new();
    let (mut store, _) = folder.store().unwrap();
    append_and_sync(&mut store, &entries(1, 6, 2));
    store.compact(&snapshot(4, 2), &entries(5, 6, 2)).unwrap();
    fs::remove_file(folder.file("log")).unwrap();
    assert!(matches!(folder.store().unwrap_err(), StorageError::Missing { .. }));
}

#[test]
fn a_missing_group_folder_of_a_cluster_member_is_an_error() {
    let folder = TempFolder::new();
    let vm = VmName::new("entry-1");
    let mut data = DataFolder::open(&folder.0, &vm).unwrap();
    data.open_group("control").unwrap();
    data.set_cluster(9).unwrap();
    data.open_group("control").unwrap();
    fs::remove_dir_all(folder.file("control")).unwrap();
    assert!(matches!(data.open_group("control").unwrap_err(), StorageError::Missing { .. }));
}

#[test]
fn the_folder_of_another_vm_is_an_error_and_an_empty_one_makes_a_new_member() {
    let folder = TempFolder::new();
    let first = DataFolder::open(&folder.0, &VmName::new("a")).unwrap().identity().incarnation;
    let other = DataFolder::open(&folder.0, &VmName::new("b")).unwrap_err();
    assert!(matches!(other, StorageError::WrongVm { .. }));
    fs::remove_dir_all(&folder.0).unwrap();
    let second = DataFolder::open(&folder.0, &VmName::new("a")).unwrap().identity().incarnation;
    assert_ne!(first, second);
}

/// Log writer whose disk is full after `capacity` bytes, or whose sync fails.
#[derive(Debug)]
struct FailingWriter {
    path: PathBuf,
    capacity: usize,
    sync_works: bool,
}

impl LogWriter for FailingWriter {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = bytes.len().min(self.capacity);
        self.capacity -= written;
        let mut file = fs::OpenOptions::new().append(true).open(&self.path)?;
        io::Write::write_all(&mut file, &bytes[..written])?;
        match written == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        match self.sync_works {
            true => Ok(()),
            false => Err(io::Error::other("input/output error")),
        }
    }
}

#[rstest]
#[case::full_from_the_start(0, true)]
#[case::full_in_a_header(5, true)]
#[case::full_in_a_record(50, true)]
#[case::sync_fails(1 << 20, false)]
fn after_an_error_that_cannot_be_undone_every_later_write_fails(
    #[case] capacity: usize,
    #[case] sync_works: bool,
) {
    let folder = TempFolder::new();
    let (mut store, _) = folder.store().unwrap();
    append_and_sync(&mut store, &entries(1, 2, 1));
    store.set_writer(Box::new(FailingWriter { path: folder.file("log"), capacity, sync_works }));
    store.put_entries(&entries(3, 4, 1));
    assert!(matches!(store.sync().unwrap_err(), StorageError::Io { .. }));
    store.put_entries(&entries(5, 5, 1));
    assert!(matches!(store.sync().unwrap_err(), StorageError::EarlierWriteFailed { .. }));
    let compacted = store.compact(&snapshot(2, 1), &[]);
    assert!(matches!(compacted.unwrap_err(), StorageError::EarlierWriteFailed { .. }));
    drop(store);
    let (_, recovered) = folder.store().unwrap();
    assert_eq!(recovered.entries[..2], entries(1, 2, 1), "synced entries must be recovered");
}

/// Log writer whose first appends fail on a full disk after writing half of their bytes.
#[derive(Debug)]
struct FullDiskWriter {
    file: fs::File,
    failures_left: u32,
}

impl LogWriter for FullDiskWriter {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.failures_left == 0 {
            return self.file.append(bytes);
        }
        self.failures_left -= 1;
        self.file.append(&bytes[..bytes.len() / 2])?;
        Err(io::ErrorKind::StorageFull.into())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.file.truncate(len)
    }
}

#[test]
fn a_write_that_failed_on_a_full_disk_succeeds_once_there_is_space() {
    let folder = TempFolder::new();
    let (mut store, _) = folder.store().unwrap();
    append_and_sync(&mut store, &entries(1, 2, 1));
    let opened = fs::OpenOptions::new().append(true).open(folder.file("log"));
    store.set_writer(Box::new(FullDiskWriter { file: opened.unwrap(), failures_left: 2 }));
    store.put_entries(&entries(3, 4, 1));
    for _ in 0..2 {
        assert!(matches!(store.sync().unwrap_err(), StorageError::NotWritten { .. }));
    }
    store.sync().unwrap();
    append_and_sync(&mut store, &entries(5, 6, 1));
    drop(store);
    assert_eq!(folder.store().unwrap().1.entries, entries(1, 6, 1));
}

#[test]
fn entries_that_were_not_synced_are_not_recovered() {
    let folder = TempFolder::new();
    let (mut store, _) = folder.store().unwrap();
    append_and_sync(&mut store, &entries(1, 2, 1));
    store.put_entries(&entries(3, 9, 1));
    drop(store);
    assert_eq!(folder.store().unwrap().1.entries, entries(1, 2, 1));
    assert!(Path::new(&folder.file("log")).exists());
}
