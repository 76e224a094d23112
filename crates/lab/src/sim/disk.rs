//! A disk that loses what was not synced, fills up, or is lost.

use std::collections::BTreeMap;
use std::io;

use calicohoist_replication::{Disk, DiskError};

/// One file: what is durable, what is being synced, and what was appended since.
#[derive(Clone, Debug, Default)]
struct SimFile {
    durable: Vec<u8>,
    syncing: Vec<u8>,
    unsynced: Vec<u8>,
}

impl SimFile {
    fn settle(&mut self) {
        self.durable.append(&mut self.syncing);
    }

    fn sync(&mut self) {
        self.syncing.append(&mut self.unsynced);
    }
}

/// A simulated disk.
#[derive(Clone, Debug, Default)]
pub struct SimDisk {
    files: BTreeMap<String, SimFile>,
    full: bool,
    syncs: u64,
}

impl SimDisk {
    /// The syncs under way are done: what they wrote is durable.
    pub fn settle(&mut self) {
        self.files.values_mut().for_each(SimFile::settle);
    }

    /// Loses power: of what was not synced for good, `kept` bytes of each file remain.
    pub fn crash(&mut self, kept: usize) {
        for file in self.files.values_mut() {
            file.sync();
            file.syncing.truncate(kept);
            file.settle();
        }
    }

    /// Makes every further write fail, or work again.
    pub fn set_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Takes the number of syncs since the last call.
    pub fn take_syncs(&mut self) -> u64 {
        std::mem::take(&mut self.syncs)
    }

    fn check_room(&self, name: &str) -> Result<(), DiskError> {
        if !self.full {
            return Ok(());
        }
        Err(DiskError::Io {
            operation: "write",
            file: name.to_owned(),
            source: io::ErrorKind::StorageFull.into(),
        })
    }
}

impl Disk for SimDisk {
    fn read(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        let content =
            |file: &SimFile| [file.durable.as_slice(), &file.syncing, &file.unsynced].concat();
        Ok(self.files.get(name).map(content))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.check_room(name)?;
        self.files.entry(name.to_owned()).or_default().unsynced.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<(), DiskError> {
        self.syncs += 1;
        if let Some(file) = self.files.get_mut(name) {
            file.sync();
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.check_room(name)?;
        self.syncs += 1;
        let file = SimFile { durable: bytes.to_vec(), ..SimFile::default() };
        self.files.insert(name.to_owned(), file);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: usize) -> Result<(), DiskError> {
        self.syncs += 1;
        if let Some(file) = self.files.get_mut(name) {
            file.sync();
            file.settle();
            file.durable.truncate(length);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.files.remove(name);
        Ok(())
    }

    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.files.keys().cloned().collect())
    }
}
