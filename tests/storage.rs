//! What a data folder holds after crashes, damage and mix-ups.

use bytes::Bytes;
use rstest::rstest;
use samphireshift::consensus::{Entry, HardState, MemberId, Members, Payload, Snapshot};
use samphireshift::name::VmName;
use samphireshift::storage::{DataFolder, GroupStore, LogWriter, RecoveredState, StorageError};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A folder that goes when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn open() -> Self {
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

impl Drop for Folder {
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

fn put(store: &mut GroupStore, entries: &[Entry]) {
    store.put_entries(entries);
    store.sync().unwrap();
}

const HARD: HardState = HardState { term: 2, vote: Some(MemberId(7)) };

/// Six entries in three batches, and where each batch ends, in bytes.
fn three_batches(folder: &Folder) -> Vec<usize> {
    let (mut store, _) = folder.store().unwrap();
    store.put_hard_state(HARD);
    let mut ends = Vec::new();
    for first in [1, 3, 5] {
        put(&mut store, &entries(first, first + 1, 2));
        ends.push(fs::read(folder.file("log")).unwrap().len());
    }
    ends
}

#[test]
fn a_torn_tail_is_cut_at_the_last_whole_batch() {
    let folder = Folder::open();
    let ends = three_batches(&folder);
    let whole = fs::read(folder.file("log")).unwrap();
    for cut in ends[0]..=whole.len() {
        fs::write(folder.file("log"), &whole[..cut]).unwrap();
        let (mut store, recovered) = folder.store().unwrap();
        let batches = ends.iter().filter(|end| **end <= cut).count() as u64;
        assert_eq!(recovered.entries, entries(1, batches * 2, 2), "cut at {cut}");
        assert_eq!(recovered.hard_state, HARD, "cut at {cut}");
        put(&mut store, &[entry(batches * 2 + 1, 3)]);
        drop(store);
        let (_, again) = folder.store().unwrap();
        assert_eq!(again.entries.last(), Some(&entry(batches * 2 + 1, 3)), "cut at {cut}");
    }
}

#[test]
fn a_batch_that_reached_the_disk_in_part_is_cut_whatever_part_that_was() {
    let folder = Folder::open();
    let ends = three_batches(&folder);
    let whole = fs::read(folder.file("log")).unwrap();
    for hole in ends[1]..ends[2] {
        let mut torn = whole.clone();
        let until = (hole + 16).min(ends[2]);
        torn[hole..until].fill(0);
        if torn == whole {
            continue;
        }
        fs::write(folder.file("log"), &torn).unwrap();
        let (_, recovered) = folder.store().unwrap();
        assert_eq!(recovered.entries, entries(1, 4, 2), "hole at {hole}");
    }
}

#[test]
fn a_flipped_byte_before_the_tail_is_refused() {
    let folder = Folder::open();
    let ends = three_batches(&folder);
    let whole = fs::read(folder.file("log")).unwrap();
    for at in 0..ends[1] {
        let mut flipped = whole.clone();
        flipped[at] ^= 0x10;
        fs::write(folder.file("log"), &flipped).unwrap();
        let refused = folder.store().unwrap_err();
        assert!(matches!(refused, StorageError::Corrupt { .. }), "byte {at}: {refused}");
    }
}

#[test]
fn a_flipped_byte_in_a_snapshot_is_refused() {
    let folder = Folder::open();
    let (mut store, _) = folder.store().unwrap();
    put(&mut store, &entries(1, 6, 2));
    store.compact(&snapshot(4, 2), &entries(5, 6, 2)).unwrap();
    let whole = fs::read(folder.file("snapshot")).unwrap();
    for at in 0..whole.len() {
        let mut flipped = whole.clone();
        flipped[at] ^= 0x10;
        fs::write(folder.file("snapshot"), &flipped).unwrap();
        let refused = folder.store().unwrap_err();
        assert!(matches!(refused, StorageError::Corrupt { .. }), "byte {at}: {refused}");
    }
}

#[test]
fn entries_replace_what_was_behind_them() {
    let folder = Folder::open();
    let (mut store, _) = folder.store().unwrap();
    put(&mut store, &entries(1, 6, 1));
    put(&mut store, &entries(4, 5, 3));
    drop(store);
    let (_, recovered) = folder.store().unwrap();
    let expected = [entries(1, 3, 1), entries(4, 5, 3)].concat();
    assert_eq!(recovered.entries, expected);
}

/// What a crash or a mix-up left: a snapshot's index and term, then the log.
struct Case {
    snapshot: Option<(u64, u64)>,
    /// Index of the snapshot that the log was trimmed behind; 0 where it never was.
    base: u64,
    /// Last index and term of the log's entries.
    last: (u64, u64),
    expected: Expected,
}

enum Expected {
    Entries(u64, u64),
    Older,
}

#[rstest]
#[case::snapshot_stored_log_not_yet_trimmed(Case {
    snapshot: Some((4, 2)), base: 0, last: (6, 2), expected: Expected::Entries(5, 6),
})]
#[case::installed_over_a_shorter_log(Case {
    snapshot: Some((9, 3)), base: 0, last: (6, 2), expected: Expected::Entries(1, 0),
})]
#[case::installed_over_a_longer_log_of_an_older_term(Case {
    snapshot: Some((4, 3)), base: 0, last: (6, 2), expected: Expected::Entries(1, 0),
})]
#[case::older_snapshot_put_back(Case {
    snapshot: Some((2, 2)), base: 4, last: (6, 2), expected: Expected::Older,
})]
#[case::older_snapshot_put_back_before_an_empty_log(Case {
    snapshot: Some((2, 2)), base: 4, last: (4, 2), expected: Expected::Older,
})]
#[case::snapshot_gone(Case { snapshot: None, base: 4, last: (6, 2), expected: Expected::Older })]
fn a_snapshot_and_a_log_that_do_not_belong_together(#[case] case: Case) {
    let folder = Folder::open();
    let (mut store, _) = folder.store().unwrap();
    store.put_hard_state(HARD);
    put(&mut store, &entries(1, case.last.0, case.last.1));
    if case.base > 0 {
        store.compact(&snapshot(case.base, 2), &entries(case.base + 1, case.last.0, 2)).unwrap();
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
    assert_eq!(recovered.hard_state, HARD);
    let next = recovered.snapshot.unwrap().index.max(to) + 1;
    put(&mut store, &[entry(next, 4)]);
    drop(store);
    let (_, again) = folder.store().unwrap();
    assert_eq!(again.entries.last(), Some(&entry(next, 4)));
}

#[test]
fn a_log_that_is_gone_is_refused() {
    let folder = Folder::open();
    let (mut store, _) = folder.store().unwrap();
    put(&mut store, &entries(1, 6, 2));
    store.compact(&snapshot(4, 2), &entries(5, 6, 2)).unwrap();
    fs::remove_file(folder.file("log")).unwrap();
    assert!(matches!(folder.store().unwrap_err(), StorageError::Missing { .. }));
}

#[test]
fn a_member_whose_group_is_gone_may_not_vote_anew() {
    let folder = Folder::open();
    let vm = VmName::new("entry-1");
    let mut data = DataFolder::open(&folder.0, &vm).unwrap();
    data.open_group("control").unwrap();
    data.set_cluster(9).unwrap();
    data.open_group("control").unwrap();
    fs::remove_dir_all(folder.file("control")).unwrap();
    assert!(matches!(data.open_group("control").unwrap_err(), StorageError::Missing { .. }));
}

#[test]
fn a_folder_of_another_vm_is_refused_and_an_emptied_one_is_a_new_member() {
    let folder = Folder::open();
    let first = DataFolder::open(&folder.0, &VmName::new("a")).unwrap().identity().incarnation;
    let other = DataFolder::open(&folder.0, &VmName::new("b")).unwrap_err();
    assert!(matches!(other, StorageError::WrongVm { .. }));
    fs::remove_dir_all(&folder.0).unwrap();
    let second = DataFolder::open(&folder.0, &VmName::new("a")).unwrap().identity().incarnation;
    assert_ne!(first, second);
}

/// A disk that fails after so many bytes, or when it is told to sync.
#[derive(Debug)]
struct Failing {
    path: PathBuf,
    room: usize,
    syncs: bool,
}

impl LogWriter for Failing {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let taken = bytes.len().min(self.room);
        self.room -= taken;
        let mut file = fs::OpenOptions::new().append(true).open(&self.path)?;
        io::Write::write_all(&mut file, &bytes[..taken])?;
        match taken == bytes.len() {
            true => Ok(()),
            false => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        match self.syncs {
            true => Ok(()),
            false => Err(io::Error::other("input/output error")),
        }
    }
}

#[rstest]
#[case::full_at_once(0, true)]
#[case::full_in_a_header(5, true)]
#[case::full_in_a_record(50, true)]
#[case::sync_fails(1 << 20, false)]
fn after_an_error_nothing_is_promised_any_more(#[case] room: usize, #[case] syncs: bool) {
    let folder = Folder::open();
    let (mut store, _) = folder.store().unwrap();
    put(&mut store, &entries(1, 2, 1));
    store.set_writer(Box::new(Failing { path: folder.file("log"), room, syncs }));
    store.put_entries(&entries(3, 4, 1));
    assert!(matches!(store.sync().unwrap_err(), StorageError::Io { .. }));
    store.put_entries(&entries(5, 5, 1));
    assert!(matches!(store.sync().unwrap_err(), StorageError::EarlierWriteFailed { .. }));
    let trimmed = store.compact(&snapshot(2, 1), &[]);
    assert!(matches!(trimmed.unwrap_err(), StorageError::EarlierWriteFailed { .. }));
    drop(store);
    let (_, recovered) = folder.store().unwrap();
    assert_eq!(recovered.entries[..2], entries(1, 2, 1), "what was synced stays");
}

/// A disk that is full for its first writes, which leave some of their bytes behind.
#[derive(Debug)]
struct Full {
    file: fs::File,
    refusals: u32,
}

impl LogWriter for Full {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.refusals == 0 {
            return self.file.append(bytes);
        }
        self.refusals -= 1;
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
fn a_write_that_a_full_disk_refused_is_done_when_there_is_room() {
    let folder = Folder::open();
    let (mut store, _) = folder.store().unwrap();
    put(&mut store, &entries(1, 2, 1));
    let opened = fs::OpenOptions::new().append(true).open(folder.file("log"));
    store.set_writer(Box::new(Full { file: opened.unwrap(), refusals: 2 }));
    store.put_entries(&entries(3, 4, 1));
    for _ in 0..2 {
        assert!(matches!(store.sync().unwrap_err(), StorageError::NotWritten { .. }));
    }
    store.sync().unwrap();
    put(&mut store, &entries(5, 6, 1));
    drop(store);
    assert_eq!(folder.store().unwrap().1.entries, entries(1, 6, 1));
}

#[test]
fn writes_that_were_never_synced_are_not_recovered() {
    let folder = Folder::open();
    let (mut store, _) = folder.store().unwrap();
    put(&mut store, &entries(1, 2, 1));
    store.put_entries(&entries(3, 9, 1));
    drop(store);
    assert_eq!(folder.store().unwrap().1.entries, entries(1, 2, 1));
    assert!(Path::new(&folder.file("log")).exists());
}
