//! Writes that a process recovered, after a kill or a failed sync, survive a later loss of power.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use calicohoist_replication::storage::Write;
use calicohoist_replication::{Disk, DiskError, DiskLog, Entry, EntryKind, GroupId};

const GROUP: GroupId = GroupId(3);

/// What a failed sync leaves behind.
#[derive(Clone, Copy, Debug)]
enum SyncFailure {
    /// The process ended before it: the next sync stores all data.
    Skipped,
    /// The kernel reports the error once, and takes the data for stored from then on.
    Forgotten,
}

#[derive(Clone, Debug, Default)]
struct StoredFile {
    bytes: Vec<u8>,
    /// Content after a loss of power.
    durable: Vec<u8>,
    /// Length up to which the kernel takes the content for stored.
    clean: usize,
}

/// Files that outlive the process, and whose unsynced data is lost with the power.
#[derive(Clone, Debug, Default)]
struct KernelDisk {
    files: Rc<RefCell<BTreeMap<String, StoredFile>>>,
    next_sync: Rc<RefCell<Option<SyncFailure>>>,
}

impl KernelDisk {
    fn fail_next_sync(&self, failure: SyncFailure) {
        *self.next_sync.borrow_mut() = Some(failure);
    }

    fn lose_power(&self) {
        for file in self.files.borrow_mut().values_mut() {
            file.bytes = file.durable.clone();
            file.clean = file.bytes.len();
        }
    }
}

impl Disk for KernelDisk {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        Ok(self.files.borrow().get(name).map(|file| file.bytes.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let mut files = self.files.borrow_mut();
        files.entry(name.to_owned()).or_default().bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        let mut files = self.files.borrow_mut();
        let file = files.entry(name.to_owned()).or_default();
        let Some(failure) = self.next_sync.borrow_mut().take() else {
            let dirty = &file.bytes[file.clean..];
            file.durable.truncate(file.clean);
            file.durable.resize(file.clean, 0);
            file.durable.extend_from_slice(dirty);
            file.clean = file.bytes.len();
            return Ok(());
        };
        if matches!(failure, SyncFailure::Forgotten) {
            file.clean = file.bytes.len();
        }
        let source = io::Error::other("the disk refuses writes");
        Err(DiskError::Io { operation: "sync", file: name.to_owned(), source })
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        let (bytes, clean) = (bytes.to_vec(), bytes.len());
        let file = StoredFile { durable: bytes.clone(), bytes, clean };
        self.files.borrow_mut().insert(name.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.files.borrow_mut().remove(name);
        Ok(())
    }

    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.files.borrow().keys().cloned().collect())
    }
}

fn append(index: u64) -> [Write; 1] {
    let kind = EntryKind::Command(vec![index as u8; 20].into());
    [Write::Append(GROUP, vec![Entry { term: 1, index, kind }])]
}

/// Opens the log and returns it with the number of recovered entries.
fn open(disk: &KernelDisk) -> (DiskLog<KernelDisk>, usize) {
    let (log, recovered) = DiskLog::open(disk.clone()).expect("an intact log");
    let entries = recovered.groups.get(&GROUP).map_or(0, |group| group.entries.len());
    (log, entries)
}

/// A replica acknowledges the entries that it recovered without writing them again.
fn assert_recovered_entries_are_durable(failure: SyncFailure) {
    let disk = KernelDisk::default();
    let (mut log, _) = open(&disk);
    log.commit(&append(1)).expect("a commit");
    disk.fail_next_sync(failure);
    assert!(log.commit(&append(2)).is_err());
    drop(log);
    let (mut log, recovered) = open(&disk);
    disk.lose_power();
    assert_eq!(open(&disk).1, recovered);
    log.commit(&append(recovered as u64 + 1)).expect("a commit");
    disk.lose_power();
    assert_eq!(open(&disk).1, recovered + 1);
}

#[test]
fn entries_recovered_after_a_kill_before_the_sync_survive_a_power_loss() {
    assert_recovered_entries_are_durable(SyncFailure::Skipped);
}

#[test]
fn entries_recovered_after_a_failed_sync_survive_a_power_loss() {
    assert_recovered_entries_are_durable(SyncFailure::Forgotten);
}
