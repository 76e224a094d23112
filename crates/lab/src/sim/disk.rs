//! An in-memory disk that loses unsynced data in a crash and can be full.

use std::collections::BTreeMap;
use std::io;

use calicohoist_replication::{Disk, DiskError};

/// A file: durable content, content whose sync is in progress, and unsynced content.
#[derive(Clone, Debug, Default)]
struct SimFile {
    durable: Vec<u8>,
    syncing: Vec<u8>,
    unsynced: Vec<u8>,
}

impl SimFile {
    fn finish_syncs(&mut self) {
        self.durable.append(&mut self.syncing);
    }

    fn sync(&mut self) {
        self.syncing.append(&mut self.unsynced);
    }
}

/// A simulated disk with explicit sync and crash semantics.
#[derive(Clone, Debug, Default)]
pub struct SimDisk {
    files: BTreeMap<String, SimFile>,
    full: bool,
    syncs: u64,
}

impl SimDisk {
    /// Completes the syncs in progress, which makes their data durable.
    pub fn finish_syncs(&mut self) {
        self.files.values_mut().for_each(SimFile::finish_syncs);
    }

    /// Simulates a power loss: each file keeps at most `kept_bytes` of its non-durable data.
    pub fn crash(&mut self, kept_bytes: usize) {
        for file in self.files.values_mut() {
            file.sync();
            file.syncing.truncate(kept_bytes);
            file.finish_syncs();
        }
    }

    /// Sets whether the disk is full; writes to a full disk fail.
    pub fn set_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Returns the number of syncs since the previous call.
    pub fn take_syncs(&mut self) -> u64 {
        std::mem::take(&mut self.syncs)
    }

    fn check_space(&self, name: &str) -> Result<(), DiskError> {
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
        let contents =
            |file: &SimFile| [file.durable.as_slice(), &file.syncing, &file.unsynced].concat();
        Ok(self.files.get(name).map(contents))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        self.check_space(name)?;
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
        self.check_space(name)?;
        self.syncs += 1;
        let file = SimFile { durable: bytes.to_vec(), ..SimFile::default() };
        self.files.insert(name.to_owned(), file);
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
